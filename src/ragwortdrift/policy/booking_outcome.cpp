#include "ragwortdrift/policy/booking_outcome.hpp"

#include <array>
#include <cstddef>

namespace ragwortdrift {
namespace {

struct OutcomeRow {
  AttemptFailure m_Failure;
  ExecutionCertainty m_Certainty;
  bool m_TryAnother;
};

using enum AttemptFailure;
using enum ExecutionCertainty;

// Only a failure before the first byte or an explicit refusal proves that the
// request was not executed.
constexpr OutcomeRow OutcomeRows[] = {
    {RelayNotOpened, NotExecuted, true},
    {OwnerRefused, NotExecuted, true},
    {RelayLost, MaybeExecuted, false},
    {ConnectFailed, NotExecuted, true},
    {EndedBeforeSend, NotExecuted, false},
    {LeafShed, NotExecuted, true},
    {LeafRefusedSnapshot, NotExecuted, true},
    {LeafFailed, MaybeExecuted, false},
    {WriteFailed, MaybeExecuted, false},
    {ConnectionLost, MaybeExecuted, false},
    {ConnectionUnresponsive, MaybeExecuted, false},
    {BadResponse, MaybeExecuted, false},
    {EndedAfterSend, MaybeExecuted, false},
};
static_assert(std::size(OutcomeRows) ==
              EnumNames<AttemptFailure>::Entries.size());

constexpr OutcomeRow findRow(AttemptFailure Failure) {
  for (const auto &Row : OutcomeRows)
    if (Row.m_Failure == Failure)
      return Row;
  return {Failure, MaybeExecuted, false};
}

} // namespace

ExecutionCertainty executionCertainty(AttemptFailure Failure) {
  return findRow(Failure).m_Certainty;
}

bool mayTryAnotherReplica(AttemptFailure Failure) {
  return findRow(Failure).m_TryAnother;
}

} // namespace ragwortdrift
