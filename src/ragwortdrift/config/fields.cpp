#include "ragwortdrift/config/fields.hpp"
#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/config/config_error_list.hpp"
#include "ragwortdrift/config/settings.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace ragwortdrift {

namespace detail {

namespace {

constexpr FieldRule Rules[] = {
    {SectionKind::Manifest, "name", FieldType::Name, true},
    {SectionKind::Domain, "region", FieldType::Name, false},
    {SectionKind::Service, "kind", FieldType::ServiceKindName, true},
    {SectionKind::Service, "slots", FieldType::Integer, true, 1, 10'000},
    {SectionKind::Service, "connections", FieldType::Integer, true, 1, 100'000},
    {SectionKind::Service, "connection_cost_ms", FieldType::Decimal, false, 0,
     60'000},
    {SectionKind::Service, "service_ms", FieldType::Decimal, false, 0.001,
     60'000},
    {SectionKind::Service, "deadline_ms", FieldType::Integer, false, 1, 60'000},
    // With 0 a cold leaf would receive no requests and never warm up.
    {SectionKind::Service, "cold_fraction", FieldType::Decimal, false, 0.001,
     1},
    {SectionKind::Service, "rate", FieldType::Decimal, false, 0.001,
     100'000'000},
    {SectionKind::Leaf, "service", FieldType::Name, true},
    {SectionKind::Leaf, "group", FieldType::Name, true},
    {SectionKind::Leaf, "domain", FieldType::Name, true},
    {SectionKind::Leaf, "address", FieldType::Address, true},
    {SectionKind::Limits, "max_in_flight", FieldType::Integer, false, 1,
     1'000'000},
    // A relay message, including its headers, is limited to 1 MiB.
    {SectionKind::Limits, "max_body_bytes", FieldType::Integer, false, 1,
     1'000'000},
    {SectionKind::Limits, "claim_retention_h", FieldType::Integer, false, 1,
     8760},
    {SectionKind::Limits, "hedge_ratio", FieldType::Decimal, false, 0, 1},
};

FieldError badValueError(std::string_view Value, std::string_view Expected) {
  std::ostringstream Out;
  Out << '\'' << quoteText(Value) << "' is not " << Expected;
  return {ConfigErrorCode::BadValue, Out.str()};
}

std::string rangeErrorText(const FieldRule &Rule, std::string_view Value) {
  std::ostringstream Out;
  Out.precision(12);
  Out << quoteText(Value) << " is outside " << Rule.m_Min << " to "
      << Rule.m_Max;
  return Out.str();
}

template <class Number>
std::optional<FieldError>
checkNumber(const FieldRule &Rule, std::string_view Value,
            std::optional<Number> Parsed, std::string_view Expected) {
  if (!Parsed)
    return badValueError(Value, Expected);
  const auto AsDouble = static_cast<double>(*Parsed);
  if (AsDouble < Rule.m_Min || AsDouble > Rule.m_Max)
    return FieldError{ConfigErrorCode::OutOfRange, rangeErrorText(Rule, Value)};
  return std::nullopt;
}

template <class Number>
std::optional<Number> parseEntire(std::string_view Text) {
  Number Value{};
  const char *End = Text.data() + Text.size();
  const auto [ParseEnd, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc{} || ParseEnd != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::span<const FieldRule> manifestRules() { return Rules; }

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64 &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
                  (C >= '0' && C <= '9') || C == '.' || C == '_' || C == '-';
         });
}

std::optional<std::int64_t> parseInteger(std::string_view Text) {
  return parseEntire<std::int64_t>(Text);
}

std::optional<double> parseDecimal(std::string_view Text) {
  const auto Value = parseEntire<double>(Text);
  if (Value && !std::isfinite(*Value))
    return std::nullopt;
  return Value;
}

std::optional<FieldError> checkField(const FieldRule &Rule,
                                     std::string_view Value) {
  switch (Rule.m_Type) {
  case FieldType::Text:
    return std::nullopt;
  case FieldType::Name:
    if (!isName(Value))
      return badValueError(Value, "a name (1 to 64 of a-z A-Z 0-9 . _ -)");
    return std::nullopt;
  case FieldType::Integer:
    return checkNumber(Rule, Value, parseInteger(Value), "a whole number");
  case FieldType::Decimal:
    return checkNumber(Rule, Value, parseDecimal(Value), "a number");
  case FieldType::Address:
    if (!parseEndpoint(Value))
      return badValueError(Value, "ip:port");
    return std::nullopt;
  case FieldType::ServiceKindName:
    if (!parseEnum<ServiceKind>(Value))
      return badValueError(Value, "fanout or single");
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace detail

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const auto Port = detail::parseInteger(Text.substr(Colon + 1));
  if (!Port || *Port < 1 || *Port > 65535)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  const bool Bracketed =
      Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Error;
  const auto Address = boost::asio::ip::make_address(std::string(Host), Error);
  if (Error || Address.is_v6() != Bracketed)
    return std::nullopt;
  return Endpoint{Address.to_string(), static_cast<std::uint16_t>(*Port)};
}

std::string formatEndpoint(const Endpoint &Address) {
  const bool IsV6 = Address.m_Ip.find(':') != std::string::npos;
  return (IsV6 ? "[" + Address.m_Ip + "]" : Address.m_Ip) + ":" +
         std::to_string(Address.m_Port);
}

} // namespace ragwortdrift
