#include "ragwortdrift/tools/ctl/commands.hpp"
#include "ragwortdrift/tools/ctl/client.hpp"
#include "ragwortdrift/tools/ctl/explain.hpp"
#include "ragwortdrift/tools/ctl/offline.hpp"

#include <boost/json.hpp>
#include <boost/uuid/uuid_generators.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <ostream>
#include <thread>

namespace ragwortdrift::ctl {

namespace {

namespace http = boost::beast::http;
namespace json = boost::json;

/// Executes one command that sends requests to servers.
class Session {
public:
  Session(const Options &CommandLine, std::ostream &Out, std::ostream &Err)
      : m_CommandLine(CommandLine), m_Out(Out), m_Err(Err) {}

  ExitCode submit() {
    const auto Text = readFile(m_CommandLine.m_Manifest);
    if (!Text)
      return reportUnreadable(m_CommandLine.m_Manifest);
    const auto Parsed = parseManifest(*Text);
    if (!isOk(Parsed)) {
      printErrors(m_CommandLine.m_Manifest, errorOf(Parsed),
                  m_CommandLine.m_Json, m_Out, m_Err);
      return ExitCode::Refused;
    }
    HttpRequest Request(http::verb::post, "/admin/submit", 11);
    if (m_CommandLine.m_Base)
      Request.set("Rd-Base-Revision", std::to_string(*m_CommandLine.m_Base));
    Request.body() = *Text;
    std::string RetryCommand = "submit --manifest " + m_CommandLine.m_Manifest;
    if (m_CommandLine.m_Base)
      RetryCommand += " --base " + std::to_string(*m_CommandLine.m_Base);
    return sendChange(std::move(Request), RetryCommand);
  }

  ExitCode setState(const char *Target, const char *Subject) {
    HttpRequest Request(http::verb::post, Target, 11);
    Request.body() =
        json::serialize(json::object{{Subject, m_CommandLine.m_Args[1]},
                                     {"state", m_CommandLine.m_Args[0]}});
    return sendChange(std::move(Request), std::string(Subject) + " " +
                                              m_CommandLine.m_Args[0] + " " +
                                              m_CommandLine.m_Args[1]);
  }

  ExitCode voter() {
    HttpRequest Request(http::verb::post, "/admin/voter", 11);
    Request.body() = json::serialize(json::object{
        {"vm", m_CommandLine.m_Args[1]}, {"change", m_CommandLine.m_Args[0]}});
    // The request carries no submit id, so a retry after it was sent could
    // execute it twice.
    const RequestOutcome Outcome =
        sendWithFailover(m_CommandLine.m_Servers, Request,
                         RetryPolicy::IfNotExecuted, m_CommandLine.m_Timeout);
    return report(Outcome, "status");
  }

  ExitCode snapshot() {
    const HttpRequest Request(http::verb::post, "/admin/snapshot", 11);
    const RequestOutcome Outcome =
        sendWithFailover({m_CommandLine.m_Servers.front()}, Request,
                         RetryPolicy::IfNotExecuted, m_CommandLine.m_Timeout);
    return report(Outcome, "snapshot");
  }

  ExitCode show(const std::string &Target) {
    const auto Response = fetch(Target);
    if (!Response)
      return ExitCode::Unavailable;
    return report({OutcomeKind::Answered, *Response, Response->error()}, {});
  }

  ExitCode diff() {
    const std::string &Path = m_CommandLine.m_Args.front();
    const auto Text = readFile(Path);
    if (!Text)
      return reportUnreadable(Path);
    const auto Target = parseManifest(*Text);
    if (!isOk(Target)) {
      printErrors(Path, errorOf(Target), m_CommandLine.m_Json, m_Out, m_Err);
      return ExitCode::Refused;
    }
    const auto Response = fetch("/admin/manifest");
    if (!Response)
      return ExitCode::Unavailable;
    const auto *Manifest = Response->m_Body.if_contains("manifest");
    const auto *Revision = Response->m_Body.if_contains("revision");
    if (!Manifest || !Manifest->is_string() || !Revision)
      return report({OutcomeKind::Answered, *Response, Response->error()}, {});
    Document Current;
    // The manifest is empty before the first submit.
    if (!Manifest->as_string().empty()) {
      const auto Parsed = parseManifest(std::string_view(
          Manifest->as_string().data(), Manifest->as_string().size()));
      if (!isOk(Parsed)) {
        printErrors("the server's manifest", errorOf(Parsed),
                    m_CommandLine.m_Json, m_Out, m_Err);
        return ExitCode::Refused;
      }
      Current = valueOf(Parsed);
    }
    printDiff(Revision->to_number<std::uint64_t>(), Current, valueOf(Target),
              m_CommandLine.m_Json, m_Out);
    return ExitCode::Ok;
  }

