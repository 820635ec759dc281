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
  std::int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || End != Text.data() + Text.size() || Value < 0)
    return std::nullopt;
  return std::min<Duration>(std::chrono::milliseconds(Value), MaxCallerTimeout);
}

} // namespace ragwortdrift

#endif
