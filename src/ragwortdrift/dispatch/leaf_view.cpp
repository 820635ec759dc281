#include "ragwortdrift/dispatch/leaf_view.hpp"

#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/policy/weighted_choice.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortdrift {

namespace {

/// Weight of the newest sample in the exponentially weighted means. A slow leaf
/// shows after about five responses.
constexpr double SmoothingFactor = 0.2;
/// Time constant with which estimates decay towards neutral, so that a leaf
/// that was slow is tried again. Slow phases last several seconds.
constexpr double DecaySeconds = 3;
/// Caps the effect of one response on the mean, in medians of its route.
constexpr double MaxSlowness = 20;
/// Slowness assumed for an unresponsive leaf, in medians: a pause lasts about
/// that long.
constexpr double UnresponsiveSlowness = 10;
/// Cost in medians of a leaf that fails every request. A failure share of one
/// tenth costs as much as one more request in flight.
constexpr double FailureCost = 10;
/// Cost in medians of a leaf with an overdue request, above that of any slow
/// leaf: it may not respond until its pause ends.
constexpr double OverdueCost = 20;
/// Cost in medians of a leaf in another failure domain, for cross-domain
/// traffic and latency; less than that of one more request in flight.
constexpr double OtherDomainCost = 0.4;
/// Cost in medians of a leaf to which a connection must be opened first. Less
/// than that of a leaf in another domain, whose cost is more than latency.
constexpr double ConnectCost = 0.2;
/// Cost in medians of one waiting request per slot, as it is executed first.
constexpr double QueueCost = 1;
/// Cost in medians of a leaf outside this VM's subset. A connection to it may
/// exceed the leaf's limit, but that is better than a leaf that refuses a third
/// of its requests.
constexpr double OutsideSubsetCost = 3;
/// Estimates of a leaf arrive every 250 ms while it is slow or failing. After a
/// gap of this length the next one begins a new episode, which is logged.
constexpr std::chrono::seconds EpisodeGap{1};
/// Time until the next probe of a leaf that has failed one may succeed: half of
/// the longest interval between probes.
constexpr std::chrono::milliseconds NextProbeDelay{300};
/// Time constant with which a stated pace fades: other work on the leaf's
/// machine comes and goes within some tenths of a second.
constexpr double PaceFadeMillis = 400;
/// Share of what a leaf takes well from which its load costs something, and the
/// cost in medians of a load that is higher by the whole of it.
constexpr double CostlyLoad = 0.7;
constexpr double LoadCost = 3;
/// Cost in medians of the pace from which a request goes elsewhere. Below, a
/// kept connection and the local domain are worth more.
constexpr double NotablePaceCost = 0.3;
/// Costs that differ by less than this count as equal.
constexpr double CostTolerance = 0.15;

/// Returns Value after it has decayed towards Neutral for Age.
double decayed(double Value, double Neutral, Duration Age) {
  return Neutral +
         (Value - Neutral) * std::exp(-toMillis(Age) / 1000 / DecaySeconds);
}

} // namespace

LeafExclusion LeafView::exclusion(TimePoint Now) const {
  if (m_Listed.m_State == ListedState::Draining)
    return LeafExclusion::Draining;
  if (m_DomainOut)
    return LeafExclusion::DomainOut;
  if (m_VersionUse == VersionUse::None)
    return LeafExclusion::VersionUnused;
  if (!m_Verified)
    return LeafExclusion::Unverified;
  if (Now < m_WarmUpEnd)
    return LeafExclusion::Cold;
  if (m_VersionUse == VersionUse::Limited)
    return LeafExclusion::VersionLimited;
  return LeafExclusion::None;
}

bool LeafView::update(const ListedLeaf &Listed, TimePoint Now) {
  const bool Restarted = Listed.m_StartedAt != m_Listed.m_StartedAt ||
                         Listed.m_Address != m_Listed.m_Address;
  m_Listed = Listed;
  if (Listed.m_RemainingWarmUp > Duration{0})
    setRemainingWarmUp(Now, Listed.m_RemainingWarmUp);
  return Restarted;
}

void LeafView::setVerified(bool Verified) {
  m_Verified = Verified;
  m_ProbeFailed = false;
}

