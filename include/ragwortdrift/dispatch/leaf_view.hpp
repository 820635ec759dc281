#ifndef RAGWORTDRIFT_DISPATCH_LEAF_VIEW_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_VIEW_HPP

#include "ragwortdrift/dispatch/leaf_list.hpp"
#include "ragwortdrift/dispatch/leaf_observation.hpp"
#include "ragwortdrift/policy/connect_backoff.hpp"
#include "ragwortdrift/policy/leaf_load.hpp"
#include "ragwortdrift/rollouts/service_versions.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace ragwortdrift {

/// Reason for which a leaf is excluded from selection.
enum class LeafExclusion {
  None,
  Draining,
  DomainOut,
  /// Its version gets no requests, see ServiceVersions.
  VersionUnused,
  Unverified,
  Cold,
  /// Available for requests with a token of the roll-out only.
  VersionLimited
};
template <> struct EnumNames<LeafExclusion> {
  using Row = EnumName<LeafExclusion>;
  static constexpr std::array Entries{
      Row{LeafExclusion::None, "none"},
      Row{LeafExclusion::Draining, "draining"},
      Row{LeafExclusion::DomainOut, "domain_out"},
      Row{LeafExclusion::VersionUnused, "version_unused"},
      Row{LeafExclusion::Unverified, "unverified"},
      Row{LeafExclusion::Cold, "cold"},
      Row{LeafExclusion::VersionLimited, "version_limited"}};
};

/// One entry VM's view of a leaf, from the leaf list and observed responses.
class LeafView {
public:
  explicit LeafView(ListedLeaf Listed) : m_Listed(std::move(Listed)) {}

  const ListedLeaf &listed() const { return m_Listed; }
  LeafExclusion exclusion(TimePoint Now) const;

  /// Applies a newer list entry. Returns true if the leaf was restarted.
  bool update(const ListedLeaf &Listed, TimePoint Now);
  void setDomainOut(bool Out) { m_DomainOut = Out; }
  bool domainOut() const { return m_DomainOut; }
  void markRemoved() { m_Listed.m_State = ListedState::Draining; }

  /// Marks the leaf as part of the subset that this VM uses while any leaf of
  /// the subset is available.
  void setInSubset(bool InSubset) { m_InSubset = InSubset; }
  bool inSubset() const { return m_InSubset; }
  void setVersionUse(VersionUse Use) { m_VersionUse = Use; }
  VersionUse versionUse() const { return m_VersionUse; }

  /// An unverified leaf receives no requests until a health probe succeeds.
  void setVerified(bool Verified);
  void onProbeFailed() { m_ProbeFailed = true; }
  void setRemainingWarmUp(TimePoint Now, Duration Remaining);
  /// Returns the time until the leaf may be available, 0 if it is or may be at
  /// any moment. Returns nothing if that is unknown.
  std::optional<Duration> availableIn(TimePoint Now) const;

  void onAttemptStarted() { ++m_OpenAttempts; }
  /// Called when an attempt has been open for longer than the hedge delay.
  void onAttemptOverdue() { ++m_OverdueAttempts; }
  void onAttemptEnded(bool WasOverdue);
  /// Returns true if an attempt has been open for that long.
  bool isOverdue() const { return m_OverdueAttempts > 0; }
  /// RelativeLatency is the response latency divided by the route's median.
  /// Returns the value that was recorded, which is capped to bound the effect
  /// of one response.
  double onResponse(TimePoint Now, double RelativeLatency);
  void onFailure(TimePoint Now);
  /// Called when an attempt was abandoned after a long wait without response.
  void onUnresponsive(TimePoint Now);
  /// When new connections may be opened to this leaf.
  ConnectBackoff &connects() { return m_Connects; }
  const ConnectBackoff &connects() const { return m_Connects; }
  /// Stores the load that the leaf stated in a response.
  void setLoad(TimePoint Now, const LeafLoad &Load);

  /// Applies the fleet-wide estimate. Returns true if it begins a new episode,
  /// that is, no recent estimate was known.
  bool setEstimate(TimePoint Now, const LeafEstimate &Estimate);
  /// Time that work takes there now as a multiple of the usual, from what the
  /// leaf stated and what all VMs have observed; 1 if nothing is known. Fades
  /// towards 1.
  double pace(TimePoint Now) const;
  /// Cost in medians of a pace above the usual, and of a load near what the
  /// leaf takes well. It comes on top of cost().
  double paceCost(TimePoint Now) const;

  /// Expected cost of sending the next request to this leaf, in medians of its
  /// route; the lowest cost is best.
  double cost(TimePoint Now, const FailureDomain &LocalDomain) const;
  /// Current share of the requests that fail or are refused, 0 to 1: the worse
  /// of the local and the fleet-wide estimate.
  double failureShare(TimePoint Now) const;

private:
  /// Current relative latency: the worse of the local and the fleet-wide
  /// estimate.
  double slowness(TimePoint Now) const;
  void decay(TimePoint Now);

