#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/timer_service.hpp"

#include <thread>

// Last, because Criterion defines the macro Test.
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <thread>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

struct Sample {
  VmId m_Vm;
  std::vector<Revision> m_Revisions;
  std::optional<std::string> m_Note;

  friend bool operator==(const Sample &, const Sample &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Vm, m_Revisions, m_Note);
  }
};

struct DecodeCase {
  const char *m_Name;
  std::string m_Bytes;
  CodecErrorCode m_Expected;
};

std::string sampleBytes() {
  return encode(Sample{VmId{"vm1"}, {Revision{7}}, "note"});
}

const DecodeCase DecodeCases[] = {
    {"empty", "", CodecErrorCode::Truncated},
    {"truncated", sampleBytes().substr(0, sampleBytes().size() - 1),
     CodecErrorCode::LengthOutOfRange},
    {"length beyond the end", std::string("\xff\xff\xff\xff", 4),
     CodecErrorCode::LengthOutOfRange},
    {"trailing bytes", sampleBytes() + "x", CodecErrorCode::TrailingBytes},
};

} // namespace

// Guards against values that encoding and decoding change.
Test(codec, round_trips_values) {
  const Sample Original{VmId{"vm1"}, {Revision{7}, Revision{8}}, "note"};
  const auto Decoded = decode<Sample>(encode(Original));
  cr_assert(isOk(Decoded));
  cr_assert(valueOf(Decoded) == Original);
}

// Guards against malformed bytes from a faulty peer that crash a daemon.
TABLE_TEST(codec, rejects_malformed_bytes, DecodeCases) {
  const auto Decoded = decode<Sample>(Row.m_Bytes);
  cr_assert(!isOk(Decoded), "%s", Row.m_Name);
  cr_assert_eq(errorOf(Decoded).m_Code, Row.m_Expected, "%s", Row.m_Name);
}

// Guards against timers that run out of order or after their cancellation.
Test(timer_service, runs_timers_in_order_until_cancelled) {
  TimerService Timers;
  std::string RunOrder;
  auto Periodic = Timers.every(10ms, [&] { RunOrder += 'p'; });
  auto Once = Timers.after(15ms, [&] { RunOrder += 'o'; });
  auto Cancelled = Timers.after(12ms, [&] { RunOrder += 'x'; });
  Cancelled.reset();
  Timers.advanceTo(TimePoint{25ms});
  cr_assert(RunOrder == "pop");
  Periodic.reset();
  Timers.advanceTo(TimePoint{100ms});
  cr_assert(RunOrder == "pop");
}

// Guards against the removal of a VM that moves keys of other VMs.
Test(rendezvous, moves_only_the_keys_of_a_removed_vm) {
  const std::vector<VmId> AllVms{VmId{"a"}, VmId{"b"}, VmId{"c"}, VmId{"d"}};
  for (int Key = 0; Key < 100; ++Key) {
    const auto FullOrder = rendezvousOrder(std::to_string(Key), AllVms);
    std::vector<VmId> Remaining = AllVms;
    std::erase(Remaining, VmId{"b"});
    const auto RemainingOrder = rendezvousOrder(std::to_string(Key), Remaining);
    if (FullOrder.front() != VmId{"b"})
      cr_assert(RemainingOrder.front() == FullOrder.front());
  }
}

// Guards against a wait that completed just before its driver was destroyed and
// whose handler still uses the driver.
Test(asio_timer_driver, runs_no_timers_after_destruction) {
  boost::asio::io_context Io;
  TimerService Timers;
  auto Driver = std::make_unique<AsioTimerDriver>(Io, Timers);
  Driver->start();
  bool TimerRan = false;
  boost::asio::steady_timer DestroyTimer(Io);
  DestroyTimer.expires_after(std::chrono::milliseconds(1));
  DestroyTimer.async_wait(
      [&](const boost::system::error_code &) { Driver.reset(); });
  const auto Timer =
      Timers.after(std::chrono::milliseconds(3), [&] { TimerRan = true; });
  // Both waits have expired by the time the io_context runs.
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  Io.run();
  cr_assert_not(TimerRan);
}
