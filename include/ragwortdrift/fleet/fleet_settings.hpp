#ifndef RAGWORTDRIFT_FLEET_FLEET_SETTINGS_HPP
#define RAGWORTDRIFT_FLEET_FLEET_SETTINGS_HPP

#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/config/settings.hpp"

namespace ragwortdrift {

/// The checked settings of a VM of the direct query path. A key that a role
/// does not need is not read by it.
struct FleetSettings {
  VmId m_Vm;
  FailureDomain m_Domain;
  std::vector<FailureDomain> m_Domains;
  /// Entry VM: callers' and readiness address.
  std::optional<Endpoint> m_Callers;
  std::optional<Endpoint> m_Ready;
  /// Core VM: operators' address.
  std::optional<Endpoint> m_Operators;
  /// Core VM: address for peer streams.
  Endpoint m_Peers;
  std::optional<Endpoint> m_Metrics;
  /// Peer addresses of core VMs, to find the others by.
  std::vector<Endpoint> m_Cores;
  /// Whether core VMs take peer streams on the same port as this VM, whatever
  /// port their listed addresses have.
  bool m_OwnPort = false;
  PeerKey m_Key{};
  /// Core VM: data folder.
  std::optional<std::filesystem::path> m_Folder;
  /// Core VM: whether the listed core VMs form a new cluster.
  bool m_Form = false;
  /// Where the list of leafs is read.
  Endpoint m_LeafList;
  /// Calls a second that the list accepts from all VMs together.
  double m_LeafListRate = 10;
  double m_RepeatRatio = 0.2;
  double m_RepeatSlack = 50;
  Duration m_RepeatWindow = std::chrono::seconds(10);
  /// Time from SIGTERM until the process must have ended.
  Duration m_StopTime = std::chrono::seconds(6);
  LogSeverity m_LogLevel = LogSeverity::Info;
};

/// Parses and checks settings (INI). Keys and sections that are not known are
/// left out. On failure every fault is returned.
Result<FleetSettings, std::vector<ConfigError>>
parseFleetSettings(std::string_view Text);

} // namespace ragwortdrift

#endif
