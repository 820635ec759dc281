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

/// In rising precedence for news of the same incarnation.
enum class VmStatus : std::uint8_t { Alive, Suspected, Leaving, Dead };
template <> struct EnumNames<VmStatus> {
  static constexpr std::array Entries{
      EnumName<VmStatus>{VmStatus::Alive, "alive"},
      EnumName<VmStatus>{VmStatus::Suspected, "suspected"},
      EnumName<VmStatus>{VmStatus::Leaving, "leaving"},
      EnumName<VmStatus>{VmStatus::Dead, "dead"}};
};

/// What is known of a VM. News of suspicion and death leave the addresses
/// empty.
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

/// True if News about a VM replaces what is Known: a higher incarnation, or the
/// same with a status of higher precedence.
bool supersedes(const MemberEntry &News, const MemberEntry &Known);

/// News needs no answer. SyncRequest is a Join whose sender wants the whole
/// list.
enum class GossipKind : std::uint8_t {
  Ping,
  Ack,
  PingRequest,
  Join,
  SyncRequest,
  JoinAck,
  News
};

/// A message of the path /gossip.
struct GossipMessage {
  GossipKind m_Kind{};
  std::uint64_t m_Sequence = 0;
  /// The sender's own entry; in every kind but Ack.
  std::optional<MemberEntry> m_Sender;
  /// Of a PingRequest: whom to probe.
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
  /// From suspicion to death.
  Duration m_Suspicion{2'000'000};
  Duration m_ForgetDead{std::chrono::minutes(10)};
  /// How often one lost seed or dead VM is asked again, so that partitions
  /// heal.
  Duration m_RejoinPeriod{5'000'000};
  /// News of suspicion, death, leaving or refutation is sent to this many
  /// partners as soon as it is heard, in messages at least m_SpreadGap apart.
  /// By probes alone, a refutation would take longer than m_Suspicion.
  std::size_t m_SpreadPartners = 3;
  Duration m_SpreadGap{200'000};
  /// A VM that is still suspected after this is asked once more.
  Duration m_LastAsk{1'400'000};
  /// When a started VM asks a partner for the whole list, since VMs that start
  /// together find incomplete lists at the seeds.
  std::array<Duration, 2> m_SyncAfter{Duration{3'000'000},
                                      Duration{15'000'000}};
  /// Bounds on the news in one message.
  std::size_t m_MaxUpdates = 8;
  std::size_t m_MaxUpdateBytes = 1000;
  /// Bounds on probes that this VM makes for others at a time, and on VMs.
  std::size_t m_MaxRelayedProbes = 16;
  std::size_t m_MaxMembers = 16384;
};

/// Failure detection in the manner of SWIM, without I/O. Each VM probes one
/// partner per period, so its traffic does not depend on the number of VMs.
/// Partners are in turn the next live VM in order of ids, which bounds the time
/// until a dead VM is probed to two periods, and a random one.
class MembershipCore {
public:
  using Send = std::function<void(const Endpoint &To, std::string Bytes)>;
  using OnChange = std::function<void(const MemberEntry &)>;

  /// Self carries the incarnation of this start of the daemon.
  MembershipCore(TimerService &Timers, std::mt19937_64 Random, MemberEntry Self,
                 std::vector<Endpoint> Seeds, Send SendFn,
                 MembershipOptions Options = {});

  /// Joins by the seeds and begins to probe.
  void start();
  /// Handles the bytes of a message from an authenticated sender.
  Result<Done, CodecError> receive(const VmId &From, std::string_view Bytes);
  /// Announces that this VM drains; it stays in the group until it stops.
  void leave();
  /// Probes a VM at once, for example when a connection to it was lost. No
  /// effect while it is being probed or is not alive.
  void probeNow(const VmId &Vm);
  /// Replaces the addresses to join by.
  void setSeeds(std::vector<Endpoint> Seeds) { m_Seeds = std::move(Seeds); }
  /// Called for each new entry and each change of a status, an incarnation or
  /// an address, also of this VM.
  void onChange(OnChange Fn) { m_OnChange = std::move(Fn); }

  /// The VMs of a domain with status alive, in order of their ids.
  std::vector<VmId> aliveVms(const FailureDomain &Domain) const;
  /// The same for all domains.
  std::vector<VmId> aliveVms() const;
  std::optional<VmStatus> statusOf(const VmId &Vm) const;
  const MemberEntry *find(const VmId &Vm) const;
  /// This VM's entry. Its incarnation rises above the one of the start when the
  /// VM refutes a suspicion.
  const MemberEntry &self() const;
  std::size_t size() const { return m_Members.size(); }

private:
  struct Member {
    MemberEntry m_Entry;
    TimerService::Subscription m_Suspicion;
    TimerService::Subscription m_LastAsk;
    TimerService::Subscription m_Forget;
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
  struct Update {
    MemberEntry m_News;
    unsigned m_Sent = 0;
  };

  void probeNext();
  const MemberEntry *ringSuccessor() const;
  void probe(const MemberEntry &Entry);
  void askOthers(std::uint64_t Sequence);
  void rejoin();
  void sync();
  void askSuspect(const VmId &Vm);
  void spreadSoon();
  void suspect(const VmId &Vm);
  void startSuspicion(Member &Target);
  void apply(const MemberEntry &News);
  void store(const MemberEntry &News);
  void refute(const MemberEntry &News);
  void queue(const MemberEntry &News);
  void answerPing(const MemberEntry &Sender, std::uint64_t Sequence);
  void answerAck(std::uint64_t Sequence);
  void relayProbe(const GossipMessage &Message);
  void answerJoin(const MemberEntry &Sender, bool WithList);
  void post(const Endpoint &To, GossipMessage Message,
            const MemberEntry *Target = nullptr);
  std::vector<MemberEntry> takeUpdates();
  const MemberEntry *randomPartner(const VmId &Except);
  std::size_t below(std::size_t Bound);

  TimerService &m_Timers;
  std::mt19937_64 m_Random;
  const VmId m_Self;
  std::vector<Endpoint> m_Seeds;
  Send m_Send;
  const MembershipOptions m_Options;
  OnChange m_OnChange;
  std::map<VmId, Member> m_Members;
  std::vector<VmId> m_Order;
  bool m_ProbeRing = false;
  std::map<std::uint64_t, Probe> m_Probes;
  std::map<std::uint64_t, RelayedProbe> m_Relayed;
  std::map<VmId, Update> m_Updates;
  std::uint64_t m_NextSequence = 1;
  TimerService::Subscription m_ProbeTimer;
  TimerService::Subscription m_RejoinTimer;
  std::array<TimerService::Subscription, 2> m_SyncTimers;
  TimerService::Subscription m_SpreadTimer;
  TimePoint m_NextSpread;
};

} // namespace ragwortdrift

#endif
