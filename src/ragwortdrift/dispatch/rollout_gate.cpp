#include "ragwortdrift/dispatch/rollout_gate.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Time for which a VM obeys the completion of a roll-out without confirmation
/// that it is not rolled back. Core VMs confirm the state every 500 ms.
constexpr std::chrono::milliseconds ConfirmationTime{1500};
/// Interval at which a VM asks for a token of a roll-out, which it has not
/// received. A reply takes a few milliseconds; more requests than this have no
/// token to expect.
constexpr std::chrono::milliseconds AskInterval{150};
/// With requests at this interval or above, most tokens would expire unused.
constexpr std::chrono::milliseconds RareRequestInterval{500};

} // namespace

RolloutPhase RolloutGate::obeyedPhase(TimePoint Now,
                                      const Rollout &Target) const {
  return Target.m_Phase == RolloutPhase::Completing &&
                 Now - m_ConfirmedAt > ConfirmationTime
             ? RolloutPhase::Running
             : Target.m_Phase;
}

void RolloutGate::setRollouts(TimePoint Now, const Rollouts &Current,
                              LeafDirectory &Leafs) {
  if (!m_Bounds || Current == m_Rollouts)
    return;
  confirm(Now);
  m_Rollouts = Current;
  m_ReportedAt.reset();
  std::erase_if(m_Open, [&](const auto &Entry) {
    return std::ranges::none_of(m_Rollouts, [&](const auto &Item) {
      return Item.second.m_Id == Entry.first && Item.second.isOpen();
    });
  });
  for (const auto &[Service, Target] : m_Rollouts) {
    if (Target.isOpen())
      m_Open.try_emplace(Target.m_Id,
                         OpenRollout{Now, {}, {}, Target.m_Phase, {}});
    markLeafs(Now, Service, Leafs);
  }
}

void RolloutGate::setLeafs(TimePoint Now, LeafDirectory &Leafs) {
  if (!m_Bounds)
    return;
  const auto Services = Leafs.services();
  std::erase_if(m_Versions, [&](const auto &Entry) {
    return !Services.contains(Entry.first) && !m_Rollouts.contains(Entry.first);
  });
  for (const ServiceName &Service : Services)
    markLeafs(Now, Service, Leafs);
}

void RolloutGate::markLeafs(TimePoint Now, const ServiceName &Service,
                            LeafDirectory &Leafs) {
  std::vector<ListedVersion> Listed;
  for (const auto &View : Leafs.leafs(Service))
    Listed.push_back({View->listed().m_Version,
                      View->listed().m_State == ListedState::Ready,
                      View->listed().m_StartedAt});
  std::optional<Rollout> Latest;
  if (const auto Found = m_Rollouts.find(Service); Found != m_Rollouts.end()) {
    Latest = Found->second;
    Latest->m_Phase = obeyedPhase(Now, *Latest);
    if (const auto Open = m_Open.find(Latest->m_Id); Open != m_Open.end())
      Open->second.m_Phase = Latest->m_Phase;
  }
  ServiceVersions &Versions = m_Versions[Service];
  Versions.update(Listed, Latest ? &*Latest : nullptr);
  for (const auto &View : Leafs.leafs(Service))
    View->setVersionUse(Versions.use(View->listed().m_Version));
}

void RolloutGate::refresh(TimePoint Now, const ServiceName &Service,
                          LeafDirectory &Leafs) {
  if (m_Open.empty())
    return;
  const auto Found = m_Rollouts.find(Service);
  if (Found == m_Rollouts.end())
    return;
  const auto Open = m_Open.find(Found->second.m_Id);
  if (Open != m_Open.end() &&
      Open->second.m_Phase != obeyedPhase(Now, Found->second))
    markLeafs(Now, Service, Leafs);
}

