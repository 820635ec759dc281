#include "dispatch_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

struct LargeFieldCase {
  const char *m_Name;
  const char *m_Field;
  /// Status without a leaf; 0 if the request is sent.
  unsigned m_Status;
  bool m_IsForwarded;
};
const LargeFieldCase LargeFieldCases[] = {
    {"end to end", "Cookie", 0, true},
    {"named by Connection", "X-Hop", 0, false},
    {"request id", "T-Id", 431, false},
    {"time left, other case", "t-LEFT", 431, false},
    {"expected leaf", "T-Expect", 431, false},
    {"account key", "T-Key", 431, false},
    {"account name", "T-Account", 431, false},
};

} // namespace

// Guards against a large field that gets past the fields that the VM reads or
// sets, or that does not reach the leaf.
TABLE_TEST(large_field, is_forwarded_or_refused, LargeFieldCases) {
  DispatchFixture F(1, DispatchFixture::defaultOptions());
  HttpRequest Request{boost::beast::http::verb::get, "/r/x", 11};
  Request.set("Host", "h");
  Request.set("T-Id", "r1");
  Request.set("T-Left", "600");
  Request.set("Connection", "X-Hop");
  Request.m_LargeFields.push_back({Row.m_Field, std::string(70'000, 'c')});
  std::optional<HttpResponse> Response;
  F.m_Dispatcher.dispatch(
      Request, [&](HttpResponse Received) { Response = std::move(Received); });
  cr_assert_eq(Response ? Response->result_int() : 0, Row.m_Status, "%s",
               Row.m_Name);
  cr_assert_eq(F.m_Transport.m_Open.size(), Row.m_Status == 0 ? 1U : 0U);
  for (const auto &[Id, Pending] : F.m_Transport.m_Open)
    cr_assert_eq(Pending.m_Request.m_LargeFields.size(),
                 Row.m_IsForwarded ? 1U : 0U, "%s", Row.m_Name);
}

// Guards against large headers of searches that exhaust the memory of the VM
// with the copies for the shards.
Test(large_field, counts_as_bytes_in_flight) {
  DispatchOptions Options = DispatchFixture::defaultOptions();
  Options.m_MaxInFlightBytes = 100'000;
  DispatchFixture F(1, Options);
  std::vector<unsigned> Statuses;
  for (int I = 0; I < 2; ++I) {
    HttpRequest Request{boost::beast::http::verb::get, "/s/x", 11};
    Request.set("Host", "h");
    Request.set("T-Id", "r" + std::to_string(I));
    Request.set("T-Left", "600");
    Request.set("Cookie", std::string(60'000, 'c'));
    F.m_Dispatcher.dispatch(Request, [&](const HttpResponse &Received) {
      Statuses.push_back(Received.result_int());
    });
  }
  cr_assert_eq(Statuses.size(), 1U);
  cr_assert_eq(Statuses.front(), 503U);
}
