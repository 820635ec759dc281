#include "ragwortdrift/net/peer_server.hpp"

#include "peer_session.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace ragwortdrift {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t MaxPathBytes = 256;
constexpr std::size_t MaxIdBytes = 128;
/// Delay after a failed accept, for example when the process has no free file
/// descriptor.
constexpr Duration AcceptRetryDelay{100'000};

class ServerSession;

} // namespace

class PeerServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, TimerService &Timers, PeerKey Key, VmId Self,
       PeerLimits Limits)
      : m_Timers(Timers), m_Key(Key), m_Self(std::move(Self)), m_Limits(Limits),
        m_Acceptor(Io) {}
  void accept();
  void shutdown();

  TimerService &m_Timers;
  const PeerKey m_Key;
  const VmId m_Self;
  const PeerLimits m_Limits;
  tcp::acceptor m_Acceptor;
  TimerService::Subscription m_AcceptRetryTimer;
  std::map<std::string, Handler, std::less<>> m_Handlers;
  std::set<std::shared_ptr<ServerSession>> m_Sessions;
  bool m_Stopped = false;
};

namespace {

class ServerSession : public detail::PeerSession {
public:
  ServerSession(tcp::socket Socket,
                const std::shared_ptr<PeerServer::Impl> &Server)
      : PeerSession(std::move(Socket), Server->m_Timers, Role::Server,
                    Server->m_Limits),
        m_Server(Server), m_Nonce(randomNonce()) {
    nghttp2_submit_extension(m_Session.get(), PeerNonceFrameType,
                             NGHTTP2_FLAG_NONE, 0, &m_Nonce);
  }
  void start() { startIo(); }

  std::size_t unsentBytes() const { return m_UnsentBytes; }

  bool send(std::int32_t Id, PeerRecordKind Kind, SharedMessage Body);
  std::size_t unsentBytes(std::int32_t Id) const;
  void onDrained(std::int32_t Id, std::function<void()> Callback);
  void resetIfUnfinished(std::int32_t Id);
  bool onCancel(std::int32_t Id, std::function<void()> &Callback);

protected:
  void onHeadersBegin(std::int32_t Id) override { m_Streams[Id]; }
  void onHeader(std::int32_t Id, std::string_view Name,
                std::string_view Value) override;
  void onData(std::int32_t Id, std::string_view Bytes) override;
  void onEndStream(std::int32_t Id) override;
  void onStreamClosed(std::int32_t Id, std::uint32_t Code) override;
  void onClosed(PeerErrorCode Reason) override;
  ssize_t availableBody(std::int32_t Id, std::size_t Length,
                        bool &Eof) override;
  void takeBody(std::int32_t Id, detail::OutputBuffer &Target,
                std::size_t Length) override;
  void onWritten() override;

private:
  struct Stream {
    PeerRecordContext m_Context;
    bool m_HasNonce = false;
    PeerRecordReader m_Reader;
    bool m_HeadersSubmitted = false;
    bool m_Finished = false;
    std::uint64_t m_NextIndex = 0;
    detail::RecordQueue m_Queue;
    /// Bytes that were taken from the queue and are being written.
    std::size_t m_WritingBytes = 0;
    std::function<void()> m_OnCancel;
    std::function<void()> m_OnDrained;
  };

  void rejectStream(std::int32_t Id, std::uint32_t Code);
  void removeStream(std::map<std::int32_t, Stream>::iterator It);
  void dispatch(std::int32_t Id, std::string Body);
  void notifyDrained(std::int32_t Id);

