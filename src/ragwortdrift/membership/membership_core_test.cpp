#include "ragwortdrift/membership/membership_core.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

MemberEntry entryOf(std::size_t Index, std::uint64_t Inc = 1000) {
  const auto Port = static_cast<std::uint16_t>(Index + 1);
  return {VmId("vm-" + std::to_string(Index)),
          FailureDomain("d" + std::to_string(Index % 3)),
          Incarnation(Inc),
          VmStatus::Alive,
          {"10.0.0.1", Port},
          {"10.0.0.2", Port},
          {"10.0.0.3", Port}};
}

/// Runs VMs in virtual time. Messages take 1 ms and can be lost or blocked by a
/// partition.
struct SimulatedCluster {
  explicit SimulatedCluster(std::size_t Size, std::uint64_t Seed,
                            double Loss = 0)
      : m_Random(Seed), m_Loss(Loss), m_Nodes(Size), m_PartitionSide(Size, 0) {
    for (std::size_t I = 0; I < Size; ++I)
      start(I, 1000);
  }
  void start(std::size_t I, std::uint64_t Inc) {
    m_Nodes[I] = std::make_unique<MembershipCore>(
        m_Timers, std::mt19937_64(m_Random()), entryOf(I, Inc),
        std::vector{entryOf(0).m_Control, entryOf(1).m_Control},
        [this, I](const Endpoint &Destination, std::string Bytes) {
          send(I, Destination.m_Port - 1U, std::move(Bytes));
        });
    m_Nodes[I]->onChange([this](const MemberEntry &Update) {
      m_DeadCount += Update.m_Status == VmStatus::Dead;
      m_SuspectedCount += Update.m_Status == VmStatus::Suspected;
    });
    m_Nodes[I]->start();
  }
  void send(std::size_t Source, std::size_t Destination, std::string Bytes) {
    m_Bytes += Bytes.size();
    ++m_Messages;
    if (std::uniform_real_distribution<>()(m_Random) < m_Loss)
      return;
    const auto Id = m_NextMessage++;
    m_InFlight[Id] = m_Timers.after(1ms, [this, Source, Destination, Id,
                                          Bytes = std::move(Bytes)] {
      if (m_Nodes[Destination] &&
          m_PartitionSide[Source] == m_PartitionSide[Destination])
        cr_assert(
            isOk(m_Nodes[Destination]->receive(entryOf(Source).m_Vm, Bytes)));
      m_InFlight.erase(Id);
    });
  }
  void advance(Duration Time) { m_Timers.advanceTo(m_Timers.now() + Time); }
  /// Returns true if all other running VMs report this status for the VM.
  bool allPeersReport(std::size_t Index, std::optional<VmStatus> Status) const {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      if (I != Index && m_Nodes[I] &&
          m_Nodes[I]->statusOf(entryOf(Index).m_Vm) != Status)
        return false;
    return true;
  }
  bool allAlive() const {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      if (!allPeersReport(I, VmStatus::Alive))
        return false;
    return true;
  }
  TimerService m_Timers;
  std::mt19937_64 m_Random;
  double m_Loss;
  std::vector<std::unique_ptr<MembershipCore>> m_Nodes;
  std::vector<int> m_PartitionSide;
  std::map<std::uint64_t, TimerService::Subscription> m_InFlight;
  std::uint64_t m_NextMessage = 0;
  std::uint64_t m_Bytes = 0, m_Messages = 0, m_DeadCount = 0,
                m_SuspectedCount = 0;
};

