#include "ragwortdrift/policy/replica_choice.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace ragwortdrift {
namespace {

/// Weight of one answer in the estimate. With 0.1 a single answer of 20 times
/// the usual raises the estimate by 35%, and a lasting change of the leaf is
/// half learned after 7 answers.
constexpr double SampleWeight = 0.1;
constexpr std::uint32_t EnoughSamples = 10;
/// A cancelled request would have taken longer than it was waited for. Without
/// the factor 2 a slow replica that is always hedged seems less than 3 times as
/// slow as its group and is never ejected.
const double CancelledLogFactor = std::log(2.0);
constexpr Duration ReturnHalfLife = std::chrono::seconds(10);
constexpr std::uint32_t FailureLimit = 5;
const double EjectLogRatio = std::log(3.0);
constexpr Duration FirstProbeDelay = std::chrono::seconds(1);
constexpr Duration DefaultPassOver = std::chrono::milliseconds(100);
/// How long an owner's report counts; a leaf that is passed over gets no newer
/// one.
constexpr Duration ReportLifetime = std::chrono::seconds(2);
/// Queue of a slot from which a replica counts as full.
constexpr double FullQueue = 2;

double toLog(Duration Latency) {
  return std::log(std::max(1.0, static_cast<double>(Latency.count())));
}

} // namespace

std::optional<double> ReplicaChooser::peersLog(LeafIndex Leaf) const {
  // In a large group the median of some leafs is enough.
  constexpr std::size_t MaxPeers = 32;
  const auto &Leafs = m_Service->m_Groups[m_GroupOf[Leaf]].m_Leafs;
  const std::size_t Stride = (Leafs.size() + MaxPeers - 1) / MaxPeers;
  std::array<double, MaxPeers> Peers{};
  std::size_t Count = 0;
  for (std::size_t I = Leaf % Stride; I < Leafs.size(); I += Stride)
    if (Leafs[I] != Leaf && m_States[Leafs[I]].m_Samples > 0)
      Peers[Count++] = m_States[Leafs[I]].m_LogLatency;
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
  const auto &S = m_States[Leaf];
  const auto Peers = peersLog(Leaf);
  if (S.m_Samples == 0)
    return Peers.value_or(toLog(m_Service->m_ServiceTime));
  if (!Peers)
    return S.m_LogLatency;
  const double HalfLives = std::chrono::duration<double>(Now - S.m_Updated) /
                           std::chrono::duration<double>(ReturnHalfLife);
  return *Peers + (S.m_LogLatency - *Peers) * std::exp2(-HalfLives);
}

Duration ReplicaChooser::estimate(TimePoint Now, LeafIndex Leaf) const {
  return Duration{static_cast<std::int64_t>(std::exp(logEstimate(Now, Leaf)))};
}

double ReplicaChooser::cost(TimePoint Now, LeafIndex Leaf) const {
  const auto &Owner = m_Owners[m_Service->m_Leafs[Leaf].m_Partition];
  return (std::exp(logEstimate(Now, Leaf)) + Owner.m_LatencyMicros) *
         (1.0 + m_States[Leaf].m_InFlight);
}

void ReplicaChooser::onSent(LeafIndex Leaf) { ++m_States[Leaf].m_InFlight; }

void ReplicaChooser::learn(TimePoint Now, LeafIndex Leaf, double LogLatency) {
  auto &S = m_States[Leaf];
  // A leaf that was not used for long restarts from its decayed estimate.
  if (S.m_Samples > 0)
    S.m_LogLatency = logEstimate(Now, Leaf);
  S.m_Samples = std::min(S.m_Samples + 1, EnoughSamples);
  const double Weight = std::max(SampleWeight, 1.0 / S.m_Samples);
  S.m_LogLatency += (LogLatency - S.m_LogLatency) * Weight;
  S.m_Updated = Now;
}

bool ReplicaChooser::slowForGroup(LeafIndex Leaf, double LogLatency) const {
  const auto Peers = peersLog(Leaf);
  return Peers && LogLatency - *Peers > EjectLogRatio;
}

std::optional<EjectionChange> ReplicaChooser::eject(TimePoint Now,
                                                    LeafIndex Leaf) {
  auto &S = m_States[Leaf];
  const auto &Peers = m_Service->m_Groups[m_GroupOf[Leaf]].m_Leafs;
  const bool OtherLeft =
      std::any_of(Peers.begin(), Peers.end(), [&](LeafIndex Peer) {
        return Peer != Leaf && usable(Peer) && !m_States[Peer].m_Ejected;
      });
  if (S.m_Ejected || !OtherLeft)
    return std::nullopt;
  S.m_Ejected = true;
  m_Groups[m_GroupOf[Leaf]].m_Ejected.push_back(Leaf);
  S.m_ProbeDelay = FirstProbeDelay;
  S.m_ProbeAt = Now + FirstProbeDelay;
  return EjectionChange{Leaf, true};
}

