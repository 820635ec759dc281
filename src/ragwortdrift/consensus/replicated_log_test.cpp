#include "ragwortdrift/consensus/replicated_log.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <filesystem>
#include <memory>
#include <unistd.h>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

/// A cluster with data folders on the file system and a virtual clock. Messages
/// arrive one millisecond after they are sent.
class TestCluster {
public:
  explicit TestCluster(std::size_t Voters,
                       std::optional<std::size_t> SnapshotBytes = std::nullopt)
      : m_SnapshotBytes(SnapshotBytes) {
    m_Root = std::filesystem::temp_directory_path() /
             ("ragwortdrift-log-test-" + std::to_string(::getpid()));
    std::filesystem::remove_all(m_Root);
    for (std::size_t I = 0; I < Voters; ++I)
      m_InitialVoters.push_back({VmId("vm" + std::to_string(I)), "address"});
    for (const InitialVoter &Voter : m_InitialVoters)
      start(Voter.m_Vm);
  }
  ~TestCluster() { std::filesystem::remove_all(m_Root); }

  void start(const VmId &Vm) {
    ReplicatedLogOptions Options;
    Options.m_Self = Vm;
    Options.m_InitialVoters = m_InitialVoters;
    Options.m_Seed = ++m_StartCount;
    if (m_SnapshotBytes) {
      Options.m_SnapshotBytes = *m_SnapshotBytes;
      Options.m_TrailingBytes = *m_SnapshotBytes / 2;
    } else {
      Options.m_SnapshotEntries = 20;
    }
    std::string &State = m_States[Vm];
    State.clear();
    ReplicatedLogCallbacks Callbacks;
    Callbacks.m_Send = [this, Vm](const VmId &Receiver, const std::string &,
                                  const std::string &Bytes) {
      m_Sent.push_back({Vm, Receiver, Bytes});
      Message Msg = valueOf(decode<Message>(Bytes));
      const auto *Append = std::get_if<AppendRequest>(&Msg.m_Body);
      m_Appends += Append && !Append->m_Entries.empty();
    };
    Callbacks.m_Apply = [this, &State](LogIndex, const std::string &Payload) {
      if (m_KeepsLastPayloadOnly)
        State.clear();
      State += Payload;
    };
    Callbacks.m_TakeSnapshot = [&State] { return State; };
    Callbacks.m_Restore = [&State](std::string Bytes) {
      State = std::move(Bytes);
    };
    auto &Log = m_Logs[Vm];
    Log = std::make_unique<ReplicatedLog>(
        Options, PosixFiles((m_Root / Vm.m_Value).string()), m_Timers,
        std::move(Callbacks));
    cr_assert(isOk(Log->open()));
  }

  void stop(const VmId &Vm) { m_Logs.erase(Vm); }

  void run(Duration Period) {
    for (TimePoint End = m_Timers.now() + Period; m_Timers.now() < End;) {
      m_Timers.advanceTo(m_Timers.now() + 1ms);
      for (const SentMessage &M : std::exchange(m_Sent, {}))
        if (m_Logs.count(M.m_To))
          m_Logs.at(M.m_To)->receive(M.m_From, M.m_Bytes);
    }
  }

  ReplicatedLog *leader() {
    for (auto &[Vm, Log] : m_Logs)
      if (Log->status().m_Role == RaftRole::Leader)
        return Log.get();
    return nullptr;
  }

  struct SentMessage {
    VmId m_From, m_To;
    std::string m_Bytes;
  };
  std::optional<std::size_t> m_SnapshotBytes;
  bool m_KeepsLastPayloadOnly = false;
  std::filesystem::path m_Root;
  std::vector<InitialVoter> m_InitialVoters;
  TimerService m_Timers;
  std::map<VmId, std::string> m_States;
  std::map<VmId, std::unique_ptr<ReplicatedLog>> m_Logs;
  std::vector<SentMessage> m_Sent;
  std::uint64_t m_StartCount = 0;
  /// Number of append messages with entries sent so far.
  int m_Appends = 0;
};

