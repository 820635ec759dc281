#ifndef RAGWORTDRIFT_NET_REQUEST_READER_HPP
#define RAGWORTDRIFT_NET_REQUEST_READER_HPP

#include "message_parser.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>

#include <string_view>

namespace ragwortdrift {

/// Reads the requests of a server connection. Handlers are called with an
/// ErrorCode.
class RequestReader : public MessageParser<true> {
public:
  explicit RequestReader(boost::beast::tcp_stream &Stream) : m_Stream(Stream) {}

  void begin(const MessageLimits &Limits) {
    m_SearchedBytes = 0;
    MessageParser<true>::begin(Limits);
  }

  /// Returns true if the whole header has arrived, or more bytes than a header
  /// may have.
  bool hasHeader() {
    const auto Data = m_Buffer.cdata();
    const std::string_view Bytes(static_cast<const char *>(Data.data()),
                                 Data.size());
    constexpr std::string_view EndOfHeader = "\r\n\r\n";
    const std::size_t Position = Bytes.find(EndOfHeader, m_SearchedBytes);
    m_SearchedBytes =
        Bytes.size() - std::min(Bytes.size(), EndOfHeader.size() - 1);
    return Position != std::string_view::npos ||
           Bytes.size() > m_Limits.m_MaxHeaderBytes;
  }

  /// Receives further bytes.
  template <class Handler> void receive(Handler OnReceived) {
    m_Stream.async_read_some(prepare(),
                             [this, OnReceived = std::move(OnReceived)](
                                 ErrorCode Error, std::size_t Size) mutable {
                               commit(Size);
                               OnReceived(Error);
                             });
  }

  /// Parses a header that has arrived.
  template <class Handler> void parseHeader(Handler OnParsed) {
    boost::beast::http::async_read_header(
        m_Stream, m_Buffer, *m_Parser,
        [this, OnParsed = std::move(OnParsed)](ErrorCode Error,
                                               std::size_t Size) mutable {
          addParsedBytes(Size);
          OnParsed(Error);
        });
  }

  /// Reads up to the end of the message. The handler is called at once if the
  /// message has arrived. OnProgress is called whenever a part of it has
  /// arrived.
  template <class Handler, class ProgressHandler>
  void readMessage(Handler OnRead, ProgressHandler OnProgress) {
    const ErrorCode Error = parse();
    if (Error || isDone()) {
      OnRead(Error);
      return;
    }
    OnProgress();
    receive([this, OnRead = std::move(OnRead),
             OnProgress = std::move(OnProgress)](ErrorCode ReadError) mutable {
      if (ReadError == boost::asio::error::eof)
        ReadError = parseEnd();
      if (ReadError || isDone())
        OnRead(ReadError);
      else
        readMessage(std::move(OnRead), std::move(OnProgress));
    });
  }

private:
  boost::beast::tcp_stream &m_Stream;
  /// Bytes of the buffer in which no end of a header was found.
  std::size_t m_SearchedBytes = 0;
};

} // namespace ragwortdrift

#endif