std::optional<Duration> LeafView::availableIn(TimePoint Now) const {
  switch (exclusion(Now)) {
  case LeafExclusion::None:
    return Duration{0};
  case LeafExclusion::Unverified:
    return m_ProbeFailed ? Duration{NextProbeDelay} : Duration{0};
  case LeafExclusion::Cold:
    return m_WarmUpEnd - Now;
  case LeafExclusion::Draining:
  case LeafExclusion::DomainOut:
  case LeafExclusion::VersionUnused:
  case LeafExclusion::VersionLimited:
    break;
  }
  return std::nullopt;
}

void LeafView::setRemainingWarmUp(TimePoint Now, Duration Remaining) {
  m_WarmUpEnd = std::max(m_WarmUpEnd, Now + Remaining);
}

void LeafView::onAttemptEnded(bool WasOverdue) {
  --m_OpenAttempts;
  if (WasOverdue)
    --m_OverdueAttempts;
}

double LeafView::slowness(TimePoint Now) const {
  const double LocalSlowness = decayed(m_Slowness, 1, Now - m_UpdatedAt);
  return m_FleetUpdatedAt
             ? std::max(LocalSlowness,
                        decayed(m_FleetSlowness, 1, Now - *m_FleetUpdatedAt))
             : LocalSlowness;
}

double LeafView::failureShare(TimePoint Now) const {
  const double LocalShare = decayed(m_FailureShare, 0, Now - m_UpdatedAt);
  return m_FleetUpdatedAt
             ? std::max(LocalShare, decayed(m_FleetFailureShare, 0,
                                            Now - *m_FleetUpdatedAt))
             : LocalShare;
}

void LeafView::decay(TimePoint Now) {
  m_Slowness = decayed(m_Slowness, 1, Now - m_UpdatedAt);
  m_FailureShare = decayed(m_FailureShare, 0, Now - m_UpdatedAt);
  m_UpdatedAt = Now;
}

bool LeafView::setEstimate(TimePoint Now, const LeafEstimate &Estimate) {
  if (Estimate.m_Pace > 0) {
    m_Pace = Estimate.m_Pace;
    m_Load = Estimate.m_Load;
    m_PaceStatedAt = Now;
    m_Speed = std::min<double>(Estimate.m_Slowness, MaxSlowness);
    m_SpeedObservedAt = Now;
    return false;
  }
  const bool IsNewEpisode =
      !m_FleetUpdatedAt || Now - *m_FleetUpdatedAt > EpisodeGap;
  m_FleetSlowness = std::min<double>(Estimate.m_Slowness, MaxSlowness);
  m_FleetFailureShare = Estimate.m_FailureShare;
  m_FleetUpdatedAt = Now;
  return IsNewEpisode;
}

void LeafView::setLoad(TimePoint Now, const LeafLoad &Load) {
  m_WaitingPerSlot = Load.waitingPerSlot();
  if (!Load.m_Pace)
    return;
  m_Pace = *Load.m_Pace;
  m_Load =
      Load.m_Slots == 0
          ? 0
          : static_cast<double>(Load.m_Running + Load.m_Waiting) / Load.m_Slots;
  m_PaceStatedAt = Now;
}

double LeafView::pace(TimePoint Now) const {
  const double Speed =
      m_SpeedObservedAt ? decayed(m_Speed, 1, Now - *m_SpeedObservedAt) : 1;
  if (!m_PaceStatedAt)
    return Speed;
  const double Stated =
      1 + (m_Pace - 1) *
              std::exp(-toMillis(Now - *m_PaceStatedAt) / PaceFadeMillis);
  return std::max(Speed, Stated);
}

double LeafView::paceCost(TimePoint Now) const {
  if (!m_PaceStatedAt)
    return 0;
  const double Load =
      m_Load * std::exp(-toMillis(Now - *m_PaceStatedAt) / PaceFadeMillis);
  return std::max(pace(Now) - slowness(Now), 0.0) * (1 + m_OpenAttempts) +
         LoadCost * std::max(Load - CostlyLoad, 0.0);
}

double LeafView::onResponse(TimePoint Now, double RelativeLatency) {
  decay(Now);
  const double CappedLatency = std::min(RelativeLatency, MaxSlowness);
  m_Slowness += SmoothingFactor * (CappedLatency - m_Slowness);
  m_FailureShare -= SmoothingFactor * m_FailureShare;
  return CappedLatency;
}

