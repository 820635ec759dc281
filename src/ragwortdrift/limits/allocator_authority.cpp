#include "ragwortdrift/limits/allocator_authority.hpp"

namespace ragwortdrift {

void AllocatorAuthority::setLedTerm(TimePoint Now,
                                    std::optional<std::uint64_t> Term) {
  if (Term == m_Term)
    return;
  m_Term = Term;
  m_Allocator.reset();
  m_ConfirmedAt.reset();
  m_RoundBegunAt.reset();
  if (Term)
    m_Allocator.emplace(Now);
}

bool AllocatorAuthority::isRoundDue(TimePoint Now) const {
  return m_Term && isUsed(Now) &&
         (!m_RoundBegunAt || Now - *m_RoundBegunAt >= RoundInterval);
}

void AllocatorAuthority::confirm(std::uint64_t Term, TimePoint BegunAt) {
  if (Term == m_Term && (!m_ConfirmedAt || *m_ConfirmedAt < BegunAt))
    m_ConfirmedAt = BegunAt;
}

TokenAllocator *AllocatorAuthority::allocator(TimePoint Now) {
  const bool IsConfirmed = m_ConfirmedAt && Now - *m_ConfirmedAt < Validity;
  return IsConfirmed && m_Allocator ? &*m_Allocator : nullptr;
}

void AllocatorAuthority::evictIdle(TimePoint Now) {
  if (m_Allocator)
    m_Allocator->evictIdle(Now);
}

} // namespace ragwortdrift
