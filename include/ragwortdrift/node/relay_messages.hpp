#ifndef RAGWORTDRIFT_NODE_RELAY_MESSAGES_HPP
#define RAGWORTDRIFT_NODE_RELAY_MESSAGES_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"

#include <optional>
#include <string>
#include <vector>

namespace ragwortdrift {

/// One leaf request within a relay. The item number is chosen by the entry VM
/// and returned with the answer.
struct RelayItem {
  std::uint32_t m_Item = 0;
  LeafId m_Leaf;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Item, m_Leaf); }
};

/// The leaf requests of one query for one partition, sent by the entry VM to
/// the partition's owner.
struct RelayRequest {
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
    Ar(m_EntryDomain, m_Service, m_Partition, m_TimeLeft, m_Snapshot,
       m_RequestId, m_Key, m_Body, m_Items);
  }
};

/// What became of a leaf request. Every status but Answered and MayHaveRun
/// means that it did not run.
enum class LeafStatus : std::uint8_t {
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
template <> struct EnumNames<LeafStatus> {
  static constexpr std::array Entries{
      EnumName<LeafStatus>{LeafStatus::Answered, "answered"},
      EnumName<LeafStatus>{LeafStatus::NotOwner, "not_owner"},
      EnumName<LeafStatus>{LeafStatus::StaleConfiguration,
                           "stale_configuration"},
      EnumName<LeafStatus>{LeafStatus::Cold, "cold"},
      EnumName<LeafStatus>{LeafStatus::QueueFull, "queue_full"},
      EnumName<LeafStatus>{LeafStatus::LeafOut, "leaf_out"},
      EnumName<LeafStatus>{LeafStatus::Draining, "draining"},
      EnumName<LeafStatus>{LeafStatus::Shed, "shed"},
      EnumName<LeafStatus>{LeafStatus::VersionNotOffered,
                           "version_not_offered"},
      EnumName<LeafStatus>{LeafStatus::ConnectFailed, "connect_failed"},
      EnumName<LeafStatus>{LeafStatus::DeadlineBeforeSend,
                           "deadline_before_send"},
      EnumName<LeafStatus>{LeafStatus::MayHaveRun, "may_have_run"}};
};

/// The outcome of one leaf request.
struct LeafAnswer {
  std::uint32_t m_Item = 0;
  LeafStatus m_Status = LeafStatus::MayHaveRun;
  /// HTTP status of the leaf; 0 when there was no answer.
  std::uint16_t m_HttpStatus = 0;
  SnapshotVersion m_Snapshot;
  std::vector<SnapshotVersion> m_Offered;
  /// Time from sending to the answer, and time in the owner's queue before.
  Duration m_LeafTime{0};
  Duration m_QueueTime{0};
  /// Requests at the leaf in units of its slots, as its last answer reported.
  double m_Load = 0;
  bool m_Cold = false;
  bool m_Leaving = false;
  /// With NotOwner: the VM that holds the lease, if known.
  std::optional<VmId> m_Holder;
  std::string m_Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Item, m_Status, m_HttpStatus, m_Snapshot, m_Offered, m_LeafTime,
       m_QueueTime, m_Load, m_Cold, m_Leaving, m_Holder, m_Body);
  }
};

} // namespace ragwortdrift

#endif
