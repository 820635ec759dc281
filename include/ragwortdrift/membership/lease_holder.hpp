#ifndef RAGWORTDRIFT_MEMBERSHIP_LEASE_HOLDER_HPP
#define RAGWORTDRIFT_MEMBERSHIP_LEASE_HOLDER_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/membership/lease.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace ragwortdrift {

enum class LeaseState : std::uint8_t { None, Held, HandingOver };
template <> struct EnumNames<LeaseState> {
  static constexpr std::array Entries{
      EnumName<LeaseState>{LeaseState::None, "none"},
      EnumName<LeaseState>{LeaseState::Held, "held"},
      EnumName<LeaseState>{LeaseState::HandingOver, "handing_over"}};
};

/// The candidate's side of the leases of its own domain, without I/O. All
/// partitions of a domain have the same grantors, so each grantor receives one
/// request per renewal.
class LeaseHolder {
public:
  /// Sends a request of the path /lease. The grantor may be this VM itself.
  using Send = std::function<void(const VmId &Grantor, std::string Bytes)>;
  /// HandingOver: admit nothing more and call finishHandover() when all
  /// requests have ended. None: the lease has ended; admit nothing.
  using OnChange =
      std::function<void(const std::string &Partition, LeaseState)>;

  /// Start is the incarnation of the daemon's start.
  LeaseHolder(TimerService &Timers, std::mt19937_64 Random, VmId Self,
              FailureDomain Domain, Incarnation Start, Send SendFn,
              OnChange ChangeFn, LeaseOptions Options = {});

  void setCatalog(const Catalog &Config);
  /// The VMs of the domain that are alive; this VM need not be among them.
  void setAlive(std::vector<VmId> Alive);
  /// Handles a grantor's response.
  Result<Done, CodecError> receive(const VmId &From, std::string_view Bytes);
  /// Hands over all leases and claims none from now on.
  void drain();
  /// Asks for leases at once instead of with the next renewal, because a holder
  /// has said that it released one.
  void claimNow() { tick(); }
  /// Releases a lease in state HandingOver; no effect in other states.
  void finishHandover(const std::string &Partition);

  /// True while this VM may admit work to the partition.
  bool mayAdmit(const std::string &Partition) const {
    return stateOf(Partition) == LeaseState::Held;
  }
  LeaseState stateOf(const std::string &Partition) const;
  /// Until when the lease lasts if it is not renewed; nothing without a lease.
  std::optional<TimePoint> heldUntil(const std::string &Partition) const;
  bool isDrained() const;

private:
  struct Slot {
    Partition m_Partition;
    /// False when the catalog has no such partition any more.
    bool m_Wanted = true;
    LeaseState m_State = LeaseState::None;
    TimePoint m_Until;
    TimerService::Subscription m_Expiry;
    /// When the newest granted request was sent, for each grantor.
    std::map<VmId, TimePoint> m_Granted;
    /// Answers up to this round are from before the last release.
    std::uint64_t m_ReleasedRound = 0;
    bool m_Refused = false;
    TimePoint m_NextTry;
    VmId m_Better;
    TimePoint m_BetterSince;
  };

  void tick();
  /// Adds what a partition needs to the next request.
  void plan(Slot &Entry, std::vector<LeaseAsk> &Asks);
  void checkRank(Slot &Entry, const VmId &First);
  void sendAll(std::vector<LeaseAsk> Asks);
  void applyAnswer(const VmId &From, TimePoint SentAt, std::uint64_t Round,
                   const LeaseAnswer &Answer);
  /// The time until which a majority of the grantors have granted.
  TimePoint grantedUntil(const Slot &Entry) const;
  void setState(Slot &Entry, LeaseState State);
  void giveUp(Slot &Entry);

  TimerService &m_Timers;
  std::mt19937_64 m_Random;
  const VmId m_Self;
  const FailureDomain m_Domain;
  const Incarnation m_Start;
  Send m_Send;
  OnChange m_OnChange;
  const LeaseOptions m_Options;
  std::vector<VmId> m_Grantors;
  std::vector<VmId> m_Alive;
  std::map<std::string, Slot> m_Slots;
  std::map<std::uint64_t, TimePoint> m_SentAt;
  std::uint64_t m_Round = 0;
  bool m_Draining = false;
  TimerService::Subscription m_Tick;
};

} // namespace ragwortdrift

#endif
