#include "ragwortdrift/state/replicated_state.hpp"
#include "ragwortdrift/testing/random_document.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;

namespace {

CommandResult applyOne(ReplicatedState &State, UnixMillis Time, Command Each) {
  return State.apply({Time, {std::move(Each)}}).front();
}

Document manifestWith(const Section &Limits, const Section *Customer) {
  Document Doc;
  Doc[{SectionKind::Manifest, ""}] = {{"name", "m"}};
  Doc[{SectionKind::Domain, "d"}] = {};
  Doc[{SectionKind::Limits, ""}] = Limits;
  if (Customer)
    Doc[{SectionKind::Customer, "c"}] = *Customer;
  return Doc;
}

ClaimBooking claimOf(const char *Key, UnixMillis IssuedAt) {
  return {IdempotencyKey{Key}, 1,       ServiceName{"s"}, VmId{"v"},
          Incarnation{1},      IssuedAt};
}

bool refusedAs(const CommandResult &Found, ClaimRefusalCode Code) {
  return Found == CommandResult(ClaimRefused{Code});
}

struct InvalidCase {
  const char *m_Name;
  Command m_Command;
  CommandResult m_Expected;
};

const InvalidCase Invalid[] = {
    {"empty submit id", DomainOrder{SubmitId{""}, FailureDomain{"d"}, {}},
     Refused{RefusalCode::BadSubmitId}},
    {"long submit id",
     DomainOrder{SubmitId{std::string(65, 'x')}, FailureDomain{"d"}, {}},
     Refused{RefusalCode::BadSubmitId}},
    {"manifest with an order",
     SubmitManifest{SubmitId{"a"},
                    {},
                    {{{SectionKind::Manifest, ""}, {}},
                     {{SectionKind::DomainOrder, "d"}, {{"state", "out"}}}}},
     Refused{RefusalCode::BadManifest}},
    {"manifest without a name", SubmitManifest{SubmitId{"a"}, {}, {}},
     Refused{RefusalCode::BadManifest}},
    {"VM without addresses",
     RegisterVm{{VmId{"v"}, FailureDomain{"d"}, {}, {}, {}, false}},
     Refused{RefusalCode::BadVm}},
    {"empty key", claimOf("", 0ms), ClaimRefused{ClaimRefusalCode::BadKey}},
};

} // namespace

// Guards against a command from outside that leaves something in the state that
// nothing else accepts.
TABLE_TEST(state, refuses_invalid_commands, Invalid) {
  ReplicatedState State;
  cr_assert(applyOne(State, 1h, Row.m_Command) == Row.m_Expected, "%s",
            Row.m_Name);
  cr_assert(State.document().empty() && State.claimCount() == 0, "%s",
            Row.m_Name);
}

// Guards against a longer retention that makes the key of a dropped claim
// usable again, so that the booking would run twice.
Test(state, longer_retention_does_not_revive_dropped_keys) {
  ReplicatedState State;
  const auto SetRetention = [&](UnixMillis Time, const char *Hours) {
    applyOne(
        State, Time,
        SubmitManifest{SubmitId{Hours},
                       {},
                       manifestWith({{"claim_retention_h", Hours}}, nullptr)});
  };
  SetRetention(100h, "1");
  cr_assert(std::holds_alternative<ClaimGranted>(
      applyOne(State, 100h, claimOf("k", 100h))));
  State.apply({102h, {}});
  cr_assert_eq(State.claimCount(), 0);
  SetRetention(102h, "48");
  cr_assert(refusedAs(applyOne(State, 102h, claimOf("k", 100h)),
                      ClaimRefusalCode::KeyExpired));
}

// Guards against a leader whose clock is behind: it must not extend or shorten
// what the log's time has decided.
Test(state, time_does_not_go_backward) {
  ReplicatedState State;
  State.apply({200h, {}});
  cr_assert(refusedAs(applyOne(State, 100h, claimOf("k", 101h)),
                      ClaimRefusalCode::KeyExpired));
  cr_assert(State.time() == 200h);
}

// Guards against the loss of a removed customer's settings, and against
// settings that a repeated manifest without them would erase.
Test(state, removed_customer_returns_with_its_settings) {
  ReplicatedState State;
  const Section Settings{{"tier", "gold"}};
  const Section None;
  int Submits = 0;
  const auto Submit = [&](const Section *Customer) {
    applyOne(State, 1h,
             SubmitManifest{SubmitId{std::to_string(++Submits)},
                            {},
                            manifestWith({}, Customer)});
  };
  Submit(&Settings);
  Submit(nullptr);
  const auto Removed = State.findCustomer(CustomerId{"c"});
  cr_assert(Removed && Removed->m_Settings == Settings &&
            Removed->m_RemovedAt == Revision{2});
  Submit(&None);
  Submit(&None);
  const auto Back = State.findCustomer(CustomerId{"c"});
  cr_assert(Back && Back->m_Settings == Settings && !Back->m_RemovedAt);
  cr_assert(State.revision() == Revision{3});
}

// Guards against submit ids that grow without bound or are forgotten early.
Test(state, keeps_the_latest_submit_ids) {
  ReplicatedState State;
  const auto Order = [](std::uint64_t Number) {
    return DomainOrder{SubmitId{std::to_string(Number)}, FailureDomain{"d"},
                       DomainChange::Out};
  };
  for (std::uint64_t I = 0; I <= MaxSubmitIds; ++I)
    applyOne(State, 1h, Order(I));
  cr_assert_eq(State.submitIdCount(), MaxSubmitIds);
  cr_assert(std::holds_alternative<Resent>(applyOne(State, 1h, Order(1))));
  cr_assert(std::holds_alternative<Refused>(applyOne(State, 1h, Order(0))));
  State.apply({1h + SubmitRetention + 1ms, {}});
  cr_assert_eq(State.submitIdCount(), 0);
}

// Guards against a window of deltas that grows without bound or serves a
// receiver that it no longer reaches.
Test(state, keeps_a_window_of_deltas) {
  ReplicatedState State;
  for (std::uint64_t I = 0; I <= MaxDeltas; ++I)
    applyOne(State, 1h,
             RegisterVm{{VmId{std::to_string(I)},
                         FailureDomain{"d"},
                         {"127.0.0.1", 1},
                         {"127.0.0.1", 2},
                         {"127.0.0.1", 3},
                         false}});
  cr_assert(!State.deltasSince(Revision{0}));
  cr_assert_eq(State.deltasSince(Revision{1})->size(), MaxDeltas);
  cr_assert(State.deltasSince(State.revision())->empty());
  cr_assert(!State.deltasSince(Revision{MaxDeltas + 2}));
}
