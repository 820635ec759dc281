#include "ragwortdrift/membership/lease_holder.hpp"
#include "ragwortdrift/membership/lease_table.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <set>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<Catalog> makeCatalog(const std::vector<std::size_t> &Sizes,
                                     int Partitions) {
  auto Config = std::make_shared<Catalog>();
  auto Owner = std::make_shared<Service>();
  Owner->m_Name = ServiceName("s");
  for (std::size_t D = 0; D < Sizes.size(); ++D) {
    const FailureDomain Domain("d" + std::to_string(D));
    for (std::size_t I = 0; I < Sizes[D]; ++I) {
      const VmId Id("vm-" + std::to_string(D) + "-" + std::to_string(I));
      Config->m_Vms[Id] = {Id, Domain};
    }
    for (int P = 0; P < Partitions; ++P)
      Owner->m_Partitions.push_back(
          {"s/" + Domain.m_Value + "/" + std::to_string(P), Domain, {}});
  }
  Config->m_Services[Owner->m_Name] = Owner;
  return Config;
}

/// One VM with its own clock.
struct Machine {
  VmId m_Id;
  FailureDomain m_Domain;
  double m_Rate = 1;
  TimePoint m_Booted;
  std::unique_ptr<TimerService> m_Timers;
  std::unique_ptr<LeaseTable> m_Table;
  std::unique_ptr<LeaseHolder> m_Holder;
  std::map<std::string, TimePoint> m_HandOverAt;
  int m_Side = 0;
  /// True while messages reach the VM but none leaves it.
  bool m_Mute = false;
  std::uint64_t m_Starts = 0;
};

