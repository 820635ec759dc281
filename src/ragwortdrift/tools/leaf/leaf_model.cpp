#include "ragwortdrift/tools/leaf/leaf_model.hpp"

#include "ragwortdrift/tools/common/clock.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortdrift::tools {

LeafModel::LeafModel(LeafOptions Options, std::uint64_t Seed)
    : m_Options(std::move(Options)), m_Random(Seed) {
  renewBootId();
}

double LeafModel::allowedRate() const {
  if (!m_Cold)
    return m_Options.rate();
  const double WarmUpProgress =
      std::min(1.0, m_RequestsServedCold / m_Options.warmRequests());
  return m_Options.rate() * (m_Options.m_ColdFraction +
                             (1 - m_Options.m_ColdFraction) * WarmUpProgress);
}

void LeafModel::countArrival(TimePoint Now) {
  ++m_Counters.m_Arrived;
  m_Counters.m_LastArrival = Now;
  m_Arrivals.push_back(Now);
  while (m_Arrivals.front() + LoadWindow <= Now)
    m_Arrivals.pop_front();
  if (!m_Cold || !m_Counters.m_ColdReportedAt)
    return;
  const TimePoint CountedFrom = *m_Counters.m_ColdReportedAt + DetectionTime +
                                fromMillis(2 * m_Options.m_DelayMs);
  const auto CountedArrivals =
      m_Arrivals.end() -
      std::lower_bound(m_Arrivals.begin(), m_Arrivals.end(), CountedFrom);
  // The allowance is at least one request per window; otherwise no request
  // could ever be sent to a slow leaf.
  const double Allowance =
      std::max(1.0, allowedRate() * toMillis(LoadWindow) / 1000);
  const double Ratio = static_cast<double>(CountedArrivals) / Allowance;
  if (Ratio > 1)
    m_Counters.m_MaxLoadOverAllowance =
        std::max(m_Counters.m_MaxLoadOverAllowance, Ratio);
}

bool LeafModel::overloaded(TimePoint Now) {
  while (!m_Arrivals.empty() && m_Arrivals.front() + LoadWindow <= Now)
    m_Arrivals.pop_front();
  return m_Cold && static_cast<double>(m_Arrivals.size()) >
                       std::max(1.0, allowedRate() * OverloadThreshold *
                                         toMillis(LoadWindow) / 1000);
}

Admission LeafModel::admit(TimePoint Now,
                           std::optional<std::uint64_t> Version) {
  countArrival(Now);
  if (m_LeavingSince &&
      Now - *m_LeavingSince >= fromMillis(m_Options.m_LeaveGraceMs)) {
    ++m_Counters.m_RefusedLeaving;
    return Admission::Leaving;
  }
  const auto &OfferedSnapshots = m_Options.m_Snapshots;
  if (Version &&
      std::ranges::find(OfferedSnapshots, *Version) == OfferedSnapshots.end()) {
    ++m_Counters.m_VersionMissing;
    return Admission::VersionMissing;
  }
  if (m_Queued == 0 && hasFreeSlot())
    return Admission::Start;
  if (m_Queued < m_Options.m_Queue) {
    ++m_Queued;
    return Admission::Queue;
  }
  ++m_Counters.m_Shed;
  return Admission::Shed;
}

Duration LeafModel::start(TimePoint Now) {
  ++m_Running;
  ++m_Counters.m_Started;
  const double Sigma = m_Options.m_Sigma;
  // The location is shifted by sigma^2 / 2 so that the mean is service_ms.
  std::lognormal_distribution<double> Distribution(-Sigma * Sigma / 2, Sigma);
  double Millis = m_Options.m_ServiceMs * m_Options.m_SlowFactor *
                  (Sigma > 0 ? Distribution(m_Random) : 1);
  if (std::bernoulli_distribution(m_Options.m_StragglerFraction)(m_Random))
    Millis *= m_Options.m_StragglerFactor;
  if (overloaded(Now)) {
    Millis *= OverloadSlowdown;
    ++m_Counters.m_SlowedDown;
  }
  return fromMillis(Millis);
}

void LeafModel::finish(bool Completed, TimePoint Now) {
  --m_Running;
  if (!Completed) {
    ++m_Counters.m_Cancelled;
    return;
  }
  ++m_Counters.m_Completed;
  if (!m_Cold)
    return;
  m_RequestsServedCold += 1;
  if (m_RequestsServedCold >= m_Options.warmRequests())
    endColdPhase(Now);
}

void LeafModel::endColdPhase(TimePoint Now) {
  if (!m_Cold)
    return;
  m_Cold = false;
  m_Counters.m_WarmAt = Now;
}

void LeafModel::startColdPhase(TimePoint Now) {
  m_Cold = true;
  m_RequestsServedCold = 0;
  m_Counters.m_ColdAt = Now;
  m_Counters.m_ColdReportedAt.reset();
  m_Counters.m_WarmAt.reset();
  renewBootId();
}

void LeafModel::renewBootId() {
  m_BootId =
      m_Options.m_Name + "-" + std::to_string(m_Random() % 1'000'000'000);
}

void LeafModel::setLeaving(bool Leaving, TimePoint Now) {
  if (!Leaving)
    m_LeavingSince.reset();
  else if (!m_LeavingSince)
    m_LeavingSince = Now;
}

void LeafModel::resetCounters() {
  const LeafCounters Previous = std::exchange(m_Counters, {});
  if (!m_Cold)
    return;
  m_Counters.m_ColdAt = Previous.m_ColdAt;
  m_Counters.m_ColdReportedAt = Previous.m_ColdReportedAt;
}

void LeafModel::recordColdReported(TimePoint Now) {
  if (m_Cold && !m_Counters.m_ColdReportedAt)
    m_Counters.m_ColdReportedAt = Now;
}

std::uint64_t LeafModel::newestSnapshot() const {
  return m_Options.m_Snapshots.empty()
             ? 0
             : *std::ranges::max_element(m_Options.m_Snapshots);
}

std::string LeafModel::snapshotList() const {
  std::string List;
  for (const std::uint64_t Version : m_Options.m_Snapshots)
    List += (List.empty() ? "" : ",") + std::to_string(Version);
  return List;
}

} // namespace ragwortdrift::tools
