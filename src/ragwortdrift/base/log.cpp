#include "ragwortdrift/base/log.hpp"

#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <atomic>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace ragwortdrift {
namespace {

namespace blog = boost::log;
std::atomic<LogSeverity> CurrentLevel{LogSeverity::Info};
std::atomic<bool> JsonEnabled{false};

std::string formatDouble(double Value) {
  char Buffer[32];
  return {Buffer, std::to_chars(Buffer, std::end(Buffer), Value).ptr};
}

std::string quoteJson(std::string_view Text) {
  return boost::json::serialize(
      boost::json::value(boost::json::string_view(Text.data(), Text.size())));
}

bool needsQuotes(std::string_view Text) {
  return Text.empty() || std::any_of(Text.begin(), Text.end(), [](char C) {
           return C == ' ' || C == '"' || C == '=' || C == '\\' ||
                  static_cast<unsigned char>(C) < ' ';
         });
}

std::string formatValue(const LogField::Value &Value, bool Json) {
  return std::visit(
      [&](const auto &V) -> std::string {
        using T = std::decay_t<decltype(V)>;
        if constexpr (std::is_same_v<T, bool>)
          return V ? "true" : "false";
        else if constexpr (std::is_same_v<T, std::string_view>)
          return Json || needsQuotes(V) ? quoteJson(V) : std::string(V);
        else if constexpr (std::is_same_v<T, double>)
          return formatDouble(V);
        else
          return std::to_string(V);
      },
      Value);
}

void appendField(std::string &Line, std::string_view Name,
                 const LogField::Value &Value, bool Json) {
  if (!Line.empty())
    Line += Json ? "," : " ";
  Line += Json ? quoteJson(Name) + ":" : std::string(Name) + "=";
  Line += formatValue(Value, Json);
}

/// "2026-12-04T06:47:39.123456Z"
std::string formatTime(const boost::posix_time::ptime &Time) {
  const auto Date = Time.date().year_month_day();
  const auto Clock = Time.time_of_day();
  char Buffer[48];
  std::snprintf(Buffer, sizeof(Buffer), "%04d-%02d-%02dT%02d:%02d:%02d.%06dZ",
                static_cast<int>(Date.year), static_cast<int>(Date.month),
                static_cast<int>(Date.day), static_cast<int>(Clock.hours()),
                static_cast<int>(Clock.minutes()),
                static_cast<int>(Clock.seconds()),
                static_cast<int>(Clock.total_microseconds() % 1'000'000));
  return Buffer;
}

/// Prepends the record's time to the fields, which logEvent has formatted.
void formatRecord(const blog::record_view &Record,
                  blog::formatting_ostream &Out) {
  const auto Time =
      blog::extract<boost::posix_time::ptime>("TimeStamp", Record);
  const auto Message = blog::extract<std::string>("Message", Record);
  const bool Json = JsonEnabled.load(std::memory_order_relaxed);
  std::string Line;
  appendField(Line, "time",
              std::string_view(Time ? formatTime(*Time) : std::string()), Json);
  if (Message)
    Line += (Json ? "," : " ") + *Message;
  Out << (Json ? "{" + Line + "}" : Line);
}

/// PIPE_BUF on Linux: a writable pipe accepts this many bytes without blocking.
constexpr std::size_t MaxLineBytes = 4096;

/// Writes whole lines to a file descriptor and drops lines while it is not
/// writable.
class DescriptorBackend : public blog::sinks::basic_formatted_sink_backend<
                              char, blog::sinks::synchronized_feeding> {
public:
  explicit DescriptorBackend(int Descriptor) : m_Descriptor(Descriptor) {}

  void consume(const blog::record_view &, const std::string &Line) {
    if (!isWritable()) {
      ++m_Dropped;
      return;
    }
    if (m_Dropped > 0) {
      const std::string Count = std::to_string(std::exchange(m_Dropped, 0));
      write(JsonEnabled.load(std::memory_order_relaxed)
                ? R"({"level":"warning","event":"log.lines_dropped","count":)" +
                      Count + "}"
                : "level=warning event=log.lines_dropped count=" + Count);
      if (!isWritable()) {
        ++m_Dropped;
        return;
      }
    }
    write(Line);
  }

private:
  bool isWritable() const {
    pollfd PollEntry{m_Descriptor, POLLOUT, 0};
    return ::poll(&PollEntry, 1, 0) == 1 && (PollEntry.revents & POLLOUT) != 0;
  }

  void write(std::string Line) {
    Line.resize(std::min(Line.size(), MaxLineBytes - 1));
    Line += '\n';
    if (::write(m_Descriptor, Line.data(), Line.size()) < 0)
      ++m_Dropped;
  }

  int m_Descriptor;
  std::uint64_t m_Dropped = 0;
};

template <class Backend>
void installSink(const boost::shared_ptr<Backend> &Target,
                 const LogOptions &Options) {
  auto Frontend =
      boost::make_shared<blog::sinks::synchronous_sink<Backend>>(Target);
  Frontend->set_formatter(&formatRecord);
  const auto Core = blog::core::get();
  Core->remove_all_sinks();
  Core->add_global_attribute("TimeStamp", blog::attributes::utc_clock());
  CurrentLevel = Options.m_Level;
  JsonEnabled = Options.m_Json;
  Core->add_sink(Frontend);
}

} // namespace

