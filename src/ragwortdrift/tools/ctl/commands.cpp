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

/// Runs one online command.
class Session {
public:
  Session(const Options &CommandLine, std::ostream &Out, std::ostream &Err)
      : m_CommandLine(CommandLine), m_Out(Out), m_Err(Err) {}

  ExitCode submit() {
    const auto Text = readFile(m_CommandLine.m_Manifest);
    if (!Text)
      return unreadable(m_CommandLine.m_Manifest);
    const auto Parsed = parseManifest(*Text);
    if (!isOk(Parsed)) {
      printFaults(m_CommandLine.m_Manifest, errorOf(Parsed),
                  m_CommandLine.m_Json, m_Out, m_Err);
      return ExitCode::Refused;
    }
    HttpRequest Request(http::verb::post, "/admin/submit", 11);
    if (m_CommandLine.m_Base)
      Request.set("Rd-Base-Revision", std::to_string(*m_CommandLine.m_Base));
    Request.body() = *Text;
    std::string Again = "submit --manifest " + m_CommandLine.m_Manifest;
    if (m_CommandLine.m_Base)
      Again += " --base " + std::to_string(*m_CommandLine.m_Base);
    return change(std::move(Request), Again);
  }

  ExitCode order(const char *Target, const char *Subject) {
    HttpRequest Request(http::verb::post, Target, 11);
    Request.body() =
        json::serialize(json::object{{Subject, m_CommandLine.m_Args[1]},
                                     {"state", m_CommandLine.m_Args[0]}});
    return change(std::move(Request), std::string(Subject) + " " +
                                          m_CommandLine.m_Args[0] + " " +
                                          m_CommandLine.m_Args[1]);
  }

  ExitCode voter() {
    HttpRequest Request(http::verb::post, "/admin/voter", 11);
    Request.body() = json::serialize(json::object{
        {"vm", m_CommandLine.m_Args[1]}, {"change", m_CommandLine.m_Args[0]}});
    // It carries no submit id, so it is not repeated once it was sent.
    const Finish Done = sendToAny(m_CommandLine.m_Servers, Request,
                                  Repeat::UntilSent, m_CommandLine.m_Timeout);
    return report(Done, "status");
  }

  ExitCode snapshot() {
    const HttpRequest Request(http::verb::post, "/admin/snapshot", 11);
    const Finish Done = sendToAny({m_CommandLine.m_Servers.front()}, Request,
                                  Repeat::UntilSent, m_CommandLine.m_Timeout);
    return report(Done, "snapshot");
  }

  ExitCode read(const std::string &Target) {
    const auto Found = get(Target);
    if (!Found)
      return ExitCode::Unavailable;
    return report({FinishKind::Answered, *Found, Found->error()}, {});
  }

  ExitCode diff() {
    const std::string &Path = m_CommandLine.m_Args.front();
    const auto Text = readFile(Path);
    if (!Text)
      return unreadable(Path);
    const auto Wanted = parseManifest(*Text);
    if (!isOk(Wanted)) {
      printFaults(Path, errorOf(Wanted), m_CommandLine.m_Json, m_Out, m_Err);
      return ExitCode::Refused;
    }
    const auto Found = get("/admin/manifest");
    if (!Found)
      return ExitCode::Unavailable;
    const auto *Manifest = Found->m_Body.if_contains("manifest");
    const auto *Revision = Found->m_Body.if_contains("revision");
    if (!Manifest || !Manifest->is_string() || !Revision)
      return report({FinishKind::Answered, *Found, Found->error()}, {});
    Document Current;
    // There is no manifest before the first submit.
    if (!Manifest->as_string().empty()) {
      const auto Parsed = parseManifest(std::string_view(
          Manifest->as_string().data(), Manifest->as_string().size()));
      if (!isOk(Parsed)) {
        printFaults("the server's manifest", errorOf(Parsed),
                    m_CommandLine.m_Json, m_Out, m_Err);
        return ExitCode::Refused;
      }
      Current = valueOf(Parsed);
    }
    printDifference(Revision->to_number<std::uint64_t>(), Current,
                    valueOf(Wanted), m_CommandLine.m_Json, m_Out);
    return ExitCode::Ok;
  }

