#include "ragwortdrift/tools/load/backend.hpp"
#include "ragwortdrift/tools/load/response_check.hpp"

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

/// Returns a correct response with three of four groups.
json::object sampleResponse() {
  return {{"snapshot", 7},
          {"groups_asked", 4},
          {"groups_answered", 3},
          {"coverage", 0.75},
          {"missing", json::array{"g4"}},
          {"deadline_cut", true},
          {"parts",
           json::array{samplePart("g1"), samplePart("g2"), samplePart("g3")}}};
}

json::object &partOf(json::object &Response, std::size_t Index) {
  return Response["parts"].as_array()[Index].as_object();
}

/// Replaces a member of the leaf's response inside a part.
void setInBody(json::object &Response, std::size_t Index, std::string_view Key,
               json::value Value) {
  json::object &Part = partOf(Response, Index);
  json::object Body = json::parse(Part["body"].as_string()).as_object();
  Body[Key] = std::move(Value);
  Part["body"] = json::serialize(Body);
}

struct ContentRow {
  const char *m_Name;
  std::function<void(json::object &Response, RequestExpectation &Request)>
      m_Change;
  std::set<ResponseFault> m_Expected;
};

ContentRow ContentRows[] = {
    {"correct", [](auto &, auto &) {}, {}},
    {"correct, snapshot as requested",
     [](auto &, RequestExpectation &Request) { Request.m_Snapshot = 7; },
     {}},
    {"correct, body as an object",
     [](json::object &Response, auto &) {
       json::object &Part = partOf(Response, 0);
       Part["body"] = json::parse(Part["body"].as_string());
     },
     {}},
    {"correct, result of an earlier attempt",
     [](auto &, RequestExpectation &Request) {
       Request.m_RequestIds = {"q-1", "q-1-a2"};
     },
     {}},
    {"part of another snapshot",
     [](json::object &Response, auto &) {
       setInBody(Response, 1, "snapshot", 8);
     },
     {ResponseFault::MixedSnapshots}},
    {"stated snapshot differs from all parts",
     [](json::object &Response, auto &) { Response["snapshot"] = 8; },
     {ResponseFault::MixedSnapshots}},
    {"not the requested snapshot",
     [](auto &, RequestExpectation &Request) { Request.m_Snapshot = 8; },
     {ResponseFault::OtherSnapshot}},
    {"group twice, counted twice",
     [](json::object &Response, auto &) {
       Response["parts"].as_array().push_back(samplePart("g1"));
       Response["groups_answered"] = 4;
     },
     {ResponseFault::GroupTwice, ResponseFault::WrongGroupsAnswered}},
    {"group twice, counted once",
     [](json::object &Response, auto &) {
       Response["parts"].as_array().push_back(samplePart("g1"));
     },
     {ResponseFault::GroupTwice}},
    {"unknown group",
     [](json::object &Response, auto &) {
       Response["parts"].as_array().push_back(samplePart("g9"));
     },
     {ResponseFault::UnknownGroup}},
    {"groups_asked too small",
     [](json::object &Response, auto &) { Response["groups_asked"] = 3; },
     {ResponseFault::WrongGroupsAsked}},
    {"groups_answered too large",
     [](json::object &Response, auto &) { Response["groups_answered"] = 4; },
     {ResponseFault::WrongGroupsAnswered}},
    {"coverage too high",
     [](json::object &Response, auto &) { Response["coverage"] = 1; },
     {ResponseFault::WrongCoverage}},
    {"coverage too low",
     [](json::object &Response, auto &) { Response["coverage"] = 0.5; },
     {ResponseFault::WrongCoverage}},
    {"missing names an answered group",
     [](json::object &Response, auto &) {
       Response["missing"] = json::array{"g3", "g4"};
     },
     {ResponseFault::WrongMissing}},
    {"missing is empty",
     [](json::object &Response, auto &) {
       Response["missing"] = json::array{};
     },
     {ResponseFault::WrongMissing}},
    {"missing repeats a group",
     [](json::object &Response, auto &) {
       Response["missing"] = json::array{"g4", "g4"};
     },
     {ResponseFault::WrongMissing}},
    {"coverage includes lost parts",
     [](json::object &Response, auto &) {
       Response["parts"].as_array().pop_back();
     },
     {ResponseFault::WrongGroupsAnswered, ResponseFault::WrongCoverage,
      ResponseFault::WrongMissing}},
    {"below the minimum coverage",
     [](auto &, RequestExpectation &Request) { Request.m_MinCoverage = 0.8; },
     {ResponseFault::BelowMinimumCoverage}},
    {"part of another caller's request",
     [](json::object &Response, auto &) {
       setInBody(Response, 2, "request_id", "q-2");
     },
     {ResponseFault::ForeignRequestId}},
    {"part without a request id",
     [](json::object &Response, auto &) {
       setInBody(Response, 2, "request_id", "");
     },
     {ResponseFault::ForeignRequestId}},
    {"part for another body",
     [](json::object &Response, auto &) {
       setInBody(Response, 0, "body_hash", json::value(bodyHash("other")));
     },
     {ResponseFault::ForeignBody}},
    {"leaf of another group",
     [](json::object &Response, auto &) {
       partOf(Response, 0)["leaf"] = "g2-1";
     },
     {ResponseFault::WrongLeaf}},
    {"body of another leaf of the group",
     [](json::object &Response, auto &) {
       setInBody(Response, 0, "leaf", "g1-2");
     },
     {ResponseFault::WrongLeaf}},
    {"body of another group",
     [](json::object &Response, auto &) {
       setInBody(Response, 0, "group", "g2");
     },
     {ResponseFault::WrongLeaf}},
    {"part without a body",
     [](json::object &Response, auto &) { partOf(Response, 0).erase("body"); },
     {ResponseFault::MissingField}},
    {"truncated body",
     [](json::object &Response, auto &) {
       partOf(Response, 0)["body"] = "{\"le";
     },
     {ResponseFault::MissingField}},
    {"no parts",
     [](json::object &Response, auto &) { Response.erase("parts"); },
     {ResponseFault::MissingField}},
    {"no snapshot",
     [](json::object &Response, auto &) { Response.erase("snapshot"); },
     {ResponseFault::MissingField}},
    {"no missing list",
     [](json::object &Response, auto &) { Response.erase("missing"); },
     {ResponseFault::MissingField}},
};

