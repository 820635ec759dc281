#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/config/fields.hpp"
#include "ragwortdrift/config/settings.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortdrift {

namespace {

std::string_view textAt(const Section &Values, const char *Key) {
  const auto Found = Values.find(Key);
  return Found == Values.end() ? std::string_view() : Found->second;
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

bool hasOrder(const Document &Doc, SectionKind Kind, const std::string &Name,
              std::string_view State) {
  const auto Order = Doc.find({Kind, Name});
  return Order != Doc.end() && textAt(Order->second, "state") == State;
}

Leaf buildLeaf(const Document &Doc, const std::string &Name,
               const Section &Values) {
  Leaf Built;
  Built.m_Id = LeafId{Name};
  Built.m_Group = GroupName{std::string(textAt(Values, "group"))};
  Built.m_Domain = FailureDomain{std::string(textAt(Values, "domain"))};
  Built.m_Address = endpointAt(Values, "address");
  Built.m_Draining = hasOrder(Doc, SectionKind::LeafOrder, Name, "drain");
  return Built;
}

/// Fills groups and partitions from the leafs, which are in name order.
void arrange(Service &Target) {
  std::map<GroupName, std::vector<std::uint32_t>> Groups;
  // Per domain, the leafs of each group in name order of the groups.
  std::map<FailureDomain, std::map<GroupName, std::vector<std::uint32_t>>>
      Domains;
  for (std::uint32_t I = 0; I < Target.m_Leafs.size(); ++I) {
    const Leaf &Each = Target.m_Leafs[I];
    Groups[Each.m_Group].push_back(I);
    Domains[Each.m_Domain][Each.m_Group].push_back(I);
  }
  for (auto &[Name, Leafs] : Groups)
    Target.m_Groups.push_back({Name, std::move(Leafs)});
  for (const auto &[Domain, ByGroup] : Domains) {
    std::uint32_t Slice = 0;
    const auto Open = [&, &Domain = Domain] {
      Target.m_Partitions.push_back({Target.m_Name.m_Value + "/" +
                                         Domain.m_Value + "/" +
                                         std::to_string(Slice++),
                                     Domain,
                                     {}});
    };
    Open();
    for (const auto &[Group, Leafs] : ByGroup) {
      // A group stays in one slice unless it is larger than a slice.
      if (!Target.m_Partitions.back().m_Leafs.empty() &&
          Target.m_Partitions.back().m_Leafs.size() + Leafs.size() >
              MaxLeafsPerPartition)
        Open();
      for (const std::uint32_t Index : Leafs) {
        if (Target.m_Partitions.back().m_Leafs.size() == MaxLeafsPerPartition)
          Open();
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
  auto Built = std::make_shared<Service>();
  Built->m_Name = ServiceName{Name};
  Built->m_Kind = parseEnum<ServiceKind>(textAt(Values, "kind"))
                      .value_or(ServiceKind::Fanout);
  Built->m_Slots = integerAt(Values, "slots", Built->m_Slots);
  Built->m_Connections = integerAt(Values, "connections", Built->m_Connections);
  Built->m_ConnectionCost =
      millisAt(Values, "connection_cost_ms", Built->m_ConnectionCost);
  Built->m_ServiceTime = millisAt(Values, "service_ms", Built->m_ServiceTime);
  Built->m_Deadline = millisAt(Values, "deadline_ms", Built->m_Deadline);
  Built->m_ColdFraction =
      decimalAt(Values, "cold_fraction", Built->m_ColdFraction);
  Built->m_Rate = decimalAt(
      Values, "rate", Built->m_Slots * 1000.0 / toMillis(Built->m_ServiceTime));
  Built->m_Leafs = std::move(Leafs);
  arrange(*Built);
  return Built;
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
  Limits Built;
  const auto Found = Doc.find({SectionKind::Limits, ""});
  if (Found == Doc.end())
    return Built;
  const Section &Values = Found->second;
  Built.m_MaxInFlight = integerAt(Values, "max_in_flight", Built.m_MaxInFlight);
  Built.m_MaxBodyBytes =
      integerAt(Values, "max_body_bytes", Built.m_MaxBodyBytes);
  // The replicated state computes with it, so no document may make it overflow.
  Built.m_ClaimRetention = std::chrono::hours(std::clamp<std::int64_t>(
      integerAt(Values, "claim_retention_h", Built.m_ClaimRetention.count()), 1,
      8760));
  Built.m_HedgeRatio = decimalAt(Values, "hedge_ratio", Built.m_HedgeRatio);
  return Built;
}

namespace {

/// The leafs of each service in Names, in name order.
std::map<ServiceName, std::vector<Leaf>>
collectLeafs(const Document &Doc, const std::set<ServiceName> &Names) {
  std::map<ServiceName, std::vector<Leaf>> Leafs;
  for (const ServiceName &Name : Names)
    Leafs[Name];
  for (auto It = Doc.lower_bound({SectionKind::Leaf, ""});
       It != Doc.end() && It->first.m_Kind == SectionKind::Leaf; ++It) {
    const ServiceName Name{std::string(textAt(It->second, "service"))};
    if (const auto Found = Leafs.find(Name); Found != Leafs.end())
      Found->second.push_back(buildLeaf(Doc, It->first.m_Name, It->second));
  }
  return Leafs;
}

void updateEntry(Catalog &Target, const Document &Doc, const SectionKey &Key) {
  const auto Found = Doc.find(Key);
  switch (Key.m_Kind) {
  case SectionKind::Domain:
    if (Found != Doc.end())
      Target.m_Domains.insert(FailureDomain{Key.m_Name});
    else
      Target.m_Domains.erase(FailureDomain{Key.m_Name});
    break;
  case SectionKind::DomainOrder:
    if (hasOrder(Doc, Key.m_Kind, Key.m_Name, "out"))
      Target.m_DomainsOut.insert(FailureDomain{Key.m_Name});
    else
      Target.m_DomainsOut.erase(FailureDomain{Key.m_Name});
    break;
  case SectionKind::Vm:
    if (Found != Doc.end())
      Target.m_Vms.insert_or_assign(VmId{Key.m_Name},
                                    buildVm(Key.m_Name, Found->second));
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
  case SectionKind::LeafOrder:
    break;
  }
}

bool hasLeaf(const Service &Candidate, const std::string &Name) {
  const auto Found = std::lower_bound(
      Candidate.m_Leafs.begin(), Candidate.m_Leafs.end(), Name,
      [](const Leaf &L, const std::string &N) { return L.m_Id.m_Value < N; });
  return Found != Candidate.m_Leafs.end() && Found->m_Id.m_Value == Name;
}

/// What a delta touches among services and leafs.
struct Touched {
  std::set<ServiceName> m_Services;
  std::set<std::string> m_Leafs;
};

void touch(Touched &Target, const Catalog &Previous, const Document &Doc,
           const SectionKey &Key) {
  if (Key.m_Kind == SectionKind::Service)
    Target.m_Services.insert(ServiceName{Key.m_Name});
  if (Key.m_Kind != SectionKind::Leaf && Key.m_Kind != SectionKind::LeafOrder)
    return;
  Target.m_Leafs.insert(Key.m_Name);
  // The leaf may have moved from another service.
  for (const auto &[Name, Each] : Previous.m_Services)
    if (hasLeaf(*Each, Key.m_Name))
      Target.m_Services.insert(Name);
  if (const auto Found = Doc.find({SectionKind::Leaf, Key.m_Name});
      Found != Doc.end())
    Target.m_Services.insert(
        ServiceName{std::string(textAt(Found->second, "service"))});
}

/// The leafs of a service after a delta, without a pass over all leafs of the
/// document, which holds 130,000 at the target size.
std::vector<Leaf> updateLeafs(const Service &Previous, const Document &Doc,
                              const Touched &Changes) {
  std::set<std::string> Names;
  for (const Leaf &Each : Previous.m_Leafs)
    Names.insert(Names.end(), Each.m_Id.m_Value);
  Names.insert(Changes.m_Leafs.begin(), Changes.m_Leafs.end());
  std::vector<Leaf> Leafs;
  for (const std::string &Name : Names) {
    const auto Found = Doc.find({SectionKind::Leaf, Name});
    if (Found != Doc.end() &&
        textAt(Found->second, "service") == Previous.m_Name.m_Value)
      Leafs.push_back(buildLeaf(Doc, Name, Found->second));
  }
  return Leafs;
}

} // namespace

std::shared_ptr<const Catalog> buildCatalog(Revision Rev, const Document &Doc) {
  auto Built = std::make_shared<Catalog>();
  Built->m_Revision = Rev;
  std::set<ServiceName> Names;
  for (const auto &[Key, Values] : Doc) {
    updateEntry(*Built, Doc, Key);
    if (Key.m_Kind == SectionKind::Service)
      Names.insert(ServiceName{Key.m_Name});
  }
  for (auto &[Name, Leafs] : collectLeafs(Doc, Names))
    Built->m_Services.emplace(
        Name,
        buildService(Name.m_Value, Doc.at({SectionKind::Service, Name.m_Value}),
                     std::move(Leafs)));
  return Built;
}

std::shared_ptr<const Catalog> updateCatalog(const Catalog &Previous,
                                             const Document &Doc,
                                             const Delta &Change) {
  auto Built = std::make_shared<Catalog>(Previous);
  Built->m_Revision = Revision{Change.m_Base.m_Value + 1};
  Touched Changes;
  const auto Visit = [&](const SectionKey &Key) {
    updateEntry(*Built, Doc, Key);
    touch(Changes, Previous, Doc, Key);
  };
  for (const SectionKey &Key : Change.m_Erase)
    Visit(Key);
  for (const auto &[Key, Values] : Change.m_Set)
    Visit(Key);

  std::set<ServiceName> Added;
  for (const ServiceName &Name : Changes.m_Services) {
    const auto Values = Doc.find({SectionKind::Service, Name.m_Value});
    const auto Old = Previous.m_Services.find(Name);
    if (Values == Doc.end())
      Built->m_Services.erase(Name);
    else if (Old == Previous.m_Services.end())
      Added.insert(Name);
    else
      Built->m_Services[Name] =
          buildService(Name.m_Value, Values->second,
                       updateLeafs(*Old->second, Doc, Changes));
  }
  if (Added.empty())
    return Built;
  for (auto &[Name, Leafs] : collectLeafs(Doc, Added))
    Built->m_Services[Name] =
        buildService(Name.m_Value, Doc.at({SectionKind::Service, Name.m_Value}),
                     std::move(Leafs));
  return Built;
}

} // namespace ragwortdrift
