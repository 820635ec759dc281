#include "ragwortdrift/routing/route_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace ragwortdrift {

namespace {

/// Removes all entries of a shard but the first.
void removeRepeats(std::vector<WeightedService> &Shards) {
  std::set<ServiceName> Names;
  std::erase_if(Shards, [&](const WeightedService &Shard) {
    return !Names.insert(Shard.m_Service).second;
  });
}

} // namespace

RouteTable::RouteTable(RouteConfig Config) : m_Config(std::move(Config)) {
  for (Route &Item : m_Config.m_Routes)
    if (Item.m_Kind == RouteKind::Search)
      removeRepeats(Item.m_Services);
  if (m_Config.m_Accounts)
    m_Accounts.emplace(*std::exchange(m_Config.m_Accounts, std::nullopt));
  for (const Route &Item : m_Config.m_Routes)
    m_Hosts[normalizedHost(Item.m_Host)].push_back(&Item);
  for (auto &[Host, Routes] : m_Hosts)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const Route *A, const Route *B) {
                       return A->m_PathPrefix.size() > B->m_PathPrefix.size();
                     });
  for (const RoutedService &Item : m_Config.m_Services)
    m_Services.emplace(Item.m_Name, &Item);
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  const auto Routes = m_Hosts.find(normalizedHost(Host));
  if (Routes == m_Hosts.end())
    return nullptr;
  const std::string_view PathWithoutQuery = Path.substr(0, Path.find('?'));
  for (const Route *Item : Routes->second)
    if (PathWithoutQuery.starts_with(Item->m_PathPrefix))
      return Item;
  return nullptr;
}

const RoutedService *RouteTable::service(const ServiceName &Name) const {
  const auto Found = m_Services.find(Name);
  return Found == m_Services.end() ? nullptr : Found->second;
}

std::size_t
WeightedRoundRobin::next(const std::vector<WeightedService> &Services) {
  m_CurrentWeights.resize(Services.size());
  double Total = 0;
  std::size_t Best = 0;
  for (std::size_t I = 0; I < Services.size(); ++I) {
    Total += Services[I].m_Weight;
    m_CurrentWeights[I] += Services[I].m_Weight;
    if (m_CurrentWeights[I] > m_CurrentWeights[Best])
      Best = I;
  }
  m_CurrentWeights[Best] -= Total;
  return Best;
}

} // namespace ragwortdrift
