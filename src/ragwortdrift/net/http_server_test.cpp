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

/// A server on a free port with the given request handler.
struct ServerFixture {
  asio::io_context m_Io;
  HttpServer m_Server;
  std::uint16_t m_Port = 0;

  explicit ServerFixture(HttpServer::Handler OnRequest, HttpLimits Limits = {})
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
  template <class Predicate> bool runUntil(Predicate Condition) {
    const auto End = std::chrono::steady_clock::now() + 5s;
    while (!Condition() && std::chrono::steady_clock::now() < End) {
      m_Io.run_for(2ms);
      m_Io.restart();
    }
    return Condition();
  }
};

std::string requestText(const std::string &Body) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Returns true if Text contains all of the parts in this order.
bool containsInOrder(const std::string &Text,
                     const std::vector<std::string> &Parts) {
  std::size_t Offset = 0;
  for (const std::string &Part : Parts) {
    Offset = Text.find(Part, Offset);
    if (Offset == std::string::npos)
      return false;
  }
  return true;
}

/// Appends the bytes that have arrived to Text without blocking.
void readAvailable(tcp::socket &Socket, std::string &Text) {
  char Buffer[4096];
  boost::system::error_code Error;
  Socket.non_blocking(true);
  const std::size_t Size = Socket.read_some(asio::buffer(Buffer), Error);
  Text.append(Buffer, Size);
}

struct RefusalCase {
  const char *m_Name;
  std::string m_Bytes;
  const char *m_Status;
  const char *m_Code;
};

const RefusalCase RefusalCases[] = {
    {"not HTTP", "hello\r\n\r\n", "400", "bad_request"},
    {"body above the limit", requestText(std::string(2000, 'x')), "413",
     "too_large"},
    {"header above the limit",
     "POST /x HTTP/1.1\r\nA: " + std::string(4000, 'y') + "\r\n\r\n", "413",
     "too_large"},
};

} // namespace

// Guards against pipelined requests that receive each other's responses when
// the first one takes longer.
Test(http_server, answers_pipelined_requests_in_order) {
  std::vector<std::shared_ptr<HttpExchange>> OpenExchanges;
  ServerFixture Fixture([&](std::shared_ptr<HttpExchange> Exchange) {
    OpenExchanges.push_back(std::move(Exchange));
  });
  tcp::socket Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(requestText("one") + requestText("two")));
  cr_assert(Fixture.runUntil([&] { return OpenExchanges.size() == 1; }));
  OpenExchanges[0]->respond(
      jsonResponse(200, OpenExchanges[0]->request().body()));
  cr_assert(Fixture.runUntil([&] { return OpenExchanges.size() == 2; }));
  OpenExchanges[1]->respond(
      jsonResponse(200, OpenExchanges[1]->request().body()));
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return containsInOrder(Text, {"one", "two"});
  }));
}

// Guards against work for a caller that has disconnected.
Test(http_server, reports_caller_disconnect_before_response) {
  std::shared_ptr<HttpExchange> OpenExchange;
  bool Aborted = false;
  ServerFixture Fixture([&](std::shared_ptr<HttpExchange> Exchange) {
    OpenExchange = std::move(Exchange);
    OpenExchange->onAbort([&] { Aborted = true; });
  });
  {
    tcp::socket Caller = Fixture.connect();
    asio::write(Caller, asio::buffer(requestText("x")));
    cr_assert(Fixture.runUntil([&] { return OpenExchange != nullptr; }));
  }
  cr_assert(Fixture.runUntil([&] { return Aborted; }));
  OpenExchange->respond(jsonResponse(200, "{}"));
  cr_assert_eq(Fixture.m_Server.openExchanges(), 0U);
}

// Guards against unbounded memory use by a caller and against a refusal
// without a typed error.
TABLE_TEST(http_server, refuses_requests_above_limits, RefusalCases) {
  HttpLimits Limits;
  Limits.m_MaxBodyBytes = 1000;
  Limits.m_MaxHeaderBytes = 2000;
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &) {}, Limits);
  tcp::socket Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(Row.m_Bytes));
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return containsInOrder(Text, {Row.m_Status, Row.m_Code, "not_run\":true"});
  }),
            "%s", Row.m_Name);
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 0; }));
}

// Guards against slow callers that hold a connection indefinitely.
Test(http_server, closes_connection_without_complete_header) {
  HttpLimits Limits;
  Limits.m_HeaderTimeout = 1s;
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &) {}, Limits);
  tcp::socket Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(std::string("POST /x HT")));
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 1; }));
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 0; }));
}

