#include "ragwortdrift/tools/ctl/options.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <sstream>

namespace ragwortdrift::ctl {

namespace {

namespace po = boost::program_options;

struct CommandSpec {
  std::string_view m_Name;
  CommandName m_Command;
  /// One pattern for each positional argument; see acceptsArgument().
  std::vector<std::string_view> m_Args;
  std::string_view m_Usage;
  std::string_view m_Help;
  /// Permitted options besides --json and --help.
  std::vector<std::string_view> m_Options;
};

const std::vector<CommandSpec> &commandSpecs() {
  static const std::vector<CommandSpec> Specs{
      {"check",
       CommandName::Check,
       {"*"},
       "check [--settings] FILE",
       "Checks a manifest, or the settings of a daemon, without a server.",
       {"settings"}},
      {"submit",
       CommandName::Submit,
       {},
       "submit --manifest FILE [--base REVISION] [--submit-id ID]",
       "Submits a manifest. With --base, it is accepted only if that "
       "revision is in force. A submit id takes effect at most once.",
       {"server", "timeout", "manifest", "base", "submit-id"}},
      {"diff",
       CommandName::Diff,
       {"*"},
       "diff FILE",
       "Shows what submitting a manifest would change.",
       {"server", "timeout"}},
      {"status",
       CommandName::Status,
       {},
       "status",
       "Shows the state of the deployment as known to one VM.",
       {"server", "timeout"}},
      {"wait",
       CommandName::Wait,
       {""},
       "wait REVISION",
       "Waits until the revision or a later one is in force on every listed "
       "server.",
       {"server", "timeout"}},
      {"domain",
       CommandName::Domain,
       {"out|in", ""},
       "domain out|in NAME",
       "Takes a failure domain out of service or returns it.",
       {"server", "timeout", "submit-id"}},
      {"leaf",
       CommandName::Leaf,
       {"drain|return", ""},
       "leaf drain|return NAME",
       "Drains a leaf or returns it to service.",
       {"server", "timeout", "submit-id"}},
      {"voter",
       CommandName::Voter,
       {"add|remove", ""},
       "voter add|remove VM",
       "Adds a VM to the voters or removes it. Only one change may be in "
       "progress at a time.",
       {"server", "timeout"}},
      {"customer",
       CommandName::Customer,
       {"show", ""},
       "customer show NAME",
       "Shows the settings of a customer, even after its removal.",
       {"server", "timeout"}},
      {"snapshot",
       CommandName::Snapshot,
       {},
       "snapshot",
       "Writes a snapshot of the replicated state on the first server.",
       {"server", "timeout"}},
      {"explain",
       CommandName::Explain,
       {"*", "+"},
       "explain ID FILE...",
       "Prints the log lines of a request from the logs of several processes "
       "by time, each preceded by the state last logged by its process.",
       {}},
  };
  return Specs;
}

po::options_description describeOptions() {
  po::options_description All("Options");
  All.add_options()("help", "print this text")(
      "server", po::value<std::string>()->value_name("IP:PORT[,IP:PORT...]"),
      "admin addresses of VMs, in the order of attempts")(
      "json", "print results as JSON")(
      "timeout", po::value<std::string>()->value_name("SECONDS"),
      "time-out of the whole command, 0.1 to 3600, default 10")(
      "manifest", po::value<std::string>()->value_name("FILE"),
      "the manifest to submit")(
      "base", po::value<std::string>()->value_name("REVISION"),
      "the revision that the manifest is based on")(
      "submit-id", po::value<std::string>()->value_name("ID"),
      "1 to 64 visible ASCII characters; generated and printed if omitted")(
      "settings", "the file contains the settings of a daemon");
  return All;
}

constexpr std::string_view ExitCodes =
    "Exit codes: 0 success, 1 refused or invalid, 2 usage error, 3 conflict "
    "with\nanother revision, 4 no quorum or no server reached (nothing "
    "changed), 5 outcome\nunknown, 6 timed out.\n";

HelpText generalHelp() {
  std::ostringstream Out;
  Out << "Usage: ragwortdriftctl COMMAND [options]\n\nCommands:\n";
  for (const CommandSpec &Spec : commandSpecs())
    Out << "  " << Spec.m_Usage << "\n      " << Spec.m_Help << "\n";
  Out << '\n' << describeOptions() << '\n' << ExitCodes;
  return {Out.str()};
}

HelpText commandHelp(const CommandSpec &Spec) {
  std::ostringstream Out;
  Out << "Usage: ragwortdriftctl " << Spec.m_Usage << "\n\n"
      << Spec.m_Help << "\n\n";
  const po::options_description All = describeOptions();
  po::options_description CommandOptions("Options");
  for (const auto &Option : All.options())
    if (const std::string &Name = Option->long_name();
        Name == "json" || Name == "help" ||
        std::find(Spec.m_Options.begin(), Spec.m_Options.end(), Name) !=
            Spec.m_Options.end())
      CommandOptions.add(Option);
  Out << CommandOptions << '\n' << ExitCodes;
  return {Out.str()};
}

std::optional<std::uint64_t> parseRevision(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::optional<std::chrono::milliseconds> parseTimeout(std::string_view Text) {
  double Seconds = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  if (Error != std::errc{} || End != Text.data() + Text.size() ||
      !(Seconds >= 0.1 && Seconds <= 3600))
    return std::nullopt;
  return std::chrono::milliseconds(static_cast<std::int64_t>(Seconds * 1000));
}

std::optional<std::vector<Endpoint>> parseServers(std::string_view Text) {
  std::vector<Endpoint> Servers;
  while (true) {
    const auto Comma = Text.find(',');
    const auto Address = parseEndpoint(Text.substr(0, Comma));
    if (!Address)
      return std::nullopt;
    Servers.push_back(*Address);
    if (Comma == std::string_view::npos)
      return Servers;
    Text.remove_prefix(Comma + 1);
  }
}

bool isVisibleToken(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64 &&
         std::all_of(Text.begin(), Text.end(),
                     [](char Char) { return Char > 0x20 && Char < 0x7f; });
}

bool isName(std::string_view Text) {
  return isVisibleToken(Text) &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Char) {
           return std::isalnum(Char) || Char == '.' || Char == '_' ||
                  Char == '-';
         });
}

/// True if Argument matches Pattern: one of several words ("a|b"), a name if
/// Pattern is empty, or any non-empty text if it is "*" or "+".
bool acceptsArgument(std::string_view Pattern, const std::string &Argument) {
  if (Pattern == "*" || Pattern == "+")
    return !Argument.empty();
  if (Pattern.empty())
    return isName(Argument);
  return ("|" + std::string(Pattern) + "|").find("|" + Argument + "|") !=
         std::string::npos;
}

std::optional<UsageError> checkArgs(const CommandSpec &Spec,
                                    const std::vector<std::string> &Args) {
  // With "+" as its pattern, the last argument may be given more than once.
  const bool IsVariadic = !Spec.m_Args.empty() && Spec.m_Args.back() == "+";
  bool Valid = Args.size() == Spec.m_Args.size() ||
               (IsVariadic && Args.size() > Spec.m_Args.size());
  for (std::size_t I = 0; Valid && I < Args.size(); ++I)
    Valid = acceptsArgument(Spec.m_Args[std::min(I, Spec.m_Args.size() - 1)],
                            Args[I]);
  if (Valid)
    return std::nullopt;
  return UsageError{UsageErrorCode::BadArguments,
                    "usage: ragwortdriftctl " + std::string(Spec.m_Usage)};
}

std::optional<UsageError> parseOption(const std::string &Name,
                                      const std::string &Value, Options &Out) {
  bool Valid = true;
  if (Name == "server") {
    const auto Servers = parseServers(Value);
    if ((Valid = Servers.has_value()))
      Out.m_Servers = *Servers;
    Out.m_ServerText = Value;
  } else if (Name == "timeout") {
    const auto Timeout = parseTimeout(Value);
    if ((Valid = Timeout.has_value()))
      Out.m_Timeout = *Timeout;
  } else if (Name == "base") {
    Out.m_Base = parseRevision(Value);
    Valid = Out.m_Base.has_value();
  } else if (Name == "submit-id") {
    Out.m_SubmitId = Value;
    Valid = isVisibleToken(Value);
  } else if (Name == "manifest") {
    Out.m_Manifest = Value;
    Valid = !Value.empty();
  } else if (Name == "json") {
    Out.m_Json = true;
  } else if (Name == "settings") {
    Out.m_CheckSettings = true;
  }
  if (Valid)
    return std::nullopt;
  return UsageError{UsageErrorCode::BadOption,
                    "--" + Name + ": invalid value '" + Value + "'"};
}

std::optional<UsageError> checkRequired(const CommandSpec &Spec, Options &Out) {
  const bool IsOffline = Out.m_Command == CommandName::Check ||
                         Out.m_Command == CommandName::Explain;
  if (Out.m_Servers.empty() && !IsOffline)
    return UsageError{UsageErrorCode::MissingOption, "--server is required"};
  if (Out.m_Manifest.empty() && Out.m_Command == CommandName::Submit)
    return UsageError{UsageErrorCode::MissingOption, "--manifest is required"};
  if (Out.m_Command == CommandName::Wait) {
    const auto Revision = parseRevision(Out.m_Args.front());
    if (!Revision)
      return UsageError{UsageErrorCode::BadArguments,
                        "usage: ragwortdriftctl " + std::string(Spec.m_Usage)};
    Out.m_Revision = *Revision;
  }
  return std::nullopt;
}

std::variant<Options, HelpText, UsageError>
buildOptions(const po::parsed_options &Parsed) {
  std::vector<std::string> Positionals;
  bool HelpRequested = false;
  for (const auto &Option : Parsed.options) {
    if (Option.position_key >= 0)
      Positionals.insert(Positionals.end(), Option.value.begin(),
                         Option.value.end());
    HelpRequested |= Option.string_key == "help";
  }
  if (Positionals.empty()) {
    if (HelpRequested)
      return generalHelp();
    return UsageError{UsageErrorCode::NoCommand,
                      "no command given; see ragwortdriftctl --help"};
  }
  const auto Spec = std::find_if(commandSpecs().begin(), commandSpecs().end(),
                                 [&](const CommandSpec &Spec) {
                                   return Spec.m_Name == Positionals.front();
                                 });
  if (Spec == commandSpecs().end())
    return UsageError{UsageErrorCode::UnknownCommand,
                      "unknown command '" + Positionals.front() +
                          "'; see ragwortdriftctl --help"};
  if (HelpRequested)
    return commandHelp(*Spec);
  Options Out;
  Out.m_Command = Spec->m_Command;
  Out.m_Args.assign(Positionals.begin() + 1, Positionals.end());
  if (auto Error = checkArgs(*Spec, Out.m_Args))
    return *Error;
  for (const auto &Option : Parsed.options) {
    if (Option.position_key >= 0)
      continue;
    const std::string &Name = Option.string_key;
    if (Name != "json" &&
        std::find(Spec->m_Options.begin(), Spec->m_Options.end(), Name) ==
            Spec->m_Options.end())
      return UsageError{UsageErrorCode::OptionNotAllowed,
                        "--" + Name + " is not an option of '" +
                            Positionals.front() + "'"};
    if (auto Error = parseOption(
            Name, Option.value.empty() ? "" : Option.value.front(), Out))
      return *Error;
  }
  if (auto Error = checkRequired(*Spec, Out))
    return *Error;
  return Out;
}

} // namespace

std::variant<Options, HelpText, UsageError>
parseOptions(const std::vector<std::string> &Args) {
  po::options_description All = describeOptions();
  All.add_options()("word", po::value<std::vector<std::string>>());
  po::positional_options_description Positional;
  Positional.add("word", -1);
  // An abbreviated option could change its meaning when an option is added.
  const int StyleFlags = po::command_line_style::unix_style &
                         ~po::command_line_style::allow_guessing;
  try {
    return buildOptions(po::command_line_parser(Args)
                            .options(All)
                            .positional(Positional)
                            .style(StyleFlags)
                            .run());
  } catch (const po::error &Error) {
    return UsageError{UsageErrorCode::BadOption, Error.what()};
  }
}

} // namespace ragwortdrift::ctl
