#ifndef RAGWORTDRIFT_DISPATCH_PARSE_MILLIS_HPP
#define RAGWORTDRIFT_DISPATCH_PARSE_MILLIS_HPP

#include "ragwortdrift/base/time.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ragwortdrift {

/// Longest wait that a caller may ask for.
inline constexpr std::chrono::minutes MaxWait{10};

/// Whole milliseconds of a header, bounded by MaxWait; nothing when it is no
/// number or negative.
inline std::optional<Duration> parseMillis(std::string_view Text) {
  std::int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || End != Text.data() + Text.size() || Value < 0)
    return std::nullopt;
  return std::min<Duration>(std::chrono::milliseconds(Value), MaxWait);
}

} // namespace ragwortdrift

#endif
