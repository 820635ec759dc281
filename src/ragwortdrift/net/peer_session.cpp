#include "ragwortdrift/net/peer_session.hpp"

#include "ragwortdrift/net/handler_guard.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>

namespace ragwortdrift::detail {

namespace asio = boost::asio;

namespace {

/// A write carries at most this and one frame, so that control frames do not
/// wait long.
constexpr std::size_t WriteChunkBytes = std::size_t{64} << 10;
/// A stream's window holds a message of maximum size, so that a message never
/// waits for a window update.
constexpr std::int32_t StreamWindowBytes = (1 << 20) + 65536;
constexpr std::int32_t ConnectionWindowBytes = 4 << 20;
constexpr std::size_t FrameHeaderBytes = 9;
/// Bytes that the kernel takes before the peer's window admits them. By default
/// it takes up to 4 MiB a connection, and they would count as written. 64 KiB
/// keep a link busy until the next write.
constexpr int KernelUnsentBytes = 64 << 10;
constexpr std::size_t ReadChunkBytes = std::size_t{64} << 10;

using UnsentLimit =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

std::string_view asView(const std::uint8_t *Data, std::size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

} // namespace

struct SessionCallbacks {
  static PeerSession &self(void *UserData) {
    return *static_cast<PeerSession *>(UserData);
  }
  static int beginHeaders(nghttp2_session *, const nghttp2_frame *Frame,
                          void *UserData) {
    self(UserData).onHeadersBegin(Frame->hd.stream_id);
    return 0;
  }
  static int header(nghttp2_session *, const nghttp2_frame *Frame,
                    const std::uint8_t *Name, std::size_t NameSize,
                    const std::uint8_t *Value, std::size_t ValueSize,
                    std::uint8_t, void *UserData) {
    self(UserData).onHeader(Frame->hd.stream_id, asView(Name, NameSize),
                            asView(Value, ValueSize));
    return 0;
  }
  static int data(nghttp2_session *, std::uint8_t, std::int32_t Stream,
                  const std::uint8_t *Data, std::size_t Size, void *UserData) {
    self(UserData).onData(Stream, asView(Data, Size));
    return 0;
  }
  static int frameReceived(nghttp2_session *, const nghttp2_frame *Frame,
                           void *UserData) {
    PeerSession &Self = self(UserData);
    if (Frame->hd.type == PeerNonceFrameType)
      Self.onNonce(Self.m_ReceivedNonce);
    else if (Frame->hd.type == NGHTTP2_GOAWAY)
      Self.onGoaway();
    else if ((Frame->hd.type == NGHTTP2_DATA ||
              Frame->hd.type == NGHTTP2_HEADERS) &&
             (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
      Self.onEndStream(Frame->hd.stream_id);
    return 0;
  }
  static int frameSent(nghttp2_session *, const nghttp2_frame *Frame,
                       void *UserData) {
    if (Frame->hd.type == NGHTTP2_HEADERS)
      self(UserData).onHeadersSent(Frame->hd.stream_id);
    return 0;
  }
  static int streamClosed(nghttp2_session *, std::int32_t Stream,
                          std::uint32_t Code, void *UserData) {
    self(UserData).onStreamClosed(Stream, Code);
    return 0;
  }
  static ssize_t packExtension(nghttp2_session *, std::uint8_t *Buffer,
                               std::size_t Length, const nghttp2_frame *Frame,
                               void *) {
    const auto &Nonce = *static_cast<const PeerNonce *>(Frame->ext.payload);
    if (Length < Nonce.size())
      return NGHTTP2_ERR_CANCEL;
    std::ranges::copy(Nonce, Buffer);
    return static_cast<ssize_t>(Nonce.size());
  }
  static int extensionChunk(nghttp2_session *, const nghttp2_frame_hd *,
                            const std::uint8_t *Data, std::size_t Size,
                            void *UserData) {
    std::string &Nonce = self(UserData).m_ReceivedNonce;
    // One excess byte is kept so that onNonce() detects an oversized payload.
    Nonce.append(asView(
        Data, std::min(Size, std::tuple_size_v<PeerNonce> + 1 -
                                 std::min(Nonce.size(),
                                          std::tuple_size_v<PeerNonce> + 1))));
    return 0;
  }
  static int unpackExtension(nghttp2_session *, void **Payload,
                             const nghttp2_frame_hd *, void *) {
    *Payload = nullptr;
    return 0;
  }
  static ssize_t readBody(nghttp2_session *, std::int32_t Stream,
                          std::uint8_t *, std::size_t Length,
                          std::uint32_t *Flags, nghttp2_data_source *,
                          void *UserData) {
    bool Eof = false;
    const ssize_t Size = self(UserData).availableBody(Stream, Length, Eof);
    *Flags |= NGHTTP2_DATA_FLAG_NO_COPY;
    if (Eof)
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
    return Size;
  }
  static int sendData(nghttp2_session *, nghttp2_frame *Frame,
                      const std::uint8_t *Header, std::size_t Length,
                      nghttp2_data_source *, void *UserData) {
    PeerSession &Self = self(UserData);
    Self.m_Output.append(asView(Header, FrameHeaderBytes));
    Self.takeBody(Frame->hd.stream_id, Self.m_Output, Length);
    return Self.m_Output.size() < WriteChunkBytes ? 0 : NGHTTP2_ERR_PAUSE;
  }

  static nghttp2_session *make(PeerSession &Self, PeerSession::Role LocalRole) {
    nghttp2_session_callbacks *Callbacks = nullptr;
    nghttp2_session_callbacks_new(&Callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(Callbacks,
                                                            beginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(Callbacks, header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks, data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks,
                                                         frameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(Callbacks, frameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks,
                                                           streamClosed);
    nghttp2_session_callbacks_set_pack_extension_callback(Callbacks,
                                                          packExtension);
    nghttp2_session_callbacks_set_on_extension_chunk_recv_callback(
        Callbacks, extensionChunk);
    nghttp2_session_callbacks_set_unpack_extension_callback(Callbacks,
                                                            unpackExtension);
    nghttp2_session_callbacks_set_send_data_callback(Callbacks, sendData);
    nghttp2_option *Options = nullptr;
    nghttp2_option_new(&Options);
    if (LocalRole == PeerSession::Role::Client)
      nghttp2_option_set_user_recv_extension_type(Options, PeerNonceFrameType);
    nghttp2_option_set_max_send_header_block_length(Options, 16384);
    nghttp2_session *Session = nullptr;
    if (LocalRole == PeerSession::Role::Server)
      nghttp2_session_server_new2(&Session, Callbacks, &Self, Options);
    else
      nghttp2_session_client_new2(&Session, Callbacks, &Self, Options);
    nghttp2_option_del(Options);
    nghttp2_session_callbacks_del(Callbacks);
    return Session;
  }
};

PeerSession::PeerSession(asio::ip::tcp::socket Socket, TimerService &Timers,
                         Role LocalRole, PeerLimits Limits)
    : m_Socket(std::move(Socket)), m_Timers(Timers), m_Limits(Limits),
      m_Session(SessionCallbacks::make(*this, LocalRole)) {
  const std::array Settings{
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                             LocalRole == Role::Server ? Limits.m_MaxStreams
                                                       : 0},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                             StreamWindowBytes},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0}};
  // A server may not send ENABLE_PUSH other than 0; a client disables it.
  nghttp2_submit_settings(m_Session.get(), NGHTTP2_FLAG_NONE, Settings.data(),
                          Settings.size());
  nghttp2_session_set_local_window_size(m_Session.get(), NGHTTP2_FLAG_NONE, 0,
                                        ConnectionWindowBytes);
}

void PeerSession::startIo() {
  boost::system::error_code Ignored;
  m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  m_Socket.non_blocking(true, Ignored);
  // Without the option, only the bound on the kernel's memory is lost.
  m_Socket.set_option(UnsentLimit(KernelUnsentBytes), Ignored);
  m_LastReceived = m_Timers.now();
  m_Tick = m_Timers.every(PeerPingInterval, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->tick();
  });
  read();
  scheduleWrite();
}

void PeerSession::close(PeerErrorCode Reason) {
  if (m_Closed)
    return;
  const auto Self = shared_from_this();
  m_Closed = true;
  m_Tick.reset();
  boost::system::error_code Ignored;
  m_Socket.close(Ignored);
  onClosed(Reason);
}

void PeerSession::tick() {
  if (m_Timers.now() - m_LastReceived >= PeerReceiveTimeout) {
    // After a stall of this process, received bytes may be unread in the
    // socket.
    boost::system::error_code Error;
    if (m_Socket.available(Error) == 0 || Error)
      return close(PeerErrorCode::UnresponsiveConnection);
  }
  onTick();
}

void PeerSession::read() {
  // Waits without a buffer: most connections are idle most of the time.
  m_Socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (Self->m_Closed)
          return;
        if (Error)
          return Self->close(PeerErrorCode::ConnectionLost);
        Self->readAvailable();
        if (!Self->m_Closed)
          Self->read();
      });
}

void PeerSession::readAvailable() {
  std::array<std::uint8_t, ReadChunkBytes> Buffer;
  boost::system::error_code Error;
  const std::size_t Size = m_Socket.read_some(asio::buffer(Buffer), Error);
  if (Error == asio::error::would_block)
    return;
  if (Error)
    return close(PeerErrorCode::ConnectionLost);
  m_LastReceived = m_Timers.now();
  const ssize_t Consumed =
      nghttp2_session_mem_recv(m_Session.get(), Buffer.data(), Size);
  runEvents();
  if (m_Closed)
    return;
  if (Consumed < 0)
    return close(PeerErrorCode::Protocol);
  writePending();
}

void PeerSession::scheduleWrite() {
  if (m_WriteScheduled || m_Closed)
    return;
  m_WriteScheduled = true;
  asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
    Self->m_WriteScheduled = false;
    Self->writePending();
  });
}

