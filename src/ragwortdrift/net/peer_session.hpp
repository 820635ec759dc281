#ifndef RAGWORTDRIFT_NET_PEER_SESSION_HPP
#define RAGWORTDRIFT_NET_PEER_SESSION_HPP

#include "peer_output.hpp"
#include "ragwortdrift/net/peer_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace ragwortdrift::detail {

struct SessionDeleter {
  void operator()(nghttp2_session *Session) const {
    nghttp2_session_del(Session);
  }
};

/// An HTTP/2 connection: socket, nghttp2 session and receive time-out. The
/// virtual callbacks run inside nghttp2, where no user code may run; they pass
/// it to defer().
class PeerSession : public std::enable_shared_from_this<PeerSession> {
public:
  virtual ~PeerSession() = default;
  /// Closes the connection; onClosed() runs before this returns. Must not be
  /// called inside nghttp2.
  void close(PeerErrorCode Reason);
  bool isClosed() const { return m_Closed; }

protected:
  enum class Role { Server, Client };

  PeerSession(boost::asio::ip::tcp::socket Socket, TimerService &Timers,
              Role LocalRole, PeerLimits Limits);
  void startIo();
  /// Schedules a write of the pending output of the nghttp2 session.
  void scheduleWrite();
  void resetStream(std::int32_t Stream, std::uint32_t Code);
  /// Queues Event to run after nghttp2 has returned.
  void defer(std::function<void()> Event) {
    m_Events.push_back(std::move(Event));
  }
  void clearEvents() { m_Events.clear(); }

  virtual void onHeadersBegin(std::int32_t) {}
  virtual void onHeader(std::int32_t Stream, std::string_view Name,
                        std::string_view Value) = 0;
  virtual void onData(std::int32_t Stream, std::string_view Bytes) = 0;
  virtual void onEndStream(std::int32_t Stream) = 0;
  virtual void onStreamClosed(std::int32_t Stream, std::uint32_t Code) = 0;
  virtual void onHeadersSent(std::int32_t) {}
  virtual void onNonce(std::string_view) {}
  virtual void onGoaway() {}
  virtual void onTick() {}
  virtual void onClosed(PeerErrorCode Reason) = 0;
  /// Returns how many of the next Length bytes of the stream's body can be sent
  /// now; takeBody() follows. Sets Eof if these include the last byte. Returns
  /// a negative error code as specified for nghttp2_data_source_read_callback.
  virtual ssize_t availableBody(std::int32_t Stream, std::size_t Length,
                                bool &Eof) = 0;
  /// Moves the next Length bytes of the stream's body to Target.
  virtual void takeBody(std::int32_t Stream, OutputBuffer &Target,
                        std::size_t Length) = 0;
  /// All bytes that were taken have been written to the socket.
  virtual void onWritten() {}
  nghttp2_data_provider bodyProvider();

  boost::asio::ip::tcp::socket m_Socket;
  TimerService &m_Timers;
  const PeerLimits m_Limits;
  std::unique_ptr<nghttp2_session, SessionDeleter> m_Session;
  std::size_t m_UnsentBytes = 0;

private:
  friend struct SessionCallbacks;
  void read();
  void readAvailable();
  void writePending();
  void runEvents();
  void tick();

  bool m_Closed = false;
  bool m_Writing = false;
  bool m_WriteScheduled = false;
  bool m_RunningEvents = false;
  TimePoint m_LastReceived;
  TimerService::Subscription m_Tick;
  std::deque<std::function<void()>> m_Events;
  /// The bytes of the running write.
  OutputBuffer m_Output;
  std::string m_ReceivedNonce;
};

nghttp2_nv makeHeader(std::string_view Name, std::string_view Value);

} // namespace ragwortdrift::detail

#endif
