#include "dispatch_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

/// A body that takes up the limit for one service, and for a quarter of the
/// four shards of a search.
constexpr std::size_t BodyBytes = 1000;

DispatchOptions limitedOptions() {
  DispatchOptions Options = DispatchFixture::defaultOptions();
  Options.m_MaxInFlightBytes = BodyBytes;
  return Options;
}

struct BytesCase {
  const char *m_Name;
  const char *m_Path;
  std::size_t m_FirstBytes;
  std::size_t m_SecondBytes;
  bool m_IsServed;
};
const BytesCase BytesCases[] = {
    {"no bodies", "/s/", 0, 0, true},
    {"bodies within the limit", "/r/", BodyBytes / 2, BodyBytes / 2, true},
    {"bodies above the limit", "/r/", BodyBytes / 2, BodyBytes / 2 + 1, false},
    {"copies for the shards above the limit", "/s/", BodyBytes / 8,
     BodyBytes / 8 + 1, false},
    {"large body beside one without a body", "/r/", 0, 2 * BodyBytes, false},
};

HttpRequest requestWithBody(const std::string &Path, std::size_t Bytes) {
  HttpRequest Request{boost::beast::http::verb::post, Path, 11};
  Request.set("Host", "h");
  Request.set("T-Id", "r1");
  Request.set("T-Left", "600");
  Request.body() = std::string(Bytes, 'x');
  return Request;
}

} // namespace

// Guards against a few searches with large bodies whose copies exhaust the
// memory of the VM.
TABLE_TEST(request_bytes, bounds_bodies_in_flight, BytesCases) {
  DispatchFixture F(1, limitedOptions());
  std::optional<HttpResponse> First, Second;
  F.m_Dispatcher.dispatch(
      requestWithBody(Row.m_Path, Row.m_FirstBytes),
      [&](HttpResponse Response) { First = std::move(Response); });
  F.m_Dispatcher.dispatch(
      requestWithBody(Row.m_Path, Row.m_SecondBytes),
      [&](HttpResponse Response) { Second = std::move(Response); });
  cr_assert_eq(Second.has_value(), !Row.m_IsServed, "%s", Row.m_Name);
  if (Second) {
    cr_assert_eq(Second->result_int(), 503U);
    cr_assert_not((*Second)[boost::beast::http::field::retry_after].empty());
  }
}

// Guards against a single request within the caller limits that is never
// served, and against bytes that stay counted after a request.
Test(request_bytes, serves_large_request_alone) {
  DispatchFixture F(1, limitedOptions());
  for (int I = 0; I < 3; ++I) {
    std::optional<HttpResponse> Response;
    F.m_Dispatcher.dispatch(
        requestWithBody("/s/", 10 * BodyBytes),
        [&](HttpResponse Received) { Response = std::move(Received); });
    for (const char *Shard : {"s1", "s2", "s3", "s4"})
      F.respondToOldest(Shard);
    cr_assert(Response.has_value());
    cr_assert_eq(Response->result_int(), 200U);
  }
}
