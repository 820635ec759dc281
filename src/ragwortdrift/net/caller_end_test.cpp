#include "http_fixture.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::testing;
namespace asio = boost::asio;

// Guards against a connection that is kept for good because its caller has
// ended it while the response was being written.
Test(caller_end, closes_connection_ended_during_response) {
  // More than the socket buffers take.
  constexpr std::size_t BodyBytes = 16'000'000;
  ServerFixture Fixture([](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->respond(jsonResponse(200, std::string(BodyBytes, 'x')));
  });
  auto Caller = Fixture.connect();
  asio::write(Caller, asio::buffer(requestText("x")));
  std::string Text;
  cr_assert(Fixture.runUntil([&] {
    readAvailable(Caller, Text);
    return !Text.empty();
  }));
  Caller.shutdown(asio::ip::tcp::socket::shutdown_send);
  cr_assert(Fixture.runUntil([&] {
    for (int Reads = 0; Reads < 100; ++Reads)
      readAvailable(Caller, Text);
    return Text.size() > BodyBytes;
  }));
  cr_assert(
      Fixture.runUntil([&] { return Fixture.m_Server.connections() == 0; }));
}
