#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"
#include "ragwortdrift/fleet/voter_plan.hpp"

#include <algorithm>
#include <iterator>

namespace ragwortdrift {

namespace {

/// A core VM that has had no leader for this long requests to join.
constexpr std::chrono::seconds NoLeaderTimeout{2};
/// Joins are repeated every 500 ms, so a later response is of no use.
constexpr std::chrono::milliseconds JoinTimeout{800};
/// Joins are repeated every 500 ms; a core VM that has stopped requesting is no
/// candidate any more.
constexpr std::chrono::seconds CandidateRetention{2};
/// A VM that is being added and sends nothing for this long is lost. Longer
/// than an election and the transfer of a chunk of a snapshot.
constexpr std::chrono::milliseconds LearnerTimeout{1500};
/// Longest stop of a VM after its request to leave.
constexpr std::chrono::seconds LeavingRetention{10};
/// Time for which an entry VM is counted after it was last seen. Keeps the
/// shares of fleet-wide budgets from growing while VMs restart.
constexpr std::chrono::seconds EntryRetention{30};

const Member *findVoter(const ReplicatedLogStatus &Status, const VmId &Vm) {
  for (const Member &Voter : Status.m_Voters)
    if (Voter.m_Key.m_Vm == Vm)
      return &Voter;
  return nullptr;
}

} // namespace

const CoreDirectory &CoreNode::directory() {
  if (m_Log) {
    const ReplicatedLogStatus Status = m_Log->status();
    std::set<std::string> Addresses;
    for (const auto *Members : {&Status.m_Voters, &Status.m_Learners})
      for (const Member &Peer : *Members)
        Addresses.insert(Peer.m_Address);
    m_Directory.setMembers(std::move(Addresses), Status.m_Leader.has_value());
  } else {
    m_Directory.loseLeader();
  }
  return m_Directory;
}

std::vector<std::string> CoreNode::otherCoreAddresses() {
  return directory().current(m_Timers.now());
}

void CoreNode::evictFormerVms(const ReplicatedLogStatus &Status) {
  const TimePoint Now = m_Timers.now();
  std::erase_if(m_LeavingVoters, [&](const auto &Entry) {
    return Now - Entry.second > LeavingRetention;
  });
  std::erase_if(m_JoinCandidates, [&](const auto &Entry) {
    return Now - Entry.second.m_RequestedAt > CandidateRetention;
  });
  std::erase_if(m_PeerLastContactAt, [&](const auto &Entry) {
    const VmId &Vm = Entry.first;
    const auto IsVm = [&](const Member &Peer) { return Peer.m_Key.m_Vm == Vm; };
    return Vm != m_AddedVm && std::ranges::none_of(Status.m_Voters, IsVm) &&
           std::ranges::none_of(Status.m_Learners, IsVm);
  });
}

void CoreNode::updateMembership() {
  if (!m_Log || m_Stopping)
    return;
  updateLimitTerm();
  const ReplicatedLogStatus Status = m_Log->status();
  if (std::exchange(m_LedAtLastCheck, Status.m_Role == RaftRole::Leader) !=
      m_LedAtLastCheck) {
    logEvent(LogSeverity::Info, "log.role",
             {{"role", Status.m_Role}, {"term", Status.m_Term}});
    // Followers receive messages only from their leader, so a new leader
    // has no record of which voters are unresponsive.
    m_PeerLastContactAt.clear();
  }
  evictFormerVms(Status);
  if (m_LedAtLastCheck) {
    m_LeaderSeenAt = m_Timers.now();
    changeVoters();
    recordEntryCount();
    return;
  }
  if (Status.m_Leader)
    m_LeaderSeenAt = m_Timers.now();
  const bool IsVoter = findVoter(Status, VmId{m_Address}) != nullptr;
  const bool IsForming = Status.m_IsInitialVoter && Status.m_LastIndex == 0;
  if ((!IsVoter && !IsForming) ||
      m_Timers.now() - m_LeaderSeenAt > NoLeaderTimeout)
    sendJoinRequests();
}

void CoreNode::sendJoinRequests() {
  const std::string Bytes =
      encode(JoinRequest{m_Address, m_Log->status().m_StoreId});
  for (const std::string &Core : directory().all(m_Timers.now())) {
    const auto Target = parseEndpoint(Core);
    if (!Target)
      continue;
    auto Call = std::make_shared<PeerCall>();
    *Call = m_PeerClient.open(
        Target->m_Ip, Target->m_Port, "/join", Bytes, JoinTimeout,
        [this](const std::string &Message) {
          const auto Reply = decode<JoinReply>(Message);
          if (!isOk(Reply))
            return;
          const std::string &Leader = valueOf(Reply).m_Leader;
          if (!Leader.empty())
            m_LeaderHint = Leader;
          if (!Leader.empty() && leaderAddress().empty() &&
              std::exchange(m_CanServeState, false))
            logEvent(LogSeverity::Warning, "state.stale",
                     {{"leader", Leader}, {"revision", m_State.m_Revision}});
          m_Directory.recordJoinReply(valueOf(Reply).m_Cores, !Leader.empty(),
                                      m_Timers.now());
        },
        [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
  }
}

void CoreNode::onJoinRequest(const VmId &Sender, const JoinRequest &Request,
                             const StreamPtr &Response) {
  JoinReply Reply{leaderAddress(), otherCoreAddresses()};
  Reply.m_Cores.push_back(m_Address);
  Response->send(encode(Reply));
  Response->finish();
  m_Directory.recordJoinRequest(Request.m_Address, m_Timers.now());
  // A VM that stopped and is back stays.
  m_LeavingVoters.erase(Sender);
  if (!m_Log || m_Stopping)
    return;
  const ReplicatedLogStatus Status = m_Log->status();
  const Member *Voter = findVoter(Status, Sender);
  if (Voter && Voter->m_Key.m_Store == Request.m_Store)
    return;
  // Followers keep it as well, since one of them may lead soon.
  m_JoinCandidates[Sender] = {Request.m_Address, m_Timers.now()};
  if (Status.m_Role != RaftRole::Leader)
    return;
  if (Voter)
    addVoter(Sender, Request.m_Address);
  else
    changeVoters();
}

void CoreNode::onLeaveRequest(const VmId &Sender, const StreamPtr &Response) {
  LeaveReply Reply{m_Stopping ? LeaveOutcome::Stopping
                              : LeaveOutcome::NotLeader};
  if (isLeader() && !m_Stopping) {
    m_LeavingVoters[Sender] = m_Timers.now();
    changeVoters();
    const ReplicatedLogStatus Status = m_Log->status();
    const bool IsVoter = findVoter(Status, Sender) != nullptr;
    Reply.m_Outcome = m_VoterChangePending || !Status.m_IsMembershipCommitted
                          ? LeaveOutcome::Pending
                      : IsVoter ? LeaveOutcome::Stays
                                : LeaveOutcome::Left;
    logEvent(LogSeverity::Info, "voter.leaving",
             {{"vm", Sender},
              {"outcome", Reply.m_Outcome},
              {"voters", Status.m_Voters.size()}});
  }
  Response->send(encode(Reply));
  Response->finish();
}

void CoreNode::changeVoters() {
  if (!isLeader() || m_Stopping)
    return;
  const TimePoint Now = m_Timers.now();
  // A VM that has been lost while it joins must not hold up other changes.
  if (m_AddedVm && Now - m_PeerLastContactAt[*m_AddedVm] > LearnerTimeout) {
    m_JoinCandidates.erase(*m_AddedVm);
    m_Log->abandonAddition();
  }
  if (m_VoterChangePending)
    return;
  const ReplicatedLogStatus Status = m_Log->status();
  evictFormerVms(Status);
  std::vector<VoterView> Voters;
  for (const Member &Voter : Status.m_Voters) {
    const VmId &Vm = Voter.m_Key.m_Vm;
    VoterView &View = Voters.emplace_back();
    View.m_Vm = Vm;
    if (Vm.m_Value == m_Address)
      continue;
    View.m_Silence =
        Now - m_PeerLastContactAt.try_emplace(Vm, Now).first->second;
    View.m_IsLeaving = m_LeavingVoters.contains(Vm);
  }
  std::optional<VmId> Candidate;
  for (const auto &[Vm, Entry] : m_JoinCandidates)
    if (!findVoter(Status, Vm) && !m_LeavingVoters.contains(Vm) &&
        (!Candidate ||
         Entry.m_RequestedAt > m_JoinCandidates.at(*Candidate).m_RequestedAt))
      Candidate = Vm;
  const VoterChange Change = planVoterChange(Voters, Candidate);
  if (const auto *Addition = std::get_if<AddVoter>(&Change))
    addVoter(Addition->m_Vm, m_JoinCandidates.at(Addition->m_Vm).m_Address);
  else if (const auto *Removal = std::get_if<RemoveVoter>(&Change))
    removeVoter(Removal->m_Vm);
  else
    removeLostLearner(Status);
}

void CoreNode::removeLostLearner(const ReplicatedLogStatus &Status) {
  for (const Member &Learner : Status.m_Learners) {
    const VmId &Vm = Learner.m_Key.m_Vm;
    const TimePoint LastContact =
        m_PeerLastContactAt.try_emplace(Vm, m_Timers.now()).first->second;
    if (m_Timers.now() - LastContact > LearnerTimeout)
      return removeVoter(Vm);
  }
}

void CoreNode::addVoter(const VmId &Vm, const std::string &Address) {
  if (m_VoterChangePending)
    return;
  const ReplicatedLogStatus Status = m_Log->status();
  logEvent(LogSeverity::Info, "voter.adding",
           {{"vm", Vm},
            {"replaces_store", findVoter(Status, Vm) != nullptr},
            {"voters", Status.m_Voters.size()}});
  m_VoterChangePending = true;
  m_AddedVm = Vm;
  m_PeerLastContactAt[Vm] = m_Timers.now();
  m_Log->addVoter(
      Vm, Address, [this, Vm](const Result<Done, MembershipError> &AddResult) {
        logEvent(
            isOk(AddResult) ? LogSeverity::Info : LogSeverity::Warning,
            "voter.added",
            {{"vm", Vm},
             {"error", isOk(AddResult) ? std::string_view("none")
                                       : nameOf(errorOf(AddResult).m_Code)}});
        onVoterChanged(isOk(AddResult));
      });
}

void CoreNode::removeVoter(const VmId &Vm) {
  const ReplicatedLogStatus Status = m_Log->status();
  logEvent(LogSeverity::Warning, "voter.removing",
           {{"vm", Vm},
            {"voters", Status.m_Voters.size()},
            {"leaving", m_LeavingVoters.contains(Vm)},
            {"silence_ms", m_Timers.now() - m_PeerLastContactAt[Vm]}});
  m_VoterChangePending = true;
  m_Log->removeVoter(
      Vm, [this, Vm](const Result<Done, MembershipError> &RemoveResult) {
        logEvent(LogSeverity::Info, "voter.removed",
                 {{"vm", Vm}, {"done", isOk(RemoveResult)}});
        onVoterChanged(isOk(RemoveResult));
      });
}

void CoreNode::onVoterChanged(bool IsDone) {
  m_VoterChangePending = false;
  m_AddedVm.reset();
  // Another voter may have been lost or be leaving as well.
  if (IsDone)
    changeVoters();
}

void CoreNode::recordEntryCount() {
  const std::uint32_t Count = recentEntryCount();
  if (!canServeState() || m_EntryCountPending || Count <= m_State.m_EntryCount)
    return;
  m_EntryCountPending = true;
  commitCommand(RaiseEntryCount{Count},
                [this](const Result<RoutingCommandOutcome, CoreError> &) {
                  m_EntryCountPending = false;
                });
}

void CoreNode::onWatchRequest(const PeerRequest &Request,
                              const StreamPtr &Response) {
  const auto Message = decode<WatchRequest>(Request.m_Body);
  if (!isOk(Message)) {
    rejectMalformedRequest(Request, Response);
    return;
  }
  std::erase_if(m_Watchers, [&](const auto &Entry) {
    return Entry.second.m_Vm == Request.m_Sender;
  });
  const std::uint64_t Id = m_NextWatcherId++;
  const WatchRequest &WatcherState = valueOf(Message);
  m_Watchers[Id] = {Request.m_Sender, Response, WatcherState.m_Kind,
                    WatcherState.m_Revision, WatcherState.m_ListVersion};
  Response->onCancel([this, Id] { m_Watchers.erase(Id); });
  Response->onDrained([this, Id] { onWatcherDrained(Id); });
  if (WatcherState.m_Kind != WatchKind::ListForCore) {
    m_EntryLastSeenAt[Request.m_Sender] = m_Timers.now();
    // A watcher that has just started must not serve before it knows them.
    if (!m_Crashes.empty())
      Response->send(crashUpdate(
          m_Crashes.latest(MaxCrashRecordsPerMessage, m_Timers.now())));
  }
  sendReport(Id);
}

CoreReport CoreNode::makeReport() {
  CoreReport Report;
  Report.m_Domain = m_Settings.m_Domain;
  // Read first, since the ages below must not count up to a time before it.
  Report.m_SentAt = m_BootClock().m_SinceStart;
  if (canServeState()) {
    Report.m_Revision = m_State.m_Revision;
    Report.m_IsUpToDate = m_Log && m_Log->status().m_IsUpToDate;
    if (m_StateAppendedAt)
      Report.m_RevisionAge = m_BootClock() - *m_StateAppendedAt;
    Report.m_ConfirmedAge = confirmedAge();
  }
  if (isListFresh() && m_ListVersion != ListVersion{}) {
    Report.m_ListVersion = m_ListVersion;
    Report.m_ListAge = m_Timers.now() - *m_ListReadAt;
  }
  Report.m_Cores = otherCoreAddresses();
  Report.m_Cores.push_back(m_Address);
  Report.m_EntryCount = recentEntryCount();
  return Report;
}

void CoreNode::sendReport(std::uint64_t WatcherId, const CoreReport &Report,
                          const SharedMessage &EncodedReport) {
  const auto Position = m_Watchers.find(WatcherId);
  if (Position == m_Watchers.end())
    return;
  Watcher &Receiver = Position->second;
  const auto Stream = Receiver.m_Stream;
  Receiver.m_ReportPending = Stream->unsentBytes() > 0;
  if (Receiver.m_ReportPending)
    return;
  std::vector<SharedMessage> Messages;
  if (Receiver.m_Kind == WatchKind::Content &&
      Report.m_Revision > Receiver.m_SentRevision) {
    Messages.push_back(
        m_StateUpdates.message(m_State, Receiver.m_SentRevision));
    Receiver.m_SentRevision = m_State.m_Revision;
    ++m_StatesSent;
  }
  if (Receiver.m_Kind != WatchKind::VersionsOnly &&
      Report.m_ListVersion > Receiver.m_SentListVersion) {
    std::ranges::copy(m_ListUpdates.messages(m_ListVersion, m_Leafs,
                                             Receiver.m_SentListVersion),
                      std::back_inserter(Messages));
    Receiver.m_SentListVersion = m_ListVersion;
  }
  Messages.push_back(EncodedReport);
  for (const SharedMessage &Message : Messages)
    if (!Stream->send(Message)) {
      m_Watchers.erase(WatcherId);
      return;
    }
}

void CoreNode::sendReport(std::uint64_t WatcherId) {
  const CoreReport Report = makeReport();
  sendReport(WatcherId, Report,
             std::make_shared<const std::string>(encode(WatchMessage(Report))));
}

void CoreNode::onWatcherDrained(std::uint64_t WatcherId) {
  const auto Position = m_Watchers.find(WatcherId);
  if (Position != m_Watchers.end() && Position->second.m_ReportPending)
    sendReport(WatcherId);
}

bool CoreNode::canServeState() {
  if (m_CanServeState || !m_Log)
    return m_CanServeState;
  const ReplicatedLogStatus Status = m_Log->status();
  m_CanServeState = Status.m_IsUpToDate &&
                    Status.m_AppliedIndex == Status.m_LastIndex &&
                    findVoter(Status, VmId{m_Address});
  return m_CanServeState;
}

void CoreNode::scheduleReports() {
  if (!m_ReportTimer)
    m_ReportTimer = m_Timers.after(Duration{0}, [this] {
      m_ReportTimer.reset();
      sendReports();
    });
}

void CoreNode::sendReports() {
  // Sending a report may fail and remove its watcher from the map.
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Receiver] : m_Watchers) {
    Ids.push_back(Id);
    if (Receiver.m_Kind != WatchKind::ListForCore)
      m_EntryLastSeenAt[Receiver.m_Vm] = m_Timers.now();
  }
  const CoreReport Report = makeReport();
  const auto EncodedReport =
      std::make_shared<const std::string>(encode(WatchMessage(Report)));
  for (const std::uint64_t Id : Ids)
    sendReport(Id, Report, EncodedReport);
}

std::uint32_t CoreNode::recentEntryCount() {
  std::erase_if(m_EntryLastSeenAt, [&](const auto &Entry) {
    return m_Timers.now() - Entry.second > EntryRetention;
  });
  return static_cast<std::uint32_t>(m_EntryLastSeenAt.size());
}

} // namespace ragwortdrift
