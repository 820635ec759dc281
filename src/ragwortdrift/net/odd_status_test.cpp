#include "http_fixture.hpp"
#include "ragwortdrift/net/http_client.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <boost/asio/read_until.hpp>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

std::string responseWith(const char *Status) {
  return std::string("HTTP/1.1 ") + Status +
         " Odd\r\nContent-Length: 2\r\n\r\nok";
}

struct StatusCase {
  const char *m_Name;
  std::string m_Bytes;
  /// 0 if there is no response.
  unsigned m_Status;
};
const StatusCase StatusCases[] = {
    {"000", responseWith("000"), 0},
    {"001", responseWith("001"), 0},
    {"042", responseWith("042"), 0},
    {"099", responseWith("099"), 0},
    {"101", responseWith("101"), 0},
    {"600", responseWith("600"), 0},
    {"999", responseWith("999"), 0},
    {"two digits", responseWith("20"), 0},
    {"four digits", responseWith("2000"), 0},
    {"sign", responseWith("-20"), 0},
    {"letters", responseWith("2oo"), 0},
    {"000 in chunks",
     "HTTP/1.1 000 Odd\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\n\r\n",
     0},
    {"000 that ends with the connection", "HTTP/1.1 000 Odd\r\n\r\nok", 0},
    {"000 after an interim response",
     "HTTP/1.1 100 Continue\r\n\r\n" + responseWith("000"), 0},
    {"200", responseWith("200"), 200},
    {"200 after an interim response",
     "HTTP/1.1 102 Processing\r\n\r\n" + responseWith("200"), 200},
    {"418", responseWith("418"), 418},
    {"599", responseWith("599"), 599},
};

} // namespace

// Guards against a response with a status that HTTP does not define, or that
// answers a request for an upgrade, which a leaf in trouble has sent.
TABLE_TEST(odd_status, is_no_response, StatusCases) {
  asio::io_context Io;
  tcp::acceptor Acceptor(Io, {asio::ip::address_v4::loopback(), 0});
  auto Client = std::make_shared<HttpClientConnection>(Io);
  std::optional<Result<HttpResponse, HttpError>> Outcome;
  Client->connect("127.0.0.1", Acceptor.local_endpoint().port(), 1s,
                  [&](const Result<Done, HttpError> &) {
                    Client->send(
                        HttpRequest{boost::beast::http::verb::get, "/x", 11},
                        2s, [&](Result<HttpResponse, HttpError> Received) {
                          Outcome.emplace(std::move(Received));
                        });
                  });
  tcp::socket Leaf = Acceptor.accept();
  asio::write(Leaf, asio::buffer(Row.m_Bytes));
  const auto End = std::chrono::steady_clock::now() + 1s;
  while (!Outcome && std::chrono::steady_clock::now() < End)
    Io.run_one_for(5ms);
  cr_assert(Outcome.has_value(), "%s", Row.m_Name);
  cr_assert_eq(isOk(*Outcome), Row.m_Status != 0, "%s", Row.m_Name);
  cr_assert_eq(Client->usable(), Row.m_Status != 0, "%s", Row.m_Name);
  if (Row.m_Status != 0) {
    cr_assert_eq(valueOf(*Outcome).result_int(), Row.m_Status);
    return;
  }
  cr_assert_eq(errorOf(*Outcome).m_Code, HttpErrorCode::BadResponse);
  cr_assert(errorOf(*Outcome).m_MaybeSent);
}
