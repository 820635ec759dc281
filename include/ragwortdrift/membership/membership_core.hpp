#ifndef RAGWORTDRIFT_MEMBERSHIP_MEMBERSHIP_CORE_HPP
#define RAGWORTDRIFT_MEMBERSHIP_MEMBERSHIP_CORE_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/config/catalog.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ragwortdrift {

/// In increasing order of precedence: among entries of the same incarnation,
/// the higher status wins.
enum class VmStatus : std::uint8_t { Alive, Suspected, Leaving, Dead };
template <> struct EnumNames<VmStatus> {
  static constexpr std::array Entries{
      EnumName<VmStatus>{VmStatus::Alive, "alive"},
      EnumName<VmStatus>{VmStatus::Suspected, "suspected"},
      EnumName<VmStatus>{VmStatus::Leaving, "leaving"},
      EnumName<VmStatus>{VmStatus::Dead, "dead"}};
};

/// The state of a VM as known to the group. Updates with the status Suspected
/// or Dead leave the domain and the addresses empty.
struct MemberEntry {
  VmId m_Vm;
  FailureDomain m_Domain;
  Incarnation m_Incarnation;
  VmStatus m_Status = VmStatus::Alive;
  Endpoint m_Control;
  Endpoint m_Relay;
  Endpoint m_Admin;

  friend bool operator==(const MemberEntry &, const MemberEntry &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Vm, m_Domain, m_Incarnation, m_Status, m_Control, m_Relay, m_Admin);
  }
};

/// Returns true if Update replaces Current: it has a higher incarnation, or the
/// same incarnation and a status of higher precedence.
bool supersedes(const MemberEntry &Update, const MemberEntry &Current);

/// The kind of a gossip message. An Update has no response. A SyncRequest is a
/// Join that requests the full member list.
enum class GossipKind : std::uint8_t {
  Ping,
  Ack,
  PingRequest,
  Join,
  SyncRequest,
  JoinAck,
  Update
};

/// A message on the path /gossip.
struct GossipMessage {
  GossipKind m_Kind{};
  std::uint64_t m_Sequence = 0;
  /// The sender's own entry. Ack and Update messages have none.
  std::optional<MemberEntry> m_Sender;
  /// PingRequest only: the VM to probe.
  VmId m_Target;
  Endpoint m_TargetAddress;
  std::vector<MemberEntry> m_Updates;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Kind, m_Sequence, m_Sender, m_Target, m_TargetAddress, m_Updates);
  }
};

