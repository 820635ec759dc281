#include "peer_output.hpp"

#include <algorithm>

namespace ragwortdrift::detail {

namespace {

/// Parts up to this size are copied: a shared part costs about 60 bytes and an
/// element of the vectored write.
constexpr std::size_t MaxCopiedBytes = 1024;
/// Memory that an empty buffer keeps, so that small messages do not allocate.
constexpr std::size_t MaxIdleBytes = 2048;

} // namespace

void OutputBuffer::append(std::string_view Bytes) {
  if (!m_Pieces.empty() && !m_Pieces.back().m_Body)
    m_Pieces.back().m_Size += Bytes.size();
  else
    m_Pieces.push_back({nullptr, m_Copies.size(), Bytes.size()});
  m_Copies.append(Bytes);
  m_Size += Bytes.size();
}

void OutputBuffer::append(const SharedMessage &Body, std::size_t Offset,
                          std::size_t Size) {
  if (Size <= MaxCopiedBytes)
    return append(std::string_view(*Body).substr(Offset, Size));
  m_Pieces.push_back({Body, Offset, Size});
  m_Size += Size;
}

std::vector<boost::asio::const_buffer> OutputBuffer::buffers() const {
  std::vector<boost::asio::const_buffer> Buffers;
  Buffers.reserve(m_Pieces.size());
  for (const Piece &Part : m_Pieces) {
    const std::string &Source = Part.m_Body ? *Part.m_Body : m_Copies;
    Buffers.emplace_back(Source.data() + Part.m_Offset, Part.m_Size);
  }
  return Buffers;
}

void OutputBuffer::clear() {
  m_Size = 0;
  m_Copies.clear();
  m_Pieces.clear();
  if (m_Copies.capacity() > MaxIdleBytes)
    m_Copies.shrink_to_fit();
  if (m_Pieces.capacity() * sizeof(Piece) > MaxIdleBytes)
    m_Pieces.shrink_to_fit();
}

void RecordQueue::push(const PeerRecordHeader &Header, SharedMessage Body) {
  m_Size += Header.size() + Body->size();
  m_Records.push_back({Header, std::move(Body)});
}

void RecordQueue::moveTo(OutputBuffer &Target, std::size_t Length) {
  m_Size -= Length;
  while (Length != 0) {
    Record &First = m_Records.front();
    const std::size_t HeaderSize = First.m_Header.size();
    std::size_t Size = 0;
    if (First.m_Offset < HeaderSize) {
      Size = std::min(Length, HeaderSize - First.m_Offset);
      Target.append(
          std::string_view(First.m_Header.data() + First.m_Offset, Size));
    } else {
      const std::size_t BodyOffset = First.m_Offset - HeaderSize;
      Size = std::min(Length, First.m_Body->size() - BodyOffset);
      Target.append(First.m_Body, BodyOffset, Size);
    }
    First.m_Offset += Size;
    Length -= Size;
    if (First.m_Offset == HeaderSize + First.m_Body->size())
      m_Records.pop_front();
  }
}

void RecordQueue::clear() {
  m_Records.clear();
  m_Size = 0;
}

} // namespace ragwortdrift::detail
