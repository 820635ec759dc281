#ifndef RAGWORTDRIFT_NET_PEER_OUTPUT_HPP
#define RAGWORTDRIFT_NET_PEER_OUTPUT_HPP

#include "ragwortdrift/net/peer_server.hpp"

#include <boost/asio/buffer.hpp>

#include <list>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift::detail {

/// Bytes that are written to a socket in one operation. Holds copies of small
/// parts and shares the bodies of large messages.
class OutputBuffer {
public:
  void append(std::string_view Bytes);
  /// Appends Size bytes of Body from Offset.
  void append(const SharedMessage &Body, std::size_t Offset, std::size_t Size);
  std::size_t size() const { return m_Size; }
  /// The buffers to write; valid until the next change.
  std::vector<boost::asio::const_buffer> buffers() const;
  /// Also releases the bodies and all memory but some KiB.
  void clear();

private:
  /// Part of Body, or of m_Copies if Body is null.
  struct Piece {
    SharedMessage m_Body;
    std::size_t m_Offset = 0;
    std::size_t m_Size = 0;
  };
  std::string m_Copies;
  std::vector<Piece> m_Pieces;
  std::size_t m_Size = 0;
};

/// Records of one stream that are queued for sending.
class RecordQueue {
public:
  void push(const PeerRecordHeader &Header, SharedMessage Body);
  /// Bytes of the queued records, with their headers.
  std::size_t size() const { return m_Size; }
  bool empty() const { return m_Size == 0; }
  /// Moves the first Length bytes, at most size(), to Target.
  void moveTo(OutputBuffer &Target, std::size_t Length);
  void clear();

private:
  struct Record {
    PeerRecordHeader m_Header;
    SharedMessage m_Body;
    /// Bytes of header and body that were moved.
    std::size_t m_Offset = 0;
  };
  std::list<Record> m_Records;
  std::size_t m_Size = 0;
};

} // namespace ragwortdrift::detail

#endif
