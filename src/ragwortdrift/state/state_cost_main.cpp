// Prints what a claim, a removed customer, a submit id and a leaf cost in
// memory (as the allocator counts it) and in a snapshot:
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

/// Fills a state and prints the difference for each of Count items.
void measure(const char *Name, std::size_t Count,
             const std::function<void(ReplicatedState &)> &Fill) {
  malloc_trim(0);
  const auto Before = mallinfo2();
  ReplicatedState State;
  const std::string Empty = State.snapshot();
  Fill(State);
  const auto After = mallinfo2();
  const auto Bytes =
      (After.uordblks + After.hblkhd) - (Before.uordblks + Before.hblkhd);
  std::printf("%-44s %7.0f B in memory %6.0f B in a snapshot\n", Name,
              double(Bytes) / double(Count),
              double(State.snapshot().size() - Empty.size()) / double(Count));
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
          [&](ReplicatedState &S) { fillClaims(S, Count, 0); });
  measure("claim with an outcome of 200 B", Count,
          [&](ReplicatedState &S) { fillClaims(S, Count, 200); });
  measure("claim with an outcome of 4 KiB", Count,
          [&](ReplicatedState &S) { fillClaims(S, Count, MaxOutcomeBytes); });
  measure("submit id, 36 bytes", Count, [&](ReplicatedState &S) {
    for (std::size_t I = 0; I < Count; ++I)
      S.apply({1000h,
               {DomainOrder{SubmitId{padded("", I, 36)}, FailureDomain{"d"},
                            DomainChange::Out}}});
  });
  const auto Submit = [](ReplicatedState &S, const char *Id, Document Doc) {
    S.apply({1000h, {SubmitManifest{SubmitId{Id}, {}, std::move(Doc)}}});
  };
  // The window of deltas is bounded by its count, not by the state's size, and
  // is dropped here by a restore.
  const auto DropDeltas = [](ReplicatedState &S) {
    ReplicatedState Fresh;
    if (!isOk(Fresh.restore(S.snapshot())))
      std::abort();
    S = std::move(Fresh);
  };
  measure("removed customer, 3 settings of 30 B", Count,
          [&](ReplicatedState &S) {
            Document Doc = baseManifest();
            for (std::size_t I = 0; I < Count; ++I)
              Doc[{SectionKind::Customer, padded("customer-", I, 6)}] = {
                  {"region", padded("fenland-", I, 16)},
                  {"tier", padded("gold-", I, 21)},
                  {"quota", padded("daily-", I, 19)}};
            Submit(S, "a", Doc);
            Submit(S, "b", baseManifest());
            DropDeltas(S);
          });
  measure("leaf", Count, [&](ReplicatedState &S) {
    Document Doc = baseManifest();
    for (std::size_t I = 0; I < Count; ++I)
      Doc[{SectionKind::Leaf, padded("ridefinder-", I, 6)}] = {
          {"service", "ridefinder"},
          {"group", padded("g", I / 3, 6)},
          {"domain", "fenland-1"},
          {"address", "10.20.30.40:9000"}};
    Submit(S, "a", Doc);
    DropDeltas(S);
  });
}