  std::weak_ptr<PeerServer::Impl> m_Server;
  PeerNonce m_Nonce;
  std::map<std::int32_t, Stream> m_Streams;
  std::size_t m_PartialBytes = 0;
  /// Bytes of all responses that are being written, also of removed streams.
  std::size_t m_WritingBytes = 0;
  std::vector<std::int32_t> m_WritingStreams;
};

class ServerResponse : public ResponseStream {
public:
  ServerResponse(std::weak_ptr<ServerSession> Session, std::int32_t Id)
      : m_Session(std::move(Session)), m_Id(Id) {}
  ServerResponse(const ServerResponse &) = delete;
  ServerResponse &operator=(const ServerResponse &) = delete;
  ~ServerResponse() override {
    if (const auto Session = m_Session.lock())
      Session->resetIfUnfinished(m_Id);
  }
  bool send(SharedMessage Message) override {
    const auto Session = m_Session.lock();
    return Session &&
           Session->send(m_Id, PeerRecordKind::Message, std::move(Message));
  }
  std::size_t unsentBytes() const override {
    const auto Session = m_Session.lock();
    return Session ? Session->unsentBytes(m_Id) : 0;
  }
  void onDrained(std::function<void()> Callback) override {
    if (const auto Session = m_Session.lock())
      Session->onDrained(m_Id, std::move(Callback));
  }
  void finish() override {
    static const auto EmptyBody = std::make_shared<const std::string>();
    if (const auto Session = m_Session.lock())
      Session->send(m_Id, PeerRecordKind::Finish, EmptyBody);
  }
  void onCancel(std::function<void()> Callback) override {
    const auto Session = m_Session.lock();
    if (!Session || !Session->onCancel(m_Id, Callback))
      Callback();
  }

private:
  std::weak_ptr<ServerSession> m_Session;
  std::int32_t m_Id;
};

void ServerSession::rejectStream(std::int32_t Id, std::uint32_t Code) {
  if (const auto It = m_Streams.find(Id); It != m_Streams.end())
    removeStream(It);
  resetStream(Id, Code);
}

void ServerSession::removeStream(std::map<std::int32_t, Stream>::iterator It) {
  m_PartialBytes -= It->second.m_Reader.buffered();
  m_UnsentBytes -= It->second.m_Queue.size();
  m_Streams.erase(It);
}

void ServerSession::onHeader(std::int32_t Id, std::string_view Name,
                             std::string_view Value) {
  const auto It = m_Streams.find(Id);
  if (It == m_Streams.end())
    return;
  PeerRecordContext &Context = It->second.m_Context;
  if (Name == ":path") {
    if (Value.size() > MaxPathBytes)
      return rejectStream(Id, NGHTTP2_REFUSED_STREAM);
    Context.m_Path = Value;
  } else if (Name == "rd-from") {
    if (Value.size() > MaxIdBytes)
      return rejectStream(Id, NGHTTP2_REFUSED_STREAM);
    Context.m_Sender = VmId(std::string(Value));
  } else if (Name == "rd-nonce") {
    const auto Nonce = nonceFromHex(Value);
    It->second.m_HasNonce = Nonce.has_value();
    Context.m_ClientNonce = Nonce.value_or(PeerNonce{});
  }
}

void ServerSession::onData(std::int32_t Id, std::string_view Bytes) {
  const auto It = m_Streams.find(Id);
  if (It == m_Streams.end())
    return;
  PeerRecordReader &Reader = It->second.m_Reader;
  Reader.append(Bytes);
  m_PartialBytes += Bytes.size();
  // A stream may send at most one complete request with its record header.
  if (Reader.buffered() > MaxPeerMessageBytes + 64 ||
      m_PartialBytes > m_Limits.m_MaxPartialBytes)
    rejectStream(Id, NGHTTP2_ENHANCE_YOUR_CALM);
}

void ServerSession::onEndStream(std::int32_t Id) {
  const auto It = m_Streams.find(Id);
  if (It == m_Streams.end())
    return;
  Stream &Request = It->second;
  PeerRecordContext &Context = Request.m_Context;
  Context.m_ServerNonce = m_Nonce;
  Context.m_Stream = Id;
  const std::size_t BufferedBefore = Request.m_Reader.buffered();
  auto Next = Request.m_Reader.next();
  m_PartialBytes -= BufferedBefore - Request.m_Reader.buffered();
  if (!isOk(Next))
    return rejectStream(Id, errorOf(Next) == PeerRecordErrorCode::TooLarge
                                ? NGHTTP2_ENHANCE_YOUR_CALM
                                : NGHTTP2_PROTOCOL_ERROR);
  std::optional<PeerRecord> &Record = valueOf(Next);
  if (!Record || Request.m_Reader.buffered() != 0 || !Request.m_HasNonce)
    return rejectStream(Id, NGHTTP2_PROTOCOL_ERROR);
  const auto Server = m_Server.lock();
  if (!Server || Record->m_Kind != PeerRecordKind::Request ||
      !verifyRecord(Server->m_Key, Context, 0, *Record))
    return rejectStream(Id, NGHTTP2_INADEQUATE_SECURITY);
  defer([this, Id, Body = std::move(Record->m_Body)]() mutable {
    dispatch(Id, std::move(Body));
  });
}

void ServerSession::dispatch(std::int32_t Id, std::string Body) {
  const auto It = m_Streams.find(Id);
  const auto Server = m_Server.lock();
  if (It == m_Streams.end() || isClosed() || !Server || Server->m_Stopped)
    return;
  PeerRecordContext &Context = It->second.m_Context;
  const auto Handler = Server->m_Handlers.find(Context.m_Path);
  if (Handler == Server->m_Handlers.end())
    return rejectStream(Id, NGHTTP2_REFUSED_STREAM);
  PeerRequest Request{Context.m_Sender, Context.m_Path, std::move(Body)};
  Context.m_Sender = Server->m_Self;
  const auto Fn = Handler->second;
  Fn(std::move(Request),
     std::make_shared<ServerResponse>(
         std::static_pointer_cast<ServerSession>(shared_from_this()), Id));
}

bool ServerSession::send(std::int32_t Id, PeerRecordKind Kind,
                         SharedMessage Body) {
  const auto It = m_Streams.find(Id);
  const auto Server = m_Server.lock();
  if (It == m_Streams.end() || isClosed() || !Server || It->second.m_Finished)
    return false;
  Stream &Response = It->second;
  const std::size_t Size = Body->size() + PeerRecordHeaderBytes;
  if (Body->size() > MaxPeerMessageBytes ||
      m_UnsentBytes + Size > m_Limits.m_MaxUnsentBytes) {
    rejectStream(Id, NGHTTP2_ENHANCE_YOUR_CALM);
    return false;
  }
  const PeerRecordHeader Header = sealHeader(
      Server->m_Key, Response.m_Context, Kind, Response.m_NextIndex++, *Body);
  Response.m_Queue.push(Header, std::move(Body));
  m_UnsentBytes += Size;
  Response.m_Finished = Kind == PeerRecordKind::Finish;
  if (!Response.m_HeadersSubmitted) {
    Response.m_HeadersSubmitted = true;
    const std::array Headers{
        detail::makeHeader(":status", "200"),
        detail::makeHeader("rd-from", Server->m_Self.m_Value)};
    const nghttp2_data_provider Provider = bodyProvider();
    nghttp2_submit_response(m_Session.get(), Id, Headers.data(), Headers.size(),
                            &Provider);
  } else {
    nghttp2_session_resume_data(m_Session.get(), Id);
  }
  scheduleWrite();
  return true;
}

void ServerSession::resetIfUnfinished(std::int32_t Id) {
  const auto It = m_Streams.find(Id);
  if (It != m_Streams.end() && !It->second.m_Finished && !isClosed())
    rejectStream(Id, NGHTTP2_INTERNAL_ERROR);
}

std::size_t ServerSession::unsentBytes(std::int32_t Id) const {
  const auto It = m_Streams.find(Id);
  return It == m_Streams.end()
             ? 0
             : It->second.m_Queue.size() + It->second.m_WritingBytes;
}

void ServerSession::onDrained(std::int32_t Id, std::function<void()> Callback) {
  if (const auto It = m_Streams.find(Id); It != m_Streams.end())
    It->second.m_OnDrained = std::move(Callback);
}

bool ServerSession::onCancel(std::int32_t Id, std::function<void()> &Callback) {
  const auto It = m_Streams.find(Id);
  if (It == m_Streams.end() || isClosed())
    return false;
  It->second.m_OnCancel = std::move(Callback);
  return true;
}

void ServerSession::onStreamClosed(std::int32_t Id, std::uint32_t) {
  const auto It = m_Streams.find(Id);
  if (It == m_Streams.end())
    return;
  const bool Complete = It->second.m_Finished && It->second.m_Queue.empty();
  auto Callback = std::move(It->second.m_OnCancel);
  removeStream(It);
  if (!Complete && Callback)
    defer([this, Callback = std::move(Callback)] {
      const auto Server = m_Server.lock();
      if (Server && !Server->m_Stopped)
        Callback();
    });
}

void ServerSession::onClosed(PeerErrorCode) {
  const auto Server = m_Server.lock();
  if (!Server)
    return;
  const auto Self = shared_from_this();
  Server->m_Sessions.erase(std::static_pointer_cast<ServerSession>(Self));
  if (Server->m_Stopped)
    clearEvents();
  auto Streams = std::move(m_Streams);
  m_Streams.clear();
  for (auto &[Id, Entry] : Streams)
    if (Entry.m_OnCancel && !Server->m_Stopped)
      Entry.m_OnCancel();
}

ssize_t ServerSession::availableBody(std::int32_t Id, std::size_t Length,
                                     bool &Eof) {
  const auto It = m_Streams.find(Id);
  if (It == m_Streams.end())
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const Stream &Response = It->second;
  if (Response.m_Queue.empty() && !Response.m_Finished)
    return NGHTTP2_ERR_DEFERRED;
  const std::size_t Size = std::min(Length, Response.m_Queue.size());
  Eof = Response.m_Finished && Size == Response.m_Queue.size();
  return static_cast<ssize_t>(Size);
}

void ServerSession::takeBody(std::int32_t Id, detail::OutputBuffer &Target,
                             std::size_t Length) {
  Stream &Response = m_Streams.at(Id);
  Response.m_Queue.moveTo(Target, Length);
  if (Response.m_WritingBytes == 0)
    m_WritingStreams.push_back(Id);
  Response.m_WritingBytes += Length;
  m_WritingBytes += Length;
}

void ServerSession::onWritten() {
  m_UnsentBytes -= std::exchange(m_WritingBytes, 0);
  for (const std::int32_t Id : std::exchange(m_WritingStreams, {})) {
    const auto It = m_Streams.find(Id);
    if (It == m_Streams.end())
      continue;
    It->second.m_WritingBytes = 0;
    if (It->second.m_OnDrained && unsentBytes(Id) == 0)
      defer([this, Id] { notifyDrained(Id); });
  }
}

void ServerSession::notifyDrained(std::int32_t Id) {
  const auto It = m_Streams.find(Id);
  const auto Server = m_Server.lock();
  // An earlier event may have sent the next message.
  if (It == m_Streams.end() || isClosed() || !Server || Server->m_Stopped ||
      It->second.m_Finished || unsentBytes(Id) != 0)
    return;
  // The callback may end the stream, which destroys the function object.
  const auto Callback = It->second.m_OnDrained;
  Callback();
}

} // namespace

