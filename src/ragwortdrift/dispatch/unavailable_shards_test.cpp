#include "dispatch_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;

namespace {

struct UnservableCase {
  const char *m_Name;
  const char *m_Path;
  /// Remaining warm-up of all leafs of the shards s1 and s2.
  Duration m_FirstCold;
  Duration m_SecondCold;
  /// Earliest and latest Retry-After; 0 if the request is sent.
  Duration m_Earliest;
  Duration m_Latest;
};
const UnservableCase UnservableCases[] = {
    {"all shards are available", "/s/", 0ms, 0ms, 0ms, 0ms},
    // One of four shards may be missing.
    {"one shard is cold", "/s/", 2s, 0ms, 0ms, 0ms},
    {"two shards are cold", "/s/", 2s, 3s, 2s, 2300ms},
    {"cold for less time than a request waits", "/s/", 40ms, 3s, 0ms, 0ms},
};

} // namespace

// Guards against a search that waits and loads leafs although it is known that
// it cannot be served, and against callers that return too early or together.
TABLE_TEST(dispatcher, refuses_unservable_search_at_once, UnservableCases) {
  DispatchFixture F;
  LeafList List = F.leafs();
  for (ListedLeaf &Leaf : List)
    Leaf.m_RemainingWarmUp = Leaf.m_Service.m_Value == "s1"   ? Row.m_FirstCold
                             : Leaf.m_Service.m_Value == "s2" ? Row.m_SecondCold
                                                              : Duration{0};
  F.m_Dispatcher.setLeafs(List);
  std::set<double> Returns;
  for (int I = 0; I < 20; ++I) {
    F.sendRequest(Row.m_Path);
    cr_assert_eq(F.m_Response.has_value(), Row.m_Latest > 0ms, "%s",
                 Row.m_Name);
    if (!F.m_Response)
      continue;
    cr_assert_eq(F.m_Response->result_int(), 503U);
    const double Seconds = std::stod(
        std::string((*F.m_Response)[boost::beast::http::field::retry_after]));
    cr_assert_geq(Seconds, toMillis(Row.m_Earliest) / 1000, "%s", Row.m_Name);
    cr_assert_leq(Seconds, toMillis(Row.m_Latest) / 1000, "%s", Row.m_Name);
    Returns.insert(Seconds);
  }
  const auto Sends = [&](const char *Service) {
    return F.m_Transport.m_SendCounts[ServiceName{Service}];
  };
  if (Row.m_Latest > 0ms) {
    cr_assert_gt(Returns.size(), 5U, "callers return together");
    cr_assert_eq(Sends("s4"), 0);
  } else {
    cr_assert_eq(Sends("s4"), 20);
  }
}

// Guards against a switch to shards whose leafs are still cold while those of
// the previous configuration serve, and against a delay beyond the limit.
Test(dispatcher, serves_by_previous_config_until_new_shards_are_warm) {
  for (const Duration WarmUp : {Duration{1s}, Duration{5s}}) {
    DispatchOptions Options = DispatchFixture::defaultOptions();
    Options.m_MaxConfigDelay = 2s;
    DispatchFixture F(1, Options);
    LeafList List = F.leafs();
    RouteConfig Next = F.config(2);
    Next.m_Routes[0].m_Services.clear();
    for (const char *Name : {"n1", "n2"}) {
      Next.m_Services.push_back({ServiceName{Name}, "/healthz", 10, 3s, 0});
      Next.m_Routes[0].m_Services.push_back({ServiceName{Name}, 1});
      for (int I = 1; I <= 3; ++I) {
        ListedLeaf Leaf = List.front();
        Leaf.m_Id = LeafId{std::string(Name) + "-" + std::to_string(I)};
        Leaf.m_Service = ServiceName{Name};
        Leaf.m_Domain = FailureDomain{"d" + std::to_string(I)};
        Leaf.m_RemainingWarmUp = WarmUp;
        List.push_back(Leaf);
      }
    }
    F.m_Dispatcher.setLeafs(List);
    F.m_Dispatcher.setRoutes(std::make_shared<const RouteTable>(Next));
    cr_assert(F.m_Dispatcher.holdsRoutes());
    const Duration HeldFor = std::min<Duration>(WarmUp, 2s);
    while (F.m_Timers.now() < TimePoint{} + HeldFor) {
      F.sendRequest("/s/");
      cr_assert_eq(F.m_Transport.openRequests("s1").size(), 1U);
      for (const char *Shard : {"s1", "s2", "s3", "s4"})
        F.respondToOldest(Shard);
      cr_assert_eq(F.m_Response->result_int(), 200U);
      F.advanceTime(50ms);
    }
    // The periodic check may be late; a request must not use a version that is
    // overdue.
    F.sendRequest("/s/");
    cr_assert_not(F.m_Dispatcher.holdsRoutes());
    cr_assert(F.m_Transport.openRequests("s1").empty());
    cr_assert_eq(F.m_Transport.openRequests("n1").size(),
                 WarmUp < 2s ? 1U : 0U);
  }
}
