#ifndef RAGWORTDRIFT_TESTING_RANDOM_DOCUMENT_HPP
#define RAGWORTDRIFT_TESTING_RANDOM_DOCUMENT_HPP

#include "ragwortdrift/config/document.hpp"

#include <random>

namespace ragwortdrift::testing {

using Random = std::mt19937_64;

inline std::string numberedName(const char *Prefix, std::uint64_t Number) {
  return Prefix + std::to_string(Number);
}

/// Returns a valid random manifest. Names come from a small set, so that two
/// manifests have some sections in common and differ in others.
inline Document randomManifest(Random &Rng) {
  Document Doc;
  Doc[{SectionKind::Manifest, ""}] = {{"name", "m"}};
  const auto Domains = 1 + Rng() % 3;
  for (std::uint64_t I = 0; I < Domains; ++I)
    Doc[{SectionKind::Domain, numberedName("d", I)}] =
        Rng() % 2 ? Section{}
                  : Section{{"region", numberedName("r", Rng() % 2)}};
  for (std::uint64_t I = 0; I < 12; ++I) {
    if (Rng() % 4 == 0)
      continue;
    const auto Service = numberedName("s", Rng() % 8 ? I % 3 : Rng() % 3);
    Doc[{SectionKind::Service, Service}] = {
        {"kind", Service == "s2" ? "single" : "fanout"},
        {"slots", std::to_string(2 + Rng() % 2)},
        {"connections", "25"}};
    Doc[{SectionKind::Leaf, numberedName("l", I)}] = {
        {"service", Service},
        {"group", numberedName("g", I % 4)},
        {"domain", numberedName("d", Rng() % 8 ? 0 : Rng() % Domains)},
        {"address", numberedName("127.0.0.1:", 9000 + I)}};
  }
  for (std::uint64_t I = 0; I < 4; ++I)
    if (Rng() % 2)
      Doc[{SectionKind::Customer, numberedName("c", I)}] =
          Rng() % 2 ? Section{}
                    : Section{{"tier", numberedName("t", Rng() % 9)}};
  if (Rng() % 2)
    Doc[{SectionKind::Limits, ""}] = {
        {"claim_retention_h", Rng() % 2 ? "2" : "30"}};
  return Doc;
}

} // namespace ragwortdrift::testing

#endif
