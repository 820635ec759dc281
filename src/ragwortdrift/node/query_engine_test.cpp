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

std::shared_ptr<const ControlView> viewOf(const char *Kind, unsigned Groups) {
  auto View = std::make_shared<ControlView>();
  const auto Doc = parseManifest(manifestText(Kind, Groups));
  cr_assert(isOk(Doc));
  View->m_Catalog = buildCatalog(Revision{1}, valueOf(Doc));
  for (const auto &[Name, Of] : View->m_Catalog->m_Services)
    for (const Partition &Each : Of->m_Partitions)
      View->m_Owners[Each.m_Key] = VmId{"owner-" + Each.m_Domain.m_Value};
  return View;
}

/// A relay that the engine has started and the test answers.
struct OpenRelay {
  VmId m_Owner;
  RelayRequest m_Request;
  QueryEnvironment::OnAnswer m_Answer;
  QueryEnvironment::OnLost m_Lost;
  std::set<std::uint32_t> m_Cancelled;
  std::weak_ptr<void> m_Open;
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
                         QueryEnvironment::OnAnswer Answer,
                         QueryEnvironment::OnLost Lost) {
                   auto Relay = std::make_shared<OpenRelay>();
                   Relay->m_Owner = Owner;
                   Relay->m_Request = std::move(Request);
                   Relay->m_Answer = std::move(Answer);
                   Relay->m_Lost = std::move(Lost);
                   m_Relays.push_back(Relay);
                   auto Open = std::make_shared<int>(0);
                   Relay->m_Open = Open;
                   return RelayCall{[Relay](std::uint32_t Item) {
                                      Relay->m_Cancelled.insert(Item);
                                    },
                                    Open};
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
  void advance(Duration By) { m_Timers.advanceTo(m_Timers.now() + By); }
};

RelayAnswer answered(std::uint32_t Item, std::uint64_t Version,
                     std::string Body) {
  RelayAnswer Answer;
  Answer.m_Item = Item;
  Answer.m_Status = RelayStatus::Answered;
  Answer.m_HttpStatus = 200;
  Answer.m_Snapshot = SnapshotVersion{Version};
  Answer.m_Offered = {SnapshotVersion{Version}};
  Answer.m_Report.m_State = LeafState::Serving;
  Answer.m_Body = std::move(Body);
  return Answer;
}

RelayAnswer refused(std::uint32_t Item, RelayStatus Status) {
  RelayAnswer Answer;
  Answer.m_Item = Item;
  Answer.m_Status = Status;
  return Answer;
}

void answerAll(Fixture &Setup, std::size_t From, std::uint64_t Version,
               const std::string &Body) {
  for (std::size_t Index = From; Index < Setup.m_Relays.size(); ++Index) {
    const auto Relay = Setup.m_Relays[Index];
    for (const RelayItem &Item : Relay->m_Request.m_Items)
      Relay->m_Answer(answered(Item.m_Item, Version, Body));
  }
}

struct RefusalCase {
  const char *m_Name;
  RelayStatus m_Status;
  bool m_NotRun;
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
    {"broken after sending", RelayStatus::MayHaveRun, false},
};

const std::uint64_t Seeds[] = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};

} // namespace

// Guards against answers of one query that reach another one.
Test(query_engine, gives_each_caller_its_own_answer_out_of_order) {
  Fixture Setup(viewOf("fanout", GroupCount));
  Setup.start({});
  const std::size_t Second = Setup.m_Relays.size();
  Setup.start({});
  answerAll(Setup, Second, 7, "second");
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  for (std::size_t Index = Second; Index-- > 0;)
    for (const RelayItem &Item : Setup.m_Relays[Index]->m_Request.m_Items)
      Setup.m_Relays[Index]->m_Answer(answered(Item.m_Item, 7, "first"));
  cr_assert_eq(Setup.m_Outcomes.size(), 2U);
  const char *const Expected[] = {"second", "first"};
  for (std::size_t Index = 0; Index < 2; ++Index) {
    const auto &Answer = std::get<QueryAnswer>(Setup.m_Outcomes[Index]);
    cr_assert_eq(Answer.m_Parts.size(), GroupCount);
    for (const QueryPart &Part : Answer.m_Parts)
      cr_assert(Part.m_Body == Expected[Index]);
  }
}

