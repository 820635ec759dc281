#ifndef RAGWORTDRIFT_NODE_ADMIN_MESSAGES_HPP
#define RAGWORTDRIFT_NODE_ADMIN_MESSAGES_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/config/manifest.hpp"
#include "ragwortdrift/state/replicated_state.hpp"

#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortdrift {

using AdminHttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using AdminHttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Reason for which the daemon could not carry out an operator's request.
enum class ControlErrorCode {
  /// No leader with a quorum is known. Nothing was changed.
  NoQuorum,
  /// The command may or may not have been committed. Sending it again with the
  /// same submit id returns its result.
  UnknownOutcome,
  /// The VM has not received the whole log yet.
  NotCaughtUp,
  /// Another change of voters is not finished.
  ChangeInProgress,
  UnknownVm,
  AlreadyVoter,
  NotVoter,
  /// The last voter cannot be removed.
  LastVoter,
  /// The VM has no data folder.
  NoStorage,
  StorageFailed,
  /// The command does not fit into a message between VMs.
  TooLarge,
  Stopping,
  Internal
};
template <> struct EnumNames<ControlErrorCode> {
  using Code = ControlErrorCode;
  static constexpr std::array Entries{
      EnumName<Code>{Code::NoQuorum, "no_quorum"},
      EnumName<Code>{Code::UnknownOutcome, "unknown_outcome"},
      EnumName<Code>{Code::NotCaughtUp, "not_caught_up"},
      EnumName<Code>{Code::ChangeInProgress, "change_in_progress"},
      EnumName<Code>{Code::UnknownVm, "unknown_vm"},
      EnumName<Code>{Code::AlreadyVoter, "already_voter"},
      EnumName<Code>{Code::NotVoter, "not_voter"},
      EnumName<Code>{Code::LastVoter, "last_voter"},
      EnumName<Code>{Code::NoStorage, "no_storage"},
      EnumName<Code>{Code::StorageFailed, "storage_failed"},
      EnumName<Code>{Code::TooLarge, "too_large"},
      EnumName<Code>{Code::Stopping, "stopping"},
      EnumName<Code>{Code::Internal, "internal"}};
};

/// A failure of a control call.
struct ControlError {
  ControlErrorCode m_Code{};
  /// Text for operators; may be empty.
  std::string m_Detail;

  friend bool operator==(const ControlError &, const ControlError &) = default;
};

enum class VoterChangeKind { Add, Remove };
template <> struct EnumNames<VoterChangeKind> {
  static constexpr std::array Entries{
      EnumName<VoterChangeKind>{VoterChangeKind::Add, "add"},
      EnumName<VoterChangeKind>{VoterChangeKind::Remove, "remove"}};
};
/// Adds a VM to the voters or removes it.
struct VoterChange {
  VmId m_Vm;
  VoterChangeKind m_Kind{};
};

enum class VoterRole { Leader, Follower, Learner };
template <> struct EnumNames<VoterRole> {
  static constexpr std::array Entries{
      EnumName<VoterRole>{VoterRole::Leader, "leader"},
      EnumName<VoterRole>{VoterRole::Follower, "follower"},
      EnumName<VoterRole>{VoterRole::Learner, "learner"}};
};
/// A member of the replicated log, as seen by the reporting VM.
struct VoterReport {
  VmId m_Vm;
  VoterRole m_Role{};
};

enum class VmCondition { Alive, Suspected, Leaving, Dead };
template <> struct EnumNames<VmCondition> {
  static constexpr std::array Entries{
      EnumName<VmCondition>{VmCondition::Alive, "alive"},
      EnumName<VmCondition>{VmCondition::Suspected, "suspected"},
      EnumName<VmCondition>{VmCondition::Leaving, "leaving"},
      EnumName<VmCondition>{VmCondition::Dead, "dead"}};
};
/// A VM in the membership list of the reporting VM.
struct VmReport {
  VmId m_Vm;
  FailureDomain m_Domain;
  Incarnation m_Incarnation;
  VmCondition m_Condition{};
};

