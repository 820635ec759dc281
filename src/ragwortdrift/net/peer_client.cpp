#include "ragwortdrift/net/peer_client.hpp"

#include "peer_session.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace ragwortdrift {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A running VM responds within a round trip, at most about 50 ms between
/// regions. One without power does not respond at all.
constexpr Duration ConnectTimeout{250'000};
/// Delay after a failed connection; doubles up to MaxBackoff.
constexpr Duration InitialBackoff{50'000};
constexpr Duration MaxBackoff{400'000};
/// A connection without calls is closed after this time, so that rarely used
/// connections (gossip) do not cause a growing number of PINGs.
constexpr Duration IdleTimeout{10'000'000};
/// A connection accepts no new calls from this stream id on (the maximum is
/// 2^31 - 1).
constexpr std::int32_t StreamIdLimit = 0x7f000000;

using Address = std::pair<std::string, std::uint16_t>;

class ClientSession;
using CallPtr = std::shared_ptr<detail::PeerCallState>;

} // namespace

struct detail::PeerCallState : std::enable_shared_from_this<PeerCallState> {
  std::string m_Path;
  /// The request's body until it is queued.
  SharedMessage m_Body;
  PeerClient::OnMessage m_OnMessage;
  PeerClient::OnDone m_OnDone;
  TimerService::Subscription m_Deadline;
  std::weak_ptr<ClientSession> m_Session;
  std::int32_t m_Stream = 0;
  PeerRecordContext m_Context;
  PeerRecordReader m_Reader;
  std::uint64_t m_NextIndex = 0;
  RecordQueue m_Queue;
  /// Bytes that the call adds to its connection's unsent bytes: the size of the
  /// whole record until its last byte is sent, so that requests accepted under
  /// this limit stay below the receiver's limit on partial records.
  std::size_t m_ReservedBytes = 0;
  bool m_HeadersSent = false;
  bool m_Ended = false;

  void end(const Result<Done, PeerError> &Outcome) {
    if (m_Ended)
      return;
    const auto Self = shared_from_this();
    const auto Fn = std::move(m_OnDone);
    release();
    Fn(Outcome);
  }
  /// Ends the call without a callback. Also destroys the callbacks, which
  /// breaks the reference cycle if a callback owns its call, and the messages:
  /// the caller may keep an ended call.
  void release() {
    m_Ended = true;
    m_Deadline.reset();
    m_Body.reset();
    m_Queue.clear();
    m_Reader.clear();
    m_OnMessage = nullptr;
    m_OnDone = nullptr;
  }
  void deliver(std::string Message) {
    if (m_Ended)
      return;
    // The callback may end the call, which destroys the function object.
    auto Fn = std::move(m_OnMessage);
    Fn(std::move(Message));
    if (!m_Ended)
      m_OnMessage = std::move(Fn);
  }
  void cancel(std::uint32_t Code);
};

class PeerClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, TimerService &Timers, PeerKey Key, VmId Self,
       PeerLimits Limits)
      : m_Io(Io), m_Timers(Timers), m_Key(Key), m_Self(std::move(Self)),
        m_Limits(Limits) {}

  void startCall(const CallPtr &Call, const Address &Remote);
  /// Forgets addresses that have not been called for a while.
  void evictIdlePeers();
  void postError(const CallPtr &Call, PeerError Error);
  void shutdown();

  struct Peer {
    std::shared_ptr<ClientSession> m_Session;
    Duration m_Backoff{0};
    TimePoint m_NextConnectTime;
    /// The last attempt to connect was refused.
    bool m_IsRefusing = false;
  };

  asio::io_context &m_Io;
  TimerService &m_Timers;
  const PeerKey m_Key;
  const VmId m_Self;
  const PeerLimits m_Limits;
  std::map<Address, Peer> m_Peers;
  /// Sessions that accept no new calls and close after their last one.
  std::vector<std::shared_ptr<ClientSession>> m_Retired;
  bool m_Stopped = false;
};

namespace {

class ClientSession : public detail::PeerSession {
public:
  ClientSession(const std::shared_ptr<PeerClient::Impl> &Client, Address Remote)
      : PeerSession(tcp::socket(Client->m_Io), Client->m_Timers, Role::Client,
                    Client->m_Limits),
        m_Client(Client), m_Address(std::move(Remote)) {}

