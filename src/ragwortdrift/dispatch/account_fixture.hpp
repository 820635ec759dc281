#ifndef RAGWORTDRIFT_DISPATCH_ACCOUNT_FIXTURE_HPP
#define RAGWORTDRIFT_DISPATCH_ACCOUNT_FIXTURE_HPP

#include "dispatch_fixture.hpp"
#include "ragwortdrift/limits/token_allocator.hpp"

namespace ragwortdrift::testing {

/// A dispatcher with the accounts "free" (keys secret-f1, secret-f2; no quota),
/// "bound" (secret-b; 10 requests per second, burst 2, priority 0) and "other"
/// (secret-o; the same). The route /b/ is public. Tokens come from an allocator
/// in the test, when exchangeTokens() is called.
struct AccountFixture : DispatchFixture {
  explicit AccountFixture(DispatchOptions Options = defaultOptions(),
                          std::uint64_t Seed = 1)
      : DispatchFixture(Seed, std::move(Options)) {
    setConfig(accountConfig(2));
    m_Dispatcher.confirmRoutes(m_Timers.now());
  }

  static RouteConfig accountConfig(std::uint64_t Version) {
    RouteConfig Out = config(Version);
    Out.m_Accounts = {{"free", {"secret-f1", "secret-f2"}, {}, 0, 0},
                      {"bound", {"secret-b"}, 0, 10, 2},
                      {"other", {"secret-o"}, 0, 10, 2}};
    Out.m_Routes[2].m_IsPublic = true;
    return Out;
  }
  /// The same with a route to a service that no leaf serves, so that it is held
  /// if the dispatcher holds configurations.
  static RouteConfig coldConfig(std::uint64_t Version) {
    RouteConfig Out = accountConfig(Version);
    Out.m_Services.push_back({ServiceName{"cold"}, "/healthz", 10, {}, 0});
    Out.m_Routes[0].m_Services = {{ServiceName{"cold"}, 1}};
    return Out;
  }
  void setConfig(RouteConfig Config) {
    m_Dispatcher.setRoutes(
        std::make_shared<const RouteTable>(std::move(Config)));
  }

  std::shared_ptr<ActiveRequest>
  ask(const std::string &Path, const std::vector<std::string> &Keys,
      Dispatcher::ResponseCallback OnResponse = {}) {
    HttpRequest Request{boost::beast::http::verb::get, Path + "x", 11};
    Request.set("Host", "h");
    Request.set("T-Id", "r" + std::to_string(++m_LastRequest));
    Request.set("T-Left", "600");
    Request.set("T-Account", "forged");
    Request.insert("T-Account", "forged again");
    for (const std::string &Key : Keys)
      Request.insert("T-Key", Key);
    m_Response.reset();
    if (!OnResponse)
      OnResponse = [this](HttpResponse Out) { m_Response = std::move(Out); };
    return m_Dispatcher.dispatch(Request, std::move(OnResponse));
  }
  /// Status of a refusal, or 0 if the request was sent or waits. The request is
  /// then cancelled.
  unsigned statusOf(const std::string &Path,
                    const std::vector<std::string> &Keys) {
    if (const auto Request = ask(Path, Keys))
      Request->cancel();
    return m_Response ? m_Response->result_int() : 0;
  }
  std::size_t openAtLeafs() const {
    return m_Transport.openRequests("one").size();
  }

  void exchangeTokens() {
    if (const auto Request = m_Dispatcher.takeLimitRequest())
      m_Dispatcher.onLimitReply(
          m_Allocator.allocate(m_Timers.now(), "vm", *Request));
  }

  TokenAllocator m_Allocator{m_Timers.now()};
};

} // namespace ragwortdrift::testing

#endif
