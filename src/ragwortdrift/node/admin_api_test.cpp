#include "ragwortdrift/node/admin_api.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
namespace http = boost::beast::http;

namespace {

/// Applies commands directly to a state; fails every call while m_Error is set.
struct FakeControl {
  ReplicatedState m_State;
  std::optional<ControlError> m_Error;
  std::vector<VoterChange> m_Changes;

  template <class T> void finish(const ControlCallback<T> &Callback, T Value) {
    if (m_Error)
      Callback(*m_Error);
    else
      Callback(std::move(Value));
  }
  void submit(Command NewCommand,
              const ControlCallback<CommandResult> &Callback) {
    if (m_Error)
      return Callback(*m_Error);
    Callback(m_State.apply({UnixMillis(1), {std::move(NewCommand)}}).front());
  }
  void changeVoter(const VoterChange &Change,
                   const ControlCallback<Done> &Callback) {
    m_Changes.push_back(Change);
    finish(Callback, Done{});
  }
  void status(const ControlCallback<ControlStatus> &Callback) {
    ControlStatus Status;
    Status.m_Vm = VmId{"v1"};
    Status.m_Revision = m_State.revision();
    Status.m_Voters = {{VmId{"v1"}, VoterRole::Leader}};
    Status.m_Vms = {{VmId{"v1"}, FailureDomain{"d"}, Incarnation{1}, {}}};
    finish(Callback, Status);
  }
  void manifest(const ControlCallback<ManifestText> &Callback) {
    finish(Callback, ManifestText{m_State.revision(),
                                  formatManifest(m_State.document())});
  }
  void
  customer(const CustomerId &Name,
           const ControlCallback<std::optional<CustomerRecord>> &Callback) {
    finish(Callback, m_State.findCustomer(Name));
  }
  void takeSnapshot(const ControlCallback<SnapshotReport> &Callback) {
    finish(Callback, SnapshotReport{7, 70});
  }
  void readiness(const std::function<void(Readiness)> &Callback) {
    Callback(m_Error ? Readiness::Stopping : Readiness::Ready);
  }
  void metrics(const std::function<void(std::string)> &Callback) {
    Callback("m 1\n");
  }
};

const std::string Manifest =
    "[manifest]\nname = m\n[domain d]\n[customer c]\ntier = gold\n";

struct Exchange {
  const char *m_Name;
  http::verb m_Verb;
  const char *m_Target;
  std::vector<std::pair<const char *, const char *>> m_Headers;
  std::string m_Body;
  unsigned m_Status;
  /// Part of the response's body.
  const char *m_Contains;
};

AdminHttpResponse send(FakeControl &Control, const Exchange &Row) {
  AdminHttpRequest Request(Row.m_Verb, Row.m_Target, 11);
  for (const auto &[Name, Value] : Row.m_Headers)
    Request.set(Name, Value);
  Request.body() = Row.m_Body;
  std::vector<AdminHttpResponse> Responses;
  AdminApi<FakeControl> Api(Control);
  Api.handle(Request, [&](AdminHttpResponse Response) {
    Responses.push_back(std::move(Response));
  });
  cr_assert_eq(Responses.size(), 1, "%s", Row.m_Name);
  return Responses.front();
}

void check(const Exchange &Row, const AdminHttpResponse &Response) {
  cr_assert_eq(Response.result_int(), Row.m_Status, "%s: %u %s", Row.m_Name,
               Response.result_int(), Response.body().c_str());
  cr_assert(Response.body().find(Row.m_Contains) != std::string::npos, "%s: %s",
            Row.m_Name, Response.body().c_str());
}

constexpr auto Get = http::verb::get;
constexpr auto Post = http::verb::post;

/// The test sends each after submitting the manifest with submit id "first".
const Exchange Exchanges[] = {
    {"submit",
     Post,
     "/admin/submit",
     {{"Rd-Submit-Id", "a"}},
     Manifest + "[limits]\n",
     200,
     R"({"submit_id":"a","resent":false,"result":"accepted","revision":2})"},
    {"resend",
     Post,
     "/admin/submit",
     {{"Rd-Submit-Id", "first"}},
     Manifest,
     200,
     R"({"submit_id":"first","resent":true,"result":"accepted","revision":1})"},
    {"submit id with other content",
     Post,
     "/admin/submit",
     {{"Rd-Submit-Id", "first"}},
     Manifest + "[limits]\n",
     422,
     "submit_id_reused"},
    {"base revision in force",
     Post,
     "/admin/submit",
     {{"Rd-Submit-Id", "a"}, {"Rd-Base-Revision", "1"}},
     Manifest,
     200,
     R"("revision":1)"},
    {"base revision passed",
     Post,
     "/admin/submit",
     {{"Rd-Submit-Id", "a"}, {"Rd-Base-Revision", "0"}},
     Manifest,
     409,
     R"("error":"conflict","current_revision":1)"},
    {"base revision is no number",
     Post,
     "/admin/submit",
     {{"Rd-Submit-Id", "a"}, {"Rd-Base-Revision", "1x"}},
     Manifest,
     400,
     "bad_request"},
    {"no submit id", Post, "/admin/submit", {}, Manifest, 400, "Rd-Submit-Id"},
    {"faulty manifest",
     Post,
     "/admin/submit",
     {{"Rd-Submit-Id", "a"}},
     Manifest + "[odd]\n[limits]\nx = 1\n",
     400,
     R"("faults":[{"line":6,"section":"odd","key":"","code":"unknown_section")"},
    {"domain out",
     Post,
     "/admin/domain",
     {{"Rd-Submit-Id", "a"}},
     R"({"domain":"d","state":"out"})",
     200,
     R"("revision":2)"},
    {"unknown domain",
     Post,
     "/admin/domain",
     {{"Rd-Submit-Id", "a"}},
     R"({"domain":"e","state":"out"})",
     422,
     "unknown_domain"},
    {"domain order without an id",
     Post,
     "/admin/domain",
     {},
     R"({"domain":"d","state":"out"})",
     400,
     "Rd-Submit-Id"},
    {"unknown state",
     Post,
     "/admin/domain",
     {{"Rd-Submit-Id", "a"}},
     R"({"domain":"d","state":"off"})",
     400,
     "unknown"},
    {"unknown leaf",
     Post,
     "/admin/leaf",
     {{"Rd-Submit-Id", "a"}},
     R"({"leaf":"l","state":"drain"})",
     422,
     "unknown_leaf"},
    {"body is no JSON",
     Post,
     "/admin/leaf",
     {{"Rd-Submit-Id", "a"}},
     "{",
     400,
     "not a JSON object"},
    {"member of another type",
     Post,
     "/admin/voter",
     {},
     R"({"vm":1,"change":"add"})",
     400,
     "'vm'"},
    {"unknown member",
     Post,
     "/admin/voter",
     {},
     R"({"vm":"v","change":"add","force":true})",
     400,
     "unknown members"},
    {"voter",
     Post,
     "/admin/voter",
     {},
     R"({"vm":"v2","change":"remove"})",
     200,
     R"("result":"done")"},
    {"status",
     Get,
     "/admin/status",
     {},
     "",
     200,
     R"("voters":[{"vm":"v1","role":"leader"}])"},
    {"manifest",
     Get,
     "/admin/manifest",
     {},
     "",
     200,
     R"({"revision":1,"manifest":"[manifest]\nname = m\n)"},
    {"customer",
     Get,
     "/admin/customer?name=c",
     {},
     "",
     200,
     R"("settings":{"tier":"gold"},"removed_at":null)"},
    {"unknown customer",
     Get,
     "/admin/customer?name=x",
     {},
     "",
     404,
     "unknown_customer"},
    {"customer without a name", Get, "/admin/customer", {}, "", 400, "name="},
    {"snapshot", Post, "/admin/snapshot", {}, "", 200, R"("log_index":7)"},
    {"ready", Get, "/ready", {}, "", 200, R"("ready":true)"},
    {"metrics", Get, "/metrics", {}, "", 200, "m 1\n"},
    {"unknown path", Get, "/admin", {}, "", 404, "not_found"},
    {"wrong method", Get, "/admin/submit", {}, "", 405, "POST"},
};

struct ErrorCase {
  ControlErrorCode m_Code;
  unsigned m_Status;
};
const ErrorCase Errors[] = {
    {ControlErrorCode::NoQuorum, 503},
    {ControlErrorCode::UnknownOutcome, 504},
    {ControlErrorCode::NotCaughtUp, 409},
    {ControlErrorCode::ChangeInProgress, 409},
    {ControlErrorCode::UnknownVm, 404},
    {ControlErrorCode::StorageFailed, 500},
    {ControlErrorCode::TooLarge, 413},
};

} // namespace

