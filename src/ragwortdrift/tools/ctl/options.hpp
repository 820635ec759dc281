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

/// The exit code of ragwortdriftctl for each kind of outcome.
enum class ExitCode {
  Ok = 0,
  /// The request or the file is faulty, or the deployment refuses it.
  Refused = 1,
  Usage = 2,
  /// The base revision is not the one in force.
  Conflict = 3,
  /// No server could be reached, or none knows a leader with a quorum. Nothing
  /// was changed.
  Unavailable = 4,
  /// The change may or may not have been made.
  OutcomeUnknown = 5,
  /// A wait or a read did not finish in time.
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

/// A command line that is complete and has no faults.
struct Options {
  CommandName m_Command{};
  /// Positional arguments after the name of the command.
  std::vector<std::string> m_Args;
  std::vector<Endpoint> m_Servers;
  /// The text of --server, for messages that show a command to run.
  std::string m_ServerText;
  bool m_Json = false;
  bool m_CheckSettings = false;
  std::chrono::milliseconds m_Timeout{10'000};
  std::string m_Manifest;
  std::optional<std::uint64_t> m_Base;
  std::string m_SubmitId;
  /// The revision of `wait`.
  std::uint64_t m_Revision = 0;
};

/// --help was given: the text to print.
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

/// Parses the arguments after the program's name.
std::variant<Options, HelpText, UsageError>
parseOptions(const std::vector<std::string> &Args);

} // namespace ragwortdrift::ctl

#endif
