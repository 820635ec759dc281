#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/dispatch/leaf_pool.hpp"
#include "ragwortdrift/net/http_server.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace ragwortdrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// A pool and a leaf on loopback whose answers are raw bytes.
struct PoolFixture {
  PoolFixture()
      : m_Driver(m_Io, m_Timers), m_Pool(m_Io, m_Timers, "T-Id"),
        m_Acceptor(m_Io, {asio::ip::address_v4::loopback(), 0}) {
    m_Driver.start();
    m_Leaf.m_Id = LeafId{"leaf"};
    m_Leaf.m_Service = ServiceName{"service"};
    m_Leaf.m_Address = {"127.0.0.1", m_Acceptor.local_endpoint().port()};
    m_Pool.onIdleEnd([this](const LeafId &) { ++m_IdleEnds; });
    accept();
  }

  void accept() {
    m_Acceptor.async_accept(
        [this](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          ++m_Accepted;
          m_Open.push_back(std::make_shared<tcp::socket>(std::move(Socket)));
          serve(m_Open.back(), std::make_shared<std::string>());
          accept();
        });
  }

  void serve(const std::shared_ptr<tcp::socket> &Socket,
             const std::shared_ptr<std::string> &Buffer) {
    asio::async_read_until(
        *Socket, asio::dynamic_buffer(*Buffer), "\r\n\r\n",
        [=, this](boost::system::error_code Error, std::size_t) {
          if (Error) {
            ++m_Ended;
            return;
          }
          Buffer->clear();
          ++m_Requests;
          m_Sockets.push_back(Socket);
          if (m_Answer.empty()) {
            serve(Socket, Buffer);
            return;
          }
          asio::async_write(*Socket, asio::buffer(m_Answer),
                            [=, this](boost::system::error_code, std::size_t) {
                              serve(Socket, Buffer);
                            });
        });
  }

  SendId send(std::function<void(Result<HttpResponse, HttpError>)> Fn,
              Duration Timeout = 500ms) {
    HttpRequest Request{boost::beast::http::verb::get, "/x", 11};
    Request.set("Host", "h");
    Request.set("T-Id", "r1");
    return m_Pool.send(m_Leaf, std::move(Request), Timeout, std::move(Fn));
  }
  /// The outcome of one request.
  Result<HttpResponse, HttpError> ask(Duration Timeout = 500ms) {
    std::optional<Result<HttpResponse, HttpError>> Out;
    send(
        [&](Result<HttpResponse, HttpError> &&Actual) {
          Out.emplace(std::move(Actual));
        },
        Timeout);
    cr_assert(runUntil([&] { return Out.has_value(); }));
    return std::move(*Out);
  }
  template <class Condition>
  bool runUntil(Condition Holds, Duration Limit = 3s) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!Holds() && std::chrono::steady_clock::now() < End)
      m_Io.run_one_for(5ms);
    return Holds();
  }

  asio::io_context m_Io;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
  LeafPool m_Pool;
  tcp::acceptor m_Acceptor;
  ListedLeaf m_Leaf;
  std::string m_Answer =
      "HTTP/1.1 200 OK\r\nT-Id: r1\r\nContent-Length: 2\r\n\r\nok";
  /// Accepted connections, and the connection of each request.
  std::vector<std::shared_ptr<tcp::socket>> m_Open;
  std::vector<std::shared_ptr<tcp::socket>> m_Sockets;
  int m_Accepted = 0;
  int m_Ended = 0;
  int m_Requests = 0;
  int m_IdleEnds = 0;
};

struct AnswerCase {
  const char *m_Name;
  std::string m_Bytes;
  bool m_Ok;
  /// Whether the connection is used again.
  bool m_Kept;
};
const AnswerCase AnswerCases[] = {
    {"whole", "HTTP/1.1 200 OK\r\nT-Id: r1\r\nContent-Length: 2\r\n\r\nok",
     true, true},
    {"in chunks",
     "HTTP/1.1 200 OK\r\nT-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\n\r\n",
     true, true},
    {"leaf closes",
     "HTTP/1.1 200 OK\r\nT-Id: r1\r\nConnection: close\r\n"
     "Content-Length: 2\r\n\r\nok",
     true, false},
    {"bytes after the answer",
     "HTTP/1.1 200 OK\r\nT-Id: r1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200",
     true, false},
    {"answer to another request",
     "HTTP/1.1 200 OK\r\nT-Id: r0\r\nContent-Length: 2\r\n\r\nok", false,
     false},
    {"no HTTP", "hello there\r\n\r\n", false, false},
};

} // namespace

// Guards against bytes of one answer that are taken for another's, and against
// connections that are dropped without need.
TABLE_TEST(leaf_pool, keeps_a_connection_only_in_step, AnswerCases) {
  PoolFixture F;
  F.m_Answer = Row.m_Bytes;
  const auto First = F.ask();
  cr_assert_eq(isOk(First), Row.m_Ok, "%s", Row.m_Name);
  if (Row.m_Ok)
    cr_assert_eq(valueOf(First).body(), "ok", "%s", Row.m_Name);
  else
    cr_assert(errorOf(First).m_MaybeSent, "%s", Row.m_Name);
  F.runUntil([] { return false; }, 20ms);
  (void)F.ask();
  cr_assert_eq(F.m_Accepted, Row.m_Kept ? 1 : 2, "%s", Row.m_Name);
}

