#include "ragwortdrift/dispatch/active_request.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Connections that a search may lose before any answer until all but one of
/// its attempts are abandoned. A single one may be an answer lost by chance.
constexpr unsigned MaxLostConnections = 2;

} // namespace

bool ActiveRequest::mayStart() const {
  return m_Route.m_Kind != RouteKind::Search || m_LeafAnswered ||
         m_LostConnections == 0;
}

void ActiveRequest::onConnectionLost() {
  if (m_LeafAnswered || ++m_LostConnections != MaxLostConnections ||
      m_Route.m_Kind != RouteKind::Search)
    return;
  LeafAttempt *Oldest = nullptr;
  const auto ForEachOpen = [&](auto Visit) {
    for (SubRequest &Sub : m_SubRequests)
      for (LeafAttempt &Attempt : Sub.m_Attempts)
        if (Attempt.m_Outcome == AttemptOutcome::Open)
          Visit(Attempt);
  };
  ForEachOpen([&](LeafAttempt &Attempt) {
    if (!Oldest || Attempt.m_SentAt < Oldest->m_SentAt)
      Oldest = &Attempt;
  });
  ForEachOpen([&](LeafAttempt &Attempt) {
    if (&Attempt != Oldest)
      abandon(Attempt);
  });
  m_Owner.m_Metrics.counter("ragwortdrift_searches_contained_total").add();
  m_Owner.m_Log.write(timers().now(), "request.contained",
                      {{"request", m_RequestId}, {"route", m_Route.m_Name}});
}

void ActiveRequest::onLeafAnswered() {
  if (std::exchange(m_LeafAnswered, true) || m_LostConnections == 0 ||
      m_Route.m_Kind != RouteKind::Search)
    return;
  for (std::size_t I = 0; I < m_SubRequests.size(); ++I) {
    SubRequest &Sub = m_SubRequests[I];
    if (!Sub.isOpen() || Sub.m_RetryAt)
      continue;
    if (!hasOpenAttempt(Sub))
      retryOrFail(I);
    else if (!Sub.m_HedgeAt)
      Sub.m_HedgeAt = timers().now() + m_HedgeDelay;
  }
}

void ActiveRequest::resumeOrFailContained() {
  const bool HasOpenAttempt =
      std::any_of(m_SubRequests.begin(), m_SubRequests.end(),
                  [&](const SubRequest &Item) { return hasOpenAttempt(Item); });
  if (mayStart() || HasOpenAttempt)
    return;
  for (std::size_t I = 0; I < m_SubRequests.size(); ++I) {
    SubRequest &Sub = m_SubRequests[I];
    if (!Sub.isOpen())
      continue;
    if (m_LostConnections < MaxLostConnections && canRetry(Sub)) {
      if (!Sub.m_RetryAt)
        send(I);
      if (Sub.isOpen())
        return;
    }
    Sub.m_Failed = true;
  }
}

} // namespace ragwortdrift
