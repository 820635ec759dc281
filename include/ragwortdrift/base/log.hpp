#ifndef RAGWORTDRIFT_BASE_LOG_HPP
#define RAGWORTDRIFT_BASE_LOG_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/base/time.hpp"

#include <concepts>
#include <cstdint>
#include <filesystem>
#include <initializer_list>
#include <optional>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace ragwortdrift {

/// The names are those of the setting `level` in section [log].
enum class LogSeverity { Debug, Info, Warning, Error };
template <> struct EnumNames<LogSeverity> {
  static constexpr std::array Entries{
      EnumName<LogSeverity>{LogSeverity::Debug, "debug"},
      EnumName<LogSeverity>{LogSeverity::Info, "info"},
      EnumName<LogSeverity>{LogSeverity::Warning, "warning"},
      EnumName<LogSeverity>{LogSeverity::Error, "error"}};
};

/// A named value of a log line. Holds views: use it only within the call.
struct LogField {
  using Value =
      std::variant<bool, std::int64_t, std::uint64_t, double, std::string_view>;

  std::string_view m_Name;
  Value m_Value;

  LogField(std::string_view Name, bool V) : m_Name(Name), m_Value(V) {}
  template <std::signed_integral T>
  LogField(std::string_view Name, T V)
      : m_Name(Name), m_Value(static_cast<std::int64_t>(V)) {}
  template <std::unsigned_integral T>
  requires(!std::same_as<T, bool>) LogField(std::string_view Name, T V)
      : m_Name(Name), m_Value(static_cast<std::uint64_t>(V)) {}
  LogField(std::string_view Name, double V) : m_Name(Name), m_Value(V) {}
  template <class T>
  requires std::convertible_to<const T &, std::string_view>
  LogField(std::string_view Name, const T &V)
      : m_Name(Name), m_Value(std::string_view(V)) {}
  template <NamedEnum E>
  LogField(std::string_view Name, E V) : m_Name(Name), m_Value(nameOf(V)) {}
  /// A duration is logged in milliseconds; end its name with "_ms".
  LogField(std::string_view Name, Duration V)
      : m_Name(Name), m_Value(toMillis(V)) {}
  template <class Tag, class Rep>
  LogField(std::string_view Name, const StrongId<Tag, Rep> &V)
      : LogField(Name, V.m_Value) {}
};

struct LogOptions {
  LogSeverity m_Level = LogSeverity::Info;
  /// One JSON object a line instead of key=value pairs.
  bool m_Json = false;
  /// Appended to; nothing for standard error.
  std::optional<std::filesystem::path> m_File;
  /// Written to instead, without ever waiting for its reader; for example 1,
  /// standard output. Lines that do not fit are counted, and the count is
  /// logged when the reader is back.
  std::optional<int> m_Descriptor;
};

enum class LogErrorCode { CannotOpenFile };
template <> struct EnumNames<LogErrorCode> {
  static constexpr std::array Entries{
      EnumName<LogErrorCode>{LogErrorCode::CannotOpenFile, "cannot_open_file"}};
};
struct LogError {
  LogErrorCode m_Code{};
  std::filesystem::path m_File;
};

/// Sets where the log of this process goes; replaces an earlier setting.
Result<Done, LogError> startLogging(const LogOptions &Options);

/// Whether lines of this severity are written; checks cost no formatting.
bool logEnabled(LogSeverity Severity);

/// Writes one line: time (UTC), severity, event and fields. May be called from
/// any thread. Event names and field names are lower_case words.
void logEvent(LogSeverity Severity, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// Counts lines per event name and second, and what is above the bound. Event
/// names must be string literals. Not thread-safe.
class LogRateBound {
public:
  struct LeftOut {
    std::string_view m_Event;
    std::uint64_t m_Count = 0;
  };

  explicit LogRateBound(std::uint32_t PerSecond) : m_PerSecond(PerSecond) {}

  /// Whether a line may be written now; otherwise it is counted as left out.
  bool admit(TimePoint Now, std::string_view Event);
  /// The lines left out since the last call.
  std::vector<LeftOut> takeLeftOut();

private:
  struct Entry {
    std::string_view m_Event;
    TimePoint m_SecondStart;
    std::uint32_t m_Written = 0;
    std::uint64_t m_LeftOut = 0;
  };

  std::uint32_t m_PerSecond;
  std::vector<Entry> m_Entries;
};

/// The log of decisions of one thread: at most PerSecond lines a second for
/// each event name. Call flush() once a second, so that the number of lines
/// left out is logged; the destructor logs the rest. Not thread-safe.
class DecisionLog {
public:
  explicit DecisionLog(std::uint32_t PerSecond = 200) : m_Bound(PerSecond) {}
  DecisionLog(const DecisionLog &) = delete;
  DecisionLog &operator=(const DecisionLog &) = delete;
  ~DecisionLog() { flush(); }

  /// Writes the decision as an info line. Event must be a string literal.
  void write(TimePoint Now, std::string_view Event,
             std::initializer_list<LogField> Fields) {
    if (logEnabled(LogSeverity::Info) && m_Bound.admit(Now, Event))
      logEvent(LogSeverity::Info, Event, Fields);
  }
  void flush();

private:
  LogRateBound m_Bound;
};

} // namespace ragwortdrift

#endif
