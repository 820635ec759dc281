#ifndef RAGWORTDRIFT_FLEET_MESSAGES_HPP
#define RAGWORTDRIFT_FLEET_MESSAGES_HPP

#include "ragwortdrift/consensus/errors.hpp"
#include "ragwortdrift/consensus/raft_types.hpp"
#include "ragwortdrift/dispatch/leaf_list.hpp"
#include "ragwortdrift/dispatch/leaf_observation.hpp"
#include "ragwortdrift/limits/limit.hpp"
#include "ragwortdrift/policy/crash_suspects.hpp"
#include "ragwortdrift/rollouts/rollout_report.hpp"
#include "ragwortdrift/routing/routing_state.hpp"
#include "ragwortdrift/routing/text_delta.hpp"

#include <optional>
#include <variant>

namespace ragwortdrift {

/// Version of a leaf list, ordered by the term of the leader that read it, then
/// by the number of different lists that this leader had read. Zero means no
/// list.
struct ListVersion {
  std::uint64_t m_Term = 0;
  std::uint64_t m_Number = 0;

  friend auto operator<=>(const ListVersion &, const ListVersion &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Term, m_Number); }
};

/// Content of the reports that a watcher requests.
enum class WatchKind : std::uint8_t {
  /// The routing state and the leaf list, whenever they change.
  Content,
  /// Only the versions of the latest state and leaf list.
  VersionsOnly,
  /// The leaf list, for a core VM that passes it on to its own watchers.
  ListForCore
};

/// Opens a stream of WatchMessages from a core VM.
struct WatchRequest {
  WatchKind m_Kind = WatchKind::Content;
  /// Revision of the routing state that the watcher already has.
  std::uint64_t m_Revision = 0;
  /// Version of the leaf list that the watcher already has.
  ListVersion m_ListVersion;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Kind, m_Revision, m_ListVersion);
  }
};

/// The routing state for a watcher whose state is older.
struct StateUpdate {
  std::uint64_t m_Revision = 0;
  std::set<FailureDomain> m_DomainsOut;
  std::uint32_t m_EntryCount = 0;
  std::uint64_t m_ConfigVersion = 0;
  /// The text of the configuration, or a delta against that of the state that
  /// the watcher has.
  std::variant<std::string, TextDelta> m_Config;
  Rollouts m_Rollouts;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Revision, m_DomainsOut, m_EntryCount, m_ConfigVersion, m_Config,
       m_Rollouts);
  }
};

/// The leaf list for a watcher whose list is older, or a part of it: updates
/// with the same version that precede a report belong together.
struct ListUpdate {
  ListVersion m_Version;
  /// True if the update is relative to the list that the watcher has.
  bool m_IsDelta = false;
  /// All entries, or the added and changed ones.
  LeafList m_Changed;
  std::vector<LeafId> m_Removed;
  /// hashList of the resulting list.
  std::uint64_t m_Hash = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Version, m_IsDelta, m_Changed, m_Removed, m_Hash);
  }
};

/// Report of a core VM to a watcher, sent at once when something changes, and
/// periodically. The updates that precede it take effect with it.
struct CoreReport {
  /// Failure domain of the core VM.
  FailureDomain m_Domain;
  /// Leafs that are slow or failing; leafs that are not listed are neither.
  /// Absent if nothing is known.
  std::optional<std::vector<LeafEstimate>> m_Estimates;
  /// Revision of the routing state that this VM has applied; 0 while it may be
  /// outdated.
  std::uint64_t m_Revision = 0;
  /// True if the core VM is in contact with the leader and has applied all that
  /// it knows to be committed.
  bool m_IsUpToDate = false;
  /// Time since the core VM appended this revision to its log, which precedes
  /// its acknowledgement; absent if that was before a restart or while the VM
  /// was catching up.
  std::optional<Duration> m_RevisionAge;
  ListVersion m_ListVersion;
  /// Time since the list was read; absent if no recent list is known.
  std::optional<Duration> m_ListAge;
  /// Peer addresses of all known core VMs.
  std::vector<std::string> m_Cores;
  /// Number of entry VMs seen recently.
  std::uint32_t m_EntryCount = 0;
  /// Boot clock of the core VM when it sent the report (see RemoteClock). Ages
  /// in the report count up to this time.
  Duration m_SentAt{0};
  /// Time, by the boot clock of the core VM, since a majority confirmed that
  /// m_Revision contains every command acknowledged until then; absent if
  /// unknown or if the settings do not ask for it.
  std::optional<Duration> m_ConfirmedAge;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Domain, m_Estimates, m_Revision, m_IsUpToDate, m_RevisionAge,
       m_ListVersion, m_ListAge, m_Cores, m_EntryCount, m_SentAt,
       m_ConfirmedAge);
  }
};

