#include "ragwortdrift/policy/booking_outcome.hpp"

#include <array>
#include <cstddef>

namespace ragwortdrift {
namespace {

struct OutcomeRow {
  AttemptFailure m_Failure;
  RunCertainty m_Certainty;
  bool m_TryAnother;
};

using enum AttemptFailure;
using enum RunCertainty;

// Only a failure before the first byte or an explicit refusal proves that the
// request did not run.
constexpr OutcomeRow OutcomeRows[] = {
    {RelayNotOpened, NotRun, true},        {OwnerRefused, NotRun, true},
    {RelayLost, MayHaveRun, false},        {ConnectFailed, NotRun, true},
    {EndedBeforeSend, NotRun, false},      {LeafShed, NotRun, true},
    {LeafRefusedSnapshot, NotRun, true},   {LeafFailed, MayHaveRun, false},
    {WriteFailed, MayHaveRun, false},      {ConnectionLost, MayHaveRun, false},
    {ConnectionSilent, MayHaveRun, false}, {BadAnswer, MayHaveRun, false},
    {EndedAfterSend, MayHaveRun, false},
};
static_assert(std::size(OutcomeRows) ==
              EnumNames<AttemptFailure>::Entries.size());

constexpr OutcomeRow findRow(AttemptFailure Failure) {
  for (const auto &Row : OutcomeRows)
    if (Row.m_Failure == Failure)
      return Row;
  return {Failure, MayHaveRun, false};
}

} // namespace

RunCertainty runCertainty(AttemptFailure Failure) {
  return findRow(Failure).m_Certainty;
}

bool mayTryAnotherReplica(AttemptFailure Failure) {
  return findRow(Failure).m_TryAnother;
}

} // namespace ragwortdrift
