#include "ragwortdrift/base/stop_signal.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

constexpr auto ExitLimit = 400ms;

struct StopCase {
  const char *m_Name;
  /// Time for which the thread of the io_context is blocked, from its start.
  Duration m_Blocked;
  /// Time from the signal to the end of the process.
  Duration m_Earliest;
  Duration m_Latest;
};
const StopCase StopCases[] = {
    {"idle", 0ms, 0ms, 300ms},
    {"blocked for a time", 200ms, 50ms, 390ms},
    {"blocked for good", 60s, 400ms, 2s},
};

/// Body of a process that ends 10 ms after the signal, unless it is blocked.
/// Writes a byte once it waits for the signal.
[[noreturn]] void runProcess(int ReadyPipe, Duration Blocked) {
  StopSignal Stop(ExitLimit);
  boost::asio::io_context Io(1);
  const auto WorkGuard = boost::asio::make_work_guard(Io);
  Stop.start(Io, [&](Duration) { Io.stop(); });
  (void)!::write(ReadyPipe, "r", 1);
  std::this_thread::sleep_for(Blocked);
  Io.run();
  std::_Exit(0);
}

} // namespace

// Guards against a process that outlives its stop time because its threads are
// busy or wait for a disk.
TABLE_TEST(stop_signal, ends_process_within_limit, StopCases) {
  int Pipe[2];
  cr_assert_eq(::pipe(Pipe), 0);
  const pid_t Child = ::fork();
  if (Child == 0)
    runProcess(Pipe[1], Row.m_Blocked);
  char Byte = 0;
  cr_assert_eq(::read(Pipe[0], &Byte, 1), 1);
  const auto SentAt = std::chrono::steady_clock::now();
  ::kill(Child, SIGTERM);
  int Status = 0;
  pid_t Ended = 0;
  while (Ended == 0 && std::chrono::steady_clock::now() - SentAt < 4s) {
    std::this_thread::sleep_for(5ms);
    Ended = ::waitpid(Child, &Status, WNOHANG);
  }
  const auto Elapsed = std::chrono::steady_clock::now() - SentAt;
  if (Ended == 0) {
    ::kill(Child, SIGKILL);
    ::waitpid(Child, &Status, 0);
  }
  cr_assert_eq(Ended, Child, "%s: still running", Row.m_Name);
  cr_assert(WIFEXITED(Status) && WEXITSTATUS(Status) == 0, "%s: %d", Row.m_Name,
            Status);
  cr_assert(Elapsed >= Row.m_Earliest && Elapsed < Row.m_Latest, "%s: %lld ms",
            Row.m_Name, static_cast<long long>(Elapsed / 1ms));
}
