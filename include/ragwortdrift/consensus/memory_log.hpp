#ifndef RAGWORTDRIFT_CONSENSUS_MEMORY_LOG_HPP
#define RAGWORTDRIFT_CONSENSUS_MEMORY_LOG_HPP

#include "ragwortdrift/consensus/raft_types.hpp"

#include <deque>

namespace ragwortdrift {

/// The entries of the log that are held in memory, after a base that was
/// compacted away.
class MemoryLog {
public:
  LogIndex baseIndex() const { return m_BaseIndex; }
  LogIndex lastIndex() const { return m_BaseIndex + m_Entries.size(); }
  LogTerm lastTerm() const {
    return m_Entries.empty() ? m_BaseTerm : m_Entries.back().m_Term;
  }
  /// The term of an entry or of the base; nothing when Index is outside.
  std::optional<LogTerm> termAt(LogIndex Index) const;
  /// Index must lie after the base and not after the last entry.
  const LogEntry &at(LogIndex Index) const {
    return m_Entries[Index - m_BaseIndex - 1];
  }
  /// The first index held, from the base on, of the term of Index.
  LogIndex firstIndexOfSameTerm(LogIndex Index) const;
  /// The last index with a term of at most Term, not below the base.
  LogIndex lastIndexUpToTerm(LogTerm Term) const;

  void append(LogEntry Entry) { m_Entries.push_back(std::move(Entry)); }
  void truncateFrom(LogIndex Index);
  /// Drops the entries up to Index.
  void compactTo(LogIndex Index);
  /// Drops everything and continues after the given entry.
  void reset(LogIndex Index, LogTerm Term);

private:
  LogIndex m_BaseIndex = 0;
  LogTerm m_BaseTerm = 0;
  std::deque<LogEntry> m_Entries;
};

} // namespace ragwortdrift

#endif
