#ifndef RAGWORTDRIFT_TOOLS_LOAD_RESPONSE_CHECK_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_RESPONSE_CHECK_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/tools/common/manifest_view.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace ragwortdrift::tools {

/// Faults that the check of a response can find.
enum class ResponseFault {
  NotJson,
  MissingField,
  MixedSnapshots,
  OtherSnapshot,
  GroupTwice,
  UnknownGroup,
  WrongGroupsAsked,
  WrongGroupsAnswered,
  WrongCoverage,
  WrongMissing,
  BelowMinimumCoverage,
  ForeignRequestId,
  ForeignBody,
  WrongLeaf,
  Late,
  UntypedRefusal
};
} // namespace ragwortdrift::tools
template <> struct ragwortdrift::EnumNames<ragwortdrift::tools::ResponseFault> {
  using Code = ragwortdrift::tools::ResponseFault;
  static constexpr std::array Entries{
      EnumName<Code>{Code::NotJson, "not_json"},
      EnumName<Code>{Code::MissingField, "missing_field"},
      EnumName<Code>{Code::MixedSnapshots, "mixed_snapshots"},
      EnumName<Code>{Code::OtherSnapshot, "other_snapshot"},
      EnumName<Code>{Code::GroupTwice, "group_twice"},
      EnumName<Code>{Code::UnknownGroup, "unknown_group"},
      EnumName<Code>{Code::WrongGroupsAsked, "wrong_groups_asked"},
      EnumName<Code>{Code::WrongGroupsAnswered, "wrong_groups_answered"},
      EnumName<Code>{Code::WrongCoverage, "wrong_coverage"},
      EnumName<Code>{Code::WrongMissing, "wrong_missing"},
      EnumName<Code>{Code::BelowMinimumCoverage, "below_minimum_coverage"},
      EnumName<Code>{Code::ForeignRequestId, "foreign_request_id"},
      EnumName<Code>{Code::ForeignBody, "foreign_body"},
      EnumName<Code>{Code::WrongLeaf, "wrong_leaf"},
      EnumName<Code>{Code::Late, "late"},
      EnumName<Code>{Code::UntypedRefusal, "untyped_refusal"}};
};
namespace ragwortdrift::tools {

/// Properties of a request that its response is checked against.
struct RequestExpectation {
  const ServiceView *m_Service = nullptr;
  /// Request ids that the response may contain: the result of a booking can
  /// come from any of its attempts.
  std::set<std::string, std::less<>> m_RequestIds;
  std::string m_Body;
  /// Requested snapshot, if any.
  std::optional<std::uint64_t> m_Snapshot;
  double m_MinCoverage = 0;
  Duration m_Deadline{240'000};
};

/// Result of the check of one response.
struct ResponseCheck {
  std::set<ResponseFault> m_Faults;
  /// True if the response has status 200 and a JSON object as its body.
  bool m_Answered = false;
  double m_Coverage = 0;
  /// Error code of a refusal.
  std::string m_Error;
  /// Value of `not_run` in a refusal, if present: true if the request was not
  /// executed.
  std::optional<bool> m_NotExecuted;
};

/// Checks the response of an entry VM. Elapsed is the time since the caller
/// sent the request.
ResponseCheck checkResponse(const RequestExpectation &Request, unsigned Status,
                            std::string_view Body, Duration Elapsed);

/// Returns the hash of a request body as leafs put it into their responses:
/// hexadecimal, without leading zeros.
std::string bodyHash(std::string_view Body);

/// Returns the HTTP status that belongs to an error code, or std::nullopt if
/// callers must never see the code.
std::optional<unsigned> statusOfError(std::string_view Code);

} // namespace ragwortdrift::tools

#endif
