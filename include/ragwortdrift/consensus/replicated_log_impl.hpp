#ifndef RAGWORTDRIFT_CONSENSUS_REPLICATED_LOG_IMPL_HPP
#define RAGWORTDRIFT_CONSENSUS_REPLICATED_LOG_IMPL_HPP

#include "ragwortdrift/consensus/replicated_log.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace detail {

/// Returns Requested, or a store id from std::random_device if Requested is 0.
StoreId chooseNewStoreId(StoreId Requested);
RaftOptions raftOptions(const ReplicatedLogOptions &Options);

} // namespace detail

template <FileOps Files>
BasicReplicatedLog<Files>::BasicReplicatedLog(ReplicatedLogOptions Options,
                                              Files Folder,
                                              TimerService &Timers,
                                              ReplicatedLogCallbacks Callbacks)
    : m_Options(std::move(Options)), m_Timers(Timers),
      m_Callbacks(std::move(Callbacks)), m_Engine(m_Options.m_Seed),
      m_Store(std::move(Folder),
              detail::chooseNewStoreId(m_Options.m_NewStoreId),
              m_Options.m_InitialVoters) {}

template <FileOps Files>
Result<Done, StoreError> BasicReplicatedLog<Files>::open() {
  auto Recovered = m_Store.open();
  if (!isOk(Recovered))
    return errorOf(Recovered);
  m_Self = MemberKey{m_Options.m_Self, m_Store.storeId()};
  m_HardState = valueOf(Recovered).m_HardState;
  std::shared_ptr<const Snapshot> LatestSnapshot =
      valueOf(Recovered).m_Snapshot;
  m_Core.emplace(detail::raftOptions(m_Options), m_Self,
                 std::move(valueOf(Recovered)), m_Engine);
  if (LatestSnapshot) {
    m_SnapshotIndex = LatestSnapshot->m_Index;
    m_SnapshotSize = LatestSnapshot->m_Bytes.size();
    m_Callbacks.m_Restore(LatestSnapshot->m_Bytes);
  }
  m_Bootstrap.emplace(m_Self, m_Store.initialVoters(), m_Engine);
  m_TickTimer = m_Timers.every(m_Options.m_TickInterval, [this] { onTick(); });
  m_QueryTimer =
      m_Timers.every(m_Options.m_QueryPeriod, [this] { onQueryPeriod(); });
  advanceBootstrap();
  return Done{};
}

