#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/net/peer_client.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <random>
#include <vector>

using namespace ragwortdrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

PeerKey makeKey(unsigned char Byte) {
  PeerKey Key;
  Key.fill(Byte);
  return Key;
}

struct EventLoop {
  EventLoop() : m_Driver(m_Io, m_Timers) { m_Driver.start(); }
  /// Runs until the condition holds. Returns false if it does not hold within
  /// the limit.
  bool runUntil(const std::function<bool()> &Condition, Duration Limit = 5s) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!Condition() && std::chrono::steady_clock::now() < End)
      m_Io.run_one_for(5ms);
    return Condition();
  }
  asio::io_context m_Io;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
};

struct CallOutcome {
  std::vector<std::string> m_Messages;
  std::optional<Result<Done, PeerError>> m_Result;
  bool ended() const { return m_Result.has_value(); }
  bool ok() const { return m_Result && isOk(*m_Result); }
  bool failed(PeerErrorCode Code, bool MaybeSent,
              bool IsRefused = false) const {
    return m_Result && !isOk(*m_Result) &&
           errorOf(*m_Result) == PeerError{Code, MaybeSent, IsRefused};
  }
  std::string text() const {
    if (!m_Result)
      return "open";
    if (isOk(*m_Result))
      return "ok";
    return std::string(nameOf(errorOf(*m_Result).m_Code)) +
           (errorOf(*m_Result).m_MaybeSent ? " maybe_sent" : "");
  }
};

/// A server with the paths /echo (sends the body and "end"), /hold (never
/// responds), /drop (destroys the response) and /big (sends an oversized
/// message).
struct PeerFixture : EventLoop {
  explicit PeerFixture(PeerLimits Limits = {}) {
    m_Server.emplace(m_Io, m_Timers, makeKey(7), VmId("vm-s"), Limits);
    start(0);
  }
  void start(std::uint16_t Port) {
    cr_assert(isOk(m_Server->listen("127.0.0.1", Port)));
    m_Port = m_Server->port();
    m_Server->handle("/echo", [this](PeerRequest Request, auto Response) {
      m_ReceivedRequests.push_back(Request.m_Sender.m_Value + Request.m_Path +
                                   Request.m_Body.substr(0, 32));
      Response->send(std::move(Request.m_Body));
      Response->send("end");
      Response->finish();
    });
    m_Server->handle("/hold", [this](const PeerRequest &, auto Response) {
      Response->onCancel([this] { ++m_CancelCount; });
      m_HeldResponses.push_back(std::move(Response));
    });
    m_Server->handle("/drop", [](const PeerRequest &, auto) {});
    m_Server->handle("/big", [](const PeerRequest &, auto Response) {
      Response->send(std::string(MaxPeerMessageBytes + 1, 'x'));
    });
  }
  PeerCall open(PeerClient &Client, CallOutcome &Out, const std::string &Path,
                std::string Body, Duration Deadline = 4s,
                std::uint16_t Port = 0) {
    return Client.open(
        "127.0.0.1", Port != 0 ? Port : m_Port, Path, std::move(Body), Deadline,
        [&Out](std::string Message) {
          Out.m_Messages.push_back(std::move(Message));
        },
        [&Out](Result<Done, PeerError> End) { Out.m_Result = End; });
  }
  /// Returns true if the server answers a new client.
  bool respondsToNewClient() {
    PeerClient NewClient(m_Io, m_Timers, makeKey(7), VmId("vm-f"));
    CallOutcome Out;
    const PeerCall Call = open(NewClient, Out, "/echo", "probe");
    runUntil([&] { return Out.ended(); });
    return Out.ok() && Out.m_Messages.size() == 2;
  }
  std::optional<PeerServer> m_Server;
  std::uint16_t m_Port = 0;
  std::vector<std::string> m_ReceivedRequests;
  std::vector<std::shared_ptr<ResponseStream>> m_HeldResponses;
  int m_CancelCount = 0;
};