const std::size_t ClusterSizes[] = {1, 2, 3, 4, 5};

struct LogMemoryCase {
  const char *m_Name;
  std::size_t m_PayloadBytes;
  int m_Payloads;
};
const LogMemoryCase LogMemoryCases[] = {
    {"large payloads", std::size_t{400} * 1024, 60},
    {"payloads of the maximum size", std::size_t{512} * 1024, 60},
    {"many payloads", std::size_t{64} * 1024, 300},
};

} // namespace

// Guards against clusters of odd or even size that cannot form or commit, and
// against the loss of acknowledged entries on a restart.
TABLE_TEST(replicated_log, recovers_committed_entries_after_restart,
           ClusterSizes) {
  TestCluster Cluster(Row);
  Cluster.run(3s);
  cr_assert(Cluster.leader());
  std::string Expected;
  int AcknowledgedCount = 0;
  for (int I = 0; I < 50; ++I) {
    std::string Payload = std::to_string(I) + ",";
    Expected += Payload;
    Cluster.leader()->propose(Payload,
                              [&](const Result<LogIndex, ProposeError> &R) {
                                AcknowledgedCount += isOk(R);
                              });
    if (I % 10 == 9)
      Cluster.run(30ms);
  }
  Cluster.run(200ms);
  cr_assert_eq(AcknowledgedCount, 50);
  for (const auto &[Vm, State] : Cluster.m_States)
    cr_assert(State == Expected);
  for (const InitialVoter &Voter : Cluster.m_InitialVoters) {
    Cluster.stop(Voter.m_Vm);
    Cluster.start(Voter.m_Vm);
  }
  Cluster.run(3s);
  for (const auto &[Vm, State] : Cluster.m_States)
    cr_assert(State == Expected);
}

// Guards against a separate fsync or message for each proposal made in the same
// turn of the event loop.
Test(replicated_log, batches_proposals_of_one_event_loop_turn) {
  TestCluster Cluster(3);
  Cluster.run(3s);
  ReplicatedLog *Leader = Cluster.leader();
  std::uint64_t Syncs = Leader->status().m_SyncCount;
  int AcknowledgedCount = 0;
  for (int I = 0; I < 10; ++I)
    Leader->propose("x", [&](const Result<LogIndex, ProposeError> &R) {
      AcknowledgedCount += isOk(R);
    });
  Cluster.m_Appends = 0;
  Cluster.run(20ms);
  cr_assert_eq(AcknowledgedCount, 10);
  cr_assert_eq(Leader->status().m_SyncCount, Syncs + 1);
  cr_assert_eq(Cluster.m_Appends, 2);
}