Result<Done, LogError> startLogging(const LogOptions &Options) {
  if (Options.m_Descriptor) {
    installSink(boost::make_shared<DescriptorBackend>(*Options.m_Descriptor),
                Options);
    return Done{};
  }
  auto Backend = boost::make_shared<blog::sinks::text_ostream_backend>();
  if (Options.m_File) {
    auto File = boost::make_shared<std::ofstream>(
        *Options.m_File, std::ios::app | std::ios::binary);
    if (!*File)
      return LogError{LogErrorCode::CannotOpenFile, *Options.m_File};
    Backend->add_stream(File);
  } else {
    Backend->add_stream(boost::shared_ptr<std::ostream>(
        &std::clog, [](const std::ostream *) {}));
  }
  Backend->auto_flush(true);
  installSink(Backend, Options);
  return Done{};
}

bool logEnabled(LogSeverity Severity) {
  return Severity >= CurrentLevel.load(std::memory_order_relaxed);
}

void logEvent(LogSeverity Severity, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (!logEnabled(Severity))
    return;
  thread_local blog::sources::severity_logger<LogSeverity> Logger;
  blog::record Record = Logger.open_record(blog::keywords::severity = Severity);
  if (!Record)
    return;
  const bool Json = JsonEnabled.load(std::memory_order_relaxed);
  std::string Line;
  appendField(Line, "level", nameOf(Severity), Json);
  appendField(Line, "event", Event, Json);
  for (const auto &Field : Fields)
    appendField(Line, Field.m_Name, Field.m_Value, Json);
  blog::record_ostream Stream(Record);
  Stream << Line;
  Stream.flush();
  Logger.push_record(std::move(Record));
}

bool LogRateLimiter::admit(TimePoint Now, std::string_view Event) {
  auto It = std::find_if(
      m_Entries.begin(), m_Entries.end(),
      [&](const Entry &Candidate) { return Candidate.m_Event == Event; });
  if (It == m_Entries.end())
    It = m_Entries.insert(m_Entries.end(), Entry{Event, Now});
  if (Now - It->m_SecondStart >= std::chrono::seconds(1)) {
    It->m_SecondStart = Now;
    It->m_Written = 0;
  }
  if (It->m_Written < m_PerSecond) {
    ++It->m_Written;
    return true;
  }
  ++It->m_Suppressed;
  return false;
}

std::vector<LogRateLimiter::SuppressedCount> LogRateLimiter::takeSuppressed() {
  std::vector<SuppressedCount> Counts;
  for (auto &Candidate : m_Entries)
    if (Candidate.m_Suppressed > 0) {
      Counts.push_back({Candidate.m_Event, Candidate.m_Suppressed});
      Candidate.m_Suppressed = 0;
    }
  return Counts;
}

void DecisionLog::flush() {
  for (const auto &[Event, Count] : m_Limiter.takeSuppressed())
    logEvent(LogSeverity::Info, "decisions_left_out",
             {{"of", Event}, {"count", Count}});
}

} // namespace ragwortdrift
