#include "ragwortdrift/node/admin_messages.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace ragwortdrift {

namespace {

namespace http = boost::beast::http;
namespace json = boost::json;
using http::status;

std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

json::string text(std::string_view Value) {
  return json::string(Value.data(), Value.size());
}

AdminHttpResponse jsonResponse(status Status, const json::object &Body) {
  AdminHttpResponse Response(Status, 11);
  Response.set(http::field::content_type, "application/json");
  Response.body() = json::serialize(Body) + "\n";
  return Response;
}

status statusOf(ControlErrorCode Code) {
  switch (Code) {
  case ControlErrorCode::NoQuorum:
  case ControlErrorCode::Stopping:
    return status::service_unavailable;
  case ControlErrorCode::UnknownOutcome:
    return status::gateway_timeout;
  case ControlErrorCode::UnknownVm:
    return status::not_found;
  case ControlErrorCode::NotCaughtUp:
  case ControlErrorCode::ChangeInProgress:
  case ControlErrorCode::AlreadyVoter:
  case ControlErrorCode::NotVoter:
  case ControlErrorCode::LastVoter:
  case ControlErrorCode::NoStorage:
    return status::conflict;
  case ControlErrorCode::TooLarge:
    return status::payload_too_large;
  case ControlErrorCode::StorageFailed:
  case ControlErrorCode::Internal:
    return status::internal_server_error;
  }
  return status::internal_server_error;
}

AdminHttpResponse errorResponse(const ControlError &Error,
                                json::object Body = {}) {
  Body["error"] = text(nameOf(Error.m_Code));
  Body["detail"] = Error.m_Detail;
  return jsonResponse(statusOf(Error.m_Code), Body);
}

AdminError badRequest(std::string Detail) {
  return {AdminErrorCode::BadRequest, std::move(Detail), {}};
}

std::optional<SubmitId> submitIdOf(const AdminHttpRequest &Request) {
  const std::string_view Id = view(Request["Rd-Submit-Id"]);
  const bool Valid = !Id.empty() && Id.size() <= 64 &&
                     std::all_of(Id.begin(), Id.end(),
                                 [](char C) { return C > 0x20 && C < 0x7f; });
  return Valid ? std::optional(SubmitId{std::string(Id)}) : std::nullopt;
}

/// Returns the members of a JSON object, which must be exactly the strings in
/// Names.
Result<std::vector<std::string>, AdminError>
readMembers(const std::string &Body,
            std::initializer_list<std::string_view> Names) {
  boost::system::error_code ParseError;
  const json::value Value = json::parse(Body, ParseError);
  if (ParseError || !Value.is_object())
    return badRequest("the body is not a JSON object");
  std::vector<std::string> Members;
  for (const std::string_view Name : Names) {
    const json::value *Member = Value.as_object().if_contains(
        json::string_view(Name.data(), Name.size()));
    if (!Member || !Member->is_string())
      return badRequest("the body must have the string member '" +
                        std::string(Name) + "'");
    Members.emplace_back(Member->as_string().c_str());
  }
  if (Value.as_object().size() != Names.size())
    return badRequest("the body has unknown members");
  return Members;
}

using ParsedRequest = Result<AdminRequest, AdminError>;

ParsedRequest parseManifestSubmit(const AdminHttpRequest &Request) {
  const auto Id = submitIdOf(Request);
  if (!Id)
    return badRequest(
        "header Rd-Submit-Id must have 1 to 64 printable characters");
  SubmitManifest Submit{*Id, std::nullopt, {}};
  if (const auto Field = Request.find("Rd-Base-Revision");
      Field != Request.end()) {
    const std::string_view Text = view(Field->value());
    std::uint64_t Number = 0;
    const auto [End, Error] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Number);
    if (Error != std::errc{} || End != Text.data() + Text.size())
      return badRequest("header Rd-Base-Revision must be a whole number");
    Submit.m_Base = Revision{Number};
  }
  auto Manifest = parseManifest(Request.body());
  if (!isOk(Manifest))
    return AdminError{AdminErrorCode::BadManifest, "the manifest is invalid",
                      errorOf(Manifest)};
  Submit.m_Manifest = valueOf(std::move(Manifest));
  return SubmitRequest{*Id, std::move(Submit)};
}

