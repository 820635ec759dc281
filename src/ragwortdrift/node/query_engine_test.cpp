#include "ragwortdrift/node/query_engine.hpp"

#include "ragwortdrift/config/manifest.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <set>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

constexpr unsigned GroupCount = 4;
const char *const Domains[] = {"north", "east", "south"};

std::string manifestText(const char *Kind, unsigned Groups) {
  std::string Text = "[manifest]\nname = test\n";
  for (const char *Domain : Domains)
    Text += "[domain " + std::string(Domain) + "]\n";
  Text += "[service s]\nkind = " + std::string(Kind) +
          "\nslots = 2\nconnections = 25\n";
  int Port = 9000;
  for (unsigned Group = 0; Group < Groups; ++Group)
    for (const char *Domain : Domains) {
      const std::string Name = "l" + std::to_string(Group) + Domain;
      Text += "[leaf " + Name + "]\nservice = s\ngroup = g" +
              std::to_string(Group) + "\ndomain = " + Domain +
              "\naddress = 127.0.0.1:" + std::to_string(++Port) + "\n";
    }
  return Text;
}

std::shared_ptr<const ControlView> makeView(const char *Kind, unsigned Groups) {
  auto View = std::make_shared<ControlView>();
  const auto Manifest = parseManifest(manifestText(Kind, Groups));
  cr_assert(isOk(Manifest));
  View->m_Catalog = buildCatalog(Revision{1}, valueOf(Manifest));
  for (const auto &[Name, Svc] : View->m_Catalog->m_Services)
    for (const Partition &Part : Svc->m_Partitions)
      View->m_Owners[Part.m_Key] = VmId{"owner-" + Part.m_Domain.m_Value};
  return View;
}

/// A relay that the engine has started and the test responds to.
struct OpenRelay {
  VmId m_Owner;
  RelayRequest m_Request;
  QueryEnvironment::OnResponse m_OnResponse;
  QueryEnvironment::OnLost m_OnLost;
  std::set<std::uint32_t> m_Cancelled;
  std::weak_ptr<void> m_Handle;
};

struct Fixture {
  TimerService m_Timers;
  std::vector<std::shared_ptr<OpenRelay>> m_Relays;
  QueryEngine m_Engine;
  std::vector<QueryOutcome> m_Outcomes;

  explicit Fixture(std::shared_ptr<const ControlView> View,
                   std::uint64_t Seed = 1)
      : m_Engine(m_Timers, FailureDomain{"north"}, Seed,
                 {[this](const VmId &Owner, RelayRequest Request,
                         QueryEnvironment::OnResponse OnResponse,
                         QueryEnvironment::OnLost OnLost) {
                   auto Relay = std::make_shared<OpenRelay>();
                   Relay->m_Owner = Owner;
                   Relay->m_Request = std::move(Request);
                   Relay->m_OnResponse = std::move(OnResponse);
                   Relay->m_OnLost = std::move(OnLost);
                   m_Relays.push_back(Relay);
                   auto Handle = std::make_shared<int>(0);
                   Relay->m_Handle = Handle;
                   return RelayCall{[Relay](std::uint32_t Item) {
                                      Relay->m_Cancelled.insert(Item);
                                    },
                                    Handle};
                 }}) {
    m_Timers.advanceTo(TimePoint{1s});
    m_Engine.update(std::move(View));
  }

  QueryEngine::Handle start(QueryRequest Request) {
    Request.m_Service = ServiceName{"s"};
    return m_Engine.start(std::move(Request), [this](QueryOutcome Outcome) {
      m_Outcomes.push_back(std::move(Outcome));
    });
  }
  void advance(Duration Step) { m_Timers.advanceTo(m_Timers.now() + Step); }
};

RelayResponse makeResponse(std::uint32_t Item, std::uint64_t Version,
                           std::string Body) {
  RelayResponse Response;
  Response.m_Item = Item;
  Response.m_Status = RelayStatus::Answered;
  Response.m_HttpStatus = 200;
  Response.m_Snapshot = SnapshotVersion{Version};
  Response.m_OfferedSnapshots = {SnapshotVersion{Version}};
  Response.m_LeafReport.m_State = LeafState::Serving;
  Response.m_Body = std::move(Body);
  return Response;
}