/// Answer of the leader to a core VM that asks, with an empty request, what a
/// state has to contain that is as new as the request.
struct ConfirmReply {
  /// Revision that contains every command acknowledged before the request.
  std::uint64_t m_Revision = 0;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Revision); }
};

/// Answer of a core VM to an empty request for the time of its boot clock.
struct ClockReply {
  Duration m_Now{0};
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Now); }
};

/// Requests that crash leafs: at first those known, later what is new. Takes
/// effect at once.
struct CrashUpdate {
  std::vector<CrashRecord> m_Records;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Records); }
};

using WatchMessage =
    std::variant<CoreReport, StateUpdate, ListUpdate, CrashUpdate>;

/// Sends a core VM the observations of leafs since the previous report.
struct ObservationReport {
  /// True if a core VM forwarded the observations; they are not forwarded
  /// again.
  bool m_FromCore = false;
  std::vector<LeafObservation> m_Leafs;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_FromCore, m_Leafs);
  }
};

/// Bounds messages with crash records, at some 40 KiB.
constexpr std::size_t MaxCrashRecordsPerMessage = 256;

/// Sends a core VM what is known of requests that crash leafs.
struct CrashReport {
  /// True if a core VM sent the records; they are not forwarded again to other
  /// core VMs.
  bool m_FromCore = false;
  std::vector<CrashRecord> m_Records;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_FromCore, m_Records);
  }
};

/// Asks the allocator of shared limits for tokens.
struct LimitMessage {
  /// Differs between the lives of the process of an entry VM.
  std::uint64_t m_Life = 0;
  LimitRequest m_Request;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Life, m_Request);
  }
};

/// Requests that the leader commit an operator command.
struct CommandRequest {
  RoutingCommand m_Command;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Command); }
};

enum class CoreErrorCode : std::uint8_t {
  /// This VM is not the leader; m_Leader contains the address of the leader if
  /// known.
  NotLeader,
  /// No leader responded in time; the command was not executed.
  NoLeader,
  /// The command may or may not have been committed.
  UnknownOutcome,
  /// The command exceeds the maximum size of a log entry.
  TooLarge,
  BadMessage,
  /// The operator stopped waiting, and may have submitted the command again
  /// and others after it; the command was not executed.
  Abandoned
};
template <> struct EnumNames<CoreErrorCode> {
  using Row = EnumName<CoreErrorCode>;
  static constexpr std::array Entries{
      Row{CoreErrorCode::NotLeader, "not_leader"},
      Row{CoreErrorCode::NoLeader, "no_leader"},
      Row{CoreErrorCode::UnknownOutcome, "unknown_outcome"},
      Row{CoreErrorCode::TooLarge, "too_large"},
      Row{CoreErrorCode::BadMessage, "bad_message"},
      Row{CoreErrorCode::Abandoned, "abandoned"}};
};

struct CoreError {
  CoreErrorCode m_Code{};
  std::string m_Leader;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Code, m_Leader); }
};

using CommandReply = std::variant<RoutingCommandOutcome, CoreError>;
using ReadReply = std::variant<RoutingState, CoreError>;
/// NotLeader means that the VM is not the allocator.
using LimitAnswer = std::variant<LimitReply, CoreError>;

/// Sent by a core VM that requests to become a voter.
struct JoinRequest {
  std::string m_Address;
  StoreId m_Store;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Address, m_Store);
  }
};

enum class LeaveOutcome {
  /// The receiver does not lead.
  NotLeader,
  /// The sender is still a voter; a change of the voters is in progress.
  Pending,
  /// The sender is no voter any more.
  Left,
  /// The sender stays a voter, since the others alone would tolerate fewer
  /// losses.
  Stays,
  /// The receiver is stopping as well.
  Stopping
};
template <> struct EnumNames<LeaveOutcome> {
  using Row = EnumName<LeaveOutcome>;
  static constexpr std::array Entries{
      Row{LeaveOutcome::NotLeader, "not_leader"},
      Row{LeaveOutcome::Pending, "pending"}, Row{LeaveOutcome::Left, "left"},
      Row{LeaveOutcome::Stays, "stays"},
      Row{LeaveOutcome::Stopping, "stopping"}};
};

/// Response to a core VM that stops and requests to leave the voters.
struct LeaveReply {
  LeaveOutcome m_Outcome{};
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Outcome); }
};

struct JoinReply {
  /// Address of the leader, empty if unknown.
  std::string m_Leader;
  std::vector<std::string> m_Cores;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Leader, m_Cores);
  }
};

} // namespace ragwortdrift

#endif
