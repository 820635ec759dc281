#ifndef RAGWORTDRIFT_NET_PEER_SERVER_HPP
#define RAGWORTDRIFT_NET_PEER_SERVER_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/net/net_error.hpp"
#include "ragwortdrift/net/peer_auth.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace ragwortdrift {

/// Limits of one peer connection, in either role.
struct PeerLimits {
  /// Open streams.
  std::uint32_t m_MaxStreams = 2048;
  /// Bytes accepted for sending that have not been given to the socket.
  std::size_t m_MaxUnsentBytes = std::size_t{16} << 20;
  /// Bytes of requests that a server has received in part. Above the client's
  /// unsent bytes by the 4 MiB that may be in flight, so that requests which
  /// the client accepts do not reach it.
  std::size_t m_MaxPartialBytes = std::size_t{20} << 20;
  /// Connections of a server.
  std::size_t m_MaxConnections = 4096;
};

/// A PING is sent this often, by the client.
inline constexpr Duration PeerPingPeriod{500'000};
/// A connection without a received byte for this long is closed (section 5.11).
inline constexpr Duration PeerSilenceLimit{1'500'000};

/// A request whose MAC was checked.
struct PeerRequest {
  VmId m_From;
  std::string m_Path;
  std::string m_Body;
};

/// The response to one request. Dropping it without finish() resets the stream.
/// Used on the server's thread only; it may outlive the server.
class ResponseStream {
public:
  virtual ~ResponseStream() = default;
  /// Queues a message. False when the stream has ended, the message is above 1
  /// MiB, or the connection's limit on unsent bytes is reached; in the last two
  /// cases the stream is reset.
  virtual bool send(std::string Message) = 0;
  /// Ends the response after the messages queued so far.
  virtual void finish() = 0;
  /// Calls back once if the client resets the stream or the connection ends
  /// before the response was finished; at once if that has already happened.
  virtual void onCancel(std::function<void()> Callback) = 0;
};

/// Serves peer streams: HTTP/2 with prior knowledge (nghttp2) over TCP.
///
/// After its SETTINGS the server sends an extension frame of type
/// PeerNonceFrameType on stream 0 that holds the 16 bytes of the connection's
/// nonce. A request is a POST with the headers `rd-from` (the sender's id) and
/// `rd-nonce` (32 hexadecimal digits) and one record; a response is any number
/// of records and a Finish record (see sealRecord).
class PeerServer {
public:
  using Handler =
      std::function<void(PeerRequest, std::shared_ptr<ResponseStream>)>;

  PeerServer(boost::asio::io_context &Io, TimerService &Timers, PeerKey Key,
             VmId Self, PeerLimits Limits = {});
  /// Closes all connections; no handler or cancel callback runs afterwards.
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  /// Port 0 chooses a free port; see port().
  Result<Done, NetError> listen(const std::string &Ip, std::uint16_t Port);
  std::uint16_t port() const;
  /// Replaces the handler of a path. Requests for a path without a handler are
  /// refused.
  void handle(std::string Path, Handler Fn);
  std::size_t connections() const;

  class Impl;

private:
  std::shared_ptr<Impl> m_Impl;
};

inline constexpr std::uint8_t PeerNonceFrameType = 0xfb;

} // namespace ragwortdrift

#endif
