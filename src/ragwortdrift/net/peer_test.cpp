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

PeerKey keyOf(unsigned char Byte) {
  PeerKey Key;
  Key.fill(Byte);
  return Key;
}

struct Loop {
  Loop() : m_Driver(m_Io, m_Timers) { m_Driver.start(); }
  /// Runs until the condition holds; false after the limit.
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

struct Outcome {
  std::vector<std::string> m_Messages;
  std::optional<Result<Done, PeerError>> m_End;
  bool ended() const { return m_End.has_value(); }
  bool ok() const { return m_End && isOk(*m_End); }
  bool failed(PeerErrorCode Code, bool MaybeSent) const {
    return m_End && !isOk(*m_End) &&
           errorOf(*m_End) == PeerError{Code, MaybeSent};
  }
  std::string text() const {
    if (!m_End)
      return "open";
    if (isOk(*m_End))
      return "ok";
    return std::string(nameOf(errorOf(*m_End).m_Code)) +
           (errorOf(*m_End).m_MaybeSent ? " maybe_sent" : "");
  }
};

/// A server with paths /echo (the body and "end"), /hold (never answers),
/// /drop (drops the response), /big (too large a message).
struct Bench : Loop {
  explicit Bench(PeerLimits Limits = {}) {
    m_Server.emplace(m_Io, m_Timers, keyOf(7), VmId("vm-s"), Limits);
    start(0);
  }
  void start(std::uint16_t Port) {
    cr_assert(isOk(m_Server->listen("127.0.0.1", Port)));
    m_Port = m_Server->port();
    m_Server->handle("/echo", [this](PeerRequest R, auto Response) {
      m_Seen.push_back(R.m_From.m_Value + R.m_Path + R.m_Body.substr(0, 32));
      Response->send(std::move(R.m_Body));
      Response->send("end");
      Response->finish();
    });
    m_Server->handle("/hold", [this](const PeerRequest &, auto Response) {
      Response->onCancel([this] { ++m_Cancelled; });
      m_Held.push_back(std::move(Response));
    });
    m_Server->handle("/drop", [](const PeerRequest &, auto) {});
    m_Server->handle("/big", [](const PeerRequest &, auto Response) {
      Response->send(std::string(MaxPeerMessageBytes + 1, 'x'));
    });
  }
  PeerCall open(PeerClient &Client, Outcome &Out, const std::string &Path,
                std::string Body, Duration Deadline = 4s,
                std::uint16_t Port = 0) {
    return Client.open(
        "127.0.0.1", Port != 0 ? Port : m_Port, Path, std::move(Body), Deadline,
        [&Out](std::string Message) {
          Out.m_Messages.push_back(std::move(Message));
        },
        [&Out](Result<Done, PeerError> End) { Out.m_End = End; });
  }
  /// True when the server still answers a new client.
  bool serves() {
    PeerClient Fresh(m_Io, m_Timers, keyOf(7), VmId("vm-f"));
    Outcome Out;
    const PeerCall Call = open(Fresh, Out, "/echo", "probe");
    runUntil([&] { return Out.ended(); });
    return Out.ok() && Out.m_Messages.size() == 2;
  }
  std::optional<PeerServer> m_Server;
  std::uint16_t m_Port = 0;
  std::vector<std::string> m_Seen;
  std::vector<std::shared_ptr<ResponseStream>> m_Held;
  int m_Cancelled = 0;
};

/// Forwards connections to a server; records, changes or holds back bytes.
struct Proxy {
  Proxy(Loop &L, std::uint16_t To)
      : m_Io(L.m_Io), m_To(To),
        m_Acceptor(L.m_Io,
                   tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    accept();
  }
  struct Pipe {
    explicit Pipe(asio::io_context &Io) : m_In(Io), m_Out(Io) {}
    tcp::socket m_In, m_Out;
    std::array<char, 65536> m_Up, m_Down;
  };
  void accept() {
    auto P = std::make_shared<Pipe>(m_Io);
    m_Acceptor.async_accept(P->m_In, [this, P](auto Error) {
      if (Error)
        return;
      P->m_Out.connect({asio::ip::make_address("127.0.0.1"), m_To});
      forward(P, P->m_In, P->m_Out, P->m_Up, m_UpFilter);
      forward(P, P->m_Out, P->m_In, P->m_Down, m_DownFilter);
      accept();
    });
  }
  using Filter = std::function<void(std::string &)>;
  void forward(const std::shared_ptr<Pipe> &P, tcp::socket &From,
               tcp::socket &To, std::array<char, 65536> &Buffer,
               const Filter &Change) {
    From.async_read_some(
        asio::buffer(Buffer),
        [=, this, &From, &To, &Buffer, &Change](auto Error, std::size_t Size) {
          boost::system::error_code Ignored;
          if (Error) {
            // A silent network does not deliver the end of a connection.
            if (!m_Frozen)
              To.close(Ignored);
            return;
          }
          std::string Bytes(Buffer.data(), Size);
          if (Change)
            Change(Bytes);
          if (!m_Frozen)
            asio::write(To, asio::buffer(Bytes), Ignored);
          forward(P, From, To, Buffer, Change);
        });
  }
  std::uint16_t port() { return m_Acceptor.local_endpoint().port(); }
  asio::io_context &m_Io;
  std::uint16_t m_To;
  tcp::acceptor m_Acceptor;
  Filter m_UpFilter, m_DownFilter;
  bool m_Frozen = false;
};

/// Sends raw bytes on a new connection; returns how long until the server
/// closed it, or nothing within the limit.
std::optional<Duration> sendRaw(Bench &B, const std::string &Bytes,
                                Duration Limit) {
  tcp::socket Socket(B.m_Io);
  Socket.connect({asio::ip::make_address("127.0.0.1"), B.m_Port});
  boost::system::error_code Ignored;
  asio::write(Socket, asio::buffer(Bytes), Ignored);
  bool Closed = false;
  std::array<char, 4096> Sink;
  std::function<void()> Read = [&] {
    Socket.async_read_some(asio::buffer(Sink), [&](auto Error, std::size_t) {
      if (Error == asio::error::operation_aborted)
        return;
      Error ? void(Closed = true) : Read();
    });
  };
  Read();
  const auto Start = std::chrono::steady_clock::now();
  B.runUntil([&] { return Closed; }, Limit);
  Socket.close(Ignored);
  B.m_Io.poll();
  if (!Closed)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() -
                                              Start);
}

