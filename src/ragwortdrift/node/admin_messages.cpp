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

AdminFault badRequest(std::string Detail) {
  return {AdminFaultCode::BadRequest, std::move(Detail), {}};
}

std::optional<SubmitId> submitIdOf(const AdminHttpRequest &Request) {
  const std::string_view Id = view(Request["Rd-Submit-Id"]);
  const bool Valid = !Id.empty() && Id.size() <= 64 &&
                     std::all_of(Id.begin(), Id.end(),
                                 [](char C) { return C > 0x20 && C < 0x7f; });
  return Valid ? std::optional(SubmitId{std::string(Id)}) : std::nullopt;
}

/// The members of a JSON body that holds exactly the named strings.
Result<std::vector<std::string>, AdminFault>
readMembers(const std::string &Body,
            std::initializer_list<std::string_view> Names) {
  boost::system::error_code Error;
  const json::value Value = json::parse(Body, Error);
  if (Error || !Value.is_object())
    return badRequest("the body is not a JSON object");
  std::vector<std::string> Found;
  for (const std::string_view Name : Names) {
    const json::value *Member = Value.as_object().if_contains(
        json::string_view(Name.data(), Name.size()));
    if (!Member || !Member->is_string())
      return badRequest("the body needs the text '" + std::string(Name) + "'");
    Found.emplace_back(Member->as_string().c_str());
  }
  if (Value.as_object().size() != Names.size())
    return badRequest("the body has unknown members");
  return Found;
}

using Parsed = Result<AdminRequest, AdminFault>;

Parsed parseManifestSubmit(const AdminHttpRequest &Request) {
  const auto Id = submitIdOf(Request);
  if (!Id)
    return badRequest("Rd-Submit-Id needs 1 to 64 visible characters");
  SubmitManifest Submit{*Id, std::nullopt, {}};
  if (const auto Found = Request.find("Rd-Base-Revision");
      Found != Request.end()) {
    const std::string_view Base = view(Found->value());
    std::uint64_t Number = 0;
    const auto [Stop, Error] =
        std::from_chars(Base.data(), Base.data() + Base.size(), Number);
    if (Error != std::errc{} || Stop != Base.data() + Base.size())
      return badRequest("Rd-Base-Revision is not a whole number");
    Submit.m_Base = Revision{Number};
  }
  auto Manifest = parseManifest(Request.body());
  if (!isOk(Manifest))
    return AdminFault{AdminFaultCode::BadManifest, "the manifest has faults",
                      errorOf(Manifest)};
  Submit.m_Manifest = valueOf(std::move(Manifest));
  return SubmitRequest{*Id, std::move(Submit)};
}

/// An order or a voter change: a subject and what to do with it.
template <class Change, class Build>
Parsed parseChange(const AdminHttpRequest &Request, std::string_view Subject,
                   std::string_view Verb, Build Make) {
  const auto Members = readMembers(Request.body(), {Subject, Verb});
  if (!isOk(Members))
    return errorOf(Members);
  const auto &Name = valueOf(Members)[0];
  const auto Kind = parseEnum<Change>(valueOf(Members)[1]);
  if (Name.empty() || !Kind)
    return badRequest("'" + std::string(Subject) + "' is empty or '" +
                      std::string(Verb) + "' is unknown");
  return Make(Name, *Kind);
}

Parsed parseDomain(const AdminHttpRequest &Request) {
  const auto Id = submitIdOf(Request);
  if (!Id)
    return badRequest("Rd-Submit-Id needs 1 to 64 visible characters");
  return parseChange<DomainChange>(
      Request, "domain", "state",
      [&](const std::string &Name, DomainChange Kind) -> Parsed {
        return SubmitRequest{*Id, DomainOrder{*Id, FailureDomain{Name}, Kind}};
      });
}

Parsed parseLeaf(const AdminHttpRequest &Request) {
  const auto Id = submitIdOf(Request);
  if (!Id)
    return badRequest("Rd-Submit-Id needs 1 to 64 visible characters");
  return parseChange<LeafChange>(
      Request, "leaf", "state",
      [&](const std::string &Name, LeafChange Kind) -> Parsed {
        return SubmitRequest{*Id, LeafOrder{*Id, LeafId{Name}, Kind}};
      });
}

Parsed parseVoter(const AdminHttpRequest &Request) {
  return parseChange<VoterChangeKind>(
      Request, "vm", "change",
      [](const std::string &Name, VoterChangeKind Kind) -> Parsed {
        return VoterChange{VmId{Name}, Kind};
      });
}

Parsed parseCustomer(const AdminHttpRequest &Request) {
  const std::string_view Target = view(Request.target());
  constexpr std::string_view Parameter = "?name=";
  const auto At = Target.find(Parameter);
  // Names of customers need no percent-encoding.
  if (At == std::string_view::npos || At + Parameter.size() == Target.size() ||
      Target.find_first_of("%&", At) != std::string_view::npos)
    return badRequest("expected /admin/customer?name=NAME");
  return CustomerRequest{
      CustomerId{std::string(Target.substr(At + Parameter.size()))}};
}

template <class Empty> Parsed parseEmpty(const AdminHttpRequest &) {
  return Empty{};
}

struct Route {
  std::string_view m_Path;
  http::verb m_Verb;
  Parsed (*m_Parse)(const AdminHttpRequest &);
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

