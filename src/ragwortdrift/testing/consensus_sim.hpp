#ifndef RAGWORTDRIFT_TESTING_CONSENSUS_SIM_HPP
#define RAGWORTDRIFT_TESTING_CONSENSUS_SIM_HPP

#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/consensus/replicated_log.hpp"
#include "ragwortdrift/testing/sim_disk.hpp"

#include <iostream>
#include <set>
#include <sstream>
#include <stdexcept>

namespace ragwortdrift {

/// Thrown if an invariant of the replicated log does not hold.
struct InvariantViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Checks the invariants that must hold across all VMs, based only on the state
/// that each VM reports.
class LogOracle {
public:
  struct Committed {
    LogEntry m_Entry;
    /// Term in which the entry was first reported as committed.
    LogTerm m_CommitTerm = 0;
  };

  static void require(bool Condition, const std::string &Invariant) {
    if (!Condition)
      throw InvariantViolation(Invariant);
  }

  void onLeader(const RaftCore &Core, const VmId &Vm) {
    auto [It, New] = m_Leaders.try_emplace(Core.term(), Vm);
    require(It->second == Vm, "two leaders in the same term");
    if (!New)
      return;
    const MemoryLog &Log = Core.log();
    for (const auto &[Index, Entry] : m_Committed) {
      if (Entry.m_CommitTerm >= Core.term() || Index < Log.baseIndex())
        continue;
      require(Log.termAt(Index) == Entry.m_Entry.m_Term,
              "leader lacks a committed entry");
    }
  }

  void onCommit(const RaftCore &Core, LogIndex From) {
    const MemoryLog &Log = Core.log();
    for (LogIndex I = std::max(From, Log.baseIndex()) + 1;
         I <= Core.commitIndex(); ++I) {
      auto [It, New] =
          m_Committed.try_emplace(I, Committed{Log.at(I), Core.term()});
      require(It->second.m_Entry == Log.at(I), "committed entry changed");
    }
  }

  void onAcknowledged(LogIndex Index, const std::string &Payload) {
    require(m_Payloads.count(Index) && m_Payloads.at(Index) == Payload,
            "acknowledged payload differs from the applied payload");
    m_Acknowledged[Index] = Payload;
  }

  void onApplied(LogIndex Index, const std::string &Payload) {
    auto [It, New] = m_Payloads.try_emplace(Index, Payload);
    require(It->second == Payload, "applied payload changed");
  }

  /// Applied contains the number of payloads applied so far and the hash of
  /// their sequence.
  void onApplied(std::pair<std::uint64_t, std::uint64_t> Applied) {
    auto [It, New] = m_Applied.insert(Applied);
    require(It->second == Applied.second,
            "VMs applied different payload sequences");
  }

  LogIndex lastAcknowledged() const {
    return m_Acknowledged.empty() ? 0 : m_Acknowledged.rbegin()->first;
  }
  std::size_t acknowledgedCount() const { return m_Acknowledged.size(); }

private:
  std::map<LogTerm, VmId> m_Leaders;
  std::map<LogIndex, Committed> m_Committed;
  std::map<LogIndex, std::string> m_Payloads;
  std::map<LogIndex, std::string> m_Acknowledged;
  std::map<std::uint64_t, std::uint64_t> m_Applied;
};

/// A cluster of VMs with simulated disks and network in virtual time. All
/// random decisions derive from one seed.
class ConsensusSim {
public:
  using Log = BasicReplicatedLog<SimFiles>;

  struct Node {
    VmId m_Vm;
    std::shared_ptr<SimDisk> m_Disk;
    std::unique_ptr<TimerService> m_Timers;
    std::unique_ptr<Log> m_Log;
    /// Application state: the number of payloads applied and the hash of their
    /// sequence.
    std::pair<std::uint64_t, std::uint64_t> m_State;
    LogIndex m_CheckedCommit = 0;
    bool m_Opened = false;
    /// The VM has opened its folder at an earlier start.
    bool m_WasOpened = false;
    bool m_DiskLost = false;
    /// Last possible memberships as seen by this VM, kept while it is down.
    std::vector<Membership> m_LastMemberships;
    StoreId m_Store;
  };

