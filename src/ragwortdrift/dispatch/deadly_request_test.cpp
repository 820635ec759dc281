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
    {"two leafs", {"s1", "s2"}, 1},
    {"three leafs", {"s3", "s1", "s2"}, 0},
};

} // namespace

// Guards against a search that crashes two leafs of each shard within
// milliseconds.
Test(deadly_request, ends_search_that_crashes_its_leafs) {
  CrashFixture F;
  F.sendRequest("/s/");
  cr_assert_leq(F.crashAllLeafs(), 3U);
  cr_assert_eq(F.m_Response->result_int(), 502U);
  F.advanceTime(1s);
  cr_assert_eq(F.openRequests(), 0U);
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
  if (Row.m_OpenAfterLosses == 0) {
    cr_assert_eq(F.m_Response->result_int(), 502U);
    return;
  }
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
