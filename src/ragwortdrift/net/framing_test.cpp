#include "http_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"
#include "response_fixture.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
namespace asio = boost::asio;

namespace {

/// A request that the body of another one holds.
const std::string Inner = "POST /inner HTTP/1.1\r\nHost: h\r\n"
                          "Content-Length: 3\r\n\r\nabc";

/// Returns the bytes of a request with some fields, followed by Body.
std::string requestWith(const std::string &Fields, const std::string &Body,
                        const std::string &Version = "1.1") {
  return "POST /outer HTTP/" + Version + "\r\nHost: h\r\n" + Fields + "\r\n" +
         Body;
}
std::string lengthField(const std::string &Body) {
  return "Content-Length: " + std::to_string(Body.size()) + "\r\n";
}
std::string chunk(const std::string &Text) {
  char Size[16];
  std::snprintf(Size, sizeof Size, "%zx", Text.size());
  return Size + ("\r\n" + Text) + "\r\n";
}
const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string Chunks = chunk(Inner) + "0\r\n\r\n";

struct FramingCase {
  const char *m_Name;
  std::string m_Bytes;
  const char *m_Status;
};
const FramingCase FramingCases[] = {
    {"length", requestWith(lengthField(Inner), Inner), "200"},
    {"chunked", requestWith(Chunked, Chunks), "200"},
    {"chunked in other letters",
     requestWith("Transfer-Encoding: CHUNKED\r\n", Chunks), "200"},
    {"empty elements of the list",
     requestWith("Transfer-Encoding: , chunked\r\n", Chunks), "200"},
    {"one length twice",
     requestWith(lengthField(Inner) + lengthField(Inner), Inner), "200"},
    {"coding that is not chunked",
     requestWith("Transfer-Encoding: gzip\r\n", Inner), "400"},
    {"identity", requestWith("Transfer-Encoding: identity\r\n", Inner), "400"},
    {"empty coding", requestWith("Transfer-Encoding:\r\n", Inner), "400"},
    {"word that ends with chunked",
     requestWith("Transfer-Encoding: xchunked\r\n", Inner), "400"},
    {"chunked with a parameter",
     requestWith("Transfer-Encoding: chunked;a=b\r\n", Chunks), "400"},
    {"chunked in quotes",
     requestWith("Transfer-Encoding: \"chunked\"\r\n", Chunks), "400"},
    {"chunked before another coding",
     requestWith("Transfer-Encoding: chunked, gzip\r\n", Chunks), "400"},
    {"chunked twice in a field",
     requestWith("Transfer-Encoding: chunked, chunked\r\n", Chunks), "400"},
    {"chunked twice in two fields", requestWith(Chunked + Chunked, Chunks),
     "400"},
    {"chunked, then another coding in a second field",
     requestWith(Chunked + "Transfer-Encoding: gzip\r\n", Chunks), "400"},
    {"chunked after another coding",
     requestWith("Transfer-Encoding: gzip, chunked\r\n", Chunks), "501"},
    {"chunked in a second field after another coding",
     requestWith("Transfer-Encoding: gzip\r\n" + Chunked, Chunks), "501"},
    {"chunked and a length", requestWith(Chunked + lengthField(Chunks), Chunks),
     "400"},
    {"length and chunked", requestWith(lengthField(Chunks) + Chunked, Chunks),
     "400"},
    {"other coding and a length",
     requestWith("Transfer-Encoding: gzip\r\n" + lengthField(Inner), Inner),
     "400"},
    {"length and other coding",
     requestWith(lengthField(Inner) + "Transfer-Encoding: gzip\r\n", Inner),
     "400"},
    {"two lengths",
     requestWith("Content-Length: 0\r\n" + lengthField(Inner), Inner), "400"},
    {"two lengths in a field", requestWith("Content-Length: 0, 3\r\n", Inner),
     "400"},
    {"length with a sign", requestWith("Content-Length: +3\r\n", Inner), "400"},
    {"negative length", requestWith("Content-Length: -3\r\n", Inner), "400"},
    {"length in hexadecimal", requestWith("Content-Length: 0x3\r\n", Inner),
     "400"},
    {"empty length", requestWith("Content-Length:\r\n", Inner), "400"},
    {"length above 64 bits",
     requestWith("Content-Length: 18446744073709551616\r\n", Inner), "400"},
    {"chunked in HTTP/1.0", requestWith(Chunked, Chunks, "1.0"), "400"},
    {"other coding in HTTP/1.0",
     requestWith("Transfer-Encoding: gzip\r\n", Inner, "1.0"), "400"},
    {"space before the colon of the coding",
     requestWith("Transfer-Encoding : chunked\r\n", Chunks), "400"},
    {"space before the colon of the length",
     requestWith("Content-Length : 3\r\n", Inner), "400"},
    {"bare CR in a field",
     requestWith("A: b\rTransfer-Encoding: chunked\r\n", Chunks), "400"},
    {"bare LF in a field",
     requestWith("A: b\nTransfer-Encoding: chunked\r\n", Chunks), "400"},
    {"NUL in a field",
     requestWith(std::string("A: b\0c\r\n", 8) + lengthField(Inner), Inner),
     "400"},
    {"coding on a folded line",
     requestWith("Transfer-Encoding:\r\n chunked\r\n", Chunks), "200"},
    {"coding in two parts",
     requestWith("Transfer-Encoding: chun\r\n ked\r\n", Chunks), "400"},
    {"first field with a space",
     "POST /outer HTTP/1.1\r\n Content-Length: 0\r\nHost: h\r\n\r\n" + Inner,
     "400"},
    {"chunk whose size has a sign",
     requestWith(Chunked, "+3\r\nabc\r\n0\r\n\r\n" + Inner), "400"},
    {"chunk whose size has a prefix",
     requestWith(Chunked, "0x3\r\nabc\r\n0\r\n\r\n" + Inner), "400"},
    {"chunk whose size exceeds 64 bits",
     requestWith(Chunked, "10000000000000003\r\nabc\r\n0\r\n\r\n" + Inner),
     "400"},
    {"chunk that is longer than its size",
     requestWith(Chunked, "2\r\nabc\r\n0\r\n\r\n" + Inner), "400"},
    {"chunk without a size",
     requestWith(Chunked, "\r\nabc\r\n0\r\n\r\n" + Inner), "400"},
    {"chunk that ends with LF",
     requestWith(Chunked, "3\r\nabc\n0\r\n\r\n" + Inner), "400"},
    {"length among the trailers",
     requestWith(Chunked, "0\r\nContent-Length: 5\r\n\r\n" + Inner), "400"},
    {"coding among the trailers",
     requestWith(Chunked, "0\r\nTransfer-Encoding: gzip\r\n\r\n" + Inner),
     "400"},
};

struct ResponseCase {
  const char *m_Name;
  std::string m_Bytes;
  bool m_IsResponse;
  const char *m_Body = "";
};
const ResponseCase ResponseCases[] = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, "ok"},
    {"chunked", "HTTP/1.1 200 OK\r\n" + Chunked + "\r\n2\r\nok\r\n0\r\n\r\n",
     true, "ok"},
    {"no length", "HTTP/1.1 200 OK\r\n\r\nok", true, "ok"},
    {"other coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
     true, "ok"},
    {"chunked twice",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\nok", true,
     "ok"},
    {"chunked and a length",
     "HTTP/1.1 200 OK\r\n" + Chunked +
         "Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     false},
    {"other coding and a length",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
     "Content-Length: 2\r\n\r\nok",
     false},
    {"two lengths",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
     "Content-Length: 3\r\n\r\nok!",
     false},
    {"chunked in HTTP/1.0",
     "HTTP/1.0 200 OK\r\n" + Chunked + "\r\n2\r\nok\r\n0\r\n\r\n", false},
};