const Rollout *RolloutGate::runningRollout(const ServiceName &Service) const {
  if (m_Open.empty())
    return nullptr;
  const auto Found = m_Rollouts.find(Service);
  if (Found == m_Rollouts.end())
    return nullptr;
  const auto Open = m_Open.find(Found->second.m_Id);
  return Open != m_Open.end() && Open->second.m_Phase == RolloutPhase::Running
             ? &Found->second
             : nullptr;
}

bool RolloutGate::shouldAsk(TimePoint Now, const ServiceName &Service) {
  const Rollout *Target = runningRollout(Service);
  if (!Target)
    return false;
  std::optional<TimePoint> &AskedAt = m_Open.at(Target->m_Id).m_AskedAt;
  if (AskedAt && Now - *AskedAt < AskInterval)
    return false;
  AskedAt = Now;
  return true;
}

bool RolloutGate::isRarelyRequested(TimePoint Now, const ServiceName &Service) {
  const Rollout *Target = runningRollout(Service);
  if (!Target)
    return false;
  const auto Former = std::exchange(m_Open.at(Target->m_Id).m_RequestedAt, Now);
  return !Former || Now - *Former > RareRequestInterval;
}

void RolloutGate::count(const ListedLeaf &Leaf, const std::string &RouteName,
                        Answer Kind) {
  if (m_Open.empty())
    return;
  const auto Found = m_Rollouts.find(Leaf.m_Service);
  if (Found == m_Rollouts.end())
    return;
  const auto Open = m_Open.find(Found->second.m_Id);
  if (Open == m_Open.end())
    return;
  AnswerCounts &Counts =
      Open->second.m_Answers
          .try_emplace(
              {Leaf.m_Id, RouteName},
              LeafAnswers{Leaf.m_Id,
                          Leaf.m_Domain,
                          Leaf.m_Version == Found->second.m_TargetVersion,
                          RouteName,
                          {}})
          .first->second.m_Counts;
  ++Counts.m_Answers;
  Counts.m_Failures += Kind == Answer::Failed ? 1 : 0;
  Counts.m_Slow += Kind == Answer::Slow ? 1 : 0;
}

void RolloutGate::countUnrepeatable(const ListedLeaf &Leaf, int Change) {
  if (!m_Bounds)
    return;
  UnrepeatableAttempts &Attempts = m_Unrepeatable[Leaf.m_Id];
  Attempts.m_Service = Leaf.m_Service;
  Attempts.m_Version = Leaf.m_Version;
  Attempts.m_Count += Change;
  if (Attempts.m_Count <= 0)
    m_Unrepeatable.erase(Leaf.m_Id);
}

std::optional<RolloutReport> RolloutGate::takeReport(TimePoint Now,
                                                     LeafDirectory &Leafs) {
  const auto IsDue = [&](const auto &Entry) {
    return !m_ReportedAt ||
           Now - *m_ReportedAt >= reportInterval(Entry.second.m_Phase);
  };
  if (std::ranges::none_of(m_Open, IsDue))
    return std::nullopt;
  m_ReportedAt = Now;
  RolloutReport Report;
  Report.m_Reporter = m_Reporter;
  Report.m_Sequence = ++m_LastSequence;
  for (const auto &[Service, Target] : m_Rollouts) {
    const auto Open = m_Open.find(Target.m_Id);
    if (Open == m_Open.end())
      continue;
    refresh(Now, Service, Leafs);
    ServiceRolloutReport Item;
    Item.m_Service = Service;
    Item.m_Id = Target.m_Id;
    Item.m_Phase = Open->second.m_Phase;
    Item.m_Age = Now - Open->second.m_LearnedAt;
    for (const auto &[Leaf, Attempts] : m_Unrepeatable)
      if (Attempts.m_Service == Service &&
          Attempts.m_Version != Target.m_TargetVersion)
        Item.m_OpenElsewhere += static_cast<std::uint32_t>(Attempts.m_Count);
    for (const auto &[Key, Answers] : Open->second.m_Answers)
      Item.m_Answers.push_back(Answers);
    Report.m_Services.push_back(std::move(Item));
  }
  return Report;
}

} // namespace ragwortdrift
