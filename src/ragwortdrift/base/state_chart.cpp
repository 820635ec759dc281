#include "ragwortdrift/base/state_chart.hpp"

#include <fstream>
#include <iterator>

namespace ragwortdrift {
namespace {

std::string_view trim(std::string_view Text) {
  const auto First = Text.find_first_not_of(" \t\r");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t\r") - First + 1);
}

struct IniEntry {
  std::size_t m_Line = 0;
  std::string m_Key;
  std::string m_Value;
};

struct IniSection {
  std::size_t m_Line = 0;
  std::string m_Name;
  std::vector<IniEntry> m_Entries;
};

/// Returns the sections in the order of the text. Repeated sections and keys
/// are kept, so that the caller can report them.
std::vector<IniSection> readIni(std::string_view Text,
                                std::vector<ChartError> &Errors) {
  std::vector<IniSection> Sections;
  std::size_t LineNumber = 0;
  while (!Text.empty()) {
    const auto End = std::min(Text.find('\n'), Text.size());
    const auto Line = trim(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
    ++LineNumber;
    if (Line.empty() || Line.front() == ';' || Line.front() == '#')
      continue;
    const auto Equals = Line.find('=');
    if (Line.front() == '[' && Line.back() == ']') {
      Sections.push_back(
          {LineNumber, std::string(trim(Line.substr(1, Line.size() - 2))), {}});
    } else if (Equals != std::string_view::npos && !Sections.empty()) {
      Sections.back().m_Entries.push_back(
          {LineNumber, std::string(trim(Line.substr(0, Equals))),
           std::string(trim(Line.substr(Equals + 1)))});
    } else {
      Errors.push_back({ChartErrorCode::Syntax, LineNumber,
                        Sections.empty() ? "" : Sections.back().m_Name,
                        std::string(Line)});
    }
  }
  return Sections;
}

std::vector<std::string> splitList(std::string_view Text) {
  std::vector<std::string> Items;
  while (true) {
    const auto Comma = std::min(Text.find(','), Text.size());
    if (const auto Item = trim(Text.substr(0, Comma)); !Item.empty())
      Items.emplace_back(Item);
    if (Comma == Text.size())
      return Items;
    Text.remove_prefix(Comma + 1);
  }
}

std::optional<StateChart::Index> indexOf(const std::vector<std::string> &Names,
                                         std::string_view Name) {
  const auto It = std::find(Names.begin(), Names.end(), Name);
  if (It == Names.end())
    return std::nullopt;
  return static_cast<StateChart::Index>(It - Names.begin());
}

constexpr std::string_view StatePrefix = "state ";
constexpr std::size_t MaxNames = 255;

} // namespace

std::string describe(const ChartError &Error) {
  return "line " + std::to_string(Error.m_Line) + " [" + Error.m_Section +
         "] " + Error.m_Key + ": " + std::string(nameOf(Error.m_Code));
}

Result<StateChart, std::vector<ChartError>>
StateChart::parse(std::string_view Text) {
  std::vector<ChartError> Errors;
  const auto Sections = readIni(Text, Errors);
  StateChart Chart;
  std::string Start;
  std::size_t StartLine = 0;
  bool HasChartSection = false;
  std::vector<const IniSection *> StateSections;
  for (const auto &Section : Sections) {
    if (Section.m_Name == "chart") {
      if (HasChartSection)
        Errors.push_back(
            {ChartErrorCode::DuplicateKey, Section.m_Line, Section.m_Name, ""});
      HasChartSection = true;
      for (const auto &[Line, Key, Value] : Section.m_Entries) {
        if ((Key == "start" && StartLine != 0) ||
            (Key == "events" && !Chart.m_Events.empty())) {
          Errors.push_back({ChartErrorCode::DuplicateKey, Line, "chart", Key});
          continue;
        }
        if (Key == "start") {
          Start = Value;
          StartLine = Line;
        } else if (Key == "events") {
          for (auto &Event : splitList(Value))
            if (indexOf(Chart.m_Events, Event))
              Errors.push_back(
                  {ChartErrorCode::DuplicateEvent, Line, "chart", Event});
            else
              Chart.m_Events.push_back(std::move(Event));
        } else {
          Errors.push_back({ChartErrorCode::UnknownKey, Line, "chart", Key});
        }
      }
    } else if (Section.m_Name.starts_with(StatePrefix)) {
      std::string Name(trim(Section.m_Name).substr(StatePrefix.size()));
      if (indexOf(Chart.m_States, Name)) {
        Errors.push_back({ChartErrorCode::DuplicateState, Section.m_Line,
                          Section.m_Name, ""});
        continue;
      }
      Chart.m_States.push_back(std::move(Name));
      StateSections.push_back(&Section);
    } else {
      Errors.push_back(
          {ChartErrorCode::UnknownSection, Section.m_Line, Section.m_Name, ""});
    }
  }
  if (Chart.m_Events.empty())
    Errors.push_back({ChartErrorCode::MissingEvents, 0, "chart", "events"});
  if (Chart.m_States.size() > MaxNames || Chart.m_Events.size() > MaxNames)
    Errors.push_back({ChartErrorCode::Syntax, 0, "chart", "events"});

  Chart.m_Next.resize(Chart.m_States.size() * Chart.m_Events.size());
  std::vector<bool> EventUsed(Chart.m_Events.size());
  for (std::size_t State = 0; State < StateSections.size(); ++State) {
    const auto &Section = *StateSections[State];
    for (const auto &[Line, Key, Value] : Section.m_Entries) {
      const auto Event = indexOf(Chart.m_Events, Key);
      const auto Target = indexOf(Chart.m_States, Value);
      if (!Event)
        Errors.push_back(
            {ChartErrorCode::UnknownEvent, Line, Section.m_Name, Key});
      if (!Target)
        Errors.push_back(
            {ChartErrorCode::UnknownState, Line, Section.m_Name, Key});
      if (!Event)
        continue;
      EventUsed[*Event] = true;
      auto &Slot = Chart.m_Next[State * Chart.m_Events.size() + *Event];
      if (Slot)
        Errors.push_back(
            {ChartErrorCode::DuplicateTransition, Line, Section.m_Name, Key});
      if (Target)
        Slot = Target;
    }
  }
  for (std::size_t Event = 0; Event < EventUsed.size(); ++Event)
    if (!EventUsed[Event])
      Errors.push_back(
          {ChartErrorCode::UnusedEvent, 0, "chart", Chart.m_Events[Event]});

  const auto StartIndex = indexOf(Chart.m_States, Start);
  if (Start.empty()) {
    Errors.push_back({ChartErrorCode::MissingStart, 0, "chart", "start"});
  } else if (!StartIndex) {
    Errors.push_back(
        {ChartErrorCode::UnknownState, StartLine, "chart", "start"});
  } else {
    Chart.m_Start = *StartIndex;
    std::vector<bool> Reached(Chart.m_States.size());
    std::vector<Index> Pending{Chart.m_Start};
    Reached[Chart.m_Start] = true;
    while (!Pending.empty()) {
      const Index State = Pending.back();
      Pending.pop_back();
      for (std::size_t Event = 0; Event < Chart.m_Events.size(); ++Event) {
        const auto Target = Chart.next(State, static_cast<Index>(Event));
        if (Target && !Reached[*Target]) {
          Reached[*Target] = true;
          Pending.push_back(*Target);
        }
      }
    }
    for (std::size_t State = 0; State < Reached.size(); ++State)
      if (!Reached[State])
        Errors.push_back({ChartErrorCode::UnreachableState,
                          StateSections[State]->m_Line,
                          StateSections[State]->m_Name, ""});
  }
  if (!Errors.empty())
    return Errors;
  return Chart;
}

Result<StateChart, std::vector<ChartError>>
StateChart::load(const std::filesystem::path &File) {
  std::ifstream In(File, std::ios::binary);
  if (!In)
    return std::vector<ChartError>{
        {ChartErrorCode::Unreadable, 0, File.string(), ""}};
  const std::string Text{std::istreambuf_iterator<char>(In), {}};
  if (In.bad())
    return std::vector<ChartError>{
        {ChartErrorCode::Unreadable, 0, File.string(), ""}};
  return parse(Text);
}

void detail::checkNames(const std::vector<std::string> &Actual,
                        const std::vector<std::string_view> &Expected,
                        NameRole Role, std::vector<ChartError> &Errors) {
  const auto Report = [&](ChartErrorCode Code, std::string_view Name) {
    if (Role == NameRole::State)
      Errors.push_back(
          {Code, 0, std::string(StatePrefix) + std::string(Name), ""});
    else
      Errors.push_back({Code, 0, "chart", std::string(Name)});
  };
  for (const auto &Name : Actual)
    if (std::find(Expected.begin(), Expected.end(), Name) == Expected.end())
      Report(ChartErrorCode::UnknownEnumerator, Name);
  for (const auto Name : Expected)
    if (std::find(Actual.begin(), Actual.end(), Name) == Actual.end())
      Report(ChartErrorCode::MissingEnumerator, Name);
}

} // namespace ragwortdrift
