#ifndef RAGWORTDRIFT_NET_REQUEST_READER_HPP
#define RAGWORTDRIFT_NET_REQUEST_READER_HPP

#include "message_parser.hpp"

#include <string_view>

namespace ragwortdrift {

/// Parses the requests of a server connection.
class RequestReader : public MessageParser<true> {
public:
  void begin(const MessageLimits &Limits) {
    m_SearchedBytes = 0;
    MessageParser<true>::begin(Limits);
  }

  /// Returns true if the method of the request has arrived and is HEAD.
  bool isHead() const {
    return m_Parser->get().method() == boost::beast::http::verb::head;
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

private:
  /// Bytes of the buffer in which no end of a header was found.
  std::size_t m_SearchedBytes = 0;
};

} // namespace ragwortdrift

#endif
