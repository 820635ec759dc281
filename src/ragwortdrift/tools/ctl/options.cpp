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
  /// What each positional argument accepts; see accepts().
  std::vector<std::string_view> m_Args;
  std::string_view m_Usage;
  std::string_view m_Help;
  /// Options beside --json and --help.
  std::vector<std::string_view> m_Options;
};

const std::vector<CommandSpec> &specs() {
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
       "Submits a manifest. With --base it is accepted only while that "
       "revision "
       "is in force. The same submit id never takes effect twice.",
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
       "Shows what one VM knows of the deployment.",
       {"server", "timeout"}},
      {"wait",
       CommandName::Wait,
       {""},
       "wait REVISION",
       "Waits until every server named has the revision or a later one.",
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
       "Adds a VM to the voters or removes it, one at a time.",
       {"server", "timeout"}},
      {"customer",
       CommandName::Customer,
       {"show", ""},
       "customer show NAME",
       "Shows a customer's settings, also after its removal.",
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
       "in order of time, each after what its process believed then.",
       {}},
  };
  return Specs;
}

po::options_description describeOptions() {
  po::options_description All("Options");
  All.add_options()("help", "print this text")(
      "server", po::value<std::string>()->value_name("IP:PORT[,IP:PORT...]"),
      "admin addresses of VMs, in the order in which they are tried")(
      "json", "print results as JSON")(
      "timeout", po::value<std::string>()->value_name("SECONDS"),
      "time for the whole command, 0.1 to 3600, default 10")(
      "manifest", po::value<std::string>()->value_name("FILE"),
      "the manifest to submit")(
      "base", po::value<std::string>()->value_name("REVISION"),
      "the revision that the manifest was made from")(
      "submit-id", po::value<std::string>()->value_name("ID"),
      "1 to 64 visible characters; generated and printed when left out")(
      "settings", "the file holds the settings of a daemon");
  return All;
}

constexpr std::string_view ExitCodes =
    "Exit codes: 0 done, 1 refused or faulty, 2 wrong usage, 3 conflict with "
    "another\nrevision, 4 no quorum or no server reached (nothing changed), 5 "
    "outcome unknown,\n6 timed out.\n";

HelpText generalHelp() {
  std::ostringstream Out;
  Out << "Usage: ragwortdriftctl COMMAND [options]\n\nCommands:\n";
  for (const CommandSpec &Spec : specs())
    Out << "  " << Spec.m_Usage << "\n      " << Spec.m_Help << "\n";
  Out << '\n' << describeOptions() << '\n' << ExitCodes;
  return {Out.str()};
}

HelpText helpOf(const CommandSpec &Spec) {
  std::ostringstream Out;
  Out << "Usage: ragwortdriftctl " << Spec.m_Usage << "\n\n"
      << Spec.m_Help << "\n\n";
  const po::options_description All = describeOptions();
  po::options_description Own("Options");
  for (const auto &Option : All.options())
    if (const std::string &Name = Option->long_name();
        Name == "json" || Name == "help" ||
        std::find(Spec.m_Options.begin(), Spec.m_Options.end(), Name) !=
            Spec.m_Options.end())
      Own.add(Option);
  Out << Own << '\n' << ExitCodes;
  return {Out.str()};
}

std::optional<std::uint64_t> parseRevision(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [Stop, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || Stop != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::optional<std::chrono::milliseconds> parseTimeout(std::string_view Text) {
  double Seconds = 0;
  const auto [Stop, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  if (Error != std::errc{} || Stop != Text.data() + Text.size() ||
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

bool isVisible(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64 &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > 0x20 && C < 0x7f; });
}

bool isName(std::string_view Text) {
  return isVisible(Text) &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '.' || C == '_' || C == '-';
         });
}

/// True when Word is one of the words in Accepted ("a|b"), a name when Accepted
/// is empty, or any text when it is "*" or "+".
bool accepts(std::string_view Accepted, const std::string &Word) {
  if (Accepted == "*" || Accepted == "+")
    return !Word.empty();
  if (Accepted.empty())
    return isName(Word);
  return ("|" + std::string(Accepted) + "|").find("|" + Word + "|") !=
         std::string::npos;
}

std::optional<UsageError> checkArgs(const CommandSpec &Spec,
                                    const std::vector<std::string> &Args) {
  // The last argument may be given more than once.
  const bool Repeats = !Spec.m_Args.empty() && Spec.m_Args.back() == "+";
  bool Fits = Args.size() == Spec.m_Args.size() ||
              (Repeats && Args.size() > Spec.m_Args.size());
  for (std::size_t I = 0; Fits && I < Args.size(); ++I)
    Fits = accepts(Spec.m_Args[std::min(I, Spec.m_Args.size() - 1)], Args[I]);
  if (Fits)
    return std::nullopt;
  return UsageError{UsageErrorCode::BadArguments,
                    "usage: ragwortdriftctl " + std::string(Spec.m_Usage)};
}

std::optional<UsageError> readOption(const std::string &Name,
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
    Valid = isVisible(Value);
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
                    "--" + Name + ": '" + Value + "' is not accepted"};
}

std::optional<UsageError> checkComplete(const CommandSpec &Spec, Options &Out) {
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
interpret(const po::parsed_options &Parsed) {
  std::vector<std::string> Words;
  bool Help = false;
  for (const auto &Option : Parsed.options) {
    if (Option.position_key >= 0)
      Words.insert(Words.end(), Option.value.begin(), Option.value.end());
    Help |= Option.string_key == "help";
  }
  if (Words.empty()) {
    if (Help)
      return generalHelp();
    return UsageError{UsageErrorCode::NoCommand,
                      "no command given; see ragwortdriftctl --help"};
  }
  const auto Spec = std::find_if(
      specs().begin(), specs().end(),
      [&](const CommandSpec &Spec) { return Spec.m_Name == Words.front(); });
  if (Spec == specs().end())
    return UsageError{UsageErrorCode::UnknownCommand,
                      "unknown command '" + Words.front() +
                          "'; see ragwortdriftctl --help"};
  if (Help)
    return helpOf(*Spec);
  Options Out;
  Out.m_Command = Spec->m_Command;
  Out.m_Args.assign(Words.begin() + 1, Words.end());
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
                        "--" + Name + " is not an option of '" + Words.front() +
                            "'"};
    if (auto Error = readOption(
            Name, Option.value.empty() ? "" : Option.value.front(), Out))
      return *Error;
  }
  if (auto Error = checkComplete(*Spec, Out))
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
  // Abbreviated options would change their meaning when an option is added.
  const int Style = po::command_line_style::unix_style &
                    ~po::command_line_style::allow_guessing;
  try {
    return interpret(po::command_line_parser(Args)
                         .options(All)
                         .positional(Positional)
                         .style(Style)
                         .run());
  } catch (const po::error &E) {
    return UsageError{UsageErrorCode::BadOption, E.what()};
  }
}

} // namespace ragwortdrift::ctl
