#include "ragwortdrift/fleet/core_node.hpp"
#include "ragwortdrift/fleet/entry_control.hpp"
#include "ragwortdrift/net/http_server.hpp"
#include "ragwortdrift/testing/loopback.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <filesystem>

using namespace ragwortdrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A page is one line: the next token, a space, and ids separated by commas.
LeafListFormat lineFormat() {
  LeafListFormat Out;
  Out.m_Target = [](const std::string &Token) { return "/" + Token; };
  Out.m_Read = [](std::string_view Body) -> Result<LeafListPage, ListError> {
    const auto Space = Body.find(' ');
    if (Space == std::string_view::npos)
      return ListError{ListErrorCode::BadPage, "no space"};
    LeafListPage Page;
    Page.m_NextToken = Body.substr(0, Space);
    std::string_view Ids = Body.substr(Space + 1);
    while (!Ids.empty()) {
      const auto End = std::min(Ids.find(','), Ids.size());
      ListedLeaf Leaf;
      Leaf.m_Id = LeafId{std::string(Ids.substr(0, End))};
      Page.m_Leafs.push_back(Leaf);
      Ids.remove_prefix(std::min(End + 1, Ids.size()));
    }
    return Page;
  };
  return Out;
}

/// A configuration's text is its version.
Result<RouteConfig, std::vector<ConfigError>>
readVersion(std::string_view Subject) {
  RouteConfig Out;
  Out.m_Version = std::stoull(std::string(Subject));
  return Out;
}

/// Core VMs on loopback, one thread, with data folders of their own, and a
/// server of the list of leafs.
struct Fleet {
  explicit Fleet(std::size_t Founders, std::size_t Later = 0)
      : m_Founders(Founders),
        m_ListServer(m_Io, {}, [this](const std::shared_ptr<HttpExchange> &In) {
          ++m_ListCalls;
          if (m_ListPages.contains(std::string(In->request().target())))
            In->respond(jsonResponse(
                200, m_ListPages[std::string(In->request().target())]));
          else if (!m_ListIsSilent)
            In->respond(jsonResponse(429, "{}"));
          else
            m_Held.push_back(In);
        }) {
    cr_assert(isOk(m_ListServer.listen("127.0.0.1", 0)));
    m_Folder = std::filesystem::temp_directory_path() /
               ("rd-fleet-" + std::to_string(::getpid()) + "-" +
                std::to_string(m_ListServer.port()));
    std::filesystem::create_directories(m_Folder);
    for (std::size_t I = 0; I < Founders + Later; ++I)
      m_Peers.push_back(testing::freeEndpoint(m_Io));
    m_Nodes.resize(m_Peers.size());
  }
  ~Fleet() {
    m_Nodes.clear();
    std::error_code Ignored;
    std::filesystem::remove_all(m_Folder, Ignored);
  }

  FleetSettings settings(std::size_t Index, bool Form) const {
    FleetSettings Out;
    Out.m_Vm = VmId{"vm-" + std::to_string(Index)};
    for (std::size_t I = 0; I < m_Founders; ++I)
      Out.m_Cores.push_back(m_Peers[I]);
    Out.m_Peers = m_Peers.at(Index);
    Out.m_Folder = folder(Index);
    Out.m_Form = Form;
    Out.m_LeafList = {"127.0.0.1", m_ListServer.port()};
    Out.m_LeafListRate = 1000;
    return Out;
  }
  std::filesystem::path folder(std::size_t Index) const {
    return m_Folder / std::to_string(Index);
  }
  void start(std::size_t Index, bool Form) {
    m_Nodes[Index] =
        std::make_unique<CoreNode>(m_Io, settings(Index, Form), lineFormat());
    cr_assert(isOk(m_Nodes[Index]->start()));
  }
  void startFounders() {
    for (std::size_t I = 0; I < m_Founders; ++I)
      start(I, true);
  }

