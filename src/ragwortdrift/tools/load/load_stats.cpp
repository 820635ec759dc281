#include "ragwortdrift/tools/load/load_stats.hpp"

#include <algorithm>

namespace ragwortdrift::tools {

void LoadStats::note(const AnswerCheck &Check, Duration Elapsed,
                     Duration Deadline) {
  for (const Fault Kind : Check.m_Faults)
    ++m_Faults[Kind];
  if (Elapsed > Deadline)
    m_MaxLateness = std::max(m_MaxLateness, Elapsed - Deadline);
  if (!Check.m_Error.empty())
    ++m_Errors[Check.m_Error];
}

void LoadStats::note(const TransportError &Error) {
  switch (Error.m_Code) {
  case TransportErrorCode::ConnectFailed:
    ++m_ConnectFailed;
    break;
  case TransportErrorCode::Closed:
    ++m_Cut;
    break;
  case TransportErrorCode::TimedOut:
    ++m_Silent;
    break;
  }
}

void LoadStats::noteAnswered(double Coverage, Duration Latency) {
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
  m_Cut += Other.m_Cut;
  m_Silent += Other.m_Silent;
  m_ConnectFailed += Other.m_ConnectFailed;
  m_Bookings += Other.m_Bookings;
  m_Booked += Other.m_Booked;
  m_Abandoned += Other.m_Abandoned;
  m_Resent += Other.m_Resent;
  m_CoverageSum += Other.m_CoverageSum;
  m_CoverageFull += Other.m_CoverageFull;
  m_MaxLateness = std::max(m_MaxLateness, Other.m_MaxLateness);
  for (const auto &[Kind, Count] : Other.m_Faults)
    m_Faults[Kind] += Count;
  for (const auto &[Code, Count] : Other.m_Errors)
    m_Errors[Code] += Count;
  m_Latency.merge(Other.m_Latency);
  m_Ledger.m_NotRun.insert(Other.m_Ledger.m_NotRun.begin(),
                           Other.m_Ledger.m_NotRun.end());
  m_Ledger.m_BookedKeys.insert(Other.m_Ledger.m_BookedKeys.begin(),
                               Other.m_Ledger.m_BookedKeys.end());
}

std::uint64_t LoadStats::faults(std::initializer_list<Fault> Kinds) const {
  std::uint64_t Sum = 0;
  for (const Fault Kind : Kinds)
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
  const std::uint64_t Mixed =
      Stats.faults({Fault::MixedSnapshots, Fault::OtherSnapshot});
  const std::uint64_t Coverage = Stats.faults(
      {Fault::GroupTwice, Fault::UnknownGroup, Fault::WrongGroupsAsked,
       Fault::WrongGroupsAnswered, Fault::WrongCoverage, Fault::WrongMissing,
       Fault::BelowMinimumCoverage});
  const std::uint64_t Wrong = Stats.faults(
      {Fault::NotJson, Fault::MissingField, Fault::ForeignRequestId,
       Fault::ForeignBody, Fault::WrongLeaf});
  const std::uint64_t Late = Stats.faults({Fault::Late});
  const std::uint64_t Untyped = Stats.faults({Fault::UntypedRefusal});
  boost::json::object Faults;
  for (const auto &[Kind, Count] : Stats.m_Faults)
    Faults[nameOf(Kind)] = Count;
  boost::json::object Errors;
  for (const auto &[Code, Count] : Stats.m_Errors)
    Errors[Code] = Count;
  const auto Answered = static_cast<double>(Stats.m_Answered);
  return {
      {"queries", Stats.m_Queries},
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
      {"duplicates", Stats.faults({Fault::GroupTwice}) + Records.m_RanTwice},
      {"repeated_leaf_requests", Records.m_Duplicates},
      {"mixed_snapshots", Mixed},
      {"wrong_coverage", Coverage},
      {"wrong_answers", Wrong},
      {"late", Late},
      {"late_max_ms", toMillis(Stats.m_MaxLateness)},
      {"untyped_refusals", Untyped},
      {"false_not_run", Records.m_FalseNotRun},
      {"ran_twice", Records.m_RanTwice},
      {"booked_without_run", Records.m_BookedWithoutRun},
      {"violations", Mixed + Coverage + Wrong + Late + Untyped +
                         Records.m_FalseNotRun + Records.m_RanTwice +
                         Records.m_BookedWithoutRun},
      {"refused", Stats.m_Refused},
      {"not_run", Stats.m_Ledger.m_NotRun.size()},
      {"cut", Stats.m_Cut},
      {"silent", Stats.m_Silent},
      {"connect_failed", Stats.m_ConnectFailed},
      {"bookings", Stats.m_Bookings},
      {"booked", Stats.m_Booked},
      {"abandoned", Stats.m_Abandoned},
      {"resent", Stats.m_Resent},
      {"answered_per_s", Seconds > 0 ? Answered / Seconds : 0.0},
      {"seconds", Seconds},
      {"faults", std::move(Faults)},
      {"errors", std::move(Errors)}};
}

} // namespace ragwortdrift::tools
