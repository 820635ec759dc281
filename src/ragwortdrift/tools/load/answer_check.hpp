#ifndef RAGWORTDRIFT_TOOLS_LOAD_ANSWER_CHECK_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_ANSWER_CHECK_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/tools/common/manifest_view.hpp"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace ragwortdrift::tools {

/// What can be wrong with an answer.
enum class Fault {
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
template <> struct ragwortdrift::EnumNames<ragwortdrift::tools::Fault> {
  using Code = ragwortdrift::tools::Fault;
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

/// What the caller knows about its own request.
struct AskedFor {
  const ServiceView *m_Service = nullptr;
  /// Request ids that the answer may carry: the outcome of a booking comes from
  /// any of its attempts.
  std::set<std::string, std::less<>> m_RequestIds;
  std::string m_Body;
  /// The version requested, if any.
  std::optional<std::uint64_t> m_Snapshot;
  double m_MinCoverage = 0;
  Duration m_Deadline{240'000};
};

/// The result of a check.
struct AnswerCheck {
  std::set<Fault> m_Faults;
  /// True for a whole 200 answer.
  bool m_Answered = false;
  double m_Coverage = 0;
  /// The code of a refusal.
  std::string m_Error;
  /// Set when the refusal says whether the request ran.
  std::optional<bool> m_NotRun;
};

/// Checks an answer of an entry VM that took Elapsed from the moment the caller
/// sent the request.
AnswerCheck checkAnswer(const AskedFor &Asked, unsigned Status,
                        std::string_view Body, Duration Elapsed);

/// The body hash that a leaf puts into its answer.
std::string bodyHash(std::string_view Body);

/// The codes of refusals that callers may see, with their HTTP status.
std::optional<unsigned> statusOfError(std::string_view Code);

} // namespace ragwortdrift::tools

#endif
