#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/config/fields.hpp"
#include "ragwortdrift/config/settings.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortdrift {

namespace {

std::string_view textAt(const Section &Values, const char *Key) {
  const auto It = Values.find(Key);
  return It == Values.end() ? std::string_view() : It->second;
}

template <class Number>
Number integerAt(const Section &Values, const char *Key, Number Default) {
  const auto Value = detail::parseInteger(textAt(Values, Key));
  return Value ? static_cast<Number>(*Value) : Default;
}

double decimalAt(const Section &Values, const char *Key, double Default) {
  return detail::parseDecimal(textAt(Values, Key)).value_or(Default);
}

Duration millisAt(const Section &Values, const char *Key, Duration Default) {
  const auto Value = detail::parseDecimal(textAt(Values, Key));
  return Value ? Duration(std::llround(*Value * 1000)) : Default;
}

Endpoint endpointAt(const Section &Values, const char *Key) {
  return parseEndpoint(textAt(Values, Key)).value_or(Endpoint{});
}

bool hasCommand(const Document &Doc, SectionKind Kind, const std::string &Name,
                std::string_view State) {
  const auto CommandIt = Doc.find({Kind, Name});
  return CommandIt != Doc.end() && textAt(CommandIt->second, "state") == State;
}

Leaf buildLeaf(const Document &Doc, const std::string &Name,
               const Section &Values) {
  Leaf NewLeaf;
  NewLeaf.m_Id = LeafId{Name};
  NewLeaf.m_Group = GroupName{std::string(textAt(Values, "group"))};
  NewLeaf.m_Domain = FailureDomain{std::string(textAt(Values, "domain"))};
  NewLeaf.m_Address = endpointAt(Values, "address");
  NewLeaf.m_Draining = hasCommand(Doc, SectionKind::LeafCommand, Name, "drain");
  return NewLeaf;
}

/// Builds the groups and partitions from the leafs, which are sorted by name.
void buildGroupsAndPartitions(Service &Target) {
  std::map<GroupName, std::vector<std::uint32_t>> Groups;
  // The leafs of each group per domain, sorted by group name.
  std::map<FailureDomain, std::map<GroupName, std::vector<std::uint32_t>>>
      Domains;
  for (std::uint32_t I = 0; I < Target.m_Leafs.size(); ++I) {
    const Leaf &Replica = Target.m_Leafs[I];
    Groups[Replica.m_Group].push_back(I);
    Domains[Replica.m_Domain][Replica.m_Group].push_back(I);
  }
  for (auto &[Name, Leafs] : Groups)
    Target.m_Groups.push_back({Name, std::move(Leafs)});
  for (const auto &[Domain, ByGroup] : Domains) {
    std::uint32_t Slice = 0;
    const auto StartPartition = [&, &Domain = Domain] {
      Target.m_Partitions.push_back({Target.m_Name.m_Value + "/" +
                                         Domain.m_Value + "/" +
                                         std::to_string(Slice++),
                                     Domain,
                                     {}});
    };
    StartPartition();
    for (const auto &[Group, Leafs] : ByGroup) {
      // A group is split between slices only if it does not fit into one.
      if (!Target.m_Partitions.back().m_Leafs.empty() &&
          Target.m_Partitions.back().m_Leafs.size() + Leafs.size() >
              MaxLeafsPerPartition)
        StartPartition();
      for (const std::uint32_t Index : Leafs) {
        if (Target.m_Partitions.back().m_Leafs.size() == MaxLeafsPerPartition)
          StartPartition();
        Target.m_Leafs[Index].m_Partition =
            static_cast<std::uint32_t>(Target.m_Partitions.size() - 1);
        Target.m_Partitions.back().m_Leafs.push_back(Index);
      }
    }
  }
}

std::shared_ptr<const Service> buildService(const std::string &Name,
                                            const Section &Values,
                                            std::vector<Leaf> Leafs) {
  auto NewService = std::make_shared<Service>();
  NewService->m_Name = ServiceName{Name};
  NewService->m_Kind = parseEnum<ServiceKind>(textAt(Values, "kind"))
                           .value_or(ServiceKind::Fanout);
  NewService->m_Slots = integerAt(Values, "slots", NewService->m_Slots);
  NewService->m_Connections =
      integerAt(Values, "connections", NewService->m_Connections);
  NewService->m_ConnectionCost =
      millisAt(Values, "connection_cost_ms", NewService->m_ConnectionCost);
  NewService->m_ServiceTime =
      millisAt(Values, "service_ms", NewService->m_ServiceTime);
  NewService->m_Deadline =
      millisAt(Values, "deadline_ms", NewService->m_Deadline);
  NewService->m_ColdFraction =
      decimalAt(Values, "cold_fraction", NewService->m_ColdFraction);
  NewService->m_Rate = decimalAt(Values, "rate",
                                 NewService->m_Slots * 1000.0 /
                                     toMillis(NewService->m_ServiceTime));
  NewService->m_Leafs = std::move(Leafs);
  buildGroupsAndPartitions(*NewService);
  return NewService;
}

Vm buildVm(const std::string &Name, const Section &Values) {
  return {VmId{Name},
          FailureDomain{std::string(textAt(Values, "domain"))},
          endpointAt(Values, "control"),
          endpointAt(Values, "relay"),
          endpointAt(Values, "admin"),
          textAt(Values, "disk") == "yes"};
}

} // namespace

