#include "dispatch_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;

namespace {

constexpr int Shards = 20;

std::string shardName(int Index) { return "w" + std::to_string(Index); }

/// A dispatcher whose route /s/ has twenty shards with a leaf in each of three
/// domains, and an objective of 100 ms.
struct WideFixture : DispatchFixture {
  WideFixture() {
    RouteConfig Config = config(2);
    Config.m_Routes[0].m_Services.clear();
    LeafList List;
    for (int Shard = 0; Shard < Shards; ++Shard) {
      const ServiceName Service{shardName(Shard)};
      Config.m_Services.push_back({Service, "/healthz", 10, 3s, 0});
      Config.m_Routes[0].m_Services.push_back({Service, 1});
      for (const char *Number : {"1", "2", "3"}) {
        ListedLeaf Leaf;
        Leaf.m_Id = LeafId{Service.m_Value + "-" + Number};
        Leaf.m_Service = Service;
        Leaf.m_Address = {"10.0.0." + std::string(Number), 80};
        Leaf.m_Domain = FailureDomain{"d" + std::string(Number)};
        List.push_back(Leaf);
      }
    }
    m_Dispatcher.setRoutes(std::make_shared<const RouteTable>(Config));
    m_Dispatcher.setLeafs(List);
  }

  /// Answers the oldest request of the shards from First to Last.
  void respondToShards(int First, int Last) {
    for (int Shard = First; Shard <= Last; ++Shard)
      respondToOldest(shardName(Shard));
  }
  std::size_t openRequestsOf(int Shard) const {
    return m_Transport.openRequests(shardName(Shard)).size();
  }
};

struct PreferenceCase {
  const char *m_Name;
  std::set<LeafId> m_Unconnected;
  std::string m_Domain;
};
const PreferenceCase PreferenceCases[] = {
    {"connected to all", {}, "d1"},
    {"not connected to the local leaf", {LeafId{"w0-1"}}, "d1"},
    {"not connected to any",
     {LeafId{"w0-1"}, LeafId{"w0-2"}, LeafId{"w0-3"}},
     "d1"},
};

} // namespace

// Guards against a search on a VM with few requests that waits for a paused
// leaf until most of its objective has passed.
Test(wide_search, hedges_straggler_when_other_shards_have_answered) {
  WideFixture F;
  F.sendRequest("/s/");
  F.advanceTime(10ms);
  F.respondToShards(0, Shards - 2);
  cr_assert_eq(F.openRequestsOf(Shards - 1), 1U);
  F.advanceTime(10ms);
  cr_assert_eq(F.openRequestsOf(Shards - 1), 2U);
  const auto Open = F.m_Transport.openRequests(shardName(Shards - 1));
  F.m_Transport.complete(Open.back(), F.responseOf(Open.back()));
  cr_assert(F.m_Response.has_value());
  cr_assert_eq((*F.m_Response)["T-Missing"], "0");
}

// Guards against hedges that spend the budget of many shards which are late for
// a common reason, such as new connections.
Test(wide_search, does_not_hedge_shards_that_are_late_together) {
  WideFixture F;
  F.sendRequest("/s/");
  F.advanceTime(10ms);
  F.respondToShards(0, 9);
  F.advanceTime(30ms);
  for (int Shard = 10; Shard < Shards; ++Shard)
    cr_assert_eq(F.openRequestsOf(Shard), 1U);
  // The second leaf still needs half of the objective.
  F.advanceTime(10ms);
  for (int Shard = 10; Shard < Shards; ++Shard)
    cr_assert_eq(F.openRequestsOf(Shard), 2U);
}

// Guards against traffic between domains that only saves a connection.
TABLE_TEST(wide_search, prefers_local_leaf_without_connection,
           PreferenceCases) {
  WideFixture F;
  F.m_Transport.m_Unconnected = Row.m_Unconnected;
  for (int I = 0; I < 20; ++I) {
    F.sendRequest("/s/");
    const LeafRequestId Id = F.m_Transport.openRequests("w0").back();
    cr_assert_eq(F.m_Transport.m_Open.at(Id).m_Leaf.m_Domain.m_Value,
                 Row.m_Domain, "%s", Row.m_Name);
    F.respondToShards(0, Shards - 1);
  }
}

// Guards against a new connection for each request of a VM that has no leafs in
// its own domain and asks each one rarely.
Test(wide_search, prefers_connected_leaf_among_equal_ones) {
  WideFixture F;
  F.m_Dispatcher.setDomainsOut({FailureDomain{"d1"}});
  F.m_Transport.m_Unconnected = {LeafId{"w0-2"}};
  for (int I = 0; I < 20; ++I) {
    F.sendRequest("/s/");
    const LeafRequestId Id = F.m_Transport.openRequests("w0").back();
    cr_assert_eq(F.m_Transport.m_Open.at(Id).m_Leaf.m_Domain.m_Value, "d3");
    F.respondToShards(0, Shards - 1);
  }
}
