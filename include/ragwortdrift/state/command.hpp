#ifndef RAGWORTDRIFT_STATE_COMMAND_HPP
#define RAGWORTDRIFT_STATE_COMMAND_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/config/document.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortdrift {

/// Replaces the manifest. With a base revision, the command is accepted only if
/// that is the current revision. m_Manifest is a document returned by
/// parseManifest.
struct SubmitManifest {
  SubmitId m_Id;
  std::optional<Revision> m_Base;
  Document m_Manifest;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Id, m_Base, m_Manifest);
  }
};

enum class DomainChange : std::uint8_t { Out, In };
template <> struct EnumNames<DomainChange> {
  static constexpr std::array Entries{
      EnumName<DomainChange>{DomainChange::Out, "out"},
      EnumName<DomainChange>{DomainChange::In, "in"}};
};

/// Takes a failure domain out of service or returns it to service.
struct DomainCommand {
  SubmitId m_Id;
  FailureDomain m_Domain;
  DomainChange m_Change{};

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Id, m_Domain, m_Change);
  }
};

enum class LeafChange : std::uint8_t { Drain, Return };
template <> struct EnumNames<LeafChange> {
  static constexpr std::array Entries{
      EnumName<LeafChange>{LeafChange::Drain, "drain"},
      EnumName<LeafChange>{LeafChange::Return, "return"}};
};

/// Drains a leaf or returns it to service.
struct LeafCommand {
  SubmitId m_Id;
  LeafId m_Leaf;
  LeafChange m_Change{};

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Id, m_Leaf, m_Change);
  }
};

/// Registers a VM and its addresses, or replaces its entry.
struct RegisterVm {
  Vm m_Vm;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Vm.m_Id, m_Vm.m_Domain, m_Vm.m_Control, m_Vm.m_Relay, m_Vm.m_Admin,
       m_Vm.m_HasDisk);
  }
};

/// Removes the entry of a VM. Has no effect if there is none.
struct RemoveVm {
  VmId m_Vm;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Vm); }
};

/// Claims the right to execute a non-idempotent request. The claim is committed
/// before the request is sent to a leaf.
struct ClaimBooking {
  IdempotencyKey m_Key;
  std::uint64_t m_BodyHash = 0;
  ServiceName m_Service;
  /// The entry VM that executes the request, and its incarnation.
  VmId m_Holder;
  Incarnation m_Incarnation;
  /// The header Rd-Issued-At of the request.
  UnixMillis m_IssuedAt{0};

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Key, m_BodyHash, m_Service, m_Holder, m_Incarnation, m_IssuedAt);
  }
};

/// The response of a leaf to a claimed request.
struct BookingOutcome {
  std::uint16_t m_HttpStatus = 0;
  /// Not set if the body was larger than MaxOutcomeBodyBytes.
  std::optional<std::string> m_Body;

  friend bool operator==(const BookingOutcome &,
                         const BookingOutcome &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_HttpStatus, m_Body);
  }
};

/// Largest response body that is stored with an outcome, in bytes.
inline constexpr std::size_t MaxOutcomeBodyBytes = 4096;

/// Records the outcome of a claim. Accepted only from the holder of the claim.
struct RecordOutcome {
  IdempotencyKey m_Key;
  VmId m_Holder;
  Incarnation m_Incarnation;
  BookingOutcome m_Outcome;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Key, m_Holder, m_Incarnation, m_Outcome);
  }
};

/// Releases a claim whose request was certainly not executed. Accepted only
/// from the holder of the claim.
struct ReleaseClaim {
  IdempotencyKey m_Key;
  VmId m_Holder;
  Incarnation m_Incarnation;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Key, m_Holder, m_Incarnation);
  }
};

/// A change to the replicated state.
using Command =
    std::variant<SubmitManifest, DomainCommand, LeafCommand, RegisterVm,
                 RemoveVm, ClaimBooking, RecordOutcome, ReleaseClaim>;

/// The payload of an entry of the replicated log: the leader's wall-clock time
/// and a batch of commands.
struct CommandBatch {
  UnixMillis m_Time{0};
  std::vector<Command> m_Commands;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Time, m_Commands);
  }
};

/// The configuration has the requested content as of this revision.
struct Accepted {
  Revision m_Revision;
  friend bool operator==(const Accepted &, const Accepted &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Revision); }
};

/// The base revision was not the current revision.
struct Conflict {
  Revision m_Current;
  friend bool operator==(const Conflict &, const Conflict &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Current); }
};