/// Parses a body with two members: the object to change and the change.
template <class Change, class Build>
ParsedRequest parseChange(const AdminHttpRequest &Request,
                          std::string_view NameKey, std::string_view ChangeKey,
                          Build MakeRequest) {
  const auto Members = readMembers(Request.body(), {NameKey, ChangeKey});
  if (!isOk(Members))
    return errorOf(Members);
  const auto &Name = valueOf(Members)[0];
  const auto Kind = parseEnum<Change>(valueOf(Members)[1]);
  if (Name.empty() || !Kind)
    return badRequest("'" + std::string(NameKey) + "' is empty or '" +
                      std::string(ChangeKey) + "' is unknown");
  return MakeRequest(Name, *Kind);
}

ParsedRequest parseDomain(const AdminHttpRequest &Request) {
  const auto Id = submitIdOf(Request);
  if (!Id)
    return badRequest(
        "header Rd-Submit-Id must have 1 to 64 printable characters");
  return parseChange<DomainChange>(
      Request, "domain", "state",
      [&](const std::string &Name, DomainChange Kind) -> ParsedRequest {
        return SubmitRequest{*Id,
                             DomainCommand{*Id, FailureDomain{Name}, Kind}};
      });
}

ParsedRequest parseLeaf(const AdminHttpRequest &Request) {
  const auto Id = submitIdOf(Request);
  if (!Id)
    return badRequest(
        "header Rd-Submit-Id must have 1 to 64 printable characters");
  return parseChange<LeafChange>(
      Request, "leaf", "state",
      [&](const std::string &Name, LeafChange Kind) -> ParsedRequest {
        return SubmitRequest{*Id, LeafCommand{*Id, LeafId{Name}, Kind}};
      });
}

ParsedRequest parseVoter(const AdminHttpRequest &Request) {
  return parseChange<VoterChangeKind>(
      Request, "vm", "change",
      [](const std::string &Name, VoterChangeKind Kind) -> ParsedRequest {
        return VoterChange{VmId{Name}, Kind};
      });
}

ParsedRequest parseCustomer(const AdminHttpRequest &Request) {
  const std::string_view Target = view(Request.target());
  constexpr std::string_view Parameter = "?name=";
  const auto Position = Target.find(Parameter);
  // Customer names need no percent-encoding.
  if (Position == std::string_view::npos ||
      Position + Parameter.size() == Target.size() ||
      Target.find_first_of("%&", Position) != std::string_view::npos)
    return badRequest("expected /admin/customer?name=NAME");
  return CustomerRequest{
      CustomerId{std::string(Target.substr(Position + Parameter.size()))}};
}

template <class Empty> ParsedRequest parseEmpty(const AdminHttpRequest &) {
  return Empty{};
}

struct Route {
  std::string_view m_Path;
  http::verb m_Verb;
  ParsedRequest (*m_Parse)(const AdminHttpRequest &);
};
constexpr Route Routes[] = {
    {"/admin/submit", http::verb::post, parseManifestSubmit},
    {"/admin/domain", http::verb::post, parseDomain},
    {"/admin/leaf", http::verb::post, parseLeaf},
    {"/admin/voter", http::verb::post, parseVoter},
    {"/admin/status", http::verb::get, parseEmpty<StatusRequest>},
    {"/admin/manifest", http::verb::get, parseEmpty<ManifestRequest>},
    {"/admin/customer", http::verb::get, parseCustomer},
    {"/admin/snapshot", http::verb::post, parseEmpty<SnapshotRequest>},
    {"/ready", http::verb::get, parseEmpty<ReadyRequest>},
    {"/metrics", http::verb::get, parseEmpty<MetricsRequest>},
};