  void connect();
  bool acceptsCalls() const {
    return !isClosed() && !m_Draining &&
           nghttp2_session_get_next_stream_id(m_Session.get()) <
               static_cast<std::uint32_t>(StreamIdLimit);
  }
  bool addCall(const CallPtr &Call);
  void removeCall(const CallPtr &Call, std::uint32_t Code);
  const Address &address() const { return m_Address; }

protected:
  void onHeader(std::int32_t Id, std::string_view Name,
                std::string_view Value) override;
  void onData(std::int32_t Id, std::string_view Bytes) override;
  void onEndStream(std::int32_t) override {}
  void onStreamClosed(std::int32_t Id, std::uint32_t Code) override;
  void onHeadersSent(std::int32_t Id) override;
  void onNonce(std::string_view Nonce) override;
  void onGoaway() override { m_Draining = true; }
  void onTick() override;
  void onClosed(PeerErrorCode Reason) override;
  ssize_t availableBody(std::int32_t Id, std::size_t Length,
                        bool &Eof) override;
  void takeBody(std::int32_t Id, detail::OutputBuffer &Target,
                std::size_t Length) override;

private:
  void submit(const CallPtr &Call);
  void setReservedBytes(detail::PeerCallState &Call, std::size_t Bytes) {
    m_UnsentBytes += Bytes - Call.m_ReservedBytes;
    Call.m_ReservedBytes = Bytes;
  }
  void fail(const CallPtr &Call, PeerErrorCode Code, std::uint32_t ResetCode);