Limits limitsOf(const Document &Doc) {
  Limits ParsedLimits;
  const auto It = Doc.find({SectionKind::Limits, ""});
  if (It == Doc.end())
    return ParsedLimits;
  const Section &Values = It->second;
  ParsedLimits.m_MaxInFlight =
      integerAt(Values, "max_in_flight", ParsedLimits.m_MaxInFlight);
  ParsedLimits.m_MaxBodyBytes =
      integerAt(Values, "max_body_bytes", ParsedLimits.m_MaxBodyBytes);
  // Clamped because the replicated state does arithmetic with it, which must
  // not overflow whatever the document contains.
  ParsedLimits.m_ClaimRetention = std::chrono::hours(
      std::clamp<std::int64_t>(integerAt(Values, "claim_retention_h",
                                         ParsedLimits.m_ClaimRetention.count()),
                               1, 8760));
  ParsedLimits.m_HedgeRatio =
      decimalAt(Values, "hedge_ratio", ParsedLimits.m_HedgeRatio);
  return ParsedLimits;
}

namespace {

/// The leafs of each service in Names, sorted by name.
std::map<ServiceName, std::vector<Leaf>>
collectLeafs(const Document &Doc, const std::set<ServiceName> &Names) {
  std::map<ServiceName, std::vector<Leaf>> Leafs;
  for (const ServiceName &Name : Names)
    Leafs[Name];
  for (auto It = Doc.lower_bound({SectionKind::Leaf, ""});
       It != Doc.end() && It->first.m_Kind == SectionKind::Leaf; ++It) {
    const ServiceName Name{std::string(textAt(It->second, "service"))};
    if (const auto ServiceIt = Leafs.find(Name); ServiceIt != Leafs.end())
      ServiceIt->second.push_back(buildLeaf(Doc, It->first.m_Name, It->second));
  }
  return Leafs;
}

void updateEntry(Catalog &Target, const Document &Doc, const SectionKey &Key) {
  const auto It = Doc.find(Key);
  switch (Key.m_Kind) {
  case SectionKind::Domain:
    if (It != Doc.end())
      Target.m_Domains.insert(FailureDomain{Key.m_Name});
    else
      Target.m_Domains.erase(FailureDomain{Key.m_Name});
    break;
  case SectionKind::DomainCommand:
    if (hasCommand(Doc, Key.m_Kind, Key.m_Name, "out"))
      Target.m_DomainsOut.insert(FailureDomain{Key.m_Name});
    else
      Target.m_DomainsOut.erase(FailureDomain{Key.m_Name});
    break;
  case SectionKind::Vm:
    if (It != Doc.end())
      Target.m_Vms.insert_or_assign(VmId{Key.m_Name},
                                    buildVm(Key.m_Name, It->second));
    else
      Target.m_Vms.erase(VmId{Key.m_Name});
    break;
  case SectionKind::Limits:
    Target.m_Limits = limitsOf(Doc);
    break;
  case SectionKind::Manifest:
  case SectionKind::Service:
  case SectionKind::Leaf:
  case SectionKind::Customer:
  case SectionKind::LeafCommand:
    break;
  }
}

bool hasLeaf(const Service &Candidate, const std::string &Name) {
  const auto It = std::lower_bound(
      Candidate.m_Leafs.begin(), Candidate.m_Leafs.end(), Name,
      [](const Leaf &L, const std::string &N) { return L.m_Id.m_Value < N; });
  return It != Candidate.m_Leafs.end() && It->m_Id.m_Value == Name;
}

/// The services and leafs that a delta affects.
struct AffectedEntries {
  std::set<ServiceName> m_Services;
  std::set<std::string> m_Leafs;
};

void addAffected(AffectedEntries &Target, const Catalog &Previous,
                 const Document &Doc, const SectionKey &Key) {
  if (Key.m_Kind == SectionKind::Service)
    Target.m_Services.insert(ServiceName{Key.m_Name});
  if (Key.m_Kind != SectionKind::Leaf && Key.m_Kind != SectionKind::LeafCommand)
    return;
  Target.m_Leafs.insert(Key.m_Name);
  // The leaf may have moved from another service.
  for (const auto &[Name, Candidate] : Previous.m_Services)
    if (hasLeaf(*Candidate, Key.m_Name))
      Target.m_Services.insert(Name);
  if (const auto It = Doc.find({SectionKind::Leaf, Key.m_Name});
      It != Doc.end())
    Target.m_Services.insert(
        ServiceName{std::string(textAt(It->second, "service"))});
}

/// The leafs of a service after a delta. Does not iterate over all leafs of the
/// document, which has 130,000 at the target size.
std::vector<Leaf> updateLeafs(const Service &Previous, const Document &Doc,
                              const AffectedEntries &Changes) {
  std::set<std::string> Names;
  for (const Leaf &OldLeaf : Previous.m_Leafs)
    Names.insert(Names.end(), OldLeaf.m_Id.m_Value);
  Names.insert(Changes.m_Leafs.begin(), Changes.m_Leafs.end());
  std::vector<Leaf> Leafs;
  for (const std::string &Name : Names) {
    const auto It = Doc.find({SectionKind::Leaf, Name});
    if (It != Doc.end() &&
        textAt(It->second, "service") == Previous.m_Name.m_Value)
      Leafs.push_back(buildLeaf(Doc, Name, It->second));
  }
  return Leafs;
}

} // namespace