  ExitCode wait() {
    const auto Deadline = Clock::now() + m_CommandLine.m_Timeout;
    std::vector<Endpoint> Pending = m_CommandLine.m_Servers;
    while (true) {
      std::erase_if(Pending, [&](const Endpoint &Server) {
        const auto Revision = revisionOf(Server, Deadline);
        return Revision && *Revision >= m_CommandLine.m_Revision;
      });
      if (Pending.empty())
        break;
      constexpr std::chrono::milliseconds PollInterval{50};
      if (Clock::now() + PollInterval >= Deadline) {
        for (const Endpoint &Server : Pending)
          m_Err << formatEndpoint(Server) << ": revision "
                << m_CommandLine.m_Revision << " is not in force\n";
        return ExitCode::TimedOut;
      }
      std::this_thread::sleep_for(PollInterval);
    }
    if (m_CommandLine.m_Json)
      m_Out << json::serialize(
                   json::object{{"revision", m_CommandLine.m_Revision}})
            << '\n';
    else
      m_Out << "revision " << m_CommandLine.m_Revision << " is in force\n";
    return ExitCode::Ok;
  }

private:
  ExitCode reportUnreadable(const std::string &Path) {
    m_Err << Path << ": the file cannot be read\n";
    return ExitCode::Usage;
  }

  /// Sends a change under the submit id of the command line, or under a new
  /// one. RetryCommand is the command that the operator can repeat safely with
  /// the same submit id if the outcome is unknown.
  ExitCode sendChange(HttpRequest Request, const std::string &RetryCommand) {
    std::string Id = m_CommandLine.m_SubmitId;
    if (Id.empty()) {
      Id = to_string(boost::uuids::random_generator()());
      m_Err << "submit id: " << Id << std::endl;
    }
    Request.set("Rd-Submit-Id", Id);
    const RequestOutcome Outcome =
        sendWithFailover(m_CommandLine.m_Servers, Request,
                         RetryPolicy::UntilAnswered, m_CommandLine.m_Timeout);
    return report(Outcome, RetryCommand + " --submit-id " + Id);
  }

  /// Returns the response of the first server that gives one, or std::nullopt.
  std::optional<AdminResponse> fetch(const std::string &Target) {
    const HttpRequest Request(http::verb::get, Target, 11);
    const auto Deadline = Clock::now() + m_CommandLine.m_Timeout;
    const auto PerServerTimeout =
        m_CommandLine.m_Timeout /
        static_cast<int>(m_CommandLine.m_Servers.size());
    for (const Endpoint &Server : m_CommandLine.m_Servers) {
      auto Result = sendRequest(
          Server, Request, std::min(Deadline, Clock::now() + PerServerTimeout));
      if (isOk(Result))
        return valueOf(std::move(Result));
      m_Err << errorOf(Result).m_Detail << '\n';
    }
    return std::nullopt;
  }

  /// Returns the revision in force on a server, or std::nullopt if the server
  /// does not report one.
  std::optional<std::uint64_t> revisionOf(const Endpoint &Server,
                                          Clock::time_point Deadline) {
    const HttpRequest Request(http::verb::get, "/admin/status", 11);
    // A VM that hangs must not delay the requests to the others.
    constexpr std::chrono::seconds MaxTimeout{1};
    const auto Result = sendRequest(
        Server, Request, std::min(Deadline, Clock::now() + MaxTimeout));
    if (!isOk(Result))
      return std::nullopt;
    const auto *Revision = valueOf(Result).m_Body.if_contains("revision");
    if (!Revision || !Revision->is_number())
      return std::nullopt;
    return Revision->to_number<std::uint64_t>();
  }

