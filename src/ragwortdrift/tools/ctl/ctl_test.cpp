#include "ragwortdrift/config/settings.hpp"
#include "ragwortdrift/tools/ctl/client.hpp"
#include "ragwortdrift/tools/ctl/commands.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>

// Criterion's macros break Boost.Intrusive, so Boost's headers come first.
#include "ragwortdrift/testing/table.hpp"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace ragwortdrift;
using namespace ragwortdrift::ctl;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Action of a scripted server for one request.
struct Step {
  enum class Kind { Respond, Close, Unresponsive } m_Kind = Kind::Respond;
  unsigned m_Status = 200;
  std::string m_Body;
};

Step respond(unsigned Status, std::string Body) {
  return {Step::Kind::Respond, Status, std::move(Body)};
}
const Step CloseStep{Step::Kind::Close};
const Step UnresponsiveStep{Step::Kind::Unresponsive};
const Step NoQuorum = respond(503, R"({"error":"no_quorum"})");
const Step UnknownOutcome = respond(504, R"({"error":"unknown_outcome"})");
const Step Accepted =
    respond(200, R"({"resent":false,"result":"accepted","revision":5})");
const Step AcceptedResend =
    respond(200, R"({"resent":true,"result":"accepted","revision":5})");
const Step Conflicting = respond(
    409, R"({"result":"conflict","error":"conflict","current_revision":7})");

/// A server that takes one scripted step for each request and repeats the last
/// one. Without steps, the port is closed.
class ScriptedServer {
public:
  explicit ScriptedServer(std::vector<Step> Steps)
      : m_Steps(std::move(Steps)), m_Acceptor(m_Io, asio::ip::tcp::v4()) {
    // Without steps the port stays bound but refuses connections, so that no
    // other test gets it.
    m_Acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    m_Address =
        "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
    if (m_Steps.empty())
      return;
    m_Acceptor.listen();
    accept();
    m_Thread = std::thread([this] { m_Io.run(); });
  }
  ~ScriptedServer() { stop(); }
  void stop() {
    m_Io.stop();
    if (m_Thread.joinable())
      m_Thread.join();
  }
  const std::string &address() const { return m_Address; }

  std::vector<HttpRequest> m_Requests;

private:
  void accept() {
    m_Acceptor.async_accept(
        [this](boost::system::error_code Error, asio::ip::tcp::socket Socket) {
          if (!Error)
            serve(std::move(Socket));
          accept();
        });
  }
  void serve(asio::ip::tcp::socket Socket) {
    const Step &Next = m_Steps[std::min(m_Requests.size(), m_Steps.size() - 1)];
    boost::beast::flat_buffer Buffer;
    boost::system::error_code Error;
    http::read(Socket, Buffer, m_Requests.emplace_back(), Error);
    if (Next.m_Kind == Step::Kind::Respond) {
      http::response<http::string_body> Response(http::status(Next.m_Status),
                                                 11);
      Response.body() = Next.m_Body;
      Response.prepare_payload();
      http::write(Socket, Response, Error);
    } else if (Next.m_Kind == Step::Kind::Unresponsive) {
      m_OpenSockets.push_back(std::move(Socket));
    }
  }

  std::vector<Step> m_Steps;
  asio::io_context m_Io;
  asio::ip::tcp::acceptor m_Acceptor;
  std::string m_Address;
  std::vector<asio::ip::tcp::socket> m_OpenSockets;
  std::thread m_Thread;
};

struct RunResult {
  ExitCode m_Code{};
  std::string m_Out;
  std::string m_Err;
};
RunResult runCommand(const std::vector<std::string> &Args) {
  std::ostringstream Out;
  std::ostringstream Err;
  const ExitCode Code = runCtl(Args, Out, Err);
  return {Code, Out.str(), Err.str()};
}

/// A temporary file that the destructor removes.
class TempFile {
public:
  explicit TempFile(const std::string &Text)
      : m_Path("/tmp/ctl_test." + std::to_string(getpid()) + ".ini") {
    std::ofstream(m_Path) << Text;
  }
  ~TempFile() { std::remove(m_Path.c_str()); }
  std::string m_Path;
};

