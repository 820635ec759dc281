#ifndef RAGWORTDRIFT_BASE_STATE_CHART_HPP
#define RAGWORTDRIFT_BASE_STATE_CHART_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/result.hpp"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift {

enum class ChartErrorCode {
  Unreadable,
  Syntax,
  UnknownSection,
  UnknownKey,
  DuplicateKey,
  MissingStart,
  MissingEvents,
  DuplicateState,
  DuplicateEvent,
  DuplicateTransition,
  UnknownState,
  UnknownEvent,
  UnusedEvent,
  UnreachableState,
  MissingEnumerator,
  UnknownEnumerator
};
template <> struct EnumNames<ChartErrorCode> {
  static constexpr std::array Entries{
      EnumName<ChartErrorCode>{ChartErrorCode::Unreadable, "unreadable"},
      EnumName<ChartErrorCode>{ChartErrorCode::Syntax, "syntax"},
      EnumName<ChartErrorCode>{ChartErrorCode::UnknownSection,
                               "unknown_section"},
      EnumName<ChartErrorCode>{ChartErrorCode::UnknownKey, "unknown_key"},
      EnumName<ChartErrorCode>{ChartErrorCode::DuplicateKey, "duplicate_key"},
      EnumName<ChartErrorCode>{ChartErrorCode::MissingStart, "missing_start"},
      EnumName<ChartErrorCode>{ChartErrorCode::MissingEvents, "missing_events"},
      EnumName<ChartErrorCode>{ChartErrorCode::DuplicateState,
                               "duplicate_state"},
      EnumName<ChartErrorCode>{ChartErrorCode::DuplicateEvent,
                               "duplicate_event"},
      EnumName<ChartErrorCode>{ChartErrorCode::DuplicateTransition,
                               "duplicate_transition"},
      EnumName<ChartErrorCode>{ChartErrorCode::UnknownState, "unknown_state"},
      EnumName<ChartErrorCode>{ChartErrorCode::UnknownEvent, "unknown_event"},
      EnumName<ChartErrorCode>{ChartErrorCode::UnusedEvent, "unused_event"},
      EnumName<ChartErrorCode>{ChartErrorCode::UnreachableState,
                               "unreachable_state"},
      EnumName<ChartErrorCode>{ChartErrorCode::MissingEnumerator,
                               "missing_enumerator"},
      EnumName<ChartErrorCode>{ChartErrorCode::UnknownEnumerator,
                               "unknown_enumerator"}};
};

/// An error in a chart and its position.
struct ChartError {
  ChartErrorCode m_Code{};
  /// Line number from 1; 0 if the error does not belong to a single line.
  std::size_t m_Line = 0;
  std::string m_Section;
  std::string m_Key;

  friend bool operator==(const ChartError &, const ChartError &) = default;
};

/// Formats an error as one line of text: line number, section, key and code.
std::string describe(const ChartError &Error);

/// A state chart read from an INI file: section [chart] with `start` and the
/// comma-separated `events`, and a section [state NAME] for each state with
/// `event = target` for each transition. parse() checks that all names are
/// known, that every state is reachable from the start state, that every event
/// is used and that nothing is defined twice.
class StateChart {
public:
  using Index = std::uint8_t;

  /// Returns the chart, or all errors in the text.
  static Result<StateChart, std::vector<ChartError>>
  parse(std::string_view Text);
  static Result<StateChart, std::vector<ChartError>>
  load(const std::filesystem::path &File);

  const std::vector<std::string> &states() const { return m_States; }
  const std::vector<std::string> &events() const { return m_Events; }
  Index start() const { return m_Start; }
  /// The state after an event, or std::nullopt if there is no transition.
  std::optional<Index> next(Index State, Index Event) const {
    return m_Next[State * m_Events.size() + Event];
  }

private:
  std::vector<std::string> m_States;
  std::vector<std::string> m_Events;
  Index m_Start = 0;
  std::vector<std::optional<Index>> m_Next;
};

namespace detail {
/// Compares the names in a chart with the name table of an enum. An error in a
/// state is reported for the section [state NAME], one in an event for the key
/// NAME.
enum class NameRole { State, Event };
void checkNames(const std::vector<std::string> &Actual,
                const std::vector<std::string_view> &Expected, NameRole Role,
                std::vector<ChartError> &Errors);

template <NamedEnum E> std::vector<std::string_view> tableNames() {
  std::vector<std::string_view> Names;
  Names.reserve(EnumNames<E>::Entries.size());
  for (const auto &Entry : EnumNames<E>::Entries)
    Names.push_back(Entry.second);
  return Names;
}
} // namespace detail

/// A state chart whose states and events are the enumerators of two enums.
template <NamedEnum State, NamedEnum Event> class BoundChart {
public:
  /// Fails if the chart lacks an enumerator or contains an unknown name.
  static Result<BoundChart, std::vector<ChartError>>
  bind(const StateChart &Chart) {
    std::vector<ChartError> Errors;
    detail::checkNames(Chart.states(), detail::tableNames<State>(),
                       detail::NameRole::State, Errors);
    detail::checkNames(Chart.events(), detail::tableNames<Event>(),
                       detail::NameRole::Event, Errors);
    if (!Errors.empty())
      return Errors;
    BoundChart Bound;
    Bound.m_Start = *parseEnum<State>(Chart.states()[Chart.start()]);
    for (std::size_t S = 0; S < StateCount; ++S)
      for (std::size_t E = 0; E < EventCount; ++E) {
        const auto Target = Chart.next(static_cast<StateChart::Index>(S),
                                       static_cast<StateChart::Index>(E));
        if (Target)
          Bound
              .m_Next[entryIndex<State>(*parseEnum<State>(Chart.states()[S])) *
                          EventCount +
                      entryIndex<Event>(*parseEnum<Event>(Chart.events()[E]))] =
              *parseEnum<State>(Chart.states()[*Target]);
      }
    return Bound;
  }

  static Result<BoundChart, std::vector<ChartError>>
  load(const std::filesystem::path &File) {
    const auto Chart = StateChart::load(File);
    if (!isOk(Chart))
      return errorOf(Chart);
    return bind(valueOf(Chart));
  }

  State start() const { return m_Start; }
  /// The state after an event, or std::nullopt if there is no transition.
  std::optional<State> next(State Current, Event Input) const {
    return m_Next[entryIndex<State>(Current) * EventCount +
                  entryIndex<Event>(Input)];
  }

private:
  static constexpr std::size_t StateCount = EnumNames<State>::Entries.size();
  static constexpr std::size_t EventCount = EnumNames<Event>::Entries.size();

  template <NamedEnum E> static std::size_t entryIndex(E Value) {
    const auto &Entries = EnumNames<E>::Entries;
    return static_cast<std::size_t>(
        std::find_if(Entries.begin(), Entries.end(),
                     [&](const auto &Entry) { return Entry.first == Value; }) -
        Entries.begin());
  }

  State m_Start{};
  std::array<std::optional<State>, StateCount * EventCount> m_Next{};
};

} // namespace ragwortdrift

#endif