  /// Prints the outcome of a request and returns the exit code.
  /// FollowUpCommand is the command that the message suggests if the outcome is
  /// unknown.
  ExitCode report(const RequestOutcome &Outcome,
                  const std::string &FollowUpCommand) {
    if (Outcome.m_Kind == OutcomeKind::Unavailable) {
      printError("unavailable", Outcome.m_Detail,
                 "no server executed the request; nothing was changed");
      return ExitCode::Unavailable;
    }
    if (Outcome.m_Kind == OutcomeKind::Unknown) {
      printError("unknown_outcome", Outcome.m_Detail,
                 "the outcome is unknown; to find out, run: ragwortdriftctl " +
                     FollowUpCommand + " --server " +
                     m_CommandLine.m_ServerText);
      return ExitCode::OutcomeUnknown;
    }
    const json::object &Body = Outcome.m_Response.m_Body;
    if (m_CommandLine.m_Json)
      m_Out << json::serialize(Body) << '\n';
    else
      printBody(Body, "");
    if (Outcome.m_Response.m_Status == 200)
      return ExitCode::Ok;
    const std::string Error = Outcome.m_Response.error();
    if (Error == "conflict")
      return ExitCode::Conflict;
    return Error == "no_quorum" || Error == "stopping" ? ExitCode::Unavailable
                                                       : ExitCode::Refused;
  }

  void printError(const char *Code, const std::string &Detail,
                  const std::string &Message) {
    if (m_CommandLine.m_Json)
      m_Out << json::serialize(json::object{
                   {"error", Code}, {"detail", Detail}, {"message", Message}})
            << '\n';
    if (!Detail.empty())
      m_Err << Detail << '\n';
    m_Err << Message << '\n';
  }

  /// Prints one "key: value" line for each member.
  void printBody(const json::object &Body, const std::string &Indent) {
    for (const auto &[Key, Value] : Body)
      printMember(std::string(Key.data(), Key.size()), Value, Indent);
  }

  void printMember(const std::string &Key, const json::value &Value,
                   const std::string &Indent) {
    m_Out << Indent << Key << ':';
    if (Value.is_object()) {
      m_Out << '\n';
      printBody(Value.as_object(), Indent + "  ");
    } else if (Value.is_array()) {
      m_Out << '\n';
      for (const json::value &Item : Value.as_array()) {
        m_Out << Indent << "  -";
        if (Item.is_object())
          for (const auto &[Name, Member] : Item.as_object())
            m_Out << ' ' << std::string_view(Name.data(), Name.size()) << '='
                  << formatScalar(Member);
        else
          m_Out << ' ' << formatScalar(Item);
        m_Out << '\n';
      }
    } else {
      m_Out << ' ' << formatScalar(Value) << '\n';
    }
  }

  static std::string formatScalar(const json::value &Value) {
    if (Value.is_string())
      return std::string(Value.as_string().data(), Value.as_string().size());
    if (Value.is_null())
      return "none";
    return json::serialize(Value);
  }

  const Options &m_CommandLine;
  std::ostream &m_Out;
  std::ostream &m_Err;
};

ExitCode run(const Options &CommandLine, std::ostream &Out, std::ostream &Err) {
  Session CurrentSession(CommandLine, Out, Err);
  switch (CommandLine.m_Command) {
  case CommandName::Check:
    return checkFile(CommandLine, Out, Err);
  case CommandName::Submit:
    return CurrentSession.submit();
  case CommandName::Diff:
    return CurrentSession.diff();
  case CommandName::Status:
    return CurrentSession.show("/admin/status");
  case CommandName::Wait:
    return CurrentSession.wait();
  case CommandName::Domain:
    return CurrentSession.setState("/admin/domain", "domain");
  case CommandName::Leaf:
    return CurrentSession.setState("/admin/leaf", "leaf");
  case CommandName::Voter:
    return CurrentSession.voter();
  case CommandName::Customer:
    return CurrentSession.show("/admin/customer?name=" + CommandLine.m_Args[1]);
  case CommandName::Snapshot:
    return CurrentSession.snapshot();
  case CommandName::Explain:
    return explainRequest(CommandLine, Out, Err);
  }
  return ExitCode::Usage;
}

} // namespace

ExitCode runCtl(const std::vector<std::string> &Args, std::ostream &Out,
                std::ostream &Err) {
  const auto Parsed = parseOptions(Args);
  if (const auto *Help = std::get_if<HelpText>(&Parsed)) {
    Out << Help->m_Text;
    return ExitCode::Ok;
  }
  if (const auto *Error = std::get_if<UsageError>(&Parsed)) {
    Err << "ragwortdriftctl: " << Error->m_Detail << '\n';
    return ExitCode::Usage;
  }
  return run(std::get<Options>(Parsed), Out, Err);
}

} // namespace ragwortdrift::ctl