template <FileOps Files>
void BasicReplicatedLog<Files>::receive(const VmId &Sender,
                                        std::string_view Bytes) {
  if (!isUsable())
    return;
  auto DecodedMessage = decode<Message>(Bytes);
  if (!isOk(DecodedMessage))
    return;
  const Message &Msg = valueOf(DecodedMessage);
  if (Msg.m_From.m_Vm != Sender || Msg.m_To.m_Vm != m_Self.m_Vm)
    return;
  if (const auto *Query = std::get_if<StoreQuery>(&Msg.m_Body))
    onStoreQuery(Msg, *Query);
  else if (const auto *Response = std::get_if<StoreResponse>(&Msg.m_Body))
    onStoreResponse(Msg, *Response);
  else
    m_Core->step(Msg);
  scheduleProcessing();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::propose(std::string Payload,
                                        ProposeCallback Callback) {
  if (!isUsable())
    return complete(Callback, ProposeError{ProposeErrorCode::StoreFailed, {}});
  if (Payload.size() > m_Options.m_MaxPayloadBytes)
    return complete(Callback, ProposeError{ProposeErrorCode::TooLarge, {}});
  auto Index = m_Core->propose(std::move(Payload));
  if (!isOk(Index))
    return complete(Callback, errorOf(Index));
  m_PendingProposals[valueOf(Index)] = {m_Core->term(), std::move(Callback)};
  scheduleProcessing();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::confirmLeadership(ProposeCallback Callback) {
  if (!isUsable())
    return complete(Callback, ProposeError{ProposeErrorCode::StoreFailed, {}});
  std::uint64_t Token = ++m_LastReadToken;
  auto ReadRequest = m_Core->requestRead(Token);
  if (!isOk(ReadRequest))
    return complete(Callback, errorOf(ReadRequest));
  m_PendingReads[Token] = std::move(Callback);
  scheduleProcessing();
}

template <FileOps Files> void BasicReplicatedLog<Files>::transferLeadership() {
  if (!isUsable())
    return;
  m_Core->transferLeadership();
  scheduleProcessing();
}

template <FileOps Files>
ReplicatedLogStatus BasicReplicatedLog<Files>::status() const {
  ReplicatedLogStatus Status;
  Status.m_StoreId = m_Self.m_Store;
  Status.m_IsInitialVoter =
      std::ranges::find(m_Store.initialVoters(), m_Self.m_Vm,
                        &InitialVoter::m_Vm) != m_Store.initialVoters().end();
  Status.m_SyncCount = m_Store.syncCount();
  Status.m_StoreError = m_Store.failure();
  if (!m_Core)
    return Status;
  Status.m_Role = isUsable() ? m_Core->role() : RaftRole::Follower;
  Status.m_Term = m_Core->term();
  if (isUsable())
    Status.m_Leader = m_Core->leaderHint();
  Status.m_IsUpToDate = isUsable() && m_Core->isUpToDate();
  Status.m_CommitIndex = m_Core->commitIndex();
  Status.m_AppliedIndex = m_Core->appliedIndex();
  Status.m_LastIndex = m_Core->log().lastIndex();
  Status.m_SnapshotIndex = m_SnapshotIndex;
  Status.m_LogBytes = m_Core->log().bytes();
  Status.m_Voters = m_Core->membership().m_Voters;
  Status.m_Learners = m_Core->membership().m_Learners;
  Status.m_IsMembershipCommitted = !m_Core->changeInProgress();
  return Status;
}

template <FileOps Files> void BasicReplicatedLog<Files>::scheduleProcessing() {
  if (std::exchange(m_ProcessingScheduled, true))
    return;
  if (!m_Callbacks.m_Defer) {
    m_ProcessingTimer =
        m_Timers.after(Duration{0}, [this] { processEffects(); });
    return;
  }
  m_Callbacks.m_Defer([this, Lifetime = std::weak_ptr<bool>(m_Lifetime)] {
    if (!Lifetime.expired())
      processEffects();
  });
}

template <FileOps Files> void BasicReplicatedLog<Files>::processEffects() {
  m_ProcessingScheduled = false;
  while (isUsable()) {
    Effects Output = m_Core->takeEffects();
    if (Output.empty())
      break;
    if (!persist(Output))
      break;
    m_Core->persisted();
    for (OutgoingMessage &Outgoing : m_Outbox)
      Output.m_Messages.push_back(std::move(Outgoing));
    m_Outbox.clear();
    for (const OutgoingMessage &Outgoing : Output.m_Messages)
      m_Callbacks.m_Send(Outgoing.m_Message.m_To.m_Vm, Outgoing.m_Address,
                         encode(Outgoing.m_Message));
    if (Output.m_SnapshotToInstall) {
      m_SnapshotIndex = Output.m_SnapshotToInstall->m_Index;
      m_SnapshotSize = Output.m_SnapshotToInstall->m_Bytes.size();
      m_BytesSinceSnapshot = 0;
      m_Callbacks.m_Restore(Output.m_SnapshotToInstall->m_Bytes);
    }
    applyCommitted(Output);
    completeReads(Output);
    failLostProposals();
    checkMembershipChange();
    takeSnapshotIfDue();
  }
  for (const OutgoingMessage &Outgoing : std::exchange(m_Outbox, {}))
    if (isUsable())
      m_Callbacks.m_Send(Outgoing.m_Message.m_To.m_Vm, Outgoing.m_Address,
                         encode(Outgoing.m_Message));
  if (m_Store.failure())
    onStoreFailed();
  runCompletions();
}

template <FileOps Files>
bool BasicReplicatedLog<Files>::persist(const Effects &Output) {
  if (Output.m_HardState)
    m_HardState = *Output.m_HardState;
  if (Output.m_SnapshotToInstall &&
      !isOk(m_Store.saveSnapshot(*Output.m_SnapshotToInstall, m_HardState, {})))
    return false;
  for (const LogEntry &Entry : Output.m_Entries)
    m_AppendedAt[Entry.m_Index] = m_Timers.now();
  if (!Output.m_HardState && Output.m_Entries.empty())
    return true;
  return isOk(m_Store.write(Output.m_HardState, Output.m_Entries));
}

template <FileOps Files>
void BasicReplicatedLog<Files>::applyCommitted(const Effects &Output) {
  for (const LogEntry &Entry : Output.m_Apply) {
    m_BytesSinceSnapshot += Entry.m_Bytes.size();
    if (Entry.m_Kind == EntryKind::Payload)
      m_Callbacks.m_Apply(Entry.m_Index, Entry.m_Bytes);
    auto It = m_PendingProposals.find(Entry.m_Index);
    if (It == m_PendingProposals.end())
      continue;
    if (It->second.m_Term == Entry.m_Term)
      complete(It->second.m_Callback, Entry.m_Index);
    else
      complete(
          It->second.m_Callback,
          ProposeError{ProposeErrorCode::LostLeadership, m_Core->leaderHint()});
    m_PendingProposals.erase(It);
  }
  m_AppendedAt.erase(m_AppendedAt.begin(),
                     m_AppendedAt.upper_bound(m_Core->appliedIndex()));
}

template <FileOps Files>
std::optional<TimePoint>
BasicReplicatedLog<Files>::appendedAt(LogIndex Index) const {
  const auto Position = m_AppendedAt.find(Index);
  return Position == m_AppendedAt.end() ? std::nullopt
                                        : std::optional(Position->second);
}

template <FileOps Files>
void BasicReplicatedLog<Files>::completeReads(const Effects &Output) {
  auto TakeCallback = [&](std::uint64_t Token) {
    ProposeCallback Callback = std::move(m_PendingReads.at(Token));
    m_PendingReads.erase(Token);
    return Callback;
  };
  for (const ConfirmedRead &Read : Output.m_Reads) {
    ProposeCallback Callback = TakeCallback(Read.m_Token);
    complete(Callback, Read.m_Index);
  }
  for (std::uint64_t Token : Output.m_FailedReads) {
    ProposeCallback Callback = TakeCallback(Token);
    complete(Callback, notLeaderError());
  }
}

template <FileOps Files> void BasicReplicatedLog<Files>::failLostProposals() {
  bool IsLeader = m_Core->role() == RaftRole::Leader;
  for (auto It = m_PendingProposals.begin(); It != m_PendingProposals.end();) {
    if (IsLeader && It->second.m_Term == m_Core->term()) {
      ++It;
      continue;
    }
    complete(
        It->second.m_Callback,
        ProposeError{ProposeErrorCode::LostLeadership, m_Core->leaderHint()});
    It = m_PendingProposals.erase(It);
  }
}

template <FileOps Files> void BasicReplicatedLog<Files>::takeSnapshotIfDue() {
  LogIndex Applied = m_Core->appliedIndex();
  if (Applied < m_SnapshotIndex + m_Options.m_SnapshotEntries &&
      m_BytesSinceSnapshot <
          std::max(m_Options.m_SnapshotBytes, m_SnapshotSize))
    return;
  const MemoryLog &Log = m_Core->log();
  auto NewSnapshot = std::make_shared<Snapshot>();
  NewSnapshot->m_Index = Applied;
  NewSnapshot->m_Term = *Log.termAt(Applied);
  NewSnapshot->m_Membership = m_Core->membershipAt(Applied);
  NewSnapshot->m_Bytes = m_Callbacks.m_TakeSnapshot();
  std::vector<LogEntry> Suffix;
  for (LogIndex I = Applied + 1; I <= m_Core->persistedIndex(); ++I)
    Suffix.push_back(Log.at(I));
  if (!isOk(m_Store.saveSnapshot(*NewSnapshot, m_HardState, Suffix)))
    return;
  m_SnapshotIndex = Applied;
  m_SnapshotSize = NewSnapshot->m_Bytes.size();
  m_BytesSinceSnapshot = 0;
  m_Core->compact(std::move(NewSnapshot));
}

template <FileOps Files> void BasicReplicatedLog<Files>::onStoreFailed() {
  ProposeError Error{ProposeErrorCode::StoreFailed, {}};
  for (auto Abandoned = std::exchange(m_PendingProposals, {});
       auto &[Index, Pending] : Abandoned)
    complete(Pending.m_Callback, Error);
  for (auto Abandoned = std::exchange(m_PendingReads, {});
       auto &[Token, Callback] : Abandoned)
    complete(Callback, Error);
  if (m_MembershipChange)
    finishMembershipChange(MembershipErrorCode::StoreFailed);
  m_TickTimer.reset();
  m_QueryTimer.reset();
}

template <FileOps Files> void BasicReplicatedLog<Files>::onTick() {
  m_Core->tick();
  checkMembershipChange();
  scheduleProcessing();
}

template <FileOps Files> void BasicReplicatedLog<Files>::onQueryPeriod() {
  if (!isUsable())
    return;
  advanceBootstrap();
  if (m_MembershipChange &&
      m_MembershipChange->m_Phase == MembershipChangePhase::Query)
    queryNewMember();
}

template <FileOps Files> void BasicReplicatedLog<Files>::advanceBootstrap() {
  ClusterId LocalCluster(m_Self.m_Store.m_Value);
  bool InOtherCluster =
      m_Core->cluster() != ClusterId() && m_Core->cluster() != LocalCluster;
  if (!m_Bootstrap || m_Core->hasLog() || InOtherCluster ||
      !m_Bootstrap->isCoordinator()) {
    m_Bootstrap.reset();
    return;
  }
  if (auto InitialMembership = m_Bootstrap->result()) {
    m_Core->bind(LocalCluster);
    m_Core->bootstrap(*InitialMembership);
    m_Bootstrap.reset();
  } else {
    for (OutgoingMessage &Query : m_Bootstrap->queries())
      m_Outbox.push_back(std::move(Query));
  }
  scheduleProcessing();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::onStoreQuery(const Message &Msg,
                                             const StoreQuery &Body) {
  if (Body.m_Bind)
    m_Core->bind(Msg.m_Cluster);
  StoreResponse Response{Body.m_Nonce, m_Core->cluster() == Msg.m_Cluster,
                         m_Core->hasLog()};
  m_Outbox.push_back(
      {Msg.m_FromAddress,
       Message{Msg.m_Cluster, m_Self, {}, Msg.m_From, 0, Response}});
}

template <FileOps Files>
void BasicReplicatedLog<Files>::onStoreResponse(const Message &Msg,
                                                const StoreResponse &Body) {
  if (Msg.m_To != m_Self)
    return;
  if (m_Bootstrap && !m_Core->hasLog()) {
    m_Bootstrap->onResponse(Msg, Body);
    // Only the timer retries queries. A query for each response would multiply
    // duplicated messages without bound.
    if (m_Bootstrap->isPhaseComplete())
      advanceBootstrap();
    return;
  }
  if (!m_MembershipChange ||
      m_MembershipChange->m_Phase != MembershipChangePhase::Query ||
      m_MembershipChange->m_Nonce != Body.m_Nonce ||
      m_MembershipChange->m_Member.m_Key.m_Vm != Msg.m_From.m_Vm)
    return;
  if (!Body.m_Bound)
    return finishMembershipChange(MembershipErrorCode::ForeignStore);
  m_MembershipChange->m_Member.m_Key = Msg.m_From;
  auto ChangeIndex = m_Core->addLearner(m_MembershipChange->m_Member);
  if (!isOk(ChangeIndex))
    return finishMembershipChange(errorOf(ChangeIndex).m_Code);
  m_MembershipChange->m_Phase = MembershipChangePhase::CatchUp;
  m_MembershipChange->m_Index = valueOf(ChangeIndex);
}

template <FileOps Files>
void BasicReplicatedLog<Files>::addVoter(const VmId &Vm, std::string Address,
                                         MembershipCallback Callback) {
  MembershipError Error{MembershipErrorCode::NotLeader, {}};
  if (isUsable() && m_Core->role() == RaftRole::Leader) {
    Error.m_Code = MembershipErrorCode::ChangeInProgress;
  } else if (isUsable()) {
    Error.m_Leader = m_Core->leaderHint();
  } else {
    Error.m_Code = MembershipErrorCode::StoreFailed;
  }
  if (Error.m_Code != MembershipErrorCode::ChangeInProgress ||
      m_MembershipChange)
    return complete(Callback, Error);
  if (Vm == m_Self.m_Vm)
    return complete(Callback, Done{});
  m_MembershipChange =
      MembershipChange{MembershipChangePhase::Query,
                       Member{MemberKey{Vm, {}}, std::move(Address)},
                       m_Core->term(),
                       0,
                       m_Engine(),
                       m_Timers.now() + m_Options.m_CatchUpTimeout,
                       std::move(Callback)};
  queryNewMember();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::removeVoter(const VmId &Vm,
                                            MembershipCallback Callback) {
  if (!isUsable())
    return complete(Callback,
                    MembershipError{MembershipErrorCode::StoreFailed, {}});
  if (m_MembershipChange)
    return complete(Callback,
                    MembershipError{MembershipErrorCode::ChangeInProgress,
                                    m_Core->leaderHint()});
  auto ChangeIndex = m_Core->removeMember(Vm);
  if (!isOk(ChangeIndex))
    return complete(Callback, errorOf(ChangeIndex));
  m_MembershipChange =
      MembershipChange{MembershipChangePhase::Remove,
                       Member{MemberKey{Vm, {}}, {}},
                       m_Core->term(),
                       valueOf(ChangeIndex),
                       0,
                       m_Timers.now() + m_Options.m_CatchUpTimeout,
                       std::move(Callback)};
  scheduleProcessing();
}

template <FileOps Files> void BasicReplicatedLog<Files>::abandonAddition() {
  if (m_MembershipChange &&
      m_MembershipChange->m_Phase != MembershipChangePhase::Remove)
    finishMembershipChange(MembershipErrorCode::NotCaughtUp);
}

template <FileOps Files> void BasicReplicatedLog<Files>::queryNewMember() {
  const Member &NewMember = m_MembershipChange->m_Member;
  std::string LocalAddress;
  for (const Member &M : m_Core->membership().m_Voters)
    if (M.m_Key == m_Self)
      LocalAddress = M.m_Address;
  m_Outbox.push_back(
      {NewMember.m_Address,
       Message{m_Core->cluster(), m_Self, LocalAddress, NewMember.m_Key,
               m_Core->term(),
               StoreQuery{m_MembershipChange->m_Nonce, /*m_Bind=*/true}}});
  scheduleProcessing();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::checkMembershipChange() {
  if (!m_MembershipChange)
    return;
  bool IsCommitted = m_MembershipChange->m_Index > 0 &&
                     m_Core->commitIndex() >= m_MembershipChange->m_Index &&
                     m_Core->term() == m_MembershipChange->m_Term;
  const auto &Voters = m_Core->membership().m_Voters;
  bool IsVoter =
      std::any_of(Voters.begin(), Voters.end(), [&](const Member &M) {
        return M.m_Key == m_MembershipChange->m_Member.m_Key;
      });
  if (IsCommitted &&
      (m_MembershipChange->m_Phase == MembershipChangePhase::Remove ||
       (IsVoter && !m_Core->changeInProgress())))
    return finishMembershipChange(std::nullopt);
  if (m_Core->role() != RaftRole::Leader ||
      m_Core->term() != m_MembershipChange->m_Term)
    return finishMembershipChange(MembershipErrorCode::NotLeader);
  if (m_Timers.now() >= m_MembershipChange->m_Deadline)
    finishMembershipChange(m_MembershipChange->m_Phase ==
                                   MembershipChangePhase::Remove
                               ? MembershipErrorCode::ChangeInProgress
                               : MembershipErrorCode::NotCaughtUp);
}

template <FileOps Files>
void BasicReplicatedLog<Files>::finishMembershipChange(
    std::optional<MembershipErrorCode> Error) {
  MembershipCallback Callback = std::move(m_MembershipChange->m_Callback);
  m_MembershipChange.reset();
  if (Error)
    complete(Callback, MembershipError{*Error, m_Core->leaderHint()});
  else
    complete(Callback, Done{});
}

template <FileOps Files>
void BasicReplicatedLog<Files>::complete(
    MembershipCallback &Callback, Result<Done, MembershipError> Outcome) {
  m_Completions.push_back(
      [Callback = std::move(Callback), Outcome = std::move(Outcome)] {
        Callback(Outcome);
      });
  scheduleProcessing();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::complete(
    ProposeCallback &Callback, Result<LogIndex, ProposeError> Outcome) {
  m_Completions.push_back(
      [Callback = std::move(Callback), Outcome = std::move(Outcome)] {
        Callback(Outcome);
      });
  scheduleProcessing();
}

template <FileOps Files> void BasicReplicatedLog<Files>::runCompletions() {
  for (const auto &Completion : std::exchange(m_Completions, {}))
    Completion();
}

template <FileOps Files>
ProposeError BasicReplicatedLog<Files>::notLeaderError() const {
  return ProposeError{ProposeErrorCode::NotLeader, m_Core->leaderHint()};
}

} // namespace ragwortdrift

#endif