RelayResponse makeRefusal(std::uint32_t Item, RelayStatus Status) {
  RelayResponse Response;
  Response.m_Item = Item;
  Response.m_Status = Status;
  return Response;
}

void respondToAll(Fixture &Setup, std::size_t FirstRelay, std::uint64_t Version,
                  const std::string &Body) {
  for (std::size_t Index = FirstRelay; Index < Setup.m_Relays.size(); ++Index) {
    const auto Relay = Setup.m_Relays[Index];
    for (const RelayItem &Item : Relay->m_Request.m_Items)
      Relay->m_OnResponse(makeResponse(Item.m_Item, Version, Body));
  }
}

struct RefusalCase {
  const char *m_Name;
  RelayStatus m_Status;
  bool m_NotExecuted;
};

const RefusalCase RefusalCases[] = {
    {"cold", RelayStatus::Cold, true},
    {"queue full", RelayStatus::QueueFull, true},
    {"leaf out", RelayStatus::LeafOut, true},
    {"draining", RelayStatus::Draining, true},
    {"shed by the leaf", RelayStatus::Shed, true},
    {"not owner", RelayStatus::NotOwner, true},
    {"stale", RelayStatus::StaleConfiguration, true},
    {"connect failed", RelayStatus::ConnectFailed, true},
    {"broken after sending", RelayStatus::MaybeExecuted, false},
};

const std::uint64_t Seeds[] = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};

} // namespace

// Guards against responses that reach the caller of another query.
Test(query_engine, returns_own_response_to_each_caller) {
  Fixture Setup(makeView("fanout", GroupCount));
  Setup.start({});
  const std::size_t SecondQueryRelay = Setup.m_Relays.size();
  Setup.start({});
  respondToAll(Setup, SecondQueryRelay, 7, "second");
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  for (std::size_t Index = SecondQueryRelay; Index-- > 0;)
    for (const RelayItem &Item : Setup.m_Relays[Index]->m_Request.m_Items)
      Setup.m_Relays[Index]->m_OnResponse(
          makeResponse(Item.m_Item, 7, "first"));
  cr_assert_eq(Setup.m_Outcomes.size(), 2U);
  const char *const Expected[] = {"second", "first"};
  for (std::size_t Index = 0; Index < 2; ++Index) {
    const auto &Response = std::get<QueryResponse>(Setup.m_Outcomes[Index]);
    cr_assert_eq(Response.m_Parts.size(), GroupCount);
    for (const QueryPart &Part : Response.m_Parts)
      cr_assert(Part.m_Body == Expected[Index]);
  }
}

// Guards against late or duplicate responses that change an outcome or complete
// a query again.
Test(query_engine, ignores_late_and_duplicate_responses) {
  Fixture Setup(makeView("fanout", GroupCount));
  QueryRequest Request;
  Request.m_Deadline = 100ms;
  Setup.start(Request);
  const auto Relay = Setup.m_Relays.front();
  const std::uint32_t Item = Relay->m_Request.m_Items.front().m_Item;
  Relay->m_OnResponse(makeResponse(Item, 7, "a"));
  Relay->m_OnResponse(makeResponse(Item, 7, "b"));
  Setup.advance(100ms);
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  respondToAll(Setup, 0, 7, "late");
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  const auto &Response = std::get<QueryResponse>(Setup.m_Outcomes.front());
  cr_assert(Response.m_DeadlineCut);
  cr_assert_eq(Response.m_Parts.size(), 1U);
  cr_assert(Response.m_Parts.front().m_Body == "a");
  cr_assert_eq(Response.m_Missing.size(), GroupCount - 1U);
}

// Guards against a refusal that reports "not executed" although a leaf may have
// executed the request, and against one that reports "maybe executed" although
// no leaf did.
TABLE_TEST(query_engine, reports_not_executed_only_when_certain, RefusalCases) {
  Fixture Setup(makeView("fanout", 1));
  QueryRequest Request;
  Request.m_Deadline = 100ms;
  Setup.start(Request);
  for (std::size_t Index = 0;
       Setup.m_Outcomes.empty() && Setup.m_Timers.now() < TimePoint{2s};) {
    if (Index == Setup.m_Relays.size()) {
      Setup.advance(1ms);
      continue;
    }
    const auto Relay = Setup.m_Relays[Index++];
    for (const RelayItem &Item : Relay->m_Request.m_Items)
      Relay->m_OnResponse(makeRefusal(Item.m_Item, Row.m_Status));
  }
  cr_assert_eq(Setup.m_Outcomes.size(), 1U, "%s", Row.m_Name);
  cr_assert_eq(std::get<Refusal>(Setup.m_Outcomes.front()).m_NotExecuted,
               Row.m_NotExecuted, "%s", Row.m_Name);
}

