#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/base/heap_usage.hpp"
#include "ragwortdrift/net/peer_client.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <list>
#include <optional>
#include <vector>

using namespace ragwortdrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t KiB = 1024;
/// Size of the state of the large site that core VMs send to their watchers.
constexpr std::size_t StateBytes = 400 * KiB;

struct EventLoop {
  EventLoop() : m_Driver(m_Io, m_Timers) { m_Driver.start(); }
  asio::io_context m_Io;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
};

/// A client with one call that counts what it receives.
struct Watcher {
  explicit Watcher(EventLoop &Loop)
      : m_Client(Loop.m_Io, Loop.m_Timers, PeerKey{}, VmId("vm-c")) {}
  PeerClient m_Client;
  PeerCall m_Call;
  std::size_t m_ReceivedBytes = 0;
};

/// A server with watchers, each on a connection of its own. Watchers read only
/// while their event loop runs. The path /watch holds the response; /upload
/// counts the request's bytes and ends the response.
struct WatchFixture {
  WatchFixture() {
    m_Server.emplace(m_ServerLoop.m_Io, m_ServerLoop.m_Timers, PeerKey{},
                     VmId("vm-s"));
    cr_assert(isOk(m_Server->listen("127.0.0.1", 0)));
    m_Server->handle("/watch", [this](const PeerRequest &, auto Response) {
      m_Responses.push_back(std::move(Response));
    });
    m_Server->handle("/upload", [this](const PeerRequest &Request, auto Reply) {
      m_UploadedBytes += Request.m_Body.size();
      Reply->finish();
    });
  }
  void addWatchers(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      open(m_Watchers.emplace_back(m_ClientLoop), "/watch", "");
    cr_assert(runUntil([&] { return m_Responses.size() == Count; }));
    sendAll("first");
    cr_assert(runUntil([&] { return receivedBytes() == 5 * Count; }));
  }
  void open(Watcher &Receiver, const std::string &Path, std::string Body) {
    Receiver.m_Call = Receiver.m_Client.open(
        "127.0.0.1", m_Server->port(), Path, std::move(Body), 60s,
        [&Receiver](const std::string &Message) {
          Receiver.m_ReceivedBytes += Message.size();
        },
        [](const auto &) {});
  }
  void sendAll(std::string Message) {
    const auto Body = std::make_shared<const std::string>(std::move(Message));
    for (const auto &Response : m_Responses)
      cr_assert(Response->send(Body));
  }
  std::size_t receivedBytes() const {
    std::size_t Bytes = 0;
    for (const Watcher &Receiver : m_Watchers)
      Bytes += Receiver.m_ReceivedBytes;
    return Bytes;
  }
  bool runUntil(const std::function<bool()> &Condition, Duration Limit = 10s) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!Condition() && std::chrono::steady_clock::now() < End) {
      m_ServerLoop.m_Io.run_one_for(1ms);
      m_ServerLoop.m_Io.poll();
      m_ClientLoop.m_Io.poll();
    }
    return Condition();
  }
  /// Runs the server while the watchers do not read.
  void runServer(Duration Length) {
    m_ServerLoop.m_Io.run_for(Length);
    m_ServerLoop.m_Io.restart();
  }
  EventLoop m_ServerLoop, m_ClientLoop;
  std::optional<PeerServer> m_Server;
  std::vector<std::shared_ptr<ResponseStream>> m_Responses;
  std::list<Watcher> m_Watchers;
  std::size_t m_UploadedBytes = 0;
};

std::size_t usedBytes() { return heapUsage().m_Used; }
std::size_t growthSince(std::size_t Before) {
  const std::size_t Now = usedBytes();
  return Now > Before ? Now - Before : 0;
}

} // namespace

// Guards against a core VM that is ended by its memory limit when watchers read
// slowly: each held two copies of the state.
Test(peer_memory, watchers_share_one_body) {
  constexpr std::size_t Count = 200;
  WatchFixture Fixture;
  Fixture.addWatchers(Count);
  const std::size_t Before = usedBytes();
  Fixture.sendAll(std::string(StateBytes, 's'));
  const std::size_t Queued = growthSince(Before);
  Fixture.runServer(300ms);
  const std::size_t Writing = growthSince(Before);
  const std::size_t Bound = StateBytes + Count * 4 * KiB;
  cr_expect(Queued <= Bound, "%zu bytes after send(), bound %zu", Queued,
            Bound);
  cr_expect(Writing <= Bound, "%zu bytes while writing, bound %zu", Writing,
            Bound);
  cr_expect(Fixture.runUntil(
      [&] { return Fixture.receivedBytes() == Count * (StateBytes + 5); }));
}

// Guards against buffers that keep the size of the largest message, on both
// sides and in both directions.
Test(peer_memory, idle_connections_return_memory) {
  constexpr std::size_t Count = 40;
  WatchFixture Fixture;
  Fixture.addWatchers(Count);
  const std::size_t Before = usedBytes();
  for (int Round = 0; Round < 2; ++Round)
    Fixture.sendAll(std::string(512 * KiB, 's'));
  cr_assert(Fixture.runUntil(
      [&] { return Fixture.receivedBytes() == Count * (KiB * KiB + 5); }));
  std::size_t Kept = growthSince(Before);
  cr_expect(Kept <= Count * 8 * KiB, "%zu bytes kept by responses", Kept);
  for (Watcher &Receiver : Fixture.m_Watchers)
    Fixture.open(Receiver, "/upload", std::string(512 * KiB, 'u'));
  cr_assert(Fixture.runUntil(
      [&] { return Fixture.m_UploadedBytes == Count * 512 * KiB; }));
  Fixture.runUntil([] { return false; }, 100ms);
  Kept = growthSince(Before);
  cr_expect(Kept <= Count * 8 * KiB, "%zu bytes kept by requests", Kept);
}

