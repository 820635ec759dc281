#include "ragwortdrift/policy/booking_outcome.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;

namespace {

using enum AttemptFailure;

/// The failures after which a request has surely not run; section 5.3 of the
/// design. Every other one may have run and is never tried again.
struct SureCase {
  AttemptFailure m_Failure;
  bool m_TryAnother;
};
const SureCase SureCases[] = {
    {RelayNotOpened, true},   {OwnerRefused, true}, {ConnectFailed, true},
    {EndedBeforeSend, false}, {LeafShed, true},     {LeafRefusedSnapshot, true},
};

} // namespace

// Guards against a booking that is given up although it can be tried again.
TABLE_TEST(booking_outcome, knows_what_has_not_run, SureCases) {
  cr_assert_eq(runCertainty(Row.m_Failure), RunCertainty::NotRun);
  cr_assert_eq(mayTryAnotherReplica(Row.m_Failure), Row.m_TryAnother);
}

// Guards against a second run and a false not_run: a failure that is not in the
// table above, a new one as well, counts as run.
Test(booking_outcome, takes_everything_else_for_run) {
  for (const auto &[Failure, Name] : EnumNames<AttemptFailure>::Entries) {
    const bool Sure = std::any_of(
        std::begin(SureCases), std::end(SureCases),
        [F = Failure](const SureCase &Case) { return Case.m_Failure == F; });
    cr_assert_eq(runCertainty(Failure) == RunCertainty::NotRun, Sure, "%s",
                 Name.data());
    cr_assert(Sure || !mayTryAnotherReplica(Failure), "%s", Name.data());
  }
}
