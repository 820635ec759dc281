#ifndef RAGWORTDRIFT_FLEET_MESSAGES_HPP
#define RAGWORTDRIFT_FLEET_MESSAGES_HPP

#include "ragwortdrift/consensus/errors.hpp"
#include "ragwortdrift/consensus/raft_types.hpp"
#include "ragwortdrift/dispatch/leaf_list.hpp"
#include "ragwortdrift/routing/routing_state.hpp"

#include <optional>

namespace ragwortdrift {

/// Opens a stream of CoreReport messages from a core VM.
struct WatchRequest {
  /// Revision of the routing state that the watcher holds.
  std::uint64_t m_Revision = 0;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Revision); }
};

/// What a core VM tells a watcher: at once when something changes, and
/// periodically.
struct CoreReport {
  /// The operators' state, when it is newer than what was sent before.
  std::optional<RoutingState> m_State;
  /// A list of leafs that this VM has just read.
  std::optional<LeafList> m_Leafs;
  /// Peer addresses of all core VMs known.
  std::vector<std::string> m_Cores;
  /// Entry VMs that were seen recently.
  std::uint32_t m_EntryCount = 0;
  /// Whether this VM reads the list of leafs for all others.
  bool m_ReadsList = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_State, m_Leafs, m_Cores, m_EntryCount, m_ReadsList);
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