  template <class Condition>
  bool runUntil(Condition Holds, Duration Limit = 8s) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    // A condition that makes a call is not asked again once it holds.
    while (!Holds()) {
      if (std::chrono::steady_clock::now() >= End)
        return false;
      m_Io.run_one_for(5ms);
      if (m_SlowIo)
        m_SlowIo->poll();
    }
    return true;
  }
  Result<OrderOutcome, CoreError> submit(std::size_t Index,
                                         RoutingOrder Order) {
    std::optional<Result<OrderOutcome, CoreError>> Out;
    m_Nodes[Index]->submit(std::move(Order),
                           [&](Result<OrderOutcome, CoreError> Actual) {
                             Out.emplace(std::move(Actual));
                           });
    cr_assert(runUntil([&] { return Out.has_value(); }, 3s));
    return *Out;
  }
  /// Sends an order again until it has a clear answer, as operators do.
  OrderOutcome submitUntilClear(std::size_t Index, const RoutingOrder &Order) {
    for (int Try = 0; Try < 100; ++Try) {
      const auto Out = submit(Index, Order);
      if (isOk(Out))
        return valueOf(Out);
      runUntil([] { return false; }, 50ms);
    }
    cr_assert_fail("no clear answer");
    return {};
  }
  Result<RoutingState, CoreError> read(std::size_t Index) {
    std::optional<Result<RoutingState, CoreError>> Out;
    m_Nodes[Index]->read([&](Result<RoutingState, CoreError> Actual) {
      Out.emplace(std::move(Actual));
    });
    cr_assert(runUntil([&] { return Out.has_value(); }, 4s));
    return std::move(*Out);
  }
  static RoutingOrder config(std::uint64_t Version,
                             const std::string &Text = {}) {
    return SetConfig{{Version, Text.empty() ? std::to_string(Version) : Text}};
  }
  double metric(std::size_t Index, const char *Name) {
    for (const MetricSample &Item : m_Nodes[Index]->metrics())
      if (Item.m_Name == Name)
        return std::get<Gauge>(Item.m_Value).value();
    return 0;
  }
  double voters(std::size_t Index) {
    return metric(Index, "ragwortdrift_log_voters");
  }
  std::optional<std::size_t> leader() {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      if (m_Nodes[I] && metric(I, "ragwortdrift_log_leads") == 1)
        return I;
    return std::nullopt;
  }

  asio::io_context m_Io;
  /// Run beside m_Io when set, so that a test can let a VM stand still.
  asio::io_context *m_SlowIo = nullptr;
  std::size_t m_Founders;
  HttpServer m_ListServer;
  std::map<std::string, std::string> m_ListPages{{"/", " a,b"}};
  bool m_ListIsSilent = false;
  std::vector<std::shared_ptr<HttpExchange>> m_Held;
  int m_ListCalls = 0;
  std::filesystem::path m_Folder;
  std::vector<Endpoint> m_Peers;
  std::vector<std::unique_ptr<CoreNode>> m_Nodes;
};

/// The control state of an entry VM, with all that it told its traffic thread.
struct Entry {
  explicit Entry(Fleet &Subject, const char *Name = "entry")
      : Entry(Subject, settings(Subject, Name)) {}
  Entry(Fleet &Subject, const FleetSettings &Settings)
      : m_Control(Subject.m_Io, Settings, lineFormat(), &readVersion,
                  updates()) {
    m_Control.start();
  }
  static FleetSettings settings(const Fleet &Subject, const char *Name) {
    FleetSettings Out = Subject.settings(0, false);
    Out.m_Vm = VmId{Name};
    return Out;
  }
  EntryUpdates updates() {
    EntryUpdates Out;
    Out.m_Routes = [this](const std::shared_ptr<const RouteTable> &Routes) {
      m_Versions.push_back(Routes->config().m_Version);
    };
    Out.m_DomainsOut = [this](std::set<FailureDomain> Domains) {
      m_DomainsOut = std::move(Domains);
    };
    Out.m_Leafs = [this](const LeafList &List) { m_Lists.push_back(List); };
    Out.m_Estimates = [this](std::vector<LeafEstimate> Estimates) {
      m_Estimates = std::move(Estimates);
    };
    Out.m_EntryCount = [this](std::size_t Count) { m_EntryCount = Count; };
    return Out;
  }

