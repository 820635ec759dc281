#ifndef RAGWORTDRIFT_CONSENSUS_MEMORY_LOG_HPP
#define RAGWORTDRIFT_CONSENSUS_MEMORY_LOG_HPP

#include "ragwortdrift/consensus/raft_types.hpp"

#include <deque>

namespace ragwortdrift {

/// The part of the log that is held in memory: the entries after the base
/// index, up to which the log is compacted.
class MemoryLog {
public:
  LogIndex baseIndex() const { return m_BaseIndex; }
  LogIndex lastIndex() const { return m_BaseIndex + m_Entries.size(); }
  LogTerm lastTerm() const {
    return m_Entries.empty() ? m_BaseTerm : m_Entries.back().m_Term;
  }
  /// Returns the term of an entry or of the base, or nullopt if Index is out of
  /// range.
  std::optional<LogTerm> termAt(LogIndex Index) const;
  /// Requires baseIndex() < Index <= lastIndex().
  const LogEntry &at(LogIndex Index) const {
    return m_Entries[Index - m_BaseIndex - 1];
  }
  /// Returns the first index in memory that has the same term as Index.
  LogIndex firstIndexOfSameTerm(LogIndex Index) const;
  /// Returns the last index whose term is at most Term, or the base index if
  /// there is none.
  LogIndex lastIndexUpToTerm(LogTerm Term) const;

  /// Returns the payload bytes of all entries in memory.
  std::size_t bytes() const { return m_Bytes; }

  void append(LogEntry Entry) {
    m_Bytes += Entry.m_Bytes.size();
    m_Entries.push_back(std::move(Entry));
  }
  void truncateFrom(LogIndex Index);
  /// Drops the entries up to Index.
  void compactTo(LogIndex Index);
  /// Discards all entries and sets the base to the given index and term.
  void reset(LogIndex Index, LogTerm Term);

private:
  LogIndex m_BaseIndex = 0;
  LogTerm m_BaseTerm = 0;
  std::deque<LogEntry> m_Entries;
  std::size_t m_Bytes = 0;
};

} // namespace ragwortdrift

#endif