struct PrecedenceCase {
  std::uint64_t m_Current, m_Update;
  VmStatus m_CurrentStatus, m_UpdateStatus;
  bool m_Supersedes;
};
const PrecedenceCase PrecedenceCases[] = {
    {5, 5, VmStatus::Alive, VmStatus::Suspected, true},
    {5, 5, VmStatus::Suspected, VmStatus::Alive, false},
    {5, 6, VmStatus::Suspected, VmStatus::Alive, true},
    {5, 4, VmStatus::Alive, VmStatus::Dead, false},
    {5, 5, VmStatus::Leaving, VmStatus::Suspected, false},
    {5, 5, VmStatus::Leaving, VmStatus::Dead, true},
    {5, 5, VmStatus::Dead, VmStatus::Leaving, false},
    {5, 6, VmStatus::Dead, VmStatus::Alive, true},
    {5, 5, VmStatus::Alive, VmStatus::Alive, false}};

} // namespace

// Guards against stale updates that override newer ones.
TABLE_TEST(membership_core, higher_incarnation_or_status_supersedes,
           PrecedenceCases) {
  MemberEntry Current = entryOf(1, Row.m_Current),
              Update = entryOf(1, Row.m_Update);
  Current.m_Status = Row.m_CurrentStatus;
  Update.m_Status = Row.m_UpdateStatus;
  cr_expect(supersedes(Update, Current) == Row.m_Supersedes);
}

// Guards against slow failure detection: a dead VM must leave aliveVms() of all
// others within 3 s (Suspected) and become Dead within 2 s more.
Test(membership_core, detects_dead_vm_in_time) {
  Duration WorstSuspected{0}, SumSuspected{0}, WorstDead{0}, SumDead{0};
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    SimulatedCluster Cluster(9, Seed);
    Cluster.advance(10s);
    cr_assert(Cluster.allAlive(), "seed %lu", Seed);
    Cluster.m_Nodes[4].reset();
    const TimePoint Start = Cluster.m_Timers.now();
    Duration SuspectedAfter{0};
    while (!Cluster.allPeersReport(4, VmStatus::Dead) &&
           Cluster.m_Timers.now() - Start < 20s) {
      Cluster.advance(10ms);
      bool Alive = false;
      for (const auto &Node : Cluster.m_Nodes)
        Alive |= Node && Node->statusOf(VmId("vm-4")) == VmStatus::Alive;
      if (SuspectedAfter == Duration{0} && !Alive)
        SuspectedAfter = Cluster.m_Timers.now() - Start;
    }
    const Duration DeadAfter = Cluster.m_Timers.now() - Start;
    cr_expect(SuspectedAfter > 0s && SuspectedAfter <= 3s, "seed %lu: %.2f s",
              Seed, toMillis(SuspectedAfter) / 1000);
    cr_expect(DeadAfter <= 5s, "seed %lu: dead after %.2f s", Seed,
              toMillis(DeadAfter) / 1000);
    WorstSuspected = std::max(WorstSuspected, SuspectedAfter);
    WorstDead = std::max(WorstDead, DeadAfter);
    SumSuspected += SuspectedAfter;
    SumDead += DeadAfter;
  }
  std::printf("membership, 9 VMs: suspected after mean %.2f s worst %.2f s, "
              "dead mean %.2f s worst %.2f s\n",
              toMillis(SumSuspected) / 50e3, toMillis(WorstSuspected) / 1e3,
              toMillis(SumDead) / 50e3, toMillis(WorstDead) / 1e3);
}

// Guards against live VMs that are declared dead when messages are lost: each
// false suspicion must be refuted.
Test(membership_core, refutes_false_suspicion) {
  std::uint64_t SuspectedCount = 0;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    SimulatedCluster Cluster(20, Seed, 0.1);
    Cluster.advance(120s);
    SuspectedCount += Cluster.m_SuspectedCount;
    cr_expect(Cluster.m_DeadCount == 0, "seed %lu: %lu deaths", Seed,
              Cluster.m_DeadCount);
    Cluster.m_Loss = 0;
    Cluster.advance(10s);
    cr_expect(Cluster.allAlive(), "seed %lu", Seed);
  }
  cr_expect(SuspectedCount > 0, "no suspicion occurred, so none was refuted");
}