void LeafView::onFailure(TimePoint Now) {
  decay(Now);
  m_FailureShare += SmoothingFactor * (1 - m_FailureShare);
}

void LeafView::onUnresponsive(TimePoint Now) {
  decay(Now);
  m_Slowness = std::max(m_Slowness, UnresponsiveSlowness);
}

double LeafView::cost(TimePoint Now, const FailureDomain &LocalDomain) const {
  return slowness(Now) * (1 + m_OpenAttempts) +
         FailureCost * failureShare(Now) + QueueCost * m_WaitingPerSlot +
         (m_OverdueAttempts > 0 ? OverdueCost : 0) +
         (m_Listed.m_Domain == LocalDomain ? 0 : OtherDomainCost);
}

LeafDirectory::LeafViews LeafDirectory::setList(const LeafList &List,
                                                TimePoint Now) {
  LeafViews ToVerify;
  std::map<LeafId, std::shared_ptr<LeafView>> Next;
  m_Services.clear();
  for (const ListedLeaf &Listed : List) {
    // The first of several entries with the same id counts.
    if (Next.contains(Listed.m_Id))
      continue;
    const bool IsOut = m_DomainsOut.contains(Listed.m_Domain);
    std::shared_ptr<LeafView> View;
    const auto Existing = m_Leafs.find(Listed.m_Id);
    if (Existing != m_Leafs.end()) {
      View = Existing->second;
      const bool Returned = View->domainOut() && !IsOut;
      if (View->update(Listed, Now) || Returned)
        ToVerify.push_back(View);
    } else {
      View = std::make_shared<LeafView>(Listed);
      View->update(Listed, Now);
    }
    View->setDomainOut(IsOut);
    Next.emplace(Listed.m_Id, View);
    m_Services[Listed.m_Service].push_back(View);
  }
  for (const auto &[Id, View] : m_Leafs)
    if (!Next.contains(Id))
      View->markRemoved();
  m_Leafs = std::move(Next);
  return ToVerify;
}

LeafDirectory::LeafViews
LeafDirectory::setDomainsOut(const std::set<FailureDomain> &Out) {
  LeafViews ToVerify;
  for (const auto &[Id, View] : m_Leafs) {
    const bool IsOut = Out.contains(View->listed().m_Domain);
    if (View->domainOut() && !IsOut)
      ToVerify.push_back(View);
    View->setDomainOut(IsOut);
  }
  m_DomainsOut = Out;
  return ToVerify;
}

const LeafDirectory::LeafViews &
LeafDirectory::leafs(const ServiceName &Service) const {
  static const LeafViews None;
  const auto Leafs = m_Services.find(Service);
  return Leafs == m_Services.end() ? None : Leafs->second;
}

std::size_t LeafDirectory::leafCount(const ServiceName &Service) const {
  const LeafViews &Leafs = leafs(Service);
  const auto Free =
      static_cast<std::size_t>(std::ranges::count_if(Leafs, [](const auto &V) {
        return V->versionUse() == VersionUse::Free;
      }));
  return Free > 0 ? Free : Leafs.size();
}

std::set<ServiceName> LeafDirectory::services() const {
  std::set<ServiceName> Names;
  for (const auto &[Name, Views] : m_Services)
    Names.insert(Name);
  return Names;
}

void LeafDirectory::selectSubset(const ServiceName &Service, std::size_t Count,
                                 const VmId &Self,
                                 const FailureDomain &LocalDomain) {
  const auto Rank = [&](const std::shared_ptr<LeafView> &View) {
    const ListedLeaf &Listed = View->listed();
    return std::pair(Listed.m_Domain != LocalDomain,
                     stableHash(Self.m_Value, stableHash(Listed.m_Id.m_Value)));
  };
  LeafViews SortedLeafs = leafs(Service);
  std::sort(SortedLeafs.begin(), SortedLeafs.end(),
            [&](const auto &A, const auto &B) { return Rank(A) < Rank(B); });
  // Versions are replaced as a whole, so each use has its own subset.
  std::map<VersionUse, std::size_t> Selected;
  for (const auto &View : SortedLeafs)
    View->setInSubset(Selected[View->versionUse()]++ < Count);
}