// Guards against buffers of a fixed size in each connection: a core VM has up
// to 300 of them.
Test(peer_memory, connection_is_small) {
  constexpr std::size_t Count = 40;
  WatchFixture Fixture;
  const std::size_t Before = usedBytes();
  Fixture.addWatchers(Count);
  const std::size_t Bytes = growthSince(Before) / Count;
  cr_expect(Bytes <= 64 * KiB, "%zu bytes for both ends of a connection",
            Bytes);
}

// Guards against records that are lost or mixed when a buffer is handed over,
// and against memory reserved for a length that a peer only claims.
struct ChunkCase {
  std::size_t m_Bytes;
};
static const ChunkCase ChunkCases[] = {{1}, {23}, {16 * KiB}, {KiB * KiB}};
TABLE_TEST(peer_memory, reader_splits_records, ChunkCases) {
  const std::size_t Sizes[] = {0, 5, 3000, 100'000, 1, 2027, 2028, 70'000, 0};
  std::string Bytes;
  std::vector<std::string> Bodies, Received;
  for (const std::size_t Size : Sizes) {
    Bodies.emplace_back(Size, static_cast<char>('a' + Bodies.size()));
    Bytes += sealRecord({}, {}, PeerRecordKind::Message, 0, Bodies.back());
  }
  PeerRecordReader Reader;
  for (std::size_t Offset = 0; Offset < Bytes.size(); Offset += Row.m_Bytes) {
    Reader.append(std::string_view(Bytes).substr(Offset, Row.m_Bytes));
    for (;;) {
      auto Next = Reader.next();
      cr_assert(isOk(Next));
      if (!valueOf(Next))
        break;
      cr_expect(verifyRecord({}, {}, 0, *valueOf(Next)));
      Received.push_back(std::move(valueOf(Next)->m_Body));
    }
  }
  cr_expect(Received == Bodies);
  cr_expect(Reader.buffered() == 0);
  const std::size_t Before = usedBytes();
  Reader.append(sealRecord({}, {}, PeerRecordKind::Message, 0,
                           std::string(KiB * KiB, 'x'))
                    .substr(0, 100));
  cr_expect(growthSince(Before) <= 4 * KiB);
}

// Guards against states that pile up in the send buffers of the kernel, where
// they count as sent: the next state follows although the last is not read.
Test(peer_memory, unread_state_is_unsent) {
  constexpr std::size_t Count = 20;
  WatchFixture Fixture;
  Fixture.addWatchers(Count);
  std::size_t DrainCount = 0;
  for (const auto &Response : Fixture.m_Responses)
    Response->onDrained([&] { ++DrainCount; });
  Fixture.sendAll(std::string(StateBytes, 's'));
  Fixture.runServer(300ms);
  cr_expect(DrainCount == 0, "%zu reported as drained", DrainCount);
  // The receiver's kernel takes about 64 KiB, the sender's as much.
  const std::size_t Unsent = Fixture.m_Server->unsentBytes();
  cr_expect(Unsent >= Count * StateBytes / 2, "%zu bytes unsent", Unsent);
  cr_expect(Fixture.runUntil([&] { return DrainCount == Count; }));
}

// Guards against a sender that takes a slow reader for one that is up to date,
// and against a callback inside send().
Test(peer_memory, reports_drained_responses) {
  WatchFixture Fixture;
  Fixture.addWatchers(2);
  ResponseStream &Slow = *Fixture.m_Responses[0];
  ResponseStream &Other = *Fixture.m_Responses[1];
  int SlowCount = 0, OtherCount = 0;
  bool Sending = false;
  Slow.onDrained([&] {
    cr_expect(!Sending && Slow.unsentBytes() == 0);
    ++SlowCount;
  });
  Other.onDrained([&] {
    // Sends a second message from the callback.
    if (++OtherCount == 1)
      cr_expect(Other.send("next"));
  });
  cr_expect(Slow.unsentBytes() == 0);
  Sending = true;
  cr_assert(Other.send("one"));
  // More than the kernel buffers for a socket.
  const auto Body =
      std::make_shared<const std::string>(MaxPeerMessageBytes, 's');
  for (int Index = 0; Index < 15; ++Index)
    cr_assert(Slow.send(Body));
  Sending = false;
  const std::size_t Queued = 15 * (MaxPeerMessageBytes + PeerRecordHeaderBytes);
  cr_expect(Slow.unsentBytes() == Queued);
  Fixture.runServer(300ms);
  cr_expect(OtherCount == 2, "%d", OtherCount);
  cr_expect(SlowCount == 0, "a slow reader was reported as drained");
  const std::size_t Unsent = Slow.unsentBytes();
  cr_expect(Unsent > 0 && Unsent < Queued, "%zu", Unsent);
  cr_expect(Fixture.m_Server->unsentBytes() == Unsent);
  cr_assert(Fixture.runUntil([&] { return SlowCount != 0; }));
  cr_expect(Fixture.m_Server->unsentBytes() == 0);
  cr_assert(Slow.send("again"));
  cr_assert(Fixture.runUntil([&] { return SlowCount == 2; }));
  // The end of a stream is no reason to call back.
  cr_assert(Slow.send("last"));
  Slow.finish();
  cr_assert(Other.send("last"));
  Fixture.m_Responses.clear();
  Fixture.runUntil([] { return false; }, 50ms);
  cr_expect(SlowCount == 2 && OtherCount == 2, "%d %d", SlowCount, OtherCount);
  cr_expect(Fixture.m_Server->unsentBytes() == 0);
}