// Guards against answers that come after the deadline or twice and change an
// outcome or are given again.
Test(query_engine, ignores_late_and_repeated_answers) {
  Fixture Setup(viewOf("fanout", GroupCount));
  QueryRequest Request;
  Request.m_Deadline = 100ms;
  Setup.start(Request);
  const auto First = Setup.m_Relays.front();
  const std::uint32_t Item = First->m_Request.m_Items.front().m_Item;
  First->m_Answer(answered(Item, 7, "a"));
  First->m_Answer(answered(Item, 7, "b"));
  Setup.advance(100ms);
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  answerAll(Setup, 0, 7, "late");
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  const auto &Answer = std::get<QueryAnswer>(Setup.m_Outcomes.front());
  cr_assert(Answer.m_DeadlineCut);
  cr_assert_eq(Answer.m_Parts.size(), 1U);
  cr_assert(Answer.m_Parts.front().m_Body == "a");
  cr_assert_eq(Answer.m_Missing.size(), GroupCount - 1U);
}

// Guards against a refusal that says "not run" for a request that may have run,
// and against one that leaves the caller in doubt without need.
TABLE_TEST(query_engine, says_not_run_only_when_it_is_certain, RefusalCases) {
  Fixture Setup(viewOf("fanout", 1));
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
      Relay->m_Answer(refused(Item.m_Item, Row.m_Status));
  }
  cr_assert_eq(Setup.m_Outcomes.size(), 1U, "%s", Row.m_Name);
  cr_assert_eq(std::get<Refusal>(Setup.m_Outcomes.front()).m_NotRun,
               Row.m_NotRun, "%s", Row.m_Name);
}

// Guards against "not run" while a leaf request is still open.
Test(query_engine, does_not_say_not_run_while_a_request_is_open) {
  Fixture Setup(viewOf("fanout", 1));
  QueryRequest Request;
  Request.m_Deadline = 100ms;
  Setup.start(Request);
  Setup.advance(150ms);
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  cr_assert_not(std::get<Refusal>(Setup.m_Outcomes.front()).m_NotRun);
}

// Guards against a booking that is sent to a second replica after the first may
// have run it.
Test(query_engine, sends_a_booking_on_only_after_a_certain_refusal) {
  Fixture Setup(viewOf("single", 1));
  QueryRequest Request;
  Request.m_Service = ServiceName{"s"};
  Request.m_Booking = BookingIdentity{IdempotencyKey{"k"}, UnixMillis{1}};
  Setup.m_Engine.startBooking(Request, [&](QueryOutcome Outcome) {
    Setup.m_Outcomes.push_back(std::move(Outcome));
  });
  cr_assert_eq(Setup.m_Relays.size(), 1U);
  Setup.m_Relays[0]->m_Answer(refused(0, RelayStatus::Shed));
  cr_assert_eq(Setup.m_Relays.size(), 2U);
  Setup.m_Relays[1]->m_Lost({true});
  Setup.advance(300ms);
  cr_assert_eq(Setup.m_Relays.size(), 2U);
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  const auto &Why = std::get<Refusal>(Setup.m_Outcomes.front());
  cr_assert_eq(Why.m_Code, QueryRefusalCode::MayHaveRun);
  cr_assert_not(Why.m_NotRun);
}

// Guards against a group that is given up before the deadline because the
// budget had no token when its replica failed.
Test(query_engine, asks_again_when_the_budget_has_a_token) {
  Fixture Setup(viewOf("fanout", 1));
  Setup.start({});
  cr_assert_eq(Setup.m_Relays.size(), 1U);
  Setup.m_Relays[0]->m_Answer(refused(0, RelayStatus::MayHaveRun));
  Setup.advance(50ms);
  cr_assert_eq(Setup.m_Relays.size(), 1U);
  cr_assert(Setup.m_Outcomes.empty());
  // Each first request earns a twentieth of a token.
  for (int Query = 0; Query < 25; ++Query) {
    const std::size_t From = Setup.m_Relays.size();
    Setup.start({});
    answerAll(Setup, From, 7, "other");
  }
  const std::size_t Before = Setup.m_Relays.size();
  Setup.advance(50ms);
  cr_assert_eq(Setup.m_Relays.size(), Before + 1);
}

// Guards against requests of ended queries that stay counted as open: a single
// slow leaf would then make its owner look silent.
Test(query_engine, forgets_the_requests_of_ended_queries) {
  Fixture Setup(viewOf("fanout", GroupCount));
  for (int Query = 0; Query < 10; ++Query) {
    auto Handle = Setup.start({});
    Handle.cancel();
  }
  Setup.start({});
  answerAll(Setup, Setup.m_Relays.size() - 1, 7, "part");
  Setup.m_Relays.clear();
  Setup.advance(100ms);
  cr_assert_eq(Setup.m_Engine.counts().m_Failovers, 0U);
}

