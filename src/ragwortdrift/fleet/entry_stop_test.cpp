#include "ragwortdrift/fleet/entry_traffic.hpp"
#include "ragwortdrift/testing/loopback.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

using namespace ragwortdrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Time from the start of the stop to the exit is 500 ms shorter.
constexpr auto StopTime = 4s;

/// The traffic side of an entry VM in its stop, with one leaf that takes a set
/// time for each request.
struct StopFixture {
  StopFixture()
      : m_Leaf(m_Io, {}, [this](const std::shared_ptr<HttpExchange> &Exchange) {
          onLeafRequest(Exchange);
        }) {
    cr_assert(isOk(m_Leaf.listen("127.0.0.1", 0)));
    FleetSettings Settings;
    Settings.m_Vm = VmId{"entry"};
    Settings.m_Domain = FailureDomain{"d1"};
    Settings.m_Callers = testing::freeEndpoint(m_Io);
    Settings.m_StopTime = StopTime;
    m_Callers = *Settings.m_Callers;
    m_Traffic.emplace(m_Io, Settings,
                      LeafProtocol{"T-Id", "T-Left", "T-Expect", "T-Sign",
                                   "T-Not-Run", "T-Load", "T-Cold", "T-Leaf",
                                   "T-Parts", "T-Missing"},
                      "/ready");
    cr_assert(isOk(m_Traffic->start()));
    RouteConfig Config;
    Config.m_Version = 1;
    Config.m_Services.push_back({ServiceName{"one"}, "/healthz", 10, 3s, 0});
    Config.m_Routes.push_back({"booking",
                               "h",
                               "/b/",
                               RouteKind::Single,
                               false,
                               2s,
                               400ms,
                               1,
                               2,
                               {{ServiceName{"one"}, 1}}});
    m_Traffic->setRoutes(std::make_shared<const RouteTable>(Config),
                         TimePoint{});
    ListedLeaf Listed;
    Listed.m_Id = LeafId{"one-1"};
    Listed.m_Service = ServiceName{"one"};
    Listed.m_Address = {"127.0.0.1", m_Leaf.port()};
    Listed.m_Domain = FailureDomain{"d1"};
    m_Traffic->setLeafs({Listed});
    runFor(200ms);
  }

  void onLeafRequest(const std::shared_ptr<HttpExchange> &Exchange) {
    HttpResponse Out{boost::beast::http::status::ok, 11};
    Out.set("T-Leaf", "one-1");
    if (Exchange->request().target() == "/healthz")
      return Exchange->respond(std::move(Out));
    const std::string Id(Exchange->request()["T-Id"]);
    m_Executed.push_back(Id);
    Out.set("T-Id", Id);
    Out.set("T-Sign", "s");
    Out.body() = "done " + Id;
    const auto Timer = std::make_shared<asio::steady_timer>(m_Io, m_LeafTime);
    Timer->async_wait([Timer, Exchange, Out](const auto &) {
      Exchange->respond(HttpResponse(Out));
    });
  }

  void runFor(Duration Time) {
    m_Io.restart();
    m_Io.run_for(Time);
  }
  /// Runs until the stop has ended, and reads what the caller receives.
  std::string readUntilStopped(tcp::socket &Caller) {
    std::string Text;
    Caller.non_blocking(true);
    const auto End = std::chrono::steady_clock::now() + 2 * StopTime;
    while (!m_Stopped && std::chrono::steady_clock::now() < End) {
      runFor(5ms);
      char Buffer[4096];
      boost::system::error_code Error;
      Text.append(Buffer, Caller.read_some(asio::buffer(Buffer), Error));
    }
    return Text;
  }
  static std::string request(const std::string &Id, int TimeoutMillis) {
    return "POST /b/x HTTP/1.1\r\nHost: h\r\nT-Id: " + Id +
           "\r\nT-Left: " + std::to_string(TimeoutMillis) +
           "\r\nContent-Length: 0\r\n\r\n";
  }

  asio::io_context m_Io;
  HttpServer m_Leaf;
  Duration m_LeafTime{1ms};
  std::vector<std::string> m_Executed;
  Endpoint m_Callers;
  std::optional<EntryTraffic> m_Traffic;
  bool m_Stopped = false;
};

struct LateCase {
  const char *m_Name;
  /// Time from the signal to the start of the stop in this process.
  Duration m_SignalDelay;
  /// Time from the signal to the end of the request's bytes.
  Duration m_Completed;
  int m_TimeoutMillis;
  Duration m_LeafTime;
  bool m_Served;
};
const LateCase LateCases[] = {
    {"early", 0ms, 300ms, 2000, 1500ms, true},
    {"late with a short time-out", 0ms, 2900ms, 400, 300ms, true},
    {"late with the time-out of the route", 0ms, 2900ms, 2000, 800ms, false},
    {"late with a time-out that ends too late", 0ms, 2900ms, 700, 650ms, false},
    {"late signal", 2600ms, 2700ms, 2000, 1500ms, false},
};

} // namespace

// Guards against a request that is passed on so late in a planned stop that the
// process ends before the answer: its caller cannot know whether it was
// executed.
TABLE_TEST(entry_stop, answers_each_request_that_it_takes, LateCases) {
  StopFixture F;
  F.m_LeafTime = Row.m_LeafTime;
  tcp::socket Caller(F.m_Io);
  Caller.connect(
      {asio::ip::make_address(F.m_Callers.m_Ip), F.m_Callers.m_Port});
  const std::string Request = F.request("r1", Row.m_TimeoutMillis);
  // The connection stays open for the part that has arrived.
  asio::write(Caller, asio::buffer(Request.substr(0, 40)));
  F.runFor(20ms);
  F.m_Traffic->beginStop(Row.m_SignalDelay, [&] { F.m_Stopped = true; });
  F.runFor(Row.m_Completed - Row.m_SignalDelay);
  cr_assert(F.m_Executed.empty());
  asio::write(Caller, asio::buffer(Request.substr(40)));
  const std::string Text = F.readUntilStopped(Caller);
  cr_assert(F.m_Stopped);
  cr_assert_neq(Text.find("Connection: close"), std::string::npos, "%s: '%s'",
                Row.m_Name, Text.c_str());
  cr_assert_eq(Text.find("200 OK") != std::string::npos, Row.m_Served, "%s: %s",
               Row.m_Name, Text.c_str());
  if (Row.m_Served)
    return;
  cr_assert_neq(Text.find("503 "), std::string::npos, "%s", Row.m_Name);
  cr_assert_neq(Text.find("\"not_run\":true"), std::string::npos, "%s",
                Row.m_Name);
  cr_assert(F.m_Executed.empty(), "%s", Row.m_Name);
}
