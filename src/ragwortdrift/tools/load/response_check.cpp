#include "ragwortdrift/tools/load/response_check.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace ragwortdrift::tools {

namespace {

namespace json = boost::json;

struct ErrorRow {
  std::string_view m_Code;
  unsigned m_Status;
};

constexpr std::array ErrorTable{
    ErrorRow{"bad_request", 400},      ErrorRow{"unknown_service", 404},
    ErrorRow{"too_large", 413},        ErrorRow{"overloaded", 503},
    ErrorRow{"stopping", 503},         ErrorRow{"no_configuration", 503},
    ErrorRow{"no_quorum", 503},        ErrorRow{"unavailable", 503},
    ErrorRow{"coverage_too_low", 504}, ErrorRow{"deadline_exceeded", 504},
    ErrorRow{"may_have_run", 409},     ErrorRow{"key_reused", 409},
    ErrorRow{"key_expired", 409},      ErrorRow{"key_in_progress", 409},
    ErrorRow{"internal", 500}};

/// Accepted rounding error of the coverage in a response.
constexpr double CoverageTolerance = 1e-6;

std::optional<double> numberAt(const json::object &Object,
                               std::string_view Key) {
  const auto *Value = Object.if_contains(Key);
  if (!Value)
    return std::nullopt;
  if (Value->is_number())
    return Value->to_number<double>();
  if (!Value->is_string())
    return std::nullopt;
  const std::string Text(Value->as_string());
  char *End = nullptr;
  const double Number = std::strtod(Text.c_str(), &End);
  return Text.empty() || *End != '\0' ? std::nullopt : std::optional(Number);
}

std::string textAt(const json::object &Object, std::string_view Key) {
  const auto *Value = Object.if_contains(Key);
  return Value && Value->is_string() ? std::string(Value->as_string())
                                     : std::string();
}

/// Returns the response of the leaf inside a part, which is an object or its
/// serialized text.
std::optional<json::object> leafBody(const json::object &Part) {
  const auto *Body = Part.if_contains("body");
  if (!Body)
    return std::nullopt;
  if (Body->is_object())
    return Body->as_object();
  if (!Body->is_string())
    return std::nullopt;
  boost::system::error_code Code;
  const auto Parsed = json::parse(Body->as_string(), Code);
  if (Code || !Parsed.is_object())
    return std::nullopt;
  return Parsed.as_object();
}

void checkPart(const RequestExpectation &Request, const json::object &Part,
               double Snapshot, std::set<std::string> &AnsweredGroups,
               std::set<ResponseFault> &Faults) {
  const std::string Group = textAt(Part, "group");
  const std::string Leaf = textAt(Part, "leaf");
  const auto GroupEntry = Request.m_Service->m_Groups.find(Group);
  if (GroupEntry == Request.m_Service->m_Groups.end()) {
    Faults.insert(ResponseFault::UnknownGroup);
    return;
  }
  if (!AnsweredGroups.insert(Group).second)
    Faults.insert(ResponseFault::GroupTwice);
  const auto Body = leafBody(Part);
  if (!Body) {
    Faults.insert(ResponseFault::MissingField);
    return;
  }
  if (numberAt(*Body, "snapshot") != Snapshot)
    Faults.insert(ResponseFault::MixedSnapshots);
  if (!Request.m_RequestIds.contains(textAt(*Body, "request_id")))
    Faults.insert(ResponseFault::ForeignRequestId);
  if (textAt(*Body, "body_hash") != bodyHash(Request.m_Body))
    Faults.insert(ResponseFault::ForeignBody);
  const bool InGroup =
      std::ranges::any_of(GroupEntry->second, [&](const LeafView &Candidate) {
        return Candidate.m_Name == Leaf;
      });
  if (!InGroup || textAt(*Body, "leaf") != Leaf ||
      textAt(*Body, "group") != Group)
    Faults.insert(ResponseFault::WrongLeaf);
}

void checkCoverage(const RequestExpectation &Request,
                   const json::object &Response,
                   const std::set<std::string> &AnsweredGroups,
                   ResponseCheck &Check) {
  const auto &Groups = Request.m_Service->m_Groups;
  const auto GroupCount = static_cast<double>(Groups.size());
  const auto AnsweredCount = static_cast<double>(AnsweredGroups.size());
  const auto ReportedAsked = numberAt(Response, "groups_asked");
  const auto ReportedAnswered = numberAt(Response, "groups_answered");
  const auto Coverage = numberAt(Response, "coverage");
  const auto *Missing = Response.if_contains("missing");
  if (!ReportedAsked || !ReportedAnswered || !Coverage || !Missing ||
      !Missing->is_array()) {
    Check.m_Faults.insert(ResponseFault::MissingField);
    return;
  }
  if (*ReportedAsked != GroupCount)
    Check.m_Faults.insert(ResponseFault::WrongGroupsAsked);
  if (*ReportedAnswered != AnsweredCount)
    Check.m_Faults.insert(ResponseFault::WrongGroupsAnswered);
  Check.m_Coverage = GroupCount > 0 ? AnsweredCount / GroupCount : 0;
  if (std::abs(*Coverage - Check.m_Coverage) > CoverageTolerance)
    Check.m_Faults.insert(ResponseFault::WrongCoverage);
  if (Check.m_Coverage + CoverageTolerance < Request.m_MinCoverage)
    Check.m_Faults.insert(ResponseFault::BelowMinimumCoverage);
  std::multiset<std::string> ExpectedMissing;
  for (const auto &[Group, Leafs] : Groups)
    if (!AnsweredGroups.contains(Group))
      ExpectedMissing.insert(Group);
  std::multiset<std::string> ReportedMissing;
  for (const auto &Name : Missing->as_array())
    ReportedMissing.insert(Name.is_string() ? std::string(Name.as_string())
                                            : "");
  if (ReportedMissing != ExpectedMissing)
    Check.m_Faults.insert(ResponseFault::WrongMissing);
}

void checkComplete(const RequestExpectation &Request,
                   const json::object &Response, ResponseCheck &Check) {
  const auto *Parts = Response.if_contains("parts");
  const auto Snapshot = numberAt(Response, "snapshot");
  if (!Parts || !Parts->is_array() || !Snapshot) {
    Check.m_Faults.insert(ResponseFault::MissingField);
    return;
  }
  if (Request.m_Snapshot &&
      static_cast<double>(*Request.m_Snapshot) != *Snapshot)
    Check.m_Faults.insert(ResponseFault::OtherSnapshot);
  std::set<std::string> AnsweredGroups;
  for (const auto &Part : Parts->as_array()) {
    if (Part.is_object())
      checkPart(Request, Part.as_object(), *Snapshot, AnsweredGroups,
                Check.m_Faults);
    else
      Check.m_Faults.insert(ResponseFault::MissingField);
  }
  checkCoverage(Request, Response, AnsweredGroups, Check);
}

} // namespace