struct ResultWriter {
  json::object m_Body;

  AdminHttpResponse operator()(const Accepted &Result) {
    m_Body["result"] = "accepted";
    m_Body["revision"] = Result.m_Revision.m_Value;
    return jsonResponse(status::ok, m_Body);
  }
  AdminHttpResponse operator()(const Conflict &Result) {
    m_Body["result"] = "conflict";
    m_Body["error"] = "conflict";
    m_Body["current_revision"] = Result.m_Current.m_Value;
    return jsonResponse(status::conflict, m_Body);
  }
  AdminHttpResponse operator()(const Refused &Result) {
    m_Body["result"] = "refused";
    m_Body["error"] = text(nameOf(Result.m_Code));
    return jsonResponse(status::unprocessable_entity, m_Body);
  }
  AdminHttpResponse operator()(const DuplicateSubmit &Result) {
    m_Body["resent"] = true;
    return std::visit(*this, Result.m_First);
  }
  // Results of booking commands, which operators cannot submit.
  template <class Other> AdminHttpResponse operator()(const Other &) {
    return errorResponse(
        {ControlErrorCode::Internal, "unexpected result of the command"},
        m_Body);
  }
};

json::object toJson(const Section &Values) {
  json::object Object;
  for (const auto &[Key, Value] : Values)
    Object[Key] = Value;
  return Object;
}

template <class Items, class Convert>
json::array toArray(const Items &List, Convert Fn) {
  json::array Array;
  for (const auto &Item : List)
    Array.push_back(Fn(Item));
  return Array;
}

} // namespace

ParsedRequest parseAdminRequest(const AdminHttpRequest &Request) {
  const std::string_view Target = view(Request.target());
  const std::string_view Path = Target.substr(0, Target.find('?'));
  for (const Route &Entry : Routes) {
    if (Entry.m_Path != Path)
      continue;
    if (Entry.m_Verb != Request.method())
      return AdminError{AdminErrorCode::MethodNotAllowed,
                        "expected " +
                            std::string(view(http::to_string(Entry.m_Verb))),
                        {}};
    return Entry.m_Parse(Request);
  }
  return AdminError{AdminErrorCode::NotFound, std::string(Path), {}};
}

AdminHttpResponse toResponse(const AdminError &Error) {
  json::object Body{{"error", text(nameOf(Error.m_Code))},
                    {"detail", Error.m_Detail}};
  if (Error.m_Code == AdminErrorCode::BadManifest)
    Body["faults"] =
        toArray(Error.m_ManifestErrors, [](const ConfigError &ManifestError) {
          return json::object{{"line", ManifestError.m_Line},
                              {"section", ManifestError.m_Section},
                              {"key", ManifestError.m_Key},
                              {"code", text(nameOf(ManifestError.m_Code))},
                              {"detail", ManifestError.m_Detail}};
        });
  switch (Error.m_Code) {
  case AdminErrorCode::NotFound:
    return jsonResponse(status::not_found, Body);
  case AdminErrorCode::MethodNotAllowed:
    return jsonResponse(status::method_not_allowed, Body);
  case AdminErrorCode::BadRequest:
  case AdminErrorCode::BadManifest:
    break;
  }
  return jsonResponse(status::bad_request, Body);
}

AdminHttpResponse
toResponse(const SubmitId &Id,
           const Result<CommandResult, ControlError> &Outcome) {
  json::object Body{{"submit_id", Id.m_Value}, {"resent", false}};
  if (!isOk(Outcome))
    return errorResponse(errorOf(Outcome), Body);
  return std::visit(ResultWriter{Body}, valueOf(Outcome));
}

AdminHttpResponse toResponse(const VoterChange &Change,
                             const Result<Done, ControlError> &Outcome) {
  json::object Body{{"vm", Change.m_Vm.m_Value},
                    {"change", text(nameOf(Change.m_Kind))}};
  if (!isOk(Outcome))
    return errorResponse(errorOf(Outcome), Body);
  Body["result"] = "done";
  return jsonResponse(status::ok, Body);
}

