#include "ragwortdrift/dispatch/active_request.hpp"
#include "ragwortdrift/dispatch/dispatcher.hpp"

namespace ragwortdrift {

namespace {

/// An answer counts as slow from this multiple of the route's median: a faulty
/// version is several times slower.
constexpr double SlowMedians = 3;
/// With fewer samples the median says little.
constexpr double MedianMinSamples = 20;

} // namespace

void Dispatcher::setRollouts(const Rollouts &Current) {
  m_RolloutGate.setRollouts(leaseNow(), Current, m_Leafs);
  selectSubsets();
  // Requests that wait for a connection would reach the leaf later.
  for (const auto &[Service, Target] : Current)
    for (const auto &View : LeafViews(m_Leafs.leafs(Service)))
      if (View->versionUse() == VersionUse::None)
        m_Transport.endQueued(View->listed().m_Id);
}

std::shared_ptr<LeafView> Dispatcher::chooseLeaf(const ServiceName &Service,
                                                 const LeafViews &Excluded,
                                                 bool IsFirst) {
  m_RolloutGate.refresh(leaseNow(), Service, m_Leafs);
  const Rollout *Target = m_RolloutGate.runningRollout(Service);
  if (Target && IsFirst)
    if (auto Leaf = chooseTargetLeaf(Service, *Target))
      return Leaf;
  return m_Leafs.choose(
      Service, m_Timers.now(), m_Options.m_Domain, Excluded,
      [this](const ListedLeaf &Leaf) {
        return m_Transport.hasIdleConnection(Leaf);
      },
      m_Engine);
}

std::shared_ptr<LeafView>
Dispatcher::chooseTargetLeaf(const ServiceName &Service,
                             const Rollout &Target) {
  auto Leaf = m_Leafs.choose(
      Service, m_Timers.now(), m_Options.m_Domain, {},
      [this](const ListedLeaf &Listed) {
        return m_Transport.hasIdleConnection(Listed);
      },
      m_Engine, LeafExclusion::VersionLimited);
  if (!Leaf)
    return nullptr;
  const LimitId Id = exposureLimit(Service);
  const LimitTerms Terms = exposureTerms(*m_RolloutGate.bounds(), Target);
  if (m_Tokens.tryTake(leaseNow(), Id, Terms))
    return Leaf;
  // The request does not wait for the token; a later one takes it.
  if (m_RolloutGate.shouldAsk(leaseNow(), Service)) {
    m_Tokens.cancelNeed(Id);
    needToken(Id, Terms);
  }
  return nullptr;
}

bool Dispatcher::shouldAwaitExposure(const ServiceName &Service) {
  const Rollout *Target = m_RolloutGate.runningRollout(Service);
  if (!Target || !m_RolloutGate.isRarelyRequested(leaseNow(), Service))
    return false;
  const LimitId Id = exposureLimit(Service);
  const LimitTerms Terms = exposureTerms(*m_RolloutGate.bounds(), *Target);
  if (m_Tokens.held(leaseNow(), Id) > 0 ||
      !m_RolloutGate.shouldAsk(leaseNow(), Service))
    return false;
  m_Tokens.cancelNeed(Id);
  needToken(Id, Terms);
  return true;
}

void Dispatcher::contributeExposure(const ServiceName &Service) {
  if (const Rollout *Target = m_RolloutGate.runningRollout(Service)) {
    const RolloutBounds &Bounds = *m_RolloutGate.bounds();
    m_Tokens.contribute(exposureLimit(Service), exposureTerms(Bounds, *Target),
                        exposureContribution(Bounds));
  }
}

void Dispatcher::countAnswer(const Route &Source, const ListedLeaf &Leaf,
                             AttemptOutcome Outcome, Duration Latency) {
  if (!Source.m_Idempotent)
    m_RolloutGate.countUnrepeatable(Leaf, -1);
  if (!m_RolloutGate.hasOpenRollouts())
    return;
  const auto Median =
      stats(Source).m_Latency.quantile(m_Timers.now(), 0.5, MedianMinSamples);
  const bool IsSlow =
      Median && toMillis(Latency) >= SlowMedians * toMillis(*Median);
  using Answer = RolloutGate::Answer;
  switch (Outcome) {
  case AttemptOutcome::Answered:
    m_RolloutGate.count(Leaf, Source.m_Name,
                        IsSlow ? Answer::Slow : Answer::Sound);
    break;
  case AttemptOutcome::LeafFailed:
  case AttemptOutcome::Lost:
    m_RolloutGate.count(Leaf, Source.m_Name, Answer::Failed);
    break;
  case AttemptOutcome::Abandoned:
    // An attempt that was not slow yet may have been answered in time.
    if (IsSlow)
      m_RolloutGate.count(Leaf, Source.m_Name, Answer::Slow);
    break;
  case AttemptOutcome::Refused:
  case AttemptOutcome::Unsent:
  case AttemptOutcome::Open:
    break;
  }
}

} // namespace ragwortdrift
