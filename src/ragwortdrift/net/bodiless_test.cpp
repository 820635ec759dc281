#include "http_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"
#include "response_fixture.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
namespace asio = boost::asio;
using boost::beast::http::verb;

namespace {

struct ReceivedCase {
  const char *m_Name;
  verb m_Method;
  std::string m_Bytes;
  /// Value of the field, null if it is absent.
  const char *m_Length;
};
const ReceivedCase ReceivedCases[] = {
    {"HEAD, length", verb::head, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n",
     "900"},
    {"HEAD, chunked", verb::head,
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", nullptr},
    {"HEAD, no length", verb::head, "HTTP/1.1 200 OK\r\n", nullptr},
    {"HEAD, length above the limit of a body", verb::head,
     "HTTP/1.1 200 OK\r\nContent-Length: 99000000000\r\n", "99000000000"},
    {"HEAD after an interim response", verb::head,
     "HTTP/1.1 102 Processing\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n",
     "900"},
    {"HEAD, error", verb::head,
     "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n", "9"},
    {"204", verb::get, "HTTP/1.1 204 No Content\r\n", nullptr},
    {"204 with a length", verb::get,
     "HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n", "9"},
    {"304 with a length", verb::get,
     "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n", "9"},
};

struct SentCase {
  const char *m_Name;
  const char *m_Method;
  unsigned m_Status;
  const char *m_Body;
  /// Set by the handler if not null.
  const char *m_GivenLength;
  /// Null if the response must not state one.
  const char *m_Length;
  const char *m_ReceivedBody;
};
const SentCase SentCases[] = {
    {"GET", "GET", 200, "body", nullptr, "4", "body"},
    {"HEAD", "HEAD", 200, "body", nullptr, "4", ""},
    {"HEAD, length without a body", "HEAD", 200, "", "900", "900", ""},
    {"HEAD, length unknown", "HEAD", 200, "", nullptr, nullptr, ""},
    {"HEAD, error", "HEAD", 404, "body", nullptr, "4", ""},
    {"HEAD, 204", "HEAD", 204, "body", nullptr, nullptr, ""},
    {"204", "GET", 204, "body", nullptr, nullptr, ""},
    {"204 with a length", "GET", 204, "", "0", nullptr, ""},
    {"304", "GET", 304, "", nullptr, nullptr, ""},
    {"304 with a length", "GET", 304, "", "900", "900", ""},
    {"empty body", "GET", 200, "", nullptr, "0", ""},
};

} // namespace

// Guards against a client that waits for the body of a response that has none,
// until the deadline of the request (review/15).
TABLE_TEST(bodiless, response_ends_with_header, ReceivedCases) {
  const auto [Outcome, IsUsable] =
      receiveResponse(Row.m_Bytes + "\r\n", Row.m_Method);
  cr_assert(Outcome.has_value() && isOk(*Outcome), "%s", Row.m_Name);
  const HttpResponse &Response = valueOf(*Outcome);
  const auto Length = Response.find(boost::beast::http::field::content_length);
  cr_assert_eq(Length != Response.end(), Row.m_Length != nullptr, "%s",
               Row.m_Name);
  if (Row.m_Length)
    cr_assert(Length->value() == Row.m_Length, "%s", Row.m_Name);
  cr_assert(Response.body().empty(), "%s", Row.m_Name);
  cr_assert(IsUsable, "%s", Row.m_Name);
}

// Guards against a body that the caller takes for the start of the next
// response on its connection (review/15).
TABLE_TEST(bodiless, no_body_is_sent, SentCases) {
  ServerFixture Fixture([&](const std::shared_ptr<HttpExchange> &Exchange) {
    if (Exchange->request().target() == "/next")
      return Exchange->respond(jsonResponse(200, "next"));
    HttpResponse Response = jsonResponse(Row.m_Status, Row.m_Body);
    if (Row.m_GivenLength)
      Response.set(boost::beast::http::field::content_length,
                   Row.m_GivenLength);
    Exchange->respond(std::move(Response));
  });
  asio::ip::tcp::socket Caller = Fixture.connect();
  asio::write(Caller,
              asio::buffer(std::string(Row.m_Method) +
                           " /x HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n"));
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return Text.ends_with("next");
  }));
  const std::size_t HeaderEnd = Text.find("\r\n\r\n") + 4;
  const std::string Header = Text.substr(0, HeaderEnd);
  if (Row.m_Length)
    cr_assert(containsInOrder(Header, {std::string("Content-Length: ") +
                                       Row.m_Length + "\r\n"}),
              "%s: %s", Row.m_Name, Header.c_str());
  else
    cr_assert(Header.find("Content-Length") == std::string::npos, "%s: %s",
              Row.m_Name, Header.c_str());
  const std::size_t Next = Text.find("HTTP/1.1", HeaderEnd);
  const std::string Body = Text.substr(HeaderEnd, Next - HeaderEnd);
  cr_assert_str_eq(Body.c_str(), Row.m_ReceivedBody, "%s", Row.m_Name);
}

// Guards against a body behind the refusal of a HEAD request that cannot be
// read.
Test(bodiless, refusal_of_head_has_no_body) {
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &) {});
  asio::ip::tcp::socket Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(std::string("HEAD /x HTTP/1.1\r\n"
                                               "A : b\r\n\r\n")));
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return Text.ends_with("\r\n\r\n");
  }));
  Fixture.m_Io.run_for(std::chrono::milliseconds(20));
  readAvailable(Caller, Text);
  cr_assert(Text.starts_with("HTTP/1.1 400") && Text.ends_with("\r\n\r\n"),
            "%s", Text.c_str());
}
