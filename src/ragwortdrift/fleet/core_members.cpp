#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Voters beyond this only make each commit wait for more disks; five bear the
/// loss of two.
constexpr std::size_t MaxVoters = 5;
/// Fewer voters would not bear the loss of one.
constexpr std::size_t MinVoters = 3;
/// A voter that is silent for this long while more than MinVoters vote is
/// removed. Cuts and restarts are shorter; a VM that returns joins again.
constexpr std::chrono::seconds SilentVoterLimit{12};
/// The same when its vote only raises the majority, since the number of voters
/// is even, or when another core VM wants its place. A lost voter that still
/// counts beside its replacement makes the next loss fatal.
constexpr std::chrono::seconds SpareVoterLimit{3};
/// Without news of a leader for this long a core VM asks to join.
constexpr std::chrono::seconds NoLeaderLimit{2};
/// A join is repeated each half second; an answer to an older one is of no use.
constexpr std::chrono::milliseconds JoinTimeout{800};
/// An entry VM counts for this long after it was last seen, so that shares of
/// common budgets do not grow while VMs restart.
constexpr std::chrono::seconds EntryMemory{30};

const Member *findVoter(const ReplicatedLogStatus &Status, const VmId &Vm) {
  for (const Member &Item : Status.m_Voters)
    if (Item.m_Key.m_Vm == Vm)
      return &Item;
  return nullptr;
}

} // namespace

std::vector<std::string> CoreNode::knownCores() const {
  std::set<std::string> Known = m_OtherCores;
  if (m_Log) {
    const ReplicatedLogStatus Status = m_Log->status();
    for (const auto *Members : {&Status.m_Voters, &Status.m_Learners})
      for (const Member &Item : *Members)
        Known.insert(Item.m_Address);
  }
  Known.erase(m_Address);
  return {Known.begin(), Known.end()};
}

void CoreNode::checkMembership() {
  if (!m_Log || m_Stopping)
    return;
  const ReplicatedLogStatus Status = m_Log->status();
  if (std::exchange(m_Leads, Status.m_Role == RaftRole::Leader) != m_Leads) {
    logEvent(LogSeverity::Info, "log.role",
             {{"role", Status.m_Role}, {"term", Status.m_Term}});
    // Followers hear only their leader, so a new one knows of no silence.
    m_HeardFrom.clear();
  }
  if (m_Leads) {
    m_LeaderSeenAt = m_Timers.now();
    removeSilentVoter(Status);
    recordEntryCount();
    return;
  }
  if (Status.m_Leader)
    m_LeaderSeenAt = m_Timers.now();
  const bool Votes = findVoter(Status, VmId{m_Address}) != nullptr;
  const bool Forming = isFounder() && Status.m_LastIndex == 0;
  if ((!Votes && !Forming) || m_Timers.now() - m_LeaderSeenAt > NoLeaderLimit)
    join();
}

