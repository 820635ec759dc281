#include "ragwortdrift/node/caller_api.hpp"

#include "ragwortdrift/net/http_server.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace ragwortdrift {

namespace json = boost::json;

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::string_view QuerySuffix = "/query";
constexpr std::size_t MaxIdLength = 64;
constexpr std::chrono::milliseconds MaxDeadline{60'000};

Refusal badRequest(std::string Detail) {
  return {QueryRefusalCode::BadRequest, true, std::move(Detail)};
}

std::optional<std::string_view> header(const HttpRequest &Request,
                                       std::string_view Name) {
  const auto Field =
      Request.find(boost::beast::string_view(Name.data(), Name.size()));
  if (Field == Request.end())
    return std::nullopt;
  return std::string_view(Field->value().data(), Field->value().size());
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::optional<double> parseRatio(std::string_view Text) {
  double Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || End != Text.data() + Text.size() ||
      !(Value >= 0 && Value <= 1))
    return std::nullopt;
  return Value;
}

bool validId(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxIdLength &&
         std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return C > 0x20 && C < 0x7f; });
}

/// Parses the optional headers into Query. Returns nothing when all are valid.
std::optional<Refusal> parseOptions(const HttpRequest &Request,
                                    QueryRequest &Query) {
  if (const auto Text = header(Request, "Rd-Deadline-Ms")) {
    const auto Millis = parseNumber(*Text);
    if (!Millis || *Millis < 1 ||
        *Millis > static_cast<std::uint64_t>(MaxDeadline.count()))
      return badRequest(
          "header Rd-Deadline-Ms must be a number from 1 to 60000");
    Query.m_Deadline = std::chrono::milliseconds(*Millis);
  }
  if (const auto Text = header(Request, "Rd-Min-Coverage")) {
    const auto Ratio = parseRatio(*Text);
    if (!Ratio)
      return badRequest("header Rd-Min-Coverage must be a number from 0 to 1");
    Query.m_MinCoverage = *Ratio;
  }
  if (const auto Text = header(Request, "Rd-Snapshot")) {
    const auto Version = parseNumber(*Text);
    if (!Version)
      return badRequest("header Rd-Snapshot must be a version number");
    Query.m_Snapshot = SnapshotVersion{*Version};
  }
  if (const auto Text = header(Request, "Rd-Priority")) {
    const auto Value = parseEnum<Priority>(*Text);
    if (!Value)
      return badRequest("header Rd-Priority must be low, normal or high");
    Query.m_Priority = *Value;
  }
  if (const auto Text = header(Request, "Rd-Request-Id")) {
    if (!validId(*Text))
      return badRequest(
          "header Rd-Request-Id must have 1 to 64 printable characters");
    Query.m_RequestId = *Text;
  }
  if (const auto Text = header(Request, "Rd-Customer"))
    Query.m_Customer = CustomerId{std::string(*Text)};
  return std::nullopt;
}

std::optional<Refusal> parseBooking(const HttpRequest &Request,
                                    QueryRequest &Query) {
  const auto Repeatable = header(Request, "Rd-Repeatable").value_or("yes");
  if (Repeatable == "yes")
    return std::nullopt;
  if (Repeatable != "no")
    return badRequest("header Rd-Repeatable must be yes or no");
  const auto Key = header(Request, "Idempotency-Key").value_or("");
  if (!validId(Key))
    return badRequest("header Idempotency-Key must have 1 to 64 printable "
                      "characters when Rd-Repeatable is no");
  const auto IssuedAt =
      parseNumber(header(Request, "Rd-Issued-At").value_or(""));
  if (!IssuedAt || *IssuedAt > static_cast<std::uint64_t>(INT64_MAX))
    return badRequest("header Rd-Issued-At must be a Unix time in milliseconds "
                      "when Rd-Repeatable is no");
  Query.m_Booking =
      BookingIdentity{IdempotencyKey{std::string(Key)}, UnixMillis(*IssuedAt)};
  return std::nullopt;
}

std::string formatResponse(const QueryResponse &Response) {
  json::array Missing;
  for (const GroupName &Group : Response.m_Missing)
    Missing.emplace_back(Group.m_Value);
  json::array Parts;
  for (const QueryPart &Part : Response.m_Parts)
    Parts.push_back({{"group", Part.m_Group.m_Value},
                     {"leaf", Part.m_Leaf.m_Value},
                     {"body", Part.m_Body}});
  const double Coverage = Response.m_GroupsRequested == 0
                              ? 0
                              : static_cast<double>(Response.m_Parts.size()) /
                                    Response.m_GroupsRequested;
  return json::serialize(
      json::object{{"snapshot", Response.m_Snapshot.m_Value},
                   {"groups_asked", Response.m_GroupsRequested},
                   {"groups_answered", Response.m_Parts.size()},
                   {"coverage", Coverage},
                   {"missing", std::move(Missing)},
                   {"deadline_cut", Response.m_DeadlineCut},
                   {"parts", std::move(Parts)}});
}

} // namespace

unsigned httpStatusOf(QueryRefusalCode Code) {
  switch (Code) {
  case QueryRefusalCode::BadRequest:
    return 400;
  case QueryRefusalCode::UnknownService:
    return 404;
  case QueryRefusalCode::TooLarge:
    return 413;
  case QueryRefusalCode::Overloaded:
  case QueryRefusalCode::Stopping:
  case QueryRefusalCode::NoConfiguration:
  case QueryRefusalCode::NoQuorum:
  case QueryRefusalCode::Unavailable:
    return 503;
  case QueryRefusalCode::CoverageTooLow:
  case QueryRefusalCode::DeadlineExceeded:
    return 504;
  case QueryRefusalCode::MaybeExecuted:
  case QueryRefusalCode::KeyReused:
  case QueryRefusalCode::KeyExpired:
  case QueryRefusalCode::KeyInProgress:
    return 409;
  case QueryRefusalCode::Internal:
    return 500;
  }
  return 500;
}

Result<QueryRequest, Refusal> parseQuery(const HttpRequest &Request) {
  if (Request.method() != boost::beast::http::verb::post)
    return badRequest("only POST is accepted");
  std::string_view Target(Request.target().data(), Request.target().size());
  if (!Target.starts_with(ServicePrefix) || !Target.ends_with(QuerySuffix) ||
      Target.size() <= ServicePrefix.size() + QuerySuffix.size())
    return badRequest("the path must be /v1/services/{service}/query");
  Target.remove_prefix(ServicePrefix.size());
  Target.remove_suffix(QuerySuffix.size());
  QueryRequest Query;
  Query.m_Service = ServiceName{std::string(Target)};
  if (auto Error = parseOptions(Request, Query))
    return std::move(*Error);
  if (auto Error = parseBooking(Request, Query))
    return std::move(*Error);
  Query.m_Body = Request.body();
  return Query;
}

HttpResponse formatOutcome(const QueryOutcome &Outcome) {
  if (const auto *Response = std::get_if<QueryResponse>(&Outcome))
    return jsonResponse(200, formatResponse(*Response));
  const Refusal &Reason = std::get<Refusal>(Outcome);
  return jsonResponse(httpStatusOf(Reason.m_Code),
                      json::serialize(json::object{
                          {"error", nameOf(Reason.m_Code)},
                          {"not_run", Reason.m_NotExecuted},
                          {"detail", std::string_view(Reason.m_Detail)}}));
}

} // namespace ragwortdrift