// Guards against entries that disappear too early or never, when a VM leaves,
// stops, restarts or stays dead for 10 minutes.
Test(membership_core, tracks_leaving_restarted_and_dead_vms) {
  SimulatedCluster Cluster(9, 3);
  Cluster.advance(10s);
  Cluster.m_Nodes[4]->leave();
  Cluster.advance(3s);
  cr_expect(Cluster.allPeersReport(4, VmStatus::Leaving));
  Cluster.advance(20s);
  cr_expect(Cluster.allPeersReport(4, VmStatus::Leaving),
            "a leaving VM that answers must be kept");
  Cluster.m_Nodes[4].reset();
  Cluster.advance(12s);
  cr_expect(Cluster.allPeersReport(4, VmStatus::Dead));
  Cluster.start(4, 2000);
  Cluster.advance(3s);
  cr_expect(Cluster.allPeersReport(4, VmStatus::Alive));
  Cluster.m_Nodes[4].reset();
  Cluster.advance(10s);
  cr_expect(Cluster.allPeersReport(4, VmStatus::Dead));
  Cluster.advance(9min);
  cr_expect(Cluster.allPeersReport(4, VmStatus::Dead));
  Cluster.advance(1min);
  cr_expect(Cluster.allPeersReport(4, std::nullopt),
            "not removed after 10 minutes");
}

// Guards against partitions that do not heal, both before and after the dead
// entries have been removed.
struct PartitionCase {
  Duration m_PartitionTime;
};
static const PartitionCase PartitionCases[] = {{5s}, {60s}, {20min}};
TABLE_TEST(membership_core, rejoins_after_partition, PartitionCases) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    SimulatedCluster Cluster(9, Seed);
    Cluster.advance(10s);
    // Both seeds are on one side.
    Cluster.m_PartitionSide = {0, 0, 0, 0, 1, 1, 1, 1, 1};
    Cluster.advance(Row.m_PartitionTime);
    std::ranges::fill(Cluster.m_PartitionSide, 0);
    Cluster.advance(60s);
    cr_expect(Cluster.allAlive(), "seed %lu", Seed);
  }
}

// Guards against malformed messages that crash the process.
Test(membership_core, tolerates_malformed_messages) {
  SimulatedCluster Cluster(3, 1);
  Cluster.advance(5s);
  std::mt19937_64 Random(5);
  const std::string Valid = encode(GossipMessage{
      GossipKind::Ping, 1, entryOf(1), VmId("x"), {}, {entryOf(2)}});
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Valid.substr(0, Random() % (Valid.size() + 1));
    for (int I = 0; I < Round % 4 && !Bytes.empty(); ++I)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    (void)Cluster.m_Nodes[0]->receive(VmId("vm-1"), Bytes);
  }
  cr_expect(Cluster.m_Nodes[0]->size() >= 3);
}

// Guards against traffic per VM that grows with the number of VMs. Prints the
// traffic for each size.
Test(membership_core, traffic_per_vm_does_not_grow_with_cluster_size) {
  double FirstRate = 0;
  for (const std::size_t Size : {50, 100, 200, 400}) {
    SimulatedCluster Cluster(Size, 7);
    // Long enough for the updates of the common start to have been sent.
    Cluster.advance(400s);
    cr_expect(Cluster.allAlive());
    Cluster.m_Bytes = Cluster.m_Messages = 0;
    Cluster.advance(60s);
    const double Rate =
        static_cast<double>(Cluster.m_Bytes) / 60 / static_cast<double>(Size);
    std::printf(
        "membership, %zu VMs: %.1f B/s and %.2f messages/s sent per VM\n", Size,
        Rate,
        static_cast<double>(Cluster.m_Messages) / 60 /
            static_cast<double>(Size));
    if (FirstRate == 0)
      FirstRate = Rate;
    cr_expect(Rate <= FirstRate * 1.1, "%zu VMs: %.1f B/s", Size, Rate);
  }
}