void PeerServer::Impl::accept() {
  m_Acceptor.async_accept([Weak = weak_from_this()](
                              boost::system::error_code Error,
                              tcp::socket Socket) {
    const auto Self = Weak.lock();
    if (!Self || Self->m_Stopped || Error == asio::error::operation_aborted)
      return;
    if (Error) {
      Self->m_AcceptRetryTimer = Self->m_Timers.after(AcceptRetryDelay, [Weak] {
        if (const auto Server = Weak.lock())
          Server->accept();
      });
      return;
    }
    if (Self->m_Sessions.size() < Self->m_Limits.m_MaxConnections) {
      const auto Session =
          std::make_shared<ServerSession>(std::move(Socket), Self);
      Self->m_Sessions.insert(Session);
      Session->start();
    }
    Self->accept();
  });
}

void PeerServer::Impl::shutdown() {
  m_Stopped = true;
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  const auto Sessions = m_Sessions;
  for (const auto &Session : Sessions)
    Session->close(PeerErrorCode::ConnectionLost);
}

PeerServer::PeerServer(asio::io_context &Io, TimerService &Timers, PeerKey Key,
                       VmId Self, PeerLimits Limits)
    : m_Impl(std::make_shared<Impl>(Io, Timers, Key, std::move(Self), Limits)) {
}

