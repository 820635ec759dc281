#include "ragwortdrift/routing/routing_state.hpp"

namespace ragwortdrift {

namespace {

RoutingCommandOutcome apply(RoutingState &State, const SetConfig &Command) {
  const ConfigText &Config = Command.m_Config;
  if (Config.m_Version == State.m_Config.m_Version)
    return Config == State.m_Config ? RoutingCommandOutcome::Unchanged
                                    : RoutingCommandOutcome::OtherContent;
  if (Config.m_Version < State.m_Config.m_Version)
    return RoutingCommandOutcome::Unchanged;
  State.m_Config = Config;
  ++State.m_Revision;
  return RoutingCommandOutcome::Accepted;
}

RoutingCommandOutcome apply(RoutingState &State, const SetDomainOut &Command) {
  const bool Changed = Command.m_Out
                           ? State.m_DomainsOut.insert(Command.m_Domain).second
                           : State.m_DomainsOut.erase(Command.m_Domain) > 0;
  if (!Changed)
    return RoutingCommandOutcome::Unchanged;
  ++State.m_Revision;
  return RoutingCommandOutcome::Accepted;
}

RoutingCommandOutcome apply(RoutingState &State,
                            const RaiseEntryCount &Command) {
  if (Command.m_Count <= State.m_EntryCount)
    return RoutingCommandOutcome::Unchanged;
  State.m_EntryCount = Command.m_Count;
  ++State.m_Revision;
  return RoutingCommandOutcome::Accepted;
}

} // namespace

RoutingCommandOutcome applyCommand(RoutingState &State,
                                   const RoutingCommand &Command) {
  return std::visit([&](const auto &Payload) { return apply(State, Payload); },
                    Command);
}

} // namespace ragwortdrift