RequestExpectation sampleRequest(const ServiceView &Service) {
  RequestExpectation Request;
  Request.m_Service = &Service;
  Request.m_RequestIds = {"q-1"};
  Request.m_Body = RequestBody;
  return Request;
}

struct ResponseRow {
  const char *m_Name;
  unsigned m_Status;
  std::string m_Body;
  Duration m_Elapsed;
  std::set<ResponseFault> m_Expected;
  std::optional<bool> m_NotExecuted;
};

ResponseRow ResponseRows[] = {
    {"refusal of a request that was not executed",
     503,
     R"({"error":"overloaded","not_run":true,"detail":""})",
     5ms,
     {},
     true},
    {"refusal of a request that may have been executed",
     409,
     R"({"error":"may_have_run","not_run":false,"detail":""})",
     5ms,
     {},
     false},
    {"refusal without not_run",
     503,
     R"({"error":"overloaded"})",
     5ms,
     {ResponseFault::UntypedRefusal},
     std::nullopt},
    {"refusal with text for not_run",
     503,
     R"({"error":"overloaded","not_run":"true"})",
     5ms,
     {ResponseFault::UntypedRefusal},
     std::nullopt},
    {"code that callers never see",
     503,
     R"({"error":"cold","not_run":true})",
     5ms,
     {ResponseFault::UntypedRefusal},
     true},
    {"status of another code",
     500,
     R"({"error":"overloaded","not_run":true})",
     5ms,
     {ResponseFault::UntypedRefusal},
     true},
    {"refusal in plain text",
     502,
     "bad gateway",
     5ms,
     {ResponseFault::UntypedRefusal},
     std::nullopt},
    {"response that is not JSON",
     200,
     "{\"snapshot\":",
     5ms,
     {ResponseFault::NotJson},
     std::nullopt},
    {"response that is a list",
     200,
     "[]",
     5ms,
     {ResponseFault::NotJson},
     std::nullopt},
    {"late refusal",
     504,
     R"({"error":"deadline_exceeded","not_run":false})",
     241ms,
     {ResponseFault::Late},
     false},
    {"refusal at the deadline",
     504,
     R"({"error":"deadline_exceeded","not_run":false})",
     240ms,
     {},
     false},
};

struct MergeRow {
  const char *m_Name;
  std::vector<std::uint64_t> m_Snapshots;
  std::set<ResponseFault> m_Expected;
};

MergeRow MergeRows[] = {
    {"one snapshot", {7, 7, 7, 7}, {}},
    {"group lost", {7, 7, 7}, {}},
    {"all lost", {}, {}},
    {"two snapshots", {7, 8, 7, 7}, {ResponseFault::MixedSnapshots}},
};

} // namespace

// Guards against a check that accepts a wrong response or finds faults in a
// correct one.
TABLE_TEST(response_check, finds_exactly_the_expected_faults, ContentRows) {
  const ServiceView Service = sampleService();
  RequestExpectation Request = sampleRequest(Service);
  json::object Response = sampleResponse();
  Row.m_Change(Response, Request);
  const ResponseCheck Check =
      checkResponse(Request, 200, json::serialize(Response), 100ms);
  cr_assert(Check.m_Answered, "%s", Row.m_Name);
  cr_assert(Check.m_Faults == Row.m_Expected, "%s", Row.m_Name);
}

// Guards against refusals without a usable error code that are accepted, and
// against late responses that are not counted.
TABLE_TEST(response_check, checks_refusals_and_deadlines, ResponseRows) {
  const ServiceView Service = sampleService();
  const ResponseCheck Check = checkResponse(
      sampleRequest(Service), Row.m_Status, Row.m_Body, Row.m_Elapsed);
  cr_assert(!Check.m_Answered, "%s", Row.m_Name);
  cr_assert(Check.m_Faults == Row.m_Expected, "%s", Row.m_Name);
  cr_assert(Check.m_NotExecuted == Row.m_NotExecuted, "%s", Row.m_Name);
}

// Guards against responses of the baseline that fail the checks for a reason
// other than the baseline's policy.
TABLE_TEST(plain_backend, merges_parts_into_a_valid_response, MergeRows) {
  const ServiceView Service = sampleService();
  std::vector<PlainResponsePart> Parts;
  for (std::size_t I = 0; I < Row.m_Snapshots.size(); ++I) {
    const std::string Group = "g" + std::to_string(I + 1);
    const json::object Part = samplePart(Group, Row.m_Snapshots[I]);
    Parts.push_back({Group, Group + "-1", Row.m_Snapshots[I],
                     std::string(Part.at("body").as_string())});
  }
  const CallerResponse Response = mergeParts(Service, Parts);
  const ResponseCheck Check = checkResponse(
      sampleRequest(Service), Response.m_Status, Response.m_Body, 100ms);
  cr_assert(Check.m_Answered, "%s", Row.m_Name);
  cr_assert(Check.m_Faults == Row.m_Expected, "%s", Row.m_Name);
}
