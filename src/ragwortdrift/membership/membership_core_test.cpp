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

/// VMs in virtual time; messages take 1 ms and can be lost or cut off.
struct Cluster {
  explicit Cluster(std::size_t Size, std::uint64_t Seed, double Loss = 0)
      : m_Random(Seed), m_Loss(Loss), m_Nodes(Size), m_Side(Size, 0) {
    for (std::size_t I = 0; I < Size; ++I)
      boot(I, 1000);
  }
  void boot(std::size_t I, std::uint64_t Inc) {
    m_Nodes[I] = std::make_unique<MembershipCore>(
        m_Timers, std::mt19937_64(m_Random()), entryOf(I, Inc),
        std::vector{entryOf(0).m_Control, entryOf(1).m_Control},
        [this, I](const Endpoint &To, std::string Bytes) {
          deliver(I, To.m_Port - 1U, std::move(Bytes));
        });
    m_Nodes[I]->onChange([this](const MemberEntry &News) {
      m_Deaths += News.m_Status == VmStatus::Dead;
      m_Suspicions += News.m_Status == VmStatus::Suspected;
    });
    m_Nodes[I]->start();
  }
  void deliver(std::size_t From, std::size_t To, std::string Bytes) {
    m_Bytes += Bytes.size();
    ++m_Messages;
    if (std::uniform_real_distribution<>()(m_Random) < m_Loss)
      return;
    const auto Id = m_NextMessage++;
    m_InFlight[Id] =
        m_Timers.after(1ms, [this, From, To, Id, Bytes = std::move(Bytes)] {
          if (m_Nodes[To] && m_Side[From] == m_Side[To])
            cr_assert(isOk(m_Nodes[To]->receive(entryOf(From).m_Vm, Bytes)));
          m_InFlight.erase(Id);
        });
  }
  void run(Duration For) { m_Timers.advanceTo(m_Timers.now() + For); }
  /// True when all other running VMs give this one the status.
  bool all(std::size_t Of, std::optional<VmStatus> Status) const {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      if (I != Of && m_Nodes[I] &&
          m_Nodes[I]->statusOf(entryOf(Of).m_Vm) != Status)
        return false;
    return true;
  }
  bool allAlive() const {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      if (!all(I, VmStatus::Alive))
        return false;
    return true;
  }
  TimerService m_Timers;
  std::mt19937_64 m_Random;
  double m_Loss;
  std::vector<std::unique_ptr<MembershipCore>> m_Nodes;
  std::vector<int> m_Side;
  std::map<std::uint64_t, TimerService::Subscription> m_InFlight;
  std::uint64_t m_NextMessage = 0;
  std::uint64_t m_Bytes = 0, m_Messages = 0, m_Deaths = 0, m_Suspicions = 0;
};

struct NewsCase {
  std::uint64_t m_Known, m_News;
  VmStatus m_KnownStatus, m_NewsStatus;
  bool m_Replaces;
};
const NewsCase News[] = {{5, 5, VmStatus::Alive, VmStatus::Suspected, true},
                         {5, 5, VmStatus::Suspected, VmStatus::Alive, false},
                         {5, 6, VmStatus::Suspected, VmStatus::Alive, true},
                         {5, 4, VmStatus::Alive, VmStatus::Dead, false},
                         {5, 5, VmStatus::Leaving, VmStatus::Suspected, false},
                         {5, 5, VmStatus::Leaving, VmStatus::Dead, true},
                         {5, 5, VmStatus::Dead, VmStatus::Leaving, false},
                         {5, 6, VmStatus::Dead, VmStatus::Alive, true},
                         {5, 5, VmStatus::Alive, VmStatus::Alive, false}};

} // namespace

// Guards against stale news that overrides newer news.
TABLE_TEST(membership, precedence_of_news, News) {
  MemberEntry Known = entryOf(1, Row.m_Known),
              Incoming = entryOf(1, Row.m_News);
  Known.m_Status = Row.m_KnownStatus;
  Incoming.m_Status = Row.m_NewsStatus;
  cr_expect(supersedes(Incoming, Known) == Row.m_Replaces);
}

