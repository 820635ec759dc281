#ifndef RAGWORTDRIFT_TOOLS_LOAD_LOAD_STATS_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_LOAD_STATS_HPP

#include "ragwortdrift/tools/load/histogram.hpp"
#include "ragwortdrift/tools/load/http_pool.hpp"
#include "ragwortdrift/tools/load/record_check.hpp"
#include "ragwortdrift/tools/load/response_check.hpp"

#include <boost/json.hpp>

#include <map>

namespace ragwortdrift::tools {

/// Results that the callers of one thread observed.
struct LoadStats {
  std::uint64_t m_Queries = 0;
  /// Number of leaf requests if each group of each query were queried exactly
  /// once.
  std::uint64_t m_GroupsAsked = 0;
  /// Queries with a response of status 200 within the deadline.
  std::uint64_t m_Answered = 0;
  std::uint64_t m_Refused = 0;
  /// Requests whose connection was closed before the response was complete.
  std::uint64_t m_ConnectionsClosed = 0;
  /// Requests without a response one second after their deadline.
  std::uint64_t m_TimedOut = 0;
  std::uint64_t m_ConnectFailed = 0;
  std::uint64_t m_Bookings = 0;
  std::uint64_t m_Booked = 0;
  std::uint64_t m_Abandoned = 0;
  std::uint64_t m_Retried = 0;
  double m_CoverageSum = 0;
  std::uint64_t m_CoverageFull = 0;
  Duration m_MaxLateness{0};
  std::map<ResponseFault, std::uint64_t> m_Faults;
  std::map<std::string, std::uint64_t> m_Errors;
  /// Latency of each answered query, measured from its intended start.
  Histogram m_Latency;
  CallerLedger m_Ledger;

  void record(const ResponseCheck &Check, Duration Elapsed, Duration Deadline);
  void record(const TransportError &Error);
  /// Records a query that was answered within its deadline.
  void recordAnswered(double Coverage, Duration Latency);
  void merge(const LoadStats &Other);

  std::uint64_t countFaults(std::initializer_list<ResponseFault> Kinds) const;
};

/// Returns the report with the fields of section 8 of the design and further
/// details. LeafRequests is the number of requests that the leafs counted.
boost::json::object toJson(const LoadStats &Stats, const RecordCheck &Records,
                           std::uint64_t LeafRequests, double Seconds);

} // namespace ragwortdrift::tools

#endif
