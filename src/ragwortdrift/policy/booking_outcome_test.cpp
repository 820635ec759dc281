#include "ragwortdrift/policy/booking_outcome.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;

namespace {

using enum AttemptFailure;

/// Failures after which a request is known not to have been executed
/// (section 5.3 of the design). After any other failure it may have been
/// executed and is never retried.
struct NotExecutedCase {
  AttemptFailure m_Failure;
  bool m_TryAnother;
};
const NotExecutedCase NotExecutedCases[] = {
    {RelayNotOpened, true},   {OwnerRefused, true}, {ConnectFailed, true},
    {EndedBeforeSend, false}, {LeafShed, true},     {LeafRefusedSnapshot, true},
};

} // namespace

// A booking must not be given up if it can be retried.
TABLE_TEST(booking_outcome, reports_failures_before_execution,
           NotExecutedCases) {
  cr_assert_eq(executionCertainty(Row.m_Failure),
               ExecutionCertainty::NotExecuted);
  cr_assert_eq(mayTryAnotherReplica(Row.m_Failure), Row.m_TryAnother);
}

// A booking must not be executed twice or be reported as not_run by mistake.
// Any failure that is not in the table above, including one added later, must
// count as possibly executed.
Test(booking_outcome, treats_other_failures_as_maybe_executed) {
  for (const auto &[Failure, Name] : EnumNames<AttemptFailure>::Entries) {
    const bool IsNotExecuted =
        std::any_of(std::begin(NotExecutedCases), std::end(NotExecutedCases),
                    [F = Failure](const NotExecutedCase &Case) {
                      return Case.m_Failure == F;
                    });
    cr_assert_eq(executionCertainty(Failure) == ExecutionCertainty::NotExecuted,
                 IsNotExecuted, "%s", Name.data());
    cr_assert(IsNotExecuted || !mayTryAnotherReplica(Failure), "%s",
              Name.data());
  }
}