// Checks the error codes that callers depend on.
Test(replicated_log, reports_typed_errors) {
  TestCluster Cluster(2);
  Cluster.run(3s);
  ReplicatedLog *Leader = Cluster.leader();
  VmId LeaderVm = Leader->status().m_Leader->m_Vm;
  VmId OtherVm(LeaderVm == VmId("vm0") ? "vm1" : "vm0");
  std::optional<ProposeError> ProposeFailure;
  std::optional<MembershipError> MembershipFailure;
  auto OnProposed = [&](const Result<LogIndex, ProposeError> &R) {
    cr_assert(!isOk(R));
    ProposeFailure = errorOf(R);
  };
  auto OnChanged = [&](const Result<Done, MembershipError> &R) {
    cr_assert(!isOk(R));
    MembershipFailure = errorOf(R);
  };

  Cluster.m_Logs.at(OtherVm)->propose("x", OnProposed);
  cr_assert_not(ProposeFailure, "callbacks run after the call");
  Cluster.run(5ms);
  cr_assert(ProposeFailure->m_Code == ProposeErrorCode::NotLeader);
  cr_assert(ProposeFailure->m_Leader->m_Vm == LeaderVm);
  cr_assert_eq(ProposeFailure->m_Leader->m_Address, std::string("address"));
  Leader->propose(std::string(std::size_t{513} * 1024, 'x'), OnProposed);
  Cluster.run(5ms);
  cr_assert(ProposeFailure->m_Code == ProposeErrorCode::TooLarge);

  Cluster.m_Logs.at(OtherVm)->addVoter(VmId("vm9"), "a", OnChanged);
  Cluster.run(5ms);
  cr_assert(MembershipFailure->m_Code == MembershipErrorCode::NotLeader);
  Leader->removeVoter(VmId("vm9"), OnChanged);
  Cluster.run(5ms);
  cr_assert(MembershipFailure->m_Code == MembershipErrorCode::UnknownVoter);
  std::optional<MembershipError> AddError;
  Leader->addVoter(
      VmId("vm9"), "a",
      [&](const Result<Done, MembershipError> &R) { AddError = errorOf(R); });
  Leader->removeVoter(OtherVm, OnChanged);
  Cluster.run(5ms);
  cr_assert(MembershipFailure->m_Code == MembershipErrorCode::ChangeInProgress);
  Cluster.run(31s);
  cr_assert(AddError->m_Code == MembershipErrorCode::NotCaughtUp);

  Leader->removeVoter(OtherVm, [](const Result<Done, MembershipError> &R) {
    cr_assert(isOk(R));
  });
  Cluster.run(1s);
  Leader->removeVoter(LeaderVm, OnChanged);
  Cluster.run(5ms);
  cr_assert(MembershipFailure->m_Code == MembershipErrorCode::LastVoter);
}

// Guards against a proposal that is reported as definitely failed, or is never
// completed, when its leader loses contact with the majority.
Test(replicated_log, reports_lost_leadership) {
  TestCluster Cluster(3);
  Cluster.run(3s);
  ReplicatedLog *Leader = Cluster.leader();
  VmId LeaderVm = Leader->status().m_Leader->m_Vm;
  for (const InitialVoter &Voter : Cluster.m_InitialVoters)
    if (Voter.m_Vm != LeaderVm)
      Cluster.stop(Voter.m_Vm);
  std::optional<ProposeErrorCode> ProposeFailure, ReadFailure;
  Leader->propose("x", [&](const Result<LogIndex, ProposeError> &R) {
    ProposeFailure = errorOf(R).m_Code;
  });
  Leader->confirmLeadership([&](const Result<LogIndex, ProposeError> &R) {
    ReadFailure = errorOf(R).m_Code;
  });
  Cluster.run(700ms);
  cr_assert(ProposeFailure == ProposeErrorCode::LostLeadership);
  cr_assert(ReadFailure == ProposeErrorCode::NotLeader);
  cr_assert(Leader->status().m_Role != RaftRole::Leader);
}

// Guards against a log of large payloads that takes all memory of its VM.
TABLE_TEST(replicated_log, bounds_log_memory_by_bytes, LogMemoryCases) {
  TestCluster Cluster(3, std::size_t{2} << 20);
  Cluster.m_KeepsLastPayloadOnly = true;
  Cluster.run(3s);
  cr_assert(Cluster.leader());
  int AcknowledgedCount = 0;
  std::size_t MaxLogBytes = 0;
  for (int I = 0; I < Row.m_Payloads; ++I) {
    Cluster.leader()->propose(
        std::string(Row.m_PayloadBytes, static_cast<char>('a' + I % 26)),
        [&](const Result<LogIndex, ProposeError> &R) {
          AcknowledgedCount += isOk(R);
        });
    Cluster.run(30ms);
    for (const auto &[Vm, Log] : Cluster.m_Logs)
      MaxLogBytes = std::max(MaxLogBytes, Log->status().m_LogBytes);
  }
  Cluster.run(200ms);
  cr_assert_eq(AcknowledgedCount, Row.m_Payloads, "%s", Row.m_Name);
  // A snapshot is due from 2 MiB on, 1 MiB trails it, and two payloads may be
  // in flight.
  cr_assert_leq(MaxLogBytes, (std::size_t{3} << 20) + 2 * Row.m_PayloadBytes,
                "%s: %zu bytes", Row.m_Name, MaxLogBytes);
}
