#ifndef RAGWORTDRIFT_POLICY_BOOKING_OUTCOME_HPP
#define RAGWORTDRIFT_POLICY_BOOKING_OUTCOME_HPP

#include "ragwortdrift/base/enum_names.hpp"

#include <cstdint>

namespace ragwortdrift {

/// How an attempt to run a request that is not repeatable failed.
enum class AttemptFailure : std::uint8_t {
  /// No owner of the partition is known, or the relay could not be opened.
  RelayNotOpened,
  /// A typed refusal of the owner: not_owner, stale_configuration, cold,
  /// queue_full, leaf_out, draining or deadline.
  OwnerRefused,
  /// The relay broke, or was silent, after the request was written to it.
  RelayLost,
  /// Connecting to the leaf was refused or timed out.
  ConnectFailed,
  /// The deadline passed, or the caller left, before the first byte was sent.
  EndedBeforeSend,
  /// 503 with Rd-Not-Run: 1.
  LeafShed,
  /// 409: the leaf does not offer the snapshot.
  LeafRefusedSnapshot,
  /// Any other 4xx or 5xx of the leaf.
  LeafFailed,
  /// Writing failed after the first byte.
  WriteFailed,
  /// The connection ended before a whole answer.
  ConnectionLost,
  /// No byte for the silence limit.
  ConnectionSilent,
  /// The answer could not be read as HTTP or was too large.
  BadAnswer,
  /// The deadline passed, or the caller left, after the first byte was sent.
  EndedAfterSend
};
template <> struct EnumNames<AttemptFailure> {
  static constexpr std::array Entries{
      EnumName<AttemptFailure>{AttemptFailure::RelayNotOpened,
                               "relay_not_opened"},
      EnumName<AttemptFailure>{AttemptFailure::OwnerRefused, "owner_refused"},
      EnumName<AttemptFailure>{AttemptFailure::RelayLost, "relay_lost"},
      EnumName<AttemptFailure>{AttemptFailure::ConnectFailed, "connect_failed"},
      EnumName<AttemptFailure>{AttemptFailure::EndedBeforeSend,
                               "ended_before_send"},
      EnumName<AttemptFailure>{AttemptFailure::LeafShed, "leaf_shed"},
      EnumName<AttemptFailure>{AttemptFailure::LeafRefusedSnapshot,
                               "leaf_refused_snapshot"},
      EnumName<AttemptFailure>{AttemptFailure::LeafFailed, "leaf_failed"},
      EnumName<AttemptFailure>{AttemptFailure::WriteFailed, "write_failed"},
      EnumName<AttemptFailure>{AttemptFailure::ConnectionLost,
                               "connection_lost"},
      EnumName<AttemptFailure>{AttemptFailure::ConnectionSilent,
                               "connection_silent"},
      EnumName<AttemptFailure>{AttemptFailure::BadAnswer, "bad_answer"},
      EnumName<AttemptFailure>{AttemptFailure::EndedAfterSend,
                               "ended_after_send"}};
};

/// Whether a failed attempt can have run at a leaf.
enum class RunCertainty : std::uint8_t { NotRun, MayHaveRun };
template <> struct EnumNames<RunCertainty> {
  static constexpr std::array Entries{
      EnumName<RunCertainty>{RunCertainty::NotRun, "not_run"},
      EnumName<RunCertainty>{RunCertainty::MayHaveRun, "may_have_run"}};
};

RunCertainty runCertainty(AttemptFailure Failure);

/// Whether the holder of the claim may ask another replica within the deadline.
bool mayTryAnotherReplica(AttemptFailure Failure);

} // namespace ragwortdrift

#endif
