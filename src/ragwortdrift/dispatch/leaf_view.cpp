#include "ragwortdrift/dispatch/leaf_view.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortdrift {

namespace {

/// Weight of the newest answer in the means. A slow leaf shows in about five
/// answers.
constexpr double NewestWeight = 0.2;
/// Time in which an estimate loses most of its distance to neutral, so that a
/// leaf that was slow is asked again. Slow phases last several seconds.
constexpr double FadeSeconds = 3;
/// Bounds the effect of one answer on the mean, in medians of its route.
constexpr double MaxSlowness = 20;
/// A silent leaf counts as this slow, in medians: a pause lasts about as long.
constexpr double SilenceSlowness = 10;
/// Cost in medians of a leaf that fails every request; one that fails a tenth
/// is as good as one with a request more in work.
constexpr double FailureCost = 10;
/// Cost in medians of a leaf with an overdue request, above that of any slow
/// leaf: it may answer nothing until its pause ends.
constexpr double OverdueCost = 20;
/// Cost in medians of another failure domain, for the bytes between domains and
/// the longer way; below that of a request more in work.
constexpr double OtherDomainCost = 0.4;
/// Cost in medians of a request waiting for each slot: it runs first.
constexpr double QueueCost = 1;
/// A connection to a leaf that this VM does not use may be one too many for the
/// leaf; still better than one that refuses a third of its requests.
constexpr double UnusedCost = 3;
/// Estimates of a leaf come each 250 ms while it is slow or fails; after a gap
/// of this length the next one begins a new spell, which is logged.
constexpr std::chrono::seconds SpellGap{1};
/// Leafs whose costs differ by less are equally good.
constexpr double EqualCost = 0.15;

/// Value after it has faded towards Neutral for Age.
double faded(double Value, double Neutral, Duration Age) {
  return Neutral +
         (Value - Neutral) * std::exp(-toMillis(Age) / 1000 / FadeSeconds);
}

} // namespace

LeafBar LeafView::bar(TimePoint Now) const {
  if (m_Listed.m_State == ListedState::Draining)
    return LeafBar::Draining;
  if (m_DomainOut)
    return LeafBar::DomainOut;
  if (!m_Verified)
    return LeafBar::Unverified;
  if (Now < m_ColdUntil)
    return LeafBar::Cold;
  return LeafBar::None;
}

bool LeafView::update(const ListedLeaf &Listed, TimePoint Now) {
  const bool Restarted = Listed.m_StartedAt != m_Listed.m_StartedAt ||
                         Listed.m_Address != m_Listed.m_Address;
  m_Listed = Listed;
  if (Listed.m_ColdFor > Duration{0})
    setColdFor(Now, Listed.m_ColdFor);
  return Restarted;
}

void LeafView::setColdFor(TimePoint Now, Duration Left) {
  m_ColdUntil = std::max(m_ColdUntil, Now + Left);
}

void LeafView::onEnded(bool WasOverdue) {
  --m_Open;
  if (WasOverdue)
    --m_Overdue;
}

double LeafView::slowness(TimePoint Now) const {
  const double Own = faded(m_Slowness, 1, Now - m_HeardAt);
  return m_CommonAt
             ? std::max(Own, faded(m_CommonSlowness, 1, Now - *m_CommonAt))
             : Own;
}

double LeafView::failures(TimePoint Now) const {
  const double Own = faded(m_Failures, 0, Now - m_HeardAt);
  return m_CommonAt
             ? std::max(Own, faded(m_CommonFailures, 0, Now - *m_CommonAt))
             : Own;
}

void LeafView::settle(TimePoint Now) {
  m_Slowness = faded(m_Slowness, 1, Now - m_HeardAt);
  m_Failures = faded(m_Failures, 0, Now - m_HeardAt);
  m_HeardAt = Now;
}

bool LeafView::setEstimate(TimePoint Now, double Slowness, double Failures) {
  const bool IsNews = !m_CommonAt || Now - *m_CommonAt > SpellGap;
  m_CommonSlowness = std::min(Slowness, MaxSlowness);
  m_CommonFailures = Failures;
  m_CommonAt = Now;
  return IsNews;
}

double LeafView::onAnswer(TimePoint Now, double RelativeLatency) {
  settle(Now);
  const double Bounded = std::min(RelativeLatency, MaxSlowness);
  m_Slowness += NewestWeight * (Bounded - m_Slowness);
  m_Failures -= NewestWeight * m_Failures;
  return Bounded;
}

void LeafView::onFailure(TimePoint Now) {
  settle(Now);
  m_Failures += NewestWeight * (1 - m_Failures);
}

