#include "response_fixture.hpp"

#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;

namespace {

std::string responseWith(const char *Status) {
  return std::string("HTTP/1.1 ") + Status +
         " Odd\r\nContent-Length: 2\r\n\r\nok";
}

struct StatusCase {
  const char *m_Name;
  std::string m_Bytes;
  /// 0 if there is no response.
  unsigned m_Status;
};
const StatusCase StatusCases[] = {
    {"000", responseWith("000"), 0},
    {"001", responseWith("001"), 0},
    {"042", responseWith("042"), 0},
    {"099", responseWith("099"), 0},
    {"101", responseWith("101"), 0},
    {"600", responseWith("600"), 0},
    {"999", responseWith("999"), 0},
    {"two digits", responseWith("20"), 0},
    {"four digits", responseWith("2000"), 0},
    {"sign", responseWith("-20"), 0},
    {"letters", responseWith("2oo"), 0},
    {"000 in chunks",
     "HTTP/1.1 000 Odd\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\n\r\n",
     0},
    {"000 that ends with the connection", "HTTP/1.1 000 Odd\r\n\r\nok", 0},
    {"000 after an interim response",
     "HTTP/1.1 100 Continue\r\n\r\n" + responseWith("000"), 0},
    {"200", responseWith("200"), 200},
    {"200 after an interim response",
     "HTTP/1.1 102 Processing\r\n\r\n" + responseWith("200"), 200},
    {"418", responseWith("418"), 418},
    {"599", responseWith("599"), 599},
};

} // namespace

// Guards against a response with a status that HTTP does not define, or that
// answers a request for an upgrade, which a leaf in trouble has sent.
TABLE_TEST(odd_status, is_no_response, StatusCases) {
  const auto [Outcome, IsUsable] = receiveResponse(Row.m_Bytes);
  cr_assert(Outcome.has_value(), "%s", Row.m_Name);
  cr_assert_eq(isOk(*Outcome), Row.m_Status != 0, "%s", Row.m_Name);
  cr_assert_eq(IsUsable, Row.m_Status != 0, "%s", Row.m_Name);
  if (Row.m_Status != 0) {
    cr_assert_eq(valueOf(*Outcome).result_int(), Row.m_Status);
    return;
  }
  cr_assert_eq(errorOf(*Outcome).m_Code, HttpErrorCode::BadResponse);
  cr_assert(errorOf(*Outcome).m_MaybeSent);
}