struct MembershipOptions {
  Duration m_ProbePeriod{1'000'000};
  Duration m_AckTimeout{300'000};
  std::size_t m_IndirectProbes = 2;
  /// Time from Suspected to Dead.
  Duration m_SuspicionTimeout{2'000'000};
  Duration m_DeadRetention{std::chrono::minutes(10)};
  /// Interval between the join attempts that heal partitions. Each goes to one
  /// unreachable seed or dead VM.
  Duration m_RejoinPeriod{5'000'000};
  /// Number of peers that receive an urgent update (Suspected, Dead, Leaving or
  /// a refutation) at once, in messages at least m_MinGossipInterval apart. A
  /// refutation that is sent with probes alone would take longer than
  /// m_SuspicionTimeout.
  std::size_t m_GossipFanout = 3;
  Duration m_MinGossipInterval{200'000};
  /// A VM that is still suspected after this time is pinged once more.
  Duration m_FinalPingDelay{1'400'000};
  /// Delays after the start at which a VM requests the full member list from a
  /// peer. VMs that start together get incomplete lists from the seeds.
  std::array<Duration, 2> m_SyncDelays{Duration{3'000'000},
                                       Duration{15'000'000}};
  /// Limits on the updates in one message.
  std::size_t m_MaxUpdates = 8;
  std::size_t m_MaxUpdateBytes = 1000;
  /// Limits on concurrent probes on behalf of other VMs, and on known VMs.
  std::size_t m_MaxRelayedProbes = 16;
  std::size_t m_MaxMembers = 16384;
};

/// SWIM failure detection, without I/O. Each VM probes one peer per period, so
/// its traffic does not depend on the number of VMs. The target is alternately
/// the next live VM in id order, which bounds the time until a dead VM is
/// probed to two periods, and a random VM.
class MembershipCore {
public:
  using SendCallback =
      std::function<void(const Endpoint &Address, std::string Bytes)>;
  using ChangeCallback = std::function<void(const MemberEntry &)>;

  /// Self holds the incarnation of this daemon start.
  MembershipCore(TimerService &Timers, std::mt19937_64 Random, MemberEntry Self,
                 std::vector<Endpoint> Seeds, SendCallback OnSend,
                 MembershipOptions Options = {});

  /// Sends a Join to the seeds and starts probing.
  void start();
  /// Handles a message from an authenticated sender.
  Result<Done, CodecError> receive(const VmId &Sender, std::string_view Bytes);
  /// Announces that this VM is draining. It remains a member until it stops.
  void leave();
  /// Probes a VM immediately, for example after a connection to it was lost.
  /// Has no effect if the VM is already being probed or is not alive.
  void probeNow(const VmId &Vm);
  /// Replaces the seed addresses.
  void setSeeds(std::vector<Endpoint> Seeds) { m_Seeds = std::move(Seeds); }
  /// Sets the callback for each new entry and each change of a status,
  /// incarnation or address, including those of this VM.
  void onChange(ChangeCallback Callback) { m_OnChange = std::move(Callback); }

  /// Returns the VMs of a domain with the status Alive, sorted by id.
  std::vector<VmId> aliveVms(const FailureDomain &Domain) const;
  /// Returns the VMs of all domains with the status Alive, sorted by id.
  std::vector<VmId> aliveVms() const;
  std::optional<VmStatus> statusOf(const VmId &Vm) const;
  const MemberEntry *find(const VmId &Vm) const;
  /// Returns this VM's entry. Its incarnation rises above that of the start
  /// when the VM refutes a suspicion.
  const MemberEntry &self() const;
  std::size_t size() const { return m_Members.size(); }

private:
  struct Member {
    MemberEntry m_Entry;
    TimerService::Subscription m_SuspicionTimer;
    TimerService::Subscription m_FinalPingTimer;
    TimerService::Subscription m_RemovalTimer;
  };
  struct Probe {
    VmId m_Target;
    TimerService::Subscription m_Timer;
  };
  struct RelayedProbe {
    Endpoint m_Origin;
    std::uint64_t m_OriginSequence = 0;
    TimerService::Subscription m_Timer;
  };
  struct PendingUpdate {
    MemberEntry m_Entry;
    unsigned m_TransmitCount = 0;
  };

  void probeNext();
  const MemberEntry *ringSuccessor() const;
  void probe(const MemberEntry &Entry);
  void requestIndirectProbes(std::uint64_t Sequence);
  void rejoin();
  void requestSync();
  void pingSuspect(const VmId &Vm);
  void scheduleGossip();
  void suspect(const VmId &Vm);
  void startSuspicionTimers(Member &Target);
  void apply(const MemberEntry &Update);
  void store(const MemberEntry &Update);
  void refute(const MemberEntry &Update);
  void queueUpdate(const MemberEntry &Update);
  void handlePing(const MemberEntry &Sender, std::uint64_t Sequence);
  void handleAck(std::uint64_t Sequence);
  void relayProbe(const GossipMessage &Message);
  void handleJoin(const MemberEntry &Sender, bool IncludeMembers);
  void post(const Endpoint &Address, GossipMessage Message,
            const MemberEntry *Receiver = nullptr);
  std::vector<MemberEntry> takeUpdates();
  const MemberEntry *randomAlivePeer(const VmId &Excluded);
  std::size_t randomBelow(std::size_t Bound);

  TimerService &m_Timers;
  std::mt19937_64 m_Random;
  const VmId m_Self;
  std::vector<Endpoint> m_Seeds;
  SendCallback m_Send;
  const MembershipOptions m_Options;
  ChangeCallback m_OnChange;
  std::map<VmId, Member> m_Members;
  std::vector<VmId> m_ProbeOrder;
  bool m_ProbeSuccessor = false;
  std::map<std::uint64_t, Probe> m_Probes;
  std::map<std::uint64_t, RelayedProbe> m_RelayedProbes;
  std::map<VmId, PendingUpdate> m_PendingUpdates;
  std::uint64_t m_NextSequence = 1;
  TimerService::Subscription m_ProbeTimer;
  TimerService::Subscription m_RejoinTimer;
  std::array<TimerService::Subscription, 2> m_SyncTimers;
  TimerService::Subscription m_GossipTimer;
  TimePoint m_NextGossip;
};

} // namespace ragwortdrift

#endif