void LeafView::onSilence(TimePoint Now) {
  settle(Now);
  m_Slowness = std::max(m_Slowness, SilenceSlowness);
}

double LeafView::cost(TimePoint Now, const FailureDomain &Own) const {
  return slowness(Now) * (1 + m_Open) + FailureCost * failures(Now) +
         QueueCost * m_Queue + (m_Overdue > 0 ? OverdueCost : 0) +
         (m_Listed.m_Domain == Own ? 0 : OtherDomainCost);
}

LeafDirectory::Changed LeafDirectory::setList(const LeafList &List,
                                              TimePoint Now) {
  Changed ToVerify;
  std::map<LeafId, std::shared_ptr<LeafView>> Next;
  m_Services.clear();
  for (const ListedLeaf &Listed : List) {
    std::shared_ptr<LeafView> View;
    const auto Known = m_Leafs.find(Listed.m_Id);
    if (Known != m_Leafs.end()) {
      View = Known->second;
      if (View->update(Listed, Now))
        ToVerify.push_back(View);
    } else {
      View = std::make_shared<LeafView>(Listed);
      View->update(Listed, Now);
      View->setDomainOut(m_DomainsOut.contains(Listed.m_Domain));
    }
    if (Next.emplace(Listed.m_Id, View).second)
      m_Services[Listed.m_Service].push_back(View);
  }
  for (const auto &[Id, View] : m_Leafs)
    if (!Next.contains(Id))
      View->setGone();
  m_Leafs = std::move(Next);
  return ToVerify;
}

LeafDirectory::Changed
LeafDirectory::setDomainsOut(const std::set<FailureDomain> &Out) {
  Changed ToVerify;
  for (const auto &[Id, View] : m_Leafs) {
    const bool IsOut = Out.contains(View->listed().m_Domain);
    if (View->domainOut() && !IsOut)
      ToVerify.push_back(View);
    View->setDomainOut(IsOut);
  }
  m_DomainsOut = Out;
  return ToVerify;
}

std::size_t LeafDirectory::leafCount(const ServiceName &Service) const {
  const auto Leafs = m_Services.find(Service);
  return Leafs == m_Services.end() ? 0 : Leafs->second.size();
}

void LeafDirectory::limitUse(const ServiceName &Service, std::size_t Count,
                             const VmId &Self, const FailureDomain &Own) {
  const auto Leafs = m_Services.find(Service);
  if (Leafs == m_Services.end())
    return;
  const auto Rank = [&](const std::shared_ptr<LeafView> &View) {
    const ListedLeaf &Listed = View->listed();
    return std::pair(Listed.m_Domain != Own,
                     stableHash(Self.m_Value, stableHash(Listed.m_Id.m_Value)));
  };
  auto Ordered = Leafs->second;
  std::sort(Ordered.begin(), Ordered.end(),
            [&](const auto &A, const auto &B) { return Rank(A) < Rank(B); });
  for (std::size_t I = 0; I < Ordered.size(); ++I)
    Ordered[I]->setUsed(I < Count);
}

std::shared_ptr<LeafView>
LeafDirectory::choose(const ServiceName &Service, TimePoint Now,
                      const FailureDomain &Own,
                      const std::vector<std::shared_ptr<LeafView>> &Excluded,
                      std::mt19937_64 &Engine) const {
  const auto Leafs = m_Services.find(Service);
  if (Leafs == m_Services.end())
    return nullptr;
  std::shared_ptr<LeafView> Best;
  double BestCost = 0;
  std::size_t Equal = 0;
  for (const auto &View : Leafs->second) {
    if (View->bar(Now) != LeafBar::None ||
        std::find(Excluded.begin(), Excluded.end(), View) != Excluded.end())
      continue;
    const double Cost = View->cost(Now, Own) + (View->used() ? 0 : UnusedCost);
    if (!Best || Cost < BestCost - EqualCost) {
      Best = View;
      BestCost = Cost;
      Equal = 1;
    } else if (Cost < BestCost + EqualCost && Engine() % ++Equal == 0) {
      Best = View;
      BestCost = std::min(BestCost, Cost);
    }
  }
  return Best;
}

bool LeafDirectory::hasUsable(const ServiceName &Service, TimePoint Now) const {
  const auto Leafs = m_Services.find(Service);
  return Leafs != m_Services.end() &&
         std::any_of(
             Leafs->second.begin(), Leafs->second.end(),
             [&](const auto &View) { return View->bar(Now) == LeafBar::None; });
}

std::shared_ptr<LeafView> LeafDirectory::find(const LeafId &Id) const {
  const auto Found = m_Leafs.find(Id);
  return Found == m_Leafs.end() ? nullptr : Found->second;
}

} // namespace ragwortdrift
