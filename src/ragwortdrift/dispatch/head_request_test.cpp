#include "dispatch_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
namespace http = boost::beast::http;

namespace {

struct HeadCase {
  const char *m_Name;
  const char *m_Path;
  /// What the leafs state, null if nothing.
  const char *m_LeafLength;
  /// What the caller receives, null if nothing.
  const char *m_Length;
};
const HeadCase HeadCases[] = {
    {"length of the leaf", "/r/x", "900", "900"},
    {"no length", "/r/x", nullptr, nullptr},
    {"not idempotent", "/b/x", "900", "900"},
    {"search, whose merged length is unknown", "/s/x", "900", nullptr},
};

} // namespace

// Guards against the response to a HEAD request that states the length of its
// absent body, or of records that were not received (review/15).
TABLE_TEST(head_request, has_length_of_representation, HeadCases) {
  DispatchFixture F;
  HttpRequest Request{http::verb::head, Row.m_Path, 11};
  Request.set("Host", "h");
  Request.set("T-Id", "r1");
  Request.set("T-Left", "600");
  std::optional<HttpResponse> Response;
  F.m_Dispatcher.dispatch(
      Request, [&](HttpResponse Received) { Response = std::move(Received); });
  for (const std::string &Service : DispatchFixture::services())
    for (const LeafRequestId Id : F.m_Transport.openRequests(Service)) {
      cr_assert(F.m_Transport.m_Open.at(Id).m_Request.method() ==
                http::verb::head);
      HttpResponse FromLeaf = F.responseOf(Id);
      if (Row.m_LeafLength)
        FromLeaf.set(http::field::content_length, Row.m_LeafLength);
      F.m_Transport.complete(Id, std::move(FromLeaf));
    }
  cr_assert(Response && Response->result_int() == 200, "%s", Row.m_Name);
  cr_assert(Response->body().empty(), "%s", Row.m_Name);
  const auto Length = Response->find(http::field::content_length);
  cr_assert_eq(Length != Response->end(), Row.m_Length != nullptr, "%s",
               Row.m_Name);
  if (Row.m_Length)
    cr_assert(Length->value() == Row.m_Length, "%s", Row.m_Name);
}