std::string bodyHash(std::string_view Body) {
  std::array<char, 16> Digits{};
  const auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(),
                                 stableHash(Body), 16)
                       .ptr;
  return {Digits.data(), End};
}

std::optional<unsigned> statusOfError(std::string_view Code) {
  for (const ErrorRow &Row : ErrorTable)
    if (Row.m_Code == Code)
      return Row.m_Status;
  return std::nullopt;
}

ResponseCheck checkResponse(const RequestExpectation &Request, unsigned Status,
                            std::string_view Body, Duration Elapsed) {
  ResponseCheck Check;
  if (Elapsed > Request.m_Deadline)
    Check.m_Faults.insert(ResponseFault::Late);
  boost::system::error_code Code;
  const auto Parsed = json::parse(Body, Code);
  if (Code || !Parsed.is_object()) {
    Check.m_Faults.insert(Status == 200 ? ResponseFault::NotJson
                                        : ResponseFault::UntypedRefusal);
    return Check;
  }
  const json::object &Response = Parsed.as_object();
  if (Status == 200) {
    Check.m_Answered = true;
    checkComplete(Request, Response, Check);
    return Check;
  }
  Check.m_Error = textAt(Response, "error");
  const auto *NotExecuted = Response.if_contains("not_run");
  if (NotExecuted && NotExecuted->is_bool())
    Check.m_NotExecuted = NotExecuted->as_bool();
  if (!Check.m_NotExecuted || statusOfError(Check.m_Error) != Status)
    Check.m_Faults.insert(ResponseFault::UntypedRefusal);
  return Check;
}

} // namespace ragwortdrift::tools
