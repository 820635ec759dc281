#include "http_fixture.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <thread>

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

struct RefusedCase {
  const char *m_Name;
  std::string m_Start;
  std::size_t m_Bytes;
  const char *m_Status;
};
const RefusedCase RefusedCases[] = {
    {"body above the limit",
     "POST /x HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n", 8'000'000, "413"},
    {"header above the limit", "POST /x HTTP/1.1\r\nA: ", 4'000'000, "431"},
    {"no HTTP", "hello\r\n\r\n", 1'000'000, "400"},
};

} // namespace

// Guards against a caller that does not get the refusal of a large message,
// since the connection is reset while it still sends.
TABLE_TEST(refused_message, is_answered_while_caller_sends, RefusedCases) {
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &) {});
  std::string Response;
  bool IsDone = false;
  std::thread Caller([&] {
    asio::io_context Io;
    asio::ip::tcp::socket Socket(Io);
    Socket.connect({asio::ip::address_v4::loopback(), Fixture.m_Port});
    boost::system::error_code Error;
    asio::write(Socket,
                asio::buffer(Row.m_Start + std::string(Row.m_Bytes, 'x')),
                Error);
    char Buffer[1024];
    while (!Error)
      Response.append(Buffer, Socket.read_some(asio::buffer(Buffer), Error));
    IsDone = true;
  });
  cr_assert(Fixture.runUntil([&] { return IsDone; }), "%s", Row.m_Name);
  Caller.join();
  cr_assert(Response.starts_with(std::string("HTTP/1.1 ") + Row.m_Status),
            "%s: %s", Row.m_Name, Response.c_str());
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 0; }),
      "%s", Row.m_Name);
}
