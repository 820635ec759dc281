#ifndef RAGWORTDRIFT_TOOLS_LOAD_RECORD_CHECK_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_RECORD_CHECK_HPP

#include <boost/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace ragwortdrift::tools {

/// What the callers of one run were told about their requests.
struct CallerLedger {
  /// Request ids that were refused with not_run.
  std::set<std::string, std::less<>> m_NotRun;
  /// Idempotency keys whose booking was answered.
  std::set<std::string, std::less<>> m_BookedKeys;
};

/// What the leafs' own records say about a run.
struct RecordCheck {
  /// Requests that were refused with not_run and that a leaf began.
  std::uint64_t m_FalseNotRun = 0;
  /// Idempotency keys that leafs began more than once.
  std::uint64_t m_RanTwice = 0;
  /// Answered bookings that no leaf has a record of.
  std::uint64_t m_BookedWithoutRun = 0;
  /// Runs beyond the first of the same request in the same group.
  std::uint64_t m_Duplicates = 0;
  /// Requests that leafs began.
  std::uint64_t m_Began = 0;
};

/// Compares the ledger with the records of all leafs (the answer of
/// `GET /records/all`). Only requests whose id starts with IdPrefix count.
RecordCheck checkRecords(const CallerLedger &Ledger,
                         const boost::json::array &Leafs,
                         std::string_view IdPrefix);

} // namespace ragwortdrift::tools

#endif
