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

/// Limits of a peer client or server, per connection unless stated otherwise.
struct PeerLimits {
  /// Concurrent streams.
  std::uint32_t m_MaxStreams = 2048;
  /// Bytes queued for sending that are not yet written to the socket.
  std::size_t m_MaxUnsentBytes = std::size_t{16} << 20;
  /// Bytes of incomplete requests that a server connection buffers. Exceeds the
  /// client's limit on unsent bytes by the 4 MiB that may be in flight, so that
  /// requests accepted by the client stay below this limit.
  std::size_t m_MaxPartialBytes = std::size_t{20} << 20;
  /// Concurrent connections of a server.
  std::size_t m_MaxConnections = 4096;
};

/// Interval between the PINGs that the client sends.
inline constexpr Duration PeerPingInterval{500'000};
/// A connection that receives no byte for this long is closed (section 5.11).
inline constexpr Duration PeerReceiveTimeout{1'500'000};

/// A request whose MAC was verified.
struct PeerRequest {
  VmId m_Sender;
  std::string m_Path;
  std::string m_Body;
};

/// The response to one request. Destroying it without finish() resets the
/// stream. Use only on the server's thread; it may outlive the server.
class ResponseStream {
public:
  /// The body of a message, shared by all streams that send it. Not null.
  using SharedMessage = ragwortdrift::SharedMessage;

  virtual ~ResponseStream() = default;
  /// Queues a message. Returns false if the stream has ended, the message
  /// exceeds 1 MiB, or the connection's limit on unsent bytes is reached; in
  /// the last two cases the stream is reset.
  virtual bool send(SharedMessage Message) = 0;
  bool send(std::string Message) {
    return send(std::make_shared<const std::string>(std::move(Message)));
  }
  /// Bytes of this response that are queued and not yet written to the socket.
  virtual std::size_t unsentBytes() const = 0;
  /// Calls back, each time until the stream ends, when unsentBytes() has
  /// dropped to 0 after having been above it. Never called inside send() or
  /// after finish(). Replaces an earlier callback.
  virtual void onDrained(std::function<void()> Callback) = 0;
  /// Ends the response after the messages queued so far.
  virtual void finish() = 0;
  /// Calls back once if the client resets the stream or the connection ends
  /// before the response is complete; immediately if this has already happened.
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

  /// Port 0 selects a free port; see port().
  Result<Done, NetError> listen(const std::string &Ip, std::uint16_t Port);
  std::uint16_t port() const;
  /// Replaces the handler of a path. Requests for a path without a handler are
  /// refused.
  void handle(std::string Path, Handler Fn);
  std::size_t connections() const;
  /// Bytes of responses that are queued and not yet written to a socket.
  std::size_t unsentBytes() const;

  class Impl;

private:
  std::shared_ptr<Impl> m_Impl;
};

inline constexpr std::uint8_t PeerNonceFrameType = 0xfb;

} // namespace ragwortdrift

#endif
