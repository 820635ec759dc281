#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/net/http_server.hpp"
#include "ragwortdrift/node/leaf_connections.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

/// Id in the response of a leaf.
enum class ReturnedId { Own, None, Former };

struct Exchange {
  ReturnedId m_Id;
  bool m_IsAccepted;
};

struct EchoCase {
  const char *m_Name;
  std::vector<Exchange> m_Exchanges;
  std::size_t m_Connections;
};
const EchoCase EchoCases[] = {
    {"leaf that returns ids",
     {{ReturnedId::Own, true}, {ReturnedId::Own, true}},
     1},
    {"leaf that returns none",
     {{ReturnedId::None, true}, {ReturnedId::None, true}},
     2},
    {"late copy of a response",
     {{ReturnedId::Own, true},
      {ReturnedId::Former, false},
      {ReturnedId::Own, true}},
     2},
    {"late copy without an id",
     {{ReturnedId::Own, true},
      {ReturnedId::None, false},
      {ReturnedId::Own, true}},
     2},
};

/// A leaf whose responses have the ids that a test chooses, and the connections
/// to it.
struct Fixture {
  boost::asio::io_context m_Io;
  TimerService m_Timers;
  AsioTimerDriver m_TimerDriver{m_Io, m_Timers};
  HttpServer m_Leaf{m_Io, {}, [this](const auto &Exchange) {
                      const std::string Id(
                          Exchange->request()["Rd-Attempt-Id"]);
                      HttpResponse Response = jsonResponse(503, "{}");
                      Response.set("Rd-Not-Run", "1");
                      if (m_Id == ReturnedId::Own)
                        Response.set("Rd-Attempt-Id", Id);
                      if (m_Id == ReturnedId::Former)
                        Response.set("Rd-Attempt-Id", m_FormerId);
                      m_FormerId = Id;
                      Exchange->respond(std::move(Response));
                    }};
  ReturnedId m_Id = ReturnedId::Own;
  std::string m_FormerId;
  std::shared_ptr<LeafConnections> m_Connections;

  Fixture() {
    cr_assert(isOk(m_Leaf.listen("127.0.0.1", 0)));
    m_Connections = std::make_shared<LeafConnections>(
        m_Io, m_Timers, Endpoint{"127.0.0.1", m_Leaf.port()}, 1);
    m_TimerDriver.start();
  }
  Result<HttpResponse, HttpError> request() {
    std::optional<Result<HttpResponse, HttpError>> Outcome;
    const auto Call = m_Connections->start(
        HttpRequest{boost::beast::http::verb::post, "/search", 11}, 2s,
        [&](Result<HttpResponse, HttpError> Actual) {
          Outcome.emplace(std::move(Actual));
        });
    const auto End = std::chrono::steady_clock::now() + 3s;
    while (!Outcome && std::chrono::steady_clock::now() < End) {
      m_Io.run_for(2ms);
      m_Io.restart();
    }
    cr_assert(Outcome.has_value());
    m_IsKept = Call->isConnectionKept();
    m_OpenedAt.insert(Call->openedAt().value());
    return std::move(*Outcome);
  }

  bool m_IsKept = false;
  /// Times at which the connections of all requests were opened.
  std::set<TimePoint> m_OpenedAt;
};

} // namespace

// Guards against a late copy of a refusal that is taken for the refusal of a
// booking, which then runs twice.
TABLE_TEST(leaf_connections, believes_response_to_own_request_only, EchoCases) {
  Fixture Setup;
  for (const Exchange &Item : Row.m_Exchanges) {
    Setup.m_Id = Item.m_Id;
    const auto Outcome = Setup.request();
    cr_assert_eq(isOk(Outcome), Item.m_IsAccepted, "%s", Row.m_Name);
    cr_assert(isOk(Outcome) || errorOf(Outcome).m_MaybeSent, "%s", Row.m_Name);
    cr_assert_eq(Setup.m_IsKept, Item.m_Id == ReturnedId::Own, "%s",
                 Row.m_Name);
  }
  cr_assert_eq(Setup.m_OpenedAt.size(), Row.m_Connections, "%s", Row.m_Name);
}
