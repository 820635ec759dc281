#ifndef RAGWORTDRIFT_TOOLS_LOAD_RECORD_CHECK_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_RECORD_CHECK_HPP

#include <boost/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace ragwortdrift::tools {

/// Results that entry VMs reported to the callers of one run.
struct CallerLedger {
  /// Ids of requests that were refused with `not_run` set to true.
  std::set<std::string, std::less<>> m_NotExecuted;
  /// Idempotency keys of answered bookings.
  std::set<std::string, std::less<>> m_BookedKeys;
};

/// Result of comparing the reported results with the execution records of the
/// leafs.
struct RecordCheck {
  /// Requests that were refused with `not_run` set to true although a leaf
  /// started to execute them.
  std::uint64_t m_FalseNotExecuted = 0;
  /// Idempotency keys that leafs started to execute more than once.
  std::uint64_t m_ExecutedTwice = 0;
  /// Answered bookings without an execution record.
  std::uint64_t m_BookedWithoutExecution = 0;
  /// Executions of a request in the same group beyond the first.
  std::uint64_t m_Duplicates = 0;
  /// Executions that leafs started.
  std::uint64_t m_Started = 0;
};

/// Compares the ledger with the execution records of all leafs (the response to
/// `GET /records/all`). Requests whose id does not start with IdPrefix are
/// ignored.
RecordCheck checkRecords(const CallerLedger &Ledger,
                         const boost::json::array &Leafs,
                         std::string_view IdPrefix);

} // namespace ragwortdrift::tools

#endif
