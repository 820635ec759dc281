#include "ragwortdrift/tools/leaf/leaf_host.hpp"
#include "ragwortdrift/tools/load/http_pool.hpp"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <thread>

// Last, because Criterion's macro Test breaks headers of Boost.
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::tools;

namespace {

using namespace std::chrono_literals;
namespace http = boost::beast::http;
namespace json = boost::json;

/// Returns a port that was free at the time of the call.
unsigned short freePort() {
  boost::asio::io_context Io;
  const boost::asio::ip::tcp::acceptor Acceptor(
      Io, {boost::asio::ip::address_v4::loopback(), 0});
  return Acceptor.local_endpoint().port();
}

/// One leaf of the group g1 and a client.
struct Fixture {
  boost::asio::ip::tcp::endpoint m_Address{
      boost::asio::ip::address_v4::loopback(), freePort()};
  LeafHost m_Host{1, 1, ""};
  boost::asio::io_context m_Io{1};
  HttpPool m_Pool{m_Io, m_Address};

  explicit Fixture(const json::object &Settings = {}) {
    LeafOptions Options;
    Options.m_Name = "a1";
    Options.m_Service = "s";
    Options.m_Group = "g1";
    Options.m_Domain = "d";
    Options.m_Address = m_Address;
    Options.m_Sigma = 0;
    for (const auto &Item : Settings)
      cr_assert(isOk(setOption(Options, Item.key(), Item.value())));
    cr_assert(isOk(m_Host.start({Options}, "")));
  }

  void send(HttpPool &Pool, std::optional<HttpOutcome> &Result,
            Duration Timeout = 1s, unsigned DeadlineMs = 1000,
            const std::string &Version = "") {
    HttpRequest Request{http::verb::post, "/search", 11};
    Request.set("Rd-Group", "g1");
    Request.set("Rd-Deadline-Ms", std::to_string(DeadlineMs));
    Request.set("Rd-Request-Id", "r1");
    if (!Version.empty())
      Request.set("Rd-Snapshot", Version);
    Request.body() = "hello";
    Request.prepare_payload();
    Pool.send(std::move(Request), Timeout,
              [&Result](HttpOutcome Outcome) { Result = std::move(Outcome); });
  }

  /// Runs the client's event loop until the condition holds.
  void runUntil(const std::function<bool()> &Condition) {
    while (!Condition())
      cr_assert(m_Io.run_one() > 0,
                "the event loop of the client has no pending work");
  }

  HttpOutcome query(unsigned DeadlineMs = 1000, const std::string &Version = "",
                    Duration Timeout = 1s) {
    std::optional<HttpOutcome> Outcome;
    m_Io.restart();
    send(m_Pool, Outcome, Timeout, DeadlineMs, Version);
    runUntil([&] { return Outcome.has_value(); });
    return *Outcome;
  }

  void control(const char *Message) {
    const auto [Status, Body] =
        m_Host.handleControl("POST", "/control/a1", Message);
    cr_assert_eq(Status, 200U, "%s", json::serialize(Body).c_str());
  }

  json::object record() {
    auto Response = m_Host.handleControl("GET", "/records/a1", "").second;
    return Response.at("leafs").as_array().at(0).as_object();
  }
};

struct ResponseRow {
  const char *m_Name;
  json::object m_Settings;
  const char *m_Control;
  unsigned m_DeadlineMs;
  const char *m_Version;
  unsigned m_Status;
  /// Headers and values that the response must have; an empty value means that
  /// the header is absent.
  std::vector<std::pair<const char *, const char *>> m_Headers;
};

ResponseRow ResponseRows[] = {
    {"plain response",
     {},
     "{}",
     1000,
     "",
     200,
     {{"Rd-Snapshot", "1"},
      {"Rd-Snapshots", "1"},
      {"Rd-Cold", ""},
      {"Rd-Leaving", ""},
      {"Rd-Not-Run", ""}}},
    {"older version on request",
     {{"snapshots", "7,8"}},
     "{}",
     1000,
     "7",
     200,
     {{"Rd-Snapshot", "7"}, {"Rd-Snapshots", "7,8"}}},
    {"newest version by default",
     {{"snapshots", "7,8"}},
     "{}",
     1000,
     "",
     200,
     {{"Rd-Snapshot", "8"}}},
    {"version that is no longer offered",
     {{"snapshots", "7,8"}},
     R"({"snapshots":[8]})",
     1000,
     "7",
     409,
     {{"Rd-Snapshots", "8"}, {"Rd-Not-Run", ""}}},
    {"cold", {}, R"({"cold":true})", 1000, "", 200, {{"Rd-Cold", "1"}}},
    {"leaving, within the grace",
     {},
     R"({"leaving":true})",
     1000,
     "",
     200,
     {{"Rd-Leaving", "1"}}},
    {"leaving, after the grace",
     {{"leave_grace_ms", 0}},
     R"({"leaving":true})",
     1000,
     "",
     503,
     {{"Rd-Leaving", "1"}, {"Rd-Not-Run", "1"}}},
    {"deadline before the end",
     {{"service_ms", 500}},
     "{}",
     50,
     "",
     504,
     {{"Rd-Not-Run", ""}}},
    {"no slots",
     {{"slots", 0}, {"queue", 0}},
     "{}",
     1000,
     "",
     503,
     {{"Rd-Not-Run", "1"}}},
};

} // namespace

