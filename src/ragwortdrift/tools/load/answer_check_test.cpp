#include "ragwortdrift/tools/load/answer_check.hpp"
#include "ragwortdrift/tools/load/backend.hpp"

#include <functional>

// Last, because Criterion's macro Test breaks headers of Boost.
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace ragwortdrift::tools;

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr std::string_view RequestBody = "find the ferry";

ServiceView sampleService() {
  ServiceView Service;
  Service.m_Name = "dispatch-desk";
  for (const char *Group : {"g1", "g2", "g3", "g4"})
    for (const char *Replica : {"-1", "-2"})
      Service.m_Groups[Group].push_back(
          {std::string(Group) + Replica, "sondrio", {}});
  return Service;
}

json::object samplePart(std::string Group, std::uint64_t Snapshot = 7) {
  const json::object Body{
      {"leaf", Group + "-1"}, {"group", Group},
      {"snapshot", Snapshot}, {"boot_id", "b"},
      {"request_id", "q-1"},  {"body_hash", bodyHash(RequestBody)}};
  return {{"group", Group},
          {"leaf", Group + "-1"},
          {"body", json::serialize(Body)}};
}

/// A correct answer with three of four groups.
json::object sampleAnswer() {
  return {{"snapshot", 7},
          {"groups_asked", 4},
          {"groups_answered", 3},
          {"coverage", 0.75},
          {"missing", json::array{"g4"}},
          {"deadline_cut", true},
          {"parts",
           json::array{samplePart("g1"), samplePart("g2"), samplePart("g3")}}};
}

json::object &partOf(json::object &Answer, std::size_t Index) {
  return Answer["parts"].as_array()[Index].as_object();
}

/// Replaces a field of the leaf's own answer inside a part.
void setInBody(json::object &Answer, std::size_t Index, std::string_view Key,
               json::value Value) {
  json::object &Part = partOf(Answer, Index);
  json::object Body = json::parse(Part["body"].as_string()).as_object();
  Body[Key] = std::move(Value);
  Part["body"] = json::serialize(Body);
}

struct AnswerRow {
  const char *m_Name;
  std::function<void(json::object &Answer, AskedFor &Asked)> m_Change;
  std::set<Fault> m_Expected;
};