const std::string Magic = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const std::string EmptySettings("\0\0\0\4\0\0\0\0\0", 9);

struct SizeCase {
  std::size_t m_Bytes;
};
const SizeCase Sizes[] = {{0}, {1}, {20'000}, {MaxPeerMessageBytes}};

struct ErrorCase {
  const char *m_Name;
  const char *m_Path;
  std::size_t m_Bytes;
  unsigned char m_Key;
  Duration m_Deadline;
  PeerErrorCode m_Code;
  bool m_MaybeSent;
};
const ErrorCase Errors[] = {
    {"no handler", "/none", 1, 7, 4s, PeerErrorCode::Refused, false},
    {"wrong key", "/echo", 1, 8, 4s, PeerErrorCode::BadMac, false},
    {"request too large", "/echo", MaxPeerMessageBytes + 1, 7, 4s,
     PeerErrorCode::TooLarge, false},
    {"response too large", "/big", 1, 7, 4s, PeerErrorCode::TooLarge, true},
    {"response dropped", "/drop", 1, 7, 4s, PeerErrorCode::Refused, true},
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
const RawCase Raws[] = {
    {"never speaks", "", 2500ms},
    {"random bytes", randomBytes(1, 5000), 500ms},
    {"random bytes after the preface", Magic + randomBytes(2, 5000), 2500ms},
    {"cut preface", Magic.substr(0, 10), 2500ms},
    {"cut frame", Magic + EmptySettings.substr(0, 5), 2500ms},
    {"oversized frame",
     Magic + EmptySettings + std::string("\xff\xff\xff\0\0", 5) +
         std::string("\0\0\0\1", 4),
     2500ms},
    {"data on an idle stream",
     Magic + EmptySettings + std::string("\0\0\1\0\1\0\0\0\1x", 10), 2500ms},
};

} // namespace

// Guards against loss, reordering or change of messages of any allowed size.
TABLE_TEST(peer, carries_messages, Sizes) {
  Bench B;
  PeerClient Client(B.m_Io, B.m_Timers, keyOf(7), VmId("vm-c"));
  const std::string Body(Row.m_Bytes, 'b');
  std::vector<Outcome> Outs(20);
  std::vector<PeerCall> Calls;
  Calls.reserve(Outs.size());
  for (Outcome &Out : Outs)
    Calls.push_back(B.open(Client, Out, "/echo", Body));
  for (Outcome &Out : Outs) {
    cr_assert(B.runUntil([&] { return Out.ended(); }));
    if (Out.ok())
      cr_expect(Out.m_Messages == (std::vector<std::string>{Body, "end"}));
    else
      cr_expect(Out.failed(PeerErrorCode::Refused, false), "%s",
                Out.text().c_str());
  }
  // Of 20 requests of 1 MiB, 15 with their headers fit into the 16 MiB of
  // unsent bytes; the others are refused before they are sent.
  const std::ptrdiff_t Good = std::ranges::count_if(Outs, &Outcome::ok);
  cr_expect(Good == (Row.m_Bytes < MaxPeerMessageBytes ? 20 : 15), "%td", Good);
  cr_expect(Client.connections() == 1);
}

// Guards against a wrong error or a wrong statement about the request's fate.
TABLE_TEST(peer, reports_typed_errors, Errors) {
  Bench B;
  PeerClient Client(B.m_Io, B.m_Timers, keyOf(Row.m_Key), VmId("vm-c"));
  Outcome Out;
  const PeerCall Call = B.open(Client, Out, Row.m_Path,
                               std::string(Row.m_Bytes, 'x'), Row.m_Deadline);
  cr_expect(!Out.ended(), "callback inside open()");
  cr_assert(B.runUntil([&] { return Out.ended(); }));
  cr_expect(Out.failed(Row.m_Code, Row.m_MaybeSent), "%s: %s", Row.m_Name,
            Out.text().c_str());
  cr_expect(B.m_Seen.empty());
  cr_expect(B.serves());
}

// Guards against a server that a broken or silent peer stops or occupies.
TABLE_TEST(peer, survives_raw_bytes, Raws) {
  Bench B;
  const auto Closed = sendRaw(B, Row.m_Bytes, Row.m_Limit);
  cr_expect(Closed.has_value(), "%s: not closed", Row.m_Name);
  cr_expect(B.serves());
  cr_expect(B.m_Seen.size() == 1);
}

// Guards against a false m_MaybeSent: while the connection is being made, no
// request was sent.
Test(peer, deadline_before_the_nonce_is_not_sent) {
  Bench B;
  Proxy P(B, B.m_Port);
  P.m_Frozen = true;
  PeerClient Client(B.m_Io, B.m_Timers, keyOf(7), VmId("vm-c"));
  Outcome Out;
  const PeerCall Call = B.open(Client, Out, "/echo", "x", 100ms, P.port());
  cr_assert(B.runUntil([&] { return Out.ended(); }));
  cr_expect(Out.failed(PeerErrorCode::Deadline, false), "%s",
            Out.text().c_str());
}

// Guards against replay: the recorded bytes of a valid request, whole or with
// random changes, run nothing on other connections and leave the server alive.
Test(peer, replayed_or_damaged_request_runs_nothing) {
  Bench B;
  Proxy P(B, B.m_Port);
  std::string Recorded;
  P.m_UpFilter = [&](const std::string &Bytes) { Recorded += Bytes; };
  PeerClient Client(B.m_Io, B.m_Timers, keyOf(7), VmId("vm-c"));
  Outcome Out;
  const PeerCall Call =
      B.open(Client, Out, "/echo", "book seat 4", 4s, P.port());
  cr_assert(B.runUntil([&] { return Out.ended(); }) && Out.ok());
  cr_assert(Recorded.find("book seat 4") != std::string::npos);
  cr_assert(B.m_Seen.size() == 1);
  sendRaw(B, Recorded, 50ms);
  cr_expect(B.m_Seen.size() == 1, "a replayed request ran");
  std::mt19937_64 Engine(11);
  for (int Round = 0; Round < 150; ++Round) {
    std::string Bytes = Recorded;
    for (int Change = 0; Change < 1 + Round % 4; ++Change)
      Bytes[24 + Engine() % (Bytes.size() - 24)] = static_cast<char>(Engine());
    sendRaw(B, Bytes.substr(0, 24 + Engine() % Bytes.size()), 2ms);
  }
  cr_expect(B.m_Seen.size() == 1, "a damaged request ran");
  cr_expect(B.serves());
}

// Guards against accepting changed bytes, in either direction.
struct ChangeCase {
  const char *m_Name;
  bool m_Up;
  bool m_MaybeSent;
};
static const ChangeCase Changes[] = {{"request", true, false},
                                     {"response", false, true}};
TABLE_TEST(peer, changed_bytes_fail_the_mac, Changes) {
  Bench B;
  Proxy P(B, B.m_Port);
  const auto Flip = [](std::string &Bytes) {
    if (const auto At = Bytes.find("seat 4"); At != std::string::npos)
      Bytes[At + 5] = '5';
  };
  (Row.m_Up ? P.m_UpFilter : P.m_DownFilter) = Flip;
  PeerClient Client(B.m_Io, B.m_Timers, keyOf(7), VmId("vm-c"));
  Outcome Out;
  const PeerCall Call = B.open(Client, Out, "/echo", "seat 4", 4s, P.port());
  cr_assert(B.runUntil([&] { return Out.ended(); }));
  cr_expect(Out.failed(PeerErrorCode::BadMac, Row.m_MaybeSent), "%s: %s",
            Row.m_Name, Out.text().c_str());
  cr_expect(Out.m_Messages.empty());
}

// Guards against a response that an attacker recorded for an earlier request:
// the client's nonce is part of the MAC.
Test(peer, response_mac_covers_the_request) {
  PeerRecordContext A{randomNonce(), randomNonce(), 1, "/p", VmId("s")};
  PeerRecordContext Other = A;
  Other.m_ClientNonce = randomNonce();
  PeerRecordReader Reader;
  Reader.append(sealRecord(keyOf(7), A, PeerRecordKind::Message, 3, "m"));
  const auto Next = Reader.next();
  const PeerRecord &Record = *valueOf(Next);
  cr_expect(verifyRecord(keyOf(7), A, 3, Record));
  cr_expect(!verifyRecord(keyOf(7), A, 2, Record));
  cr_expect(!verifyRecord(keyOf(7), Other, 3, Record));
  Other = A;
  Other.m_Path = "/";
  Other.m_Sender = VmId("ps");
  cr_expect(!verifyRecord(keyOf(7), Other, 3, Record));
}

// Guards against section 5.11's fault: a connection that goes silent while
// others work. Calls end typed, and the next call uses a new connection.
Test(peer, silent_connection_is_replaced) {
  Bench B;
  Proxy P(B, B.m_Port);
  PeerClient Client(B.m_Io, B.m_Timers, keyOf(7), VmId("vm-c"));
  Outcome Out, Again;
  const PeerCall Call = B.open(Client, Out, "/hold", "x", 10s, P.port());
  cr_assert(B.runUntil([&] { return B.m_Held.size() == 1; }));
  // An answered PING keeps an idle connection open beyond the limit.
  B.runUntil([] { return false; }, 2s);
  cr_assert(!Out.ended(), "%s", Out.text().c_str());
  P.m_Frozen = true;
  cr_assert(B.runUntil([&] { return Out.ended(); }, 2500ms));
  cr_expect(Out.failed(PeerErrorCode::SilentConnection, true), "%s",
            Out.text().c_str());
  P.m_Frozen = false;
  const PeerCall Next = B.open(Client, Again, "/echo", "y", 4s, P.port());
  cr_assert(B.runUntil([&] { return Again.ended(); }));
  cr_expect(Again.ok(), "%s", Again.text().c_str());
}

// Guards against calls that hang or a client that never returns after its
// server was lost.
Test(peer, reconnects_after_server_loss) {
  Bench B;
  PeerClient Client(B.m_Io, B.m_Timers, keyOf(7), VmId("vm-c"));
  Outcome Held, Down;
  const PeerCall Call = B.open(Client, Held, "/hold", "x");
  cr_assert(B.runUntil([&] { return B.m_Held.size() == 1; }));
  B.m_Server.reset();
  cr_assert(B.runUntil([&] { return Held.ended(); }));
  cr_expect(Held.failed(PeerErrorCode::ConnectionLost, true), "%s",
            Held.text().c_str());
  cr_expect(B.m_Cancelled == 0, "callback after the server's end");
  const PeerCall Second = B.open(Client, Down, "/echo", "y");
  cr_assert(B.runUntil([&] { return Down.ended(); }));
  cr_expect(Down.failed(PeerErrorCode::ConnectFailed, false), "%s",
            Down.text().c_str());
  B.m_Server.emplace(B.m_Io, B.m_Timers, keyOf(7), VmId("vm-s"));
  B.start(B.m_Port);
  cr_expect(B.runUntil([&] {
    Outcome Up;
    const PeerCall Third = B.open(Client, Up, "/echo", "z");
    return B.runUntil([&] { return Up.ended(); }) && Up.ok();
  }));
}

// Guards against callbacks after cancel() and streams that stay open.
Test(peer, cancel_resets_the_stream) {
  Bench B;
  PeerClient Client(B.m_Io, B.m_Timers, keyOf(7), VmId("vm-c"));
  Outcome Out;
  {
    const PeerCall Call = B.open(Client, Out, "/hold", "x");
    cr_assert(B.runUntil([&] { return B.m_Held.size() == 1; }));
  }
  cr_assert(B.runUntil([&] { return B.m_Cancelled == 1; }));
  cr_expect(!B.m_Held[0]->send("late"));
  cr_expect(!Out.ended() && Out.m_Messages.empty());
}

// Guards against memory use without bound when a peer does not read.
Test(peer, unsent_bytes_are_limited) {
  PeerLimits Limits;
  Limits.m_MaxUnsentBytes = 4 << 20;
  Bench B(Limits);
  Proxy P(B, B.m_Port);
  PeerClient Client(B.m_Io, B.m_Timers, keyOf(7), VmId("vm-c"));
  Outcome Out;
  const PeerCall Call = B.open(Client, Out, "/hold", "x", 4s, P.port());
  cr_assert(B.runUntil([&] { return B.m_Held.size() == 1; }));
  int Sent = 0;
  while (Sent < 100 && B.m_Held[0]->send(std::string(1 << 20, 'x')))
    ++Sent;
  cr_expect(Sent <= 4, "%d messages of 1 MiB accepted", Sent);
}