  ListedLeaf m_Listed;
  bool m_DomainOut = false;
  bool m_InSubset = true;
  VersionUse m_VersionUse = VersionUse::Free;
  bool m_Verified = true;
  ConnectBackoff m_Connects;
  /// True if the leaf is unverified and the last probe has failed.
  bool m_ProbeFailed = false;
  TimePoint m_WarmUpEnd;
  unsigned m_OpenAttempts = 0;
  unsigned m_OverdueAttempts = 0;
  /// Means of relative latency and failure share as of m_UpdatedAt. They decay
  /// towards 1 and 0 while there are no new outcomes.
  double m_Slowness = 1;
  double m_FailureShare = 0;
  double m_WaitingPerSlot = 0;
  TimePoint m_UpdatedAt;
  /// Fleet-wide estimates, which decay as well.
  double m_FleetSlowness = 1;
  double m_FleetFailureShare = 0;
  std::optional<TimePoint> m_FleetUpdatedAt;
  /// Last stated pace, and load as a share of what the leaf takes well.
  double m_Pace = 1;
  double m_Load = 0;
  std::optional<TimePoint> m_PaceStatedAt;
  /// Latency as a multiple of the usual, from all VMs.
  double m_Speed = 1;
  std::optional<TimePoint> m_SpeedObservedAt;
};

/// All leafs of all services as seen by one entry VM.
class LeafDirectory {
public:
  using LeafViews = std::vector<std::shared_ptr<LeafView>>;

  /// Replaces the leaf list. Returns the leafs that were restarted under the
  /// same id and must be verified before use. New leafs need no verification,
  /// since the list states their warm-up time.
  LeafViews setList(const LeafList &List, TimePoint Now);
  /// Returns the leafs whose domain came back into service and which must be
  /// verified.
  LeafViews setDomainsOut(const std::set<FailureDomain> &Out);

  /// Selects the subset of Count leafs of a service that this VM uses: those of
  /// its local domain first, the rest in an order that differs between VMs.
  void selectSubset(const ServiceName &Service, std::size_t Count,
                    const VmId &Self, const FailureDomain &LocalDomain);
  /// Number of leafs of a service whose version is in use; of all if none is.
  /// Versions are not added up, since one replaces the other.
  std::size_t leafCount(const ServiceName &Service) const;

  /// Returns true if a connection to a leaf is open and idle.
  using ConnectionQuery = std::function<bool(const ListedLeaf &)>;

  /// Returns the leaf with the lowest cost that is not in Excluded and has a
  /// given exclusion, none by default, or null. Ties are broken at random. A
  /// leaf outside the subset is chosen only if it costs clearly less, and one
  /// without an open connection only if a new one may be opened.
  std::shared_ptr<LeafView>
  choose(const ServiceName &Service, TimePoint Now,
         const FailureDomain &LocalDomain,
         const std::vector<std::shared_ptr<LeafView>> &Excluded,
         const ConnectionQuery &IsConnected, std::mt19937_64 &Engine,
         LeafExclusion Permitted = LeafExclusion::None) const;
  std::shared_ptr<LeafView> find(const LeafId &Id) const;
  const LeafViews &leafs(const ServiceName &Service) const;
  /// Returns the services that have leafs.
  std::set<ServiceName> services() const;
  bool hasUsable(const ServiceName &Service, TimePoint Now) const;
  /// Returns the mean failure share of the available leafs of a service.
  double failureShare(const ServiceName &Service, TimePoint Now) const;
  /// Returns true if at least half of the leafs that a service has in the
  /// failure domains in use are available. Draining leafs do not count.
  bool isReady(const ServiceName &Service, TimePoint Now) const;
  /// Returns the time until the first leaf of a service may be available, or
  /// nothing if that is unknown. A leaf without an open connection is available
  /// once a new one may be opened.
  std::optional<Duration> availableIn(const ServiceName &Service, TimePoint Now,
                                      const ConnectionQuery &IsConnected) const;
  /// Returns the leafs of a service that this VM need not stay connected to:
  /// those outside its subset, while a leaf of the subset is available.
  LeafViews spareLeafs(const ServiceName &Service, TimePoint Now) const;
  bool empty() const { return m_Leafs.empty(); }
  std::size_t size() const { return m_Leafs.size(); }

private:
  std::map<LeafId, std::shared_ptr<LeafView>> m_Leafs;
  std::map<ServiceName, std::vector<std::shared_ptr<LeafView>>> m_Services;
  std::set<FailureDomain> m_DomainsOut;
};

} // namespace ragwortdrift

#endif
