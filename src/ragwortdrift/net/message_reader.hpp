#ifndef RAGWORTDRIFT_NET_MESSAGE_READER_HPP
#define RAGWORTDRIFT_NET_MESSAGE_READER_HPP

#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <optional>
#include <string_view>

namespace ragwortdrift {

/// Limits on the size of one HTTP message.
struct MessageLimits {
  std::uint32_t m_MaxHeaderBytes = 0;
  std::uint64_t m_MaxBodyBytes = 0;
};

/// Reads the HTTP messages of one connection, one after the other. Besides the
/// header and the body it bounds the bytes that belong to neither: chunk
/// extensions, trailers and interim responses. The parser alone reads those
/// without a limit.
template <bool IsRequest> class MessageReader {
public:
  using Parser =
      boost::beast::http::parser<IsRequest, boost::beast::http::string_body>;
  using ErrorCode = boost::beast::error_code;

  explicit MessageReader(boost::beast::tcp_stream &Stream) : m_Stream(Stream) {}

  /// Begins the next message. Bytes that have arrived behind the previous one
  /// are kept.
  void begin(const MessageLimits &Limits) {
    m_Limits = Limits;
    m_BytesRead = 0;
    m_SearchedBytes = 0;
    m_BodyReceiveBytes = ReceiveBytes;
    // A header, a chunk header or a trailer is buffered until it is complete.
    m_Buffer.max_size(m_Buffer.size() + Limits.m_MaxHeaderBytes + ReceiveBytes);
    restart();
  }

  /// Returns true if the whole header has arrived, or more bytes than a header
  /// may have.
  bool hasHeader() {
    const auto Data = m_Buffer.cdata();
    const std::string_view Bytes(static_cast<const char *>(Data.data()),
                                 Data.size());
    constexpr std::string_view EndOfHeader = "\r\n\r\n";
    const std::size_t Pos = Bytes.find(EndOfHeader, m_SearchedBytes);
    m_SearchedBytes =
        Bytes.size() - std::min(Bytes.size(), EndOfHeader.size() - 1);
    return Pos != std::string_view::npos ||
           Bytes.size() > m_Limits.m_MaxHeaderBytes;
  }

  /// Receives bytes of a header. Completes with `void(ErrorCode)`.
  template <class Handler> void receive(Handler OnReceived) {
    m_Stream.async_read_some(m_Buffer.prepare(ReceiveBytes),
                             [this, OnReceived = std::move(OnReceived)](
                                 ErrorCode Error, std::size_t Size) mutable {
                               m_Buffer.commit(Size);
                               OnReceived(Error);
                             });
  }

  /// Parses a header that has arrived. Completes with `void(ErrorCode)`.
  template <class Handler> void parseHeader(Handler OnParsed) {
    boost::beast::http::async_read_header(
        m_Stream, m_Buffer, *m_Parser,
        [this, OnParsed = std::move(OnParsed)](ErrorCode Error,
                                               std::size_t Size) mutable {
          m_BytesRead += Size;
          OnParsed(Error);
        });
  }

  /// Reads up to the end of the message. Completes with `void(ErrorCode)`, at
  /// once if the message has arrived. OnProgress is called whenever a part of
  /// it has arrived.
  template <class Handler, class ProgressHandler>
  void readMessage(Handler OnRead, ProgressHandler OnProgress) {
    m_Parser->eager(true);
    const ErrorCode Error = parseBuffer();
    if (Error || m_Parser->is_done()) {
      OnRead(Error);
      return;
    }
    OnProgress();
    m_Stream.async_read_some(
        m_Buffer.prepare(std::min<std::size_t>(
            m_BodyReceiveBytes, m_Buffer.max_size() - m_Buffer.size())),
        [this, OnRead = std::move(OnRead), OnProgress = std::move(OnProgress)](
            ErrorCode ReadError, std::size_t Size) mutable {
          m_Buffer.commit(Size);
          // Most bodies are small, and the buffer keeps its size while the
          // connection is idle.
          if (Size == m_BodyReceiveBytes)
            m_BodyReceiveBytes =
                std::min(2 * m_BodyReceiveBytes, MaxBodyReceiveBytes);
          if (ReadError == boost::asio::error::eof)
            ReadError = parseEnd();
          if (ReadError || m_Parser->is_done())
            OnRead(ReadError);
          else
            readMessage(std::move(OnRead), std::move(OnProgress));
        });
  }

  auto release() { return m_Parser->release(); }
  /// Bytes that have arrived and are not parsed yet.
  std::size_t unparsedBytes() const { return m_Buffer.size(); }
  /// Upper bound of the memory that the current message takes.
  std::size_t heldBytes() const { return m_BytesRead + m_Buffer.size(); }

private:
  /// Bytes of a header that are received at once; a request without a body
  /// mostly fits.
  static constexpr std::size_t ReceiveBytes = 1024;
  static constexpr std::size_t MaxBodyReceiveBytes = 16'384;
  /// Bytes on the wire for each byte of a body that is sent in chunks. A chunk
  /// of one byte takes six.
  static constexpr std::uint64_t MaxChunkedBytesPerBodyByte = 8;

  void restart() {
    m_Parser.emplace();
    m_Parser->header_limit(m_Limits.m_MaxHeaderBytes);
    m_Parser->body_limit(m_Limits.m_MaxBodyBytes);
  }

  /// Parses the bytes that have arrived.
  ErrorCode parseBuffer() {
    while (m_Buffer.size() > 0 && !m_Parser->is_done()) {
      ErrorCode Error;
      const std::size_t Size = m_Parser->put(m_Buffer.data(), Error);
      m_Buffer.consume(Size);
      m_BytesRead += Size;
      if (Error && Error != boost::beast::http::error::need_more)
        return Error;
      if (isOverhead() || m_Buffer.size() == m_Buffer.max_size())
        return boost::beast::http::error::buffer_overflow;
      if (isInterimResponse())
        restart();
      else if (Error)
        break;
    }
    return {};
  }

  /// Handles the end of the stream, which completes a response without a
  /// length.
  ErrorCode parseEnd() {
    if (!m_Parser->got_some())
      return boost::beast::http::error::end_of_stream;
    ErrorCode Error;
    m_Parser->put_eof(Error);
    return Error;
  }

  /// Returns true if most of the message is neither header nor body.
  bool isOverhead() const {
    return m_BytesRead >
           std::uint64_t{2} * m_Limits.m_MaxHeaderBytes +
               MaxChunkedBytesPerBodyByte * m_Parser->get().body().size();
  }

  bool isInterimResponse() const {
    if constexpr (IsRequest)
      return false;
    else
      return m_Parser->is_done() && m_Parser->get().result_int() / 100 == 1 &&
             m_Parser->get().result() !=
                 boost::beast::http::status::switching_protocols;
  }

  boost::beast::tcp_stream &m_Stream;
  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  MessageLimits m_Limits;
  std::uint64_t m_BytesRead = 0;
  /// Bytes of a body that are received at once.
  std::size_t m_BodyReceiveBytes = ReceiveBytes;
  /// Bytes of the buffer in which no end of a header was found.
  std::size_t m_SearchedBytes = 0;
};

} // namespace ragwortdrift

#endif
