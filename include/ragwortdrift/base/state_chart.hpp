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

/// One fault of a chart and where it stands.
struct ChartError {
  ChartErrorCode m_Code{};
  /// From 1; 0 when the fault has no single line.
  std::size_t m_Line = 0;
  std::string m_Section;
  std::string m_Key;

  friend bool operator==(const ChartError &, const ChartError &) = default;
};

/// One line for people: line, section, key and code.
std::string describe(const ChartError &Error);

/// A state chart as read from its INI file: section [chart] with `start` and
/// the comma-separated `events`, and a section [state NAME] for each state with
/// `event = target` for each transition. Checked: all names are known, every
/// state can be reached from the start, every event is used, nothing is given
/// twice.
class StateChart {
public:
  using Index = std::uint8_t;

  /// All faults of the text, or the chart.
  static Result<StateChart, std::vector<ChartError>>
  parse(std::string_view Text);
  static Result<StateChart, std::vector<ChartError>>
  load(const std::filesystem::path &File);

  const std::vector<std::string> &states() const { return m_States; }
  const std::vector<std::string> &events() const { return m_Events; }
  Index start() const { return m_Start; }
  /// The state after an event; nothing when the state has no transition for it.
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
/// Compares a chart's names with those of an enum's name table. A fault of a
/// state stands in the section [state NAME], one of an event at the key NAME.
enum class NameRole { State, Event };
void checkNames(const std::vector<std::string> &Found,
                const std::vector<std::string_view> &Wanted, NameRole Role,
                std::vector<ChartError> &Errors);

template <NamedEnum E> std::vector<std::string_view> tableNames() {
  std::vector<std::string_view> Names;
  Names.reserve(EnumNames<E>::Entries.size());
  for (const auto &Entry : EnumNames<E>::Entries)
    Names.push_back(Entry.second);
  return Names;
}
} // namespace detail

/// A chart whose states and events are those of two enums.
template <NamedEnum State, NamedEnum Event> class BoundChart {
public:
  /// Refuses a chart that lacks an enumerator or names an unknown one.
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
          Bound.m_Next[rowOf<State>(*parseEnum<State>(Chart.states()[S])) *
                           EventCount +
                       rowOf<Event>(*parseEnum<Event>(Chart.events()[E]))] =
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
  /// The state after an event; nothing when the state has no transition for it.
  std::optional<State> next(State From, Event With) const {
    return m_Next[rowOf<State>(From) * EventCount + rowOf<Event>(With)];
  }

private:
  static constexpr std::size_t StateCount = EnumNames<State>::Entries.size();
  static constexpr std::size_t EventCount = EnumNames<Event>::Entries.size();

  template <NamedEnum E> static std::size_t rowOf(E Value) {
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
