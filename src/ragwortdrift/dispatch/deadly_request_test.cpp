#include "dispatch_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;

namespace {

/// A VM whose leafs crash, each some milliseconds after it has received a
/// request, and then refuse connections.
struct CrashFixture : DispatchFixture {
  using DispatchFixture::DispatchFixture;

  /// Ends the oldest open request of a service with the crash of its leaf.
  void crashOldest(const std::string &Service) {
    const LeafRequestId Id = m_Transport.openRequests(Service).front();
    m_Crashed.insert(m_Transport.m_Open.at(Id).m_Leaf.m_Id);
    m_Transport.complete(Id, connectionLost());
    answerProbes();
  }
  void answerProbes() {
    for (const LeafRequestId Id : m_Transport.probes()) {
      const LeafId Leaf = m_Transport.m_Open.at(Id).m_Leaf.m_Id;
      if (m_Crashed.contains(Leaf)) {
        m_Transport.complete(Id, connectFailed());
        continue;
      }
      HttpResponse Healthy{boost::beast::http::status::ok, 11};
      Healthy.set("T-Leaf", Leaf.m_Value);
      m_Transport.complete(Id, Healthy);
    }
  }
  /// Number of leafs that were sent a request. A leaf that crashes does so even
  /// if its request is cancelled.
  std::size_t sends() const {
    std::size_t Count = 0;
    for (const auto &[Service, Sends] : m_Transport.m_SendCounts)
      Count += static_cast<std::size_t>(Sends);
    return Count - m_Transport.m_ProbesSent;
  }
  std::size_t openRequests() const {
    std::size_t Count = 0;
    for (const std::string &Service : services())
      Count += m_Transport.openRequests(Service).size();
    return Count;
  }
  /// Crashes each leaf that runs the last request until it has a response.
  /// Returns the number of leafs that crashed.
  std::size_t crashAllLeafs() {
    const std::size_t Before = m_Crashed.size();
    for (int Step = 0; Step < 200 && !m_Response; ++Step) {
      advanceTime(5ms);
      for (const std::string &Service : services())
        if (!m_Response && !m_Transport.openRequests(Service).empty())
          crashOldest(Service);
    }
    cr_assert(m_Response.has_value());
    return m_Crashed.size() - Before;
  }
  /// Answers all requests until the last one has a response.
  void answerAll() {
    for (int Step = 0; Step < 100 && !m_Response; ++Step) {
      advanceTime(5ms);
      answerProbes();
      for (const std::string &Service : services())
        while (!m_Transport.openRequests(Service).empty())
          respondToOldest(Service);
    }
    cr_assert(m_Response.has_value());
  }
  /// The crashed leafs are back.
  void restartLeafs() {
    m_Crashed.clear();
    advanceTime(1s);
    answerProbes();
    advanceTime(1s);
  }

  std::set<LeafId> m_Crashed;
};

struct LostCase {
  const char *m_Name;
  std::vector<std::string> m_Lost;
  /// Requests left open by the losses; the first answer sends the rest.
  std::size_t m_OpenAfterLosses;
};
const LostCase LostCases[] = {
    {"one leaf", {"s1"}, 3},
    {"two leafs", {"s1", "s2"}, 2},
    {"three leafs", {"s3", "s1", "s2"}, 1},
    {"all leafs", {"s3", "s1", "s2", "s4"}, 1},
};

const char *const DeadlyPathCases[] = {"/s/", "/r/", "/b/"};

} // namespace

// Guards against a search that crashes two leafs of each shard within
// milliseconds.
Test(deadly_request, ends_search_that_crashes_its_leafs) {
  CrashFixture F;
  F.sendRequest("/s/");
  F.crashAllLeafs();
  cr_assert_eq(F.sends(), 5U);
  cr_assert_eq(F.m_Response->result_int(), 502U);
  F.advanceTime(1s);
  cr_assert_eq(F.openRequests(), 0U);
}

// Guards against hedges that crash a second leaf of each shard: the leafs of a
// search may crash later than its hedges are due.
Test(deadly_request, hedges_one_shard_before_any_answer) {
  CrashFixture F;
  F.sendRequest("/s/");
  F.advanceTime(60ms);
  cr_assert_eq(F.sends(), 5U);
  // The first answer shows that the others are late for another reason.
  F.respondToOldest("s4");
  F.advanceTime(1ms);
  cr_assert_geq(F.sends(), 7U);
  F.answerAll();
  cr_assert_eq((*F.m_Response)["T-Missing"], "0");
}

// Guards against searches that lose parts because some of their leafs crash for
// another reason before any shard has answered.
TABLE_TEST(deadly_request, resumes_search_after_first_answer, LostCases) {
  CrashFixture F;
  F.sendRequest("/s/");
  F.advanceTime(5ms);
  for (const std::string &Service : Row.m_Lost)
    if (!F.m_Transport.openRequests(Service).empty())
      F.crashOldest(Service);
  cr_assert_eq(F.openRequests(), Row.m_OpenAfterLosses, "%s: %zu", Row.m_Name,
               F.openRequests());
  F.answerAll();
  cr_assert_eq(F.m_Response->result_int(), 200U, "%s", Row.m_Name);
  cr_assert_eq((*F.m_Response)["T-Missing"], "0");
}