std::shared_ptr<const Catalog> buildCatalog(Revision Rev, const Document &Doc) {
  auto NewCatalog = std::make_shared<Catalog>();
  NewCatalog->m_Revision = Rev;
  std::set<ServiceName> Names;
  for (const auto &[Key, Values] : Doc) {
    updateEntry(*NewCatalog, Doc, Key);
    if (Key.m_Kind == SectionKind::Service)
      Names.insert(ServiceName{Key.m_Name});
  }
  for (auto &[Name, Leafs] : collectLeafs(Doc, Names))
    NewCatalog->m_Services.emplace(
        Name,
        buildService(Name.m_Value, Doc.at({SectionKind::Service, Name.m_Value}),
                     std::move(Leafs)));
  return NewCatalog;
}

std::shared_ptr<const Catalog> updateCatalog(const Catalog &Previous,
                                             const Document &Doc,
                                             const Delta &Change) {
  auto NewCatalog = std::make_shared<Catalog>(Previous);
  NewCatalog->m_Revision = Revision{Change.m_Base.m_Value + 1};
  AffectedEntries Changes;
  const auto ApplyKey = [&](const SectionKey &Key) {
    updateEntry(*NewCatalog, Doc, Key);
    addAffected(Changes, Previous, Doc, Key);
  };
  for (const SectionKey &Key : Change.m_Erase)
    ApplyKey(Key);
  for (const auto &[Key, Values] : Change.m_Set)
    ApplyKey(Key);

  std::set<ServiceName> AddedServices;
  for (const ServiceName &Name : Changes.m_Services) {
    const auto Values = Doc.find({SectionKind::Service, Name.m_Value});
    const auto PreviousService = Previous.m_Services.find(Name);
    if (Values == Doc.end())
      NewCatalog->m_Services.erase(Name);
    else if (PreviousService == Previous.m_Services.end())
      AddedServices.insert(Name);
    else
      NewCatalog->m_Services[Name] =
          buildService(Name.m_Value, Values->second,
                       updateLeafs(*PreviousService->second, Doc, Changes));
  }
  if (AddedServices.empty())
    return NewCatalog;
  for (auto &[Name, Leafs] : collectLeafs(Doc, AddedServices))
    NewCatalog->m_Services[Name] =
        buildService(Name.m_Value, Doc.at({SectionKind::Service, Name.m_Value}),
                     std::move(Leafs));
  return NewCatalog;
}

} // namespace ragwortdrift
