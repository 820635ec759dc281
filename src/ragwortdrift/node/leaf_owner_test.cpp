#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/config/manifest.hpp"
#include "ragwortdrift/net/http_server.hpp"
#include "ragwortdrift/node/leaf_owner.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

const std::string PartitionKey = "s/north/0";

/// A stand-in leaf, the owner under test and a view that each test changes.
struct Fixture {
  boost::asio::io_context m_Io;
  TimerService m_Timers;
  AsioTimerDriver m_Driver{m_Io, m_Timers};
  std::vector<std::shared_ptr<HttpExchange>> m_AtLeaf;
  std::size_t m_Aborted = 0;
  HttpServer m_Leaf;
  LeafChart m_Chart;
  LeafOwner m_Owner;
  std::shared_ptr<ControlView> m_View = std::make_shared<ControlView>();
  std::vector<RelayAnswer> m_Answers;

  Fixture()
      : m_Leaf(m_Io, {},
               [this](std::shared_ptr<HttpExchange> Exchange) {
                 Exchange->onAbort([this] { ++m_Aborted; });
                 m_AtLeaf.push_back(std::move(Exchange));
               }),
        m_Chart(valueOf(LeafChart::load(
            std::filesystem::path(RAGWORTDRIFT_CHART_DIR) / "leaf.ini"))),
        m_Owner(m_Io, m_Timers, m_Chart, FailureDomain{"north"}) {
    cr_assert(isOk(m_Leaf.listen("127.0.0.1", 0)));
    const auto Doc = parseManifest(
        "[manifest]\nname = t\n[domain north]\n[domain south]\n[service s]\n"
        "kind = fanout\nslots = 2\nconnections = 25\nservice_ms = 1\n"
        "[leaf a]\nservice = s\ngroup = g\ndomain = north\naddress = "
        "127.0.0.1:" +
        std::to_string(m_Leaf.port()) + "\n");
    cr_assert(isOk(Doc));
    m_View->m_Catalog = buildCatalog(Revision{1}, valueOf(Doc));
    m_View->m_Leases[PartitionKey] = m_Timers.now() + 60s;
    m_View->m_FreshUntil = m_Timers.now() + 60s;
    m_Driver.start();
  }

  Catalog &changeCatalog() {
    auto Copy = std::make_shared<Catalog>(*m_View->m_Catalog);
    m_View->m_Catalog = Copy;
    return *Copy;
  }
  std::shared_ptr<LeafOwner::Relay> start(const char *EntryDomain,
                                          std::uint32_t Items = 1) {
    m_Owner.update(m_View);
    RelayRequest Request;
    Request.m_EntryDomain = FailureDomain{EntryDomain};
    Request.m_Service = ServiceName{"s"};
    Request.m_Partition = PartitionKey;
    Request.m_TimeLeft = 3s;
    Request.m_Body = "q";
    for (std::uint32_t Item = 0; Item < Items; ++Item)
      Request.m_Items.push_back({Item, LeafId{"a"}, {}, true});
    return m_Owner.start(Request, [this](RelayAnswer Answer) {
      m_Answers.push_back(std::move(Answer));
    });
  }
  template <class Condition> bool runUntil(Condition Holds) {
    const auto End = std::chrono::steady_clock::now() + 5s;
    while (!Holds() && std::chrono::steady_clock::now() < End) {
      m_Io.run_for(2ms);
      m_Io.restart();
    }
    return Holds();
  }
};

struct RuleCase {
  const char *m_Name;
  const char *m_EntryDomain;
  void (*m_Change)(Fixture &);
  RelayStatus m_Expected;
};

void keep(Fixture &) {}
void loseLease(Fixture &Setup) { Setup.m_View->m_Leases.clear(); }
void expireLease(Fixture &Setup) {
  Setup.m_View->m_Leases[PartitionKey] = Setup.m_Timers.now();
}
void makeStale(Fixture &Setup) {
  Setup.m_View->m_FreshUntil = Setup.m_Timers.now();
}
void takeOut(Fixture &Setup) {
  Setup.changeCatalog().m_DomainsOut.insert(FailureDomain{"north"});
}
void drainLeaf(Fixture &Setup) {
  Catalog &Changed = Setup.changeCatalog();
  auto Of = std::make_shared<Service>(*Changed.m_Services.at(ServiceName{"s"}));
  Of->m_Leafs.front().m_Draining = true;
  Changed.m_Services[ServiceName{"s"}] = Of;
}