  std::vector<std::uint64_t> m_Versions;
  std::set<FailureDomain> m_DomainsOut;
  std::size_t m_EntryCount = 0;
  std::vector<LeafList> m_Lists;
  std::vector<LeafEstimate> m_Estimates;
  EntryControl m_Control;
};

struct ListCase {
  const char *m_Name;
  std::map<std::string, std::string> m_Pages;
  bool m_IsSilent;
  std::optional<ListErrorCode> m_Error;
  std::size_t m_Leafs;
};
const ListCase ListCases[] = {
    {"one page", {{"/", " a,b"}}, false, std::nullopt, 2},
    {"three pages",
     {{"/", "p1 a,b"}, {"/p1", "p2 c"}, {"/p2", " d"}},
     false,
     std::nullopt,
     4},
    {"empty", {{"/", " "}}, false, std::nullopt, 0},
    {"later page refused", {{"/", "p1 a,b"}}, false, ListErrorCode::Refused, 0},
    {"later page silent",
     {{"/", "p1 a,b"}},
     true,
     ListErrorCode::Unreachable,
     0},
    {"later page unreadable",
     {{"/", "p1 a,b"}, {"/p1", "junk"}},
     false,
     ListErrorCode::BadPage,
     0},
};

struct AheadCase {
  const char *m_Name;
  std::map<std::string, std::string> m_Pages;
};
const AheadCase AheadCases[] = {
    {"list of one page", {{"/", " a,b"}}},
    {"list that refuses", {}},
};

} // namespace

// Guards against a list that is taken in part: its missing leafs would count
// as gone.
TABLE_TEST(fleet, reads_the_leaf_list_whole_or_not_at_all, ListCases) {
  Fleet F(1);
  F.m_ListPages = Row.m_Pages;
  F.m_ListIsSilent = Row.m_IsSilent;
  LeafListReader Reader(F.m_Io, {"127.0.0.1", F.m_ListServer.port()},
                        lineFormat());
  // A read after one that failed starts anew.
  for (int Round = 0; Round < 2; ++Round) {
    std::optional<Result<LeafList, ListError>> Out;
    Reader.read([&](Result<LeafList, ListError> Actual) {
      Out.emplace(std::move(Actual));
    });
    cr_assert(F.runUntil([&] { return Out.has_value(); }), "%s", Row.m_Name);
    cr_assert_eq(isOk(*Out), !Row.m_Error, "%s", Row.m_Name);
    if (Row.m_Error)
      cr_assert_eq(errorOf(*Out).m_Code, *Row.m_Error, "%s", Row.m_Name);
    else
      cr_assert_eq(valueOf(*Out).size(), Row.m_Leafs, "%s", Row.m_Name);
  }
}

// Guards against an order that only one VM knows, and against a resend that is
// refused.
Test(fleet, commits_and_confirms_at_any_core_vm) {
  Fleet F(3);
  F.startFounders();
  cr_assert_eq(F.submitUntilClear(0, Fleet::config(3)), OrderOutcome::Accepted);
  for (std::size_t I = 0; I < 3; ++I) {
    cr_assert_eq(F.submitUntilClear(I, Fleet::config(3)),
                 OrderOutcome::Unchanged);
    cr_assert_eq(F.submitUntilClear(I, Fleet::config(3, "other")),
                 OrderOutcome::OtherContent);
    const auto State = F.read(I);
    cr_assert(isOk(State) && valueOf(State).m_Config.m_Text == "3");
  }
}

// Guards against an acknowledgement or a read without a majority.
Test(fleet, refuses_without_a_majority) {
  Fleet F(3);
  F.startFounders();
  cr_assert_eq(F.submitUntilClear(0, Fleet::config(1)), OrderOutcome::Accepted);
  F.m_Nodes[1].reset();
  F.m_Nodes[2].reset();
  cr_assert_not(isOk(F.submit(0, Fleet::config(2))));
  cr_assert_not(isOk(F.read(0)));
}

