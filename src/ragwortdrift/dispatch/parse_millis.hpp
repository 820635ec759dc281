#ifndef RAGWORTDRIFT_DISPATCH_PARSE_MILLIS_HPP
#define RAGWORTDRIFT_DISPATCH_PARSE_MILLIS_HPP

#include "ragwortdrift/base/time.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ragwortdrift {

/// Upper bound on the time-out that a caller may request.
inline constexpr std::chrono::minutes MaxCallerTimeout{10};

/// Parses a header value in whole milliseconds, capped at MaxCallerTimeout.
/// Returns nothing if it is not a non-negative integer.
inline std::optional<Duration> parseMillis(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (End != Text.data() + Text.size() || Error == std::errc::invalid_argument)
    return std::nullopt;
  // Compared as a number: a duration may not hold the value.
  constexpr std::chrono::milliseconds Max = MaxCallerTimeout;
  if (Error == std::errc::result_out_of_range ||
      Value > static_cast<std::uint64_t>(Max.count()))
    return Max;
  return std::chrono::milliseconds(Value);
}

} // namespace ragwortdrift

#endif
