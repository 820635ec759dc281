#include "http_fixture.hpp"
#include "ragwortdrift/net/http_client.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "ragwortdrift/testing/table.hpp"

#include <thread>
#include <unistd.h>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

struct DisconnectCase {
  const char *m_Name;
  const char *m_Request;
};
const DisconnectCase DisconnectCases[] = {
    {"connection kept open", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"},
    {"last request", "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
    {"HTTP/1.0", "GET /x HTTP/1.0\r\n\r\n"},
};

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
     "POST /x HTTP/1.1\r\nA: " + std::string(4000, 'y') + "\r\n\r\n", "431",
     "header_too_large"},
    {"header without end", "POST /x HTTP/1.1\r\nA: " + std::string(4000, 'y'),
     "431", "header_too_large"},
    {"chunk extension without end",
     ChunkedHead + "1;" + std::string(60'000, 'x'), "413", "too_large"},
    {"chunk extensions without end",
     ChunkedHead + repeated("1;" + std::string(300, 'x') + "\r\na\r\n", 100),
     "413", "too_large"},
    {"trailer without end", ChunkedHead + "0\r\nA: " + std::string(60'000, 'y'),
     "413", "too_large"},
    {"trailer fields without end",
     ChunkedHead + "0\r\n" + repeated("A: y\r\n", 10'000), "413", "too_large"},
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

// Guards against work for a caller that has disconnected, whether or not it
// wanted to send more requests.
TABLE_TEST(http_server, reports_caller_disconnect_before_response,
           DisconnectCases) {
  std::shared_ptr<HttpExchange> OpenExchange;
  bool Aborted = false;
  ServerFixture Fixture([&](std::shared_ptr<HttpExchange> Exchange) {
    OpenExchange = std::move(Exchange);
    OpenExchange->onAbort([&] { Aborted = true; });
  });
  {
    tcp::socket Caller = Fixture.connect();
    asio::write(Caller, asio::buffer(std::string(Row.m_Request)));
    cr_assert(Fixture.runUntil([&] { return OpenExchange != nullptr; }));
    cr_assert(OpenExchange->isOpen(), "%s", Row.m_Name);
  }
  cr_assert(Fixture.runUntil([&] { return Aborted; }), "%s", Row.m_Name);
  cr_assert_not(OpenExchange->isOpen(), "%s", Row.m_Name);
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

struct SlowCallerCase {
  const char *m_Name;
  HttpLimits m_Limits;
  std::string m_Bytes;
};
HttpLimits limitsWithTimeouts(std::chrono::seconds Idle,
                              std::chrono::seconds Header,
                              std::chrono::seconds Body) {
  HttpLimits Limits;
  Limits.m_IdleTimeout = Idle;
  Limits.m_HeaderTimeout = Header;
  Limits.m_BodyTimeout = Body;
  return Limits;
}
const SlowCallerCase SlowCallerCases[] = {
    {"no request", limitsWithTimeouts(1s, 60s, 60s), ""},
    {"incomplete header", limitsWithTimeouts(60s, 1s, 60s), "POST /x HT"},
    {"incomplete body", limitsWithTimeouts(60s, 60s, 1s),
     "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx"},
};

// Guards against slow callers that hold a connection indefinitely.
TABLE_TEST(http_server, closes_connection_of_slow_caller, SlowCallerCases) {
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &) {},
                        Row.m_Limits);
  tcp::socket Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(Row.m_Bytes));
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 1; }));
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 0; }),
      "%s", Row.m_Name);
}

// Guards against a header that arrives byte by byte, each within the time-out.
Test(http_server, bounds_time_of_trickled_header) {
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &) {},
                        limitsWithTimeouts(60s, 1s, 60s));
  tcp::socket Caller = Fixture.connect();
  boost::system::error_code Error;
  const auto End = std::chrono::steady_clock::now() + 3s;
  bool Closed = false;
  while (!Closed && std::chrono::steady_clock::now() < End) {
    asio::write(Caller, asio::buffer("P", 1), Error);
    Fixture.m_Io.run_for(100ms);
    Fixture.m_Io.restart();
    Closed = Fixture.m_Server.connections() == 0;
  }
  cr_assert(Closed);
}