void PeerSession::writePending() {
  if (m_Writing || m_Closed)
    return;
  while (m_Output.size() < WriteChunkBytes) {
    const std::uint8_t *Data = nullptr;
    const ssize_t Size = nghttp2_session_mem_send(m_Session.get(), &Data);
    if (Size < 0)
      return close(PeerErrorCode::Protocol);
    if (Size == 0)
      break;
    m_Output.append(asView(Data, static_cast<std::size_t>(Size)));
  }
  runEvents();
  if (m_Closed)
    return;
  if (m_Output.size() == 0) {
    // nghttp2 has terminated the session, for example after a protocol error.
    if (nghttp2_session_want_read(m_Session.get()) == 0 &&
        nghttp2_session_want_write(m_Session.get()) == 0)
      close(PeerErrorCode::Protocol);
    return;
  }
  m_Writing = true;
  asio::async_write(m_Socket, m_Output.buffers(),
                    [Self = shared_from_this()](boost::system::error_code Error,
                                                std::size_t) {
                      Self->m_Writing = false;
                      Self->m_Output.clear();
                      if (Self->m_Closed)
                        return;
                      if (Error)
                        return Self->close(PeerErrorCode::ConnectionLost);
                      Self->onWritten();
                      Self->runEvents();
                      Self->writePending();
                    });
}

void PeerSession::runEvents() {
  if (m_RunningEvents)
    return;
  m_RunningEvents = true;
  while (!m_Events.empty()) {
    const auto Event = std::move(m_Events.front());
    m_Events.pop_front();
    runGuarded(m_Socket, Event, [this] { close(PeerErrorCode::Protocol); });
  }
  m_RunningEvents = false;
}

void PeerSession::resetStream(std::int32_t Stream, std::uint32_t Code) {
  if (m_Closed)
    return;
  nghttp2_submit_rst_stream(m_Session.get(), NGHTTP2_FLAG_NONE, Stream, Code);
  scheduleWrite();
}

nghttp2_data_provider PeerSession::bodyProvider() {
  nghttp2_data_provider Provider{};
  Provider.read_callback = SessionCallbacks::readBody;
  return Provider;
}

nghttp2_nv makeHeader(std::string_view Name, std::string_view Value) {
  // nghttp2 copies both without modifying them; its type is not const.
  return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data())),
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data())),
          Name.size(), Value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace ragwortdrift::detail
