#ifndef RAGWORTDRIFT_FLEET_MESSAGES_HPP
#define RAGWORTDRIFT_FLEET_MESSAGES_HPP

#include "ragwortdrift/consensus/errors.hpp"
#include "ragwortdrift/consensus/raft_types.hpp"
#include "ragwortdrift/dispatch/leaf_list.hpp"
#include "ragwortdrift/dispatch/leaf_observation.hpp"
#include "ragwortdrift/routing/routing_state.hpp"

#include <optional>

namespace ragwortdrift {

/// Orders lists of leafs: the term of the leader that read the list, and how
/// many different lists it had read then. Zero is no list.
struct ListStamp {
  std::uint64_t m_Term = 0;
  std::uint64_t m_Number = 0;

  friend auto operator<=>(const ListStamp &, const ListStamp &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Term, m_Number); }
};

/// What a watcher wants to be told.
enum class WatchKind : std::uint8_t {
  /// The operators' state and the list of leafs, whenever they change.
  Content,
  /// Only which state and list are the newest.
  Stamps,
  /// The list, for a core VM that passes it on.
  ListForCore
};

/// Opens a stream of CoreReport messages from a core VM.
struct WatchRequest {
  WatchKind m_Kind = WatchKind::Content;
  /// Revision of the routing state that the watcher holds.
  std::uint64_t m_Revision = 0;
  /// The list that the watcher holds.
  ListStamp m_List;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Kind, m_Revision, m_List);
  }
};

/// What a core VM tells a watcher: at once when something changes, and
/// periodically.
struct CoreReport {
  /// Failure domain of the core VM.
  FailureDomain m_Domain;
  /// The operators' state, when it is newer than what was sent before.
  std::optional<RoutingState> m_State;
  /// The list of leafs, when it is newer than what was sent before.
  std::optional<LeafList> m_Leafs;
  /// Leafs that are slow or fail, when that is known; all others are not.
  std::optional<std::vector<LeafEstimate>> m_Estimates;
  /// Revision of the operators' state that this VM has applied; 0 while it may
  /// be an old one.
  std::uint64_t m_Revision = 0;
  ListStamp m_List;
  /// How long ago the list was read; nothing when no recent one is known.
  std::optional<Duration> m_ListAge;
  /// Peer addresses of all core VMs known.
  std::vector<std::string> m_Cores;
  /// Entry VMs that were seen recently.
  std::uint32_t m_EntryCount = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Domain, m_State, m_Leafs, m_Estimates, m_Revision, m_List, m_ListAge,
       m_Cores, m_EntryCount);
  }
};

/// Tells a core VM what was observed of leafs since the message before.
struct ObservationReport {
  /// Whether a core VM passes it on, which no other one does again.
  bool m_FromCore = false;
  std::vector<LeafObservation> m_Leafs;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_FromCore, m_Leafs);
  }
};

/// Asks the leader to commit an order.
struct OrderRequest {
  RoutingOrder m_Order;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Order); }
};

enum class CoreErrorCode : std::uint8_t {
  /// This VM does not lead; the leader's address follows if it is known.
  NotLeader,
  /// No leader answered in time, so nothing was done.
  NoLeader,
  /// The order may or may not be committed.
  Unknown,
  /// The order is larger than a log entry may be.
  TooLarge,
  BadMessage
};
template <> struct EnumNames<CoreErrorCode> {
  using Row = EnumName<CoreErrorCode>;
  static constexpr std::array Entries{
      Row{CoreErrorCode::NotLeader, "not_leader"},
      Row{CoreErrorCode::NoLeader, "no_leader"},
      Row{CoreErrorCode::Unknown, "unknown_outcome"},
      Row{CoreErrorCode::TooLarge, "too_large"},
      Row{CoreErrorCode::BadMessage, "bad_message"}};
};

struct CoreError {
  CoreErrorCode m_Code{};
  std::string m_Leader;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Code, m_Leader); }
};

using OrderReply = std::variant<OrderOutcome, CoreError>;
using ReadReply = std::variant<RoutingState, CoreError>;

/// A core VM that is not a voter asks to become one.
struct JoinRequest {
  std::string m_Address;
  StoreId m_Store;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Address, m_Store);
  }
};

struct JoinReply {
  /// Address of the leader, empty when it is not known.
  std::string m_Leader;
  std::vector<std::string> m_Cores;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Leader, m_Cores);
  }
};

} // namespace ragwortdrift

#endif