  AdminHttpResponse operator()(const Accepted &Found) {
    m_Body["result"] = "accepted";
    m_Body["revision"] = Found.m_Revision.m_Value;
    return jsonResponse(status::ok, m_Body);
  }
  AdminHttpResponse operator()(const Conflict &Found) {
    m_Body["result"] = "conflict";
    m_Body["error"] = "conflict";
    m_Body["current_revision"] = Found.m_Current.m_Value;
    return jsonResponse(status::conflict, m_Body);
  }
  AdminHttpResponse operator()(const Refused &Found) {
    m_Body["result"] = "refused";
    m_Body["error"] = text(nameOf(Found.m_Code));
    return jsonResponse(status::unprocessable_entity, m_Body);
  }
  AdminHttpResponse operator()(const Resent &Found) {
    m_Body["resent"] = true;
    return std::visit(*this, Found.m_First);
  }
  // Results of booking commands, which operators cannot send.
  template <class Other> AdminHttpResponse operator()(const Other &) {
    return errorResponse({ControlErrorCode::Internal, "unexpected result"},
                         m_Body);
  }
};

json::object toJson(const Section &Values) {
  json::object Out;
  for (const auto &[Key, Value] : Values)
    Out[Key] = Value;
  return Out;
}

template <class Items, class Convert>
json::array toArray(const Items &List, Convert Fn) {
  json::array Out;
  for (const auto &Each : List)
    Out.push_back(Fn(Each));
  return Out;
}

} // namespace

Parsed parseAdminRequest(const AdminHttpRequest &Request) {
  const std::string_view Target = view(Request.target());
  const std::string_view Path = Target.substr(0, Target.find('?'));
  for (const Route &Each : Routes) {
    if (Each.m_Path != Path)
      continue;
    if (Each.m_Verb != Request.method())
      return AdminFault{AdminFaultCode::MethodNotAllowed,
                        "expected " +
                            std::string(view(http::to_string(Each.m_Verb))),
                        {}};
    return Each.m_Parse(Request);
  }
  return AdminFault{AdminFaultCode::NotFound, std::string(Path), {}};
}

AdminHttpResponse toResponse(const AdminFault &Fault) {
  json::object Body{{"error", text(nameOf(Fault.m_Code))},
                    {"detail", Fault.m_Detail}};
  if (Fault.m_Code == AdminFaultCode::BadManifest)
    Body["faults"] = toArray(Fault.m_Faults, [](const ConfigError &Each) {
      return json::object{{"line", Each.m_Line},
                          {"section", Each.m_Section},
                          {"key", Each.m_Key},
                          {"code", text(nameOf(Each.m_Code))},
                          {"detail", Each.m_Detail}};
    });
  switch (Fault.m_Code) {
  case AdminFaultCode::NotFound:
    return jsonResponse(status::not_found, Body);
  case AdminFaultCode::MethodNotAllowed:
    return jsonResponse(status::method_not_allowed, Body);
  case AdminFaultCode::BadRequest:
  case AdminFaultCode::BadManifest:
    break;
  }
  return jsonResponse(status::bad_request, Body);
}

AdminHttpResponse toResponse(const SubmitId &Id,
                             const Result<CommandResult, ControlError> &Found) {
  json::object Body{{"submit_id", Id.m_Value}, {"resent", false}};
  if (!isOk(Found))
    return errorResponse(errorOf(Found), Body);
  return std::visit(ResultWriter{Body}, valueOf(Found));
}

AdminHttpResponse toResponse(const VoterChange &Change,
                             const Result<Done, ControlError> &Finished) {
  json::object Body{{"vm", Change.m_Vm.m_Value},
                    {"change", text(nameOf(Change.m_Kind))}};
  if (!isOk(Finished))
    return errorResponse(errorOf(Finished), Body);
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
                          [](const VoterReport &Each) {
                            return json::object{
                                {"vm", Each.m_Vm.m_Value},
                                {"role", text(nameOf(Each.m_Role))}};
                          })},
       {"vms", toArray(S.m_Vms,
                       [](const VmReport &Each) {
                         return json::object{
                             {"vm", Each.m_Vm.m_Value},
                             {"domain", Each.m_Domain.m_Value},
                             {"incarnation", Each.m_Incarnation.m_Value},
                             {"condition", text(nameOf(Each.m_Condition))}};
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
           const Result<std::optional<CustomerRecord>, ControlError> &Found) {
  json::object Body{{"customer", Name.m_Value}};
  if (!isOk(Found))
    return errorResponse(errorOf(Found), Body);
  if (!valueOf(Found)) {
    Body["error"] = "unknown_customer";
    return jsonResponse(status::not_found, Body);
  }
  const CustomerRecord &Record = *valueOf(Found);
  Body["settings"] = toJson(Record.m_Settings);
  Body["removed_at"] = Record.m_RemovedAt
                           ? json::value(Record.m_RemovedAt->m_Value)
                           : json::value(nullptr);
  return jsonResponse(status::ok, Body);
}

AdminHttpResponse
toResponse(const Result<SnapshotReport, ControlError> &Taken) {
  if (!isOk(Taken))
    return errorResponse(errorOf(Taken));
  return jsonResponse(status::ok, {{"log_index", valueOf(Taken).m_LogIndex},
                                   {"bytes", valueOf(Taken).m_Bytes}});
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