const std::string Manifest =
    "[manifest]\nname = m\n[domain d]\n[customer c]\ntier = gold\n";

struct OnlineCase {
  const char *m_Name;
  std::vector<Step> m_First;
  std::vector<Step> m_Second;
  /// Arguments; "FILE" is replaced by the path of a file with Manifest.
  std::vector<std::string> m_Args;
  ExitCode m_Code;
  /// A part of the output or the messages.
  std::string m_Contains;
  /// Expected number of requests to the second server; -1 for any number.
  int m_SecondRequests = -1;
};

const std::vector<std::string> SubmitArgs{"submit", "--manifest", "FILE",
                                          "--submit-id", "id-1"};
const std::vector<std::string> VoterArgs{"voter", "add", "v2"};
const std::string ResendHint = "--submit-id id-1 --server 127.0.0.1:";

const OnlineCase OnlineCases[] = {
    {"accepted", {Accepted}, {}, SubmitArgs, ExitCode::Ok, "revision: 5"},
    {"conflict",
     {Conflicting},
     {Accepted},
     SubmitArgs,
     ExitCode::Conflict,
     "current_revision: 7",
     0},
    {"refused",
     {respond(422, R"({"result":"refused","error":"unknown_leaf"})")},
     {Accepted},
     {"leaf", "drain", "l"},
     ExitCode::Refused,
     "unknown_leaf",
     0},
    {"first server down",
     {},
     {Accepted},
     SubmitArgs,
     ExitCode::Ok,
     "revision: 5",
     1},
    {"first server without quorum",
     {NoQuorum},
     {Accepted},
     SubmitArgs,
     ExitCode::Ok,
     "revision: 5",
     1},
    {"lost response, resent",
     {CloseStep},
     {AcceptedResend},
     SubmitArgs,
     ExitCode::Ok,
     "resent: true",
     1},
    {"unresponsive server, resent",
     {UnresponsiveStep},
     {AcceptedResend},
     SubmitArgs,
     ExitCode::Ok,
     "resent: true",
     1},
    {"unknown outcome, resent",
     {UnknownOutcome},
     {Conflicting},
     SubmitArgs,
     ExitCode::Conflict,
     "conflict",
     1},
    {"quorum returns",
     {NoQuorum, NoQuorum, Accepted},
     {NoQuorum},
     SubmitArgs,
     ExitCode::Ok,
     "revision: 5",
     2},
    {"no quorum anywhere",
     {NoQuorum},
     {},
     SubmitArgs,
     ExitCode::Unavailable,
     "nothing was changed"},
    {"nothing listens",
     {},
     {},
     SubmitArgs,
     ExitCode::Unavailable,
     "nothing was changed"},
    {"outcome stays unknown",
     {CloseStep},
     {NoQuorum},
     SubmitArgs,
     ExitCode::OutcomeUnknown,
     ResendHint},
    {"refused by another server after an unknown outcome",
     {UnknownOutcome},
     {respond(400, R"({"error":"bad_request"})")},
     SubmitArgs,
     ExitCode::OutcomeUnknown,
     ResendHint},
    {"response is not JSON",
     {respond(200, "<html>")},
     {},
     SubmitArgs,
     ExitCode::OutcomeUnknown,
     ResendHint},
    {"voter change is not retried",
     {CloseStep},
     {Accepted},
     VoterArgs,
     ExitCode::OutcomeUnknown,
     "ragwortdriftctl status --server",
     0},
    {"voter change fails over if not executed",
     {NoQuorum},
     {respond(200, R"({"result":"done"})")},
     VoterArgs,
     ExitCode::Ok,
     "result: done",
     1},
    {"change in progress",
     {respond(409, R"({"error":"change_in_progress"})")},
     {},
     VoterArgs,
     ExitCode::Refused,
     "change_in_progress"},
    {"status from the second server",
     {},
     {respond(200, R"({"revision":3,"voters":[{"vm":"v1","role":"leader"}]})")},
     {"status"},
     ExitCode::Ok,
     "  - vm=v1 role=leader",
     1},
    {"no status", {}, {}, {"status"}, ExitCode::Unavailable, "127.0.0.1:"},
    {"customer",
     {respond(200, R"({"settings":{"tier":"gold"}})")},
     {},
     {"customer", "show", "c"},
     ExitCode::Ok,
     "  tier: gold"},
    {"unknown customer",
     {respond(404, R"({"error":"unknown_customer"})")},
     {},
     {"customer", "show", "c"},
     ExitCode::Refused,
     "unknown_customer"},
    {"wait for both",
     {respond(200, R"({"revision":4})"), respond(200, R"({"revision":5})")},
     {respond(200, R"({"revision":6})")},
     {"wait", "5"},
     ExitCode::Ok,
     "revision 5 is in force",
     1},
    {"wait for a server that is down",
     {respond(200, R"({"revision":4})")},
     {},
     {"wait", "0"},
     ExitCode::TimedOut,
     "not in force"},
    {"one server stays behind",
     {respond(200, R"({"revision":4})")},
     {respond(200, R"({"revision":6})")},
     {"wait", "5"},
     ExitCode::TimedOut,
     "not in force"},
    {"diff",
     {respond(
         200,
         R"({"revision":3,"manifest":"[manifest]\nname = m\n[domain e]\n[customer c]\ntier = tin\n"})")},
     {},
     {"diff", "FILE"},
     ExitCode::Ok,
     "- [domain e]\n+ [domain d]\n~ [customer c]\n-   tier = tin\n+   tier = "
     "gold\n"},
    {"diff before the first manifest",
     {respond(200, R"({"revision":0,"manifest":""})")},
     {},
     {"diff", "FILE"},
     ExitCode::Ok,
     "+ [domain d]"},
    {"JSON",
     {Conflicting},
     {},
     {"domain", "out", "d", "--json"},
     ExitCode::Conflict,
     R"("current_revision":7)"},
};

