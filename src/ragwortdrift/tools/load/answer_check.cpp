#include "ragwortdrift/tools/load/answer_check.hpp"

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

constexpr std::array Errors{
    ErrorRow{"bad_request", 400},      ErrorRow{"unknown_service", 404},
    ErrorRow{"too_large", 413},        ErrorRow{"overloaded", 503},
    ErrorRow{"stopping", 503},         ErrorRow{"no_configuration", 503},
    ErrorRow{"no_quorum", 503},        ErrorRow{"unavailable", 503},
    ErrorRow{"coverage_too_low", 504}, ErrorRow{"deadline_exceeded", 504},
    ErrorRow{"may_have_run", 409},     ErrorRow{"key_reused", 409},
    ErrorRow{"key_expired", 409},      ErrorRow{"key_in_progress", 409},
    ErrorRow{"internal", 500}};

/// Decimal rounding of the coverage in the answer is accepted up to this.
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

/// The leaf's own answer inside a part: an object, or text that holds one.
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

void checkPart(const AskedFor &Asked, const json::object &Part, double Snapshot,
               std::set<std::string> &Answered, std::set<Fault> &Faults) {
  const std::string Group = textAt(Part, "group");
  const std::string Leaf = textAt(Part, "leaf");
  const auto Known = Asked.m_Service->m_Groups.find(Group);
  if (Known == Asked.m_Service->m_Groups.end()) {
    Faults.insert(Fault::UnknownGroup);
    return;
  }
  if (!Answered.insert(Group).second)
    Faults.insert(Fault::GroupTwice);
  const auto Body = leafBody(Part);
  if (!Body) {
    Faults.insert(Fault::MissingField);
    return;
  }
  if (numberAt(*Body, "snapshot") != Snapshot)
    Faults.insert(Fault::MixedSnapshots);
  if (!Asked.m_RequestIds.contains(textAt(*Body, "request_id")))
    Faults.insert(Fault::ForeignRequestId);
  if (textAt(*Body, "body_hash") != bodyHash(Asked.m_Body))
    Faults.insert(Fault::ForeignBody);
  const bool InGroup =
      std::ranges::any_of(Known->second, [&](const LeafView &Candidate) {
        return Candidate.m_Name == Leaf;
      });
  if (!InGroup || textAt(*Body, "leaf") != Leaf ||
      textAt(*Body, "group") != Group)
    Faults.insert(Fault::WrongLeaf);
}

void checkCoverage(const AskedFor &Asked, const json::object &Answer,
                   const std::set<std::string> &Answered, AnswerCheck &Check) {
  const auto &Groups = Asked.m_Service->m_Groups;
  const auto ExpectedAsked = static_cast<double>(Groups.size());
  const auto Count = static_cast<double>(Answered.size());
  const auto StatedAsked = numberAt(Answer, "groups_asked");
  const auto StatedAnswered = numberAt(Answer, "groups_answered");
  const auto Coverage = numberAt(Answer, "coverage");
  const auto *Missing = Answer.if_contains("missing");
  if (!StatedAsked || !StatedAnswered || !Coverage || !Missing ||
      !Missing->is_array()) {
    Check.m_Faults.insert(Fault::MissingField);
    return;
  }
  if (*StatedAsked != ExpectedAsked)
    Check.m_Faults.insert(Fault::WrongGroupsAsked);
  if (*StatedAnswered != Count)
    Check.m_Faults.insert(Fault::WrongGroupsAnswered);
  Check.m_Coverage = ExpectedAsked > 0 ? Count / ExpectedAsked : 0;
  if (std::abs(*Coverage - Check.m_Coverage) > CoverageTolerance)
    Check.m_Faults.insert(Fault::WrongCoverage);
  if (Check.m_Coverage + CoverageTolerance < Asked.m_MinCoverage)
    Check.m_Faults.insert(Fault::BelowMinimumCoverage);
  std::multiset<std::string> Expected;
  for (const auto &[Group, Leafs] : Groups)
    if (!Answered.contains(Group))
      Expected.insert(Group);
  std::multiset<std::string> Stated;
  for (const auto &Name : Missing->as_array())
    Stated.insert(Name.is_string() ? std::string(Name.as_string()) : "");
  if (Stated != Expected)
    Check.m_Faults.insert(Fault::WrongMissing);
}

void checkWhole(const AskedFor &Asked, const json::object &Answer,
                AnswerCheck &Check) {
  const auto *Parts = Answer.if_contains("parts");
  const auto Snapshot = numberAt(Answer, "snapshot");
  if (!Parts || !Parts->is_array() || !Snapshot) {
    Check.m_Faults.insert(Fault::MissingField);
    return;
  }
  if (Asked.m_Snapshot && static_cast<double>(*Asked.m_Snapshot) != *Snapshot)
    Check.m_Faults.insert(Fault::OtherSnapshot);
  std::set<std::string> Answered;
  for (const auto &Part : Parts->as_array()) {
    if (Part.is_object())
      checkPart(Asked, Part.as_object(), *Snapshot, Answered, Check.m_Faults);
    else
      Check.m_Faults.insert(Fault::MissingField);
  }
  checkCoverage(Asked, Answer, Answered, Check);
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
  for (const ErrorRow &Row : Errors)
    if (Row.m_Code == Code)
      return Row.m_Status;
  return std::nullopt;
}

AnswerCheck checkAnswer(const AskedFor &Asked, unsigned Status,
                        std::string_view Body, Duration Elapsed) {
  AnswerCheck Check;
  if (Elapsed > Asked.m_Deadline)
    Check.m_Faults.insert(Fault::Late);
  boost::system::error_code Code;
  const auto Parsed = json::parse(Body, Code);
  if (Code || !Parsed.is_object()) {
    Check.m_Faults.insert(Status == 200 ? Fault::NotJson
                                        : Fault::UntypedRefusal);
    return Check;
  }
  const json::object &Answer = Parsed.as_object();
  if (Status == 200) {
    Check.m_Answered = true;
    checkWhole(Asked, Answer, Check);
    return Check;
  }
  Check.m_Error = textAt(Answer, "error");
  const auto *NotRun = Answer.if_contains("not_run");
  if (NotRun && NotRun->is_bool())
    Check.m_NotRun = NotRun->as_bool();
  if (!Check.m_NotRun || statusOfError(Check.m_Error) != Status)
    Check.m_Faults.insert(Fault::UntypedRefusal);
  return Check;
}

} // namespace ragwortdrift::tools
