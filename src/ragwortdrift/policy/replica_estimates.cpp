#include "ragwortdrift/policy/replica_choice.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace ragwortdrift {
namespace {

/// Weight of one response in the logarithmic estimate. At 0.1 a single response
/// of 20 times the typical latency raises the estimate by 35%, and half of a
/// lasting change is learned after 7 responses.
constexpr double SampleWeight = 0.1;
constexpr std::uint32_t MinSamples = 10;
/// Correction for cancelled requests, whose wait time is only a lower bound of
/// the latency. Without the factor of 2 a slow replica whose requests are all
/// hedged appears less than 3 times as slow as its group and is never ejected.
const double CancelledLogFactor = std::log(2.0);
/// Half-life with which the estimate of an unused replica returns to the median
/// of its group.
constexpr Duration EstimateHalfLife = std::chrono::seconds(10);
constexpr std::uint32_t FailureLimit = 5;
/// Ratio to the median of the group's other replicas above which a replica is
/// ejected.
const double EjectionLogRatio = std::log(3.0);
constexpr Duration FirstProbeDelay = std::chrono::seconds(1);
constexpr Duration DefaultSkipTime = std::chrono::milliseconds(100);
/// Validity of an owner's report. A skipped leaf receives no requests and
/// therefore no newer report.
constexpr Duration ReportLifetime = std::chrono::seconds(2);
/// Queued requests per slot from which a replica counts as full.
constexpr double FullQueuePerSlot = 2;

double toLog(Duration Latency) {
  return std::log(std::max(1.0, static_cast<double>(Latency.count())));
}

} // namespace

std::optional<double> ReplicaChooser::peerMedianLog(LeafIndex Leaf) const {
  // In a large group the median is estimated from a subset of the leafs.
  constexpr std::size_t MaxPeers = 32;
  const auto &Leafs = m_Service->m_Groups[m_GroupOf[Leaf]].m_Leafs;
  const std::size_t Stride = (Leafs.size() + MaxPeers - 1) / MaxPeers;
  std::array<double, MaxPeers> Peers{};
  std::size_t Count = 0;
  for (std::size_t I = Leaf % Stride; I < Leafs.size(); I += Stride)
    if (Leafs[I] != Leaf && m_ReplicaStates[Leafs[I]].m_SampleCount > 0)
      Peers[Count++] = m_ReplicaStates[Leafs[I]].m_LogLatency;
  if (Count == 0)
    return std::nullopt;
  const auto Middle = Peers.begin() + static_cast<std::ptrdiff_t>(Count / 2);
  const auto End = Peers.begin() + static_cast<std::ptrdiff_t>(Count);
  std::nth_element(Peers.begin(), Middle, End);
  if (Count % 2 == 1)
    return *Middle;
  return (*Middle + *std::max_element(Peers.begin(), Middle)) / 2;
}

double ReplicaChooser::logEstimate(TimePoint Now, LeafIndex Leaf) const {
  const auto &S = m_ReplicaStates[Leaf];
  const auto Peers = peerMedianLog(Leaf);
  if (S.m_SampleCount == 0)
    return Peers.value_or(toLog(m_Service->m_ServiceTime));
  if (!Peers)
    return S.m_LogLatency;
  const double HalfLives = std::chrono::duration<double>(Now - S.m_UpdatedAt) /
                           std::chrono::duration<double>(EstimateHalfLife);
  return *Peers + (S.m_LogLatency - *Peers) * std::exp2(-HalfLives);
}

Duration ReplicaChooser::estimate(TimePoint Now, LeafIndex Leaf) const {
  return Duration{static_cast<std::int64_t>(std::exp(logEstimate(Now, Leaf)))};
}

double ReplicaChooser::cost(TimePoint Now, LeafIndex Leaf) const {
  const auto &Owner = m_Owners[m_Service->m_Leafs[Leaf].m_Partition];
  return (std::exp(logEstimate(Now, Leaf)) + Owner.m_LatencyMicros) *
         (1.0 + m_ReplicaStates[Leaf].m_InFlight);
}

void ReplicaChooser::onSent(LeafIndex Leaf) {
  ++m_ReplicaStates[Leaf].m_InFlight;
}

void ReplicaChooser::updateEstimate(TimePoint Now, LeafIndex Leaf,
                                    double LogLatency) {
  auto &S = m_ReplicaStates[Leaf];
  // Continue from the decayed estimate of a leaf that was unused for some time.
  if (S.m_SampleCount > 0)
    S.m_LogLatency = logEstimate(Now, Leaf);
  S.m_SampleCount = std::min(S.m_SampleCount + 1, MinSamples);
  const double Weight = std::max(SampleWeight, 1.0 / S.m_SampleCount);
  S.m_LogLatency += (LogLatency - S.m_LogLatency) * Weight;
  S.m_UpdatedAt = Now;
}

bool ReplicaChooser::slowerThanPeers(LeafIndex Leaf, double LogLatency) const {
  const auto Peers = peerMedianLog(Leaf);
  return Peers && LogLatency - *Peers > EjectionLogRatio;
}