AdminHttpResponse
toResponse(const Result<ControlStatus, ControlError> &Status) {
  if (!isOk(Status))
    return errorResponse(errorOf(Status));
  const ControlStatus &S = valueOf(Status);
  const auto NameOnly = [](const auto &Id) { return json::value(Id.m_Value); };
  return jsonResponse(
      status::ok,
      {{"vm", S.m_Vm.m_Value},
       {"domain", S.m_Domain.m_Value},
       {"incarnation", S.m_Incarnation.m_Value},
       {"revision", S.m_Revision.m_Value},
       {"config_age_ms", S.m_ConfigAge ? json::value(S.m_ConfigAge->count())
                                       : json::value(nullptr)},
       {"stale", S.m_Stale},
       {"leader",
        S.m_Leader ? json::value(S.m_Leader->m_Value) : json::value(nullptr)},
       {"term", S.m_Term},
       {"commit_index", S.m_CommitIndex},
       {"voters", toArray(S.m_Voters,
                          [](const VoterReport &Entry) {
                            return json::object{
                                {"vm", Entry.m_Vm.m_Value},
                                {"role", text(nameOf(Entry.m_Role))}};
                          })},
       {"vms", toArray(S.m_Vms,
                       [](const VmReport &Entry) {
                         return json::object{
                             {"vm", Entry.m_Vm.m_Value},
                             {"domain", Entry.m_Domain.m_Value},
                             {"incarnation", Entry.m_Incarnation.m_Value},
                             {"condition", text(nameOf(Entry.m_Condition))}};
                       })},
       {"domains_out", toArray(S.m_DomainsOut, NameOnly)},
       {"leafs_draining", toArray(S.m_LeafsDraining, NameOnly)},
       {"partitions_owned",
        toArray(S.m_PartitionsOwned,
                [](const std::string &Key) { return json::value(Key); })}});
}

AdminHttpResponse
toResponse(const Result<ManifestText, ControlError> &Manifest) {
  if (!isOk(Manifest))
    return errorResponse(errorOf(Manifest));
  return jsonResponse(status::ok,
                      {{"revision", valueOf(Manifest).m_Revision.m_Value},
                       {"manifest", valueOf(Manifest).m_Text}});
}

AdminHttpResponse
toResponse(const CustomerId &Name,
           const Result<std::optional<CustomerRecord>, ControlError> &Outcome) {
  json::object Body{{"customer", Name.m_Value}};
  if (!isOk(Outcome))
    return errorResponse(errorOf(Outcome), Body);
  if (!valueOf(Outcome)) {
    Body["error"] = "unknown_customer";
    return jsonResponse(status::not_found, Body);
  }
  const CustomerRecord &Record = *valueOf(Outcome);
  Body["settings"] = toJson(Record.m_Settings);
  Body["removed_at"] = Record.m_RemovedAt
                           ? json::value(Record.m_RemovedAt->m_Value)
                           : json::value(nullptr);
  return jsonResponse(status::ok, Body);
}

AdminHttpResponse
toResponse(const Result<SnapshotReport, ControlError> &Report) {
  if (!isOk(Report))
    return errorResponse(errorOf(Report));
  return jsonResponse(status::ok, {{"log_index", valueOf(Report).m_LogIndex},
                                   {"bytes", valueOf(Report).m_Bytes}});
}

AdminHttpResponse toResponse(Readiness Ready) {
  const bool IsReady = Ready == Readiness::Ready;
  return jsonResponse(IsReady ? status::ok : status::service_unavailable,
                      {{"ready", IsReady}, {"state", text(nameOf(Ready))}});
}

AdminHttpResponse metricsResponse(std::string Text) {
  AdminHttpResponse Response(status::ok, 11);
  Response.set(http::field::content_type, "text/plain; version=0.0.4");
  Response.body() = std::move(Text);
  return Response;
}

} // namespace ragwortdrift
