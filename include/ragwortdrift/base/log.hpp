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

/// A named value of a log line. Holds views, so it must not outlive the
/// expression that creates it.
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
  /// Logs a duration in milliseconds; its name must end with "_ms".
  LogField(std::string_view Name, Duration V)
      : m_Name(Name), m_Value(toMillis(V)) {}
  template <class Tag, class Rep>
  LogField(std::string_view Name, const StrongId<Tag, Rep> &V)
      : LogField(Name, V.m_Value) {}
};

struct LogOptions {
  LogSeverity m_Level = LogSeverity::Info;
  /// Writes one JSON object per line instead of key=value pairs.
  bool m_Json = false;
  /// File to append to; standard error if not set.
  std::optional<std::filesystem::path> m_File;
  /// File descriptor to write to instead, for example 1 for standard output.
  /// Writes never wait for the reader: lines that do not fit are dropped and
  /// counted, and the count is logged when the descriptor is writable again.
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

/// Configures the log of this process, replacing any earlier configuration.
Result<Done, LogError> startLogging(const LogOptions &Options);

/// True if lines of this severity are written. Formats nothing.
bool logEnabled(LogSeverity Severity);

/// Writes one line: time (UTC), severity, event and fields. Thread-safe. Event
/// and field names are in snake_case.
void logEvent(LogSeverity Severity, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// Limits the lines per second of each event name and counts the suppressed
/// ones. Event names must be string literals. Not thread-safe.
class LogRateLimiter {
public:
  struct SuppressedCount {
    std::string_view m_Event;
    std::uint64_t m_Count = 0;
  };

  explicit LogRateLimiter(std::uint32_t PerSecond) : m_PerSecond(PerSecond) {}

  /// True if a line may be written now; otherwise counts it as suppressed.
  bool admit(TimePoint Now, std::string_view Event);
  /// Returns and resets the numbers of lines suppressed since the last call.
  std::vector<SuppressedCount> takeSuppressed();

private:
  struct Entry {
    std::string_view m_Event;
    TimePoint m_SecondStart;
    std::uint32_t m_Written = 0;
    std::uint64_t m_Suppressed = 0;
  };

  std::uint32_t m_PerSecond;
  std::vector<Entry> m_Entries;
};

/// Rate-limited log of the decisions of one thread: at most PerSecond lines per
/// second for each event name. flush() logs the number of suppressed lines and
/// is to be called once per second; the destructor calls it as well. Not
/// thread-safe.
class DecisionLog {
public:
  explicit DecisionLog(std::uint32_t PerSecond = 200) : m_Limiter(PerSecond) {}
  DecisionLog(const DecisionLog &) = delete;
  DecisionLog &operator=(const DecisionLog &) = delete;
  ~DecisionLog() { flush(); }

  /// Logs a decision at info level. Event must be a string literal.
  void write(TimePoint Now, std::string_view Event,
             std::initializer_list<LogField> Fields) {
    if (logEnabled(LogSeverity::Info) && m_Limiter.admit(Now, Event))
      logEvent(LogSeverity::Info, Event, Fields);
  }
  void flush();

private:
  LogRateLimiter m_Limiter;
};

} // namespace ragwortdrift

#endif
