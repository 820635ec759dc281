#ifndef RAGWORTDRIFT_CONSENSUS_REPLICATED_LOG_IMPL_HPP
#define RAGWORTDRIFT_CONSENSUS_REPLICATED_LOG_IMPL_HPP

#include "ragwortdrift/consensus/replicated_log.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace detail {

/// A store id from std::random_device, unless one was given.
StoreId freshStoreId(StoreId Wanted);
CoreOptions coreOptions(const ReplicatedLogOptions &Options);

} // namespace detail

template <FileOps Files>
BasicReplicatedLog<Files>::BasicReplicatedLog(ReplicatedLogOptions Options,
                                              Files Folder,
                                              TimerService &Timers,
                                              ReplicatedLogCallbacks Callbacks)
    : m_Options(std::move(Options)), m_Timers(Timers),
      m_Callbacks(std::move(Callbacks)), m_Engine(m_Options.m_Seed),
      m_Store(std::move(Folder),
              detail::freshStoreId(m_Options.m_FreshStoreId)) {}

template <FileOps Files>
Result<Done, StoreError> BasicReplicatedLog<Files>::open() {
  auto Recovered = m_Store.open();
  if (!isOk(Recovered))
    return errorOf(Recovered);
  m_Self = MemberKey{m_Options.m_Self, m_Store.storeId()};
  m_Hard = valueOf(Recovered).m_Hard;
  std::shared_ptr<const Snapshot> Last = valueOf(Recovered).m_Snapshot;
  m_Core.emplace(detail::coreOptions(m_Options), m_Self,
                 std::move(valueOf(Recovered)), m_Engine);
  if (Last) {
    m_SnapshotIndex = Last->m_Index;
    m_Callbacks.m_Restore(Last->m_Bytes);
  }
  m_Bootstrap.emplace(m_Self, m_Options.m_FirstVoters, m_Engine);
  m_TickTimer = m_Timers.every(m_Options.m_Tick, [this] { onTick(); });
  m_QueryTimer =
      m_Timers.every(m_Options.m_QueryPeriod, [this] { onQueryPeriod(); });
  continueBootstrap();
  return Done{};
}