const RuleCase RuleCases[] = {
    {"served", "south", keep, RelayStatus::Answered},
    {"no lease", "north", loseLease, RelayStatus::NotOwner},
    {"lease has ended by the owner's clock", "north", expireLease,
     RelayStatus::NotOwner},
    {"stale, from another domain", "south", makeStale,
     RelayStatus::StaleConfiguration},
    {"stale, from its own domain", "north", makeStale, RelayStatus::Answered},
    {"domain out", "north", takeOut, RelayStatus::LeafOut},
    {"domain out and stale", "north",
     [](Fixture &Setup) {
       takeOut(Setup);
       makeStale(Setup);
     },
     RelayStatus::LeafOut},
    {"leaf drained", "north", drainLeaf, RelayStatus::LeafOut},
};

} // namespace

// Guards against new work for a domain or leaf that is out, by an owner without
// lease, or from outside by an owner whose configuration may be old.
TABLE_TEST(leaf_owner, admits_only_what_its_view_allows, RuleCases) {
  Fixture Setup;
  Row.m_Change(Setup);
  const auto Relay = Setup.start(Row.m_EntryDomain);
  cr_assert(Setup.runUntil([&] {
    for (const auto &Exchange : Setup.m_AtLeaf)
      Exchange->respond(jsonResponse(200, "part"));
    return !Setup.m_Answers.empty();
  }),
            "%s", Row.m_Name);
  cr_assert_eq(Setup.m_Answers.front().m_Status, Row.m_Expected, "%s: %s",
               Row.m_Name,
               std::string(nameOf(Setup.m_Answers.front().m_Status)).c_str());
  cr_assert_eq(Setup.m_AtLeaf.size(),
               Row.m_Expected == RelayStatus::Answered ? 1U : 0U);
}

// Guards against leaf work that goes on after the entry VM has lost interest.
Test(leaf_owner, ends_the_leaf_request_of_a_cancelled_item) {
  Fixture Setup;
  const auto Relay = Setup.start("north");
  cr_assert(Setup.runUntil([&] { return Setup.m_AtLeaf.size() == 1; }));
  Relay->cancel(0);
  cr_assert(Setup.runUntil([&] { return Setup.m_Aborted == 1; }));
  cr_assert(Setup.m_Answers.empty());
  cr_assert_eq(Setup.m_Owner.inFlight(), 0U);
}

// Guards against a leaf without a known history that gets more than one request
// at a time, whatever many entry VMs ask for.
Test(leaf_owner, sends_an_unknown_leaf_one_request_at_a_time) {
  Fixture Setup;
  const auto First = Setup.start("north", 2);
  const auto Second = Setup.start("south", 2);
  std::size_t Answered = 0;
  std::size_t MostOpen = 0;
  cr_assert(Setup.runUntil([&] {
    MostOpen = std::max(MostOpen, Setup.m_AtLeaf.size() - Answered);
    if (Setup.m_AtLeaf.size() > Answered)
      Setup.m_AtLeaf[Answered++]->respond(jsonResponse(200, "part"));
    return Setup.m_Answers.size() == 4;
  }));
  cr_assert_leq(MostOpen, 1U);
}

// Guards against a handover that ends while a request is still open.
Test(leaf_owner, counts_open_requests_after_the_lease_is_gone) {
  Fixture Setup;
  const auto Relay = Setup.start("north");
  cr_assert(Setup.runUntil([&] { return Setup.m_AtLeaf.size() == 1; }));
  Setup.m_View = std::make_shared<ControlView>(*Setup.m_View);
  Setup.m_View->m_Leases.clear();
  Setup.m_Owner.update(Setup.m_View);
  cr_assert_eq(Setup.m_Owner.inFlight(PartitionKey), 1U);
  Setup.m_AtLeaf.front()->respond(jsonResponse(200, "part"));
  cr_assert(Setup.runUntil([&] { return Setup.m_Answers.size() == 1; }));
  cr_assert_eq(Setup.m_Answers.front().m_Status, RelayStatus::Answered);
  cr_assert_eq(Setup.m_Owner.inFlight(PartitionKey), 0U);
}
