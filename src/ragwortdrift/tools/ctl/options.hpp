#ifndef RAGWORTDRIFT_TOOLS_CTL_OPTIONS_HPP
#define RAGWORTDRIFT_TOOLS_CTL_OPTIONS_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/config/settings.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwortdrift::ctl {

/// Exit codes of ragwortdriftctl.
enum class ExitCode {
  Ok = 0,
  /// The request or the file is invalid, or the deployment refused the request.
  Refused = 1,
  Usage = 2,
  /// The base revision is not the one in force.
  Conflict = 3,
  /// No server could be reached, or none knows a leader with a quorum. Nothing
  /// was changed.
  Unavailable = 4,
  /// The change may or may not have been made.
  OutcomeUnknown = 5,
  /// The revision was not in force on all servers before the time-out.
  TimedOut = 6
};

enum class CommandName {
  Check,
  Submit,
  Diff,
  Status,
  Wait,
  Domain,
  Leaf,
  Voter,
  Customer,
  Snapshot,
  Explain
};

/// A parsed and validated command line.
struct Options {
  CommandName m_Command{};
  /// Positional arguments after the command name.
  std::vector<std::string> m_Args;
  std::vector<Endpoint> m_Servers;
  /// The value of --server as given, for the commands that messages suggest.
  std::string m_ServerText;
  bool m_Json = false;
  bool m_CheckSettings = false;
  std::chrono::milliseconds m_Timeout{10'000};
  std::string m_Manifest;
  std::optional<std::uint64_t> m_Base;
  std::string m_SubmitId;
  /// The revision that `wait` waits for.
  std::uint64_t m_Revision = 0;
};

/// The text to print for --help.
struct HelpText {
  std::string m_Text;
};

enum class UsageErrorCode {
  NoCommand,
  UnknownCommand,
  BadOption,
  OptionNotAllowed,
  BadArguments,
  MissingOption
};
struct UsageError {
  UsageErrorCode m_Code{};
  std::string m_Detail;
};

/// Parses and validates Args, which exclude the program name.
std::variant<Options, HelpText, UsageError>
parseOptions(const std::vector<std::string> &Args);

} // namespace ragwortdrift::ctl

#endif