  /// NamesVotersOnce is true if the settings name the initial voters only until
  /// a VM has opened its folder once.
  ConsensusSim(std::uint64_t Seed, std::size_t Voters, std::size_t Spares,
               bool NamesVotersOnce = false)
      : m_Engine(Seed), m_NamesVotersOnce(NamesVotersOnce) {
    for (std::size_t I = 0; I < Voters + Spares; ++I) {
      Node New;
      New.m_Vm = VmId("vm" + std::to_string(I));
      New.m_Disk = std::make_shared<SimDisk>(m_Engine());
      if (I < Voters)
        m_InitialVoters.push_back({New.m_Vm, New.m_Vm.m_Value});
      m_Nodes.emplace(New.m_Vm, std::move(New));
    }
    for (auto &[Vm, N] : m_Nodes)
      start(N);
  }

  std::uint64_t draw(std::uint64_t Bound) { return m_Engine() % Bound; }
  bool chance(unsigned Percent) { return draw(100) < Percent; }
  TimePoint now() const { return m_Now; }
  std::map<VmId, Node> &nodes() { return m_Nodes; }
  Node &randomNode() {
    return std::next(m_Nodes.begin(),
                     static_cast<std::ptrdiff_t>(draw(m_Nodes.size())))
        ->second;
  }
  LogOracle &oracle() { return m_Oracle; }
  void trace(const std::string &Text) const {
    if (m_Trace)
      std::cerr << toMillis(m_Now.m_SinceStart) << " " << Text << "\n";
  }

  void start(Node &N) {
    if (N.m_Log)
      return;
    N.m_Timers = std::make_unique<TimerService>();
    N.m_Timers->advanceTo(m_Now);
    N.m_State = {};
    N.m_CheckedCommit = 0;
    ReplicatedLogOptions Options;
    Options.m_Self = N.m_Vm;
    if (isInitialVoter(N.m_Vm) && !(m_NamesVotersOnce && N.m_WasOpened))
      Options.m_InitialVoters = m_InitialVoters;
    Options.m_Seed = m_Engine();
    Options.m_NewStoreId = StoreId(m_Engine() | 1);
    Options.m_SnapshotEntries = 20;
    Options.m_TrailingEntries = 5;
    Options.m_MaxMessageBytes = 2048;
    Options.m_CatchUpTimeout = std::chrono::seconds(10);
    N.m_Log = std::make_unique<Log>(Options, SimFiles(N.m_Disk), *N.m_Timers,
                                    callbacks(N));
    if (m_OpenCrashPercent > 0 && chance(m_OpenCrashPercent))
      N.m_Disk->crashAfterOperations(1 + draw(14));
    runGuarded(N, [&] {
      auto Outcome = N.m_Log->open();
      LogOracle::require(isOk(Outcome) || errorOf(Outcome).m_Code ==
                                              StoreErrorCode::DiskFull,
                         "undamaged data folder could not be opened");
      N.m_Opened = isOk(Outcome);
      N.m_WasOpened = N.m_WasOpened || N.m_Opened;
      N.m_Store = N.m_Log->status().m_StoreId;
      if (!isOk(Outcome))
        stop(N, /*PowerLost=*/false);
    });
  }

  void stop(Node &N, bool PowerLost) {
    if (!N.m_Log)
      return;
    trace(N.m_Vm.m_Value + (PowerLost ? " loses power" : " terminates"));
    ++m_Events[PowerLost ? "power failure" : "process terminated"];
    m_Events["store failed"] += N.m_Log->status().m_StoreError.has_value();
    recordMemberships(N);
    N.m_Opened = false;
    N.m_Log.reset();
    N.m_Timers.reset();
    N.m_Disk->cancelCrash();
    if (PowerLost)
      N.m_Disk->onPowerLoss();
    else
      N.m_Disk->onProcessExit();
  }

  /// True if every membership that any VM considers possible keeps a majority
  /// of intact disks without the disk of this VM. Raft does not tolerate the
  /// loss of a majority.
  bool canLoseDisk(const VmId &LostVm) {
    bool OtherInitialVoterIntact = false;
    for (const auto &[Vm, N] : m_Nodes) {
      OtherInitialVoterIntact |=
          Vm != LostVm && isInitialVoter(Vm) && !N.m_DiskLost;
      // During the bootstrap, all initial voters are required.
      if (isInitialVoter(Vm) && !N.m_DiskLost &&
          (N.m_LastMemberships.empty() ||
           N.m_LastMemberships.front().m_Voters.empty()))
        return false;
      for (const Membership &M : N.m_LastMemberships)
        if (!keepsMajority(M, LostVm))
          return false;
    }
    return OtherInitialVoterIntact;
  }

  bool keepsMajority(const Membership &M, const VmId &Without) {
    auto Intact = std::count_if(
        M.m_Voters.begin(), M.m_Voters.end(), [&](const Member &Voter) {
          return Voter.m_Key.m_Vm != Without &&
                 m_Nodes.at(Voter.m_Key.m_Vm).m_Store == Voter.m_Key.m_Store;
        });
    return M.m_Voters.empty() ||
           static_cast<std::size_t>(Intact) > M.m_Voters.size() / 2;
  }

