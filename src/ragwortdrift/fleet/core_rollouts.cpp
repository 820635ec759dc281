#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Attempts at an order whose service is changed by other commands at the same
/// time.
constexpr unsigned MaxRolloutAttempts = 3;

} // namespace

void CoreNode::startRollout(const ServiceName &Service,
                            const std::string &Version, Duration Time,
                            std::function<bool()> IsWaiting,
                            CommandCallback Callback) {
  prepareRollout(std::make_shared<RolloutOrder>(RolloutOrder{
      StartRollout{Service, Version, Time, 0}, std::move(IsWaiting),
      std::move(Callback), MaxRolloutAttempts}));
}

void CoreNode::prepareRollout(const RolloutOrderPtr &Order) {
  --Order->m_AttemptsLeft;
  read([this, Order](const Result<RoutingState, CoreError> &ReadResult) {
    if (!isOk(ReadResult))
      return Order->m_Callback(errorOf(ReadResult));
    // Orders that change nothing are answered from the confirmed state.
    RoutingState State = valueOf(ReadResult);
    StartRollout &Command = Order->m_Command;
    Command.m_LastChange = lastChange(State, Command.m_Service);
    const RoutingCommandOutcome Outcome = applyCommand(State, Command);
    if (Outcome != RoutingCommandOutcome::Accepted)
      return Order->m_Callback(Outcome);
    runAfterAbandonmentNotice([this, Order] { submitRollout(Order); });
  });
}

void CoreNode::submitRollout(const RolloutOrderPtr &Order) {
  const StartRollout &Command = Order->m_Command;
  if (!Order->m_IsWaiting()) {
    logEvent(
        LogSeverity::Warning, "command.abandoned",
        {{"service", Command.m_Service}, {"target", Command.m_TargetVersion}});
    return Order->m_Callback(CoreError{CoreErrorCode::Abandoned, {}});
  }
  submit(Command, [this,
                   Order](Result<RoutingCommandOutcome, CoreError> Outcome) {
    const bool IsOutdated =
        isOk(Outcome) && valueOf(Outcome) == RoutingCommandOutcome::Outdated;
    if (IsOutdated && Order->m_AttemptsLeft > 0)
      prepareRollout(Order);
    else
      Order->m_Callback(std::move(Outcome));
  });
}

void CoreNode::onRolloutCommand(const RoutingCommand &Command) {
  if (const auto *Start = std::get_if<StartRollout>(&Command)) {
    const Rollout &Target = m_State.m_Rollouts.at(Start->m_Service);
    if (m_StateAppendedAt)
      m_RolloutStarts[Target.m_Id] = *m_StateAppendedAt;
    logEvent(LogSeverity::Info, "rollout.started",
             {{"service", Start->m_Service},
              {"target", Start->m_TargetVersion},
              {"id", Target.m_Id},
              {"duration_ms", Target.m_Duration}});
  } else if (const auto *Advance = std::get_if<AdvanceRollout>(&Command)) {
    logEvent(LogSeverity::Info, "rollout.advanced",
             {{"service", Advance->m_Service},
              {"id", Advance->m_Id},
              {"phase", Advance->m_Phase},
              {"cause", Advance->m_Cause}});
  }
}

void CoreNode::onRolloutReport(const PeerRequest &Request) {
  auto Report = decode<RolloutReport>(Request.m_Body);
  if (!isOk(Report)) {
    logEvent(LogSeverity::Warning, "peer.bad_message",
             {{"from", Request.m_Sender}, {"path", Request.m_Path}});
    return;
  }
  if (isLeader()) {
    m_RolloutEvidence.add(m_Timers.now(), valueOf(Report));
    return;
  }
  const std::string Leader = leaderAddress();
  if (valueOf(Report).m_FromCore || Leader.empty())
    return;
  valueOf(Report).m_FromCore = true;
  sendOneWay(Leader, "/rollouts", encode(valueOf(Report)));
}

void CoreNode::judgeRollouts() {
  const Rollouts &Current = m_State.m_Rollouts;
  if (Current.empty())
    return;
  const auto IsClosed = [&](std::uint64_t Id) {
    return std::ranges::none_of(Current, [&](const auto &Entry) {
      return Entry.second.m_Id == Id && Entry.second.isOpen();
    });
  };
  std::erase_if(m_RolloutStarts,
                [&](const auto &Entry) { return IsClosed(Entry.first); });
  std::erase_if(m_RolloutProgress,
                [&](const auto &Entry) { return IsClosed(Entry.first); });
  std::erase_if(m_PendingRollouts, IsClosed);
  if (!isLeader()) {
    m_RolloutEvidence.clear();
    return;
  }
  m_RolloutEvidence.retain(Current);
  // A command that is applied at once changes the state.
  const Rollouts Open = Current;
  for (const auto &[Service, Target] : Open)
    if (Target.isOpen() && !m_PendingRollouts.contains(Target.m_Id))
      judgeRollout(Service, Target);
}