/// The requests that a server has handled, and its responses.
struct Handled {
  std::vector<std::string> m_Targets;
  std::vector<std::string> m_Bodies;
  std::string m_Responses;
  bool m_HasClosed = false;
};

/// Sends bytes in parts of the given size until the server closes, or until it
/// has responded with 200.
Handled handle(const std::string &Bytes, std::size_t PartBytes) {
  Handled Out;
  ServerFixture Fixture([&](const std::shared_ptr<HttpExchange> &Exchange) {
    Out.m_Targets.emplace_back(Exchange->request().target());
    Out.m_Bodies.push_back(Exchange->request().body());
    Exchange->respond(jsonResponse(200, "{}"));
  });
  asio::ip::tcp::socket Caller = Fixture.connect();
  Caller.non_blocking(true);
  Caller.set_option(asio::ip::tcp::no_delay(true));
  std::size_t Sent = 0;
  Fixture.runUntil([&] {
    boost::system::error_code Error;
    if (Sent < Bytes.size())
      Sent += Caller.write_some(
          asio::buffer(Bytes.data() + Sent,
                       std::min(PartBytes, Bytes.size() - Sent)),
          Error);
    char Buffer[4096];
    Out.m_Responses.append(Buffer,
                           Caller.read_some(asio::buffer(Buffer), Error));
    Out.m_HasClosed = Error == asio::error::eof;
    return Out.m_HasClosed ||
           (Sent == Bytes.size() &&
            Out.m_Responses.find("HTTP/1.1 200") != std::string::npos);
  });
  // Whatever was taken for another request is handled within this time.
  Fixture.m_Io.run_for(std::chrono::milliseconds(20));
  return Out;
}

} // namespace

// Guards against a body of unknown length that is run as the next request of
// its connection, while its own request is run without it (review/11).
TABLE_TEST(framing, body_is_no_request, FramingCases) {
  for (const std::size_t PartBytes : {Row.m_Bytes.size(), std::size_t{7}}) {
    const Handled Out = handle(Row.m_Bytes, PartBytes);
    cr_assert(
        Out.m_Responses.starts_with(std::string("HTTP/1.1 ") + Row.m_Status),
        "%s: %s", Row.m_Name, Out.m_Responses.c_str());
    if (Row.m_Status == std::string_view("200")) {
      cr_assert(Out.m_Targets == std::vector<std::string>{"/outer"}, "%s",
                Row.m_Name);
      cr_assert(Out.m_Bodies == std::vector<std::string>{Inner}, "%s",
                Row.m_Name);
    } else {
      cr_assert(Out.m_Targets.empty(), "%s", Row.m_Name);
      cr_assert(Out.m_HasClosed, "%s", Row.m_Name);
    }
  }
}

// Guards against a response whose end is ambiguous: its rest would be taken for
// the response to another request.
TABLE_TEST(framing, ambiguous_response_is_none, ResponseCases) {
  const auto [Outcome, IsUsable] =
      receiveResponse(Row.m_Bytes, boost::beast::http::verb::get, true);
  cr_assert(Outcome.has_value(), "%s", Row.m_Name);
  cr_assert_eq(isOk(*Outcome), Row.m_IsResponse, "%s", Row.m_Name);
  if (Row.m_IsResponse) {
    cr_assert_str_eq(valueOf(*Outcome).body().c_str(), Row.m_Body, "%s",
                     Row.m_Name);
    return;
  }
  cr_assert_not(IsUsable, "%s", Row.m_Name);
  cr_assert_eq(errorOf(*Outcome).m_Code, HttpErrorCode::BadResponse);
}
