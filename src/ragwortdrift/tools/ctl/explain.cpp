#include "ragwortdrift/tools/ctl/explain.hpp"

#include "ragwortdrift/tools/ctl/offline.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <ostream>
#include <sstream>

namespace ragwortdrift::ctl {

namespace {

namespace json = boost::json;

/// Events that change what a process believes. Of each kind, the last one
/// before a request's line is shown.
struct BeliefKind {
  std::vector<std::string_view> m_Events;
  /// The field by which beliefs of one kind are told apart; empty for none.
  std::string_view m_Subject;
};

constexpr std::string_view LeafSubject = "leaf";

const std::vector<BeliefKind> &beliefKinds() {
  static const std::vector<BeliefKind> Kinds = {
      {{"process.started", "process.stopping"}, ""},
      {{"routes.in_force"}, ""},
      {{"vm.isolated", "vm.rejoined"}, ""},
      {{"state.taken"}, ""},
      {{"core.connected", "core.lost"}, "core"},
      {{"core.source"}, ""},
      {{"leaf.unverified", "leaf.probed"}, LeafSubject},
      {{"leaf.estimated"}, LeafSubject},
  };
  return Kinds;
}

struct Match {
  LogLine m_Line;
  std::string m_File;
  std::vector<std::string> m_Beliefs;
};

std::optional<LogLine> parseJsonLine(std::string_view Text) {
  boost::system::error_code Error;
  const json::value Value =
      json::parse(json::string_view(Text.data(), Text.size()), Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  LogLine Out;
  Out.m_Text = Text;
  for (const auto &Member : Value.get_object())
    Out.m_Fields[std::string(Member.key())] =
        Member.value().is_string() ? std::string(Member.value().get_string())
                                   : json::serialize(Member.value());
  return Out;
}

/// The value at the front of Rest, in quotes or up to a space; Rest moves on.
std::string takeValue(std::string_view &Rest) {
  if (!Rest.starts_with('"')) {
    const auto End = std::min(Rest.find(' '), Rest.size());
    std::string Out(Rest.substr(0, End));
    Rest.remove_prefix(End);
    return Out;
  }
  std::size_t End = 1;
  while (End < Rest.size() && Rest[End] != '"')
    End += Rest[End] == '\\' ? 2 : 1;
  End = std::min(End + 1, Rest.size());
  boost::system::error_code Error;
  const json::value Quoted =
      json::parse(json::string_view(Rest.data(), End), Error);
  std::string Out = !Error && Quoted.is_string()
                        ? std::string(Quoted.get_string())
                        : std::string(Rest.substr(0, End));
  Rest.remove_prefix(End);
  return Out;
}

/// Whether a belief has to do with a request's line. Of leafs, only those that
/// the line names have.
bool concerns(const BeliefKind &Kind, const std::string &Subject,
              const LogLine &Line) {
  return Kind.m_Subject != LeafSubject ||
         Line.m_Text.find(Subject) != std::string::npos;
}

void readMatches(const std::string &File, const std::string &Id,
                 const std::string &Bytes, std::vector<Match> &Out) {
  using Key = std::pair<const BeliefKind *, std::string>;
  std::map<Key, LogLine> Beliefs;
  std::istringstream Lines(Bytes);
  for (std::string Text; std::getline(Lines, Text);) {
    auto Line = parseLogLine(Text);
    if (!Line)
      continue;
    const std::string Event = Line->field("event");
    // A new process believes nothing of what its predecessor did.
    if (Event == "process.started")
      Beliefs.clear();
    for (const BeliefKind &Kind : beliefKinds())
      if (std::find(Kind.m_Events.begin(), Kind.m_Events.end(), Event) !=
          Kind.m_Events.end())
        Beliefs[{&Kind, Line->field(std::string(Kind.m_Subject))}] = *Line;
    const bool IsOfRequest =
        std::any_of(Line->m_Fields.begin(), Line->m_Fields.end(),
                    [&](const auto &Field) { return Field.second == Id; });
    if (!IsOfRequest)
      continue;
    Match Found{std::move(*Line), File, {}};
    for (const auto &[Kind, Belief] : Beliefs)
      if (concerns(*Kind.first, Kind.second, Found.m_Line))
        Found.m_Beliefs.push_back(Belief.m_Text);
    Out.push_back(std::move(Found));
  }
}

void printMatches(const std::vector<Match> &Matches, bool Json,
                  std::ostream &Out) {
  if (!Json) {
    for (const Match &Item : Matches) {
      Out << Item.m_File << ":\n";
      for (const std::string &Belief : Item.m_Beliefs)
        Out << "    " << Belief << '\n';
      Out << "  " << Item.m_Line.m_Text << '\n';
    }
    return;
  }
  json::array List;
  for (const Match &Item : Matches)
    List.push_back(json::object{
        {"file", Item.m_File},
        {"line", Item.m_Line.m_Text},
        {"before", json::array(Item.m_Beliefs.begin(), Item.m_Beliefs.end())}});
  Out << json::serialize(List) << '\n';
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view Text) {
  if (const auto Brace = Text.find("{\"time\"");
      Brace != std::string_view::npos)
    return parseJsonLine(Text.substr(Brace));
  const auto Start = Text.find("time=");
  if (Start == std::string_view::npos)
    return std::nullopt;
  LogLine Out;
  Out.m_Text = Text.substr(Start);
  std::string_view Rest = Out.m_Text;
  while (!Rest.empty()) {
    const auto Equal = Rest.find('=');
    if (Equal == std::string_view::npos)
      break;
    const std::string Name(Rest.substr(0, Equal));
    Rest.remove_prefix(Equal + 1);
    Out.m_Fields[Name] = takeValue(Rest);
    if (Rest.starts_with(' '))
      Rest.remove_prefix(1);
  }
  if (!Out.m_Fields.contains("event"))
    return std::nullopt;
  return Out;
}

ExitCode explainRequest(const Options &CommandLine, std::ostream &Out,
                        std::ostream &Err) {
  const std::string &Id = CommandLine.m_Args.front();
  std::vector<Match> Matches;
  for (std::size_t I = 1; I < CommandLine.m_Args.size(); ++I) {
    const auto Bytes = readFile(CommandLine.m_Args[I]);
    if (!Bytes) {
      Err << CommandLine.m_Args[I] << ": cannot be read\n";
      return ExitCode::Refused;
    }
    readMatches(CommandLine.m_Args[I], Id, *Bytes, Matches);
  }
  if (Matches.empty()) {
    Err << "no line of " << Id << " in these files\n";
    return ExitCode::Refused;
  }
  std::stable_sort(Matches.begin(), Matches.end(),
                   [](const Match &A, const Match &B) {
                     return A.m_Line.field("time") < B.m_Line.field("time");
                   });
  printMatches(Matches, CommandLine.m_Json, Out);
  return ExitCode::Ok;
}

} // namespace ragwortdrift::ctl