AnswerRow AnswerRows[] = {
    {"correct", [](auto &, auto &) {}, {}},
    {"correct, snapshot as requested",
     [](auto &, AskedFor &Asked) { Asked.m_Snapshot = 7; },
     {}},
    {"correct, body as an object",
     [](json::object &Answer, auto &) {
       json::object &Part = partOf(Answer, 0);
       Part["body"] = json::parse(Part["body"].as_string());
     },
     {}},
    {"correct, outcome of an earlier attempt",
     [](auto &, AskedFor &Asked) {
       Asked.m_RequestIds = {"q-1", "q-1-a2"};
     },
     {}},
    {"part of another snapshot",
     [](json::object &Answer, auto &) { setInBody(Answer, 1, "snapshot", 8); },
     {Fault::MixedSnapshots}},
    {"stated snapshot differs from all parts",
     [](json::object &Answer, auto &) { Answer["snapshot"] = 8; },
     {Fault::MixedSnapshots}},
    {"not the requested snapshot",
     [](auto &, AskedFor &Asked) { Asked.m_Snapshot = 8; },
     {Fault::OtherSnapshot}},
    {"group twice, counted twice",
     [](json::object &Answer, auto &) {
       Answer["parts"].as_array().push_back(samplePart("g1"));
       Answer["groups_answered"] = 4;
     },
     {Fault::GroupTwice, Fault::WrongGroupsAnswered}},
    {"group twice, counted once",
     [](json::object &Answer, auto &) {
       Answer["parts"].as_array().push_back(samplePart("g1"));
     },
     {Fault::GroupTwice}},
    {"unknown group",
     [](json::object &Answer, auto &) {
       Answer["parts"].as_array().push_back(samplePart("g9"));
     },
     {Fault::UnknownGroup}},
    {"groups_asked too small",
     [](json::object &Answer, auto &) { Answer["groups_asked"] = 3; },
     {Fault::WrongGroupsAsked}},
    {"groups_answered too large",
     [](json::object &Answer, auto &) { Answer["groups_answered"] = 4; },
     {Fault::WrongGroupsAnswered}},
    {"coverage too high",
     [](json::object &Answer, auto &) { Answer["coverage"] = 1; },
     {Fault::WrongCoverage}},
    {"coverage too low",
     [](json::object &Answer, auto &) { Answer["coverage"] = 0.5; },
     {Fault::WrongCoverage}},
    {"missing names an answered group",
     [](json::object &Answer, auto &) {
       Answer["missing"] = json::array{"g3", "g4"};
     },
     {Fault::WrongMissing}},
    {"missing is empty",
     [](json::object &Answer, auto &) { Answer["missing"] = json::array{}; },
     {Fault::WrongMissing}},
    {"missing repeats a group",
     [](json::object &Answer, auto &) {
       Answer["missing"] = json::array{"g4", "g4"};
     },
     {Fault::WrongMissing}},
    {"coverage of lost parts is claimed",
     [](json::object &Answer, auto &) {
       Answer["parts"].as_array().pop_back();
     },
     {Fault::WrongGroupsAnswered, Fault::WrongCoverage, Fault::WrongMissing}},
    {"below the minimum coverage",
     [](auto &, AskedFor &Asked) { Asked.m_MinCoverage = 0.8; },
     {Fault::BelowMinimumCoverage}},
    {"part of another caller's request",
     [](json::object &Answer, auto &) {
       setInBody(Answer, 2, "request_id", "q-2");
     },
     {Fault::ForeignRequestId}},
    {"part without a request id",
     [](json::object &Answer, auto &) {
       setInBody(Answer, 2, "request_id", "");
     },
     {Fault::ForeignRequestId}},
    {"part for another body",
     [](json::object &Answer, auto &) {
       setInBody(Answer, 0, "body_hash", json::value(bodyHash("other")));
     },
     {Fault::ForeignBody}},
    {"leaf of another group",
     [](json::object &Answer, auto &) { partOf(Answer, 0)["leaf"] = "g2-1"; },
     {Fault::WrongLeaf}},
    {"body of another leaf of the group",
     [](json::object &Answer, auto &) { setInBody(Answer, 0, "leaf", "g1-2"); },
     {Fault::WrongLeaf}},
    {"body of another group",
     [](json::object &Answer, auto &) { setInBody(Answer, 0, "group", "g2"); },
     {Fault::WrongLeaf}},
    {"part without a body",
     [](json::object &Answer, auto &) { partOf(Answer, 0).erase("body"); },
     {Fault::MissingField}},
    {"truncated body",
     [](json::object &Answer, auto &) { partOf(Answer, 0)["body"] = "{\"le"; },
     {Fault::MissingField}},
    {"no parts",
     [](json::object &Answer, auto &) { Answer.erase("parts"); },
     {Fault::MissingField}},
    {"no snapshot",
     [](json::object &Answer, auto &) { Answer.erase("snapshot"); },
     {Fault::MissingField}},
    {"no missing list",
     [](json::object &Answer, auto &) { Answer.erase("missing"); },
     {Fault::MissingField}},
};

AskedFor sampleRequest(const ServiceView &Service) {
  AskedFor Asked;
  Asked.m_Service = &Service;
  Asked.m_RequestIds = {"q-1"};
  Asked.m_Body = RequestBody;
  return Asked;
}

struct ResponseRow {
  const char *m_Name;
  unsigned m_Status;
  std::string m_Body;
  Duration m_Elapsed;
  std::set<Fault> m_Expected;
  std::optional<bool> m_NotRun;
};