std::shared_ptr<LeafView>
LeafDirectory::choose(const ServiceName &Service, TimePoint Now,
                      const FailureDomain &LocalDomain,
                      const std::vector<std::shared_ptr<LeafView>> &Excluded,
                      const ConnectionQuery &IsConnected,
                      std::mt19937_64 &Engine, LeafExclusion Permitted) const {
  std::shared_ptr<LeafView> Best;
  double BestCost = 0;
  std::size_t TieCount = 0;
  LeafViews Candidates;
  std::vector<double> Costs;
  for (const auto &View : leafs(Service)) {
    if (View->exclusion(Now) != Permitted ||
        std::find(Excluded.begin(), Excluded.end(), View) != Excluded.end())
      continue;
    const bool Connected = IsConnected(View->listed());
    if (!Connected && View->connects().pauseLeft(Now) > Duration{0})
      continue;
    const double Cost = View->cost(Now, LocalDomain) +
                        (View->inSubset() ? 0 : OutsideSubsetCost) +
                        (Connected ? 0 : ConnectCost);
    if (Connected) {
      Candidates.push_back(View);
      Costs.push_back(Cost + View->paceCost(Now));
    }
    if (!Best || Cost < BestCost - CostTolerance) {
      Best = View;
      BestCost = Cost;
      TieCount = 1;
    } else if (Cost < BestCost + CostTolerance && Engine() % ++TieCount == 0) {
      Best = View;
      BestCost = std::min(BestCost, Cost);
    }
  }
  // All VMs learn of a slow leaf at the same time, and must not all go to the
  // same other one. A new connection would cost that leaf more than is gained.
  if (Best && Candidates.size() > 1 && Best->paceCost(Now) > NotablePaceCost)
    return Candidates[chooseByCost(Costs, Engine)];
  return Best;
}

bool LeafDirectory::hasUsable(const ServiceName &Service, TimePoint Now) const {
  const LeafViews &Leafs = leafs(Service);
  return std::any_of(Leafs.begin(), Leafs.end(), [&](const auto &View) {
    return View->exclusion(Now) == LeafExclusion::None;
  });
}

double LeafDirectory::failureShare(const ServiceName &Service,
                                   TimePoint Now) const {
  double Sum = 0;
  std::size_t Available = 0;
  for (const auto &View : leafs(Service)) {
    if (View->exclusion(Now) != LeafExclusion::None)
      continue;
    Sum += View->failureShare(Now);
    ++Available;
  }
  return Available == 0 ? 0 : Sum / static_cast<double>(Available);
}

bool LeafDirectory::isReady(const ServiceName &Service, TimePoint Now) const {
  std::size_t Available = 0, Total = 0;
  for (const auto &View : leafs(Service)) {
    const LeafExclusion Exclusion = View->exclusion(Now);
    if (Exclusion == LeafExclusion::Draining ||
        Exclusion == LeafExclusion::DomainOut ||
        View->versionUse() != VersionUse::Free)
      continue;
    ++Total;
    Available += Exclusion == LeafExclusion::None ? 1 : 0;
  }
  return Available > 0 && 2 * Available >= Total;
}

std::optional<Duration>
LeafDirectory::availableIn(const ServiceName &Service, TimePoint Now,
                           const ConnectionQuery &IsConnected) const {
  std::optional<Duration> Earliest;
  for (const auto &View : leafs(Service)) {
    auto Delay = View->availableIn(Now);
    if (!Delay)
      continue;
    const Duration Pause = View->connects().pauseLeft(Now);
    if (Pause > *Delay && !IsConnected(View->listed()))
      Delay = Pause;
    Earliest = std::min(Earliest.value_or(*Delay), *Delay);
  }
  return Earliest;
}

LeafDirectory::LeafViews LeafDirectory::spareLeafs(const ServiceName &Service,
                                                   TimePoint Now) const {
  LeafViews Spare;
  bool IsSubsetUsable = false;
  for (const auto &View : leafs(Service)) {
    if (!View->inSubset())
      Spare.push_back(View);
    else if (View->exclusion(Now) == LeafExclusion::None)
      IsSubsetUsable = true;
  }
  return IsSubsetUsable ? Spare : LeafViews{};
}

std::shared_ptr<LeafView> LeafDirectory::find(const LeafId &Id) const {
  const auto Found = m_Leafs.find(Id);
  return Found == m_Leafs.end() ? nullptr : Found->second;
}

} // namespace ragwortdrift
