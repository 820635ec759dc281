#include "ragwortdrift/consensus/replicated_log.hpp"

namespace ragwortdrift {

namespace detail {

StoreId chooseNewStoreId(StoreId Requested) {
  std::random_device Device;
  while (Requested.m_Value == 0)
    Requested.m_Value = (std::uint64_t{Device()} << 32) | Device();
  return Requested;
}

RaftOptions raftOptions(const ReplicatedLogOptions &Options) {
  RaftOptions Output;
  Output.m_HeartbeatTicks =
      static_cast<unsigned>(Options.m_Heartbeat / Options.m_TickInterval);
  Output.m_ElectionTicksMin = static_cast<unsigned>(
      Options.m_ElectionTimeoutMin / Options.m_TickInterval);
  Output.m_ElectionTicksMax = static_cast<unsigned>(
      Options.m_ElectionTimeoutMax / Options.m_TickInterval);
  Output.m_FirstElectionTicksMax = static_cast<unsigned>(
      Options.m_FirstElectionTimeoutMax / Options.m_TickInterval);
  Output.m_MaxMessageBytes = Options.m_MaxMessageBytes;
  Output.m_TrailingEntries = Options.m_TrailingEntries;
  Output.m_TrailingBytes = Options.m_TrailingBytes;
  return Output;
}

} // namespace detail

template class BasicLogStore<PosixFiles>;
template class BasicReplicatedLog<PosixFiles>;

} // namespace ragwortdrift
