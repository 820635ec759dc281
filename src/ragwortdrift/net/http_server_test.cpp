#include "ragwortdrift/net/http_client.hpp"
#include "ragwortdrift/net/http_server.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "ragwortdrift/testing/table.hpp"

#include <thread>

using namespace ragwortdrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// A server on a free port whose handler the test gives.
struct Fixture {
  asio::io_context m_Io;
  HttpServer m_Server;
  std::uint16_t m_Port = 0;

  explicit Fixture(HttpServer::Handler OnRequest, HttpLimits Limits = {})
      : m_Server(m_Io, Limits, std::move(OnRequest)) {
    cr_assert(isOk(m_Server.listen("127.0.0.1", 0)));
    m_Port = m_Server.port();
  }
  tcp::socket connect() {
    tcp::socket Socket(m_Io);
    Socket.connect({asio::ip::address_v4::loopback(), m_Port});
    return Socket;
  }
  /// Runs handlers until the condition holds, 5 s at most.
  template <class Condition> bool runUntil(Condition Holds) {
    const auto End = std::chrono::steady_clock::now() + 5s;
    while (!Holds() && std::chrono::steady_clock::now() < End) {
      m_Io.run_for(2ms);
      m_Io.restart();
    }
    return Holds();
  }
};

std::string requestText(const std::string &Body) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Reads what has arrived until Text holds all of the parts, in this order.
bool holdsInOrder(const std::string &Text,
                  const std::vector<std::string> &Parts) {
  std::size_t From = 0;
  for (const std::string &Part : Parts) {
    From = Text.find(Part, From);
    if (From == std::string::npos)
      return false;
  }
  return true;
}

void readMore(tcp::socket &Socket, std::string &Text) {
  char Buffer[4096];
  boost::system::error_code Error;
  Socket.non_blocking(true);
  const std::size_t Size = Socket.read_some(asio::buffer(Buffer), Error);
  Text.append(Buffer, Size);
}

struct RefusedCase {
  const char *m_Name;
  std::string m_Bytes;
  const char *m_Status;
  const char *m_Code;
};

const RefusedCase RefusedCases[] = {
    {"not HTTP", "hello\r\n\r\n", "400", "bad_request"},
    {"body above the limit", requestText(std::string(2000, 'x')), "413",
     "too_large"},
    {"header above the limit",
     "POST /x HTTP/1.1\r\nA: " + std::string(4000, 'y') + "\r\n\r\n", "413",
     "too_large"},
};

} // namespace

// Guards against pipelined requests that get each other's answers when the
// first one takes longer.
Test(http_server, answers_pipelined_requests_in_their_order) {
  std::vector<std::shared_ptr<HttpExchange>> Open;
  Fixture Setup([&](std::shared_ptr<HttpExchange> Exchange) {
    Open.push_back(std::move(Exchange));
  });
  tcp::socket Caller = Setup.connect();
  asio::write(Caller, asio::buffer(requestText("one") + requestText("two")));
  cr_assert(Setup.runUntil([&] { return Open.size() == 1; }));
  Open[0]->respond(jsonResponse(200, Open[0]->request().body()));
  cr_assert(Setup.runUntil([&] { return Open.size() == 2; }));
  Open[1]->respond(jsonResponse(200, Open[1]->request().body()));
  std::string Text;
  cr_assert(Setup.runUntil([&] {
    readMore(Caller, Text);
    return holdsInOrder(Text, {"one", "two"});
  }));
}

// Guards against work for a caller that is gone.
Test(http_server, reports_a_caller_that_leaves_before_its_answer) {
  std::shared_ptr<HttpExchange> Open;
  bool Aborted = false;
  Fixture Setup([&](std::shared_ptr<HttpExchange> Exchange) {
    Open = std::move(Exchange);
    Open->onAbort([&] { Aborted = true; });
  });
  {
    tcp::socket Caller = Setup.connect();
    asio::write(Caller, asio::buffer(requestText("x")));
    cr_assert(Setup.runUntil([&] { return Open != nullptr; }));
  }
  cr_assert(Setup.runUntil([&] { return Aborted; }));
  Open->respond(jsonResponse(200, "{}"));
  cr_assert_eq(Setup.m_Server.openExchanges(), 0U);
}

// Guards against callers that cost memory without bound or get no typed error.
TABLE_TEST(http_server, refuses_what_exceeds_its_limits, RefusedCases) {
  HttpLimits Limits;
  Limits.m_MaxBodyBytes = 1000;
  Limits.m_MaxHeaderBytes = 2000;
  Fixture Setup([](const std::shared_ptr<HttpExchange> &) {}, Limits);
  tcp::socket Caller = Setup.connect();
  asio::write(Caller, asio::buffer(Row.m_Bytes));
  std::string Text;
  cr_assert(Setup.runUntil([&] {
    readMore(Caller, Text);
    return holdsInOrder(Text, {Row.m_Status, Row.m_Code, "not_run\":true"});
  }),
            "%s", Row.m_Name);
  cr_assert(Setup.runUntil([&] { return Setup.m_Server.connections() == 0; }));
}

// Guards against slow callers that hold a connection for ever.
Test(http_server, closes_a_connection_without_a_whole_header) {
  HttpLimits Limits;
  Limits.m_HeaderTimeout = 1s;
  Fixture Setup([](const std::shared_ptr<HttpExchange> &) {}, Limits);
  tcp::socket Caller = Setup.connect();
  asio::write(Caller, asio::buffer(std::string("POST /x HT")));
  cr_assert(Setup.runUntil([&] { return Setup.m_Server.connections() == 1; }));
  cr_assert(Setup.runUntil([&] { return Setup.m_Server.connections() == 0; }));
}

