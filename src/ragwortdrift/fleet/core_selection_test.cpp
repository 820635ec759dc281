#include "ragwortdrift/fleet/core_selection.hpp"

#include "ragwortdrift/fleet/core_directory.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

/// Interval of reports and of requests to join.
constexpr std::chrono::milliseconds Tick{500};
constexpr int TicksPerSecond = 2;
constexpr std::size_t MaxVoters = 5;
constexpr std::size_t MaxConnected = 10;
/// Time in which an entry VM has to connect to a core VM that runs.
constexpr int ContactTicks = 4 * TicksPerSecond;

/// A core VM of the model, which joins as CoreNode does.
struct ModelCore {
  explicit ModelCore(std::string Address, std::set<std::string> Seeds)
      : m_Address(std::move(Address)), m_Directory(m_Address) {
    m_Directory.setConfigured(std::move(Seeds));
  }
  std::string m_Address;
  FailureDomain m_Domain;
  CoreDirectory m_Directory;
  /// Members of its log as of the last time it followed a leader.
  std::set<std::string> m_Log;
};

/// Order of the addresses of core VMs that are added.
enum class Order { Ascending, Descending, Mixed };

/// Core VMs and an entry VM that exchange what CoreNode and EntryControl do,
/// in steps of Tick, without a network.
struct ModelFleet {
  ModelFleet(std::size_t Count, std::size_t Domains, std::size_t Limit)
      : m_Domains(Domains), m_Limit(Limit) {
    for (std::size_t I = 0; I < Count; ++I)
      add(address(FirstNumber + static_cast<int>(I)));
    for (const auto &[Address, Core] : m_Cores)
      if (m_Voters.size() < MaxVoters)
        m_Voters.insert(Address);
    restartEntry();
  }

  static constexpr int FirstNumber = 5000;
  static std::string address(int Number) {
    return "10.0.0.1:" + std::to_string(Number);
  }
  /// Seeds of a VM that starts now.
  std::set<std::string> seeds() const {
    std::set<std::string> Seeds;
    for (const auto &[Address, Core] : m_Cores)
      if (Seeds.size() < 3)
        Seeds.insert(Address);
    return Seeds;
  }
  void add(const std::string &Address) {
    ModelCore &Added =
        m_Cores.emplace(Address, ModelCore(Address, seeds())).first->second;
    Added.m_Domain = FailureDomain{"d" + std::to_string(m_Added++ % m_Domains)};
  }
  std::string nextAddress(Order Sought) {
    const int Number = ++m_Replaced;
    return address(Sought == Order::Ascending    ? FirstNumber + 100 + Number
                   : Sought == Order::Descending ? FirstNumber - Number
                                                 : 1001 + Number * 7919 % 8999);
  }
  void remove(const std::string &Address) {
    m_Cores.erase(Address);
    m_LostAt[Address] = m_Now;
  }
  void restartEntry() {
    m_Selection.emplace(1, m_Limit);
    m_Selection->setConfigured(seeds());
    m_Watched.clear();
  }

