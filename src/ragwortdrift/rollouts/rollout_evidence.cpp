#include "ragwortdrift/rollouts/rollout_evidence.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Length of the periods in which versions are compared.
constexpr std::chrono::seconds Period{1};
/// An entry VM that has been silent for this long does not count as a reporter;
/// it reports every 250 ms.
constexpr std::chrono::seconds ReporterTimeout{1};

std::int64_t periodOf(TimePoint Now) { return Now.m_SinceStart / Period; }

} // namespace

void RolloutEvidence::add(TimePoint Now, const RolloutReport &Report) {
  for (const ServiceRolloutReport &Item : Report.m_Services)
    add(Now, Report, Item);
}

void RolloutEvidence::add(TimePoint Now, const RolloutReport &Report,
                          const ServiceRolloutReport &Item) {
  Service &Target = m_Services[Item.m_Service];
  if (Item.m_Id < Target.m_Id)
    return;
  const bool IsNew = Item.m_Id > Target.m_Id;
  if (IsNew)
    Target = {Item.m_Id, Now - Item.m_Age, Now, {}, {}};
  Target.m_StartedAt = std::min(Target.m_StartedAt, Now - Item.m_Age);
  Reporter &Sender = Target.m_Reporters[Report.m_Reporter];
  if (Report.m_Sequence <= Sender.m_Sequence)
    return;
  Sender.m_Sequence = Report.m_Sequence;
  Sender.m_SeenAt = Now;
  Sender.m_Phase = Item.m_Phase;
  Sender.m_OpenElsewhere = Item.m_OpenElsewhere;
  for (const LeafAnswers &Leaf : Item.m_Answers) {
    const CountKey Key{Leaf.m_Leaf, Leaf.m_Route};
    AnswerCounts &Recorded = Sender.m_Counts[Key];
    AnswerCounts Added = Leaf.m_Counts;
    Added -= Recorded;
    Recorded = Leaf.m_Counts;
    if (Added == AnswerCounts{})
      continue;
    LeafAnswers &Sum =
        Target.m_Answers
            .try_emplace({periodOf(Now), Key}, LeafAnswers{Leaf.m_Leaf,
                                                           Leaf.m_Domain,
                                                           Leaf.m_IsTarget,
                                                           Leaf.m_Route,
                                                           {}})
            .first->second;
    Sum.m_Counts += Added;
  }
}

void RolloutEvidence::retain(const Rollouts &Current) {
  std::erase_if(m_Services, [&](const auto &Entry) {
    const auto Found = Current.find(Entry.first);
    return Found == Current.end() || !Found->second.isOpen() ||
           Found->second.m_Id != Entry.second.m_Id;
  });
}

std::vector<AnswerSample>
RolloutEvidence::samples(const ServiceName &Name) const {
  std::vector<AnswerSample> Out;
  const auto Found = m_Services.find(Name);
  if (Found != m_Services.end())
    for (const auto &[Key, Answers] : Found->second.m_Answers)
      Out.push_back({Key.first, Answers});
  return Out;
}

std::optional<TimePoint>
RolloutEvidence::startedAt(const ServiceName &Name) const {
  const auto Found = m_Services.find(Name);
  if (Found == m_Services.end())
    return std::nullopt;
  return Found->second.m_StartedAt;
}

std::optional<TimePoint>
RolloutEvidence::observedSince(const ServiceName &Name) const {
  const auto Found = m_Services.find(Name);
  if (Found == m_Services.end())
    return std::nullopt;
  return Found->second.m_ObservedSince;
}

RolloutEvidence::Reporters
RolloutEvidence::reporters(TimePoint Now, const ServiceName &Name,
                           RolloutPhase Phase) const {
  Reporters Out;
  const auto Found = m_Services.find(Name);
  if (Found == m_Services.end())
    return Out;
  for (const auto &[Id, Sender] : Found->second.m_Reporters) {
    if (Now - Sender.m_SeenAt > ReporterTimeout)
      continue;
    ++Out.m_Count;
    Out.m_Unconfirmed += Sender.m_Phase == Phase ? 0 : 1;
    Out.m_OpenElsewhere += Sender.m_OpenElsewhere;
  }
  return Out;
}

} // namespace ragwortdrift
