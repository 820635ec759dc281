#include "ragwortdrift/tools/load/backend.hpp"

#include <algorithm>
#include <set>

namespace ragwortdrift::tools {

namespace http = boost::beast::http;

namespace {

/// Time that the plain client keeps for joining its answer.
constexpr std::chrono::milliseconds ClientMargin{10};

/// The answers of one plain search that are still expected.
struct Gathering {
  const ServiceView *m_Service = nullptr;
  std::size_t m_Open = 0;
  std::vector<PlainPart> m_Parts;
  /// The last failure, which is the outcome of a booking.
  std::optional<TransportError> m_Error;
  bool m_LeafRefused = false;
  Backend::Callback m_Done;
};

std::uint64_t numberOf(boost::beast::string_view Text) {
  return std::strtoull(std::string(Text).c_str(), nullptr, 10);
}

void finish(Gathering &State, bool IsBooking) {
  if (!State.m_Parts.empty() || !IsBooking)
    return State.m_Done(joinParts(*State.m_Service, State.m_Parts));
  if (State.m_LeafRefused)
    return State.m_Done(CallerAnswer{
        503, R"({"error":"overloaded","not_run":true,"detail":"leaf"})"});
  State.m_Done(
      State.m_Error.value_or(TransportError{TransportErrorCode::Closed, true}));
}

} // namespace

CallerAnswer joinParts(const ServiceView &Service,
                       const std::vector<PlainPart> &Parts) {
  std::uint64_t Newest = 0;
  std::set<std::string> Answered;
  boost::json::array Joined;
  for (const PlainPart &Part : Parts) {
    Newest = std::max(Newest, Part.m_Snapshot);
    Answered.insert(Part.m_Group);
    Joined.push_back(boost::json::object{
        {"group", Part.m_Group}, {"leaf", Part.m_Leaf}, {"body", Part.m_Body}});
  }
  boost::json::array Missing;
  for (const auto &[Group, Leafs] : Service.m_Groups)
    if (!Answered.contains(Group))
      Missing.emplace_back(Group);
  const double Coverage = static_cast<double>(Answered.size()) /
                          static_cast<double>(Service.m_Groups.size());
  const boost::json::object Answer{{"snapshot", Newest},
                                   {"groups_asked", Service.m_Groups.size()},
                                   {"groups_answered", Answered.size()},
                                   {"coverage", Coverage},
                                   {"missing", std::move(Missing)},
                                   {"deadline_cut", false},
                                   {"parts", std::move(Joined)}};
  return {200, boost::json::serialize(Answer)};
}

PlainBackend::PlainBackend(boost::asio::io_context &Io, const LoadPlan &Plan,
                           std::uint64_t Seed)
    : m_Io(Io), m_Plan(Plan), m_Random(Seed) {}

HttpPool &PlainBackend::poolOf(const LeafView &Leaf) {
  auto &Pool = m_Pools[Leaf.m_Address];
  if (!Pool)
    Pool = std::make_unique<HttpPool>(m_Io, Leaf.m_Address);
  return *Pool;
}

void PlainBackend::send(const Attempt &Request, Duration Timeout, Callback Fn) {
  const ServiceView &Service = *Request.m_Mix->m_Service;
  const bool IsBooking = !Request.m_Key.empty();
  auto State = std::make_shared<Gathering>();
  State->m_Service = &Service;
  State->m_Open = Service.m_Groups.size();
  State->m_Done = std::move(Fn);
  // The caller's deadline includes both ways between it and the client.
  const auto LeafTimeout = std::min<Duration>(
      Timeout,
      std::chrono::milliseconds(Request.m_DeadlineMs) -
          Duration(static_cast<Duration::rep>(m_Plan.m_CallerDelayMs * 2000)) -
          ClientMargin);
  for (const auto &[Group, Leafs] : Service.m_Groups) {
    const LeafView &Leaf = Leafs[std::uniform_int_distribution<std::size_t>(
        0, Leafs.size() - 1)(m_Random)];
    HttpRequest Message{http::verb::post, "/search", 11};
    Message.set(http::field::host, "leaf");
    Message.set("Rd-Group", Group);
    Message.set("Rd-Deadline-Ms", std::to_string(Request.m_DeadlineMs));
    Message.set("Rd-Request-Id", Request.m_RequestId);
    if (m_Plan.m_Snapshot)
      Message.set("Rd-Snapshot", std::to_string(*m_Plan.m_Snapshot));
    if (IsBooking)
      Message.set("Idempotency-Key", Request.m_Key);
    Message.body() = Request.m_Body;
    Message.prepare_payload();
    poolOf(Leaf).send(
        std::move(Message), LeafTimeout,
        [State, IsBooking, Group = Group,
         Name = Leaf.m_Name](HttpOutcome Answer) {
          if (!isOk(Answer)) {
            State->m_Error = errorOf(Answer);
          } else if (valueOf(Answer).result() == http::status::ok) {
            HttpResponse &Part = valueOf(Answer);
            State->m_Parts.push_back({Group, Name,
                                      numberOf(Part["Rd-Snapshot"]),
                                      std::move(Part.body())});
          } else {
            State->m_LeafRefused =
                valueOf(Answer)["Rd-Not-Run"] == "1" ||
                valueOf(Answer).result() == http::status::conflict;
          }
          if (--State->m_Open == 0)
            finish(*State, IsBooking);
        });
  }
}

} // namespace ragwortdrift::tools