std::optional<EjectionChange> ReplicaChooser::eject(TimePoint Now,
                                                    LeafIndex Leaf) {
  auto &S = m_ReplicaStates[Leaf];
  const auto &Peers = m_Service->m_Groups[m_GroupOf[Leaf]].m_Leafs;
  const bool HasOtherReplica =
      std::any_of(Peers.begin(), Peers.end(), [&](LeafIndex Peer) {
        return Peer != Leaf && usable(Peer) && !m_ReplicaStates[Peer].m_Ejected;
      });
  if (S.m_Ejected || !HasOtherReplica)
    return std::nullopt;
  S.m_Ejected = true;
  m_Groups[m_GroupOf[Leaf]].m_Ejected.push_back(Leaf);
  S.m_ProbeDelay = FirstProbeDelay;
  S.m_NextProbe = Now + FirstProbeDelay;
  return EjectionChange{Leaf, true};
}

void ReplicaChooser::endEjection(LeafIndex Leaf) {
  m_ReplicaStates[Leaf].m_Ejected = false;
  m_ReplicaStates[Leaf].m_ConsecutiveFailures = 0;
  std::erase(m_Groups[m_GroupOf[Leaf]].m_Ejected, Leaf);
}

void ReplicaChooser::restoreIfAllEjected(GroupIndex Group) {
  if (m_Groups[Group].m_Ejected.empty())
    return;
  const auto &Leafs = m_Service->m_Groups[Group].m_Leafs;
  const bool HasUsableReplica =
      std::any_of(Leafs.begin(), Leafs.end(), [&](LeafIndex Leaf) {
        return usable(Leaf) && !m_ReplicaStates[Leaf].m_Ejected;
      });
  if (HasUsableReplica)
    return;
  const auto Ejected = m_Groups[Group].m_Ejected;
  for (const LeafIndex Leaf : Ejected)
    if (usable(Leaf))
      endEjection(Leaf);
}

std::optional<EjectionChange>
ReplicaChooser::onResponse(TimePoint Now, LeafIndex Leaf, Duration Latency) {
  auto &S = m_ReplicaStates[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  S.m_ConsecutiveFailures = 0;
  const double LogLatency = toLog(Latency);
  if (S.m_Ejected) {
    if (slowerThanPeers(Leaf, LogLatency))
      return std::nullopt;
    endEjection(Leaf);
    S.m_SampleCount = 0;
    updateEstimate(Now, Leaf, LogLatency);
    return EjectionChange{Leaf, false};
  }
  updateEstimate(Now, Leaf, LogLatency);
  if (S.m_SampleCount >= MinSamples && slowerThanPeers(Leaf, S.m_LogLatency))
    return eject(Now, Leaf);
  return std::nullopt;
}

std::optional<EjectionChange> ReplicaChooser::onFailure(TimePoint Now,
                                                        LeafIndex Leaf) {
  auto &S = m_ReplicaStates[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  if (++S.m_ConsecutiveFailures < FailureLimit)
    return std::nullopt;
  return eject(Now, Leaf);
}

std::optional<EjectionChange>
ReplicaChooser::onCancelled(TimePoint Now, LeafIndex Leaf, Duration WaitTime) {
  auto &S = m_ReplicaStates[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  const double LogLatency = toLog(WaitTime);
  if (S.m_Ejected || LogLatency <= logEstimate(Now, Leaf))
    return std::nullopt;
  updateEstimate(Now, Leaf, LogLatency + CancelledLogFactor);
  if (S.m_SampleCount >= MinSamples && slowerThanPeers(Leaf, S.m_LogLatency))
    return eject(Now, Leaf);
  return std::nullopt;
}

void ReplicaChooser::onRefused(TimePoint Now, LeafIndex Leaf,
                               GateRefusalCode Code,
                               std::optional<Duration> RetryAfter) {
  auto &S = m_ReplicaStates[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  // A deadline refusal depends on the request, so it does not affect later
  // ones.
  if (Code == GateRefusalCode::Deadline)
    return;
  const Duration SkipTime =
      std::clamp(RetryAfter.value_or(DefaultSkipTime), Duration{1000},
                 Duration(std::chrono::seconds(2)));
  S.m_SkipUntil = std::max(S.m_SkipUntil, Now + SkipTime);
}

void ReplicaChooser::onReport(TimePoint Now, LeafIndex Leaf,
                              const LeafReport &Report) {
  auto &S = m_ReplicaStates[Leaf];
  auto &RateLimited = m_Groups[m_GroupOf[Leaf]].m_RateLimited;
  if (Report.m_RateFraction < 1 &&
      std::find(RateLimited.begin(), RateLimited.end(), Leaf) ==
          RateLimited.end())
    RateLimited.push_back(Leaf);
  S.m_RateFraction = Report.m_RateFraction;
  S.m_FractionExpiry = Now + ReportLifetime;
  if (Report.m_QueuePerSlot >= FullQueuePerSlot)
    S.m_SkipUntil =
        std::max(S.m_SkipUntil, Now + Duration(m_Service->m_ServiceTime));
}

void ReplicaChooser::onOwnerLatency(TimePoint, std::uint32_t Partition,
                                    Duration Latency) {
  auto &Micros = m_Owners[Partition].m_LatencyMicros;
  const auto Sample = static_cast<double>(Latency.count());
  Micros = Micros == 0 ? Sample : Micros + (Sample - Micros) * SampleWeight;
}

} // namespace ragwortdrift