/// A TCP proxy that can record, modify or drop the bytes that it forwards.
struct Proxy {
  Proxy(EventLoop &Loop, std::uint16_t ServerPort)
      : m_Io(Loop.m_Io), m_ServerPort(ServerPort),
        m_Acceptor(Loop.m_Io,
                   tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    accept();
  }
  struct Tunnel {
    explicit Tunnel(asio::io_context &Io)
        : m_ClientSocket(Io), m_ServerSocket(Io) {}
    tcp::socket m_ClientSocket, m_ServerSocket;
    std::array<char, 65536> m_RequestBuffer, m_ResponseBuffer;
  };
  void accept() {
    auto Connection = std::make_shared<Tunnel>(m_Io);
    m_Acceptor.async_accept(
        Connection->m_ClientSocket, [this, Connection](auto Error) {
          if (Error)
            return;
          Connection->m_ServerSocket.connect(
              {asio::ip::make_address("127.0.0.1"), m_ServerPort});
          forward(Connection, Connection->m_ClientSocket,
                  Connection->m_ServerSocket, Connection->m_RequestBuffer,
                  m_RequestFilter);
          forward(Connection, Connection->m_ServerSocket,
                  Connection->m_ClientSocket, Connection->m_ResponseBuffer,
                  m_ResponseFilter);
          accept();
        });
  }
  using Filter = std::function<void(std::string &)>;
  void forward(const std::shared_ptr<Tunnel> &Connection, tcp::socket &Source,
               tcp::socket &Target, std::array<char, 65536> &Buffer,
               const Filter &Modify) {
    Source.async_read_some(
        asio::buffer(Buffer), [=, this, &Source, &Target, &Buffer,
                               &Modify](auto Error, std::size_t Size) {
          boost::system::error_code Ignored;
          if (Error) {
            // An unresponsive network does not deliver the end of a connection.
            if (!m_Unresponsive)
              Target.close(Ignored);
            return;
          }
          std::string Bytes(Buffer.data(), Size);
          if (Modify)
            Modify(Bytes);
          if (!m_Unresponsive)
            asio::write(Target, asio::buffer(Bytes), Ignored);
          forward(Connection, Source, Target, Buffer, Modify);
        });
  }
  std::uint16_t port() { return m_Acceptor.local_endpoint().port(); }
  asio::io_context &m_Io;
  std::uint16_t m_ServerPort;
  tcp::acceptor m_Acceptor;
  Filter m_RequestFilter, m_ResponseFilter;
  bool m_Unresponsive = false;
};

/// Sends raw bytes on a new connection. Returns the time until the server
/// closed it, or nullopt if it did not close within the limit.
std::optional<Duration> sendRaw(PeerFixture &Fixture, const std::string &Bytes,
                                Duration Limit) {
  tcp::socket Socket(Fixture.m_Io);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Fixture.m_Port});
  boost::system::error_code Ignored;
  asio::write(Socket, asio::buffer(Bytes), Ignored);
  bool Closed = false;
  std::array<char, 4096> Buffer;
  std::function<void()> ReadNext = [&] {
    Socket.async_read_some(asio::buffer(Buffer), [&](auto Error, std::size_t) {
      if (Error == asio::error::operation_aborted)
        return;
      Error ? void(Closed = true) : ReadNext();
    });
  };
  ReadNext();
  const auto Start = std::chrono::steady_clock::now();
  Fixture.runUntil([&] { return Closed; }, Limit);
  Socket.close(Ignored);
  Fixture.m_Io.poll();
  if (!Closed)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() -
                                              Start);
}

const std::string ConnectionPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const std::string EmptySettings("\0\0\0\4\0\0\0\0\0", 9);