// Guards against an answer cut by the leaf that looks whole.
Test(leaf_pool, reports_a_cut_answer_as_maybe_run) {
  PoolFixture F;
  F.m_Answer.clear();
  std::optional<Result<HttpResponse, HttpError>> Out;
  F.send([&](Result<HttpResponse, HttpError> &&Actual) {
    Out.emplace(std::move(Actual));
  });
  cr_assert(F.runUntil([&] { return F.m_Requests == 1; }));
  asio::write(*F.m_Sockets[0],
              asio::buffer(std::string(
                  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")));
  F.m_Sockets[0]->close();
  cr_assert(F.runUntil([&] { return Out.has_value(); }));
  cr_assert(!isOk(*Out) && errorOf(*Out).m_MaybeSent);
}

// Guards against more connections to a leaf than this VM's share, and against
// requests above it that are lost.
Test(leaf_pool, waits_above_its_share) {
  PoolFixture F;
  F.m_Pool.setShare(ServiceName{"service"}, 2);
  F.m_Answer.clear();
  int Answered = 0;
  for (int I = 0; I < 5; ++I)
    F.send(
        [&](const Result<HttpResponse, HttpError> &Actual) {
          Answered += isOk(Actual) ? 1 : 0;
        },
        3s);
  cr_assert(F.runUntil([&] { return F.m_Requests == 2; }));
  F.runUntil([] { return false; }, 30ms);
  cr_assert_eq(F.m_Accepted, 2);
  F.m_Answer = "HTTP/1.1 200 OK\r\nT-Id: r1\r\nContent-Length: 2\r\n\r\nok";
  for (const auto &Socket : std::vector(F.m_Sockets))
    asio::write(*Socket, asio::buffer(F.m_Answer));
  cr_assert(F.runUntil([&] { return Answered == 5; }));
  cr_assert_eq(F.m_Accepted, 2);
}

// Guards against a silent leaf that holds a request beyond its time, and
// against a request that waits for a slot for ever.
Test(leaf_pool, ends_requests_at_their_timeout) {
  PoolFixture F;
  F.m_Pool.setShare(ServiceName{"service"}, 1);
  F.m_Answer.clear();
  std::vector<HttpError> Errors;
  for (int I = 0; I < 2; ++I)
    F.send(
        [&](const Result<HttpResponse, HttpError> &Actual) {
          if (!isOk(Actual))
            Errors.push_back(errorOf(Actual));
        },
        100ms);
  cr_assert(F.runUntil([&] { return Errors.size() == 2; }, 1s));
  const auto Sent =
      std::count_if(Errors.begin(), Errors.end(),
                    [](const HttpError &Error) { return Error.m_MaybeSent; });
  cr_assert_eq(Sent, 1);
}

// Guards against a leaf that works on for a caller that has left.
Test(leaf_pool, closes_the_connection_of_a_cancelled_request) {
  PoolFixture F;
  F.m_Answer.clear();
  bool Called = false;
  const SendId Id =
      F.send([&](const Result<HttpResponse, HttpError> &) { Called = true; });
  cr_assert(F.runUntil([&] { return F.m_Requests == 1; }));
  F.m_Pool.cancel(Id);
  cr_assert(F.runUntil([&] { return F.m_Ended == 1; }));
  cr_assert_not(Called);
  cr_assert(F.runUntil([&] { return F.m_Pool.connections() == 0; }));
}

// Guards against a restarted leaf that is taken for the one before: its idle
// connections end together.
Test(leaf_pool, tells_of_an_idle_connection_that_ended) {
  PoolFixture F;
  cr_assert(isOk(F.ask()));
  F.m_Sockets[0]->close();
  cr_assert(F.runUntil([&] { return F.m_IdleEnds == 1; }));
  cr_assert_eq(F.m_Pool.connections(), 0U);
}

// Guards against first requests that wait for a connection, against more than
// one connection that nobody asked for, and against the suspicion of a restart
// when an unused connection ends.
Test(leaf_pool, opens_one_connection_ahead) {
  PoolFixture F;
  F.m_Pool.warm(F.m_Leaf);
  F.m_Pool.warm(F.m_Leaf);
  cr_assert(F.runUntil([&] { return F.m_Accepted == 1; }));
  F.runUntil([] { return false; }, 20ms);
  F.m_Pool.warm(F.m_Leaf);
  cr_assert(isOk(F.ask()));
  cr_assert_eq(F.m_Accepted, 1);

  PoolFixture Unused;
  Unused.m_Pool.warm(Unused.m_Leaf);
  cr_assert(Unused.runUntil([&] { return !Unused.m_Open.empty(); }));
  Unused.runUntil([] { return false; }, 20ms);
  Unused.m_Open[0]->close();
  cr_assert(Unused.runUntil([&] { return Unused.m_Pool.connections() == 0; }));
  cr_assert_eq(Unused.m_IdleEnds, 0);
}

// Guards against a request on a connection that its leaf is about to close.
Test(leaf_pool, closes_an_idle_connection_before_its_leaf_does) {
  PoolFixture F;
  F.m_Answer = "HTTP/1.1 200 OK\r\nT-Id: r1\r\nKeep-Alive: timeout=1\r\n"
               "Content-Length: 2\r\n\r\nok";
  cr_assert(isOk(F.ask()));
  F.runUntil([] { return false; }, 600ms);
  F.m_Pool.closeIdle();
  cr_assert_eq(F.m_Pool.connections(), 0U);
  cr_assert_eq(F.m_IdleEnds, 0);
}

// Guards against a lost leaf that is reported as one that may have run.
Test(leaf_pool, reports_a_refused_connection_as_unsent) {
  PoolFixture F;
  F.m_Acceptor.close();
  const auto Out = F.ask();
  cr_assert(!isOk(Out) && !errorOf(Out).m_MaybeSent);
  cr_assert_eq(errorOf(Out).m_Code, HttpErrorCode::ConnectFailed);
}
