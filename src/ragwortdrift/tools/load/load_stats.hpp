#ifndef RAGWORTDRIFT_TOOLS_LOAD_LOAD_STATS_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_LOAD_STATS_HPP

#include "ragwortdrift/tools/load/answer_check.hpp"
#include "ragwortdrift/tools/load/histogram.hpp"
#include "ragwortdrift/tools/load/http_pool.hpp"
#include "ragwortdrift/tools/load/record_check.hpp"

#include <boost/json.hpp>

#include <map>

namespace ragwortdrift::tools {

/// What the callers of one thread saw.
struct LoadStats {
  std::uint64_t m_Queries = 0;
  /// Leaf requests of a run that asks each group of each query once.
  std::uint64_t m_GroupsAsked = 0;
  /// Whole 200 answers, in time.
  std::uint64_t m_Answered = 0;
  std::uint64_t m_Refused = 0;
  /// Requests whose connection ended before the answer.
  std::uint64_t m_Cut = 0;
  /// Requests without an answer one second after their deadline.
  std::uint64_t m_Silent = 0;
  std::uint64_t m_ConnectFailed = 0;
  std::uint64_t m_Bookings = 0;
  std::uint64_t m_Booked = 0;
  std::uint64_t m_Abandoned = 0;
  std::uint64_t m_Resent = 0;
  double m_CoverageSum = 0;
  std::uint64_t m_CoverageFull = 0;
  Duration m_MaxLateness{0};
  std::map<Fault, std::uint64_t> m_Faults;
  std::map<std::string, std::uint64_t> m_Errors;
  /// From the intended start of each answered query.
  Histogram m_Latency;
  CallerLedger m_Ledger;

  void note(const AnswerCheck &Check, Duration Elapsed, Duration Deadline);
  void note(const TransportError &Error);
  /// A query ended with a whole answer.
  void noteAnswered(double Coverage, Duration Latency);
  void merge(const LoadStats &Other);

  std::uint64_t faults(std::initializer_list<Fault> Kinds) const;
};

/// The fields of section 8 of the design and the details behind them.
/// LeafRequests are counted by the leafs.
boost::json::object toJson(const LoadStats &Stats, const RecordCheck &Records,
                           std::uint64_t LeafRequests, double Seconds);

} // namespace ragwortdrift::tools

#endif