  std::weak_ptr<PeerClient::Impl> m_Client;
  const Address m_Address;
  TimerService::Subscription m_ConnectTimer;
  bool m_HasNonce = false;
  /// Nothing listens at the address.
  bool m_IsRefused = false;
  bool m_Draining = false;
  PeerNonce m_ServerNonce{};
  TimePoint m_LastUsed;
  /// Calls that wait for the server's nonce.
  std::vector<CallPtr> m_PendingCalls;
  std::map<std::int32_t, CallPtr> m_Calls;
};

void ClientSession::connect() {
  const auto Self = std::static_pointer_cast<ClientSession>(shared_from_this());
  m_LastUsed = m_Timers.now();
  m_ConnectTimer = m_Timers.after(
      ConnectTimeout, [Weak = std::weak_ptr<ClientSession>(Self)] {
        if (const auto Session = Weak.lock())
          Session->close(PeerErrorCode::ConnectFailed);
      });
  boost::system::error_code Error;
  const auto Ip = asio::ip::make_address(m_Address.first, Error);
  if (Error) {
    asio::post(m_Socket.get_executor(),
               [Self] { Self->close(PeerErrorCode::ConnectFailed); });
    return;
  }
  m_Socket.async_connect(tcp::endpoint(Ip, m_Address.second),
                         [Self](boost::system::error_code ConnectError) {
                           if (Self->isClosed())
                             return;
                           Self->m_IsRefused =
                               ConnectError == asio::error::connection_refused;
                           if (ConnectError)
                             return Self->close(PeerErrorCode::ConnectFailed);
                           Self->startIo();
                         });
}

bool ClientSession::addCall(const CallPtr &Call) {
  if (m_Calls.size() + m_PendingCalls.size() >= m_Limits.m_MaxStreams ||
      m_UnsentBytes + Call->m_Body->size() + PeerRecordHeaderBytes >
          m_Limits.m_MaxUnsentBytes)
    return false;
  m_LastUsed = m_Timers.now();
  setReservedBytes(*Call, Call->m_Body->size() + PeerRecordHeaderBytes);
  Call->m_Session = std::static_pointer_cast<ClientSession>(shared_from_this());
  if (m_HasNonce)
    submit(Call);
  else
    m_PendingCalls.push_back(Call);
  return true;
}

void ClientSession::submit(const CallPtr &Call) {
  const auto Client = m_Client.lock();
  if (!Client || Call->m_Ended)
    return;
  PeerRecordContext &Context = Call->m_Context;
  Context.m_ServerNonce = m_ServerNonce;
  Context.m_ClientNonce = randomNonce();
  Context.m_Stream = static_cast<std::int32_t>(
      nghttp2_session_get_next_stream_id(m_Session.get()));
  Context.m_Path = Call->m_Path;
  Context.m_Sender = Client->m_Self;
  const PeerRecordHeader Header = sealHeader(
      Client->m_Key, Context, PeerRecordKind::Request, 0, *Call->m_Body);
  Call->m_Queue.push(Header, std::move(Call->m_Body));
  Call->m_Stream = Context.m_Stream;
  const std::string Nonce = nonceToHex(Context.m_ClientNonce);
  const std::array Headers{
      detail::makeHeader(":method", "POST"),
      detail::makeHeader(":scheme", "http"),
      detail::makeHeader(":authority", "peer"),
      detail::makeHeader(":path", Call->m_Path),
      detail::makeHeader("rd-from", Client->m_Self.m_Value),
      detail::makeHeader("rd-nonce", Nonce)};
  const nghttp2_data_provider Provider = bodyProvider();
  const std::int32_t Id =
      nghttp2_submit_request(m_Session.get(), nullptr, Headers.data(),
                             Headers.size(), &Provider, nullptr);
  m_Calls[Call->m_Stream] = Call;
  if (Id != Call->m_Stream)
    fail(Call, PeerErrorCode::Protocol, NGHTTP2_INTERNAL_ERROR);
  scheduleWrite();
}

/// Removes a call and resets its stream unless the stream has ended.
void ClientSession::removeCall(const CallPtr &Call, std::uint32_t Code) {
  std::erase(m_PendingCalls, Call);
  setReservedBytes(*Call, 0);
  Call->m_Body.reset();
  Call->m_Queue.clear();
  if (m_Calls.erase(Call->m_Stream) != 0)
    resetStream(Call->m_Stream, Code);
  m_LastUsed = m_Timers.now();
}

void ClientSession::fail(const CallPtr &Call, PeerErrorCode Code,
                         std::uint32_t ResetCode) {
  removeCall(Call, ResetCode);
  defer([Call, Code] { Call->end(PeerError{Code, Call->m_HeadersSent}); });
}

void ClientSession::onHeader(std::int32_t Id, std::string_view Name,
                             std::string_view Value) {
  const auto It = m_Calls.find(Id);
  if (It == m_Calls.end())
    return;
  if (Name == "rd-from")
    It->second->m_Context.m_Sender = VmId(std::string(Value));
  else if (Name == ":status" && Value != "200")
    fail(It->second, PeerErrorCode::Protocol, NGHTTP2_PROTOCOL_ERROR);
}

void ClientSession::onData(std::int32_t Id, std::string_view Bytes) {
  const auto It = m_Calls.find(Id);
  const auto Client = m_Client.lock();
  if (It == m_Calls.end() || !Client)
    return;
  const CallPtr Call = It->second;
  Call->m_Reader.append(Bytes);
  for (;;) {
    auto Next = Call->m_Reader.next();
    if (!isOk(Next))
      return fail(Call,
                  errorOf(Next) == PeerRecordErrorCode::TooLarge
                      ? PeerErrorCode::TooLarge
                      : PeerErrorCode::Protocol,
                  NGHTTP2_PROTOCOL_ERROR);
    auto &Record = valueOf(Next);
    if (!Record)
      return;
    if (!verifyRecord(Client->m_Key, Call->m_Context, Call->m_NextIndex++,
                      *Record))
      return fail(Call, PeerErrorCode::BadMac, NGHTTP2_INADEQUATE_SECURITY);
    if (Record->m_Kind == PeerRecordKind::Finish) {
      // The server ends the stream after this record, so no reset is sent.
      m_Calls.erase(Call->m_Stream);
      removeCall(Call, NGHTTP2_NO_ERROR);
      defer([Call] { Call->end(Done{}); });
      return;
    }
    if (Record->m_Kind != PeerRecordKind::Message)
      return fail(Call, PeerErrorCode::Protocol, NGHTTP2_PROTOCOL_ERROR);
    defer([Call, Body = std::move(Record->m_Body)]() mutable {
      Call->deliver(std::move(Body));
    });
  }
}

void ClientSession::onStreamClosed(std::int32_t Id, std::uint32_t Code) {
  const auto It = m_Calls.find(Id);
  if (It == m_Calls.end())
    return;
  const CallPtr Call = It->second;
  m_Calls.erase(It);
  removeCall(Call, Code);
  PeerError Error{PeerErrorCode::Refused, Call->m_HeadersSent};
  switch (Code) {
  case NGHTTP2_REFUSED_STREAM:
    Error.m_MaybeSent = false;
    break;
  case NGHTTP2_ENHANCE_YOUR_CALM:
    Error.m_Code = PeerErrorCode::TooLarge;
    break;
  case NGHTTP2_INADEQUATE_SECURITY:
    Error = {PeerErrorCode::BadMac, false};
    break;
  case NGHTTP2_NO_ERROR:
  case NGHTTP2_PROTOCOL_ERROR:
    // The stream ended without a Finish record, or the peer reported a protocol
    // error.
    Error.m_Code = PeerErrorCode::Protocol;
    break;
  default:
    break;
  }
  defer([Call, Error] { Call->end(Error); });
}

void ClientSession::onHeadersSent(std::int32_t Id) {
  if (const auto It = m_Calls.find(Id); It != m_Calls.end())
    It->second->m_HeadersSent = true;
}

void ClientSession::onNonce(std::string_view Nonce) {
  if (m_HasNonce || Nonce.size() != m_ServerNonce.size()) {
    defer([this] { close(PeerErrorCode::Protocol); });
    return;
  }
  std::ranges::copy(Nonce, m_ServerNonce.begin());
  m_HasNonce = true;
  m_ConnectTimer.reset();
  defer([this] {
    if (const auto Client = m_Client.lock())
      Client->m_Peers[m_Address].m_Backoff = Duration{0};
    const auto PendingCalls = std::move(m_PendingCalls);
    m_PendingCalls.clear();
    for (const CallPtr &Call : PendingCalls)
      submit(Call);
  });
}

void ClientSession::onTick() {
  const bool Idle = m_Calls.empty() && m_PendingCalls.empty();
  if (Idle && (m_Draining || m_Timers.now() - m_LastUsed >= IdleTimeout))
    return close(PeerErrorCode::ConnectionLost);
  nghttp2_submit_ping(m_Session.get(), NGHTTP2_FLAG_NONE, nullptr);
  scheduleWrite();
}

void ClientSession::onClosed(PeerErrorCode Reason) {
  m_ConnectTimer.reset();
  const auto Client = m_Client.lock();
  const auto Self = std::static_pointer_cast<ClientSession>(shared_from_this());
  if (Client) {
    std::erase(Client->m_Retired, Self);
    const auto It = Client->m_Peers.find(m_Address);
    if (It != Client->m_Peers.end() && It->second.m_Session == Self) {
      It->second.m_Session.reset();
      if (!m_HasNonce) {
        It->second.m_Backoff =
            std::clamp(It->second.m_Backoff * 2, InitialBackoff, MaxBackoff);
        It->second.m_NextConnectTime = m_Timers.now() + It->second.m_Backoff;
        It->second.m_IsRefusing = m_IsRefused;
      }
    }
  }
  const auto PendingCalls = std::move(m_PendingCalls);
  const auto Calls = std::move(m_Calls);
  m_PendingCalls.clear();
  m_Calls.clear();
  if (!Client || Client->m_Stopped) {
    clearEvents();
    return;
  }
  for (const CallPtr &Call : PendingCalls)
    Call->end(PeerError{m_HasNonce ? Reason : PeerErrorCode::ConnectFailed,
                        false, m_IsRefused});
  for (const auto &[Id, Call] : Calls)
    Call->end(PeerError{Reason, Call->m_HeadersSent});
}

ssize_t ClientSession::availableBody(std::int32_t Id, std::size_t Length,
                                     bool &Eof) {
  const auto It = m_Calls.find(Id);
  if (It == m_Calls.end())
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t Available = It->second->m_Queue.size();
  Eof = Length >= Available;
  return static_cast<ssize_t>(std::min(Length, Available));
}

void ClientSession::takeBody(std::int32_t Id, detail::OutputBuffer &Target,
                             std::size_t Length) {
  detail::PeerCallState &Call = *m_Calls.at(Id);
  Call.m_Queue.moveTo(Target, Length);
  if (Call.m_Queue.empty())
    setReservedBytes(Call, 0);
}

} // namespace