struct ConnectionFloodCase {
  const char *m_Name;
  /// Bytes that each of the connections sends that take up the limit.
  std::string m_Bytes;
};
const ConnectionFloodCase ConnectionFloodCases[] = {
    {"connections without a request", ""},
    {"connections with an incomplete header", "POST /x HT"},
    {"connections with an incomplete body",
     "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx"},
};

// Guards against callers that never complete a request and shut out those that
// do.
TABLE_TEST(http_server, serves_callers_beside_incomplete_requests,
           ConnectionFloodCases) {
  HttpLimits Limits;
  Limits.m_MaxConnections = 4;
  ServerFixture Fixture(
      [](const std::shared_ptr<HttpExchange> &Exchange) {
        Exchange->respond(jsonResponse(200, "whole"));
      },
      Limits);
  std::vector<tcp::socket> Flood;
  for (int I = 0; I < 4; ++I) {
    Flood.push_back(Fixture.connect());
    asio::write(Flood.back(), asio::buffer(Row.m_Bytes));
  }
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 4; }));
  for (int I = 0; I < 10; ++I) {
    tcp::socket Caller = Fixture.connect();
    asio::write(Caller, asio::buffer(requestText("x")));
    std::string Text;
    cr_assert(Fixture.runUntil([&] {
      readAvailable(Caller, Text);
      return containsInOrder(Text, {"200", "whole"});
    }),
              "%s", Row.m_Name);
    cr_assert_leq(Fixture.m_Server.connections(), 4U);
  }
  cr_assert_geq(Fixture.m_Server.counts().m_DroppedConnections, 1U);
}

// Guards against many incomplete requests that are each within the limits and
// together exhaust the memory.
Test(http_server, bounds_bytes_of_all_requests) {
  HttpLimits Limits;
  Limits.m_MaxBodyBytes = 50'000;
  Limits.m_MaxRequestBytes = 100'000;
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &) {}, Limits);
  std::vector<tcp::socket> Callers;
  for (int I = 0; I < 5; ++I) {
    Callers.push_back(Fixture.connect());
    std::string Incomplete = requestText(std::string(40'000, 'x'));
    Incomplete.pop_back();
    asio::write(Callers.back(), asio::buffer(Incomplete));
    Fixture.m_Io.run_for(20ms);
    Fixture.m_Io.restart();
  }
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Callers.front(), Text);
    return containsInOrder(Text, {"503", "overloaded", "not_run\":true"});
  }));
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 2; }));
}

struct PipelineCase {
  const char *m_Name;
  std::string m_SecondRequest;
  const char *m_Status;
};
const PipelineCase PipelineCases[] = {
    {"not HTTP", "hello\r\n\r\n", "400"},
    {"body above the limit", requestText(std::string(2000, 'x')), "413"},
};

// Guards against bytes behind a request that close the connection without a
// response.
TABLE_TEST(http_server, refuses_malformed_request_behind_open_one,
           PipelineCases) {
  HttpLimits Limits;
  Limits.m_MaxBodyBytes = 1000;
  std::shared_ptr<HttpExchange> OpenExchange;
  ServerFixture Fixture(
      [&](std::shared_ptr<HttpExchange> Exchange) {
        OpenExchange = std::move(Exchange);
      },
      Limits);
  tcp::socket Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(requestText("one") + Row.m_SecondRequest));
  cr_assert(Fixture.runUntil([&] { return OpenExchange != nullptr; }));
  Fixture.m_Io.run_for(20ms);
  Fixture.m_Io.restart();
  OpenExchange->respond(jsonResponse(200, "first"));
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return containsInOrder(Text, {"200", "first", Row.m_Status, "not_run"});
  }),
            "%s", Row.m_Name);
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 0; }));
}

// Guards against a loop of accepts that fail at once.
Test(http_server, waits_before_accepting_without_descriptors) {
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond(jsonResponse(200, "whole"));
  });
  tcp::socket Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(requestText("x")));
  std::vector<int> Descriptors;
  for (int Descriptor = dup(0); Descriptor >= 0; Descriptor = dup(0))
    Descriptors.push_back(Descriptor);
  // A wait of 20 ms between accepts gives 15 handlers in this time.
  const std::size_t Handlers = Fixture.m_Io.run_for(300ms);
  Fixture.m_Io.restart();
  for (const int Descriptor : Descriptors)
    close(Descriptor);
  cr_assert_leq(Handlers, 100U);
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return containsInOrder(Text, {"200", "whole"});
  }));
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

