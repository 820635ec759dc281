#include "dispatch_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;

namespace {

struct RepeatCase {
  const char *m_Name;
  std::vector<std::string> m_Entries;
  double m_MinCoverage;
  /// Shard whose leafs do not answer, empty if all do.
  std::string m_Dark;
  /// Signatures in a success, 0 if the search fails.
  std::size_t m_Parts;
  const char *m_Missing;
};
const RepeatCase RepeatCases[] = {
    {"once each", {"s1", "s2", "s3"}, 0.75, "", 3, "0"},
    {"twice", {"s1", "s2", "s2", "s3"}, 0.75, "", 3, "0"},
    {"the only shard", {"s1", "s1", "s1", "s1", "s1"}, 1, "", 1, "0"},
    {"last as first", {"s1", "s2", "s3", "s4", "s1"}, 1, "", 4, "0"},
    {"repeated shards answer, too few do",
     {"s1", "s2", "s2", "s2", "s3"},
     0.75,
     "s3",
     0,
     ""},
    {"repeated shard is dark, enough answer",
     {"s1", "s2", "s3", "s3", "s3"},
     0.6,
     "s3",
     2,
     "1"},
    {"repeated shard is dark, one part is missing",
     {"s1", "s2", "s2", "s3", "s4"},
     0.5,
     "s2",
     3,
     "1"},
};

/// A dispatcher whose route /s/ names the given shards.
struct RepeatFixture : DispatchFixture {
  RepeatFixture(const std::vector<std::string> &Entries, double MinCoverage) {
    RouteConfig Config = config(2);
    Route &Search = Config.m_Routes[0];
    Search.m_MinCoverage = MinCoverage;
    Search.m_Services.clear();
    for (const std::string &Name : Entries)
      Search.m_Services.push_back({ServiceName{Name}, 1});
    m_Dispatcher.setRoutes(std::make_shared<const RouteTable>(Config));
  }

  std::size_t signatures() const {
    const auto Field = (*m_Response)["T-Parts"];
    return static_cast<std::size_t>(std::ranges::count(Field, ',')) + 1;
  }
};

} // namespace

// Guards against a response with two signatures of one shard, and against
// coverage by the number of names, if a route names a shard twice (review/12).
TABLE_TEST(repeated_shards, count_once, RepeatCases) {
  RepeatFixture F(Row.m_Entries, Row.m_MinCoverage);
  F.sendRequest("/s/");
  for (const std::string &Service : DispatchFixture::services()) {
    const bool IsNamed = std::ranges::count(Row.m_Entries, Service) > 0;
    cr_assert_eq(F.m_Transport.openRequests(Service).size(), IsNamed ? 1U : 0U,
                 "%s: %s", Row.m_Name, Service.c_str());
    if (IsNamed && Service != Row.m_Dark)
      F.respondToOldest(Service);
  }
  F.advanceTime(1s);
  cr_assert(F.m_Response.has_value());
  cr_assert_eq(F.m_Response->result_int(), Row.m_Parts > 0 ? 200U : 504U, "%s",
               Row.m_Name);
  if (Row.m_Parts == 0)
    return;
  cr_assert_eq(F.signatures(), Row.m_Parts, "%s", Row.m_Name);
  cr_assert_eq((*F.m_Response)["T-Missing"], Row.m_Missing, "%s", Row.m_Name);
}

// Guards against a search that is refused, or waits in vain, because a shard
// that cannot serve counts as often as it is named.
Test(repeated_shards, do_not_decide_availability) {
  for (const bool IsRepeatedCold : {true, false}) {
    RepeatFixture F({"s1", "s2", "s3", "s3", "s3"}, 0.6);
    LeafList List = F.leafs();
    for (ListedLeaf &Leaf : List)
      if (IsRepeatedCold ? Leaf.m_Service.m_Value == "s3"
                         : Leaf.m_Service.m_Value != "s3")
        Leaf.m_RemainingWarmUp = 3s;
    F.m_Dispatcher.setLeafs(List);
    F.sendRequest("/s/");
    cr_assert_eq(F.m_Response.has_value(), !IsRepeatedCold);
    if (F.m_Response)
      cr_assert_eq(F.m_Response->result_int(), 503U);
  }
}

// Guards against a body that counts as often as a shard is named, so that a
// small one is refused while memory is left.
Test(repeated_shards, do_not_multiply_bytes_in_flight) {
  RouteConfig Config = DispatchFixture::config();
  Route &Search = Config.m_Routes[0];
  Search.m_Services.assign(200, {ServiceName{"s1"}, 1});
  const RouteTable Table(Config);
  HttpRequest Request{boost::beast::http::verb::post, "/s/x", 11};
  Request.body() = std::string(1000, 'x');
  cr_assert_eq(requestBytes(*Table.find("h", "/s/x"), Request), 1000U);
}