  /// The leader removes lost voters, and admits VMs that wait for a place.
  void changeVoters() {
    std::erase_if(m_Voters, [&](const std::string &Voter) {
      return m_Voters.size() > 3 && !m_Cores.contains(Voter) &&
             m_Now - m_LostAt[Voter] >= 3s;
    });
    for (const auto &[Address, Core] : m_Cores)
      if (m_Voters.size() < MaxVoters)
        m_Voters.insert(Address);
  }
  std::vector<std::string> named(const ModelCore &Core) const {
    auto Named = Core.m_Directory.current(m_Now);
    Named.push_back(Core.m_Address);
    return Named;
  }
  void requestJoins(ModelCore &Core) {
    for (const std::string &Other : Core.m_Directory.all(m_Now)) {
      const auto Receiver = m_Cores.find(Other);
      if (Receiver == m_Cores.end())
        continue;
      Core.m_Directory.recordJoinReply(named(Receiver->second),
                                       m_Voters.contains(Other), m_Now);
      Receiver->second.m_Directory.recordJoinRequest(Core.m_Address, m_Now);
    }
  }
  void step() {
    m_Now = m_Now + Tick;
    changeVoters();
    for (auto &[Address, Core] : m_Cores) {
      const bool IsVoter = m_Voters.contains(Address);
      if (IsVoter)
        Core.m_Log = m_Voters;
      Core.m_Directory.setMembers(Core.m_Log, IsVoter);
      if (!IsVoter)
        requestJoins(Core);
    }
    for (const std::string &Address : std::set<std::string>(m_Watched))
      report(Address);
    applyChanges();
  }
  void report(const std::string &Address) {
    if (const auto Core = m_Cores.find(Address); Core != m_Cores.end())
      m_Selection->recordReport(Address, Core->second.m_Domain,
                                named(Core->second), m_Now);
    else
      m_Selection->recordEnd(Address);
  }
  /// Carries out changes until none is due. Connecting takes no time.
  void applyChanges() {
    while (m_Selection->needsUpdate()) {
      const auto Changes = m_Selection->update(m_Source);
      for (const auto *Ended : {&Changes.m_Forgotten, &Changes.m_Closed})
        for (const std::string &Address : *Ended)
          m_Watched.erase(Address);
      for (const std::string &Address : Changes.m_Opened) {
        m_Watched.insert(Address);
        report(Address);
      }
    }
  }
  void run(int Steps) {
    for (int I = 0; I < Steps; ++I)
      step();
  }
  /// Counts the failure domains of all core VMs, or of the connected ones.
  std::size_t domainCount(bool OnlyConnected) const {
    std::set<FailureDomain> Domains;
    for (const auto &[Address, Core] : m_Cores)
      if (!OnlyConnected || m_Selection->isConnected(Address))
        Domains.insert(Core.m_Domain);
    return Domains.size();
  }

  std::size_t m_Domains;
  std::size_t m_Limit;
  std::size_t m_Added = 0;
  int m_Replaced = 0;
  TimePoint m_Now{1h};
  std::map<std::string, ModelCore> m_Cores;
  std::set<std::string> m_Voters;
  std::map<std::string, TimePoint> m_LostAt;
  /// Addresses that the entry VM has opened a watch to.
  std::set<std::string> m_Watched;
  std::string m_Source;
  std::optional<CoreSelection> m_Selection;
};

struct SeriesCase {
  const char *m_Name;
  std::size_t m_Cores;
  std::size_t m_Domains;
  Order m_Order;
  int m_Replacements;
  int m_AtOnce = 1;
  bool m_RestartsEntry = false;
  /// Removed VMs return at their address, with an empty disk.
  bool m_Returns = false;
  std::size_t m_Limit = MaxConnected;
};
const SeriesCase SeriesCases[] = {
    {"five descending, restarts", 5, 5, Order::Descending, 5, 1, true},
    {"five ascending, restarts", 5, 5, Order::Ascending, 5, 1, true},
    {"ten mixed, restarts", 5, 5, Order::Mixed, 10, 1, true},
    {"five mixed", 5, 5, Order::Mixed, 5},
    {"eight of three", 3, 3, Order::Descending, 8, 1, true},
    {"twelve of six, two at once", 6, 3, Order::Mixed, 12, 2},
    {"twelve of six, two at once, restarts", 6, 3, Order::Mixed, 12, 2, true},
    {"VMs that return", 5, 5, Order::Descending, 6, 1, false, true},
    {"VMs that return, two at once", 6, 3, Order::Mixed, 12, 2, true, true},
    {"thousand", 5, 5, Order::Mixed, 1000},
    {"thousand of nine, two at once", 9, 3, Order::Mixed, 1000, 2},
    {"more core VMs than the limit", 26, 4, Order::Mixed, 20},
    {"more domains than the limit", 26, 13, Order::Mixed, 20, 2, true},
    {"limit of two", 5, 3, Order::Ascending, 10, 1, true, false, 2},
};