  void loseDisk(Node &N) {
    trace(N.m_Vm.m_Value + " loses its disk");
    ++m_Events["disk lost"];
    stop(N, /*PowerLost=*/false);
    N.m_Disk = std::make_shared<SimDisk>(m_Engine());
    N.m_DiskLost = true;
    N.m_LastMemberships = {Membership{}};
    N.m_Store = StoreId();
    start(N);
  }

  /// Describes the state of every VM, for the report of a failed run.
  std::string describe() const {
    std::ostringstream Output;
    auto List = [&](const char *Title, const std::vector<Member> &Members) {
      Output << " " << Title;
      for (const Member &M : Members)
        Output << " " << M.m_Key.m_Vm << "/" << M.m_Key.m_Store.m_Value % 1000;
    };
    for (const auto &[Vm, N] : m_Nodes) {
      Output << "\n  " << Vm << "/" << N.m_Store.m_Value % 1000;
      if (!N.m_Log) {
        Output << " down";
        continue;
      }
      ReplicatedLogStatus Status = N.m_Log->status();
      Output << " " << nameOf(Status.m_Role) << " term " << Status.m_Term
             << " commit " << Status.m_CommitIndex << " last "
             << Status.m_LastIndex << " cluster "
             << N.m_Log->core().cluster().m_Value % 1000;
      const MemoryLog &Log = N.m_Log->core().log();
      Output << " log";
      for (LogIndex I = Log.baseIndex() + 1; I <= Log.lastIndex(); ++I) {
        Output << " " << I << "t" << Log.at(I).m_Term;
        if (Log.at(I).m_Kind == EntryKind::Membership)
          List("members",
               valueOf(decode<Membership>(Log.at(I).m_Bytes)).m_Voters);
      }
      List("voters", Status.m_Voters);
      List("learners", Status.m_Learners);
    }
    return Output.str();
  }

  Node *leader() {
    Node *Best = nullptr;
    for (auto &[Vm, N] : m_Nodes)
      if (N.m_Log && N.m_Log->status().m_Role == RaftRole::Leader &&
          (!Best || N.m_Log->status().m_Term > Best->m_Log->status().m_Term))
        Best = &N;
    return Best;
  }

  void propose(Node &N, unsigned BigPercent = 5) {
    if (!N.m_Log)
      return;
    std::string Payload = "p" + std::to_string(++m_Proposals);
    Payload.resize(Payload.size() + draw(chance(BigPercent) ? 3000 : 60), '.');
    N.m_Log->propose(Payload,
                     [this, Payload](const Result<LogIndex, ProposeError> &R) {
                       if (isOk(R))
                         m_Oracle.onAcknowledged(valueOf(R), Payload);
                     });
  }

  void read(Node &N) {
    if (!N.m_Log)
      return;
    N.m_Log->confirmLeadership(
        [this, &N, MinIndex = m_Oracle.lastAcknowledged()](
            const Result<LogIndex, ProposeError> &R) {
          m_Events["read confirmed"] += isOk(R);
          LogOracle::require(!isOk(R) ||
                                 N.m_Log->status().m_AppliedIndex >= MinIndex,
                             "confirmed read lacks an acknowledged entry");
        });
  }

  /// Runs a call into a VM and stops the VM if a crash is injected in the call.
  template <class Fn> void runGuarded(Node &N, Fn Call) {
    try {
      Call();
    } catch (const SimCrash &) {
      ++m_Events["crash in a file operation"];
      stop(N, chance(50));
    }
    checkInvariants(N);
  }

  void run(Duration Period) {
    TimePoint End = m_Now + Period;
    while (true) {
      TimePoint Next = End;
      for (auto &[Vm, N] : m_Nodes)
        if (N.m_Log && N.m_Timers->nextDue())
          Next = std::min(Next, *N.m_Timers->nextDue());
      if (!m_Packets.empty())
        Next = std::min(Next, m_Packets.begin()->first);
      if (Next >= End)
        break;
      m_Now = std::max(m_Now, Next);
      deliver();
      for (auto &[Vm, N] : m_Nodes)
        if (N.m_Log && N.m_Timers->nextDue() <= m_Now)
          runGuarded(N, [&N = N, this] { N.m_Timers->advanceTo(m_Now); });
    }
    m_Now = End;
  }