// Guards against a refusal that reports "not executed" while a leaf request is
// open.
Test(query_engine, does_not_report_not_executed_while_request_is_open) {
  Fixture Setup(makeView("fanout", 1));
  QueryRequest Request;
  Request.m_Deadline = 100ms;
  Setup.start(Request);
  Setup.advance(150ms);
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  cr_assert_not(std::get<Refusal>(Setup.m_Outcomes.front()).m_NotExecuted);
}

// Guards against a booking that is sent to a second replica although the first
// may have executed it.
Test(query_engine, retries_booking_only_after_certain_refusal) {
  Fixture Setup(makeView("single", 1));
  QueryRequest Request;
  Request.m_Service = ServiceName{"s"};
  Request.m_Booking = BookingIdentity{IdempotencyKey{"k"}, UnixMillis{1}};
  Setup.m_Engine.startBooking(Request, [&](QueryOutcome Outcome) {
    Setup.m_Outcomes.push_back(std::move(Outcome));
  });
  cr_assert_eq(Setup.m_Relays.size(), 1U);
  Setup.m_Relays[0]->m_OnResponse(makeRefusal(0, RelayStatus::Shed));
  cr_assert_eq(Setup.m_Relays.size(), 2U);
  Setup.m_Relays[1]->m_OnLost({true});
  Setup.advance(300ms);
  cr_assert_eq(Setup.m_Relays.size(), 2U);
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  const auto &Reason = std::get<Refusal>(Setup.m_Outcomes.front());
  cr_assert_eq(Reason.m_Code, QueryRefusalCode::MaybeExecuted);
  cr_assert_not(Reason.m_NotExecuted);
}

// Guards against a group that is given up before the deadline because the hedge
// budget had no token when its replica failed.
Test(query_engine, retries_group_when_budget_has_token) {
  Fixture Setup(makeView("fanout", 1));
  Setup.start({});
  cr_assert_eq(Setup.m_Relays.size(), 1U);
  Setup.m_Relays[0]->m_OnResponse(makeRefusal(0, RelayStatus::MaybeExecuted));
  Setup.advance(50ms);
  cr_assert_eq(Setup.m_Relays.size(), 1U);
  cr_assert(Setup.m_Outcomes.empty());
  // Each first request earns a twentieth of a token.
  for (int Query = 0; Query < 25; ++Query) {
    const std::size_t FirstRelay = Setup.m_Relays.size();
    Setup.start({});
    respondToAll(Setup, FirstRelay, 7, "other");
  }
  const std::size_t RelayCount = Setup.m_Relays.size();
  Setup.advance(50ms);
  cr_assert_eq(Setup.m_Relays.size(), RelayCount + 1);
}

// Guards against requests of ended queries that are still counted as open. A
// single slow leaf would then make its owner look unresponsive.
Test(query_engine, does_not_count_requests_of_ended_queries) {
  Fixture Setup(makeView("fanout", GroupCount));
  for (int Query = 0; Query < 10; ++Query) {
    auto Handle = Setup.start({});
    Handle.cancel();
  }
  Setup.start({});
  respondToAll(Setup, Setup.m_Relays.size() - 1, 7, "part");
  Setup.m_Relays.clear();
  Setup.advance(100ms);
  cr_assert_eq(Setup.m_Engine.counts().m_Failovers, 0U);
}

