#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/config/delta_merge.hpp"
#include "ragwortdrift/config/manifest.hpp"
#include "ragwortdrift/config/settings.hpp"
#include "ragwortdrift/testing/random_document.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <sstream>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

const int Seeds[] = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16};

/// Formats every value of a service, for comparison.
std::string formatValues(const Service &S) {
  std::ostringstream Out;
  Out << S.m_Name << nameOf(S.m_Kind) << ' ' << S.m_Slots << ' '
      << S.m_Connections << ' ' << S.m_Rate << ' ' << S.m_ColdFraction << ' '
      << S.m_Deadline.count() << '\n';
  for (const Leaf &L : S.m_Leafs)
    Out << L.m_Id << ' ' << L.m_Group << ' ' << L.m_Domain << ' '
        << formatEndpoint(L.m_Address) << ' ' << L.m_Draining << ' '
        << L.m_Partition << '\n';
  const auto List = [&](const std::vector<std::uint32_t> &Leafs) {
    for (const auto I : Leafs)
      Out << ' ' << I;
    Out << '\n';
  };
  for (const Group &G : S.m_Groups) {
    Out << G.m_Name;
    List(G.m_Leafs);
  }
  for (const Partition &P : S.m_Partitions) {
    Out << P.m_Key << P.m_Domain;
    List(P.m_Leafs);
  }
  return Out.str();
}

std::string formatValues(const Catalog &C) {
  std::ostringstream Out;
  Out << C.m_Revision << '\n';
  for (const auto &[Name, S] : C.m_Services)
    Out << Name << ' ' << formatValues(*S);
  for (const auto &[Id, V] : C.m_Vms)
    Out << Id << V.m_Id << V.m_Domain << formatEndpoint(V.m_Control)
        << formatEndpoint(V.m_Relay) << formatEndpoint(V.m_Admin) << V.m_HasDisk
        << '\n';
  for (const auto &Domain : C.m_Domains)
    Out << Domain << ' ' << C.m_DomainsOut.contains(Domain) << '\n';
  Out << C.m_DomainsOut.size() << ' ' << C.m_Limits.m_ClaimRetention.count();
  return Out.str();
}

/// A random manifest with operator commands and VMs. In three of four cases it
/// contains most sections of Previous.
Document randomSuccessor(Random &Rng, const Document &Previous) {
  Document Next = randomManifest(Rng);
  if (Rng() % 4)
    for (const auto &[Key, Values] : Previous)
      if (Rng() % 10)
        Next.insert_or_assign(Key, Values);
  for (int I = 0; I < 3; ++I) {
    const SectionKey CommandKey{SectionKind::LeafCommand,
                                numberedName("l", Rng() % 12)};
    const SectionKey Out{SectionKind::DomainCommand,
                         numberedName("d", Rng() % 3)};
    const SectionKey Machine{SectionKind::Vm, numberedName("v", Rng() % 3)};
    Next[CommandKey] = {{"state", "drain"}};
    Next[Out] = {{"state", "out"}};
    Next[Machine] = {{"domain", numberedName("d", Rng() % 3)},
                     {"control", "127.0.0.1:1"},
                     {"relay", "127.0.0.1:2"},
                     {"admin", "127.0.0.1:3"},
                     {"disk", Rng() % 2 ? "yes" : "no"}};
    if (Rng() % 2)
      Next.erase(CommandKey);
    if (Rng() % 2)
      Next.erase(Out);
    if (Rng() % 2)
      Next.erase(Machine);
  }
  return Next;
}

} // namespace

// Guards against VMs that apply deltas and end up with a configuration other
// than that of the voters.
TABLE_TEST(config_fuzz, deltas_lead_to_the_same_catalog, Seeds) {
  Random Rng(Row);
  Document FollowerDoc;
  auto Current = buildCatalog(Revision{0}, FollowerDoc);
  for (std::uint64_t Step = 0; Step < 200; ++Step) {
    const Document Next = randomSuccessor(Rng, FollowerDoc);
    const auto Change =
        decode<Delta>(encode(diffDocuments(Revision{Step}, FollowerDoc, Next)));
    cr_assert(isOk(Change));
    applyDelta(FollowerDoc, valueOf(Change));
    cr_assert(FollowerDoc == Next, "seed %d step %d", Row, int(Step));
    const auto Previous = Current;
    Current = updateCatalog(*Previous, FollowerDoc, valueOf(Change));
    const auto Rebuilt = buildCatalog(Revision{Step + 1}, Next);
    cr_assert(formatValues(*Current) == formatValues(*Rebuilt),
              "seed %d step %d\n%s\n--\n%s", Row, int(Step),
              formatValues(*Current).c_str(), formatValues(*Rebuilt).c_str());
  }
}