void CoreNode::join() {
  const std::string Bytes =
      encode(JoinRequest{m_Address, m_Log->status().m_StoreId});
  for (const std::string &Core : knownCores()) {
    const auto To = parseEndpoint(Core);
    if (!To)
      continue;
    auto Call = std::make_shared<PeerCall>();
    *Call = m_PeerClient.open(
        To->m_Ip, To->m_Port, "/join", Bytes, JoinTimeout,
        [this](const std::string &Message) {
          const auto Reply = decode<JoinReply>(Message);
          if (!isOk(Reply))
            return;
          const std::string &Leader = valueOf(Reply).m_Leader;
          if (!Leader.empty())
            m_LeaderHint = Leader;
          if (!Leader.empty() && leaderAddress().empty() &&
              std::exchange(m_Serves, false))
            logEvent(LogSeverity::Warning, "state.stale",
                     {{"leader", Leader}, {"revision", m_State.m_Revision}});
          for (const std::string &Other : valueOf(Reply).m_Cores)
            if (Other != m_Address)
              m_OtherCores.insert(Other);
        },
        [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
  }
}

void CoreNode::onJoin(const VmId &From, const JoinRequest &Request,
                      const Stream &Out) {
  JoinReply Reply{leaderAddress(), knownCores()};
  Reply.m_Cores.push_back(m_Address);
  Out->send(encode(Reply));
  Out->finish();
  m_OtherCores.insert(Request.m_Address);
  if (!isLeader() || m_ChangingVoters || m_Stopping)
    return;
  const ReplicatedLogStatus Status = m_Log->status();
  const Member *Known = findVoter(Status, From);
  if (Known && Known->m_Key.m_Store == Request.m_Store)
    return;
  if (!Known && Status.m_Voters.size() >= MaxVoters) {
    m_RefusedJoinAt = m_Timers.now();
    return;
  }
  logEvent(LogSeverity::Info, "voter.adding",
           {{"vm", From},
            {"store", Request.m_Store},
            {"replaces_store", Known != nullptr},
            {"voters", Status.m_Voters.size()}});
  m_ChangingVoters = true;
  m_HeardFrom[From] = m_Timers.now();
  m_Log->addVoter(
      From, Request.m_Address,
      [this, From](const Result<Done, MembershipError> &Added) {
        m_ChangingVoters = false;
        logEvent(isOk(Added) ? LogSeverity::Info : LogSeverity::Warning,
                 "voter.added",
                 {{"vm", From},
                  {"error", isOk(Added) ? std::string_view("none")
                                        : nameOf(errorOf(Added).m_Code)}});
      });
}

void CoreNode::removeSilentVoter(const ReplicatedLogStatus &Status) {
  const bool IsSpare = Status.m_Voters.size() % 2 == 0 ||
                       m_Timers.now() - m_RefusedJoinAt < NoLeaderLimit;
  const Duration Limit = IsSpare ? SpareVoterLimit : SilentVoterLimit;
  std::size_t Silent = 0;
  const Member *Longest = nullptr;
  for (const Member &Item : Status.m_Voters) {
    if (Item.m_Key.m_Vm.m_Value == m_Address)
      continue;
    const auto Heard =
        m_HeardFrom.try_emplace(Item.m_Key.m_Vm, m_Timers.now()).first;
    if (m_Timers.now() - Heard->second < Limit)
      continue;
    ++Silent;
    Longest = &Item;
  }
  if (Silent != 1 || m_ChangingVoters || Status.m_Voters.size() <= MinVoters)
    return;
  const VmId Vm = Longest->m_Key.m_Vm;
  logEvent(LogSeverity::Warning, "voter.removing",
           {{"vm", Vm}, {"voters", Status.m_Voters.size()}});
  m_ChangingVoters = true;
  m_OtherCores.erase(Longest->m_Address);
  m_Log->removeVoter(Vm, [this, Vm](const Result<Done, MembershipError> &Out) {
    m_ChangingVoters = false;
    logEvent(LogSeverity::Info, "voter.removed",
             {{"vm", Vm}, {"done", isOk(Out)}});
  });
}

void CoreNode::recordEntryCount() {
  const std::uint32_t Count = entryCount();
  if (!serves() || m_RecordingCount || Count <= m_State.m_EntryCount)
    return;
  m_RecordingCount = true;
  commit(RaiseEntryCount{Count},
         [this](const Result<OrderOutcome, CoreError> &) {
           m_RecordingCount = false;
         });
}

void CoreNode::onWatch(const PeerRequest &In, const Stream &Out) {
  const auto Request = decode<WatchRequest>(In.m_Body);
  if (!isOk(Request)) {
    refuseMessage(In, Out);
    return;
  }
  std::erase_if(m_Watchers, [&](const auto &Entry) {
    return Entry.second.m_Vm == In.m_From;
  });
  const std::uint64_t Id = m_NextWatcher++;
  const WatchRequest &Asked = valueOf(Request);
  Watcher &Added = m_Watchers[Id];
  Added = {In.m_From, Out, Asked.m_Kind, Asked.m_Revision, Asked.m_List};
  Out->onCancel([this, Id] { m_Watchers.erase(Id); });
  report(Added);
}

CoreReport CoreNode::currentReport() {
  CoreReport Out;
  Out.m_Domain = m_Settings.m_Domain;
  Out.m_Revision = serves() ? m_State.m_Revision : 0;
  if (listIsFresh() && m_ListStamp != ListStamp{}) {
    Out.m_List = m_ListStamp;
    Out.m_ListAge = m_Timers.now() - *m_ListReadAt;
  }
  Out.m_Cores = knownCores();
  Out.m_Cores.push_back(m_Address);
  Out.m_EntryCount = entryCount();
  return Out;
}

void CoreNode::report(Watcher &To) {
  if (To.m_Kind != WatchKind::ListForCore)
    m_Entries[To.m_Vm] = m_Timers.now();
  CoreReport Out = currentReport();
  if (To.m_Kind == WatchKind::Content && Out.m_Revision > To.m_SentRevision) {
    Out.m_State = m_State;
    ++m_StatesSent;
    To.m_SentRevision = m_State.m_Revision;
  }
  if (To.m_Kind != WatchKind::Stamps && Out.m_List > To.m_SentList) {
    Out.m_Leafs = m_Leafs;
    To.m_SentList = m_ListStamp;
  }
  const auto Stream = To.m_Stream;
  Stream->send(encode(Out));
}

bool CoreNode::serves() {
  if (m_Serves || !m_Log)
    return m_Serves;
  const ReplicatedLogStatus Status = m_Log->status();
  m_Serves = Status.m_Leader && Status.m_AppliedIndex > 0 &&
             Status.m_AppliedIndex == Status.m_LastIndex &&
             findVoter(Status, VmId{m_Address});
  return m_Serves;
}

void CoreNode::reportSoon() {
  if (!m_ReportTimer)
    m_ReportTimer = m_Timers.after(Duration{0}, [this] {
      m_ReportTimer.reset();
      reportAll();
    });
}

void CoreNode::reportAll() {
  // A report that cannot be sent may end its watcher.
  std::vector<std::uint64_t> Ids;
  for (const auto &[Id, Item] : m_Watchers)
    Ids.push_back(Id);
  for (const std::uint64_t Id : Ids) {
    const auto Found = m_Watchers.find(Id);
    if (Found != m_Watchers.end())
      report(Found->second);
  }
}

std::uint32_t CoreNode::entryCount() {
  std::erase_if(m_Entries, [&](const auto &Entry) {
    return m_Timers.now() - Entry.second > EntryMemory;
  });
  return static_cast<std::uint32_t>(m_Entries.size());
}

} // namespace ragwortdrift
