#ifndef RAGWORTDRIFT_NODE_RELAY_MESSAGES_HPP
#define RAGWORTDRIFT_NODE_RELAY_MESSAGES_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/policy/leaf_gate.hpp"

#include <optional>
#include <string>
#include <vector>

namespace ragwortdrift {

/// One leaf request within a relay. The item number is chosen by the entry VM
/// and returned with the answer.
struct RelayItem {
  std::uint32_t m_Item = 0;
  LeafId m_Leaf;
  /// The process that the entry VM has lately seen serving, so that a new owner
  /// need not take the leaf for cold; empty when unknown.
  std::string m_WarmBootId;
  /// The entry VM has no other replica of the group.
  bool m_LastReplica = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Item, m_Leaf, m_WarmBootId, m_LastReplica);
  }
};

/// The leaf requests of one query for one partition, sent by the entry VM to
/// the partition's owner.
struct RelayRequest {
  /// Unique among the relays of the sending VM's daemon; names the relay in a
  /// RelayCancel.
  std::uint64_t m_RelayId = 0;
  FailureDomain m_EntryDomain;
  ServiceName m_Service;
  std::string m_Partition;
  /// Time until the caller's deadline when the message was sent.
  Duration m_TimeLeft{0};
  std::optional<SnapshotVersion> m_Snapshot;
  std::string m_RequestId;
  /// Set for a request that is not repeatable; the owner then sends it at most
  /// once.
  std::optional<IdempotencyKey> m_Key;
  std::string m_Body;
  std::vector<RelayItem> m_Items;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_RelayId, m_EntryDomain, m_Service, m_Partition, m_TimeLeft, m_Snapshot,
       m_RequestId, m_Key, m_Body, m_Items);
  }
};

/// What became of a leaf request. Every status but Answered and MayHaveRun
/// means that it did not run.
enum class RelayStatus : std::uint8_t {
  Answered,
  NotOwner,
  StaleConfiguration,
  Cold,
  QueueFull,
  LeafOut,
  Draining,
  Shed,
  VersionNotOffered,
  ConnectFailed,
  DeadlineBeforeSend,
  MayHaveRun
};
template <> struct EnumNames<RelayStatus> {
  static constexpr std::array Entries{
      EnumName<RelayStatus>{RelayStatus::Answered, "answered"},
      EnumName<RelayStatus>{RelayStatus::NotOwner, "not_owner"},
      EnumName<RelayStatus>{RelayStatus::StaleConfiguration,
                            "stale_configuration"},
      EnumName<RelayStatus>{RelayStatus::Cold, "cold"},
      EnumName<RelayStatus>{RelayStatus::QueueFull, "queue_full"},
      EnumName<RelayStatus>{RelayStatus::LeafOut, "leaf_out"},
      EnumName<RelayStatus>{RelayStatus::Draining, "draining"},
      EnumName<RelayStatus>{RelayStatus::Shed, "shed"},
      EnumName<RelayStatus>{RelayStatus::VersionNotOffered,
                            "version_not_offered"},
      EnumName<RelayStatus>{RelayStatus::ConnectFailed, "connect_failed"},
      EnumName<RelayStatus>{RelayStatus::DeadlineBeforeSend,
                            "deadline_before_send"},
      EnumName<RelayStatus>{RelayStatus::MayHaveRun, "may_have_run"}};
};

/// The outcome of one leaf request.
struct RelayAnswer {
  std::uint32_t m_Item = 0;
  RelayStatus m_Status = RelayStatus::MayHaveRun;
  /// HTTP status of the leaf; 0 when there was no answer.
  std::uint16_t m_HttpStatus = 0;
  SnapshotVersion m_Snapshot;
  std::vector<SnapshotVersion> m_Offered;
  /// Time from sending to the answer, and time in the owner's queue before.
  Duration m_LeafTime{0};
  Duration m_QueueTime{0};
  /// The leaf's process, as its last answer named it.
  std::string m_BootId;
  LeafReport m_Report;
  /// With a refusal: when the leaf is worth asking again, if known.
  std::optional<Duration> m_RetryAfter;
  /// With NotOwner: the VM that holds the lease, if known.
  std::optional<VmId> m_Holder;
  std::string m_Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Item, m_Status, m_HttpStatus, m_Snapshot, m_Offered, m_LeafTime,
       m_QueueTime, m_BootId, m_Report, m_RetryAfter, m_Holder, m_Body);
  }
};

/// Ends items of a relay whose answers are no longer wanted.
struct RelayCancel {
  std::uint64_t m_RelayId = 0;
  std::vector<std::uint32_t> m_Items;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_RelayId, m_Items);
  }
};

/// Whether the status proves that the request did not run at the leaf.
constexpr bool provesNotRun(RelayStatus Status) {
  return Status != RelayStatus::Answered && Status != RelayStatus::MayHaveRun;
}

} // namespace ragwortdrift

#endif
