#include "ragwortdrift/consensus/memory_log.hpp"

#include <algorithm>

namespace ragwortdrift {

std::optional<LogTerm> MemoryLog::termAt(LogIndex Index) const {
  if (Index < m_BaseIndex || Index > lastIndex())
    return std::nullopt;
  return Index == m_BaseIndex ? m_BaseTerm : at(Index).m_Term;
}

LogIndex MemoryLog::firstIndexOfSameTerm(LogIndex Index) const {
  LogTerm Term = *termAt(Index);
  while (Index > m_BaseIndex + 1 && at(Index - 1).m_Term == Term)
    --Index;
  return Index;
}

LogIndex MemoryLog::lastIndexUpToTerm(LogTerm Term) const {
  auto EndIt = std::partition_point(
      m_Entries.begin(), m_Entries.end(),
      [&](const LogEntry &Entry) { return Entry.m_Term <= Term; });
  return m_BaseIndex + static_cast<LogIndex>(EndIt - m_Entries.begin());
}

void MemoryLog::truncateFrom(LogIndex Index) {
  while (lastIndex() >= Index && !m_Entries.empty()) {
    m_Bytes -= m_Entries.back().m_Bytes.size();
    m_Entries.pop_back();
  }
}

void MemoryLog::compactTo(LogIndex Index) {
  while (m_BaseIndex < Index && !m_Entries.empty()) {
    m_BaseTerm = m_Entries.front().m_Term;
    ++m_BaseIndex;
    m_Bytes -= m_Entries.front().m_Bytes.size();
    m_Entries.pop_front();
  }
}

void MemoryLog::reset(LogIndex Index, LogTerm Term) {
  m_Entries.clear();
  m_Bytes = 0;
  m_BaseIndex = Index;
  m_BaseTerm = Term;
}

} // namespace ragwortdrift