struct OfflineCase {
  const char *m_Name;
  std::vector<std::string> m_Args;
  std::string m_File;
  ExitCode m_Code;
  const char *m_Contains;
};
const std::string Server = "--server=127.0.0.1:1";
const OfflineCase OfflineCases[] = {
    {"valid", {"check", "FILE"}, Manifest, ExitCode::Ok, "1 customers"},
    {"errors",
     {"check", "FILE"},
     Manifest + "[odd]\n[domain d]\n",
     ExitCode::Refused,
     "line 6: [odd] unknown_section"},
    {"errors as JSON",
     {"check", "--json", "FILE"},
     Manifest + "[odd]\n",
     ExitCode::Refused,
     R"({"faults":[{"line":6,"section":"odd")"},
    {"settings",
     {"check", "--settings", "FILE"},
     "[vm]\nid = a\n",
     ExitCode::Refused,
     "[listen] caller: missing_key"},
    {"no file",
     {"check", "/nonexistent"},
     "",
     ExitCode::Usage,
     "cannot be read"},
    {"directory instead of a file",
     {"check", "/tmp"},
     "",
     ExitCode::Usage,
     "cannot be read"},
    {"invalid manifest is not sent",
     {"submit", Server, "--manifest", "FILE"},
     "[odd]\n",
     ExitCode::Refused,
     "unknown_section"},
    {"no command", {}, "", ExitCode::Usage, "no command"},
    {"unknown command", {"start"}, "", ExitCode::Usage, "'start'"},
    {"no server", {"status"}, "", ExitCode::Usage, "--server is required"},
    {"no manifest", {"submit", Server}, "", ExitCode::Usage, "--manifest"},
    {"host name",
     {"status", "--server", "localhost:1"},
     "",
     ExitCode::Usage,
     "--server: invalid value 'localhost:1'"},
    {"option of another command",
     {"status", Server, "--base", "1"},
     "",
     ExitCode::Usage,
     "--base is not an option of 'status'"},
    {"abbreviated option",
     {"status", "--serv", "127.0.0.1:1"},
     "",
     ExitCode::Usage,
     "unrecognised option"},
    {"negative base",
     {"submit", Server, "--manifest", "FILE", "--base=-1"},
     Manifest,
     ExitCode::Usage,
     "'-1'"},
    {"infinite timeout",
     {"status", Server, "--timeout", "inf"},
     "",
     ExitCode::Usage,
     "'inf'"},
    {"revision is not a number",
     {"wait", Server, "x"},
     "",
     ExitCode::Usage,
     "wait REVISION"},
    {"unknown domain state",
     {"domain", "off", "d", Server},
     "",
     ExitCode::Usage,
     "domain out|in NAME"},
    {"name that would alter the query string",
     {"customer", "show", "c&name=d", Server},
     "",
     ExitCode::Usage,
     "customer show NAME"},
    {"help", {"--help"}, "", ExitCode::Ok, "submit --manifest FILE"},
    {"help of a command",
     {"wait", "--help"},
     "",
     ExitCode::Ok,
     "every listed server"},
};