PeerServer::~PeerServer() { m_Impl->shutdown(); }

Result<Done, NetError> PeerServer::listen(const std::string &Ip,
                                          std::uint16_t Port) {
  boost::system::error_code Error;
  const auto MakeError = [&](NetErrorCode Code) {
    return NetError{Code, Ip, Port, Error};
  };
  const auto Address = asio::ip::make_address(Ip, Error);
  if (Error)
    return MakeError(NetErrorCode::BadAddress);
  const tcp::endpoint Local(Address, Port);
  tcp::acceptor &Acceptor = m_Impl->m_Acceptor;
  Acceptor.open(Local.protocol(), Error);
  if (Error)
    return MakeError(NetErrorCode::OpenFailed);
  Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  Acceptor.bind(Local, Error);
  if (Error) {
    const NetError Failure = MakeError(NetErrorCode::BindFailed);
    Acceptor.close(Error);
    return Failure;
  }
  Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error) {
    const NetError Failure = MakeError(NetErrorCode::ListenFailed);
    Acceptor.close(Error);
    return Failure;
  }
  m_Impl->accept();
  return Done{};
}

std::uint16_t PeerServer::port() const {
  boost::system::error_code Error;
  return m_Impl->m_Acceptor.local_endpoint(Error).port();
}

void PeerServer::handle(std::string Path, Handler Fn) {
  m_Impl->m_Handlers.insert_or_assign(std::move(Path), std::move(Fn));
}

std::size_t PeerServer::connections() const {
  return m_Impl->m_Sessions.size();
}

std::size_t PeerServer::unsentBytes() const {
  std::size_t Bytes = 0;
  for (const auto &Session : m_Impl->m_Sessions)
    Bytes += Session->unsentBytes();
  return Bytes;
}

} // namespace ragwortdrift