// Guards against a VM that was several revisions behind and builds a catalog
// other than that of a VM that applied each of them.
TABLE_TEST(config_fuzz, merged_deltas_lead_to_the_same_catalog, Seeds) {
  Random Rng(Row);
  Document FollowerDoc;
  auto Current = buildCatalog(Revision{0}, FollowerDoc);
  std::vector<Delta> Pending;
  for (std::uint64_t Step = 0; Step < 100; ++Step) {
    const Document Next = randomSuccessor(Rng, FollowerDoc);
    Pending.push_back(diffDocuments(Revision{Step}, FollowerDoc, Next));
    FollowerDoc = Next;
    if (Step % 5 != 4)
      continue;
    const Revision Rev{Step + 1};
    Current = updateCatalog(*Current, FollowerDoc,
                            mergeDeltas(Pending, Rev, FollowerDoc));
    Pending.clear();
    const auto Rebuilt = buildCatalog(Rev, FollowerDoc);
    cr_assert(Current->m_Revision == Rev);
    cr_assert(formatValues(*Current) == formatValues(*Rebuilt),
              "seed %d step %d", Row, int(Step));
  }
}

// Guards against a delta that rebuilds services it does not affect.
TABLE_TEST(config_fuzz, unaffected_services_are_shared, Seeds) {
  Random Rng(Row);
  Document Doc = randomManifest(Rng);
  const auto OldCatalog = buildCatalog(Revision{1}, Doc);
  for (const auto &[Name, Svc] : OldCatalog->m_Services) {
    const LeafId &DrainedLeaf = Svc->m_Leafs.front().m_Id;
    const Delta Change{Revision{1},
                       {{{SectionKind::LeafCommand, DrainedLeaf.m_Value},
                         {{"state", "drain"}}},
                        {{SectionKind::Customer, "c0"}, {{"a", "b"}}}},
                       {}};
    Document Next = Doc;
    applyDelta(Next, Change);
    const auto NewCatalog = updateCatalog(*OldCatalog, Next, Change);
    for (const auto &[OtherName, Service] : NewCatalog->m_Services)
      cr_assert_eq(Service == OldCatalog->m_Services.at(OtherName),
                   OtherName != Name, "seed %d", Row);
  }
}

// Guards against a manifest that changes when it is formatted and parsed again.
TABLE_TEST(config_fuzz, manifest_text_round_trips, Seeds) {
  Random Rng(Row);
  for (int Step = 0; Step < 50; ++Step) {
    const Document Doc = randomManifest(Rng);
    Document WithCommands = Doc;
    WithCommands[{SectionKind::DomainCommand, "d0"}] = {{"state", "out"}};
    const auto Parsed = parseManifest(formatManifest(WithCommands));
    cr_assert(isOk(Parsed), "seed %d step %d: %s", Row, Step,
              describe(errorOf(Parsed).front()).c_str());
    cr_assert(valueOf(Parsed) == Doc, "seed %d step %d", Row, Step);
  }
}

// Guards against malformed text that crashes the parser, or that is accepted
// but changes when it is formatted and parsed again.
TABLE_TEST(config_fuzz, damaged_manifest_text, Seeds) {
  Random Rng(Row);
  for (int Step = 0; Step < 200; ++Step) {
    std::string Text = formatManifest(randomManifest(Rng));
    for (auto Edits = 1 + Rng() % 3; Edits > 0; --Edits) {
      const auto Position = Rng() % Text.size();
      if (Rng() % 2)
        Text.erase(Position, 1 + Rng() % 8);
      else
        Text.insert(Position, 1, "[]=\n #;\r\x01\xffz9"[Rng() % 12]);
    }
    const auto Parsed = parseManifest(Text);
    if (!isOk(Parsed)) {
      cr_assert(!errorOf(Parsed).empty());
      continue;
    }
    const auto Reparsed = parseManifest(formatManifest(valueOf(Parsed)));
    cr_assert(isOk(Reparsed) && valueOf(Reparsed) == valueOf(Parsed),
              "seed %d step %d:\n%s", Row, Step, Text.c_str());
  }
}
