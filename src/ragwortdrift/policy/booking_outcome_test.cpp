#include "ragwortdrift/policy/booking_outcome.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;

namespace {

using enum AttemptFailure;

/// Failures after which a request is known not to have run (section 5.3 of the
/// design). After any other failure it may have run and is never retried.
struct NotRunCase {
  AttemptFailure m_Failure;
  bool m_TryAnother;
};
const NotRunCase NotRunCases[] = {
    {RelayNotOpened, true},   {OwnerRefused, true}, {ConnectFailed, true},
    {EndedBeforeSend, false}, {LeafShed, true},     {LeafRefusedSnapshot, true},
};

} // namespace

// A booking must not be given up if it can be retried.
TABLE_TEST(booking_outcome, reports_failures_that_did_not_run, NotRunCases) {
  cr_assert_eq(runCertainty(Row.m_Failure), RunCertainty::NotRun);
  cr_assert_eq(mayTryAnotherReplica(Row.m_Failure), Row.m_TryAnother);
}

// A booking must not run twice or be reported as not_run by mistake. Any
// failure that is not in the table above, including one added later, must count
// as possibly run.
Test(booking_outcome, treats_other_failures_as_possibly_run) {
  for (const auto &[Failure, Name] : EnumNames<AttemptFailure>::Entries) {
    const bool IsNotRun = std::any_of(
        std::begin(NotRunCases), std::end(NotRunCases),
        [F = Failure](const NotRunCase &Case) { return Case.m_Failure == F; });
    cr_assert_eq(runCertainty(Failure) == RunCertainty::NotRun, IsNotRun, "%s",
                 Name.data());
    cr_assert(IsNotRun || !mayTryAnotherReplica(Failure), "%s", Name.data());
  }
}
