#include "ragwortdrift/routing/routing_state.hpp"

namespace ragwortdrift {

namespace {

OrderOutcome apply(RoutingState &State, const SetConfig &Order) {
  const ConfigText &Config = Order.m_Config;
  if (Config.m_Version == State.m_Config.m_Version)
    return Config == State.m_Config ? OrderOutcome::Unchanged
                                    : OrderOutcome::OtherContent;
  if (Config.m_Version < State.m_Config.m_Version)
    return OrderOutcome::Unchanged;
  State.m_Config = Config;
  ++State.m_Revision;
  return OrderOutcome::Accepted;
}

OrderOutcome apply(RoutingState &State, const SetDomainOut &Order) {
  const bool Changed = Order.m_Out
                           ? State.m_DomainsOut.insert(Order.m_Domain).second
                           : State.m_DomainsOut.erase(Order.m_Domain) > 0;
  if (!Changed)
    return OrderOutcome::Unchanged;
  ++State.m_Revision;
  return OrderOutcome::Accepted;
}

OrderOutcome apply(RoutingState &State, const RaiseEntryCount &Order) {
  if (Order.m_Count <= State.m_EntryCount)
    return OrderOutcome::Unchanged;
  State.m_EntryCount = Order.m_Count;
  ++State.m_Revision;
  return OrderOutcome::Accepted;
}

} // namespace

OrderOutcome applyOrder(RoutingState &State, const RoutingOrder &Order) {
  return std::visit([&](const auto &Kind) { return apply(State, Kind); },
                    Order);
}

} // namespace ragwortdrift
