#include "http_fixture.hpp"

#include <boost/asio/write.hpp>

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds Timeout{200};

/// What a caller sends after a request whose response takes longer than all
/// time-outs.
struct LongRequestCase {
  const char *m_Name;
  const char *m_BytesAfter;
};
const LongRequestCase LongRequestCases[] = {
    {"nothing", ""},
    {"part of a header", "GET /y HT"},
    {"a header without its body",
     "POST /y HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx"},
};

struct LongRequestFixture {
  explicit LongRequestFixture(const char *BytesAfter)
      : m_Server(
            [this](const std::shared_ptr<HttpExchange> &Exchange) {
              m_Exchange = Exchange;
            },
            limits()),
        m_Caller(m_Server.connect()) {
    asio::write(m_Caller, asio::buffer("GET /x HTTP/1.1\r\nHost: h\r\n\r\n" +
                                       std::string(BytesAfter)));
    m_Server.m_Io.run_for(4 * Timeout);
    m_Server.m_Io.restart();
  }
  static HttpLimits limits() {
    HttpLimits Limits;
    Limits.m_IdleTimeout = Timeout;
    Limits.m_HeaderTimeout = Timeout;
    Limits.m_BodyTimeout = Timeout;
    return Limits;
  }

  std::shared_ptr<HttpExchange> m_Exchange;
  ServerFixture m_Server;
  tcp::socket m_Caller;
};

} // namespace

// Guards against a connection that is closed as idle, or as too slow with its
// next request, while its caller waits for a response (review/5).
TABLE_TEST(read_timeout, spares_caller_that_waits_for_response,
           LongRequestCases) {
  LongRequestFixture Fixture(Row.m_BytesAfter);
  cr_assert(Fixture.m_Exchange && Fixture.m_Exchange->isOpen(), "%s",
            Row.m_Name);
  Fixture.m_Exchange->respond(jsonResponse(200, "late"));
  std::string Text;
  cr_assert(Fixture.m_Server.runUntil([&] {
    readAvailable(Fixture.m_Caller, Text);
    return containsInOrder(Text, {"200", "late"});
  }),
            "%s", Row.m_Name);
  // Afterwards the time-outs hold again.
  cr_assert(Fixture.m_Server.runUntil(
                [&] { return Fixture.m_Server.m_Server.connections() == 0; }),
            "%s", Row.m_Name);
}

// Guards against a request that is worked on for a caller that has left after a
// time-out of its next request.
TABLE_TEST(read_timeout, notices_end_of_waiting_caller, LongRequestCases) {
  LongRequestFixture Fixture(Row.m_BytesAfter);
  cr_assert(Fixture.m_Exchange != nullptr, "%s", Row.m_Name);
  bool IsAborted = false;
  Fixture.m_Exchange->onAbort([&] { IsAborted = true; });
  Fixture.m_Caller.close();
  cr_assert(Fixture.m_Server.runUntil([&] { return IsAborted; }), "%s",
            Row.m_Name);
  cr_assert(Fixture.m_Server.runUntil(
      [&] { return Fixture.m_Server.m_Server.connections() == 0; }));
}

// Guards against idle time-outs below a second that act as a second, and
// against a connection that is closed before its time-out.
Test(read_timeout, begins_with_the_response) {
  LongRequestFixture Fixture("");
  Fixture.m_Exchange->respond(jsonResponse(200, "{}"));
  const auto Sent = std::chrono::steady_clock::now();
  cr_assert(Fixture.m_Server.runUntil(
      [&] { return Fixture.m_Server.m_Server.connections() == 0; }));
  const auto Elapsed = std::chrono::steady_clock::now() - Sent;
  cr_assert(Elapsed >= Timeout);
  cr_assert(Elapsed < 1s);
}