// Guards against queries that wait until their deadline because one owner does
// not respond, and against more than one failover for each group.
Test(query_engine, fails_over_from_unresponsive_owner) {
  Fixture Setup(makeView("fanout", 12));
  const auto RespondForOthers = [&](const VmId &UnresponsiveOwner) {
    const std::size_t RelayCount = Setup.m_Relays.size();
    for (std::size_t Index = 0; Index < RelayCount; ++Index) {
      const auto Relay = Setup.m_Relays[Index];
      if (Relay->m_Owner != UnresponsiveOwner)
        for (const RelayItem &Item : Relay->m_Request.m_Items)
          Relay->m_OnResponse(makeResponse(Item.m_Item, 7, "part"));
    }
  };
  Setup.start({});
  cr_assert_geq(Setup.m_Relays.size(), 2U);
  VmId UnresponsiveOwner;
  for (const auto &Relay : Setup.m_Relays)
    if (Relay->m_Request.m_Items.size() >= 3)
      UnresponsiveOwner = Relay->m_Owner;
  cr_assert_not(UnresponsiveOwner.m_Value.empty());
  for (int Millis = 0; Millis < 100; ++Millis) {
    RespondForOthers(UnresponsiveOwner);
    Setup.advance(1ms);
  }
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  cr_assert_eq(std::get<QueryResponse>(Setup.m_Outcomes.front()).m_Parts.size(),
               12U);
  Setup.m_Relays.clear();
  Setup.start({});
  for (const auto &Relay : Setup.m_Relays)
    cr_assert_neq(Relay->m_Owner, UnresponsiveOwner);
}

// Guards against leaf requests that go on after the caller has disconnected.
Test(query_engine, cancels_relays_when_caller_disconnects) {
  Fixture Setup(makeView("fanout", GroupCount));
  auto Handle = Setup.start({});
  Handle.cancel();
  for (const auto &Relay : Setup.m_Relays)
    cr_assert(Relay->m_Handle.expired());
  cr_assert_eq(Setup.m_Engine.inFlight(), 0U);
}

// Guards against mixed snapshots, wrong coverage, queries that never complete
// and queries that complete twice, for random responses in random order.
TABLE_TEST(query_engine, returns_consistent_responses_under_random_faults,
           Seeds) {
  std::mt19937_64 Random(Row);
  Fixture Setup(makeView("fanout", GroupCount), Row);
  const auto RandomBelow = [&](unsigned Bound) {
    return static_cast<unsigned>(Random() % Bound);
  };
  std::size_t ResponseCount = 0;
  for (int Query = 0; Query < 200; ++Query) {
    Setup.m_Relays.clear();
    Setup.m_Outcomes.clear();
    QueryRequest Request;
    Request.m_Deadline = 100ms;
    Setup.start(Request);
    const TimePoint End = Setup.m_Timers.now() + 120ms;
    while (Setup.m_Timers.now() < End) {
      Setup.advance(Duration{1000 + RandomBelow(3000)});
      if (Setup.m_Relays.empty())
        continue;
      const auto Relay = Setup.m_Relays[RandomBelow(
          static_cast<unsigned>(Setup.m_Relays.size()))];
      const auto &Items = Relay->m_Request.m_Items;
      const std::uint32_t Item =
          Items[RandomBelow(static_cast<unsigned>(Items.size()))].m_Item;
      const unsigned Kind = RandomBelow(20);
      const std::uint64_t Version = 7 + RandomBelow(2);
      if (Kind < 12)
        Relay->m_OnResponse(
            makeResponse(Item, Version, std::to_string(Version)));
      else if (Kind < 18)
        Relay->m_OnResponse(
            makeRefusal(Item, static_cast<RelayStatus>(1 + RandomBelow(11))));
      else if (Kind == 18)
        Relay->m_OnLost({RandomBelow(2) == 0});
    }
    cr_assert_eq(Setup.m_Outcomes.size(), 1U);
    const auto *Response =
        std::get_if<QueryResponse>(&Setup.m_Outcomes.front());
    if (!Response)
      continue;
    ++ResponseCount;
    std::set<GroupName> Groups(Response->m_Missing.begin(),
                               Response->m_Missing.end());
    for (const QueryPart &Part : Response->m_Parts) {
      cr_assert(Groups.insert(Part.m_Group).second);
      cr_assert(Part.m_Body == std::to_string(Response->m_Snapshot.m_Value));
    }
    cr_assert_eq(Groups.size(), GroupCount);
    cr_assert_eq(Response->m_GroupsRequested, GroupCount);
  }
  cr_assert_gt(ResponseCount, 100U);
}
