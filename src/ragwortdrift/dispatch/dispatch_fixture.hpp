#ifndef RAGWORTDRIFT_DISPATCH_DISPATCH_FIXTURE_HPP
#define RAGWORTDRIFT_DISPATCH_DISPATCH_FIXTURE_HPP

#include "ragwortdrift/dispatch/active_request.hpp"
#include "ragwortdrift/dispatch/dispatcher.hpp"

#include <map>
#include <optional>

namespace ragwortdrift::testing {

/// An open request that a fake transport holds.
struct PendingRequest {
  ListedLeaf m_Leaf;
  HttpRequest m_Request;
  TimePoint m_SentAt;
  LeafTransport::Callback m_OnResponse;
};

/// A transport whose outcomes the test supplies.
class FakeTransport : public LeafTransport {
public:
  explicit FakeTransport(TimerService &Timers) : m_Timers(Timers) {}

  LeafRequestId send(const ListedLeaf &Leaf, HttpRequest Request, Duration,
                     Callback OnResponse) override {
    const LeafRequestId Id = ++m_LastId;
    ++m_SendCounts[Leaf.m_Service];
    m_Open[Id] = {Leaf, std::move(Request), m_Timers.now(),
                  std::move(OnResponse)};
    m_ProbesSent += isProbe(m_Open[Id]) ? 1 : 0;
    return Id;
  }
  bool cancel(LeafRequestId Id) override {
    m_Cancelled += m_Open.erase(Id);
    return !m_Queued.contains(Id);
  }
  void endQueued(const LeafId &Id) override { m_QueuesEnded.insert(Id); }
  bool hasIdleConnection(const ListedLeaf &Leaf) const override {
    return !m_Unconnected.contains(Leaf.m_Id);
  }
  void disconnectIdle(const ListedLeaf &Leaf) override {
    m_Unconnected.insert(Leaf.m_Id);
  }

  void complete(LeafRequestId Id, Result<HttpResponse, HttpError> Outcome) {
    auto Node = m_Open.extract(Id);
    Node.mapped().m_OnResponse(std::move(Outcome));
  }
  /// Open requests to a service except health probes, oldest first.
  std::vector<LeafRequestId> openRequests(const std::string &Service) const {
    std::vector<LeafRequestId> Out;
    for (const auto &[Id, Item] : m_Open)
      if (Item.m_Leaf.m_Service.m_Value == Service && !isProbe(Item))
        Out.push_back(Id);
    return Out;
  }
  std::vector<LeafRequestId> probes() const {
    std::vector<LeafRequestId> Out;
    for (const auto &[Id, Item] : m_Open)
      if (isProbe(Item))
        Out.push_back(Id);
    return Out;
  }
  static bool isProbe(const PendingRequest &Item) {
    return Item.m_Request.target() == "/healthz";
  }

  std::map<LeafRequestId, PendingRequest> m_Open;
  std::map<ServiceName, int> m_SendCounts;
  /// Leafs without an idle connection.
  std::set<LeafId> m_Unconnected;
  /// Requests that wait for a connection.
  std::set<LeafRequestId> m_Queued;
  /// Leafs whose waiting requests were ended.
  std::set<LeafId> m_QueuesEnded;
  std::size_t m_Cancelled = 0;
  std::size_t m_ProbesSent = 0;

private:
  TimerService &m_Timers;
  LeafRequestId m_LastId = 0;
};

inline LeafProtocol testProtocol() {
  return {"T-Id",      "T-Left",    "T-Expect", "T-Sign",
          "T-Not-Run", "T-Load",    "T-Cold",   "T-Leaf",
          "T-Parts",   "T-Missing", "T-Key",    "T-Account"};
}

/// A dispatcher in virtual time: the search route /s/ over the shards s1 to s4
/// (coverage 0.75, 3 records, objective 100 ms, time-out 600 ms) and the routes
/// /r/ (idempotent) and /b/ (not idempotent) of the service "one". Each service
/// has leafs SERVICE-1 to SERVICE-3 in the domains d1 to d3.
struct DispatchFixture {
  explicit DispatchFixture(std::uint64_t Seed = 1,
                           DispatchOptions Options = defaultOptions())
      : m_Transport(m_Timers),
        m_Dispatcher(m_Timers, m_Transport, testProtocol(), std::move(Options),
                     Seed) {
    m_Dispatcher.setRoutes(std::make_shared<const RouteTable>(config()));
    m_Dispatcher.setLeafs(leafs());
  }

  static DispatchOptions defaultOptions() {
    DispatchOptions Options;
    Options.m_Domain = FailureDomain{"d1"};
    return Options;
  }