/// VMs in virtual time, 1 ms a step, with faults of the network.
struct World {
  World(std::uint64_t Seed, const std::vector<std::size_t> &Sizes,
        int Partitions)
      : m_Random(Seed), m_Catalog(makeCatalog(Sizes, Partitions)) {
    for (const auto &[Id, Info] : m_Catalog->m_Vms) {
      Machine &M = m_Machines[Id];
      M.m_Id = Id;
      M.m_Domain = Info.m_Domain;
      // Any two clocks differ by at most 10%.
      M.m_Rate = std::uniform_real_distribution<>(0.9535, 1.0485)(m_Random);
      boot(M);
    }
  }
  void boot(Machine &M) {
    M.m_Holder.reset();
    M.m_Table.reset();
    M.m_Timers = std::make_unique<TimerService>();
    M.m_HandOverAt.clear();
    M.m_Booted = m_Now;
    M.m_Table = std::make_unique<LeaseTable>(*M.m_Timers, M.m_Id);
    M.m_Table->setCatalog(m_Catalog);
    M.m_Holder = std::make_unique<LeaseHolder>(
        *M.m_Timers, std::mt19937_64(m_Random()), M.m_Id, M.m_Domain,
        Incarnation(++M.m_Starts),
        [this, &M](const VmId &To, const std::string &Bytes) {
          post(M.m_Id, To, true, Bytes);
        },
        [this, &M](const std::string &Key, LeaseState State) {
          // Requests in flight end within 300 ms.
          if (State == LeaseState::HandingOver)
            M.m_HandOverAt[Key] = m_Now + Duration(m_Random() % 300'000);
        });
    M.m_Holder->setCatalog(*m_Catalog);
    M.m_Holder->setAlive(domainVms(M.m_Domain));
  }
  std::vector<VmId> domainVms(const FailureDomain &Domain) {
    std::vector<VmId> Vms;
    for (auto &[Id, M] : m_Machines)
      if (M.m_Domain == Domain && !m_Down.contains(Id))
        Vms.push_back(Id);
    return Vms;
  }
  bool chance(double P) {
    return std::uniform_real_distribution<>()(m_Random) < P;
  }
  void post(const VmId &From, const VmId &To, bool ToTable,
            const std::string &Bytes) {
    if (m_Machines.at(From).m_Mute)
      return;
    const int Copies =
        m_Faults ? (chance(m_Loss) ? 0 : 1 + chance(m_Repeat)) : 1;
    for (int I = 0; I < Copies; ++I) {
      const Duration Delay = m_Faults && chance(m_Late)
                                 ? Duration(m_Random() % m_MaxDelay)
                                 : Duration(500 + m_Random() % 1500);
      m_Network.emplace(m_Now + Delay, [this, From, To, ToTable, Bytes] {
        deliver(From, To, ToTable, Bytes);
      });
    }
  }
  void deliver(const VmId &From, const VmId &To, bool ToTable,
               const std::string &Bytes) {
    Machine &M = m_Machines.at(To);
    if (m_Down.contains(To) || M.m_Side != m_Machines.at(From).m_Side)
      return;
    if (!ToTable) {
      cr_assert(isOk(M.m_Holder->receive(From, Bytes)));
      return;
    }
    auto Answer = M.m_Table->receive(From, Bytes);
    cr_assert(isOk(Answer));
    if (valueOf(Answer))
      post(To, From, false, *valueOf(Answer));
  }
  void step() {
    m_Now = m_Now + 1ms;
    while (!m_Network.empty() && m_Network.begin()->first <= m_Now) {
      const auto Fn = std::move(m_Network.begin()->second);
      m_Network.erase(m_Network.begin());
      Fn();
    }
    for (auto &[Id, M] : m_Machines) {
      if (m_Down.contains(Id))
        continue;
      const auto Local = static_cast<Duration::rep>(
          static_cast<double>((m_Now - M.m_Booted).count()) * M.m_Rate);
      M.m_Timers->advanceTo(TimePoint{Duration{Local}});
      for (auto It = M.m_HandOverAt.begin(); It != M.m_HandOverAt.end();) {
        if (It->second > m_Now) {
          ++It;
          continue;
        }
        const std::string Key = It->first;
        It = M.m_HandOverAt.erase(It);
        M.m_Holder->finishHandover(Key);
      }
    }
  }
  /// The VMs that believe that they hold a partition.
  std::vector<VmId> holders(const std::string &Key) {
    std::vector<VmId> Found;
    for (auto &[Id, M] : m_Machines)
      if (!m_Down.contains(Id) && M.m_Holder->stateOf(Key) != LeaseState::None)
        Found.push_back(Id);
    return Found;
  }
  void randomFault() {
    auto It =
        std::next(m_Machines.begin(),
                  static_cast<std::ptrdiff_t>(m_Random() % m_Machines.size()));
    Machine &M = It->second;
    switch (m_Random() % 7) {
    case 0:
      if (!m_Down.contains(M.m_Id))
        boot(M);
      break;
    case 1:
      m_Down.insert(M.m_Id);
      break;
    case 2:
      if (m_Down.erase(M.m_Id) != 0)
        boot(M);
      break;
    case 3:
      for (auto &[Id, Other] : m_Machines)
        Other.m_Side = static_cast<int>(m_Random() % 2);
      break;
    case 4:
      for (auto &[Id, Other] : m_Machines)
        Other.m_Side = 0;
      break;
    case 5:
      M.m_Mute = !M.m_Mute;
      break;
    default:
      // A wrong view of who is alive must not break the exclusion.
      if (!m_Down.contains(M.m_Id)) {
        std::vector<VmId> View;
        for (const VmId &Vm : domainVms(M.m_Domain))
          if (chance(0.5))
            View.push_back(Vm);
        M.m_Holder->setAlive(View);
      }
    }
  }
  void endFaults() {
    m_Faults = false;
    m_Network.clear();
    for (auto &[Id, M] : m_Machines) {
      M.m_Side = 0;
      M.m_Mute = false;
      if (m_Down.erase(Id) != 0)
        boot(M);
    }
    for (auto &[Id, M] : m_Machines)
      M.m_Holder->setAlive(domainVms(M.m_Domain));
  }
  std::mt19937_64 m_Random;
  std::shared_ptr<const Catalog> m_Catalog;
  TimePoint m_Now;
  std::map<VmId, Machine> m_Machines;
  std::set<VmId> m_Down;
  std::multimap<TimePoint, std::function<void()>> m_Network;
  bool m_Faults = false;
  double m_Loss = 0.1, m_Repeat = 0.1, m_Late = 0.2;
  std::uint64_t m_MaxDelay = 3'000'000;
};

struct GrantorCase {
  std::vector<std::size_t> m_Sizes;
  std::size_t m_Grantors;
};
const GrantorCase Grantors[] = {{{1, 1}, 1}, {{2, 1}, 3}, {{2}, 2},
                                {{3, 3}, 3}, {{4, 2}, 5}, {{5, 1}, 5},
                                {{9, 9}, 5}, {{6}, 5}};

struct FuzzCase {
  const char *m_Name;
  std::vector<std::size_t> m_Sizes;
};
const FuzzCase Fuzz[] = {{"3 domains of 3", {3, 3, 3}},
                         {"2 and 1 with witnesses", {2, 1}},
                         {"9 in one domain", {9}},
                         {"4 and 2", {4, 2}}};

} // namespace