RolloutStatus CoreNode::rolloutStatus(const ServiceName &Service,
                                      const Rollout &Target) {
  const TimePoint Now = m_Timers.now();
  RolloutStatus Status;
  RolloutProgress &Progress =
      m_RolloutProgress
          .try_emplace(Target.m_Id, RolloutProgress{RolloutVerdict::Unclear,
                                                    Target.m_Phase, Now})
          .first->second;
  if (std::exchange(Progress.m_Phase, Target.m_Phase) != Target.m_Phase)
    Progress.m_PhaseSince = Now;
  Status.m_PhaseAge = Now - Progress.m_PhaseSince;
  for (const ListedLeaf &Leaf : m_Leafs) {
    if (Leaf.m_Service != Service || Leaf.m_State != ListedState::Ready)
      continue;
    if (Leaf.m_Version != Target.m_TargetVersion)
      ++Status.m_OtherLeafs;
    else if (Leaf.m_RemainingWarmUp == Duration{0})
      ++Status.m_TargetLeafs;
  }
  std::optional<TimePoint> StartedAt = m_RolloutEvidence.startedAt(Service);
  if (const auto Start = m_RolloutStarts.find(Target.m_Id);
      Start != m_RolloutStarts.end())
    StartedAt = std::min(StartedAt.value_or(Start->second), Start->second);
  if (StartedAt)
    Status.m_Age = Now - *StartedAt;
  if (const auto ObservedSince = m_RolloutEvidence.observedSince(Service))
    Status.m_ObservedTime = Now - *ObservedSince;
  const auto Reporters =
      m_RolloutEvidence.reporters(Now, Service, Target.m_Phase);
  Status.m_Reporters = Reporters.m_Count;
  Status.m_Unconfirmed = Reporters.m_Unconfirmed;
  Status.m_OpenElsewhere = Reporters.m_OpenElsewhere;
  Status.m_Judgement = ragwortdrift::judgeRollout(
      m_RolloutEvidence.samples(Service),
      {isFinalStage(Target, Status.m_Age), Status.m_TargetLeafs});
  if (m_Settings.m_RolloutBounds)
    setExposure(*m_Settings.m_RolloutBounds, Target, Status);
  return Status;
}

void CoreNode::judgeRollout(const ServiceName &Service, const Rollout &Target) {
  const RolloutStatus Status = rolloutStatus(Service, Target);
  const Judgement &Evidence = Status.m_Judgement;
  updateRolloutMetrics(Service, Evidence);
  RolloutVerdict &LastVerdict = m_RolloutProgress.at(Target.m_Id).m_Verdict;
  if (std::exchange(LastVerdict, Evidence.m_Verdict) != Evidence.m_Verdict)
    logEvent(LogSeverity::Info, "rollout.verdict",
             {{"service", Service},
              {"target", Target.m_TargetVersion},
              {"id", Target.m_Id},
              {"verdict", Evidence.m_Verdict},
              {"cause", Evidence.m_Cause},
              {"age_ms", Status.m_Age},
              {"answers", Evidence.m_Target.m_Answers},
              {"failures", Evidence.m_Target.m_Failures},
              {"slow", Evidence.m_Target.m_Slow},
              {"other_answers", Evidence.m_Others.m_Answers},
              {"other_failures", Evidence.m_Others.m_Failures},
              {"other_slow", Evidence.m_Others.m_Slow}});
  const auto Step = nextStep(Target, Status);
  if (!Step)
    return;
  logEvent(LogSeverity::Info, "rollout.decided",
           {{"service", Service},
            {"target", Target.m_TargetVersion},
            {"id", Target.m_Id},
            {"phase", Step->m_Phase},
            {"cause", Step->m_Cause},
            {"age_ms", Status.m_Age},
            {"reporters", Status.m_Reporters},
            {"unconfirmed", Status.m_Unconfirmed},
            {"exposure_left", Status.m_ExposureLeft},
            {"target_leafs", Status.m_TargetLeafs},
            {"other_leafs", Status.m_OtherLeafs}});
  m_PendingRollouts.insert(Target.m_Id);
  commitCommand(
      AdvanceRollout{Service, Target.m_Id, Step->m_Phase, Step->m_Cause},
      [this, Id = Target.m_Id](
          const Result<RoutingCommandOutcome, CoreError> &Outcome) {
        m_PendingRollouts.erase(Id);
        if (!isOk(Outcome))
          logEvent(LogSeverity::Warning, "rollout.not_committed",
                   {{"id", Id}, {"error", errorOf(Outcome).m_Code}});
      });
}

void CoreNode::updateRolloutMetrics(const ServiceName &Service,
                                    const Judgement &Evidence) {
  const std::uint32_t Answers =
      Evidence.m_Target.m_Answers + Evidence.m_Others.m_Answers;
  const MetricLabels Labels{{"service", Service.m_Value}};
  m_Metrics.gauge("ragwortdrift_rollout_answers", Labels).set(Answers);
  m_Metrics.gauge("ragwortdrift_rollout_target_answers", Labels)
      .set(Evidence.m_Target.m_Answers);
  if (m_Settings.m_RolloutBounds)
    m_Metrics.gauge("ragwortdrift_rollout_target_answers_bound", Labels)
        .set(m_Settings.m_RolloutBounds->m_Share * Answers +
             m_Settings.m_RolloutBounds->m_Tolerance);
}

} // namespace ragwortdrift
