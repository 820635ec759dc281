#ifndef RAGWORTDRIFT_NET_PEER_SESSION_HPP
#define RAGWORTDRIFT_NET_PEER_SESSION_HPP

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
  /// Copies up to Length bytes of the stream's body to Buffer and returns their
  /// number. Sets Eof after the last byte. Returns a negative error code as
  /// specified for nghttp2_data_source_read_callback.
  virtual ssize_t onRead(std::int32_t Stream, std::uint8_t *Buffer,
                         std::size_t Length, bool &Eof) = 0;
  nghttp2_data_provider bodyProvider();

  boost::asio::ip::tcp::socket m_Socket;
  TimerService &m_Timers;
  const PeerLimits m_Limits;
  std::unique_ptr<nghttp2_session, SessionDeleter> m_Session;
  std::size_t m_UnsentBytes = 0;

private:
  friend struct SessionCallbacks;
  void read();
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
  std::array<std::uint8_t, 65536> m_ReadBuffer;
  std::string m_WriteBuffer;
  std::string m_ReceivedNonce;
};

/// Copies up to Length bytes of Source, starting at Offset, to Buffer and
/// returns their number. Advances Offset; clears Source after its last byte.
std::size_t consumeBytes(std::string &Source, std::size_t &Offset,
                         std::uint8_t *Buffer, std::size_t Length);

nghttp2_nv makeHeader(std::string_view Name, std::string_view Value);

} // namespace ragwortdrift::detail

#endif
