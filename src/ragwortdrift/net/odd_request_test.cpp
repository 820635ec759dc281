#include "http_fixture.hpp"
#include "ragwortdrift/net/handler_guard.hpp"
#include "ragwortdrift/net/http_client.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <stdexcept>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::uint32_t MaxHeaderBytes = 400'000;

std::string withField(const std::string &Name, std::size_t ValueBytes) {
  return "GET /x HTTP/1.1\r\n" + Name + ": " + std::string(ValueBytes, 'c') +
         "\r\n\r\n";
}

/// Returns the responses to some bytes, read until Expected is among them.
std::string exchange(ServerFixture &Fixture, const std::string &Bytes,
                     const std::string &Expected) {
  boost::asio::ip::tcp::socket Caller = Fixture.connect();
  Caller.non_blocking(true);
  std::string Text;
  std::size_t Sent = 0;
  Fixture.runUntil([&] {
    boost::system::error_code Ignored;
    Sent += Caller.write_some(asio::buffer(Bytes) + Sent, Ignored);
    readAvailable(Caller, Text);
    return Text.find(Expected) != std::string::npos;
  });
  return Text;
}

struct OddRequestCase {
  const char *m_Name;
  std::string m_Bytes;
  const char *m_Status;
  /// Fields that the request carries beside Beast's container.
  std::size_t m_LargeFields = 0;
};
const OddRequestCase OddRequestCases[] = {
    {"value that Beast holds", withField("Cookie", 65'533), "200"},
    {"value that Beast does not hold", withField("Cookie", 65'534), "200", 1},
    {"value of 70,000 bytes", withField("Cookie", 70'000), "200", 1},
    {"name that Beast holds", withField(std::string(65'533, 'n'), 1), "200"},
    {"name that Beast does not hold", withField(std::string(65'534, 'n'), 1),
     "200", 1},
    {"trailer of 70,000 bytes",
     ChunkedHead + "0\r\nA: " + std::string(70'000, 'y') + "\r\n\r\n", "200",
     1},
    {"Host of 70,000 bytes", withField("Host", 70'000), "431"},
    {"Transfer-Encoding of 70,000 bytes",
     withField("Transfer-Encoding", 70'000), "431"},
    {"Connection of 70,000 bytes", withField("Connection", 70'000), "431"},
    {"Upgrade of 70,000 bytes", withField("Upgrade", 70'000), "431"},
    {"target of 70,000 bytes",
     "GET /" + std::string(70'000, 'p') + " HTTP/1.1\r\n\r\n", "200"},
    {"TRACE", "TRACE /x HTTP/1.1\r\n\r\n", "200"},
    {"TRACE with a body", "TRACE /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
     "400"},
    {"TRACE with a body in chunks",
     "TRACE /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabc\r\n0\r\n\r\n",
     "400"},
};

} // namespace

// Guards against a request whose header Beast refuses with an exception, which
// ended the process with all its requests (review/10).
TABLE_TEST(odd_request, is_answered_beside_others, OddRequestCases) {
  HttpLimits Limits;
  Limits.m_MaxHeaderBytes = MaxHeaderBytes;
  std::size_t LargeFields = 0;
  ServerFixture Fixture(
      [&](const std::shared_ptr<HttpExchange> &Exchange) {
        LargeFields += Exchange->request().m_LargeFields.size();
        Exchange->respond(jsonResponse(200, "{}"));
      },
      Limits);
  const std::string Status = std::string("HTTP/1.1 ") + Row.m_Status;
  const std::string Text = exchange(Fixture, Row.m_Bytes, Status);
  cr_assert(Text.starts_with(Status), "%s: %s", Row.m_Name, Text.c_str());
  cr_assert_eq(LargeFields, Row.m_LargeFields, "%s", Row.m_Name);
  const std::string Next = exchange(Fixture, withField("A", 1), "200");
  cr_assert(Next.starts_with("HTTP/1.1 200"), "%s", Row.m_Name);
  cr_assert_eq(HandlerFailures.load(), 0U, "%s", Row.m_Name);
}

// Guards against an exception in the handler of one connection that ends the
// others with it.
Test(odd_request, exception_ends_its_connection_alone) {
  std::shared_ptr<HttpExchange> OpenExchange;
  ServerFixture Fixture([&](const std::shared_ptr<HttpExchange> &Exchange) {
    if (Exchange->request().target() == "/throws")
      throw std::length_error("too large");
    OpenExchange = Exchange;
  });
  auto Other = Fixture.connect();
  asio::write(Other, asio::buffer(withField("A", 1)));
  cr_assert(Fixture.runUntil([&] { return OpenExchange != nullptr; }));
  auto Caller = Fixture.connect();
  asio::write(Caller,
              asio::buffer(std::string("GET /throws HTTP/1.1\r\n\r\n")));
  cr_assert(Fixture.runUntil([] { return HandlerFailures == 1; }));
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 1; }));
  cr_assert(OpenExchange->isOpen());
  OpenExchange->respond(jsonResponse(200, "whole"));
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Other, Text);
    return Text.find("whole") != std::string::npos;
  }));
}

struct ForwardedCase {
  const char *m_Name;
  boost::beast::http::verb m_Method;
  std::string m_Body;
  std::size_t m_LargeBytes;
};
const ForwardedCase ForwardedCases[] = {
    {"large field", boost::beast::http::verb::get, "", 70'000},
    {"TRACE with a body", boost::beast::http::verb::trace, "abc", 0},
};

// Guards against a request to a leaf that ends the process when it is written.
TABLE_TEST(odd_request, is_sent_to_leaf, ForwardedCases) {
  HttpLimits Limits;
  Limits.m_MaxHeaderBytes = MaxHeaderBytes;
  std::vector<LargeField> Fields;
  ServerFixture Fixture(
      [&](const std::shared_ptr<HttpExchange> &Exchange) {
        Fields = Exchange->request().m_LargeFields;
        Exchange->respond(jsonResponse(200, "{}"));
      },
      Limits);
  auto Client = std::make_shared<HttpClientConnection>(Fixture.m_Io);
  std::optional<Result<HttpResponse, HttpError>> Outcome;
  Client->connect("127.0.0.1", Fixture.m_Port, 1s, [&](const auto &) {
    HttpRequest Request{Row.m_Method, "/x", 11};
    if (Row.m_LargeBytes > 0)
      Request.m_LargeFields.push_back(
          {"Cookie", std::string(Row.m_LargeBytes, 'c')});
    Request.body() = Row.m_Body;
    Client->send(std::move(Request), 5s,
                 [&](auto Received) { Outcome.emplace(std::move(Received)); });
  });
  cr_assert(Fixture.runUntil([&] { return Outcome.has_value(); }), "%s",
            Row.m_Name);
  cr_assert(isOk(*Outcome), "%s", Row.m_Name);
  cr_assert_eq(Fields.size(), Row.m_LargeBytes > 0 ? 1U : 0U);
  if (!Fields.empty())
    cr_assert_eq(Fields.front().m_Value.size(), Row.m_LargeBytes);
}
