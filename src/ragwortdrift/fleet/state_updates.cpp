#include "ragwortdrift/fleet/state_updates.hpp"

namespace ragwortdrift {

namespace {

/// Bounds on the recent configurations. A watcher that misses more changes than
/// this while it reconnects receives the whole state.
constexpr std::size_t MaxRecentConfigs = 8;
constexpr std::size_t MaxRecentBytes = std::size_t{2} << 20;

} // namespace

void StateUpdates::record(const RoutingState &State) {
  m_Messages.clear();
  if (!m_RecentConfigs.empty() &&
      m_RecentConfigs.back().m_Config.m_Version == State.m_Config.m_Version)
    m_RecentConfigs.back().m_LastRevision = State.m_Revision;
  else
    m_RecentConfigs.push_back(
        {State.m_Revision, State.m_Revision, State.m_Config});
  std::size_t Bytes = 0;
  for (const RecentConfig &Recent : m_RecentConfigs)
    Bytes += Recent.m_Config.m_Text.size();
  while (m_RecentConfigs.size() > MaxRecentConfigs || Bytes > MaxRecentBytes) {
    Bytes -= m_RecentConfigs.front().m_Config.m_Text.size();
    m_RecentConfigs.pop_front();
  }
}

void StateUpdates::clear() {
  m_RecentConfigs.clear();
  m_Messages.clear();
}

const StateUpdates::RecentConfig *
StateUpdates::findConfig(std::uint64_t Revision) const {
  for (const RecentConfig &Recent : m_RecentConfigs)
    if (Recent.m_FirstRevision <= Revision &&
        Revision <= Recent.m_LastRevision && Recent.m_Config.m_Version != 0)
      return &Recent;
  return nullptr;
}

StateUpdates::SharedMessage StateUpdates::message(const RoutingState &State,
                                                  std::uint64_t Revision) {
  const RecentConfig *Base = findConfig(Revision);
  SharedMessage &Message =
      m_Messages[Base ? Base->m_Config.m_Version : std::uint64_t{0}];
  if (Message)
    return Message;
  StateUpdate Update{State.m_Revision,   State.m_DomainsOut,
                     State.m_EntryCount, State.m_Config.m_Version,
                     std::string(),      State.m_Rollouts};
  if (Base) {
    Update.m_Config =
        makeTextDelta(Base->m_Config.m_Text, State.m_Config.m_Text);
    Message = std::make_shared<const std::string>(encode(WatchMessage(Update)));
    // A delta between unrelated texts may be larger than the text.
    if (Message->size() > State.m_Config.m_Text.size())
      Message = message(State, 0);
    return Message;
  }
  Update.m_Config = State.m_Config.m_Text;
  Message = std::make_shared<const std::string>(encode(WatchMessage(Update)));
  return Message;
}

std::size_t StateUpdates::bytes() const {
  std::size_t Bytes = 0;
  for (const RecentConfig &Recent : m_RecentConfigs)
    Bytes += Recent.m_Config.m_Text.size();
  for (const auto &[Version, Message] : m_Messages)
    Bytes += Message ? Message->size() : 0;
  return Bytes;
}

Result<RoutingState, TextDeltaErrorCode> applyUpdate(const ConfigText &Base,
                                                     StateUpdate Update) {
  RoutingState State{Update.m_Revision,
                     {Update.m_ConfigVersion, {}},
                     std::move(Update.m_DomainsOut),
                     Update.m_EntryCount,
                     {},
                     std::move(Update.m_Rollouts)};
  if (auto *Text = std::get_if<std::string>(&Update.m_Config)) {
    State.m_Config.m_Text = std::move(*Text);
    return State;
  }
  auto Applied = applyTextDelta(
      Base.m_Text, std::get<TextDelta>(Update.m_Config), MaxPeerMessageBytes);
  if (!isOk(Applied))
    return errorOf(Applied);
  State.m_Config.m_Text = valueOf(std::move(Applied));
  return State;
}

} // namespace ragwortdrift
