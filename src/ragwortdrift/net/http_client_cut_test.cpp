#include "ragwortdrift/net/http_client.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <optional>

using namespace ragwortdrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// How a leaf ends a connection.
enum class Ending { Close, Reset };

/// A response that a leaf sends in part.
struct CutCase {
  const char *m_Name;
  std::string m_Response;
  Ending m_Ending;
  /// Number of bytes from which the response is whole.
  std::size_t m_WholeBytes;
  /// Requests that the connection has served before.
  int m_ServedBefore = 0;
};

const std::string Interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
const std::string Sized = "HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Sign: s\r\n"
                          "Content-Length: 12\r\n\r\n0123456789ab";
const std::string Empty = "HTTP/1.1 204 No Content\r\nT-Sign: s\r\n\r\n";
const std::string Chunked =
    "HTTP/1.1 200 OK\r\nT-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;a=b\r\n01234\r\n7\r\n56789ab\r\n0\r\nT-Check: 1\r\n\r\n";
const std::string UnsizedHead = "HTTP/1.1 200 OK\r\nT-Sign: s\r\n\r\n";
const std::string Unsized = UnsizedHead + "0123456789ab";

/// A leaf on loopback and a client connected to it.
struct CutFixture {
  asio::io_context m_Io;
  tcp::acceptor m_Acceptor{m_Io, {asio::ip::address_v4::loopback(), 0}};
  std::optional<Result<HttpResponse, HttpError>> m_Outcome;

  template <class Predicate> void runUntil(Predicate Condition) {
    const auto End = std::chrono::steady_clock::now() + 2s;
    while (!Condition() && std::chrono::steady_clock::now() < End) {
      m_Io.restart();
      m_Io.run_one_for(100ms);
    }
  }

  void send(const std::shared_ptr<HttpClientConnection> &Client) {
    m_Outcome.reset();
    Client->send(HttpRequest{boost::beast::http::verb::get, "/x", 11}, 1s,
                 [this](Result<HttpResponse, HttpError> Outcome) {
                   m_Outcome = std::move(Outcome);
                 });
  }

  /// Returns the outcome of a request to a leaf that sends some bytes of the
  /// response of a row.
  const Result<HttpResponse, HttpError> &exchange(const CutCase &Row,
                                                  std::size_t Bytes) {
    auto Client = std::make_shared<HttpClientConnection>(m_Io);
    bool Connected = false;
    Client->connect(
        "127.0.0.1", m_Acceptor.local_endpoint().port(), 1s,
        [&](const Result<Done, HttpError> &Out) { Connected = isOk(Out); });
    tcp::socket Leaf = m_Acceptor.accept();
    runUntil([&] { return Connected; });
    for (int I = 0; I <= Row.m_ServedBefore; ++I) {
      send(Client);
      std::string Request;
      asio::read_until(Leaf, asio::dynamic_buffer(Request), "\r\n\r\n");
      asio::write(Leaf, asio::buffer(I < Row.m_ServedBefore
                                         ? Sized
                                         : Row.m_Response.substr(0, Bytes)));
      if (I < Row.m_ServedBefore)
        runUntil([&] { return m_Outcome.has_value(); });
    }
    if (Row.m_Ending == Ending::Reset)
      Leaf.set_option(asio::socket_base::linger(true, 0));
    Leaf.close();
    runUntil([&] { return m_Outcome.has_value() && !Client->usable(); });
    cr_assert(m_Outcome.has_value(), "%s, %zu bytes", Row.m_Name, Bytes);
    cr_assert_not(Client->usable(), "%s, %zu bytes", Row.m_Name, Bytes);
    return *m_Outcome;
  }
};

// NOLINTNEXTLINE(cert-err58-cpp): the texts of the rows are test data.
const CutCase CutCases[] = {
    {"length, closed", Sized, Ending::Close, Sized.size()},
    {"length, reset", Sized, Ending::Reset, Sized.size()},
    {"length, reused connection", Sized, Ending::Close, Sized.size(), 2},
    {"no content", Empty, Ending::Close, Empty.size()},
    {"chunks, closed", Chunked, Ending::Close, Chunked.size()},
    {"chunks, reset", Chunked, Ending::Reset, Chunked.size()},
    {"interim and length", Interim + Sized, Ending::Close,
     Interim.size() + Sized.size()},
    {"interim and chunks", Interim + Interim + Chunked, Ending::Close,
     2 * Interim.size() + Chunked.size()},
    {"no length, closed", Unsized, Ending::Close, UnsizedHead.size()},
    {"no length, reset", Unsized, Ending::Reset, Unsized.size() + 1},
    {"interim and no length", Interim + Unsized, Ending::Close,
     Interim.size() + UnsizedHead.size()},
    {"interim and no length, reset", Interim + Unsized, Ending::Reset,
     Interim.size() + Unsized.size() + 1},
};

} // namespace

// Guards against a response that a leaf stopped to send, at any byte, and that
// is taken for whole.
TABLE_TEST(http_client, fails_response_cut_at_any_byte, CutCases) {
  CutFixture Fixture;
  for (std::size_t Bytes = 0; Bytes <= Row.m_Response.size(); ++Bytes) {
    const auto &Outcome = Fixture.exchange(Row, Bytes);
    // A reset may discard bytes that have arrived.
    if (Bytes >= Row.m_WholeBytes && Row.m_Ending == Ending::Reset)
      continue;
    cr_assert_eq(isOk(Outcome), Bytes >= Row.m_WholeBytes, "%s, %zu bytes: %s",
                 Row.m_Name, Bytes,
                 isOk(Outcome) ? "accepted"
                               : errorOf(Outcome).m_Detail.c_str());
    if (isOk(Outcome))
      continue;
    cr_assert_eq(errorOf(Outcome).m_Code, HttpErrorCode::ConnectionLost,
                 "%s, %zu bytes", Row.m_Name, Bytes);
    cr_assert(errorOf(Outcome).m_MaybeSent, "%s, %zu bytes", Row.m_Name, Bytes);
  }
}
