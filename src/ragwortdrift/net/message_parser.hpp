#ifndef RAGWORTDRIFT_NET_MESSAGE_PARSER_HPP
#define RAGWORTDRIFT_NET_MESSAGE_PARSER_HPP

#include "message_framing.hpp"
#include "ragwortdrift/net/hop_by_hop.hpp"
#include "ragwortdrift/net/http_types.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <optional>

namespace ragwortdrift {

/// Limits on the size of one HTTP message.
struct MessageLimits {
  std::uint32_t m_MaxHeaderBytes = 0;
  std::uint64_t m_MaxBodyBytes = 0;
};

/// Beast's parser with a check of the framing and room for fields that its
/// container does not hold. It keeps those of requests, except fields that
/// frame or route the message, and reports header_limit for all others.
template <bool IsRequest>
class FieldParser
    : public boost::beast::http::parser<IsRequest,
                                        boost::beast::http::string_body> {
public:
  std::vector<LargeField> releaseLargeFields() {
    return std::move(m_LargeFields);
  }

private:
  void on_field_impl(boost::beast::http::field Id,
                     boost::beast::string_view Name,
                     boost::beast::string_view Value,
                     boost::beast::error_code &Error) override {
    if (Name.size() <= MaxFieldBytes && Value.size() <= MaxFieldBytes) {
      this->get().insert(Id, Name, Value);
      return;
    }
    if (!IsRequest || isHopByHop(Id) || Id == boost::beast::http::field::host) {
      Error = boost::beast::http::error::header_limit;
      return;
    }
    m_LargeFields.push_back({std::string(Name), std::string(Value)});
  }

  void on_header_impl(boost::beast::error_code &Error) override {
    Error = checkFraming(this->get().base(), this->chunked());
  }

  std::vector<LargeField> m_LargeFields;
};

/// Parses the HTTP messages of one connection, one after the other, from the
/// bytes that are received. Besides the header and the body it bounds the bytes
/// that belong to neither: chunk extensions, trailers and interim responses.
/// Beast's parser alone takes those without a limit.
template <bool IsRequest> class MessageParser {
public:
  using Parser = FieldParser<IsRequest>;
  using ErrorCode = boost::beast::error_code;

  /// Begins the next message. Bytes that have arrived behind the previous one
  /// are kept. IsBodiless is true for the response to HEAD, which ends with its
  /// header whatever length that states.
  void begin(const MessageLimits &Limits, bool IsBodiless = false) {
    m_Limits = Limits;
    m_IsBodiless = IsBodiless;
    m_BytesParsed = 0;
    m_ReceiveBytes = MinReceiveBytes;
    // A header, a chunk header or a trailer is buffered until it is complete.
    m_Buffer.max_size(m_Buffer.size() + Limits.m_MaxHeaderBytes +
                      MinReceiveBytes);
    restart();
  }

  /// Returns space for bytes that are received.
  boost::asio::mutable_buffer prepare() {
    return m_Buffer.prepare(std::min<std::size_t>(
        m_ReceiveBytes, m_Buffer.max_size() - m_Buffer.size()));
  }

  void commit(std::size_t Size) {
    m_Buffer.commit(Size);
    // Most messages are small, and the buffer keeps its size while the
    // connection is idle.
    if (Size == m_ReceiveBytes)
      m_ReceiveBytes = std::min(2 * m_ReceiveBytes, MaxReceiveBytes);
  }

  /// Parses the bytes that have arrived, up to the end of the message.
  ErrorCode parse() {
    m_Parser->eager(true);
    while (m_Buffer.size() > 0 && !m_Parser->is_done()) {
      ErrorCode Error;
      const std::size_t Size = m_Parser->put(m_Buffer.data(), Error);
      m_Buffer.consume(Size);
      m_BytesParsed += Size;
      if (Error && Error != boost::beast::http::error::need_more)
        return Error;
      if (m_Parser->is_header_done() && !hasValidStatus())
        return boost::beast::http::error::bad_status;
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

  /// Frees the incomplete message.
  void discard() { m_Parser.emplace(); }
  bool isDone() const { return m_Parser->is_done(); }
  auto release() {
    if constexpr (IsRequest) {
      HttpRequest Request(m_Parser->release());
      Request.m_LargeFields = m_Parser->releaseLargeFields();
      return Request;
    } else {
      return m_Parser->release();
    }
  }
  /// Bytes that have arrived and are not parsed yet.
  std::size_t unparsedBytes() const { return m_Buffer.size(); }
  /// Upper bound of the memory that the current message takes.
  std::size_t heldBytes() const { return m_BytesParsed + m_Buffer.size(); }
  /// Memory that the current message takes. Includes the room that is reserved
  /// for the announced length of its body, or by the growth of the body.
  std::size_t allocatedBytes() const {
    const std::string &Body = m_Parser->get().body();
    return heldBytes() + Body.capacity() - Body.size();
  }

protected:
  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  MessageLimits m_Limits;

private:
  /// Bytes that are received at once; most messages of this system fit.
  static constexpr std::size_t MinReceiveBytes = 1024;
  static constexpr std::size_t MaxReceiveBytes = 16'384;
  /// Bytes on the wire for each byte of a body that is sent in chunks. A chunk
  /// of one byte takes six.
  static constexpr std::uint64_t MaxChunkedBytesPerBodyByte = 8;

  void restart() {
    m_Parser.emplace();
    m_Parser->header_limit(m_Limits.m_MaxHeaderBytes);
    m_Parser->body_limit(m_Limits.m_MaxBodyBytes);
    m_Parser->skip(m_IsBodiless);
  }

  /// Returns true if most of the message is neither header nor body.
  bool isOverhead() const {
    return m_BytesParsed >
           std::uint64_t{2} * m_Limits.m_MaxHeaderBytes +
               MaxChunkedBytesPerBodyByte * m_Parser->get().body().size();
  }

  /// RFC 9110, section 15: codes outside 100 to 599 are invalid, and 101
  /// answers a request for an upgrade, which is never sent.
  bool hasValidStatus() const {
    if constexpr (IsRequest)
      return true;
    else
      return m_Parser->get().result_int() >= 100 &&
             m_Parser->get().result_int() <= 599 &&
             m_Parser->get().result() !=
                 boost::beast::http::status::switching_protocols;
  }

  bool isInterimResponse() const {
    if constexpr (IsRequest)
      return false;
    else
      return m_Parser->is_done() && m_Parser->get().result_int() / 100 == 1;
  }

  bool m_IsBodiless = false;
  std::uint64_t m_BytesParsed = 0;
  std::size_t m_ReceiveBytes = MinReceiveBytes;
};

} // namespace ragwortdrift

#endif
