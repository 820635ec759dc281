#include "ragwortdrift/tools/load/backend.hpp"

#include <algorithm>
#include <set>

namespace ragwortdrift::tools {

namespace http = boost::beast::http;

namespace {

/// Time reserved for merging the responses of the leafs.
constexpr std::chrono::milliseconds MergeMargin{10};

/// State of one request while responses of leafs are pending.
struct PendingRequest {
  const ServiceView *m_Service = nullptr;
  std::size_t m_PendingLeafs = 0;
  std::vector<PlainResponsePart> m_Parts;
  /// Last transport error, which is the outcome of a failed booking.
  std::optional<TransportError> m_Error;
  bool m_LeafRefused = false;
  Backend::Callback m_Handler;
};

std::uint64_t parseNumber(boost::beast::string_view Text) {
  return std::strtoull(std::string(Text).c_str(), nullptr, 10);
}

void finish(PendingRequest &State, bool IsBooking) {
  if (!State.m_Parts.empty() || !IsBooking)
    return State.m_Handler(mergeParts(*State.m_Service, State.m_Parts));
  if (State.m_LeafRefused)
    return State.m_Handler(CallerResponse{
        503, R"({"error":"overloaded","not_run":true,"detail":"leaf"})"});
  State.m_Handler(
      State.m_Error.value_or(TransportError{TransportErrorCode::Closed, true}));
}

} // namespace

CallerResponse mergeParts(const ServiceView &Service,
                          const std::vector<PlainResponsePart> &Parts) {
  std::uint64_t NewestSnapshot = 0;
  std::set<std::string> AnsweredGroups;
  boost::json::array MergedParts;
  for (const PlainResponsePart &Part : Parts) {
    NewestSnapshot = std::max(NewestSnapshot, Part.m_Snapshot);
    AnsweredGroups.insert(Part.m_Group);
    MergedParts.push_back(boost::json::object{
        {"group", Part.m_Group}, {"leaf", Part.m_Leaf}, {"body", Part.m_Body}});
  }
  boost::json::array MissingGroups;
  for (const auto &[Group, Leafs] : Service.m_Groups)
    if (!AnsweredGroups.contains(Group))
      MissingGroups.emplace_back(Group);
  const double Coverage = static_cast<double>(AnsweredGroups.size()) /
                          static_cast<double>(Service.m_Groups.size());
  const boost::json::object Response{{"snapshot", NewestSnapshot},
                                     {"groups_asked", Service.m_Groups.size()},
                                     {"groups_answered", AnsweredGroups.size()},
                                     {"coverage", Coverage},
                                     {"missing", std::move(MissingGroups)},
                                     {"deadline_cut", false},
                                     {"parts", std::move(MergedParts)}};
  return {200, boost::json::serialize(Response)};
}

PlainBackend::PlainBackend(boost::asio::io_context &Io, const LoadPlan &Plan,
                           std::uint64_t Seed)
    : m_Io(Io), m_Plan(Plan), m_Random(Seed) {}

HttpPool &PlainBackend::poolFor(const LeafView &Leaf) {
  auto &Pool = m_Pools[Leaf.m_Address];
  if (!Pool)
    Pool = std::make_unique<HttpPool>(m_Io, Leaf.m_Address);
  return *Pool;
}

void PlainBackend::send(const Attempt &Request, Duration Timeout,
                        Callback Handler) {
  const ServiceView &Service = *Request.m_Mix->m_Service;
  const bool IsBooking = !Request.m_Key.empty();
  auto State = std::make_shared<PendingRequest>();
  State->m_Service = &Service;
  State->m_PendingLeafs = Service.m_Groups.size();
  State->m_Handler = std::move(Handler);
  // The deadline of the caller includes the round trip between caller and
  // client.
  const auto LeafTimeout = std::min<Duration>(
      Timeout,
      std::chrono::milliseconds(Request.m_DeadlineMs) -
          Duration(static_cast<Duration::rep>(m_Plan.m_CallerDelayMs * 2000)) -
          MergeMargin);
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
    poolFor(Leaf).send(
        std::move(Message), LeafTimeout,
        [State, IsBooking, Group = Group,
         Name = Leaf.m_Name](HttpOutcome Response) {
          if (!isOk(Response)) {
            State->m_Error = errorOf(Response);
          } else if (valueOf(Response).result() == http::status::ok) {
            HttpResponse &Part = valueOf(Response);
            State->m_Parts.push_back({Group, Name,
                                      parseNumber(Part["Rd-Snapshot"]),
                                      std::move(Part.body())});
          } else {
            State->m_LeafRefused =
                valueOf(Response)["Rd-Not-Run"] == "1" ||
                valueOf(Response).result() == http::status::conflict;
          }
          if (--State->m_PendingLeafs == 0)
            finish(*State, IsBooking);
        });
  }
}

} // namespace ragwortdrift::tools
