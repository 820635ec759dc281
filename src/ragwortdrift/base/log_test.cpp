#include "ragwortdrift/base/log.hpp"

#include <boost/json/parse.hpp>

#include <cstdlib>
#include <fstream>
#include <random>
#include <string>
#include <unistd.h>

// Last, because Criterion defines the macro Test.
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

/// A log file private to the test process, removed at the end.
struct LogFile {
  std::filesystem::path m_Path =
      std::filesystem::temp_directory_path() /
      ("ragwortdrift_log_test_" + std::to_string(::getpid()));
  ~LogFile() { std::filesystem::remove(m_Path); }

  std::vector<std::string> lines() const {
    std::vector<std::string> Lines;
    std::ifstream In(m_Path);
    for (std::string Line; std::getline(In, Line);)
      Lines.push_back(Line);
    return Lines;
  }
};

struct FormatCase {
  const char *m_Name;
  LogField m_Field;
  const char *m_Text;
  const char *m_Json;
};

const FormatCase FormatCases[] = {
    {"word", {"leaf", "a1"}, "leaf=a1", R"("leaf":"a1")"},
    {"text with a space", {"why", "a b"}, R"(why="a b")", R"("why":"a b")"},
    {"quote and line break",
     {"why", "a\"\nb"},
     R"(why="a\"\nb")",
     R"("why":"a\"\nb")"},
    {"empty text", {"why", ""}, R"(why="")", R"("why":"")"},
    {"signed", {"n", -3}, "n=-3", R"("n":-3)"},
    {"unsigned",
     {"n", 18446744073709551615ULL},
     "n=18446744073709551615",
     R"("n":18446744073709551615)"},
    {"truth value", {"hedge", true}, "hedge=true", R"("hedge":true)"},
    {"duration",
     {"wait_ms", Duration{1500}},
     "wait_ms=1.5",
     R"("wait_ms":1.5)"},
    {"strong id", {"rev", Revision{7}}, "rev=7", R"("rev":7)"},
    {"enumerator",
     {"level", LogSeverity::Error},
     "level=error",
     R"("level":"error")"},
};

} // namespace

// Guards against fields that log parsers cannot read back.
TABLE_TEST(log, formats_typed_fields, FormatCases) {
  const LogFile File;
  cr_assert(isOk(startLogging({LogSeverity::Info, false, File.m_Path})));
  logEvent(LogSeverity::Info, "probe", {Row.m_Field});
  cr_assert(isOk(startLogging({LogSeverity::Info, true, File.m_Path})));
  logEvent(LogSeverity::Info, "probe", {Row.m_Field});
  const auto Lines = File.lines();
  cr_assert_eq(Lines.size(), 2, "%s", Row.m_Name);
  cr_assert(Lines[0].starts_with("time=2"), "%s", Lines[0].c_str());
  cr_assert(
      Lines[0].ends_with(std::string("level=info event=probe ") + Row.m_Text),
      "%s", Lines[0].c_str());
  boost::json::error_code Error;
  boost::json::parse(Lines[1], Error);
  cr_assert(!Error, "%s", Lines[1].c_str());
  cr_assert(Lines[1].find(Row.m_Json) != std::string::npos, "%s",
            Lines[1].c_str());
}

// Guards against a level filter that drops lines at or above the level, or
// writes lines below it.
Test(log, drops_lines_below_level) {
  const LogFile File;
  cr_assert(isOk(startLogging({LogSeverity::Warning, false, File.m_Path})));
  logEvent(LogSeverity::Info, "hidden");
  logEvent(LogSeverity::Warning, "shown");
  logEvent(LogSeverity::Error, "shown");
  cr_assert_eq(File.lines().size(), 2);
}

// Guards against a daemon that starts although its log file cannot be opened.
Test(log, reports_a_file_that_cannot_be_opened) {
  const auto Outcome =
      startLogging({LogSeverity::Info, false, "/nonexistent/folder/log"});
  cr_assert(!isOk(Outcome));
  cr_assert_eq(errorOf(Outcome).m_Code, LogErrorCode::CannotOpenFile);
}

// Guards against lines that are suppressed without being counted, and against
// more lines per second than the limit.
Test(log, counts_every_suppressed_line) {
  for (const unsigned Seed : {1U, 2U, 3U}) {
    std::mt19937 Random(Seed);
    LogRateLimiter Limiter(200);
    std::uint64_t Offered = 0, Written = 0, Suppressed = 0;
    TimePoint Now;
    for (int Second = 0; Second < 20; ++Second) {
      const unsigned Lines = Random() % 1000;
      std::uint64_t InSecond = 0;
      for (unsigned I = 0; I < Lines; ++I)
        InSecond += Limiter.admit(Now, "replica_chosen") ? 1 : 0;
      cr_assert_leq(InSecond, 200, "seed %u", Seed);
      Offered += Lines;
      Written += InSecond;
      for (const auto &Entry : Limiter.takeSuppressed())
        Suppressed += Entry.m_Count;
      Now = Now + 1s;
    }
    cr_assert_eq(Written + Suppressed, Offered, "seed %u", Seed);
  }
}

// Guards against a frequent event that uses up the limit of other events, and
// against a count of suppressed lines that is never logged.
Test(log, limits_each_event_and_logs_suppressed_count) {
  const LogFile File;
  cr_assert(isOk(startLogging({LogSeverity::Info, false, File.m_Path})));
  {
    DecisionLog Log(2);
    for (int I = 0; I < 5; ++I)
      Log.write(TimePoint{}, "hedge_sent", {{"group", "g1"}});
    Log.write(TimePoint{}, "leaf_ejected", {{"leaf", "a1"}});
  }
  const auto Lines = File.lines();
  cr_assert_eq(Lines.size(), 4);
  cr_assert(Lines[2].find("event=leaf_ejected") != std::string::npos);
  cr_assert(Lines[3].find("event=decisions_left_out of=hedge_sent count=3") !=
            std::string::npos);
}

// Guards against a process that blocks on the reader of its log, and against
// dropped lines that are not reported.
Test(log, does_not_block_on_slow_reader) {
  int Pipe[2];
  cr_assert_eq(::pipe(Pipe), 0);
  LogOptions Options;
  Options.m_Descriptor = Pipe[1];
  cr_assert(isOk(startLogging(Options)));
  const std::string LongText(1000, 'x');
  // A pipe buffers 64 KiB, so most of these lines are dropped.
  for (int I = 0; I < 1000; ++I)
    logEvent(LogSeverity::Info, "test.line", {{"text", LongText}});
  std::string Text(1 << 20, '\0');
  const ssize_t First = ::read(Pipe[0], Text.data(), Text.size());
  cr_assert_gt(First, 0);
  logEvent(LogSeverity::Info, "test.after", {});
  const ssize_t Second = ::read(Pipe[0], Text.data(), Text.size());
  cr_assert_gt(Second, 0);
  Text.resize(static_cast<std::size_t>(Second));
  const auto Dropped = Text.find("event=log.lines_dropped count=9");
  cr_assert_neq(Dropped, std::string::npos);
  cr_assert_lt(Dropped, Text.find("event=test.after"));
}
