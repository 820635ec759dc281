#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/base/heap_usage.hpp"
#include "ragwortdrift/dispatch/leaf_pool.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

using namespace ragwortdrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// A leaf that answers each request with a start and then with a block that it
/// sends again and again, at intervals, until the connection ends or all of
/// TotalBytes are sent.
class StreamingLeaf {
public:
  StreamingLeaf(asio::io_context &Io, std::string Start, std::string Block,
                std::size_t TotalBytes, std::chrono::milliseconds Interval)
      : m_Io(Io), m_Acceptor(Io, {asio::ip::address_v4::loopback(), 0}),
        m_Start(std::move(Start)), m_Block(std::move(Block)),
        m_TotalBytes(TotalBytes), m_Interval(Interval) {
    accept();
  }
  ListedLeaf listed(const char *Id, const char *Service) const {
    ListedLeaf Leaf;
    Leaf.m_Id = LeafId{Id};
    Leaf.m_Service = ServiceName{Service};
    Leaf.m_Address = {"127.0.0.1", m_Acceptor.local_endpoint().port()};
    return Leaf;
  }

private:
  struct Connection {
    explicit Connection(tcp::socket Socket)
        : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()) {}
    tcp::socket m_Socket;
    asio::steady_timer m_Timer;
    std::string m_Request;
    std::size_t m_Sent = 0;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept() {
    m_Acceptor.async_accept(
        m_Io, [this](boost::system::error_code Error, tcp::socket Socket) {
          if (Error)
            return;
          serve(std::make_shared<Connection>(std::move(Socket)));
          accept();
        });
  }
  void serve(const ConnectionPtr &Conn) {
    asio::async_read_until(
        Conn->m_Socket, asio::dynamic_buffer(Conn->m_Request), "\r\n\r\n",
        [=, this](boost::system::error_code Error, std::size_t) {
          if (Error)
            return;
          Conn->m_Request.clear();
          Conn->m_Sent = 0;
          asio::async_write(
              Conn->m_Socket, asio::buffer(m_Start),
              [=, this](boost::system::error_code WriteError, std::size_t) {
                if (!WriteError)
                  sendBlock(Conn);
              });
        });
  }
  void sendBlock(const ConnectionPtr &Conn) {
    if (Conn->m_Sent >= m_TotalBytes)
      return serve(Conn);
    asio::async_write(
        Conn->m_Socket, asio::buffer(m_Block),
        [=, this](boost::system::error_code Error, std::size_t Size) {
          if (Error)
            return;
          Conn->m_Sent += Size;
          Conn->m_Timer.expires_after(m_Interval);
          Conn->m_Timer.async_wait(
              [=, this](boost::system::error_code) { sendBlock(Conn); });
        });
  }

  asio::io_context &m_Io;
  tcp::acceptor m_Acceptor;
  std::string m_Start;
  std::string m_Block;
  std::size_t m_TotalBytes;
  std::chrono::milliseconds m_Interval;
};

struct EndlessCase {
  const char *m_Name;
  std::string m_Start;
  std::string m_Block;
};
const std::string OkLine = "HTTP/1.1 200 OK\r\n";
const EndlessCase EndlessCases[] = {
    {"body until close", OkLine + "\r\n", std::string(16'384, 'x')},
    {"body in chunks", OkLine + "Transfer-Encoding: chunked\r\n\r\n",
     "3fe0\r\n" + std::string(0x3fe0, 'x') + "\r\n"},
    {"body of the largest length", OkLine + "Content-Length: 1048576\r\n\r\n",
     std::string(16'384, 'x')},
    {"chunks of one byte", OkLine + "Transfer-Encoding: chunked\r\n\r\n",
     [] {
       std::string Chunks;
       for (int I = 0; I < 2700; ++I)
         Chunks += "1\r\nx\r\n";
       return Chunks;
     }()},
};

/// Requests that are out at once.
constexpr std::size_t EndlessRequests = 300;
/// A sound response that takes several reads, and its pieces.
constexpr std::size_t SoundBytes = 40'960;
constexpr std::size_t SoundPieces = 4;

HttpRequest makeRequest(const std::string &Id) {
  HttpRequest Request{boost::beast::http::verb::get, "/x", 11};
  Request.set("Host", "h");
  Request.set("T-Id", Id);
  return Request;
}

} // namespace

// Guards against leafs that send without end: each response is bounded, but all
// together took the memory of the VM, and the responses of sound leafs with it.
TABLE_TEST(endless_responses, leave_memory_for_sound_ones, EndlessCases) {
  asio::io_context Io;
  TimerService Timers;
  AsioTimerDriver Driver(Io, Timers);
  LeafPool Pool(Io, Timers, "T-Id");
  Driver.start();
  // Unlimited, so that only the pool ends the response.
  StreamingLeaf Faulty(Io, Row.m_Start, Row.m_Block, std::size_t{1} << 40, 1ms);
  StreamingLeaf Sound(
      Io,
      OkLine + "T-Id: r\r\nContent-Length: " + std::to_string(SoundBytes) +
          "\r\n\r\n",
      std::string(SoundBytes / SoundPieces, 's'), SoundBytes, 10ms);
  Pool.setConnectionLimit(ServiceName{"faulty"}, EndlessRequests);
  Pool.setConnectionLimit(ServiceName{"sound"}, 10);
  std::size_t Answered = 0, Failed = 0, Ended = 0, Peak = 0;
  const auto SendSound = [&] {
    Pool.send(Sound.listed("i-sound", "sound"), makeRequest("r"), 3s,
              [&](const Result<HttpResponse, HttpError> &Outcome) {
                ++(isOk(Outcome) ? Answered : Failed);
              });
  };
  const auto RunFor = [&](std::chrono::milliseconds Time) {
    const auto End = std::chrono::steady_clock::now() + Time;
    while (std::chrono::steady_clock::now() < End) {
      Io.run_one_for(5ms);
      Peak = std::max(Peak, heapUsage().m_Used);
    }
  };
  SendSound();
  RunFor(500ms);
  cr_assert_eq(Answered, 1U);
  const std::size_t Base = heapUsage().m_Used;
  for (std::size_t I = 0; I < EndlessRequests; ++I)
    Pool.send(Faulty.listed("i-faulty", "faulty"), makeRequest("f"), 20s,
              [&](const Result<HttpResponse, HttpError> &Outcome) {
                cr_assert_not(isOk(Outcome));
                ++Ended;
              });
  for (int I = 0; I < 20; ++I) {
    SendSound();
    RunFor(100ms);
  }
  RunFor(500ms);
  cr_assert_eq(Failed, 0U, "%s", Row.m_Name);
  cr_assert_eq(Answered, 21U, "%s: %zu", Row.m_Name, Answered);
  cr_assert_gt(Ended, 0U, "%s", Row.m_Name);
  // Incomplete responses may take a tenth of the smallest machine (160 MB);
  // the rest is for the connections and both ends' buffers.
  constexpr std::size_t MaxBytes = std::size_t{16} * 1024 * 1024;
  const std::size_t Buffers = EndlessRequests * 40'000;
  cr_assert_leq(Peak - Base, MaxBytes + Buffers, "%s: %zu", Row.m_Name,
                Peak - Base);
}
