#include "dispatch_fixture.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

struct SignatureCase {
  std::size_t m_Bytes;
  /// Number of the four shards that send a signature of this size.
  int m_Leafs;
  unsigned m_Status;
  const char *m_Missing;
};
const SignatureCase SignatureCases[] = {{64, 4, 200, "0"},
                                        {8'000, 4, 200, "0"},
                                        {17'000, 1, 200, "1"},
                                        {17'000, 4, 502, ""},
                                        {65'000, 1, 200, "1"}};

} // namespace

// Guards against an exception, which ends the process, when the signatures of
// all shards do not fit into one header field.
TABLE_TEST(dispatcher, bounds_signatures_of_search, SignatureCases) {
  DispatchFixture F;
  F.sendRequest("/s/");
  for (int Round = 0; Round < 8 && !F.m_Response; ++Round) {
    for (int I = 0; I < 4; ++I)
      for (const LeafRequestId Id :
           F.m_Transport.openRequests(DispatchFixture::services()[I])) {
        HttpResponse Response = F.responseOf(Id, 200, "1\tx\n");
        if (I < Row.m_Leafs) {
          Response.set("T-Sign", std::string(Row.m_Bytes, 's'));
        }
        F.m_Transport.complete(Id, std::move(Response));
      }
    F.advanceTime(std::chrono::milliseconds(100));
  }
  cr_assert(F.m_Response.has_value());
  cr_assert_eq(F.m_Response->result_int(), Row.m_Status, "%zu bytes: %u",
               Row.m_Bytes, F.m_Response->result_int());
  if (Row.m_Status == 200)
    cr_assert_eq((*F.m_Response)["T-Missing"], Row.m_Missing);
}