// Guards against a stop that cuts a request in flight.
Test(http_server, answers_what_is_open_when_a_stop_begins) {
  std::shared_ptr<HttpExchange> Open;
  Fixture Setup([&](std::shared_ptr<HttpExchange> Exchange) {
    Open = std::move(Exchange);
  });
  tcp::socket Caller = Setup.connect();
  asio::write(Caller, asio::buffer(requestText("x")));
  cr_assert(Setup.runUntil([&] { return Open != nullptr; }));
  Setup.m_Server.beginStop();
  Open->respond(jsonResponse(200, "whole"));
  std::string Text;
  cr_assert(Setup.runUntil([&] {
    readMore(Caller, Text);
    return holdsInOrder(Text, {"200", "Connection: close", "whole"});
  }));
  cr_assert(Setup.runUntil([&] { return Setup.m_Server.connections() == 0; }));
}

// Guards against a connection that stays open although the handler wants its
// caller to connect elsewhere.
Test(http_server, closes_a_connection_when_the_answer_says_so) {
  Fixture Setup([](const std::shared_ptr<HttpExchange> &Exchange) {
    HttpResponse Out = jsonResponse(503, "elsewhere");
    Out.set(boost::beast::http::field::connection, "close");
    Exchange->respond(std::move(Out));
  });
  tcp::socket Caller = Setup.connect();
  asio::write(Caller, asio::buffer(requestText("x")));
  std::string Text;
  cr_assert(Setup.runUntil([&] {
    readMore(Caller, Text);
    return holdsInOrder(Text, {"503", "Connection: close", "elsewhere"});
  }));
  cr_assert(Setup.runUntil([&] { return Setup.m_Server.connections() == 0; }));
}

struct StopCase {
  const char *m_Name;
  /// Whether the server's handlers run between the request and the stop.
  bool m_WaitForBytes;
};
const StopCase StopCases[] = {{"request unread at the stop", false},
                              {"request being read at the stop", true}};

// Guards against a stop that closes a connection whose request has arrived but
// was not handled yet: the request would run and its answer be lost.
TABLE_TEST(http_server, answers_what_has_arrived_when_a_stop_begins,
           StopCases) {
  Fixture Setup([](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond(jsonResponse(200, "whole"));
  });
  tcp::socket Caller = Setup.connect();
  cr_assert(Setup.runUntil([&] { return Setup.m_Server.connections() == 1; }));
  // The first handler reads the bytes, and the one that gets the request is
  // still queued when the stop begins.
  asio::write(Caller, asio::buffer(requestText("x")));
  if (Row.m_WaitForBytes)
    cr_assert_eq(Setup.m_Io.run_one_for(1s), 1U);
  Setup.m_Server.beginStop();
  std::string Text;
  cr_assert(Setup.runUntil([&] {
    readMore(Caller, Text);
    return holdsInOrder(Text, {"200", "Connection: close", "whole"});
  }),
            "%s", Row.m_Name);
  cr_assert(Setup.runUntil([&] { return Setup.m_Server.connections() == 0; }));
}

// Guards against the loss of a good connection after its first answer.
Test(http_client, uses_one_connection_for_many_requests) {
  std::size_t Served = 0;
  Fixture Setup([&](const std::shared_ptr<HttpExchange> &Exchange) {
    ++Served;
    Exchange->respond(jsonResponse(200, Exchange->request().body()));
  });
  auto Client = std::make_shared<HttpClientConnection>(Setup.m_Io);
  bool Connected = false;
  Client->connect(
      "127.0.0.1", Setup.m_Port, 1s,
      [&](const Result<Done, HttpError> &R) { Connected = isOk(R); });
  cr_assert(Setup.runUntil([&] { return Connected; }));
  for (int Round = 0; Round < 50; ++Round) {
    HttpRequest Request{boost::beast::http::verb::post, "/x", 11};
    Request.body() = std::to_string(Round);
    std::string Answer;
    Client->send(std::move(Request), 1s,
                 [&](const Result<HttpResponse, HttpError> &R) {
                   if (isOk(R))
                     Answer = valueOf(R).body();
                 });
    cr_assert(Setup.runUntil([&] { return !Answer.empty(); }));
    cr_assert(Answer == std::to_string(Round));
    cr_assert(Client->usable());
  }
  cr_assert_eq(Setup.m_Server.connections(), 1U);
  cr_assert_eq(Served, 50U);
}

// Guards against an error that claims nothing was sent after the request left.
Test(http_client, says_that_a_request_without_answer_may_have_arrived) {
  Fixture Setup([](const std::shared_ptr<HttpExchange> &) {});
  auto Client = std::make_shared<HttpClientConnection>(Setup.m_Io);
  bool Connected = false;
  Client->connect(
      "127.0.0.1", Setup.m_Port, 1s,
      [&](const Result<Done, HttpError> &R) { Connected = isOk(R); });
  cr_assert(Setup.runUntil([&] { return Connected; }));
  std::optional<HttpError> Error;
  Client->send(HttpRequest{boost::beast::http::verb::post, "/x", 11}, 50ms,
               [&](const Result<HttpResponse, HttpError> &R) {
                 if (!isOk(R))
                   Error = errorOf(R);
               });
  cr_assert(Setup.runUntil([&] { return Error.has_value(); }));
  cr_assert_eq(Error->m_Code, HttpErrorCode::Timeout);
  cr_assert(Error->m_MaybeSent);
  cr_assert_not(Client->usable());
}
