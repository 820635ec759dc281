#ifndef RAGWORTDRIFT_NET_PEER_CLIENT_HPP
#define RAGWORTDRIFT_NET_PEER_CLIENT_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/net/peer_server.hpp"

namespace ragwortdrift {

enum class PeerErrorCode {
  ConnectFailed,
  Deadline,
  ConnectionLost,
  UnresponsiveConnection,
  Refused,
  TooLarge,
  BadMac,
  Protocol
};
template <> struct EnumNames<PeerErrorCode> {
  static constexpr std::array Entries{
      EnumName<PeerErrorCode>{PeerErrorCode::ConnectFailed, "connect_failed"},
      EnumName<PeerErrorCode>{PeerErrorCode::Deadline, "deadline"},
      EnumName<PeerErrorCode>{PeerErrorCode::ConnectionLost, "connection_lost"},
      EnumName<PeerErrorCode>{PeerErrorCode::UnresponsiveConnection,
                              "silent_connection"},
      EnumName<PeerErrorCode>{PeerErrorCode::Refused, "refused"},
      EnumName<PeerErrorCode>{PeerErrorCode::TooLarge, "too_large"},
      EnumName<PeerErrorCode>{PeerErrorCode::BadMac, "bad_mac"},
      EnumName<PeerErrorCode>{PeerErrorCode::Protocol, "protocol"}};
};

/// Error of a failed call.
struct PeerError {
  PeerErrorCode m_Code{};
  /// False only if the server's handler did not receive the request.
  bool m_MaybeSent = false;
  /// The host refused the connection, so no process listens at the address.
  bool m_IsRefused = false;

  friend bool operator==(const PeerError &, const PeerError &) = default;
};

namespace detail {
struct PeerCallState;
} // namespace detail

/// A call in progress. Destroying or cancelling it resets the stream; no
/// callback of the call runs afterwards.
class PeerCall {
public:
  PeerCall() = default;
  explicit PeerCall(std::shared_ptr<detail::PeerCallState> State)
      : m_State(std::move(State)) {}
  PeerCall(PeerCall &&Other) noexcept = default;
  PeerCall &operator=(PeerCall &&Other) noexcept;
  ~PeerCall() { cancel(); }
  void cancel();
  bool isOpen() const;

private:
  std::shared_ptr<detail::PeerCallState> m_State;
};

/// Opens peer streams over one persistent connection per address. Not
/// thread-safe: use only on the thread of its io_context.
class PeerClient {
public:
  using OnMessage = std::function<void(std::string)>;
  using OnDone = std::function<void(Result<Done, PeerError>)>;

  PeerClient(boost::asio::io_context &Io, TimerService &Timers, PeerKey Key,
             VmId Self, PeerLimits Limits = {});
  /// Closes all connections; no callback runs afterwards.
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// Sends a request. OnMsg runs for each response message, in order, then
  /// OnEnd runs once; neither runs inside open(). Deadline is relative to now
  /// and includes the time to connect. While an address is in backoff after
  /// failed connections, calls to it end with ConnectFailed without a new
  /// attempt.
  [[nodiscard]] PeerCall open(const std::string &Ip, std::uint16_t Port,
                              std::string Path, std::string Body,
                              Duration Deadline, OnMessage OnMsg, OnDone OnEnd);
  std::size_t connections() const;

  class Impl;

private:
  std::shared_ptr<Impl> m_Impl;
};

} // namespace ragwortdrift

#endif