  /// Blocks all links from and to a VM. healNetwork() unblocks all links.
  void isolate(const VmId &Vm) {
    for (const auto &[Other, N] : m_Nodes)
      if (Other != Vm) {
        m_Blocked.insert({Vm, Other});
        m_Blocked.insert({Other, Vm});
      }
  }
  void block(const VmId &Source, const VmId &Destination) {
    m_Blocked.insert({Source, Destination});
  }
  void healNetwork() { m_Blocked.clear(); }

  unsigned m_LossPercent = 0;
  unsigned m_DuplicatePercent = 0;
  unsigned m_DelayPercent = 0;
  unsigned m_OpenCrashPercent = 0;
  bool m_Trace = false;
  /// Number of faults and membership changes by kind, to show the coverage of a
  /// run.
  std::map<std::string, std::uint64_t> m_Events;

private:
  struct Packet {
    VmId m_From, m_To;
    std::string m_Bytes;
  };

  bool isInitialVoter(const VmId &Vm) const {
    return std::any_of(m_InitialVoters.begin(), m_InitialVoters.end(),
                       [&](const InitialVoter &V) { return V.m_Vm == Vm; });
  }

  ReplicatedLogCallbacks callbacks(Node &N) {
    ReplicatedLogCallbacks Output;
    Output.m_Send = [this, From = N.m_Vm](const VmId &To, const std::string &,
                                          const std::string &Bytes) {
      send({From, To, Bytes});
    };
    Output.m_Apply = [this, &N](LogIndex Index, const std::string &Payload) {
      m_Oracle.onApplied(Index, Payload);
      N.m_State.second = stableHash(Payload, N.m_State.second ^ Index);
      ++N.m_State.first;
      m_Oracle.onApplied(N.m_State);
    };
    // The padding makes a snapshot span several messages.
    Output.m_TakeSnapshot = [&N] {
      return encode(std::pair(N.m_State, std::string(5000, 's')));
    };
    Output.m_Restore = [this, &N](const std::string &Bytes) {
      N.m_State =
          valueOf(decode<std::pair<std::pair<std::uint64_t, std::uint64_t>,
                                   std::string>>(Bytes))
              .first;
      ++m_Events[N.m_Opened ? "snapshot installed" : "snapshot restored"];
      if (N.m_State.first > 0)
        m_Oracle.onApplied(N.m_State);
    };
    return Output;
  }

  void send(const Packet &P) {
    for (bool SendCopy = true; SendCopy;
         SendCopy = chance(m_DuplicatePercent)) {
      if (chance(m_LossPercent))
        continue;
      Duration Delay(500 + draw(1500));
      if (chance(m_DelayPercent))
        Delay += Duration(draw(800'000));
      m_Packets.emplace(m_Now + Delay, P);
    }
  }

  void deliver() {
    while (!m_Packets.empty() && m_Packets.begin()->first <= m_Now) {
      Packet P = std::move(m_Packets.extract(m_Packets.begin()).mapped());
      Node &To = m_Nodes.at(P.m_To);
      if (!To.m_Log || m_Blocked.count({P.m_From, P.m_To}))
        continue;
      runGuarded(To, [&] {
        To.m_Timers->advanceTo(m_Now);
        To.m_Log->receive(P.m_From, P.m_Bytes);
      });
    }
  }

  void checkInvariants(Node &N) {
    if (!N.m_Log)
      return;
    recordMemberships(N);
    const RaftCore &Core = N.m_Log->core();
    LogIndex Committed = Core.commitIndex();
    LogOracle::require(Committed >= N.m_CheckedCommit,
                       "commit index decreased");
    if (!N.m_Log->status().m_StoreError && Core.role() == RaftRole::Leader)
      m_Oracle.onLeader(Core, N.m_Vm);
    m_Oracle.onCommit(Core, N.m_CheckedCommit);
    N.m_CheckedCommit = Committed;
  }

  /// Also called when a VM stops, since it may have sent messages based on its
  /// memberships in the same event.
  static void recordMemberships(Node &N) {
    if (N.m_Log && N.m_Opened)
      N.m_LastMemberships = N.m_Log->core().possibleMemberships();
  }

  std::mt19937_64 m_Engine;
  bool m_NamesVotersOnce;
  TimePoint m_Now;
  std::vector<InitialVoter> m_InitialVoters;
  std::map<VmId, Node> m_Nodes;
  std::multimap<TimePoint, Packet> m_Packets;
  std::set<std::pair<VmId, VmId>> m_Blocked;
  LogOracle m_Oracle;
  std::uint64_t m_Proposals = 0;
};

} // namespace ragwortdrift

#endif