void ReplicaChooser::endEjection(LeafIndex Leaf) {
  m_States[Leaf].m_Ejected = false;
  m_States[Leaf].m_FailuresInRow = 0;
  std::erase(m_Groups[m_GroupOf[Leaf]].m_Ejected, Leaf);
}

void ReplicaChooser::restoreIfEmpty(GroupIndex Group) {
  if (m_Groups[Group].m_Ejected.empty())
    return;
  const auto &Leafs = m_Service->m_Groups[Group].m_Leafs;
  const bool Left =
      std::any_of(Leafs.begin(), Leafs.end(), [&](LeafIndex Leaf) {
        return usable(Leaf) && !m_States[Leaf].m_Ejected;
      });
  if (Left)
    return;
  const auto Ejected = m_Groups[Group].m_Ejected;
  for (const LeafIndex Leaf : Ejected)
    if (usable(Leaf))
      endEjection(Leaf);
}

std::optional<EjectionChange>
ReplicaChooser::onAnswer(TimePoint Now, LeafIndex Leaf, Duration Latency) {
  auto &S = m_States[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  S.m_FailuresInRow = 0;
  const double LogLatency = toLog(Latency);
  if (S.m_Ejected) {
    if (slowForGroup(Leaf, LogLatency))
      return std::nullopt;
    endEjection(Leaf);
    S.m_Samples = 0;
    learn(Now, Leaf, LogLatency);
    return EjectionChange{Leaf, false};
  }
  learn(Now, Leaf, LogLatency);
  if (S.m_Samples >= EnoughSamples && slowForGroup(Leaf, S.m_LogLatency))
    return eject(Now, Leaf);
  return std::nullopt;
}

std::optional<EjectionChange> ReplicaChooser::onFailure(TimePoint Now,
                                                        LeafIndex Leaf) {
  auto &S = m_States[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  if (++S.m_FailuresInRow < FailureLimit)
    return std::nullopt;
  return eject(Now, Leaf);
}

std::optional<EjectionChange>
ReplicaChooser::onCancelled(TimePoint Now, LeafIndex Leaf, Duration Waited) {
  auto &S = m_States[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  const double LogLatency = toLog(Waited);
  if (S.m_Ejected || LogLatency <= logEstimate(Now, Leaf))
    return std::nullopt;
  learn(Now, Leaf, LogLatency + CancelledLogFactor);
  if (S.m_Samples >= EnoughSamples && slowForGroup(Leaf, S.m_LogLatency))
    return eject(Now, Leaf);
  return std::nullopt;
}

void ReplicaChooser::onRefused(TimePoint Now, LeafIndex Leaf,
                               GateRefusalCode Code,
                               std::optional<Duration> RetryAfter) {
  auto &S = m_States[Leaf];
  S.m_InFlight -= S.m_InFlight > 0 ? 1 : 0;
  // The deadline of one request says nothing about the next one.
  if (Code == GateRefusalCode::Deadline)
    return;
  const Duration PassOver =
      std::clamp(RetryAfter.value_or(DefaultPassOver), Duration{1000},
                 Duration(std::chrono::seconds(2)));
  S.m_PassOverUntil = std::max(S.m_PassOverUntil, Now + PassOver);
}

void ReplicaChooser::onReport(TimePoint Now, LeafIndex Leaf,
                              const LeafReport &Report) {
  auto &S = m_States[Leaf];
  auto &Limited = m_Groups[m_GroupOf[Leaf]].m_Limited;
  if (Report.m_Fraction < 1 &&
      std::find(Limited.begin(), Limited.end(), Leaf) == Limited.end())
    Limited.push_back(Leaf);
  S.m_Fraction = Report.m_Fraction;
  S.m_FractionUntil = Now + ReportLifetime;
  if (Report.m_QueuePerSlot >= FullQueue)
    S.m_PassOverUntil =
        std::max(S.m_PassOverUntil, Now + Duration(m_Service->m_ServiceTime));
}

void ReplicaChooser::onOwnerLatency(TimePoint, std::uint32_t Partition,
                                    Duration Latency) {
  auto &Micros = m_Owners[Partition].m_LatencyMicros;
  const auto Sample = static_cast<double>(Latency.count());
  Micros = Micros == 0 ? Sample : Micros + (Sample - Micros) * SampleWeight;
}

} // namespace ragwortdrift
