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

/// The state as encoded before there were roll-outs.
struct StateWithoutRollouts {
  RoutingState m_State;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_State.m_Revision, m_State.m_Config, m_State.m_DomainsOut,
       m_State.m_EntryCount, m_State.m_DomainChanges);
  }
};

/// The state as encoded before the changes of failure domains were recorded.
struct StateWithoutDomainChanges {
  RoutingState m_State;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_State.m_Revision, m_State.m_Config, m_State.m_DomainsOut,
       m_State.m_EntryCount);
  }
};

RoutingCommandOutcome apply(RoutingState &State, const SetDomainOut &Command) {
  const bool Changed = Command.m_Out
                           ? State.m_DomainsOut.insert(Command.m_Domain).second
                           : State.m_DomainsOut.erase(Command.m_Domain) > 0;
  if (!Changed)
    return RoutingCommandOutcome::Unchanged;
  State.m_DomainChanges[Command.m_Domain] = ++State.m_Revision;
  return RoutingCommandOutcome::Accepted;
}

RoutingCommandOutcome apply(RoutingState &State,
                            const ChangeDomainOut &Command) {
  if (Command.m_LastChange != lastChange(State, Command.m_Domain))
    return RoutingCommandOutcome::Outdated;
  return apply(State, SetDomainOut{Command.m_Domain, Command.m_Out});
}

RoutingCommandOutcome apply(RoutingState &State,
                            const RaiseEntryCount &Command) {
  if (Command.m_Count <= State.m_EntryCount)
    return RoutingCommandOutcome::Unchanged;
  State.m_EntryCount = Command.m_Count;
  ++State.m_Revision;
  return RoutingCommandOutcome::Accepted;
}

RoutingCommandOutcome apply(RoutingState &State, const StartRollout &Command) {
  return applyRollout(State.m_Rollouts, State.m_Revision, Command);
}

RoutingCommandOutcome apply(RoutingState &State,
                            const AdvanceRollout &Command) {
  return applyRollout(State.m_Rollouts, State.m_Revision, Command);
}

template <class Earlier>
std::optional<RoutingState> decodeEarlier(std::string_view Bytes) {
  auto State = decode<Earlier>(Bytes);
  if (!isOk(State))
    return std::nullopt;
  return std::move(valueOf(State).m_State);
}

} // namespace

std::uint64_t lastChange(const RoutingState &State,
                         const FailureDomain &Domain) {
  const auto Change = State.m_DomainChanges.find(Domain);
  return Change == State.m_DomainChanges.end() ? 0 : Change->second;
}

std::uint64_t lastChange(const RoutingState &State,
                         const ServiceName &Service) {
  const auto Latest = State.m_Rollouts.find(Service);
  return Latest == State.m_Rollouts.end() ? 0 : Latest->second.m_LastChange;
}

Result<RoutingState, CodecError> decodeState(std::string_view Bytes) {
  auto State = decode<RoutingState>(Bytes);
  if (isOk(State))
    return State;
  if (auto Earlier = decodeEarlier<StateWithoutRollouts>(Bytes))
    return std::move(*Earlier);
  if (auto Earlier = decodeEarlier<StateWithoutDomainChanges>(Bytes))
    return std::move(*Earlier);
  return State;
}

RoutingCommandOutcome applyCommand(RoutingState &State,
                                   const RoutingCommand &Command) {
  return std::visit([&](const auto &Payload) { return apply(State, Payload); },
                    Command);
}

} // namespace ragwortdrift