// Guards against a request that is mapped to the wrong command, or a result
// that is reported as a different one.
TABLE_TEST(admin_api, answers_each_request, Exchanges) {
  FakeControl Control;
  send(Control, {"first",
                 Post,
                 "/admin/submit",
                 {{"Rd-Submit-Id", "first"}},
                 Manifest,
                 200,
                 ""});
  const auto Response = send(Control, Row);
  check(Row, Response);
  cr_assert(Response.has_content_length() && Response.keep_alive());
}

// Guards against an unknown outcome that is reported as a failure, and the
// reverse.
TABLE_TEST(admin_api, reports_control_errors, Errors) {
  FakeControl Control;
  Control.m_Error = ControlError{Row.m_Code, "found"};
  const std::string Code(nameOf(Row.m_Code));
  const Exchange Calls[] = {
      {"submit",
       Post,
       "/admin/submit",
       {{"Rd-Submit-Id", "a"}},
       Manifest,
       Row.m_Status,
       Code.c_str()},
      {"voter",
       Post,
       "/admin/voter",
       {},
       R"({"vm":"v","change":"add"})",
       Row.m_Status,
       Code.c_str()},
      {"status", Get, "/admin/status", {}, "", Row.m_Status, Code.c_str()},
      {"manifest", Get, "/admin/manifest", {}, "", Row.m_Status, Code.c_str()},
      {"customer",
       Get,
       "/admin/customer?name=c",
       {},
       "",
       Row.m_Status,
       Code.c_str()},
      {"snapshot", Post, "/admin/snapshot", {}, "", Row.m_Status, Code.c_str()},
      {"ready", Get, "/ready", {}, "", 503, R"("state":"stopping")"},
  };
  for (const Exchange &Call : Calls)
    check(Call, send(Control, Call));
}