// Guards against sets of grantors without a majority rule that intersects.
TABLE_TEST(lease, grantors_of_a_domain, Grantors) {
  const auto Config = makeCatalog(Row.m_Sizes, 1);
  const auto Set = grantorsOf(*Config, FailureDomain("d0"));
  cr_expect(Set.size() == Row.m_Grantors, "%zu", Set.size());
  cr_expect(std::set(Set.begin(), Set.end()).size() == Set.size());
}

// Guards against two VMs that both hold a partition at any time, and against
// partitions without an owner later than 3 s after the faults end. RD_SEED runs
// one seed.
TABLE_TEST(lease, never_two_holders, Fuzz) {
  const char *Only = std::getenv("RD_SEED");
  const std::uint64_t First = Only ? std::strtoull(Only, nullptr, 10) : 1;
  const std::uint64_t Last = Only ? First : 60;
  Duration Worst{0};
  std::uint64_t Owned = 0;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    World W(Seed, Row.m_Sizes, 3);
    std::vector<std::string> Keys;
    for (const Partition &P :
         W.m_Catalog->m_Services.begin()->second->m_Partitions)
      Keys.push_back(P.m_Key);
    const auto Check = [&] {
      std::size_t Count = 0;
      for (const std::string &Key : Keys) {
        const auto Holders = W.holders(Key);
        Count += !Holders.empty();
        cr_assert(Holders.size() <= 1,
                  "%s, seed %lu at %.3f s: %s has 2 holders", Row.m_Name, Seed,
                  toMillis(W.m_Now - TimePoint{}) / 1000, Key.c_str());
      }
      return Count;
    };
    W.m_Faults = true;
    // Delays from a fraction of the lease period to twice the period.
    W.m_MaxDelay = 500'000 + W.m_Random() % 2'500'000;
    W.m_Late = 0.1 + 0.1 * static_cast<double>(W.m_Random() % 8);
    for (int Step = 0; Step < 25'000; ++Step) {
      if (W.chance(0.002))
        W.randomFault();
      W.step();
      Owned += Check();
    }
    W.endFaults();
    const TimePoint End = W.m_Now;
    while (Check() < Keys.size() && W.m_Now - End < 3s)
      W.step();
    cr_expect(Check() == Keys.size(), "%s, seed %lu: no owner after 3 s",
              Row.m_Name, Seed);
    Worst = std::max(Worst, W.m_Now - End);
    // Without faults the best-ranked VMs hold everything within the return
    // delay, and ownership stays.
    for (int Step = 0; Step < 9'000; ++Step) {
      W.step();
      Check();
    }
    for (const std::string &Key : Keys) {
      const Partition P{Key, FailureDomain(Key.substr(2, 2)), {}};
      const auto Best = rankedCandidates(P, W.domainVms(P.m_Domain)).front();
      cr_expect(W.holders(Key) == std::vector{Best}, "%s, seed %lu: %s",
                Row.m_Name, Seed, Key.c_str());
    }
  }
  cr_expect(Owned > 0);
  std::printf("lease, %s: owners within %.2f s after faults, worst of %lu\n",
              Row.m_Name, toMillis(Worst) / 1000, Last - First + 1);
}

