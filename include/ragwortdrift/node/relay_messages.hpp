#ifndef RAGWORTDRIFT_NODE_RELAY_MESSAGES_HPP
#define RAGWORTDRIFT_NODE_RELAY_MESSAGES_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/policy/leaf_gate.hpp"

#include <optional>
#include <string>
#include <vector>

namespace ragwortdrift {

/// One leaf request of a relay. The entry VM chooses the item number; the
/// response repeats it.
struct RelayItem {
  std::uint32_t m_Item = 0;
  LeafId m_Leaf;
  /// Boot id of the process that the entry VM recently saw serving, so that a
  /// new owner need not treat the leaf as cold; empty when unknown.
  std::string m_WarmBootId;
  /// True if the entry VM has no other replica of the group.
  bool m_LastReplica = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Item, m_Leaf, m_WarmBootId, m_LastReplica);
  }
};

/// The leaf requests of one query for one partition, sent by the entry VM to
/// the partition's owner.
struct RelayRequest {
  /// Unique among the relays of the sending daemon; RelayCancel refers to it.
  std::uint64_t m_RelayId = 0;
  FailureDomain m_EntryDomain;
  ServiceName m_Service;
  std::string m_Partition;
  /// Time left until the caller's deadline when the message is sent.
  Duration m_TimeLeft{0};
  std::optional<SnapshotVersion> m_Snapshot;
  std::string m_RequestId;
  /// Set for a request that is not idempotent; the owner sends it at most once.
  std::optional<IdempotencyKey> m_Key;
  std::string m_Body;
  std::vector<RelayItem> m_Items;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_RelayId, m_EntryDomain, m_Service, m_Partition, m_TimeLeft, m_Snapshot,
       m_RequestId, m_Key, m_Body, m_Items);
  }
};

/// The result of a leaf request. Every status but Answered and MaybeExecuted
/// means that the leaf did not execute it.
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
  MaybeExecuted
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
      EnumName<RelayStatus>{RelayStatus::MaybeExecuted, "may_have_run"}};
};

/// The outcome of one leaf request.
struct RelayResponse {
  std::uint32_t m_Item = 0;
  RelayStatus m_Status = RelayStatus::MaybeExecuted;
  /// HTTP status of the leaf's response; 0 without a response.
  std::uint16_t m_HttpStatus = 0;
  SnapshotVersion m_Snapshot;
  std::vector<SnapshotVersion> m_OfferedSnapshots;
  /// Time from sending the request to the leaf's response, and time that the
  /// request spent in the owner's queue before.
  Duration m_LeafTime{0};
  Duration m_QueueTime{0};
  /// Boot id of the leaf's process, from its response.
  std::string m_BootId;
  LeafReport m_LeafReport;
  /// With a refusal: time after which a retry at the leaf may succeed, if
  /// known.
  std::optional<Duration> m_RetryAfter;
  /// With NotOwner: the VM that holds the partition's lease, if known.
  std::optional<VmId> m_LeaseHolder;
  std::string m_Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Item, m_Status, m_HttpStatus, m_Snapshot, m_OfferedSnapshots,
       m_LeafTime, m_QueueTime, m_BootId, m_LeafReport, m_RetryAfter,
       m_LeaseHolder, m_Body);
  }
};

/// Cancels items of a relay whose responses are no longer needed.
struct RelayCancel {
  std::uint64_t m_RelayId = 0;
  std::vector<std::uint32_t> m_Items;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_RelayId, m_Items);
  }
};

/// True if the status proves that the leaf did not execute the request.
constexpr bool provesNotExecuted(RelayStatus Status) {
  return Status != RelayStatus::Answered &&
         Status != RelayStatus::MaybeExecuted;
}

} // namespace ragwortdrift

#endif
