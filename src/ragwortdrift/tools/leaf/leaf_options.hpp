#ifndef RAGWORTDRIFT_TOOLS_LEAF_LEAF_OPTIONS_HPP
#define RAGWORTDRIFT_TOOLS_LEAF_LEAF_OPTIONS_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/result.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift::tools {

enum class OptionErrorCode { Unreadable, UnknownKey, BadValue, MissingKey };
} // namespace ragwortdrift::tools
template <>
struct ragwortdrift::EnumNames<ragwortdrift::tools::OptionErrorCode> {
  using Code = ragwortdrift::tools::OptionErrorCode;
  static constexpr std::array Entries{
      EnumName<Code>{Code::Unreadable, "unreadable"},
      EnumName<Code>{Code::UnknownKey, "unknown_key"},
      EnumName<Code>{Code::BadValue, "bad_value"},
      EnumName<Code>{Code::MissingKey, "missing_key"}};
};
namespace ragwortdrift::tools {

/// An error in a settings file, a manifest, a control message or a command-line
/// option.
struct OptionError {
  OptionErrorCode m_Code{};
  std::string m_Section;
  std::string m_Key;
  std::string m_Detail;
};

/// Formats an error as one line of text.
std::string describe(const OptionError &Error);

/// Status that `/health` reports: the actual state (Honest) or a fixed value.
enum class HealthMode { Honest, AlwaysOk, AlwaysDown };
} // namespace ragwortdrift::tools
template <> struct ragwortdrift::EnumNames<ragwortdrift::tools::HealthMode> {
  using Mode = ragwortdrift::tools::HealthMode;
  static constexpr std::array Entries{EnumName<Mode>{Mode::Honest, "honest"},
                                      EnumName<Mode>{Mode::AlwaysOk, "ok"},
                                      EnumName<Mode>{Mode::AlwaysDown, "down"}};
};
namespace ragwortdrift::tools {

/// Settings of one stand-in leaf. The keys in INI files and control messages
/// are those of optionKeys().
struct LeafOptions {
  std::string m_Name;
  std::string m_Service;
  std::string m_Group;
  std::string m_Domain;
  boost::asio::ip::tcp::endpoint m_Address;

  std::uint64_t m_Slots = 2;
  /// Capacity of the queue for a slot; further requests are shed.
  std::uint64_t m_Queue = 4;
  std::uint64_t m_Connections = 25;
  double m_ConnectionCostMs = 1;
  double m_ServiceMs = 5;
  /// Standard deviation of the logarithm of the service time.
  double m_Sigma = 0.3;
  double m_StragglerFraction = 0;
  double m_StragglerFactor = 20;
  double m_SlowFactor = 1;
  double m_ColdFraction = 0.1;
  /// Capacity of the warm leaf in requests/s; 0 selects slots x 1000 /
  /// service_ms.
  double m_Rate = 0;
  /// Number of requests after which a cold leaf is warm; 0 selects the requests
  /// of one second at rate().
  std::uint64_t m_WarmRequests = 0;
  std::vector<std::uint64_t> m_Snapshots{1};
  /// Time for which a leaving leaf still accepts new requests.
  double m_LeaveGraceMs = 3000;
  HealthMode m_Health = HealthMode::Honest;
  double m_HealthLagMs = 0;
  double m_LoadLagMs = 0;
  /// Load that `/load` reports instead of the actual load; a negative value
  /// selects the actual load.
  double m_LoadReported = -1;
  double m_DelayMs = 0;

  double rate() const {
    return m_Rate > 0 ? m_Rate
                      : static_cast<double>(m_Slots) * 1000 / m_ServiceMs;
  }
  double warmRequests() const {
    return m_WarmRequests > 0 ? static_cast<double>(m_WarmRequests) : rate();
  }
};

/// Returns the keys that setOption() accepts, in a fixed order.
std::vector<std::string_view> optionKeys();

/// Sets one option. Lists are given as JSON arrays or as comma-separated text.
Result<Done, OptionError> setOption(LeafOptions &Options, std::string_view Key,
                                    const boost::json::value &Value);

/// Parses "ip:port".
Result<boost::asio::ip::tcp::endpoint, OptionError>
parseAddress(std::string_view Text);

/// Reads the leafs of an INI file: one section `[leaf NAME]` for each leaf, and
/// `[defaults]` with options that apply to all of them.
Result<std::vector<LeafOptions>, OptionError>
readLeafFile(const std::string &Path);

/// Reads the leafs of a manifest, restricted to one failure domain unless
/// Domain is empty. Options in Overrides take precedence over those of the
/// manifest.
Result<std::vector<LeafOptions>, OptionError>
readManifestLeafs(const std::string &Path, std::string_view Domain,
                  const boost::json::object &Overrides);

} // namespace ragwortdrift::tools

#endif