// Guards against a stop that closes a connection on which another request has
// been read.
Test(http_server, answers_pipelined_request_at_shutdown) {
  std::vector<std::shared_ptr<HttpExchange>> OpenExchanges;
  ServerFixture Fixture([&](std::shared_ptr<HttpExchange> Exchange) {
    OpenExchanges.push_back(std::move(Exchange));
  });
  tcp::socket Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(requestText("one") + requestText("two")));
  cr_assert(Fixture.runUntil([&] { return OpenExchanges.size() == 1; }));
  Fixture.m_Io.run_for(20ms);
  Fixture.m_Io.restart();
  Fixture.m_Server.beginStop();
  OpenExchanges[0]->respond(jsonResponse(200, "first"));
  cr_assert(Fixture.runUntil([&] { return OpenExchanges.size() == 2; }));
  OpenExchanges[1]->respond(jsonResponse(200, "second"));
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return containsInOrder(Text, {"first", "Connection: close", "second"});
  }));
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

/// A leaf in trouble: answers one request with bytes that never form a complete
/// response.
struct EndlessLeaf {
  asio::io_context m_Io;
  tcp::acceptor m_Acceptor{m_Io, {asio::ip::address_v4::loopback(), 0}};
  std::size_t m_BytesSent = 0;

  /// Sends Start and then Repeated again and again until the client closes the
  /// connection.
  void run(const std::string &Start, const std::string &Repeated) {
    tcp::socket Socket = m_Acceptor.accept();
    boost::system::error_code Error;
    char Request[1024];
    Socket.read_some(asio::buffer(Request), Error);
    asio::write(Socket, asio::buffer(Start), Error);
    // Far more than a client may read; ends the test if it reads on.
    constexpr std::size_t MaxBytes = std::size_t{256} * 1024 * 1024;
    while (!Error && m_BytesSent < MaxBytes)
      m_BytesSent += asio::write(Socket, asio::buffer(Repeated), Error);
  }
};