// Guards against core VMs beyond the first ones that never vote.
Test(fleet, admits_a_later_core_vm_as_voter) {
  Fleet F(3, 1);
  F.startFounders();
  F.start(3, true);
  cr_assert_eq(F.submitUntilClear(3, Fleet::config(1)), OrderOutcome::Accepted);
  cr_assert(F.runUntil([&] { return F.voters(3) == 4 && F.voters(0) == 4; }));
}

// Guards against a lost voter that still counts beside its replacement: of four
// voters with one lost, the loss of another one ends every majority.
Test(fleet, bears_another_loss_after_a_replacement) {
  Fleet F(3, 1);
  F.startFounders();
  cr_assert_eq(F.submitUntilClear(0, Fleet::config(1)), OrderOutcome::Accepted);
  F.m_Nodes[2].reset();
  F.start(3, false);
  cr_assert(F.runUntil([&] { return F.voters(3) == 4; }));
  cr_assert(F.runUntil([&] { return F.voters(3) == 3; }));
  F.m_Nodes[0].reset();
  cr_assert_eq(F.submitUntilClear(1, Fleet::config(2)), OrderOutcome::Accepted);
}

// Guards against a lost disk that takes acknowledged orders with it, and
// against a VM with an empty disk that stays outside.
Test(fleet, readmits_a_core_vm_that_lost_its_disk) {
  Fleet F(3);
  F.startFounders();
  cr_assert_eq(F.submitUntilClear(0, Fleet::config(7)), OrderOutcome::Accepted);
  F.m_Nodes[2].reset();
  std::filesystem::remove_all(F.folder(2));
  F.start(2, false);
  // It may be counted again only when it holds everything.
  cr_assert(F.runUntil([&] {
    const auto State = F.read(2);
    return F.voters(2) == 3 && isOk(State) &&
           valueOf(State).m_Config.m_Version == 7;
  }));
  F.runUntil([] { return false; }, 300ms);
  F.m_Nodes[0].reset();
  cr_assert_eq(F.submitUntilClear(1, Fleet::config(8)), OrderOutcome::Accepted);
}

// Guards against acknowledged orders that are lost when all core VMs stop at
// once, and against older versions that reach a VM while the log is replayed.
Test(fleet, shows_only_the_newest_state_after_a_restart_of_all) {
  Fleet F(3);
  F.startFounders();
  for (std::uint64_t Version = 1; Version <= 20; ++Version)
    F.submitUntilClear(0, Fleet::config(Version));
  F.submitUntilClear(0, SetDomainOut{FailureDomain{"north"}, true});
  for (auto &Node : F.m_Nodes)
    Node.reset();
  Entry Watching(F);
  for (std::size_t I = 0; I < 3; ++I)
    F.start(I, false);
  cr_assert(F.runUntil([&] { return !Watching.m_Versions.empty(); }));
  F.runUntil([] { return false; }, 300ms);
  cr_assert_eq(Watching.m_Versions.size(), 1U);
  cr_assert_eq(Watching.m_Versions[0], 20U);
  cr_assert(Watching.m_DomainsOut.contains(FailureDomain{"north"}));
}

// Guards against entry VMs that learn late of orders or leafs, and against a
// list that every VM reads for itself.
Test(fleet, tells_entry_vms_what_changes) {
  Fleet F(3);
  F.startFounders();
  F.submitUntilClear(0, Fleet::config(1));
  Entry Watching(F);
  cr_assert(F.runUntil([&] {
    return !Watching.m_Versions.empty() && !Watching.m_Lists.empty();
  }));
  F.m_ListPages["/"] = " a,b,c";
  F.submitUntilClear(1, Fleet::config(2));
  const auto Ordered = std::chrono::steady_clock::now();
  cr_assert(F.runUntil([&] { return Watching.m_Versions.back() == 2; }));
  cr_assert(F.runUntil([&] { return Watching.m_Lists.back().size() == 3; }));
  cr_assert_lt((std::chrono::steady_clock::now() - Ordered).count(),
               std::chrono::nanoseconds(3s).count());
}