void checkSelection(const ModelFleet &Fleet, const char *Name) {
  const std::size_t Expected = std::min(Fleet.m_Cores.size(), Fleet.m_Limit);
  const CoreSelection::Counts Counts = Fleet.m_Selection->counts();
  cr_assert_eq(Counts.m_Connected, Expected, "%s: %zu of %zu", Name,
               Counts.m_Connected, Expected);
  const std::size_t Domains = Fleet.domainCount(true);
  cr_assert_eq(Domains, std::min(Fleet.domainCount(false), Expected),
               "%s: %zu domains", Name, Domains);
  const std::size_t Most = 2 * Fleet.m_Cores.size();
  cr_assert_leq(Counts.m_Known, Most, "%s: %zu known", Name, Counts.m_Known);
  for (const auto &[Address, Core] : Fleet.m_Cores)
    cr_assert_leq(Core.m_Directory.all(Fleet.m_Now).size(), Most, "%s", Name);
}

} // namespace

// Guards against an entry VM that loses core VMs that run for addresses of
// former ones, which it never forgets (review/8).
TABLE_TEST(core_selection, connects_after_replacements, SeriesCases) {
  ModelFleet Fleet(Row.m_Cores, Row.m_Domains, Row.m_Limit);
  Fleet.run(ContactTicks);
  checkSelection(Fleet, Row.m_Name);
  for (int I = 0; I < Row.m_Replacements; I += Row.m_AtOnce) {
    std::vector<std::string> Former;
    for (int J = 0; J < Row.m_AtOnce; ++J) {
      const auto Offset = static_cast<std::ptrdiff_t>(
          static_cast<std::size_t>(I * 3 + J) % Fleet.m_Cores.size());
      Former.push_back(std::next(Fleet.m_Cores.begin(), Offset)->first);
      Fleet.remove(Former.back());
    }
    Fleet.run(TicksPerSecond);
    for (const std::string &Address : Former)
      Fleet.add(Row.m_Returns ? Address : Fleet.nextAddress(Row.m_Order));
    Fleet.run(7 * TicksPerSecond);
    if (Row.m_RestartsEntry)
      Fleet.restartEntry();
    Fleet.run(ContactTicks);
    checkSelection(Fleet, Row.m_Name);
  }
}

// Guards against an entry VM that gives up the only addresses that it knows
// while it reaches no core VM.
Test(core_selection, finds_core_vms_after_long_silence) {
  ModelFleet Fleet(5, 5, MaxConnected);
  Fleet.run(ContactTicks);
  std::vector<std::string> Dark;
  for (const auto &[Address, Core] : Fleet.m_Cores)
    Dark.push_back(Address);
  for (const std::string &Address : Dark)
    Fleet.m_Selection->recordEnd(Address);
  cr_assert(Fleet.m_Selection->update({}).m_Forgotten.empty());
  cr_assert_eq(Fleet.m_Selection->counts().m_Known, 5U);
  Fleet.m_Now = Fleet.m_Now + 1h;
  Fleet.run(2);
  checkSelection(Fleet, "after an hour");
}

// Guards against an entry VM that never finds a core VM which returns at an
// address that only its settings name.
Test(core_selection, keeps_trying_addresses_of_settings) {
  CoreSelection Selection(1, MaxConnected);
  Selection.setConfigured({"gone", "seed"});
  cr_assert_eq(Selection.update({}).m_Opened.size(), 2U);
  TimePoint Now{1h};
  Selection.recordEnd("gone");
  for (int I = 0; I < 100; ++I) {
    Now = Now + Tick;
    Selection.recordReport("seed", {}, {"seed"}, Now);
    cr_assert(Selection.update({}).m_Forgotten.empty());
  }
  cr_assert_not(Selection.isExpectedToRun("gone"));
  cr_assert(Selection.recordReport("gone", {}, {"gone"}, Now));
  cr_assert_eq(Selection.counts().m_Connected, 2U);
}

// Guards against an entry VM that closes the core VM which sends it the state.
Test(core_selection, never_closes_its_source) {
  CoreSelection Selection(1, 2);
  const std::vector<std::string> Named{"a", "b", "c", "d"};
  for (const std::string &Address : Named)
    Selection.recordReport(Address, FailureDomain{"d"}, Named, TimePoint{1h});
  for (const std::string &Source : Named) {
    CoreSelection Copy = Selection;
    const auto Closed = Copy.update(Source).m_Closed;
    cr_assert_eq(Closed.size(), 2U);
    cr_assert_eq(std::ranges::count(Closed, Source), 0);
  }
}
