#ifndef RAGWORTDRIFT_FLEET_FLEET_SETTINGS_HPP
#define RAGWORTDRIFT_FLEET_FLEET_SETTINGS_HPP

#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/config/settings.hpp"
#include "ragwortdrift/rollouts/exposure.hpp"

namespace ragwortdrift {

/// The validated settings of a VM. Each role reads only the keys that it needs.
struct FleetSettings {
  VmId m_Vm;
  FailureDomain m_Domain;
  std::vector<FailureDomain> m_Domains;
  /// Entry VM: addresses for callers and for readiness checks.
  std::optional<Endpoint> m_Callers;
  std::optional<Endpoint> m_Ready;
  /// Core VM: address for operators.
  std::optional<Endpoint> m_Operators;
  /// Core VM: address for peer streams.
  Endpoint m_Peers;
  std::optional<Endpoint> m_Metrics;
  /// Peer addresses used to discover the core VMs.
  std::vector<Endpoint> m_Cores;
  /// True if all core VMs listen for peer streams on the port of m_Peers, which
  /// then replaces the ports in m_Cores.
  bool m_OverrideCorePorts = false;
  PeerKey m_Key{};
  /// Core VM: data folder.
  std::optional<std::filesystem::path> m_Folder;
  /// Core VM: true if the VMs in m_Cores are the initial voters of a new
  /// cluster.
  bool m_FormCluster = false;
  /// Address of the server of the leaf list.
  Endpoint m_LeafList;
  /// Requests per second that the leaf list server accepts from all VMs
  /// together.
  double m_LeafListRate = 10;
  double m_RetryRatio = 0.2;
  double m_RetrySlack = 50;
  Duration m_RetryWindow = std::chrono::seconds(10);
  /// VMs lend each other repeats if the share of the slack of each entry VM is
  /// below this number of tokens. 0 never.
  double m_LendRepeatsBelow = 0;
  /// Absent if the deployment has no roll-outs: all listed versions are served.
  std::optional<RolloutBounds> m_RolloutBounds;
  /// Time within which an accepted configuration must be in force on all VMs.
  Duration m_ConfigPropagation{0};
  /// Bound of the requests of an account over all VMs: in any window, the
  /// requests that its rate and burst allow, times 1 + overshoot, plus the
  /// tolerance.
  Duration m_QuotaWindow = std::chrono::seconds(5);
  double m_QuotaOvershoot = 0.1;
  double m_QuotaTolerance = 20;
  /// Time after which no VM serves a key that a configuration has withdrawn.
  Duration m_KeyWithdrawal{0};
  /// True if that also holds for VMs that are cut off or were suspended.
  bool m_StrictWithdrawal = false;
  /// Maximum time from SIGTERM to the exit of the process.
  Duration m_StopTime = std::chrono::seconds(6);
  LogSeverity m_LogLevel = LogSeverity::Info;
};

/// Parses and validates settings in INI format. Unknown sections and keys are
/// ignored. On failure all errors are returned.
Result<FleetSettings, std::vector<ConfigError>>
parseFleetSettings(std::string_view Text);

} // namespace ragwortdrift

#endif