// Guards against entry VMs that wait for the list when all core VMs have
// restarted, and against core VMs that all read it again and again meanwhile.
TABLE_TEST(fleet, reads_the_list_once_ahead_of_an_election, AheadCases) {
  Fleet F(3);
  F.m_ListPages = Row.m_Pages;
  F.start(0, true);
  F.runUntil([] { return false; }, 700ms);
  cr_assert_eq(F.m_ListCalls, 1, "%s", Row.m_Name);
}

// Guards against an entry VM that reads the list for itself because it watches
// every core VM but the leader.
Test(fleet, passes_the_list_on_through_every_core_vm) {
  Fleet F(3, 3);
  F.startFounders();
  F.submitUntilClear(0, Fleet::config(1));
  for (std::size_t I = 3; I < 6; ++I)
    F.start(I, false);
  cr_assert(F.runUntil([&] { return F.voters(0) == 5; }));
  const auto Leader = F.leader();
  cr_assert(Leader.has_value());
  FleetSettings Settings = Entry::settings(F, "entry");
  // The list's server cannot be reached from here.
  Settings.m_LeafList = testing::freeEndpoint(F.m_Io);
  Settings.m_Cores.clear();
  for (std::size_t I = 0; I < 6; ++I)
    if (I != *Leader)
      Settings.m_Cores.push_back(F.m_Peers[I]);
  Entry Watching(F, Settings);
  cr_assert(F.runUntil([&] { return !Watching.m_Lists.empty(); }));
  F.m_ListPages["/"] = " a,b,c";
  cr_assert(
      F.runUntil([&] { return Watching.m_Lists.back().size() == 3; }, 3s));
}

// Guards against a core VM that was frozen, lost its vote meanwhile and goes on
// telling entry VMs that start what it held before.
Test(fleet, does_not_tell_the_state_of_a_former_voter) {
  Fleet F(3, 3);
  asio::io_context FormerIo;
  CoreNode Former(FormerIo, F.settings(2, true), lineFormat());
  cr_assert(isOk(Former.start()));
  F.m_SlowIo = &FormerIo;
  const auto HeldByFormer = [&] {
    for (const MetricSample &Item : Former.metrics())
      if (Item.m_Name == "ragwortdrift_config_version")
        return std::get<Gauge>(Item.m_Value).value();
    return 0.0;
  };
  for (const std::size_t I : {0, 1})
    F.start(I, true);
  F.submitUntilClear(0, Fleet::config(1));
  for (const std::size_t I : {3, 4})
    F.start(I, false);
  cr_assert(
      F.runUntil([&] { return F.voters(0) == 5 && HeldByFormer() == 1; }));
  FleetSettings Settings = Entry::settings(F, "entry");
  Settings.m_Cores = {F.m_Peers[2]};
  {
    Entry Earlier(F, Settings);
    cr_assert(F.runUntil([&] { return !Earlier.m_Versions.empty(); }));
    F.runUntil([] { return false; }, 1s);
  }
  // Its place is taken while it stands still.
  F.m_SlowIo = nullptr;
  F.start(5, false);
  cr_assert(F.runUntil([&] { return F.voters(5) == 5; }, 12s));
  F.submitUntilClear(0, Fleet::config(2));
  F.m_SlowIo = &FormerIo;
  F.runUntil([] { return false; }, 4s);
  cr_assert_eq(HeldByFormer(), 1);
  Entry Watching(F, Settings);
  cr_assert(F.runUntil([&] { return !Watching.m_Versions.empty(); }));
  cr_assert_eq(Watching.m_Versions.front(), 2U);
  F.m_SlowIo = nullptr;
}

