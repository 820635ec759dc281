#ifndef RAGWORTDRIFT_CONSENSUS_RAFT_TYPES_HPP
#define RAGWORTDRIFT_CONSENSUS_RAFT_TYPES_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortdrift {

/// Position in the log, from 1; 0 means before the first entry.
using LogIndex = std::uint64_t;
/// Election term; 0 means that no election took place.
using LogTerm = std::uint64_t;
/// Identifies one data folder; chosen at random when the folder is formatted.
using StoreId = StrongId<struct StoreIdTag, std::uint64_t>;
/// Identifies one cluster: the store id of the VM that formed it.
using ClusterId = StrongId<struct ClusterIdTag, std::uint64_t>;

/// Identity of a cluster member. A VM whose disk was replaced has a different
/// store id, so votes and acknowledgements of the old disk are not attributed
/// to the new one.
struct MemberKey {
  VmId m_Vm;
  StoreId m_Store;
  friend auto operator<=>(const MemberKey &, const MemberKey &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Vm, m_Store); }
};

struct Member {
  MemberKey m_Key;
  std::string m_Address;
  friend bool operator==(const Member &, const Member &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Key, m_Address); }
};

/// A voter of the initial membership, as configured in the settings.
struct InitialVoter {
  VmId m_Vm;
  std::string m_Address;
  friend bool operator==(const InitialVoter &, const InitialVoter &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Vm, m_Address); }
};

/// Voters form the majority for elections and commits; learners only receive
/// the log.
struct Membership {
  std::vector<Member> m_Voters;
  std::vector<Member> m_Learners;
  friend bool operator==(const Membership &, const Membership &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Voters, m_Learners);
  }
};

enum class EntryKind : std::uint8_t { NoOp, Payload, Membership };

struct LogEntry {
  LogIndex m_Index = 0;
  LogTerm m_Term = 0;
  EntryKind m_Kind = EntryKind::NoOp;
  std::string m_Bytes;
  friend bool operator==(const LogEntry &, const LogEntry &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Index, m_Term, m_Kind, m_Bytes);
  }
};

/// Raft state that must be on disk before any message that depends on it is
/// sent.
struct HardState {
  ClusterId m_Cluster;
  LogTerm m_Term = 0;
  std::optional<MemberKey> m_VotedFor;
  friend bool operator==(const HardState &, const HardState &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Cluster, m_Term, m_VotedFor);
  }
};

/// Application state after applying all entries up to and including m_Index.
struct Snapshot {
  LogIndex m_Index = 0;
  LogTerm m_Term = 0;
  Membership m_Membership;
  std::string m_Bytes;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Index, m_Term, m_Membership, m_Bytes);
  }
};

/// State recovered from a data folder when it is opened. m_Entries are the log
/// entries after the snapshot.
struct RecoveredLog {
  HardState m_HardState;
  std::shared_ptr<const Snapshot> m_Snapshot;
  std::vector<LogEntry> m_Entries;
};

/// RequestVote RPC. m_Transfer marks an election that the leader started by a
/// leadership transfer; voters may grant it while they still receive heartbeats
/// from that leader.
struct VoteRequest {
  bool m_PreVote = false;
  bool m_Transfer = false;
  LogIndex m_LastIndex = 0;
  LogTerm m_LastTerm = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_PreVote, m_Transfer, m_LastIndex, m_LastTerm);
  }
};

struct VoteResponse {
  bool m_PreVote = false;
  bool m_Granted = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_PreVote, m_Granted);
  }
};

/// AppendEntries RPC; a heartbeat if it has no entries. The response echoes
/// m_HeartbeatRound, which confirms reads that were requested before the
/// message was sent.
struct AppendRequest {
  LogIndex m_PrevIndex = 0;
  LogTerm m_PrevTerm = 0;
  LogIndex m_CommitIndex = 0;
  std::uint64_t m_HeartbeatRound = 0;
  std::vector<LogEntry> m_Entries;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_PrevIndex, m_PrevTerm, m_CommitIndex, m_HeartbeatRound, m_Entries);
  }
};

/// On success, m_Index is the last index up to which the follower's log matches
/// the leader's. On a rejection it is the rejected m_PrevIndex, and the hint is
/// the follower's first index of the conflicting term, or one past its last
/// entry with term 0 if it has no entry at m_PrevIndex.
struct AppendResponse {
  bool m_Ok = false;
  LogIndex m_Index = 0;
  LogIndex m_HintIndex = 0;
  LogTerm m_HintTerm = 0;
  std::uint64_t m_HeartbeatRound = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Ok, m_Index, m_HintIndex, m_HintTerm, m_HeartbeatRound);
  }
};

/// A chunk of a snapshot that starts at byte m_Offset of m_Total.
struct SnapshotChunk {
  LogIndex m_Index = 0;
  LogTerm m_SnapshotTerm = 0;
  Membership m_Membership;
  std::uint64_t m_Total = 0;
  std::uint64_t m_Offset = 0;
  std::uint64_t m_HeartbeatRound = 0;
  std::string m_Bytes;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Index, m_SnapshotTerm, m_Membership, m_Total, m_Offset,
       m_HeartbeatRound, m_Bytes);
  }
};

/// m_NextOffset is the offset of the next byte that the follower needs.
/// m_Installed is true if the follower holds everything up to m_Index.
struct SnapshotResponse {
  LogIndex m_Index = 0;
  std::uint64_t m_NextOffset = 0;
  bool m_Installed = false;
  std::uint64_t m_HeartbeatRound = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Index, m_NextOffset, m_Installed, m_HeartbeatRound);
  }
};

/// Makes the receiver start an election without waiting for its election
/// timeout.
struct TimeoutNow {
  template <class Archive> void serialize(Archive &) {}
};

/// Queries the store id of a VM. With m_Bind, a store without log entries joins
/// the sender's cluster before it responds.
struct StoreQuery {
  std::uint64_t m_Nonce = 0;
  bool m_Bind = false;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Nonce, m_Bind); }
};

struct StoreResponse {
  std::uint64_t m_Nonce = 0;
  bool m_Bound = false;
  bool m_HasLog = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Nonce, m_Bound, m_HasLog);
  }
};

using MessageBody =
    std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                 SnapshotChunk, SnapshotResponse, TimeoutNow, StoreQuery,
                 StoreResponse>;

/// m_FromAddress lets the receiver respond to a sender that is not in its
/// membership yet.
struct Message {
  ClusterId m_Cluster;
  MemberKey m_From;
  std::string m_FromAddress;
  MemberKey m_To;
  LogTerm m_Term = 0;
  MessageBody m_Body;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Cluster, m_From, m_FromAddress, m_To, m_Term, m_Body);
  }
};

struct OutgoingMessage {
  std::string m_Address;
  Message m_Message;
};

} // namespace ragwortdrift

#endif
