#ifndef RAGWORTDRIFT_NODE_QUERY_HPP
#define RAGWORTDRIFT_NODE_QUERY_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/policy/admission.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortdrift {

/// Identifies a booking: a request that is not idempotent and must be executed
/// at most once.
struct BookingIdentity {
  IdempotencyKey m_Key;
  UnixMillis m_IssuedAt{0};
};

/// A caller's request after validation.
struct QueryRequest {
  ServiceName m_Service;
  /// Time from the arrival of the request to the caller's deadline; nothing for
  /// the service's default.
  std::optional<Duration> m_Deadline;
  double m_MinCoverage = 0;
  std::optional<SnapshotVersion> m_Snapshot;
  Priority m_Priority = Priority::Normal;
  CustomerId m_Customer;
  /// Set if the request is marked as not idempotent (Rd-Repeatable: no).
  std::optional<BookingIdentity> m_Booking;
  std::string m_RequestId;
  std::string m_Body;
};

enum class QueryRefusalCode : std::uint8_t {
  BadRequest,
  UnknownService,
  TooLarge,
  Overloaded,
  Stopping,
  NoConfiguration,
  NoQuorum,
  CoverageTooLow,
  DeadlineExceeded,
  Unavailable,
  MaybeExecuted,
  KeyReused,
  KeyExpired,
  KeyInProgress,
  Internal
};
template <> struct EnumNames<QueryRefusalCode> {
  static constexpr std::array Entries{
      EnumName<QueryRefusalCode>{QueryRefusalCode::BadRequest, "bad_request"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::UnknownService,
                                 "unknown_service"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::TooLarge, "too_large"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::Overloaded, "overloaded"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::Stopping, "stopping"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::NoConfiguration,
                                 "no_configuration"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::NoQuorum, "no_quorum"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::CoverageTooLow,
                                 "coverage_too_low"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::DeadlineExceeded,
                                 "deadline_exceeded"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::Unavailable, "unavailable"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::MaybeExecuted,
                                 "may_have_run"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::KeyReused, "key_reused"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::KeyExpired, "key_expired"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::KeyInProgress,
                                 "key_in_progress"},
      EnumName<QueryRefusalCode>{QueryRefusalCode::Internal, "internal"}};
};

/// Reason for which a caller's request fails. m_NotExecuted is true only if no
/// leaf executed any part of the request and none will.
struct Refusal {
  QueryRefusalCode m_Code = QueryRefusalCode::Internal;
  bool m_NotExecuted = false;
  std::string m_Detail;
};

/// The HTTP status of a refusal.
unsigned httpStatusOf(QueryRefusalCode Code);

/// The response of one group.
struct QueryPart {
  GroupName m_Group;
  LeafId m_Leaf;
  std::string m_Body;
};

/// A merged response. All parts come from m_Snapshot. m_Missing has the groups
/// without a part.
struct QueryResponse {
  SnapshotVersion m_Snapshot;
  std::uint32_t m_GroupsRequested = 0;
  std::vector<QueryPart> m_Parts;
  std::vector<GroupName> m_Missing;
  bool m_DeadlineCut = false;
};

using QueryOutcome = std::variant<QueryResponse, Refusal>;

} // namespace ragwortdrift

#endif