// Guards against content that each core VM sends to every entry VM, and against
// one that is missing when the core VM that sends it falls silent.
Test(fleet, takes_content_from_one_core_vm) {
  Fleet F(3);
  F.startFounders();
  F.submitUntilClear(0, Fleet::config(1));
  Entry Watching(F);
  cr_assert(F.runUntil([&] {
    return !Watching.m_Versions.empty() && !Watching.m_Lists.empty();
  }));
  F.runUntil([] { return false; }, 700ms);
  const auto Sent = [&] {
    double Sum = 0;
    for (std::size_t I = 0; I < 3; ++I)
      Sum += F.m_Nodes[I] ? F.metric(I, "ragwortdrift_states_sent") : 0;
    return Sum;
  };
  const double Before = Sent();
  for (std::uint64_t Version = 2; Version <= 5; ++Version) {
    F.submitUntilClear(0, Fleet::config(Version));
    cr_assert(
        F.runUntil([&] { return Watching.m_Versions.back() == Version; }));
  }
  // One for each version; a change of the source may repeat one.
  cr_assert_geq(Sent() - Before, 4);
  cr_assert_leq(Sent() - Before, 6);
  for (std::size_t I = 0; I < 3; ++I) {
    const std::uint64_t Version = 6 + I;
    F.m_Nodes[I].reset();
    F.submitUntilClear((I + 1) % 3, Fleet::config(Version));
    cr_assert(
        F.runUntil([&] { return Watching.m_Versions.back() == Version; }));
    F.start(I, false);
    cr_assert(F.runUntil([&] { return isOk(F.read(I)); }));
  }
}

// Guards against a leaf that each entry VM finds slow for itself: what one VM
// tells its core VM reaches the VMs that take their content from another one.
Test(fleet, shares_what_entry_vms_observe) {
  Fleet F(3);
  F.startFounders();
  F.submitUntilClear(0, Fleet::config(1));
  // Each takes its content from the only core VM that it knows at first.
  std::vector<std::unique_ptr<Entry>> Entries;
  for (std::size_t I = 0; I < 3; ++I) {
    FleetSettings Settings =
        Entry::settings(F, ("entry-" + std::to_string(I)).c_str());
    Settings.m_Cores = {F.m_Peers[I]};
    Entries.push_back(std::make_unique<Entry>(F, Settings));
    cr_assert(F.runUntil([&] { return !Entries[I]->m_Lists.empty(); }));
  }
  for (int Told = 0; Told < 3; ++Told)
    Entries[0]->m_Control.tellObservations({{LeafId{"a"}, 9, 0, 90}});
  cr_assert(F.runUntil([&] {
    return std::all_of(Entries.begin(), Entries.end(), [](const auto &Item) {
      return Item->m_Estimates.size() == 1 &&
             Item->m_Estimates[0].m_Slowness == 10;
    });
  }));
}

// Guards against entry VMs that all take the share of a single one when the
// whole fleet restarts.
Test(fleet, remembers_the_number_of_entry_vms) {
  Fleet F(3);
  F.startFounders();
  F.submitUntilClear(0, Fleet::config(1));
  {
    Entry A(F, "a"), B(F, "b"), C(F, "c");
    cr_assert(F.runUntil([&] { return A.m_EntryCount == 3; }));
    cr_assert(F.runUntil([&] {
      const auto State = F.read(0);
      return isOk(State) && valueOf(State).m_EntryCount == 3;
    }));
  }
  for (auto &Node : F.m_Nodes)
    Node.reset();
  for (std::size_t I = 0; I < 3; ++I)
    F.start(I, false);
  Entry Alone(F, "a");
  cr_assert(F.runUntil([&] { return !Alone.m_Versions.empty(); }));
  cr_assert_eq(Alone.m_EntryCount, 3U);
}

// Guards against an entry VM that is cut off from the core and goes on with an
// old list.
Test(fleet, reads_the_list_itself_without_the_core) {
  Fleet F(3);
  F.startFounders();
  F.submitUntilClear(0, Fleet::config(1));
  Entry Watching(F);
  cr_assert(F.runUntil([&] { return !Watching.m_Lists.empty(); }));
  for (auto &Node : F.m_Nodes)
    Node.reset();
  F.m_ListPages["/"] = " a";
  cr_assert(F.runUntil([&] { return Watching.m_Lists.back().size() == 1; }));
  cr_assert_eq(Watching.m_Versions.back(), 1U);
}