struct EndlessResponseCase {
  const char *m_Name;
  std::string m_Start;
  std::string m_Repeated;
};
const std::string ChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const EndlessResponseCase EndlessResponseCases[] = {
    {"status line", "HTTP/1.1 200 ", std::string(1000, 'x')},
    {"header field", "HTTP/1.1 200 OK\r\nA: ", std::string(1000, 'x')},
    {"header fields", "HTTP/1.1 200 OK\r\n", repeated("A: x\r\n", 200)},
    {"body until close", "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x')},
    {"chunks", ChunkedResponse, "3e8\r\n" + std::string(1000, 'x') + "\r\n"},
    {"chunk extension", ChunkedResponse + "1;", std::string(1000, 'x')},
    {"chunk extensions", ChunkedResponse,
     "1;" + std::string(1000, 'x') + "\r\na\r\n"},
    {"trailer field", ChunkedResponse + "0\r\nA: ", std::string(1000, 'x')},
    {"trailer fields", ChunkedResponse + "0\r\n", repeated("A: x\r\n", 200)},
    {"interim responses", "", repeated("HTTP/1.1 100 Continue\r\n\r\n", 40)},
    {"no HTTP", "", std::string(1000, '\0')},
};

// Guards against a leaf whose response never ends and takes up the memory, or
// holds the request until its time-out.
TABLE_TEST(http_client, ends_endless_response, EndlessResponseCases) {
  EndlessLeaf Leaf;
  std::thread LeafThread([&] { Leaf.run(Row.m_Start, Row.m_Repeated); });
  asio::io_context Io;
  auto Client = std::make_shared<HttpClientConnection>(Io);
  std::optional<HttpError> Error;
  Client->connect(
      "127.0.0.1", Leaf.m_Acceptor.local_endpoint().port(), 1s,
      [&](const Result<Done, HttpError> &ConnectResult) {
        cr_assert(isOk(ConnectResult));
        Client->send(HttpRequest{boost::beast::http::verb::get, "/x", 11}, 20s,
                     [&](const Result<HttpResponse, HttpError> &Outcome) {
                       if (!isOk(Outcome))
                         Error = errorOf(Outcome);
                     });
      });
  Io.run_for(10s);
  const bool Usable = Client->usable();
  Client->close();
  LeafThread.join();
  cr_assert(Error.has_value(), "%s", Row.m_Name);
  cr_assert_eq(Error->m_Code, HttpErrorCode::BadResponse, "%s", Row.m_Name);
  cr_assert_not(Usable);
  // The largest body, framed in chunks, and the buffers of the kernel.
  cr_assert_leq(Leaf.m_BytesSent, std::size_t{16} * 1024 * 1024, "%s",
                Row.m_Name);
}

// Guards against an interim response that is taken for the response, so that
// the response reaches the next request of the connection.
Test(http_client, skips_interim_responses) {
  asio::io_context Io;
  tcp::acceptor Acceptor(Io, {asio::ip::address_v4::loopback(), 0});
  auto Client = std::make_shared<HttpClientConnection>(Io);
  std::string Body;
  Client->connect("127.0.0.1", Acceptor.local_endpoint().port(), 1s,
                  [&](const Result<Done, HttpError> &) {
                    Client->send(
                        HttpRequest{boost::beast::http::verb::get, "/x", 11},
                        2s, [&](const Result<HttpResponse, HttpError> &Out) {
                          Body = isOk(Out) ? valueOf(Out).body() : "failed";
                        });
                  });
  tcp::socket Leaf = Acceptor.accept();
  asio::write(Leaf, asio::buffer(std::string(
                        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                        "HTTP/1.1 100 Continue\r\n\r\n"
                        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfinal")));
  Io.run_for(500ms);
  cr_assert(Body == "final");
  cr_assert(Client->usable());
}

/// More than the socket buffers take.
constexpr std::size_t LargeBodyBytes = 8'000'000;

// Guards against a request that the socket does not take at once and that is
// sent in part or twice.
Test(http_client, sends_large_request_whole) {
  HttpLimits Limits;
  Limits.m_MaxBodyBytes = LargeBodyBytes;
  std::string Received;
  ServerFixture Fixture(
      [&](const std::shared_ptr<HttpExchange> &Exchange) {
        Received = Exchange->request().body();
        Exchange->respond(jsonResponse(200, "whole"));
      },
      Limits);
  auto Client = std::make_shared<HttpClientConnection>(Fixture.m_Io);
  std::string Sent(LargeBodyBytes, ' ');
  for (std::size_t I = 0; I < Sent.size(); ++I)
    Sent[I] = static_cast<char>('a' + I % 23);
  std::string Body;
  Client->connect(
      "127.0.0.1", Fixture.m_Port, 1s, [&](const Result<Done, HttpError> &) {
        HttpRequest Request{boost::beast::http::verb::post, "/x", 11};
        Request.body() = Sent;
        Client->send(std::move(Request), 4s,
                     [&](const Result<HttpResponse, HttpError> &Out) {
                       Body = isOk(Out) ? valueOf(Out).body() : "failed";
                     });
      });
  cr_assert(Fixture.runUntil([&] { return !Body.empty(); }));
  cr_assert(Body == "whole");
  cr_assert(Received == Sent);
  cr_assert(Client->usable());
}

// Guards against the next request on a connection whose remote side still waits
// for the rest of the last one.
Test(http_client, closes_connection_after_early_response) {
  asio::io_context Io;
  tcp::acceptor Acceptor(Io, {asio::ip::address_v4::loopback(), 0});
  auto Client = std::make_shared<HttpClientConnection>(Io);
  unsigned Status = 0;
  Client->connect(
      "127.0.0.1", Acceptor.local_endpoint().port(), 1s,
      [&](const Result<Done, HttpError> &) {
        HttpRequest Request{boost::beast::http::verb::post, "/x", 11};
        Request.body() = std::string(LargeBodyBytes, 'x');
        Client->send(std::move(Request), 4s,
                     [&](const Result<HttpResponse, HttpError> &Out) {
                       Status = isOk(Out) ? valueOf(Out).result_int() : 1;
                     });
      });
  tcp::socket Leaf = Acceptor.accept();
  asio::write(Leaf,
              asio::buffer(std::string(
                  "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")));
  Io.run_for(500ms);
  cr_assert_eq(Status, 413U);
  cr_assert_not(Client->usable());
}
