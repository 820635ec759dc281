// Prints the memory (as counted by the allocator) and snapshot size of a claim,
// a removed customer, a submit id and a leaf:
//   build/ragwortdrift-state-cost [COUNT]

#include "ragwortdrift/state/replicated_state.hpp"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <functional>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

std::string padded(const char *Prefix, std::size_t Number, int Width) {
  std::string Digits = std::to_string(Number);
  return Prefix + std::string(Width - Digits.size(), '0') + Digits;
}

Document baseManifest() {
  Document Doc;
  Doc[{SectionKind::Manifest, ""}] = {{"name", "m"}};
  Doc[{SectionKind::Domain, "fenland-1"}] = {};
  Doc[{SectionKind::Service, "ridefinder"}] = {
      {"kind", "fanout"}, {"slots", "2"}, {"connections", "25"}};
  return Doc;
}

/// Fills a state and prints the added bytes per item for Count items.
void measure(const char *Label, std::size_t Count,
             const std::function<void(ReplicatedState &)> &Fill) {
  malloc_trim(0);
  const auto UsageBefore = mallinfo2();
  ReplicatedState State;
  const std::string EmptySnapshot = State.snapshot();
  Fill(State);
  const auto UsageAfter = mallinfo2();
  const auto Bytes = (UsageAfter.uordblks + UsageAfter.hblkhd) -
                     (UsageBefore.uordblks + UsageBefore.hblkhd);
  std::printf("%-44s %7.0f B in memory %6.0f B in a snapshot\n", Label,
              double(Bytes) / double(Count),
              double(State.snapshot().size() - EmptySnapshot.size()) /
                  double(Count));
}

void fillClaims(ReplicatedState &State, std::size_t Count,
                std::size_t BodyBytes) {
  for (std::size_t I = 0; I < Count; ++I) {
    const IdempotencyKey Key{padded("0b5e8f5c-6d1e-4c3a-", I, 17)};
    const VmId Holder{"entry-vm-7"};
    State.apply({1000h,
                 {ClaimBooking{Key, I, ServiceName{"bookdesk"}, Holder,
                               Incarnation{1}, 1000h}}});
    if (BodyBytes > 0)
      State.apply({1000h,
                   {RecordOutcome{Key,
                                  Holder,
                                  Incarnation{1},
                                  {200, std::string(BodyBytes, 'b')}}}});
  }
}

} // namespace

int main(int Argc, char **Argv) {
  const std::size_t Count =
      Argc > 1 ? std::strtoull(Argv[1], nullptr, 10) : 20'000;
  if (Count == 0)
    return 2;
  measure("claim, 36-byte key, no outcome", Count,
          [&](ReplicatedState &State) { fillClaims(State, Count, 0); });
  measure("claim with an outcome of 200 B", Count,
          [&](ReplicatedState &State) { fillClaims(State, Count, 200); });
  measure("claim with an outcome of 4 KiB", Count, [&](ReplicatedState &State) {
    fillClaims(State, Count, MaxOutcomeBodyBytes);
  });
  measure("submit id, 36 bytes", Count, [&](ReplicatedState &State) {
    for (std::size_t I = 0; I < Count; ++I)
      State.apply({1000h,
                   {DomainCommand{SubmitId{padded("", I, 36)},
                                  FailureDomain{"d"}, DomainChange::Out}}});
  });
  const auto Submit = [](ReplicatedState &State, const char *Id, Document Doc) {
    State.apply({1000h, {SubmitManifest{SubmitId{Id}, {}, std::move(Doc)}}});
  };
  // The recent deltas are limited by their number, not by the size of the
  // state. Restoring from a snapshot drops them here.
  const auto DropDeltas = [](ReplicatedState &State) {
    ReplicatedState Restored;
    if (!isOk(Restored.restore(State.snapshot())))
      std::abort();
    State = std::move(Restored);
  };
  measure("removed customer, 3 settings of 30 B", Count,
          [&](ReplicatedState &State) {
            Document Doc = baseManifest();
            for (std::size_t I = 0; I < Count; ++I)
              Doc[{SectionKind::Customer, padded("customer-", I, 6)}] = {
                  {"region", padded("fenland-", I, 16)},
                  {"tier", padded("gold-", I, 21)},
                  {"quota", padded("daily-", I, 19)}};
            Submit(State, "a", Doc);
            Submit(State, "b", baseManifest());
            DropDeltas(State);
          });
  measure("leaf", Count, [&](ReplicatedState &State) {
    Document Doc = baseManifest();
    for (std::size_t I = 0; I < Count; ++I)
      Doc[{SectionKind::Leaf, padded("ridefinder-", I, 6)}] = {
          {"service", "ridefinder"},
          {"group", padded("g", I / 3, 6)},
          {"domain", "fenland-1"},
          {"address", "10.20.30.40:9000"}};
    Submit(State, "a", Doc);
    DropDeltas(State);
  });
}
