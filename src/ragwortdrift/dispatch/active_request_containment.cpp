#include "ragwortdrift/dispatch/active_request.hpp"

#include <algorithm>

namespace ragwortdrift {

bool ActiveRequest::mayStart() const {
  if (m_LeafAnswered)
    return true;
  if (m_IsTrial)
    return false;
  if (m_LostConnections == 0)
    return true;
  return m_Route.m_Kind != RouteKind::Search &&
         m_Owner.m_Suspects.verdict(fingerprintOf(m_RequestTemplate),
                                    timers().now()) == CrashVerdict::Clear;
}

void ActiveRequest::startTrial() {
  if (m_Owner.m_Suspects.empty() || m_AvailableIn)
    return;
  const RequestFingerprint Fingerprint = fingerprintOf(m_RequestTemplate);
  m_IsTrial = m_Owner.m_Suspects.verdict(Fingerprint, timers().now()) ==
              CrashVerdict::Suspect;
  if (m_IsTrial)
    m_Owner.m_Trials.insert(Fingerprint);
}

void ActiveRequest::endTrial() {
  if (m_IsTrial)
    m_Owner.m_Trials.erase(fingerprintOf(m_RequestTemplate));
}

void ActiveRequest::onConnectionLost(const std::shared_ptr<LeafView> &Leaf) {
  if (m_LeafAnswered)
    return;
  m_Owner.checkCrash(Leaf, [Self = shared_from_this(), Listed = Leaf->listed(),
                            IsTrial = m_IsTrial] {
    // An answer of another leaf shows that the crash had another cause.
    if (!Self->m_LeafAnswered)
      Self->m_Owner.onRequestCrashedLeaf(fingerprintOf(Self->m_RequestTemplate),
                                         Listed, IsTrial);
  });
  ++m_LostConnections;
}

bool ActiveRequest::mayHedge() const {
  // Leafs that get a request which crashes them end even if it is cancelled.
  // One hedge tells whether only the first leafs are late.
  return m_LeafAnswered || m_Route.m_Kind != RouteKind::Search || m_Hedges == 0;
}

void ActiveRequest::onLeafAnswered() {
  if (std::exchange(m_LeafAnswered, true))
    return;
  if (!m_Owner.m_Suspects.empty())
    m_Owner.onRequestAnswered(fingerprintOf(m_RequestTemplate));
  endTrial();
  if (m_Route.m_Kind != RouteKind::Search)
    return;
  for (std::size_t I = 0; I < m_SubRequests.size(); ++I) {
    SubRequest &Sub = m_SubRequests[I];
    if (!Sub.isOpen() || Sub.m_RetryAt)
      continue;
    if (!hasOpenAttempt(Sub))
      retryOrFail(I);
    else if (!Sub.m_HedgeAt)
      Sub.m_HedgeAt = timers().now();
  }
}

void ActiveRequest::resumeOrFailContained() {
  const bool HasOpenAttempt =
      std::any_of(m_SubRequests.begin(), m_SubRequests.end(),
                  [&](const SubRequest &Item) { return hasOpenAttempt(Item); });
  if (mayStart() || HasOpenAttempt || m_AvailableIn)
    return;
  // Leafs may have lost connections for another reason, so a search is sent
  // once more, to a single leaf.
  bool MayResume = m_LostConnections == 0;
  if (!m_IsTrial && m_Route.m_Kind == RouteKind::Search) {
    if (!m_LossesBeforeResume)
      m_LossesBeforeResume = m_LostConnections;
    MayResume = m_LostConnections == *m_LossesBeforeResume;
  }
  // Trials start with different shards, so that they do not all crash leafs of
  // the same one.
  const std::size_t First = m_Owner.m_Engine() % m_SubRequests.size();
  for (std::size_t N = 0; N < m_SubRequests.size(); ++N) {
    const std::size_t I = (First + N) % m_SubRequests.size();
    SubRequest &Sub = m_SubRequests[I];
    if (!Sub.isOpen())
      continue;
    if (MayResume && canRetry(Sub)) {
      if (!Sub.m_RetryAt)
        send(I);
      if (Sub.isOpen())
        return;
    }
    Sub.m_Failed = true;
  }
}

} // namespace ragwortdrift
