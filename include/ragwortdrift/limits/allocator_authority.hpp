#ifndef RAGWORTDRIFT_LIMITS_ALLOCATOR_AUTHORITY_HPP
#define RAGWORTDRIFT_LIMITS_ALLOCATOR_AUTHORITY_HPP

#include "ragwortdrift/limits/token_allocator.hpp"

namespace ragwortdrift {

/// The right of a core VM to allocate tokens, and its allocator. Times are
/// those of a clock that also counts while the VM is suspended.
///
/// The VM may grant while a majority confirmed its leadership in a round that
/// began less than Validity ago. A term has one leader, and a round of an older
/// term fails once a majority has voted in a newer one, so a VM that confirms
/// the same term again had no successor in between: it keeps its allocator.
/// With another term it starts anew. A predecessor grants for at most Validity
/// beside its successor.
class AllocatorAuthority {
public:
  /// Time from the start of a confirmed round for which the VM may grant.
  /// Shorter than an election timeout; covers two lost rounds.
  static constexpr std::chrono::milliseconds Validity{250};
  /// Interval of the rounds.
  static constexpr std::chrono::milliseconds RoundInterval{100};
  /// Rounds go on for this long after the last request.
  static constexpr std::chrono::seconds UseTime{10};

  /// Records the term that this VM leads, if it is the leader.
  void setLedTerm(TimePoint Now, std::optional<std::uint64_t> Term);
  /// Records a request, which keeps the limits in use.
  void recordUse(TimePoint Now) { m_UsedAt = Now; }
  bool isUsed(TimePoint Now) const {
    return m_UsedAt && Now - *m_UsedAt < UseTime;
  }
  /// True if this VM leads and should begin a round.
  bool isRoundDue(TimePoint Now) const;
  void beginRound(TimePoint Now) { m_RoundBegunAt = Now; }
  /// Records that a majority confirmed this VM as leader of a term, in a round
  /// that began at a time.
  void confirm(std::uint64_t Term, TimePoint BegunAt);

  /// The allocator, null unless this VM may grant now.
  TokenAllocator *allocator(TimePoint Now);
  /// The allocator of the term that this VM leads, which it may not use now;
  /// null if it does not lead.
  const TokenAllocator *lastAllocator() const {
    return m_Allocator ? &*m_Allocator : nullptr;
  }
  /// Drops what is idle in the allocator. Called periodically.
  void evictIdle(TimePoint Now);

private:
  std::optional<std::uint64_t> m_Term;
  std::optional<TokenAllocator> m_Allocator;
  std::optional<TimePoint> m_ConfirmedAt;
  std::optional<TimePoint> m_RoundBegunAt;
  std::optional<TimePoint> m_UsedAt;
};

} // namespace ragwortdrift

#endif