// Guards against a shutdown that drops a request in flight.
Test(http_server, answers_request_in_flight_at_shutdown) {
  std::shared_ptr<HttpExchange> OpenExchange;
  ServerFixture Fixture([&](std::shared_ptr<HttpExchange> Exchange) {
    OpenExchange = std::move(Exchange);
  });
  tcp::socket Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(requestText("x")));
  cr_assert(Fixture.runUntil([&] { return OpenExchange != nullptr; }));
  Fixture.m_Server.beginStop();
  OpenExchange->respond(jsonResponse(200, "whole"));
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return containsInOrder(Text, {"200", "Connection: close", "whole"});
  }));
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 0; }));
}

// Guards against a connection that stays open although the handler's response
// asks the caller to reconnect.
Test(http_server, closes_connection_when_response_requests_it) {
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &Exchange) {
    HttpResponse Out = jsonResponse(503, "elsewhere");
    Out.set(boost::beast::http::field::connection, "close");
    Exchange->respond(std::move(Out));
  });
  tcp::socket Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(requestText("x")));
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return containsInOrder(Text, {"503", "Connection: close", "elsewhere"});
  }));
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 0; }));
}

struct ShutdownCase {
  const char *m_Name;
  /// True if the server reads the request before the shutdown begins.
  bool m_ReadBeforeShutdown;
};
const ShutdownCase ShutdownCases[] = {{"request unread at shutdown", false},
                                      {"request being read at shutdown", true}};

// Guards against a shutdown that closes a connection whose request has arrived
// but is not handled yet: the request would be executed and its response lost.
TABLE_TEST(http_server, answers_received_request_at_shutdown, ShutdownCases) {
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond(jsonResponse(200, "whole"));
  });
  tcp::socket Caller = Fixture.connect();
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 1; }));
  // The first completion handler reads the bytes; the one that receives the
  // request is still queued when the shutdown begins.
  asio::write(Caller, asio::buffer(requestText("x")));
  if (Row.m_ReadBeforeShutdown)
    cr_assert_eq(Fixture.m_Io.run_one_for(1s), 1U);
  Fixture.m_Server.beginStop();
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return containsInOrder(Text, {"200", "Connection: close", "whole"});
  }),
            "%s", Row.m_Name);
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 0; }));
}

// Guards against closing a reusable connection after its first response.
Test(http_client, reuses_connection_for_many_requests) {
  std::size_t Served = 0;
  ServerFixture Fixture([&](const std::shared_ptr<HttpExchange> &Exchange) {
    ++Served;
    Exchange->respond(jsonResponse(200, Exchange->request().body()));
  });
  auto Client = std::make_shared<HttpClientConnection>(Fixture.m_Io);
  bool Connected = false;
  Client->connect("127.0.0.1", Fixture.m_Port, 1s,
                  [&](const Result<Done, HttpError> &Outcome) {
                    Connected = isOk(Outcome);
                  });
  cr_assert(Fixture.runUntil([&] { return Connected; }));
  for (int Round = 0; Round < 50; ++Round) {
    HttpRequest Request{boost::beast::http::verb::post, "/x", 11};
    Request.body() = std::to_string(Round);
    std::string Body;
    Client->send(std::move(Request), 1s,
                 [&](const Result<HttpResponse, HttpError> &Outcome) {
                   if (isOk(Outcome))
                     Body = valueOf(Outcome).body();
                 });
    cr_assert(Fixture.runUntil([&] { return !Body.empty(); }));
    cr_assert(Body == std::to_string(Round));
    cr_assert(Client->usable());
  }
  cr_assert_eq(Fixture.m_Server.connections(), 1U);
  cr_assert_eq(Served, 50U);
}

// Guards against an error that reports a request as unsent after it was sent.
Test(http_client, reports_unanswered_request_as_maybe_sent) {
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &) {});
  auto Client = std::make_shared<HttpClientConnection>(Fixture.m_Io);
  bool Connected = false;
  Client->connect("127.0.0.1", Fixture.m_Port, 1s,
                  [&](const Result<Done, HttpError> &Outcome) {
                    Connected = isOk(Outcome);
                  });
  cr_assert(Fixture.runUntil([&] { return Connected; }));
  std::optional<HttpError> Error;
  Client->send(HttpRequest{boost::beast::http::verb::post, "/x", 11}, 50ms,
               [&](const Result<HttpResponse, HttpError> &Outcome) {
                 if (!isOk(Outcome))
                   Error = errorOf(Outcome);
               });
  cr_assert(Fixture.runUntil([&] { return Error.has_value(); }));
  cr_assert_eq(Error->m_Code, HttpErrorCode::Timeout);
  cr_assert(Error->m_MaybeSent);
  cr_assert_not(Client->usable());
}