std::vector<std::string> withFile(std::vector<std::string> Args,
                                  const std::string &Path) {
  std::replace(Args.begin(), Args.end(), std::string("FILE"), Path);
  return Args;
}

} // namespace

// Guards against a change that is sent twice under different submit ids, an
// unknown outcome that is reported as a known one, and an unresponsive server
// that uses up the time of the others.
TABLE_TEST(ctl, online_commands_fail_over_and_report_the_outcome, OnlineCases) {
  const TempFile File(Manifest);
  ScriptedServer First(Row.m_First);
  ScriptedServer Second(Row.m_Second);
  auto Args = withFile(Row.m_Args, File.m_Path);
  for (const std::string &Option :
       {std::string("--server"), First.address() + "," + Second.address(),
        std::string("--timeout"), std::string("0.8")})
    Args.push_back(Option);
  const RunResult Result = runCommand(Args);
  First.stop();
  Second.stop();
  const std::string Output = Result.m_Out + Result.m_Err;
  cr_assert_eq(Result.m_Code, Row.m_Code, "%s: %d\n%s", Row.m_Name,
               int(Result.m_Code), Output.c_str());
  cr_assert(Output.find(Row.m_Contains) != std::string::npos, "%s:\n%s",
            Row.m_Name, Output.c_str());
  if (Row.m_SecondRequests >= 0)
    cr_assert_eq(int(Second.m_Requests.size()), Row.m_SecondRequests,
                 "%s: %zu requests", Row.m_Name, Second.m_Requests.size());
  for (const auto *Server : {&First, &Second})
    for (const HttpRequest &Request : Server->m_Requests)
      if (Row.m_Args == SubmitArgs)
        cr_assert(Request["Rd-Submit-Id"] == "id-1" &&
                  Request.body() == Manifest);
}

// Guards against command lines that are accepted with another meaning than the
// operator intended.
TABLE_TEST(ctl, offline_commands_and_usage_errors, OfflineCases) {
  const TempFile File(Row.m_File);
  const RunResult Result = runCommand(withFile(Row.m_Args, File.m_Path));
  const std::string Output = Result.m_Out + Result.m_Err;
  cr_assert_eq(Result.m_Code, Row.m_Code, "%s: %d\n%s", Row.m_Name,
               int(Result.m_Code), Output.c_str());
  cr_assert(Output.find(Row.m_Contains) != std::string::npos, "%s:\n%s",
            Row.m_Name, Output.c_str());
}

// Guards against a generated submit id that is not shown to the operator or
// that changes between retries.
Test(ctl, generated_submit_id_is_printed_and_reused) {
  const TempFile File(Manifest);
  ScriptedServer First({CloseStep});
  ScriptedServer Second({AcceptedResend});
  const RunResult Result =
      runCommand({"submit", "--manifest", File.m_Path, "--base", "4",
                  "--server", First.address() + "," + Second.address()});
  First.stop();
  Second.stop();
  cr_assert(Result.m_Code == ExitCode::Ok);
  cr_assert(First.m_Requests.size() == 1 && Second.m_Requests.size() == 1);
  const std::string Id(First.m_Requests[0]["Rd-Submit-Id"]);
  cr_assert(Id.size() == 36 &&
            Id == std::string(Second.m_Requests[0]["Rd-Submit-Id"]));
  cr_assert(Result.m_Err.find("submit id: " + Id) != std::string::npos);
  cr_assert(Second.m_Requests[0]["Rd-Base-Revision"] == "4");
}