void detail::PeerCallState::cancel(std::uint32_t Code) {
  if (m_Ended)
    return;
  const auto Self = shared_from_this();
  release();
  if (const auto Session = m_Session.lock(); Session && !Session->isClosed())
    Session->removeCall(shared_from_this(), Code);
}

void PeerClient::Impl::postError(const CallPtr &Call, PeerError Error) {
  asio::post(m_Io, [Weak = weak_from_this(), Call, Error] {
    const auto Self = Weak.lock();
    if (Self && !Self->m_Stopped)
      Call->end(Error);
  });
}

void PeerClient::Impl::startCall(const CallPtr &Call, const Address &Remote) {
  if (!m_Peers.contains(Remote))
    evictIdlePeers();
  Peer &Entry = m_Peers[Remote];
  if (Entry.m_Session && !Entry.m_Session->acceptsCalls()) {
    m_Retired.push_back(Entry.m_Session);
    Entry.m_Session.reset();
  }
  if (!Entry.m_Session) {
    if (m_Timers.now() < Entry.m_NextConnectTime)
      return postError(
          Call, {PeerErrorCode::ConnectFailed, false, Entry.m_IsRefusing});
    Entry.m_Session =
        std::make_shared<ClientSession>(shared_from_this(), Remote);
    Entry.m_Session->connect();
  }
  if (!Entry.m_Session->addCall(Call))
    postError(Call, {PeerErrorCode::Refused, false});
}