struct SizeCase {
  std::size_t m_Bytes;
};
const SizeCase SizeCases[] = {{0}, {1}, {20'000}, {MaxPeerMessageBytes}};

struct ErrorCase {
  const char *m_Name;
  const char *m_Path;
  std::size_t m_Bytes;
  unsigned char m_Key;
  Duration m_Deadline;
  PeerErrorCode m_Code;
  bool m_MaybeSent;
};
const ErrorCase ErrorCases[] = {
    {"no handler", "/none", 1, 7, 4s, PeerErrorCode::Refused, false},
    {"wrong key", "/echo", 1, 8, 4s, PeerErrorCode::BadMac, false},
    {"request too large", "/echo", MaxPeerMessageBytes + 1, 7, 4s,
     PeerErrorCode::TooLarge, false},
    {"response too large", "/big", 1, 7, 4s, PeerErrorCode::TooLarge, true},
    {"response destroyed", "/drop", 1, 7, 4s, PeerErrorCode::Refused, true},
    {"deadline", "/hold", 1, 7, 100ms, PeerErrorCode::Deadline, true},
};

struct RawCase {
  const char *m_Name;
  std::string m_Bytes;
  Duration m_Limit;
};
std::string randomBytes(std::uint64_t Seed, std::size_t Size) {
  std::mt19937_64 Engine(Seed);
  std::string Bytes(Size, '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Engine());
  return Bytes;
}
const RawCase RawCases[] = {
    {"no bytes", "", 2500ms},
    {"random bytes", randomBytes(1, 5000), 500ms},
    {"random bytes after the preface", ConnectionPreface + randomBytes(2, 5000),
     2500ms},
    {"truncated preface", ConnectionPreface.substr(0, 10), 2500ms},
    {"truncated frame", ConnectionPreface + EmptySettings.substr(0, 5), 2500ms},
    {"oversized frame",
     ConnectionPreface + EmptySettings + std::string("\xff\xff\xff\0\0", 5) +
         std::string("\0\0\0\1", 4),
     2500ms},
    {"data on an idle stream",
     ConnectionPreface + EmptySettings + std::string("\0\0\1\0\1\0\0\0\1x", 10),
     2500ms},
};

} // namespace

// Guards against loss, reordering or corruption of messages of any allowed
// size.
TABLE_TEST(peer, delivers_messages_in_order, SizeCases) {
  PeerFixture Fixture;
  PeerClient Client(Fixture.m_Io, Fixture.m_Timers, makeKey(7), VmId("vm-c"));
  const std::string Body(Row.m_Bytes, 'b');
  std::vector<CallOutcome> Outcomes(20);
  std::vector<PeerCall> Calls;
  Calls.reserve(Outcomes.size());
  for (CallOutcome &Out : Outcomes)
    Calls.push_back(Fixture.open(Client, Out, "/echo", Body));
  for (CallOutcome &Out : Outcomes) {
    cr_assert(Fixture.runUntil([&] { return Out.ended(); }));
    if (Out.ok())
      cr_expect(Out.m_Messages == (std::vector<std::string>{Body, "end"}));
    else
      cr_expect(Out.failed(PeerErrorCode::Refused, false), "%s",
                Out.text().c_str());
  }
  // Of 20 requests of 1 MiB, 15 with their record headers fit into the 16 MiB
  // of unsent bytes; the others are refused before they are sent.
  const std::ptrdiff_t Succeeded =
      std::ranges::count_if(Outcomes, &CallOutcome::ok);
  cr_expect(Succeeded == (Row.m_Bytes < MaxPeerMessageBytes ? 20 : 15), "%td",
            Succeeded);
  cr_expect(Client.connections() == 1);
}

// Guards against a wrong error code and a wrong m_MaybeSent.
TABLE_TEST(peer, reports_typed_errors, ErrorCases) {
  PeerFixture Fixture;
  PeerClient Client(Fixture.m_Io, Fixture.m_Timers, makeKey(Row.m_Key),
                    VmId("vm-c"));
  CallOutcome Out;
  const PeerCall Call = Fixture.open(
      Client, Out, Row.m_Path, std::string(Row.m_Bytes, 'x'), Row.m_Deadline);
  cr_expect(!Out.ended(), "callback inside open()");
  cr_assert(Fixture.runUntil([&] { return Out.ended(); }));
  cr_expect(Out.failed(Row.m_Code, Row.m_MaybeSent), "%s: %s", Row.m_Name,
            Out.text().c_str());
  cr_expect(Fixture.m_ReceivedRequests.empty());
  cr_expect(Fixture.respondsToNewClient());
}

// Guards against a server that a malformed or unresponsive peer crashes or
// blocks.
TABLE_TEST(peer, survives_malformed_input, RawCases) {
  PeerFixture Fixture;
  const auto Closed = sendRaw(Fixture, Row.m_Bytes, Row.m_Limit);
  cr_expect(Closed.has_value(), "%s: not closed", Row.m_Name);
  cr_expect(Fixture.respondsToNewClient());
  cr_expect(Fixture.m_ReceivedRequests.size() == 1);
}

// Guards against a wrong m_MaybeSent: before the connection is established, no
// request is sent.
Test(peer, reports_unsent_when_deadline_expires_before_nonce) {
  PeerFixture Fixture;
  Proxy TestProxy(Fixture, Fixture.m_Port);
  TestProxy.m_Unresponsive = true;
  PeerClient Client(Fixture.m_Io, Fixture.m_Timers, makeKey(7), VmId("vm-c"));
  CallOutcome Out;
  const PeerCall Call =
      Fixture.open(Client, Out, "/echo", "x", 100ms, TestProxy.port());
  cr_assert(Fixture.runUntil([&] { return Out.ended(); }));
  cr_expect(Out.failed(PeerErrorCode::Deadline, false), "%s",
            Out.text().c_str());
}

// Guards against replay: the recorded bytes of a valid request, unmodified or
// with random changes, must not be executed on another connection or crash the
// server.
Test(peer, rejects_replayed_and_corrupted_requests) {
  PeerFixture Fixture;
  Proxy TestProxy(Fixture, Fixture.m_Port);
  std::string RecordedBytes;
  TestProxy.m_RequestFilter = [&](const std::string &Bytes) {
    RecordedBytes += Bytes;
  };
  PeerClient Client(Fixture.m_Io, Fixture.m_Timers, makeKey(7), VmId("vm-c"));
  CallOutcome Out;
  const PeerCall Call =
      Fixture.open(Client, Out, "/echo", "book seat 4", 4s, TestProxy.port());
  cr_assert(Fixture.runUntil([&] { return Out.ended(); }) && Out.ok());
  cr_assert(RecordedBytes.find("book seat 4") != std::string::npos);
  cr_assert(Fixture.m_ReceivedRequests.size() == 1);
  sendRaw(Fixture, RecordedBytes, 50ms);
  cr_expect(Fixture.m_ReceivedRequests.size() == 1,
            "a replayed request was executed");
  std::mt19937_64 Engine(11);
  for (int Round = 0; Round < 150; ++Round) {
    std::string Bytes = RecordedBytes;
    for (int Index = 0; Index < 1 + Round % 4; ++Index)
      Bytes[24 + Engine() % (Bytes.size() - 24)] = static_cast<char>(Engine());
    sendRaw(Fixture, Bytes.substr(0, 24 + Engine() % Bytes.size()), 2ms);
  }
  cr_expect(Fixture.m_ReceivedRequests.size() == 1,
            "a corrupted request was executed");
  cr_expect(Fixture.respondsToNewClient());
}

// Guards against accepting modified bytes in either direction.
struct ModificationCase {
  const char *m_Name;
  bool m_ModifyRequest;
  bool m_MaybeSent;
};
static const ModificationCase ModificationCases[] = {{"request", true, false},
                                                     {"response", false, true}};
TABLE_TEST(peer, rejects_modified_bytes, ModificationCases) {
  PeerFixture Fixture;
  Proxy TestProxy(Fixture, Fixture.m_Port);
  const auto ChangeSeat = [](std::string &Bytes) {
    if (const auto Position = Bytes.find("seat 4");
        Position != std::string::npos)
      Bytes[Position + 5] = '5';
  };
  (Row.m_ModifyRequest ? TestProxy.m_RequestFilter
                       : TestProxy.m_ResponseFilter) = ChangeSeat;
  PeerClient Client(Fixture.m_Io, Fixture.m_Timers, makeKey(7), VmId("vm-c"));
  CallOutcome Out;
  const PeerCall Call =
      Fixture.open(Client, Out, "/echo", "seat 4", 4s, TestProxy.port());
  cr_assert(Fixture.runUntil([&] { return Out.ended(); }));
  cr_expect(Out.failed(PeerErrorCode::BadMac, Row.m_MaybeSent), "%s: %s",
            Row.m_Name, Out.text().c_str());
  cr_expect(Out.m_Messages.empty());
}

// Guards against replay of a response that an attacker recorded for an earlier
// request: the client's nonce is part of the MAC.
Test(peer, response_mac_depends_on_request) {
  PeerRecordContext Context{randomNonce(), randomNonce(), 1, "/p", VmId("s")};
  PeerRecordContext Modified = Context;
  Modified.m_ClientNonce = randomNonce();
  PeerRecordReader Reader;
  Reader.append(
      sealRecord(makeKey(7), Context, PeerRecordKind::Message, 3, "m"));
  const auto Next = Reader.next();
  const PeerRecord &Record = *valueOf(Next);
  cr_expect(verifyRecord(makeKey(7), Context, 3, Record));
  cr_expect(!verifyRecord(makeKey(7), Context, 2, Record));
  cr_expect(!verifyRecord(makeKey(7), Modified, 3, Record));
  Modified = Context;
  Modified.m_Path = "/";
  Modified.m_Sender = VmId("ps");
  cr_expect(!verifyRecord(makeKey(7), Modified, 3, Record));
}

// Guards against the failure of section 5.11: one connection becomes
// unresponsive while others work. Its calls must end with a typed error and the
// next call must use a new connection.
Test(peer, replaces_unresponsive_connection) {
  PeerFixture Fixture;
  Proxy TestProxy(Fixture, Fixture.m_Port);
  PeerClient Client(Fixture.m_Io, Fixture.m_Timers, makeKey(7), VmId("vm-c"));
  CallOutcome Out, SecondOutcome;
  const PeerCall Call =
      Fixture.open(Client, Out, "/hold", "x", 10s, TestProxy.port());
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_HeldResponses.size() == 1; }));
  // An answered PING keeps an idle connection open beyond the limit.
  Fixture.runUntil([] { return false; }, 2s);
  cr_assert(!Out.ended(), "%s", Out.text().c_str());
  TestProxy.m_Unresponsive = true;
  cr_assert(Fixture.runUntil([&] { return Out.ended(); }, 2500ms));
  cr_expect(Out.failed(PeerErrorCode::UnresponsiveConnection, true), "%s",
            Out.text().c_str());
  TestProxy.m_Unresponsive = false;
  const PeerCall Next =
      Fixture.open(Client, SecondOutcome, "/echo", "y", 4s, TestProxy.port());
  cr_assert(Fixture.runUntil([&] { return SecondOutcome.ended(); }));
  cr_expect(SecondOutcome.ok(), "%s", SecondOutcome.text().c_str());
}