// Guards against a stand-in whose responses deviate from section 4 of the
// design, which would hide faults of the daemon.
TABLE_TEST(leaf_server, responds_as_specified, ResponseRows) {
  Fixture Leaf(Row.m_Settings);
  Leaf.control(Row.m_Control);
  const auto Outcome = Leaf.query(Row.m_DeadlineMs, Row.m_Version);
  cr_assert(isOk(Outcome), "%s", Row.m_Name);
  const HttpResponse &Response = valueOf(Outcome);
  cr_assert_eq(Response.result_int(), Row.m_Status, "%s", Row.m_Name);
  for (const auto &[Header, Value] : Row.m_Headers)
    cr_assert(Response[Header] == Value, "%s: %s", Row.m_Name, Header);
}

// Guards against a response whose request id, group, leaf or boot id does not
// identify its origin.
Test(leaf_server, identifies_the_origin_of_a_response) {
  Fixture Leaf;
  const auto First = Leaf.query();
  const auto Body = json::parse(valueOf(First).body()).as_object();
  cr_assert(Body.at("request_id") == "r1");
  cr_assert(Body.at("group") == "g1");
  cr_assert(Body.at("leaf") == "a1");
  const std::string BootId(valueOf(First)["Rd-Boot-Id"]);
  cr_assert(Body.at("boot_id").as_string() == BootId);
  Leaf.control(R"({"cold":true})");
  const auto Second = Leaf.query();
  cr_assert(valueOf(Second)["Rd-Boot-Id"] != BootId);
}

// Guards against unresponsive connections that still execute requests, or that
// affect new connections.
Test(leaf_server, stops_responding_only_on_open_connections) {
  Fixture Leaf;
  cr_assert(isOk(Leaf.query()));
  Leaf.control(R"({"silent":true})");
  const auto UnresponsiveOutcome = Leaf.query(1000, "", 100ms);
  cr_assert(!isOk(UnresponsiveOutcome));
  cr_assert(errorOf(UnresponsiveOutcome).m_Code ==
            TransportErrorCode::TimedOut);
  cr_assert(isOk(Leaf.query()));
  cr_assert_eq(Leaf.record().at("records").as_array().size(), 2U);
}

// Guards against a leaf that accepts more connections than its limit.
Test(leaf_server, closes_connections_above_the_limit) {
  Fixture Leaf({{"connections", 1}});
  cr_assert(isOk(Leaf.query()));
  HttpPool Second(Leaf.m_Io, Leaf.m_Address);
  std::optional<HttpOutcome> Outcome;
  Leaf.m_Io.restart();
  Leaf.send(Second, Outcome);
  Leaf.runUntil([&] { return Outcome.has_value(); });
  cr_assert(!isOk(*Outcome));
  cr_assert(errorOf(*Outcome).m_Code == TransportErrorCode::Closed);
  cr_assert(Leaf.record().at("connections_refused") == 1);
}

// Guards against a cancelled request that keeps its slot.
Test(leaf_server, frees_the_slot_when_the_connection_closes) {
  Fixture Leaf({{"slots", 1}, {"queue", 0}, {"service_ms", 800}});
  cr_assert(!isOk(Leaf.query(5000, "", 100ms)));
  std::this_thread::sleep_for(100ms);
  Leaf.control(R"({"service_ms":5})");
  const auto Outcome = Leaf.query();
  cr_assert(isOk(Outcome));
  cr_assert_eq(valueOf(Outcome).result_int(), 200U);
  const auto Record = Leaf.record();
  cr_assert(Record.at("cancelled") == 1);
  cr_assert(Record.at("records").as_array().at(0).at("ended") == false);
  cr_assert(Record.at("records").as_array().at(1).at("ended") == true);
}

// Guards against a request that is executed although its deadline passed in the
// queue, or whose refusal does not state that it was not executed.
Test(leaf_server, does_not_execute_requests_that_expired_in_the_queue) {
  Fixture Leaf({{"slots", 1}, {"queue", 2}, {"service_ms", 200}});
  HttpPool Second(Leaf.m_Io, Leaf.m_Address);
  std::optional<HttpOutcome> Running;
  std::optional<HttpOutcome> Expired;
  Leaf.send(Leaf.m_Pool, Running);
  boost::asio::steady_timer DelayTimer(Leaf.m_Io, 50ms);
  DelayTimer.async_wait(
      [&](boost::system::error_code) { Leaf.send(Second, Expired, 1s, 20); });
  Leaf.runUntil([&] { return Running && Expired; });
  cr_assert_eq(valueOf(*Running).result_int(), 200U);
  cr_assert_eq(valueOf(*Expired).result_int(), 503U);
  cr_assert(valueOf(*Expired)["Rd-Not-Run"] == "1");
  cr_assert_eq(Leaf.record().at("records").as_array().size(), 1U);
}
