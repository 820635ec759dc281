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

/// A group of log events that report one kind of process state. The last event
/// of each group before a line of the request is printed with that line.
struct StateEventGroup {
  std::vector<std::string_view> m_Events;
  /// The field that identifies the subject of the state, so that the last event
  /// is kept for each of its values; empty if the group has a single state.
  std::string_view m_KeyField;
};

constexpr std::string_view LeafField = "leaf";

const std::vector<StateEventGroup> &stateEventGroups() {
  static const std::vector<StateEventGroup> Groups = {
      {{"process.started", "process.stopping"}, ""},
      {{"routes.in_force", "routes.held"}, ""},
      {{"vm.isolated", "vm.rejoined"}, ""},
      {{"state.taken"}, ""},
      {{"core.connected", "core.lost"}, "core"},
      {{"core.source"}, ""},
      {{"leaf.unverified", "leaf.probed"}, LeafField},
      {{"leaf.estimated"}, LeafField},
  };
  return Groups;
}

struct MatchedLine {
  LogLine m_Line;
  std::string m_File;
  std::vector<std::string> m_ProcessState;
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

/// Removes the value at the front of Remaining and returns it. The value is
/// quoted or ends at a space.
std::string consumeValue(std::string_view &Remaining) {
  if (!Remaining.starts_with('"')) {
    const auto End = std::min(Remaining.find(' '), Remaining.size());
    std::string Out(Remaining.substr(0, End));
    Remaining.remove_prefix(End);
    return Out;
  }
  std::size_t End = 1;
  while (End < Remaining.size() && Remaining[End] != '"')
    End += Remaining[End] == '\\' ? 2 : 1;
  End = std::min(End + 1, Remaining.size());
  boost::system::error_code Error;
  const json::value Quoted =
      json::parse(json::string_view(Remaining.data(), End), Error);
  std::string Out = !Error && Quoted.is_string()
                        ? std::string(Quoted.get_string())
                        : std::string(Remaining.substr(0, End));
  Remaining.remove_prefix(End);
  return Out;
}

/// True if Text contains Name as a whole, not as a part of a longer name.
bool containsName(std::string_view Text, std::string_view Name) {
  constexpr std::string_view NameCharacters =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  const auto IsPartOfName = [&](std::size_t Position) {
    return Position < Text.size() &&
           NameCharacters.find(Text[Position]) != std::string_view::npos;
  };
  for (auto Position = Text.find(Name); Position != std::string_view::npos;
       Position = Text.find(Name, Position + 1))
    if (!IsPartOfName(Position + Name.size()) &&
        (Position == 0 || !IsPartOfName(Position - 1)))
      return true;
  return false;
}

/// True if a state event is relevant to a line of the request. The state of a
/// leaf is relevant only to lines that name the leaf.
bool isRelevant(const StateEventGroup &Group, const std::string &KeyValue,
                const LogLine &Line) {
  return Group.m_KeyField != LeafField || containsName(Line.m_Text, KeyValue);
}

void collectMatches(const std::string &File, const std::string &Id,
                    const std::string &Bytes, std::vector<MatchedLine> &Out) {
  using Key = std::pair<const StateEventGroup *, std::string>;
  std::map<Key, LogLine> LatestStates;
  std::istringstream Lines(Bytes);
  for (std::string Text; std::getline(Lines, Text);) {
    auto Line = parseLogLine(Text);
    if (!Line)
      continue;
    const std::string Event = Line->field("event");
    // A new process does not inherit the state of its predecessor.
    if (Event == "process.started")
      LatestStates.clear();
    for (const StateEventGroup &Group : stateEventGroups())
      if (std::find(Group.m_Events.begin(), Group.m_Events.end(), Event) !=
          Group.m_Events.end())
        LatestStates[{&Group, Line->field(std::string(Group.m_KeyField))}] =
            *Line;
    const bool HasRequestId =
        std::any_of(Line->m_Fields.begin(), Line->m_Fields.end(),
                    [&](const auto &Field) { return Field.second == Id; });
    if (!HasRequestId)
      continue;
    MatchedLine Matched{std::move(*Line), File, {}};
    for (const auto &[Group, State] : LatestStates)
      if (isRelevant(*Group.first, Group.second, Matched.m_Line))
        Matched.m_ProcessState.push_back(State.m_Text);
    Out.push_back(std::move(Matched));
  }
}

void printMatches(const std::vector<MatchedLine> &Matches, bool Json,
                  std::ostream &Out) {
  if (!Json) {
    for (const MatchedLine &Item : Matches) {
      Out << Item.m_File << ":\n";
      for (const std::string &State : Item.m_ProcessState)
        Out << "    " << State << '\n';
      Out << "  " << Item.m_Line.m_Text << '\n';
    }
    return;
  }
  json::array List;
  for (const MatchedLine &Item : Matches)
    List.push_back(
        json::object{{"file", Item.m_File},
                     {"line", Item.m_Line.m_Text},
                     {"before", json::array(Item.m_ProcessState.begin(),
                                            Item.m_ProcessState.end())}});
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
  std::string_view Remaining = Out.m_Text;
  while (!Remaining.empty()) {
    const auto EqualSign = Remaining.find('=');
    if (EqualSign == std::string_view::npos)
      break;
    const std::string Name(Remaining.substr(0, EqualSign));
    Remaining.remove_prefix(EqualSign + 1);
    Out.m_Fields[Name] = consumeValue(Remaining);
    if (Remaining.starts_with(' '))
      Remaining.remove_prefix(1);
  }
  if (!Out.m_Fields.contains("event"))
    return std::nullopt;
  return Out;
}

ExitCode explainRequest(const Options &CommandLine, std::ostream &Out,
                        std::ostream &Err) {
  const std::string &Id = CommandLine.m_Args.front();
  std::vector<MatchedLine> Matches;
  for (std::size_t I = 1; I < CommandLine.m_Args.size(); ++I) {
    const auto Bytes = readFile(CommandLine.m_Args[I]);
    if (!Bytes) {
      Err << CommandLine.m_Args[I] << ": cannot be read\n";
      return ExitCode::Refused;
    }
    collectMatches(CommandLine.m_Args[I], Id, *Bytes, Matches);
  }
  if (Matches.empty()) {
    Err << "no log line of request " << Id << " in these files\n";
    return ExitCode::Refused;
  }
  std::stable_sort(Matches.begin(), Matches.end(),
                   [](const MatchedLine &A, const MatchedLine &B) {
                     return A.m_Line.field("time") < B.m_Line.field("time");
                   });
  printMatches(Matches, CommandLine.m_Json, Out);
  return ExitCode::Ok;
}

} // namespace ragwortdrift::ctl
