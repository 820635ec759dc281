#ifndef RAGWORTDRIFT_CONSENSUS_ERRORS_HPP
#define RAGWORTDRIFT_CONSENSUS_ERRORS_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace ragwortdrift {

enum class StoreErrorCode {
  FolderUnusable,
  Locked,
  UnknownVersion,
  Damaged,
  ReadFailed,
  WriteFailed,
  DiskFull,
};
template <> struct EnumNames<StoreErrorCode> {
  using Row = EnumName<StoreErrorCode>;
  static constexpr std::array Entries{
      Row{StoreErrorCode::FolderUnusable, "folder_unusable"},
      Row{StoreErrorCode::Locked, "locked"},
      Row{StoreErrorCode::UnknownVersion, "unknown_version"},
      Row{StoreErrorCode::Damaged, "damaged"},
      Row{StoreErrorCode::ReadFailed, "read_failed"},
      Row{StoreErrorCode::WriteFailed, "write_failed"},
      Row{StoreErrorCode::DiskFull, "disk_full"}};
};

/// Error of the log store. m_File is relative to the data folder. m_Offset is
/// the byte offset at which a damaged file becomes unreadable. m_Errno is the
/// system's error number, or 0 if no system call failed.
struct StoreError {
  StoreErrorCode m_Code{};
  std::string m_File;
  std::uint64_t m_Offset = 0;
  int m_Errno = 0;
};

/// The last known leader, to which a caller is redirected. The address is empty
/// if it is not known.
struct LeaderHint {
  VmId m_Vm;
  std::string m_Address;
};

enum class ProposeErrorCode {
  NotLeader,
  LostLeadership,
  StoreFailed,
  TooLarge
};
template <> struct EnumNames<ProposeErrorCode> {
  using Row = EnumName<ProposeErrorCode>;
  static constexpr std::array Entries{
      Row{ProposeErrorCode::NotLeader, "not_leader"},
      Row{ProposeErrorCode::LostLeadership, "lost_leadership"},
      Row{ProposeErrorCode::StoreFailed, "store_failed"},
      Row{ProposeErrorCode::TooLarge, "too_large"}};
};

/// Error of a proposal or a read confirmation. With LostLeadership and
/// StoreFailed the outcome of a proposal is unknown; with the other codes it
/// will never be committed.
struct ProposeError {
  ProposeErrorCode m_Code{};
  std::optional<LeaderHint> m_Leader;
};

enum class MembershipErrorCode {
  NotLeader,
  ChangeInProgress,
  NotCaughtUp,
  UnknownVoter,
  LastVoter,
  ForeignStore,
  StoreFailed,
};
template <> struct EnumNames<MembershipErrorCode> {
  using Row = EnumName<MembershipErrorCode>;
  static constexpr std::array Entries{
      Row{MembershipErrorCode::NotLeader, "not_leader"},
      Row{MembershipErrorCode::ChangeInProgress, "change_in_progress"},
      Row{MembershipErrorCode::NotCaughtUp, "not_caught_up"},
      Row{MembershipErrorCode::UnknownVoter, "unknown_voter"},
      Row{MembershipErrorCode::LastVoter, "last_voter"},
      Row{MembershipErrorCode::ForeignStore, "foreign_store"},
      Row{MembershipErrorCode::StoreFailed, "store_failed"}};
};

/// Error of a membership change. ChangeInProgress is also returned by a leader
/// that has not committed an entry of its own term yet. NotCaughtUp means that
/// the new voter did not respond or did not catch up with the log before the
/// timeout; a VM that was added as a learner stays one and is promoted when it
/// has caught up. ForeignStore means that the VM's data folder holds the log of
/// another cluster.
struct MembershipError {
  MembershipErrorCode m_Code{};
  std::optional<LeaderHint> m_Leader;
};

} // namespace ragwortdrift

#endif