// Guards against queries that wait for their deadline because the owner of some
// of their leafs fell silent, and against more than one failover a group.
Test(query_engine, asks_other_owners_when_one_falls_silent) {
  Fixture Setup(viewOf("fanout", 12));
  const auto AnswerOthers = [&](const VmId &Silent) {
    const std::size_t Known = Setup.m_Relays.size();
    for (std::size_t Index = 0; Index < Known; ++Index) {
      const auto Relay = Setup.m_Relays[Index];
      if (Relay->m_Owner != Silent)
        for (const RelayItem &Item : Relay->m_Request.m_Items)
          Relay->m_Answer(answered(Item.m_Item, 7, "part"));
    }
  };
  Setup.start({});
  cr_assert_geq(Setup.m_Relays.size(), 2U);
  VmId Silent;
  for (const auto &Relay : Setup.m_Relays)
    if (Relay->m_Request.m_Items.size() >= 3)
      Silent = Relay->m_Owner;
  cr_assert_not(Silent.m_Value.empty());
  for (int Millis = 0; Millis < 100; ++Millis) {
    AnswerOthers(Silent);
    Setup.advance(1ms);
  }
  cr_assert_eq(Setup.m_Outcomes.size(), 1U);
  cr_assert_eq(std::get<QueryAnswer>(Setup.m_Outcomes.front()).m_Parts.size(),
               12U);
  Setup.m_Relays.clear();
  Setup.start({});
  for (const auto &Relay : Setup.m_Relays)
    cr_assert_neq(Relay->m_Owner, Silent);
}

// Guards against leaf work that goes on after the caller has left.
Test(query_engine, ends_all_relays_when_the_caller_leaves) {
  Fixture Setup(viewOf("fanout", GroupCount));
  auto Handle = Setup.start({});
  Handle.cancel();
  for (const auto &Relay : Setup.m_Relays)
    cr_assert(Relay->m_Open.expired());
  cr_assert_eq(Setup.m_Engine.inFlight(), 0U);
}

// Guards against mixed snapshots, false coverage, queries without an end and
// queries that end twice, whatever owners answer and in whatever order.
TABLE_TEST(query_engine, answers_truthfully_under_random_faults, Seeds) {
  std::mt19937_64 Random(Row);
  Fixture Setup(viewOf("fanout", GroupCount), Row);
  const auto Below = [&](unsigned Bound) {
    return static_cast<unsigned>(Random() % Bound);
  };
  std::size_t Answered = 0;
  for (int Query = 0; Query < 200; ++Query) {
    Setup.m_Relays.clear();
    Setup.m_Outcomes.clear();
    QueryRequest Request;
    Request.m_Deadline = 100ms;
    Setup.start(Request);
    const TimePoint End = Setup.m_Timers.now() + 120ms;
    while (Setup.m_Timers.now() < End) {
      Setup.advance(Duration{1000 + Below(3000)});
      if (Setup.m_Relays.empty())
        continue;
      const auto Relay =
          Setup.m_Relays[Below(static_cast<unsigned>(Setup.m_Relays.size()))];
      const auto &Items = Relay->m_Request.m_Items;
      const std::uint32_t Item =
          Items[Below(static_cast<unsigned>(Items.size()))].m_Item;
      const unsigned Kind = Below(20);
      const std::uint64_t Version = 7 + Below(2);
      if (Kind < 12)
        Relay->m_Answer(answered(Item, Version, std::to_string(Version)));
      else if (Kind < 18)
        Relay->m_Answer(refused(Item, static_cast<RelayStatus>(1 + Below(11))));
      else if (Kind == 18)
        Relay->m_Lost({Below(2) == 0});
    }
    cr_assert_eq(Setup.m_Outcomes.size(), 1U);
    const auto *Answer = std::get_if<QueryAnswer>(&Setup.m_Outcomes.front());
    if (!Answer)
      continue;
    ++Answered;
    std::set<GroupName> Seen(Answer->m_Missing.begin(),
                             Answer->m_Missing.end());
    for (const QueryPart &Part : Answer->m_Parts) {
      cr_assert(Seen.insert(Part.m_Group).second);
      cr_assert(Part.m_Body == std::to_string(Answer->m_Snapshot.m_Value));
    }
    cr_assert_eq(Seen.size(), GroupCount);
    cr_assert_eq(Answer->m_GroupsAsked, GroupCount);
  }
  cr_assert_gt(Answered, 100U);
}