/// The deployment as seen by one VM.
struct ControlStatus {
  VmId m_Vm;
  FailureDomain m_Domain;
  Incarnation m_Incarnation;
  Revision m_Revision;
  /// Time since a leader with a quorum confirmed the revision; nothing when
  /// none has.
  std::optional<std::chrono::milliseconds> m_ConfigAge;
  bool m_Stale = false;
  std::optional<VmId> m_Leader;
  std::uint64_t m_Term = 0;
  std::uint64_t m_CommitIndex = 0;
  std::vector<VoterReport> m_Voters;
  std::vector<VmReport> m_Vms;
  std::vector<FailureDomain> m_DomainsOut;
  std::vector<LeafId> m_LeafsDraining;
  /// Partitions for which this VM holds the lease.
  std::vector<std::string> m_PartitionsOwned;
};

/// The manifest in force on a VM.
struct ManifestText {
  Revision m_Revision;
  std::string m_Text;
};

/// A snapshot of the replicated state written by a voter.
struct SnapshotReport {
  std::uint64_t m_LogIndex = 0;
  std::uint64_t m_Bytes = 0;
};

/// Readiness of the daemon to accept callers' requests.
enum class Readiness { Ready, NoConfiguration, Stopping };
template <> struct EnumNames<Readiness> {
  static constexpr std::array Entries{
      EnumName<Readiness>{Readiness::Ready, "ready"},
      EnumName<Readiness>{Readiness::NoConfiguration, "no_configuration"},
      EnumName<Readiness>{Readiness::Stopping, "stopping"}};
};

/// The parsed content of an operator's HTTP request.
struct SubmitRequest {
  SubmitId m_Id;
  Command m_Command;
};
struct StatusRequest {};
struct ManifestRequest {};
struct CustomerRequest {
  CustomerId m_Name;
};
struct SnapshotRequest {};
struct ReadyRequest {};
struct MetricsRequest {};
using AdminRequest =
    std::variant<SubmitRequest, VoterChange, StatusRequest, ManifestRequest,
                 CustomerRequest, SnapshotRequest, ReadyRequest,
                 MetricsRequest>;

enum class AdminErrorCode {
  NotFound,
  MethodNotAllowed,
  BadRequest,
  BadManifest
};
template <> struct EnumNames<AdminErrorCode> {
  using Code = AdminErrorCode;
  static constexpr std::array Entries{
      EnumName<Code>{Code::NotFound, "not_found"},
      EnumName<Code>{Code::MethodNotAllowed, "method_not_allowed"},
      EnumName<Code>{Code::BadRequest, "bad_request"},
      EnumName<Code>{Code::BadManifest, "bad_manifest"}};
};

/// Reason for which an operator's HTTP request is invalid.
struct AdminError {
  AdminErrorCode m_Code{};
  std::string m_Detail;
  /// With BadManifest: the errors in the manifest.
  std::vector<ConfigError> m_ManifestErrors;
};

/// Parses and validates an operator's HTTP request. Thread-safe.
///
///   POST /admin/submit    Rd-Submit-Id, optional Rd-Base-Revision; a manifest
///   POST /admin/domain    Rd-Submit-Id; {"domain": NAME, "state": "out"|"in"}
///   POST /admin/leaf      Rd-Submit-Id; {"leaf": NAME,
///                         "state": "drain"|"return"}
///   POST /admin/voter     {"vm": NAME, "change": "add"|"remove"}
///   GET  /admin/customer  ?name=NAME
///   GET  /admin/status, /admin/manifest, /ready, /metrics
///   POST /admin/snapshot
Result<AdminRequest, AdminError>
parseAdminRequest(const AdminHttpRequest &Request);

/// Format HTTP responses. Bodies are JSON objects, except for metrics, which
/// are text. Every failure has the member `error`. A response from the
/// replicated state has the member `result`: accepted with `revision`, conflict
/// with `current_revision`, or refused. `resent` is true when a submit id was
/// used before and the response repeats its first result.
AdminHttpResponse toResponse(const AdminError &Error);
AdminHttpResponse
toResponse(const SubmitId &Id,
           const Result<CommandResult, ControlError> &Outcome);
AdminHttpResponse toResponse(const VoterChange &Change,
                             const Result<Done, ControlError> &Outcome);
AdminHttpResponse toResponse(const Result<ControlStatus, ControlError> &Status);
AdminHttpResponse
toResponse(const Result<ManifestText, ControlError> &Manifest);
AdminHttpResponse
toResponse(const CustomerId &Name,
           const Result<std::optional<CustomerRecord>, ControlError> &Outcome);
AdminHttpResponse
toResponse(const Result<SnapshotReport, ControlError> &Report);
AdminHttpResponse toResponse(Readiness Ready);
AdminHttpResponse metricsResponse(std::string Text);

} // namespace ragwortdrift

#endif