template <FileOps Files>
void BasicReplicatedLog<Files>::receive(const VmId &From,
                                        std::string_view Bytes) {
  if (!usable())
    return;
  auto Decoded = decode<Message>(Bytes);
  if (!isOk(Decoded))
    return;
  const Message &In = valueOf(Decoded);
  if (In.m_From.m_Vm != From || In.m_To.m_Vm != m_Self.m_Vm)
    return;
  if (const auto *Query = std::get_if<StoreQuery>(&In.m_Body))
    onStoreQuery(In, *Query);
  else if (const auto *Answer = std::get_if<StoreAnswer>(&In.m_Body))
    onStoreAnswer(In, *Answer);
  else
    m_Core->step(In);
  schedulePump();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::propose(std::string Payload,
                                        ProposeCallback Callback) {
  if (!usable())
    return answer(Callback, ProposeError{ProposeErrorCode::StoreFailed, {}});
  if (Payload.size() > m_Options.m_MaxPayloadBytes)
    return answer(Callback, ProposeError{ProposeErrorCode::TooLarge, {}});
  auto Index = m_Core->propose(std::move(Payload));
  if (!isOk(Index))
    return answer(Callback, errorOf(Index));
  m_Proposals[valueOf(Index)] = {m_Core->term(), std::move(Callback)};
  schedulePump();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::confirmLeadership(ProposeCallback Callback) {
  if (!usable())
    return answer(Callback, ProposeError{ProposeErrorCode::StoreFailed, {}});
  std::uint64_t Token = ++m_NextRead;
  auto Requested = m_Core->requestRead(Token);
  if (!isOk(Requested))
    return answer(Callback, errorOf(Requested));
  m_Reads[Token] = std::move(Callback);
  schedulePump();
}

template <FileOps Files> void BasicReplicatedLog<Files>::transferLeadership() {
  if (!usable())
    return;
  m_Core->transferLeadership();
  schedulePump();
}

template <FileOps Files>
ReplicatedLogStatus BasicReplicatedLog<Files>::status() const {
  ReplicatedLogStatus Out;
  Out.m_StoreId = m_Self.m_Store;
  Out.m_SyncCount = m_Store.syncCount();
  Out.m_StoreError = m_Store.failure();
  if (!m_Core)
    return Out;
  Out.m_Role = usable() ? m_Core->role() : RaftRole::Follower;
  Out.m_Term = m_Core->term();
  if (usable())
    Out.m_Leader = m_Core->leaderHint();
  Out.m_CommitIndex = m_Core->commitIndex();
  Out.m_AppliedIndex = m_Core->appliedIndex();
  Out.m_LastIndex = m_Core->log().lastIndex();
  Out.m_SnapshotIndex = m_SnapshotIndex;
  Out.m_Voters = m_Core->membership().m_Voters;
  Out.m_Learners = m_Core->membership().m_Learners;
  return Out;
}

template <FileOps Files> void BasicReplicatedLog<Files>::schedulePump() {
  if (std::exchange(m_PumpScheduled, true))
    return;
  if (!m_Callbacks.m_Defer) {
    m_PumpTimer = m_Timers.after(Duration{0}, [this] { pump(); });
    return;
  }
  m_Callbacks.m_Defer([this, Alive = std::weak_ptr<bool>(m_Alive)] {
    if (!Alive.expired())
      pump();
  });
}

template <FileOps Files> void BasicReplicatedLog<Files>::pump() {
  m_PumpScheduled = false;
  while (usable()) {
    Effects Out = m_Core->takeEffects();
    if (Out.empty())
      break;
    if (!persist(Out))
      break;
    m_Core->persisted();
    for (OutMessage &Sent : m_Outbox)
      Out.m_Messages.push_back(std::move(Sent));
    m_Outbox.clear();
    for (const OutMessage &Sent : Out.m_Messages)
      m_Callbacks.m_Send(Sent.m_Message.m_To.m_Vm, Sent.m_Address,
                         encode(Sent.m_Message));
    if (Out.m_Install) {
      m_SnapshotIndex = Out.m_Install->m_Index;
      m_Callbacks.m_Restore(Out.m_Install->m_Bytes);
    }
    applyAll(Out);
    answerReads(Out);
    failLostProposals();
    checkChange();
    snapshotIfDue();
  }
  for (const OutMessage &Sent : std::exchange(m_Outbox, {}))
    if (usable())
      m_Callbacks.m_Send(Sent.m_Message.m_To.m_Vm, Sent.m_Address,
                         encode(Sent.m_Message));
  if (m_Store.failure())
    onStoreFailed();
  runCompletions();
}

template <FileOps Files>
bool BasicReplicatedLog<Files>::persist(const Effects &Out) {
  if (Out.m_Hard)
    m_Hard = *Out.m_Hard;
  if (Out.m_Install && !isOk(m_Store.saveSnapshot(*Out.m_Install, m_Hard, {})))
    return false;
  if (!Out.m_Hard && Out.m_Entries.empty())
    return true;
  return isOk(m_Store.write(Out.m_Hard, Out.m_Entries));
}

template <FileOps Files>
void BasicReplicatedLog<Files>::applyAll(const Effects &Out) {
  for (const LogEntry &Entry : Out.m_Apply) {
    if (Entry.m_Kind == EntryKind::Payload)
      m_Callbacks.m_Apply(Entry.m_Index, Entry.m_Bytes);
    auto It = m_Proposals.find(Entry.m_Index);
    if (It == m_Proposals.end())
      continue;
    if (It->second.m_Term == Entry.m_Term)
      answer(It->second.m_Callback, Entry.m_Index);
    else
      answer(
          It->second.m_Callback,
          ProposeError{ProposeErrorCode::LostLeadership, m_Core->leaderHint()});
    m_Proposals.erase(It);
  }
}

template <FileOps Files>
void BasicReplicatedLog<Files>::answerReads(const Effects &Out) {
  auto Take = [&](std::uint64_t Token) {
    ProposeCallback Callback = std::move(m_Reads.at(Token));
    m_Reads.erase(Token);
    return Callback;
  };
  for (const ConfirmedRead &Read : Out.m_Reads) {
    ProposeCallback Callback = Take(Read.m_Token);
    answer(Callback, Read.m_Index);
  }
  for (std::uint64_t Token : Out.m_FailedReads) {
    ProposeCallback Callback = Take(Token);
    answer(Callback, refused());
  }
}

template <FileOps Files> void BasicReplicatedLog<Files>::failLostProposals() {
  bool Leads = m_Core->role() == RaftRole::Leader;
  for (auto It = m_Proposals.begin(); It != m_Proposals.end();) {
    if (Leads && It->second.m_Term == m_Core->term()) {
      ++It;
      continue;
    }
    answer(It->second.m_Callback, ProposeError{ProposeErrorCode::LostLeadership,
                                               m_Core->leaderHint()});
    It = m_Proposals.erase(It);
  }
}

template <FileOps Files> void BasicReplicatedLog<Files>::snapshotIfDue() {
  LogIndex Applied = m_Core->appliedIndex();
  if (Applied < m_SnapshotIndex + m_Options.m_SnapshotEntries)
    return;
  const MemoryLog &Log = m_Core->log();
  auto Taken = std::make_shared<Snapshot>();
  Taken->m_Index = Applied;
  Taken->m_Term = *Log.termAt(Applied);
  Taken->m_Membership = m_Core->membershipAt(Applied);
  Taken->m_Bytes = m_Callbacks.m_TakeSnapshot();
  std::vector<LogEntry> Suffix;
  for (LogIndex I = Applied + 1; I <= m_Core->persistedIndex(); ++I)
    Suffix.push_back(Log.at(I));
  if (!isOk(m_Store.saveSnapshot(*Taken, m_Hard, Suffix)))
    return;
  m_SnapshotIndex = Applied;
  m_Core->compact(std::move(Taken));
}

template <FileOps Files> void BasicReplicatedLog<Files>::onStoreFailed() {
  ProposeError Failed{ProposeErrorCode::StoreFailed, {}};
  for (auto Lost = std::exchange(m_Proposals, {});
       auto &[Index, Pending] : Lost)
    answer(Pending.m_Callback, Failed);
  for (auto Lost = std::exchange(m_Reads, {}); auto &[Token, Callback] : Lost)
    answer(Callback, Failed);
  if (m_Change)
    finishChange(MembershipErrorCode::StoreFailed);
  m_TickTimer.reset();
  m_QueryTimer.reset();
}

template <FileOps Files> void BasicReplicatedLog<Files>::onTick() {
  m_Core->tick();
  checkChange();
  schedulePump();
}

template <FileOps Files> void BasicReplicatedLog<Files>::onQueryPeriod() {
  if (!usable())
    return;
  continueBootstrap();
  if (m_Change && m_Change->m_Phase == ChangePhase::Query)
    sendChangeQuery();
}

template <FileOps Files> void BasicReplicatedLog<Files>::continueBootstrap() {
  ClusterId Own(m_Self.m_Store.m_Value);
  bool Joined = m_Core->cluster() != ClusterId() && m_Core->cluster() != Own;
  if (!m_Bootstrap || m_Core->hasLog() || Joined ||
      !m_Bootstrap->isCoordinator()) {
    m_Bootstrap.reset();
    return;
  }
  if (auto First = m_Bootstrap->result()) {
    m_Core->bind(Own);
    m_Core->bootstrap(*First);
    m_Bootstrap.reset();
  } else {
    for (OutMessage &Query : m_Bootstrap->queries())
      m_Outbox.push_back(std::move(Query));
  }
  schedulePump();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::onStoreQuery(const Message &In,
                                             const StoreQuery &Body) {
  if (Body.m_Bind)
    m_Core->bind(In.m_Cluster);
  StoreAnswer Answer{Body.m_Nonce, m_Core->cluster() == In.m_Cluster,
                     m_Core->hasLog()};
  m_Outbox.push_back({In.m_FromAddress,
                      Message{In.m_Cluster, m_Self, {}, In.m_From, 0, Answer}});
}

template <FileOps Files>
void BasicReplicatedLog<Files>::onStoreAnswer(const Message &In,
                                              const StoreAnswer &Body) {
  if (In.m_To != m_Self)
    return;
  if (m_Bootstrap && !m_Core->hasLog()) {
    m_Bootstrap->onAnswer(In, Body);
    // Queries are repeated only by the timer; one for each answer would
    // multiply repeated messages without bound.
    if (m_Bootstrap->isPhaseComplete())
      continueBootstrap();
    return;
  }
  if (!m_Change || m_Change->m_Phase != ChangePhase::Query ||
      m_Change->m_Nonce != Body.m_Nonce ||
      m_Change->m_Member.m_Key.m_Vm != In.m_From.m_Vm)
    return;
  if (!Body.m_Bound)
    return finishChange(MembershipErrorCode::ForeignStore);
  m_Change->m_Member.m_Key = In.m_From;
  auto Added = m_Core->addLearner(m_Change->m_Member);
  if (!isOk(Added))
    return finishChange(errorOf(Added).m_Code);
  m_Change->m_Phase = ChangePhase::CatchUp;
  m_Change->m_Index = valueOf(Added);
}

template <FileOps Files>
void BasicReplicatedLog<Files>::addVoter(const VmId &Vm, std::string Address,
                                         MembershipCallback Callback) {
  MembershipError Error{MembershipErrorCode::NotLeader, {}};
  if (usable() && m_Core->role() == RaftRole::Leader) {
    Error.m_Code = MembershipErrorCode::ChangeInProgress;
  } else if (usable()) {
    Error.m_Leader = m_Core->leaderHint();
  } else {
    Error.m_Code = MembershipErrorCode::StoreFailed;
  }
  if (Error.m_Code != MembershipErrorCode::ChangeInProgress || m_Change)
    return answer(Callback, Error);
  if (Vm == m_Self.m_Vm)
    return answer(Callback, Done{});
  m_Change =
      Change{ChangePhase::Query, Member{MemberKey{Vm, {}}, std::move(Address)},
             m_Core->term(),     0,
             m_Engine(),         m_Timers.now() + m_Options.m_CatchUpTimeout,
             std::move(Callback)};
  sendChangeQuery();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::removeVoter(const VmId &Vm,
                                            MembershipCallback Callback) {
  if (!usable())
    return answer(Callback,
                  MembershipError{MembershipErrorCode::StoreFailed, {}});
  if (m_Change)
    return answer(Callback,
                  MembershipError{MembershipErrorCode::ChangeInProgress,
                                  m_Core->leaderHint()});
  auto Removed = m_Core->removeMember(Vm);
  if (!isOk(Removed))
    return answer(Callback, errorOf(Removed));
  m_Change = Change{ChangePhase::Remove,
                    Member{MemberKey{Vm, {}}, {}},
                    m_Core->term(),
                    valueOf(Removed),
                    0,
                    m_Timers.now() + m_Options.m_CatchUpTimeout,
                    std::move(Callback)};
  schedulePump();
}

template <FileOps Files> void BasicReplicatedLog<Files>::sendChangeQuery() {
  const Member &New = m_Change->m_Member;
  std::string Own;
  for (const Member &M : m_Core->membership().m_Voters)
    if (M.m_Key == m_Self)
      Own = M.m_Address;
  m_Outbox.push_back(
      {New.m_Address,
       Message{m_Core->cluster(), m_Self, Own, New.m_Key, m_Core->term(),
               StoreQuery{m_Change->m_Nonce, /*m_Bind=*/true}}});
  schedulePump();
}

template <FileOps Files> void BasicReplicatedLog<Files>::checkChange() {
  if (!m_Change)
    return;
  bool Committed = m_Change->m_Index > 0 &&
                   m_Core->commitIndex() >= m_Change->m_Index &&
                   m_Core->term() == m_Change->m_Term;
  const auto &Voters = m_Core->membership().m_Voters;
  bool Votes = std::any_of(Voters.begin(), Voters.end(), [&](const Member &M) {
    return M.m_Key == m_Change->m_Member.m_Key;
  });
  if (Committed && (m_Change->m_Phase == ChangePhase::Remove ||
                    (Votes && !m_Core->changeInProgress())))
    return finishChange(std::nullopt);
  if (m_Core->role() != RaftRole::Leader || m_Core->term() != m_Change->m_Term)
    return finishChange(MembershipErrorCode::NotLeader);
  if (m_Timers.now() >= m_Change->m_Deadline)
    finishChange(m_Change->m_Phase == ChangePhase::Remove
                     ? MembershipErrorCode::ChangeInProgress
                     : MembershipErrorCode::NotCaughtUp);
}

template <FileOps Files>
void BasicReplicatedLog<Files>::finishChange(
    std::optional<MembershipErrorCode> Error) {
  MembershipCallback Callback = std::move(m_Change->m_Callback);
  m_Change.reset();
  if (Error)
    answer(Callback, MembershipError{*Error, m_Core->leaderHint()});
  else
    answer(Callback, Done{});
}

template <FileOps Files>
void BasicReplicatedLog<Files>::answer(MembershipCallback &Callback,
                                       Result<Done, MembershipError> With) {
  m_Completions.push_back([Callback = std::move(Callback),
                           With = std::move(With)] { Callback(With); });
  schedulePump();
}

template <FileOps Files>
void BasicReplicatedLog<Files>::answer(ProposeCallback &Callback,
                                       Result<LogIndex, ProposeError> With) {
  m_Completions.push_back([Callback = std::move(Callback),
                           With = std::move(With)] { Callback(With); });
  schedulePump();
}

template <FileOps Files> void BasicReplicatedLog<Files>::runCompletions() {
  for (const auto &Completion : std::exchange(m_Completions, {}))
    Completion();
}

template <FileOps Files>
ProposeError BasicReplicatedLog<Files>::refused() const {
  return ProposeError{ProposeErrorCode::NotLeader, m_Core->leaderHint()};
}

} // namespace ragwortdrift

#endif
