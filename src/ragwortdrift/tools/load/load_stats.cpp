#include "ragwortdrift/tools/load/load_stats.hpp"

#include <algorithm>

namespace ragwortdrift::tools {

void LoadStats::record(const ResponseCheck &Check, Duration Elapsed,
                       Duration Deadline) {
  for (const ResponseFault Kind : Check.m_Faults)
    ++m_Faults[Kind];
  if (Elapsed > Deadline)
    m_MaxLateness = std::max(m_MaxLateness, Elapsed - Deadline);
  if (!Check.m_Error.empty())
    ++m_Errors[Check.m_Error];
}

void LoadStats::record(const TransportError &Error) {
  switch (Error.m_Code) {
  case TransportErrorCode::ConnectFailed:
    ++m_ConnectFailed;
    break;
  case TransportErrorCode::Closed:
    ++m_ConnectionsClosed;
    break;
  case TransportErrorCode::TimedOut:
    ++m_TimedOut;
    break;
  }
}

void LoadStats::recordAnswered(double Coverage, Duration Latency) {
  ++m_Answered;
  m_CoverageSum += Coverage;
  m_CoverageFull += Coverage >= 1 ? 1 : 0;
  m_Latency.add(Latency);
}

void LoadStats::merge(const LoadStats &Other) {
  m_Queries += Other.m_Queries;
  m_GroupsAsked += Other.m_GroupsAsked;
  m_Answered += Other.m_Answered;
  m_Refused += Other.m_Refused;
  m_ConnectionsClosed += Other.m_ConnectionsClosed;
  m_TimedOut += Other.m_TimedOut;
  m_ConnectFailed += Other.m_ConnectFailed;
  m_Bookings += Other.m_Bookings;
  m_Booked += Other.m_Booked;
  m_Abandoned += Other.m_Abandoned;
  m_Retried += Other.m_Retried;
  m_CoverageSum += Other.m_CoverageSum;
  m_CoverageFull += Other.m_CoverageFull;
  m_MaxLateness = std::max(m_MaxLateness, Other.m_MaxLateness);
  for (const auto &[Kind, Count] : Other.m_Faults)
    m_Faults[Kind] += Count;
  for (const auto &[Code, Count] : Other.m_Errors)
    m_Errors[Code] += Count;
  m_Latency.merge(Other.m_Latency);
  m_Ledger.m_NotExecuted.insert(Other.m_Ledger.m_NotExecuted.begin(),
                                Other.m_Ledger.m_NotExecuted.end());
  m_Ledger.m_BookedKeys.insert(Other.m_Ledger.m_BookedKeys.begin(),
                               Other.m_Ledger.m_BookedKeys.end());
}

std::uint64_t
LoadStats::countFaults(std::initializer_list<ResponseFault> Kinds) const {
  std::uint64_t Sum = 0;
  for (const ResponseFault Kind : Kinds)
    if (const auto Found = m_Faults.find(Kind); Found != m_Faults.end())
      Sum += Found->second;
  return Sum;
}

boost::json::object toJson(const LoadStats &Stats, const RecordCheck &Records,
                           std::uint64_t LeafRequests, double Seconds) {
  const auto Ratio = [](double Part, double Whole) {
    return Whole > 0 ? Part / Whole : 0.0;
  };
  const auto Quantile = [&](double Q) {
    return toMillis(Stats.m_Latency.quantile(Q));
  };
  const std::uint64_t Mixed = Stats.countFaults(
      {ResponseFault::MixedSnapshots, ResponseFault::OtherSnapshot});
  const std::uint64_t Coverage = Stats.countFaults(
      {ResponseFault::GroupTwice, ResponseFault::UnknownGroup,
       ResponseFault::WrongGroupsAsked, ResponseFault::WrongGroupsAnswered,
       ResponseFault::WrongCoverage, ResponseFault::WrongMissing,
       ResponseFault::BelowMinimumCoverage});
  const std::uint64_t Wrong =
      Stats.countFaults({ResponseFault::NotJson, ResponseFault::MissingField,
                         ResponseFault::ForeignRequestId,
                         ResponseFault::ForeignBody, ResponseFault::WrongLeaf});
  const std::uint64_t Late = Stats.countFaults({ResponseFault::Late});
  const std::uint64_t Untyped =
      Stats.countFaults({ResponseFault::UntypedRefusal});
  boost::json::object Faults;
  for (const auto &[Kind, Count] : Stats.m_Faults)
    Faults[nameOf(Kind)] = Count;
  boost::json::object Errors;
  for (const auto &[Code, Count] : Stats.m_Errors)
    Errors[Code] = Count;
  const auto Answered = static_cast<double>(Stats.m_Answered);
  return {{"queries", Stats.m_Queries},
          {"answered", Stats.m_Answered},
          {"p50_ms", Quantile(0.5)},
          {"p99_ms", Quantile(0.99)},
          {"p999_ms", Quantile(0.999)},
          {"max_ms", toMillis(Stats.m_Latency.max())},
          {"histogram_relative_error", HistogramRelativeError},
          {"coverage_mean", Ratio(Stats.m_CoverageSum, Answered)},
          {"coverage_full_ratio",
           Ratio(static_cast<double>(Stats.m_CoverageFull), Answered)},
          {"leaf_requests", LeafRequests},
          {"groups_asked", Stats.m_GroupsAsked},
          {"extra_load_ratio", Ratio(static_cast<double>(LeafRequests),
                                     static_cast<double>(Stats.m_GroupsAsked)) -
                                   1},
          {"duplicates", Stats.countFaults({ResponseFault::GroupTwice}) +
                             Records.m_ExecutedTwice},
          {"repeated_leaf_requests", Records.m_Duplicates},
          {"mixed_snapshots", Mixed},
          {"wrong_coverage", Coverage},
          {"wrong_answers", Wrong},
          {"late", Late},
          {"late_max_ms", toMillis(Stats.m_MaxLateness)},
          {"untyped_refusals", Untyped},
          {"false_not_run", Records.m_FalseNotExecuted},
          {"ran_twice", Records.m_ExecutedTwice},
          {"booked_without_run", Records.m_BookedWithoutExecution},
          {"violations", Mixed + Coverage + Wrong + Late + Untyped +
                             Records.m_FalseNotExecuted +
                             Records.m_ExecutedTwice +
                             Records.m_BookedWithoutExecution},
          {"refused", Stats.m_Refused},
          {"not_run", Stats.m_Ledger.m_NotExecuted.size()},
          {"cut", Stats.m_ConnectionsClosed},
          {"silent", Stats.m_TimedOut},
          {"connect_failed", Stats.m_ConnectFailed},
          {"bookings", Stats.m_Bookings},
          {"booked", Stats.m_Booked},
          {"abandoned", Stats.m_Abandoned},
          {"resent", Stats.m_Retried},
          {"answered_per_s", Seconds > 0 ? Answered / Seconds : 0.0},
          {"seconds", Seconds},
          {"faults", std::move(Faults)},
          {"errors", std::move(Errors)}};
}

} // namespace ragwortdrift::tools
