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

/// One HTTP/2 connection: socket, nghttp2 session, silence rule. The hooks run
/// inside nghttp2, where no user code may run; they use defer().
class PeerSession : public std::enable_shared_from_this<PeerSession> {
public:
  virtual ~PeerSession() = default;
  /// Ends the connection; onClosed runs before this returns. Not to be called
  /// from a hook.
  void close(PeerErrorCode Reason);
  bool isClosed() const { return m_Closed; }

protected:
  enum class Role { Server, Client };

  PeerSession(boost::asio::ip::tcp::socket Socket, TimerService &Timers,
              Role Side, PeerLimits Limits);
  void startIo();
  /// Hands what the session has to send to the socket soon.
  void schedulePump();
  void resetStream(std::int32_t Stream, std::uint32_t Code);
  /// Runs Event when the session has returned from nghttp2.
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
  /// Bytes of the stream's body to send next. Sets Eof after the last one.
  /// Negative nghttp2 codes as nghttp2_data_source_read_callback.
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
  void pump();
  void runEvents();
  void tick();

  bool m_Closed = false;
  bool m_Writing = false;
  bool m_PumpScheduled = false;
  bool m_RunningEvents = false;
  TimePoint m_LastReceived;
  TimerService::Subscription m_Tick;
  std::deque<std::function<void()>> m_Events;
  std::array<std::uint8_t, 65536> m_ReadBuffer;
  std::string m_WriteBuffer;
  std::string m_NonceIn;
};

/// Takes up to Length bytes from the front of Text.
std::size_t takeBytes(std::string &Text, std::size_t &Offset,
                      std::uint8_t *Buffer, std::size_t Length);

nghttp2_nv makeHeader(std::string_view Name, std::string_view Value);

} // namespace ragwortdrift::detail

#endif
