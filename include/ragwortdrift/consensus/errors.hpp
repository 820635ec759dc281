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

/// Why the log store cannot be used. m_File is relative to the data folder.
/// m_Offset is the byte where a damaged file stops being readable. m_Errno is
/// the system's error number, 0 when no system call failed.
struct StoreError {
  StoreErrorCode m_Code{};
  std::string m_File;
  std::uint64_t m_Offset = 0;
  int m_Errno = 0;
};

/// The leader as far as it is known, for a caller that has to go to it.
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

/// Why a proposal or a read confirmation failed. LostLeadership and StoreFailed
/// leave the outcome of a proposal unknown; the other codes mean that it will
/// never be committed.
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

/// Why a change of the voters failed. ChangeInProgress also covers a leader
/// that has not committed an entry of its own term yet. NotCaughtUp means that
/// the new voter did not answer or does not hold the whole log in time; it
/// stays a learner and is promoted when it does. ForeignStore means that the
/// VM's data folder holds the log of another cluster.
struct MembershipError {
  MembershipErrorCode m_Code{};
  std::optional<LeaderHint> m_Leader;
};

} // namespace ragwortdrift

#endif