ResponseRow ResponseRows[] = {
    {"refusal that did not run",
     503,
     R"({"error":"overloaded","not_run":true,"detail":""})",
     5ms,
     {},
     true},
    {"refusal that may have run",
     409,
     R"({"error":"may_have_run","not_run":false,"detail":""})",
     5ms,
     {},
     false},
    {"refusal without not_run",
     503,
     R"({"error":"overloaded"})",
     5ms,
     {Fault::UntypedRefusal},
     std::nullopt},
    {"refusal with text for not_run",
     503,
     R"({"error":"overloaded","not_run":"true"})",
     5ms,
     {Fault::UntypedRefusal},
     std::nullopt},
    {"code that callers never see",
     503,
     R"({"error":"cold","not_run":true})",
     5ms,
     {Fault::UntypedRefusal},
     true},
    {"status of another code",
     500,
     R"({"error":"overloaded","not_run":true})",
     5ms,
     {Fault::UntypedRefusal},
     true},
    {"refusal in plain text",
     502,
     "bad gateway",
     5ms,
     {Fault::UntypedRefusal},
     std::nullopt},
    {"answer that is not JSON",
     200,
     "{\"snapshot\":",
     5ms,
     {Fault::NotJson},
     std::nullopt},
    {"answer that is a list", 200, "[]", 5ms, {Fault::NotJson}, std::nullopt},
    {"late refusal",
     504,
     R"({"error":"deadline_exceeded","not_run":false})",
     241ms,
     {Fault::Late},
     false},
    {"refusal at the deadline",
     504,
     R"({"error":"deadline_exceeded","not_run":false})",
     240ms,
     {},
     false},
};

struct JoinRow {
  const char *m_Name;
  std::vector<std::uint64_t> m_Snapshots;
  std::set<Fault> m_Expected;
};

JoinRow JoinRows[] = {
    {"one snapshot", {7, 7, 7, 7}, {}},
    {"group lost", {7, 7, 7}, {}},
    {"all lost", {}, {}},
    {"two snapshots", {7, 8, 7, 7}, {Fault::MixedSnapshots}},
};

} // namespace

// Guards against a checker that lets a wrong answer pass, or that finds faults
// in a correct one.
TABLE_TEST(answer_check, finds_exactly_the_fault, AnswerRows) {
  const ServiceView Service = sampleService();
  AskedFor Asked = sampleRequest(Service);
  json::object Answer = sampleAnswer();
  Row.m_Change(Answer, Asked);
  const AnswerCheck Check =
      checkAnswer(Asked, 200, json::serialize(Answer), 100ms);
  cr_assert(Check.m_Answered, "%s", Row.m_Name);
  cr_assert(Check.m_Faults == Row.m_Expected, "%s", Row.m_Name);
}

// Guards against refusals that a caller cannot act on, and against late answers
// that are not counted.
TABLE_TEST(answer_check, checks_refusals_and_times, ResponseRows) {
  const ServiceView Service = sampleService();
  const AnswerCheck Check = checkAnswer(sampleRequest(Service), Row.m_Status,
                                        Row.m_Body, Row.m_Elapsed);
  cr_assert(!Check.m_Answered, "%s", Row.m_Name);
  cr_assert(Check.m_Faults == Row.m_Expected, "%s", Row.m_Name);
  cr_assert(Check.m_NotRun == Row.m_NotRun, "%s", Row.m_Name);
}

// Guards against a baseline whose own answers fail the checks for a reason
// other than the baseline's policy.
TABLE_TEST(plain_backend, joins_parts_into_a_checkable_answer, JoinRows) {
  const ServiceView Service = sampleService();
  std::vector<PlainPart> Parts;
  for (std::size_t I = 0; I < Row.m_Snapshots.size(); ++I) {
    const std::string Group = "g" + std::to_string(I + 1);
    const json::object Part = samplePart(Group, Row.m_Snapshots[I]);
    Parts.push_back({Group, Group + "-1", Row.m_Snapshots[I],
                     std::string(Part.at("body").as_string())});
  }
  const CallerAnswer Answer = joinParts(Service, Parts);
  const AnswerCheck Check = checkAnswer(sampleRequest(Service), Answer.m_Status,
                                        Answer.m_Body, 100ms);
  cr_assert(Check.m_Answered, "%s", Row.m_Name);
  cr_assert(Check.m_Faults == Row.m_Expected, "%s", Row.m_Name);
}
