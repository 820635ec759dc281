#ifndef RAGWORTDRIFT_DISPATCH_LEAF_VIEW_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_VIEW_HPP

#include "ragwortdrift/dispatch/leaf_list.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace ragwortdrift {

/// Why a leaf may not be asked.
enum class LeafBar { None, Draining, DomainOut, Unverified, Cold };
template <> struct EnumNames<LeafBar> {
  using Row = EnumName<LeafBar>;
  static constexpr std::array Entries{
      Row{LeafBar::None, "none"}, Row{LeafBar::Draining, "draining"},
      Row{LeafBar::DomainOut, "domain_out"},
      Row{LeafBar::Unverified, "unverified"}, Row{LeafBar::Cold, "cold"}};
};

/// What one entry VM believes of a leaf, from its answers and from the list.
class LeafView {
public:
  explicit LeafView(ListedLeaf Listed) : m_Listed(std::move(Listed)) {}

  const ListedLeaf &listed() const { return m_Listed; }
  LeafBar bar(TimePoint Now) const;

  /// Takes a newer entry of the list. True when the leaf was started again.
  bool update(const ListedLeaf &Listed, TimePoint Now);
  void setDomainOut(bool Out) { m_DomainOut = Out; }
  bool domainOut() const { return m_DomainOut; }
  void setGone() { m_Listed.m_State = ListedState::Draining; }

  /// Whether this VM uses the leaf as long as others can be asked.
  void setUsed(bool Used) { m_Used = Used; }
  bool used() const { return m_Used; }

  /// An unverified leaf gets no request until a health probe succeeds.
  void setVerified(bool Verified) { m_Verified = Verified; }
  void setColdFor(TimePoint Now, Duration Left);

  void onSent() { ++m_Open; }
  /// The try has been open for longer than answers usually take.
  void onOverdue() { ++m_Overdue; }
  void onEnded(bool WasOverdue);
  /// Latency is that of an answer divided by the median of its route. Returns
  /// what counts of it, since single answers are bounded.
  double onAnswer(TimePoint Now, double RelativeLatency);
  void onFailure(TimePoint Now);
  /// A try got no answer until it was given up.
  void onSilence(TimePoint Now);
  /// Requests waiting for each slot, from the leaf's own report.
  void onQueue(double WaitingPerSlot) { m_Queue = WaitingPerSlot; }

  /// What all entry VMs together know of the leaf. True when nothing of that
  /// kind was known before.
  bool setEstimate(TimePoint Now, double Slowness, double Failures);

  /// Expected cost of sending the next request; the lowest is best.
  double cost(TimePoint Now, const FailureDomain &Own) const;

private:
  /// Mean relative latency and share of failures now, by what this VM and all
  /// VMs together know, whichever is worse.
  double slowness(TimePoint Now) const;
  double failures(TimePoint Now) const;
  void settle(TimePoint Now);

  ListedLeaf m_Listed;
  bool m_DomainOut = false;
  bool m_Used = true;
  bool m_Verified = true;
  TimePoint m_ColdUntil;
  unsigned m_Open = 0;
  unsigned m_Overdue = 0;
  /// Mean relative latency and share of failures, which fade to 1 and 0 while
  /// nothing is heard.
  double m_Slowness = 1;
  double m_Failures = 0;
  double m_Queue = 0;
  TimePoint m_HeardAt;
  /// The same as all entry VMs together know it; fades too.
  double m_CommonSlowness = 1;
  double m_CommonFailures = 0;
  std::optional<TimePoint> m_CommonAt;
};

/// The leafs of all services as one entry VM sees them.
class LeafDirectory {
public:
  using Changed = std::vector<std::shared_ptr<LeafView>>;

  /// Takes a whole list. Returns the leafs that were started again under their
  /// id and have to be verified before use; the list tells how long a new one
  /// is cold.
  Changed setList(const LeafList &List, TimePoint Now);
  /// Returns the leafs of domains that came back in, to be verified.
  Changed setDomainsOut(const std::set<FailureDomain> &Out);

  /// Limits the leafs of a service that this VM uses to Count: those of its own
  /// domain first, then in an order that differs between VMs.
  void limitUse(const ServiceName &Service, std::size_t Count, const VmId &Self,
                const FailureDomain &Own);
  std::size_t leafCount(const ServiceName &Service) const;

  /// The best leaf of a service that may be asked and is not among Excluded;
  /// nothing when there is none. Among the best, chance decides. A leaf beyond
  /// the limit is the last resort.
  std::shared_ptr<LeafView>
  choose(const ServiceName &Service, TimePoint Now, const FailureDomain &Own,
         const std::vector<std::shared_ptr<LeafView>> &Excluded,
         std::mt19937_64 &Engine) const;
  std::shared_ptr<LeafView> find(const LeafId &Id) const;
  bool hasUsable(const ServiceName &Service, TimePoint Now) const;
  bool empty() const { return m_Leafs.empty(); }
  std::size_t size() const { return m_Leafs.size(); }

private:
  std::map<LeafId, std::shared_ptr<LeafView>> m_Leafs;
  std::map<ServiceName, std::vector<std::shared_ptr<LeafView>>> m_Services;
  std::set<FailureDomain> m_DomainsOut;
};

} // namespace ragwortdrift

#endif
