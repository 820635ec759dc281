#include "ragwortdrift/dispatch/config_switch.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Returns the share of a route that ready services serve: by number of shards,
/// or by weight for a single service.
double readyShare(const Route &Target, const ServiceReadyQuery &IsReady) {
  double Ready = 0, Total = 0;
  for (const WeightedService &Item : Target.m_Services) {
    const double Weight =
        Target.m_Kind == RouteKind::Search ? 1 : Item.m_Weight;
    Total += Weight;
    Ready += IsReady(Item.m_Service) ? Weight : 0;
  }
  return Total > 0 ? Ready / Total : 1;
}

} // namespace

bool servesWorse(const RouteTable &Next, const RouteTable &Current,
                 const ServiceReadyQuery &IsReady) {
  const std::vector<Route> &Routes = Next.config().m_Routes;
  return std::any_of(Routes.begin(), Routes.end(), [&](const Route &Item) {
    const Route *Replaced = Current.find(Item.m_Host, Item.m_PathPrefix);
    return Replaced && Replaced->m_Services != Item.m_Services &&
           readyShare(Item, IsReady) < readyShare(*Replaced, IsReady);
  });
}

void ConfigSwitch::receive(Routes Next, TimePoint AcceptedAt) {
  if (m_Held && Next->config().m_Version == m_Held->config().m_Version)
    m_HeldUntil = std::min(m_HeldUntil, AcceptedAt + m_MaxDelay);
  const Routes &Newest = m_Held ? m_Held : m_Current;
  if (Newest && Next->config().m_Version <= Newest->config().m_Version)
    return;
  const TimePoint Until = AcceptedAt + m_MaxDelay;
  m_HeldUntil = m_Held ? std::min(m_HeldUntil, Until) : Until;
  m_Held = std::move(Next);
}

bool ConfigSwitch::apply(TimePoint Now, const ServiceReadyQuery &IsReady) {
  if (!m_Held || (m_Current && Now < m_HeldUntil &&
                  servesWorse(*m_Held, *m_Current, IsReady)))
    return false;
  m_Current = std::move(m_Held);
  m_Held.reset();
  return true;
}

} // namespace ragwortdrift
