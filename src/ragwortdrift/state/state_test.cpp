#include "ragwortdrift/state/replicated_state.hpp"
#include "ragwortdrift/testing/random_document.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;

namespace {

CommandResult applyOne(ReplicatedState &State, UnixMillis Time, Command Cmd) {
  return State.apply({Time, {std::move(Cmd)}}).front();
}

Document manifestWith(const Section &Limits, const Section *Customer) {
  Document Manifest;
  Manifest[{SectionKind::Manifest, ""}] = {{"name", "m"}};
  Manifest[{SectionKind::Domain, "d"}] = {};
  Manifest[{SectionKind::Limits, ""}] = Limits;
  if (Customer)
    Manifest[{SectionKind::Customer, "c"}] = *Customer;
  return Manifest;
}

ClaimBooking claimOf(const char *Key, UnixMillis IssuedAt) {
  return {IdempotencyKey{Key}, 1,       ServiceName{"s"}, VmId{"v"},
          Incarnation{1},      IssuedAt};
}

bool isRefusal(const CommandResult &Result, ClaimRefusalCode Code) {
  return Result == CommandResult(ClaimRefused{Code});
}

struct InvalidCase {
  const char *m_Name;
  Command m_Command;
  CommandResult m_Expected;
};

const InvalidCase InvalidCases[] = {
    {"empty submit id", DomainCommand{SubmitId{""}, FailureDomain{"d"}, {}},
     Refused{RefusalCode::BadSubmitId}},
    {"long submit id",
     DomainCommand{SubmitId{std::string(65, 'x')}, FailureDomain{"d"}, {}},
     Refused{RefusalCode::BadSubmitId}},
    {"manifest with an operator command",
     SubmitManifest{SubmitId{"a"},
                    {},
                    {{{SectionKind::Manifest, ""}, {}},
                     {{SectionKind::DomainCommand, "d"}, {{"state", "out"}}}}},
     Refused{RefusalCode::BadManifest}},
    {"manifest without a name", SubmitManifest{SubmitId{"a"}, {}, {}},
     Refused{RefusalCode::BadManifest}},
    {"VM without addresses",
     RegisterVm{{VmId{"v"}, FailureDomain{"d"}, {}, {}, {}, false}},
     Refused{RefusalCode::BadVm}},
    {"empty key", claimOf("", 0ms), ClaimRefused{ClaimRefusalCode::BadKey}},
};

} // namespace

// Guards against an invalid command that changes the state.
TABLE_TEST(replicated_state, refuses_invalid_commands, InvalidCases) {
  ReplicatedState State;
  cr_assert(applyOne(State, 1h, Row.m_Command) == Row.m_Expected, "%s",
            Row.m_Name);
  cr_assert(State.document().empty() && State.claimCount() == 0, "%s",
            Row.m_Name);
}

// Guards against an extended claim retention that makes the key of a dropped
// claim usable again, which would execute the booking twice.
Test(replicated_state, extended_retention_keeps_dropped_keys_expired) {
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
  cr_assert(isRefusal(applyOne(State, 102h, claimOf("k", 100h)),
                      ClaimRefusalCode::KeyExpired));
}

// Guards against a leader whose clock is behind: the log's time must not
// decrease, so that nothing expires earlier or later.
Test(replicated_state, time_never_decreases) {
  ReplicatedState State;
  State.apply({200h, {}});
  cr_assert(isRefusal(applyOne(State, 100h, claimOf("k", 101h)),
                      ClaimRefusalCode::KeyExpired));
  cr_assert(State.time() == 200h);
}

// Guards against the loss of a removed customer's settings, and against
// settings that are erased when a manifest lists the customer without them
// again.
Test(replicated_state, restores_settings_of_removed_customer) {
  ReplicatedState State;
  const Section Settings{{"tier", "gold"}};
  const Section NoSettings;
  int SubmitCount = 0;
  const auto Submit = [&](const Section *Customer) {
    applyOne(State, 1h,
             SubmitManifest{SubmitId{std::to_string(++SubmitCount)},
                            {},
                            manifestWith({}, Customer)});
  };
  Submit(&Settings);
  Submit(nullptr);
  const auto Removed = State.findCustomer(CustomerId{"c"});
  cr_assert(Removed && Removed->m_Settings == Settings &&
            Removed->m_RemovedAt == Revision{2});
  Submit(&NoSettings);
  Submit(&NoSettings);
  const auto Restored = State.findCustomer(CustomerId{"c"});
  cr_assert(Restored && Restored->m_Settings == Settings &&
            !Restored->m_RemovedAt);
  cr_assert(State.revision() == Revision{3});
}

// Guards against submit ids that grow without bound or are dropped too early.
Test(replicated_state, limits_retained_submit_ids) {
  ReplicatedState State;
  const auto MakeCommand = [](std::uint64_t Number) {
    return DomainCommand{SubmitId{std::to_string(Number)}, FailureDomain{"d"},
                         DomainChange::Out};
  };
  for (std::uint64_t I = 0; I <= MaxSubmitIds; ++I)
    applyOne(State, 1h, MakeCommand(I));
  cr_assert_eq(State.submitIdCount(), MaxSubmitIds);
  cr_assert(std::holds_alternative<DuplicateSubmit>(
      applyOne(State, 1h, MakeCommand(1))));
  cr_assert(
      std::holds_alternative<Refused>(applyOne(State, 1h, MakeCommand(0))));
  State.apply({1h + SubmitIdRetention + 1ms, {}});
  cr_assert_eq(State.submitIdCount(), 0);
}

// Guards against retained deltas that grow without bound or are returned for a
// revision that they no longer reach.
Test(replicated_state, limits_retained_deltas) {
  ReplicatedState State;
  for (std::uint64_t I = 0; I <= MaxRetainedDeltas; ++I)
    applyOne(State, 1h,
             RegisterVm{{VmId{std::to_string(I)},
                         FailureDomain{"d"},
                         {"127.0.0.1", 1},
                         {"127.0.0.1", 2},
                         {"127.0.0.1", 3},
                         false}});
  cr_assert(!State.deltasSince(Revision{0}));
  cr_assert_eq(State.deltasSince(Revision{1})->size(), MaxRetainedDeltas);
  cr_assert(State.deltasSince(State.revision())->empty());
  cr_assert(!State.deltasSince(Revision{MaxRetainedDeltas + 2}));
}