void PeerClient::Impl::evictIdlePeers() {
  const TimePoint Now = m_Timers.now();
  std::erase_if(m_Peers, [&](const auto &Item) {
    const Peer &Entry = Item.second;
    return !Entry.m_Session && Now - Entry.m_NextConnectTime > IdleTimeout;
  });
}

void PeerClient::Impl::shutdown() {
  m_Stopped = true;
  auto Sessions = m_Retired;
  for (const auto &[Remote, Entry] : m_Peers)
    if (Entry.m_Session)
      Sessions.push_back(Entry.m_Session);
  for (const auto &Session : Sessions)
    Session->close(PeerErrorCode::ConnectionLost);
}

PeerCall &PeerCall::operator=(PeerCall &&Other) noexcept {
  if (this != &Other) {
    cancel();
    m_State = std::move(Other.m_State);
  }
  return *this;
}

void PeerCall::cancel() {
  if (m_State)
    m_State->cancel(NGHTTP2_CANCEL);
  m_State.reset();
}

bool PeerCall::isOpen() const { return m_State && !m_State->m_Ended; }

PeerClient::PeerClient(asio::io_context &Io, TimerService &Timers, PeerKey Key,
                       VmId Self, PeerLimits Limits)
    : m_Impl(std::make_shared<Impl>(Io, Timers, Key, std::move(Self), Limits)) {
}

PeerClient::~PeerClient() { m_Impl->shutdown(); }

PeerCall PeerClient::open(const std::string &Ip, std::uint16_t Port,
                          std::string Path, std::string Body, Duration Deadline,
                          OnMessage OnMsg, OnDone OnEnd) {
  auto Call = std::make_shared<detail::PeerCallState>();
  Call->m_Path = std::move(Path);
  Call->m_Body = std::make_shared<const std::string>(std::move(Body));
  Call->m_OnMessage = std::move(OnMsg);
  Call->m_OnDone = std::move(OnEnd);
  Call->m_Deadline = m_Impl->m_Timers.after(
      Deadline, [Weak = std::weak_ptr(Call), Client = std::weak_ptr(m_Impl)] {
        const auto State = Weak.lock();
        const auto ClientImpl = Client.lock();
        if (!State || State->m_Ended || !ClientImpl || ClientImpl->m_Stopped)
          return;
        const PeerError Error{PeerErrorCode::Deadline, State->m_HeadersSent};
        const auto OnDone = std::move(State->m_OnDone);
        State->cancel(NGHTTP2_CANCEL);
        OnDone(Error);
      });
  if (Call->m_Body->size() > MaxPeerMessageBytes)
    m_Impl->postError(Call, {PeerErrorCode::TooLarge, false});
  else
    m_Impl->startCall(Call, {Ip, Port});
  return PeerCall(std::move(Call));
}

std::size_t PeerClient::connections() const {
  return m_Impl->m_Retired.size() +
         static_cast<std::size_t>(
             std::ranges::count_if(m_Impl->m_Peers, [](const auto &Entry) {
               return Entry.second.m_Session != nullptr;
             }));
}

} // namespace ragwortdrift