  static std::vector<std::string> services() {
    return {"s1", "s2", "s3", "s4", "one"};
  }

  static RouteConfig config(std::uint64_t Version = 1) {
    using namespace std::chrono_literals;
    RouteConfig Out;
    Out.m_Version = Version;
    for (const std::string &Name : services())
      Out.m_Services.push_back({ServiceName{Name}, "/healthz", 10, 3s, 0});
    Route Search{"search", "h",   "/s/", RouteKind::Search,
                 true,     600ms, 100ms, 1,
                 2,        {},    3,     0.75};
    for (int I = 0; I < 4; ++I)
      Search.m_Services.push_back({ServiceName{services()[I]}, 1});
    Route Idempotent{
        "repeatable", "h", "/r/", RouteKind::Single,        true, 2s,
        400ms,        1,   2,     {{ServiceName{"one"}, 1}}};
    Route NonIdempotent = Idempotent;
    NonIdempotent.m_Name = "booking";
    NonIdempotent.m_PathPrefix = "/b/";
    NonIdempotent.m_Idempotent = false;
    Out.m_Routes = {Search, Idempotent, NonIdempotent};
    return Out;
  }

  static LeafList leafs() {
    LeafList Out;
    for (const std::string &Service : services())
      for (int I = 1; I <= 3; ++I) {
        const std::string Number = std::to_string(I);
        ListedLeaf Leaf;
        std::string Name = Service;
        Name += "-";
        Name += Number;
        Leaf.m_Id = LeafId{Name};
        Leaf.m_Service = ServiceName{Service};
        Leaf.m_Address = {"10.0.0." + Number, 80};
        Leaf.m_Domain = FailureDomain{"d" + Number};
        Out.push_back(Leaf);
      }
    return Out;
  }

  std::shared_ptr<ActiveRequest> sendRequest(const std::string &Path,
                                             int TimeoutMillis = 600) {
    HttpRequest Request{boost::beast::http::verb::get, Path + "x", 11};
    Request.set("Host", "h");
    Request.set("T-Id", "r" + std::to_string(++m_LastRequest));
    Request.set("T-Left", std::to_string(TimeoutMillis));
    Request.set("Connection", "X-Hop");
    Request.set("X-Hop", "1");
    Request.set("X-Kept", "1");
    m_Response.reset();
    return m_Dispatcher.dispatch(
        Request, [this](HttpResponse Out) { m_Response = std::move(Out); });
  }

  void advanceTime(Duration Time) { m_Timers.advanceTo(m_Timers.now() + Time); }

  /// Returns a complete response of the leaf that a request was sent to.
  HttpResponse responseOf(LeafRequestId Id, unsigned Status = 200,
                          std::string Body = {}) const {
    const PendingRequest &Pending = m_Transport.m_Open.at(Id);
    HttpResponse Out{static_cast<boost::beast::http::status>(Status), 11};
    Out.set("T-Id", Pending.m_Request["T-Id"]);
    Out.set("T-Sign", "sign-" + Pending.m_Leaf.m_Id.m_Value);
    Out.body() = std::move(Body);
    return Out;
  }
  static HttpResponse refusedResponse(unsigned Status = 503) {
    HttpResponse Out{static_cast<boost::beast::http::status>(Status), 11};
    Out.set("T-Not-Run", "1");
    return Out;
  }
  static HttpError connectionLost() {
    return {HttpErrorCode::ConnectionLost, true, "reset"};
  }
  static HttpError connectFailed() {
    return {HttpErrorCode::ConnectFailed, false, "refused"};
  }
  void respondToOldest(const std::string &Service, std::string Body = {}) {
    const LeafRequestId Id = m_Transport.openRequests(Service).front();
    m_Transport.complete(Id, responseOf(Id, 200, std::move(Body)));
  }
  /// Serves requests in 5 ms each, which gives the hedge delay its latency
  /// samples and the retry budgets their tokens.
  void serveRequests(const std::string &Path, int Requests = 60) {
    using namespace std::chrono_literals;
    for (int I = 0; I < Requests; ++I) {
      sendRequest(Path);
      advanceTime(5ms);
      while (!m_Response) {
        for (const std::string &Service : services())
          while (!m_Transport.openRequests(Service).empty())
            respondToOldest(Service);
      }
    }
  }

  TimerService m_Timers;
  FakeTransport m_Transport;
  Dispatcher m_Dispatcher;
  std::optional<HttpResponse> m_Response;
  int m_LastRequest = 0;
};

} // namespace ragwortdrift::testing

#endif
