#include "ragwortdrift/consensus/replicated_log.hpp"

namespace ragwortdrift {

namespace detail {

StoreId freshStoreId(StoreId Wanted) {
  std::random_device Device;
  while (Wanted.m_Value == 0)
    Wanted.m_Value = (std::uint64_t{Device()} << 32) | Device();
  return Wanted;
}

CoreOptions coreOptions(const ReplicatedLogOptions &Options) {
  CoreOptions Out;
  Out.m_HeartbeatTicks =
      static_cast<unsigned>(Options.m_Heartbeat / Options.m_Tick);
  Out.m_ElectionTicksMin =
      static_cast<unsigned>(Options.m_ElectionTimeoutMin / Options.m_Tick);
  Out.m_ElectionTicksMax =
      static_cast<unsigned>(Options.m_ElectionTimeoutMax / Options.m_Tick);
  Out.m_FirstElectionTicksMax =
      static_cast<unsigned>(Options.m_FirstElectionTimeoutMax / Options.m_Tick);
  Out.m_MaxMessageBytes = Options.m_MaxMessageBytes;
  Out.m_TrailingEntries = Options.m_TrailingEntries;
  return Out;
}

} // namespace detail

template class BasicLogStore<PosixFiles>;
template class BasicReplicatedLog<PosixFiles>;

} // namespace ragwortdrift