// Guards against calls that hang, and a client that does not reconnect, after
// the loss of its server.
Test(peer, reconnects_after_server_loss) {
  PeerFixture Fixture;
  PeerClient Client(Fixture.m_Io, Fixture.m_Timers, makeKey(7), VmId("vm-c"));
  CallOutcome HeldOutcome, FailedOutcome;
  const PeerCall Call = Fixture.open(Client, HeldOutcome, "/hold", "x");
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_HeldResponses.size() == 1; }));
  Fixture.m_Server.reset();
  cr_assert(Fixture.runUntil([&] { return HeldOutcome.ended(); }));
  cr_expect(HeldOutcome.failed(PeerErrorCode::ConnectionLost, true), "%s",
            HeldOutcome.text().c_str());
  cr_expect(Fixture.m_CancelCount == 0,
            "callback after destruction of the server");
  const PeerCall Second = Fixture.open(Client, FailedOutcome, "/echo", "y");
  cr_assert(Fixture.runUntil([&] { return FailedOutcome.ended(); }));
  cr_expect(FailedOutcome.failed(PeerErrorCode::ConnectFailed, false,
                                 /*IsRefused=*/true),
            "%s", FailedOutcome.text().c_str());
  Fixture.m_Server.emplace(Fixture.m_Io, Fixture.m_Timers, makeKey(7),
                           VmId("vm-s"));
  Fixture.start(Fixture.m_Port);
  cr_expect(Fixture.runUntil([&] {
    CallOutcome ReconnectOutcome;
    const PeerCall Third = Fixture.open(Client, ReconnectOutcome, "/echo", "z");
    return Fixture.runUntil([&] { return ReconnectOutcome.ended(); }) &&
           ReconnectOutcome.ok();
  }));
}