// Guards against a delay of repeats for a leaf that loses an answer while other
// shards have shown that the request is harmless.
Test(deadly_request, repeats_at_once_after_an_answer) {
  CrashFixture F;
  F.sendRequest("/s/");
  F.advanceTime(5ms);
  F.respondToOldest("s4");
  F.crashOldest("s1");
  cr_assert_eq(F.m_Transport.openRequests("s1").size(), 1U);
  F.answerAll();
  cr_assert_eq((*F.m_Response)["T-Missing"], "0");
}

// Guards against a request that crashes leafs with each of its attempts, since
// the VM knows nothing of the attempts before.
TABLE_TEST(deadly_request, is_refused_after_few_crashes, DeadlyPathCases) {
  CrashFixture F;
  for (int Attempt = 0; Attempt < 10; ++Attempt) {
    F.sendRequest(Row);
    F.crashAllLeafs();
    F.restartLeafs();
  }
  // A search reaches a leaf of each of its four shards before anything is
  // known, one more to see whether they failed by chance, and one as a suspect.
  const std::size_t MaxSends = std::string(Row) == "/s/" ? 6 : 4;
  cr_assert_leq(F.sends(), MaxSends, "%s: %zu", Row, F.sends());
  cr_assert_eq(F.m_Response->result_int(), 503U);
  cr_assert(!(*F.m_Response)["Retry-After"].empty());
}

// Guards against refusals of innocent requests: those that run while many leafs
// crash are served by their next attempt.
TABLE_TEST(deadly_request, serves_innocent_request_after_mass_crash,
           DeadlyPathCases) {
  CrashFixture F;
  F.sendRequest(Row);
  F.crashAllLeafs();
  F.restartLeafs();
  F.sendRequest(Row);
  F.answerAll();
  cr_assert_eq(F.m_Response->result_int(), 200U);
  cr_assert_neq((*F.m_Response)["T-Missing"], "1");
  // From now on all of its shards are asked at once.
  F.sendRequest(Row);
  cr_assert_eq(F.openRequests(), std::string(Row) == "/s/" ? 4U : 1U);
}

// Guards against suspicion of requests whose answers are lost while their leafs
// go on.
Test(deadly_request, does_not_suspect_lost_answers) {
  CrashFixture F;
  for (int Attempt = 0; Attempt < 5; ++Attempt) {
    F.sendRequest("/s/");
    while (!F.m_Response) {
      F.advanceTime(5ms);
      for (const std::string &Service : F.services())
        if (!F.m_Response && !F.m_Transport.openRequests(Service).empty())
          F.m_Transport.complete(F.m_Transport.openRequests(Service).front(),
                                 F.connectionLost());
      F.answerProbes();
    }
    F.advanceTime(1s);
  }
  F.sendRequest("/s/");
  cr_assert_eq(F.openRequests(), 4U);
}

// Guards against VMs that each learn for themselves: two VMs that exchange
// records, and one that has just started, refuse what one of them has learned.
Test(deadly_request, is_refused_by_vms_that_exchange_records) {
  CrashFixture A(1), B(2);
  std::size_t Crashed = 0;
  std::vector<CrashRecord> Records;
  for (int Attempt = 0; Attempt < 10; ++Attempt) {
    CrashFixture &Vm = Attempt % 2 == 0 ? A : B;
    CrashFixture &Other = Attempt % 2 == 0 ? B : A;
    Vm.sendRequest("/r/");
    Crashed += Vm.crashAllLeafs();
    Vm.restartLeafs();
    const auto News = Vm.m_Dispatcher.takeCrashRecords();
    Records.insert(Records.end(), News.begin(), News.end());
    Other.m_Dispatcher.addCrashRecords(News);
  }
  cr_assert_leq(Crashed, 4U);
  CrashFixture Restarted(3);
  Restarted.m_Dispatcher.addCrashRecords(Records);
  Restarted.sendRequest("/r/");
  cr_assert_eq(Restarted.openRequests(), 0U);
  cr_assert_eq(Restarted.m_Response->result_int(), 503U);
}

// Guards against suspicion of requests that were on the leafs of a deadly one:
// once answered they are sent to all shards again, on every VM.
Test(deadly_request, clears_innocent_request_on_all_vms) {
  CrashFixture A(1), B(2);
  A.sendRequest("/s/");
  A.crashAllLeafs();
  A.restartLeafs();
  B.m_Dispatcher.addCrashRecords(A.m_Dispatcher.takeCrashRecords());
  B.sendRequest("/s/");
  cr_assert_eq(B.openRequests(), 1U);
  // A second attempt is not sent beside the one that decides.
  B.sendRequest("/s/");
  cr_assert_eq(B.openRequests(), 1U);
  cr_assert_eq(B.m_Response->result_int(), 503U);
  B.m_Response.reset();
  B.advanceTime(5ms);
  for (const std::string &Service : B.services())
    if (!B.m_Transport.openRequests(Service).empty()) {
      B.respondToOldest(Service);
      break;
    }
  cr_assert_eq(B.openRequests(), 3U);
  A.m_Dispatcher.addCrashRecords(B.m_Dispatcher.takeCrashRecords());
  A.sendRequest("/s/");
  cr_assert_eq(A.openRequests(), 4U);
}

// Guards against memory for requests that lose nothing.
Test(deadly_request, stores_nothing_for_served_requests) {
  CrashFixture F;
  F.serveRequests("/s/");
  F.sendRequest("/s/");
  F.crashOldest("s1");
  F.respondToOldest("s2");
  F.answerAll();
  F.answerProbes();
  const auto Records = F.m_Dispatcher.takeCrashRecords();
  cr_assert(std::all_of(Records.begin(), Records.end(),
                        [](const auto &Item) { return Item.m_Answered; }));
}