// Guards against slow detection. A dead VM leaves aliveVms() of all others
// within 3 s (suspicion) and is dead 2 s later.
Test(membership, detects_a_dead_vm) {
  Duration Worst{0}, Sum{0}, WorstDead{0}, SumDead{0};
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Cluster G(9, Seed);
    G.run(10s);
    cr_assert(G.allAlive(), "seed %lu", Seed);
    G.m_Nodes[4].reset();
    const TimePoint Start = G.m_Timers.now();
    Duration Out{0};
    while (!G.all(4, VmStatus::Dead) && G.m_Timers.now() - Start < 20s) {
      G.run(10ms);
      bool Alive = false;
      for (const auto &Node : G.m_Nodes)
        Alive |= Node && Node->statusOf(VmId("vm-4")) == VmStatus::Alive;
      if (Out == Duration{0} && !Alive)
        Out = G.m_Timers.now() - Start;
    }
    const Duration Dead = G.m_Timers.now() - Start;
    cr_expect(Out > 0s && Out <= 3s, "seed %lu: %.2f s", Seed,
              toMillis(Out) / 1000);
    cr_expect(Dead <= 5s, "seed %lu: dead after %.2f s", Seed,
              toMillis(Dead) / 1000);
    Worst = std::max(Worst, Out);
    WorstDead = std::max(WorstDead, Dead);
    Sum += Out;
    SumDead += Dead;
  }
  std::printf("membership, 9 VMs: out of aliveVms mean %.2f s worst %.2f s, "
              "dead mean %.2f s worst %.2f s\n",
              toMillis(Sum) / 50e3, toMillis(Worst) / 1e3,
              toMillis(SumDead) / 50e3, toMillis(WorstDead) / 1e3);
}

// Guards against live VMs that are declared dead when messages are lost: each
// false suspicion must be refuted.
Test(membership, refutes_false_suspicion) {
  std::uint64_t Suspicions = 0;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    Cluster G(20, Seed, 0.1);
    G.run(120s);
    Suspicions += G.m_Suspicions;
    cr_expect(G.m_Deaths == 0, "seed %lu: %lu deaths", Seed, G.m_Deaths);
    G.m_Loss = 0;
    G.run(10s);
    cr_expect(G.allAlive(), "seed %lu", Seed);
  }
  cr_expect(Suspicions > 0, "the test causes no suspicion");
}

// Guards against lost or lasting entries: restart, leaving, forgetting.
Test(membership, restart_leave_and_forget) {
  Cluster G(9, 3);
  G.run(10s);
  G.m_Nodes[4]->leave();
  G.run(3s);
  cr_expect(G.all(4, VmStatus::Leaving));
  G.run(20s);
  cr_expect(G.all(4, VmStatus::Leaving), "a leaving VM that answers is kept");
  G.m_Nodes[4].reset();
  G.run(12s);
  cr_expect(G.all(4, VmStatus::Dead));
  G.boot(4, 2000);
  G.run(3s);
  cr_expect(G.all(4, VmStatus::Alive));
  G.m_Nodes[4].reset();
  G.run(10s);
  cr_expect(G.all(4, VmStatus::Dead));
  G.run(9min);
  cr_expect(G.all(4, VmStatus::Dead));
  G.run(1min);
  cr_expect(G.all(4, std::nullopt), "forgotten after 10 minutes");
}

// Guards against partitions that do not heal, before and after the dead
// entries were forgotten.
struct HealCase {
  Duration m_Cut;
};
static const HealCase Heals[] = {{5s}, {60s}, {20min}};
TABLE_TEST(membership, partitions_heal, Heals) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    Cluster G(9, Seed);
    G.run(10s);
    // Both seeds are on one side.
    G.m_Side = {0, 0, 0, 0, 1, 1, 1, 1, 1};
    G.run(Row.m_Cut);
    std::ranges::fill(G.m_Side, 0);
    G.run(60s);
    cr_expect(G.allAlive(), "seed %lu", Seed);
  }
}

// Guards against a process that damaged messages stop.
Test(membership, survives_damaged_messages) {
  Cluster G(3, 1);
  G.run(5s);
  std::mt19937_64 Random(5);
  const std::string Good = encode(GossipMessage{
      GossipKind::Ping, 1, entryOf(1), VmId("x"), {}, {entryOf(2)}});
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Good.substr(0, Random() % (Good.size() + 1));
    for (int I = 0; I < Round % 4 && !Bytes.empty(); ++I)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    (void)G.m_Nodes[0]->receive(VmId("vm-1"), Bytes);
  }
  cr_expect(G.m_Nodes[0]->size() >= 3);
}

// Guards against traffic that grows with the number of VMs. Prints the slope.
Test(membership, bytes_do_not_grow_with_size) {
  double First = 0;
  for (const std::size_t Size : {50, 100, 200, 400}) {
    Cluster G(Size, 7);
    // Long enough for the news of the common start to have ended.
    G.run(400s);
    cr_expect(G.allAlive());
    G.m_Bytes = G.m_Messages = 0;
    G.run(60s);
    const double PerSecond =
        static_cast<double>(G.m_Bytes) / 60 / static_cast<double>(Size);
    std::printf("membership, %zu VMs: %.1f B/s and %.2f messages/s sent a VM\n",
                Size, PerSecond,
                static_cast<double>(G.m_Messages) / 60 /
                    static_cast<double>(Size));
    if (First == 0)
      First = PerSecond;
    cr_expect(PerSecond <= First * 1.1, "%zu VMs: %.1f B/s", Size, PerSecond);
  }
}