// Guards against callbacks after cancel() and against streams that stay open.
Test(peer, cancel_resets_stream) {
  PeerFixture Fixture;
  PeerClient Client(Fixture.m_Io, Fixture.m_Timers, makeKey(7), VmId("vm-c"));
  CallOutcome Out;
  {
    const PeerCall Call = Fixture.open(Client, Out, "/hold", "x");
    cr_assert(
        Fixture.runUntil([&] { return Fixture.m_HeldResponses.size() == 1; }));
  }
  cr_assert(Fixture.runUntil([&] { return Fixture.m_CancelCount == 1; }));
  cr_expect(!Fixture.m_HeldResponses[0]->send("late"));
  cr_expect(!Out.ended() && Out.m_Messages.empty());
}

// Guards against unbounded memory use if a peer does not read.
Test(peer, limits_unsent_bytes) {
  PeerLimits Limits;
  Limits.m_MaxUnsentBytes = 4 << 20;
  PeerFixture Fixture(Limits);
  Proxy TestProxy(Fixture, Fixture.m_Port);
  PeerClient Client(Fixture.m_Io, Fixture.m_Timers, makeKey(7), VmId("vm-c"));
  CallOutcome Out;
  const PeerCall Call =
      Fixture.open(Client, Out, "/hold", "x", 4s, TestProxy.port());
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_HeldResponses.size() == 1; }));
  int SentCount = 0;
  while (SentCount < 100 &&
         Fixture.m_HeldResponses[0]->send(std::string(1 << 20, 'x')))
    ++SentCount;
  cr_expect(SentCount <= 4, "%d messages of 1 MiB accepted", SentCount);
}