  ExitCode wait() {
    const auto Deadline = Clock::now() + m_CommandLine.m_Timeout;
    std::vector<Endpoint> Behind = m_CommandLine.m_Servers;
    while (true) {
      std::erase_if(Behind, [&](const Endpoint &Server) {
        const auto Found = revisionOf(Server, Deadline);
        return Found && *Found >= m_CommandLine.m_Revision;
      });
      if (Behind.empty())
        break;
      constexpr std::chrono::milliseconds Pause{50};
      if (Clock::now() + Pause >= Deadline) {
        for (const Endpoint &Server : Behind)
          m_Err << formatEndpoint(Server) << ": revision "
                << m_CommandLine.m_Revision << " is not in force\n";
        return ExitCode::TimedOut;
      }
      std::this_thread::sleep_for(Pause);
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
  ExitCode unreadable(const std::string &Path) {
    m_Err << Path << ": the file cannot be read\n";
    return ExitCode::Usage;
  }

  /// Sends a change that carries a submit id.
  ExitCode change(HttpRequest Request, const std::string &Again) {
    std::string Id = m_CommandLine.m_SubmitId;
    if (Id.empty()) {
      Id = to_string(boost::uuids::random_generator()());
      m_Err << "submit id: " << Id << std::endl;
    }
    Request.set("Rd-Submit-Id", Id);
    const Finish Done = sendToAny(m_CommandLine.m_Servers, Request,
                                  Repeat::Safe, m_CommandLine.m_Timeout);
    return report(Done, Again + " --submit-id " + Id);
  }

  /// Reads from the first server that answers.
  std::optional<Reply> get(const std::string &Target) {
    const HttpRequest Request(http::verb::get, Target, 11);
    const auto Deadline = Clock::now() + m_CommandLine.m_Timeout;
    const auto Share = m_CommandLine.m_Timeout /
                       static_cast<int>(m_CommandLine.m_Servers.size());
    for (const Endpoint &Server : m_CommandLine.m_Servers) {
      auto Found =
          exchange(Server, Request, std::min(Deadline, Clock::now() + Share));
      if (isOk(Found))
        return valueOf(std::move(Found));
      m_Err << errorOf(Found).m_Detail << '\n';
    }
    return std::nullopt;
  }

  /// The revision in force on a server; nothing when it does not answer.
  std::optional<std::uint64_t> revisionOf(const Endpoint &Server,
                                          Clock::time_point Deadline) {
    const HttpRequest Request(http::verb::get, "/admin/status", 11);
    // A VM that hangs must not keep the others from being asked.
    constexpr std::chrono::seconds Limit{1};
    const auto Found =
        exchange(Server, Request, std::min(Deadline, Clock::now() + Limit));
    if (!isOk(Found))
      return std::nullopt;
    const auto *Revision = valueOf(Found).m_Body.if_contains("revision");
    if (!Revision || !Revision->is_number())
      return std::nullopt;
    return Revision->to_number<std::uint64_t>();
  }

  /// Prints how a request ended. FindOut is the command that tells what became
  /// of it when that is unknown.
  ExitCode report(const Finish &Done, const std::string &FindOut) {
    if (Done.m_Kind == FinishKind::Unavailable) {
      printError("unavailable", Done.m_Detail,
                 "no server could carry it out; nothing was changed");
      return ExitCode::Unavailable;
    }
    if (Done.m_Kind == FinishKind::Unknown) {
      printError("unknown_outcome", Done.m_Detail,
                 "the outcome is unknown; to find out run: ragwortdriftctl " +
                     FindOut + " --server " + m_CommandLine.m_ServerText);
      return ExitCode::OutcomeUnknown;
    }
    const json::object &Body = Done.m_Reply.m_Body;
    if (m_CommandLine.m_Json)
      m_Out << json::serialize(Body) << '\n';
    else
      printBody(Body, "");
    if (Done.m_Reply.m_Status == 200)
      return ExitCode::Ok;
    const std::string Error = Done.m_Reply.error();
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

  /// One "key: value" line for each member.
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
                  << plain(Member);
        else
          m_Out << ' ' << plain(Item);
        m_Out << '\n';
      }
    } else {
      m_Out << ' ' << plain(Value) << '\n';
    }
  }

  static std::string plain(const json::value &Value) {
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
  Session Current(CommandLine, Out, Err);
  switch (CommandLine.m_Command) {
  case CommandName::Check:
    return checkFile(CommandLine, Out, Err);
  case CommandName::Submit:
    return Current.submit();
  case CommandName::Diff:
    return Current.diff();
  case CommandName::Status:
    return Current.read("/admin/status");
  case CommandName::Wait:
    return Current.wait();
  case CommandName::Domain:
    return Current.order("/admin/domain", "domain");
  case CommandName::Leaf:
    return Current.order("/admin/leaf", "leaf");
  case CommandName::Voter:
    return Current.voter();
  case CommandName::Customer:
    return Current.read("/admin/customer?name=" + CommandLine.m_Args[1]);
  case CommandName::Snapshot:
    return Current.snapshot();
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
