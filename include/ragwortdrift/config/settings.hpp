#ifndef RAGWORTDRIFT_CONFIG_SETTINGS_HPP
#define RAGWORTDRIFT_CONFIG_SETTINGS_HPP

#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/config/manifest.hpp"

#include <array>
#include <filesystem>
#include <optional>

namespace ragwortdrift {

/// The 256-bit key that the VMs of a deployment share.
using PeerKey = std::array<unsigned char, 32>;

/// A voter in the initial configuration of the replicated log.
struct BootstrapVoter {
  VmId m_Id;
  Endpoint m_Control;
};

enum class LogLevel { Debug, Info, Warning, Error };
template <> struct EnumNames<LogLevel> {
  static constexpr std::array Entries{
      EnumName<LogLevel>{LogLevel::Debug, "debug"},
      EnumName<LogLevel>{LogLevel::Info, "info"},
      EnumName<LogLevel>{LogLevel::Warning, "warning"},
      EnumName<LogLevel>{LogLevel::Error, "error"}};
};

enum class LogFormat { Text, Json };
template <> struct EnumNames<LogFormat> {
  static constexpr std::array Entries{
      EnumName<LogFormat>{LogFormat::Text, "text"},
      EnumName<LogFormat>{LogFormat::Json, "json"}};
};

/// Returns the folder of the state charts in the source tree.
std::filesystem::path defaultChartFolder();

/// The validated settings of a daemon.
struct Settings {
  VmId m_Vm;
  FailureDomain m_Domain;
  std::optional<std::filesystem::path> m_IncarnationFile;
  Endpoint m_Caller;
  Endpoint m_Admin;
  Endpoint m_Control;
  Endpoint m_Relay;
  std::vector<Endpoint> m_Seeds;
  PeerKey m_Key{};
  /// The data folder; not set on a VM without a disk.
  std::optional<std::filesystem::path> m_Folder;
  std::vector<BootstrapVoter> m_Bootstrap;
  unsigned m_TrafficThreads = 1;
  LogLevel m_LogLevel = LogLevel::Info;
  LogFormat m_LogFormat = LogFormat::Text;
  std::optional<std::filesystem::path> m_LogFile;
  std::filesystem::path m_ChartFolder = defaultChartFolder();
};

/// Parses and validates the settings of a daemon (INI). On failure returns all
/// errors.
Result<Settings, std::vector<ConfigError>> parseSettings(std::string_view Text);

/// Parses "ip:port"; IPv6 addresses must be in brackets.
std::optional<Endpoint> parseEndpoint(std::string_view Text);
std::string formatEndpoint(const Endpoint &Address);

} // namespace ragwortdrift

#endif
