#include "dispatch_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

struct UnmarkedCase {
  const char *m_Name;
  const char *m_Path;
  unsigned m_LeafStatus;
  unsigned m_Status;
};
const UnmarkedCase UnmarkedCases[] = {
    {"503 to a booking", "/b/", 503, 502},
    {"429 to a booking", "/b/", 429, 502},
    {"408 to a booking", "/b/", 408, 502},
    {"500 to a booking", "/b/", 500, 500},
    {"504 to a booking", "/b/", 504, 504},
    {"409 to a booking", "/b/", 409, 409},
};

} // namespace

// Guards against a failure of a leaf that tells the caller of a request that is
// not idempotent that it has not been executed, although no leaf has said so.
TABLE_TEST(unmarked_refusal, is_no_promise_to_caller, UnmarkedCases) {
  DispatchFixture F;
  F.sendRequest(Row.m_Path, 2000);
  const LeafRequestId Id = F.m_Transport.openRequests("one").front();
  F.m_Transport.complete(Id, F.responseOf(Id, Row.m_LeafStatus));
  cr_assert(F.m_Response.has_value(), "%s", Row.m_Name);
  cr_assert_eq(F.m_Response->result_int(), Row.m_Status, "%s: %u", Row.m_Name,
               F.m_Response->result_int());
  // The signature belongs to the status of the leaf.
  cr_assert_eq((*F.m_Response)["T-Sign"].empty(),
               Row.m_Status != Row.m_LeafStatus, "%s", Row.m_Name);
}

// Guards against a failure of a leaf that is changed on the way to the caller
// of a request that may be repeated.
Test(unmarked_refusal, is_passed_on_if_repeatable) {
  DispatchFixture F;
  F.sendRequest("/r/", 2000);
  for (int I = 0; I < 2 && !F.m_Response; ++I) {
    const auto Open = F.m_Transport.openRequests("one");
    if (!Open.empty())
      F.m_Transport.complete(Open.front(), F.responseOf(Open.front(), 503));
    F.advanceTime(std::chrono::milliseconds(20));
  }
  F.advanceTime(std::chrono::seconds(2));
  cr_assert(F.m_Response.has_value());
  cr_assert_eq(F.m_Response->result_int(), 503U);
  cr_assert_not((*F.m_Response)["T-Sign"].empty());
}