enum class RefusalCode : std::uint8_t {
  BadSubmitId,
  SubmitIdReused,
  BadManifest,
  BadVm,
  UnknownDomain,
  UnknownLeaf
};
template <> struct EnumNames<RefusalCode> {
  static constexpr std::array Entries{
      EnumName<RefusalCode>{RefusalCode::BadSubmitId, "bad_submit_id"},
      EnumName<RefusalCode>{RefusalCode::SubmitIdReused, "submit_id_reused"},
      EnumName<RefusalCode>{RefusalCode::BadManifest, "bad_manifest"},
      EnumName<RefusalCode>{RefusalCode::BadVm, "bad_vm"},
      EnumName<RefusalCode>{RefusalCode::UnknownDomain, "unknown_domain"},
      EnumName<RefusalCode>{RefusalCode::UnknownLeaf, "unknown_leaf"}};
};

/// The configuration is unchanged. SubmitIdReused means that the submit id was
/// used before with different content.
struct Refused {
  RefusalCode m_Code{};
  friend bool operator==(const Refused &, const Refused &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Code); }
};

/// The result of a command with a submit id.
using SubmitResult = std::variant<Accepted, Conflict, Refused>;

/// A retried command: the submit id was used before with the same content.
/// m_First is the result of the first submission.
struct DuplicateSubmit {
  SubmitResult m_First;
  friend bool operator==(const DuplicateSubmit &,
                         const DuplicateSubmit &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_First); }
};

/// The holder may execute the request.
struct ClaimGranted {
  friend bool operator==(const ClaimGranted &, const ClaimGranted &) = default;
  template <class Archive> void serialize(Archive & /*Ar*/) {}
};

/// The request was already executed, with this outcome.
struct ClaimDone {
  BookingOutcome m_Outcome;
  friend bool operator==(const ClaimDone &, const ClaimDone &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Outcome); }
};

/// Another request holds the claim on the key, and no outcome is recorded.
struct ClaimPending {
  VmId m_Holder;
  Incarnation m_Incarnation;
  friend bool operator==(const ClaimPending &, const ClaimPending &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Holder, m_Incarnation);
  }
};

enum class ClaimRefusalCode : std::uint8_t {
  /// The key was used for a request with another body or service.
  KeyReused,
  /// The request is so old that an earlier claim on its key may have been
  /// dropped.
  KeyExpired,
  /// The request was issued more than MaxIssuedAtSkew in the future.
  IssuedInFuture,
  /// The key is empty or longer than 64 bytes.
  BadKey,
  /// An outcome or release for a key without a claim.
  NoClaim,
  /// An outcome or release from a VM or incarnation that does not hold the
  /// claim.
  NotHolder,
  /// A release of, or a different outcome for, a claim that has an outcome.
  HasOutcome
};
template <> struct EnumNames<ClaimRefusalCode> {
  using Code = ClaimRefusalCode;
  static constexpr std::array Entries{
      EnumName<Code>{Code::KeyReused, "key_reused"},
      EnumName<Code>{Code::KeyExpired, "key_expired"},
      EnumName<Code>{Code::IssuedInFuture, "issued_in_future"},
      EnumName<Code>{Code::BadKey, "bad_key"},
      EnumName<Code>{Code::NoClaim, "no_claim"},
      EnumName<Code>{Code::NotHolder, "not_holder"},
      EnumName<Code>{Code::HasOutcome, "has_outcome"}};
};

/// The claims are unchanged.
struct ClaimRefused {
  ClaimRefusalCode m_Code{};
  friend bool operator==(const ClaimRefused &, const ClaimRefused &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Code); }
};

/// The outcome is stored, or was already stored by an identical command.
struct OutcomeRecorded {
  friend bool operator==(const OutcomeRecorded &,
                         const OutcomeRecorded &) = default;
  template <class Archive> void serialize(Archive & /*Ar*/) {}
};

/// The key can be claimed again.
struct ClaimReleased {
  friend bool operator==(const ClaimReleased &,
                         const ClaimReleased &) = default;
  template <class Archive> void serialize(Archive & /*Ar*/) {}
};

/// The result of a command.
using CommandResult =
    std::variant<Accepted, Conflict, Refused, DuplicateSubmit, ClaimGranted,
                 ClaimDone, ClaimPending, ClaimRefused, OutcomeRecorded,
                 ClaimReleased>;

} // namespace ragwortdrift

#endif