// Guards against a grant to the next start of a holder before the requests of
// the earlier start must have ended, and against a release by an earlier one.
Test(lease, starts_of_a_holder_are_told_apart) {
  TimerService Timers;
  LeaseTable Table(Timers, VmId("vm-0-0"));
  Table.setCatalog(makeCatalog({2}, 1));
  Timers.advanceTo(TimePoint{1500ms});
  const auto Ask = [&](std::uint64_t Start, std::uint64_t Round,
                       LeaseAction Action) {
    const auto Answer = Table.receive(
        VmId("vm-0-1"),
        encode(LeaseRequest{Incarnation(Start), Round, {{"s/d0/0", Action}}}));
    cr_assert(isOk(Answer) && valueOf(Answer));
    const auto Decoded = decode<LeaseResponse>(*valueOf(Answer));
    return valueOf(Decoded).m_Items.at(0).m_Result;
  };
  cr_expect(Ask(1, 5, LeaseAction::Claim) == LeaseResult::Granted);
  cr_expect(Ask(2, 1, LeaseAction::Claim) == LeaseResult::HeldByOther);
  Ask(2, 2, LeaseAction::Release);
  cr_expect(Ask(2, 3, LeaseAction::Claim) == LeaseResult::HeldByOther);
  Timers.advanceTo(TimePoint{3000ms});
  cr_expect(Ask(2, 4, LeaseAction::Claim) == LeaseResult::Granted);
}

// Guards against a slow take-over when an owner dies (section 6: 1.5 to 2 s).
Test(lease, owner_death_and_drain) {
  World W(3, {3, 3}, 4);
  const std::string Key = "s/d0/0";
  const auto Run = [&](Duration For) {
    const TimePoint End = W.m_Now + For;
    while (W.m_Now < End)
      W.step();
  };
  Run(4s);
  cr_assert(W.holders(Key).size() == 1);
  const VmId Owner = W.holders(Key)[0];
  W.m_Down.insert(Owner);
  for (auto &[Id, M] : W.m_Machines)
    if (Id != Owner)
      M.m_Holder->setAlive(W.domainVms(M.m_Domain));
  const TimePoint Start = W.m_Now;
  while (W.holders(Key).empty() && W.m_Now - Start < 5s)
    W.step();
  cr_expect(W.m_Now - Start <= 2s, "%.2f s", toMillis(W.m_Now - Start) / 1000);
  const VmId Next = W.holders(Key).at(0);
  W.m_Machines.at(Next).m_Holder->drain();
  cr_expect(!W.m_Machines.at(Next).m_Holder->mayAdmit(Key));
  W.m_Down.insert(Owner);
  for (auto &[Id, M] : W.m_Machines) {
    std::vector<VmId> Alive = W.domainVms(M.m_Domain);
    std::erase(Alive, Next);
    M.m_Holder->setAlive(Alive);
  }
  Run(1s);
  cr_expect(W.m_Machines.at(Next).m_Holder->isDrained());
  cr_assert(W.holders(Key).size() == 1);
  cr_expect(W.holders(Key)[0] != Next);
}

// Guards against a new set of grantors that grants beside an older lease while
// the change has not reached all grantors: 2 s late at most.
Test(lease, changed_grantors_do_not_grant_beside_an_older_lease) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    World W(Seed, {7, 1}, 2);
    const FailureDomain Domain("d0");
    for (int Change = 0; Change < 6; ++Change) {
      // One VM in or out of the catalog changes up to one of the grantors, or
      // adds and removes the witness.
      auto Config = std::make_shared<Catalog>(*W.m_Catalog);
      const VmId Victim("vm-0-" + std::to_string(W.m_Random() % 7));
      if (Config->m_Vms.erase(Victim) == 0)
        Config->m_Vms[Victim] = {Victim, Domain};
      W.m_Catalog = Config;
      std::map<VmId, int> At;
      for (auto &[Id, M] : W.m_Machines)
        At[Id] = static_cast<int>(W.m_Random() % 2000);
      for (int Step = 0; Step < 6'000; ++Step) {
        for (auto &[Id, M] : W.m_Machines)
          if (At[Id] == Step) {
            M.m_Table->setCatalog(Config);
            M.m_Holder->setCatalog(*Config);
          }
        // Each VM believes itself to be the only one: the worst candidates.
        if (Step % 700 == 0)
          for (auto &[Id, M] : W.m_Machines)
            M.m_Holder->setAlive(W.chance(0.3) ? std::vector<VmId>{}
                                               : W.domainVms(M.m_Domain));
        W.step();
        for (const char *Key : {"s/d0/0", "s/d0/1"})
          cr_assert(W.holders(Key).size() <= 1, "seed %lu", Seed);
      }
    }
  }
}
