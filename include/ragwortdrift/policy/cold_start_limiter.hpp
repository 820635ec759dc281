#ifndef RAGWORTDRIFT_POLICY_COLD_START_LIMITER_HPP
#define RAGWORTDRIFT_POLICY_COLD_START_LIMITER_HPP

#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/policy/leaf_response.hpp"

#include <optional>

namespace ragwortdrift {

/// Result of a rate-limited request, as far as it affects the growth of the
/// rate.
enum class ColdStartOutcome : std::uint8_t { InTime, Slow, Shed, Lost };
template <> struct EnumNames<ColdStartOutcome> {
  static constexpr std::array Entries{
      EnumName<ColdStartOutcome>{ColdStartOutcome::InTime, "in_time"},
      EnumName<ColdStartOutcome>{ColdStartOutcome::Slow, "slow"},
      EnumName<ColdStartOutcome>{ColdStartOutcome::Shed, "shed"},
      EnumName<ColdStartOutcome>{ColdStartOutcome::Lost, "lost"}};
};

/// Limits the request rate and the concurrency of a leaf during its cold start.
/// The rate limit is a token bucket with a burst of one, so any interval of W
/// seconds contains at most 1 + W x rate requests.
///
/// The admitted fraction of the leaf's rate starts at the cold fraction. It is
/// multiplied by 1.25 after each 500 ms in which at least 5, or all, of the
/// completed requests were answered in time. It is halved on a shed or on 2
/// slow or lost responses among the last 10, down to an eighth of the cold
/// fraction. A single slow response does not halve it, because 1% of the
/// responses of a warm leaf are slow, which would keep the leaf in its cold
/// start indefinitely.
class ColdStartLimiter {
public:
  struct Limits {
    /// Request rate of a warm leaf, in requests/s.
    double m_Rate = 400;
    double m_ColdFraction = 0.1;
    std::uint32_t m_Slots = 2;
    friend bool operator==(const Limits &, const Limits &) = default;
  };

  explicit ColdStartLimiter(Limits L)
      : m_Limits(L), m_RateFraction(L.m_ColdFraction) {}

  /// Resets the rate to the cold fraction. The first request is admitted one
  /// interval after Now, because requests sent earlier were not counted.
  void restart(TimePoint Now);

  /// True if a request may be sent now while InFlight requests are at the leaf.
  bool canSend(TimePoint Now, std::uint32_t InFlight) const {
    return InFlight < concurrency() && Now >= nextSendTime();
  }
  /// Counts a request that is sent now. Requires canSend().
  void onSent(TimePoint Now);

  /// Earliest time at which the rate limit admits another request.
  TimePoint nextSendTime() const;
  /// Time of the last counted request, or of the restart if there is none.
  TimePoint lastSendTime() const { return m_LastSend; }

  /// Processes the end of a request and closes the current 500 ms window once
  /// it has elapsed. ColdHeader is true if the response had Rd-Cold: 1; the
  /// rate then does not grow in this window, unless the leaf has sent the
  /// header for 60 s without a halving.
  void onResponse(TimePoint Now, ColdStartOutcome Outcome, bool ColdHeader);

  /// Maximum number of concurrent requests, at least 1.
  std::uint32_t concurrency() const;
  /// Admitted fraction of the rate, up to 1.
  double rateFraction() const { return m_RateFraction; }
  bool aboveColdFraction() const {
    return m_RateFraction > m_Limits.m_ColdFraction;
  }
  bool atFullRate() const { return m_RateFraction >= 1; }

  void setLimits(Limits L);

private:
  void closeWindow(TimePoint Now);
  void halve();

  Limits m_Limits;
  double m_RateFraction;
  TimePoint m_LastSend;
  TimePoint m_WindowStart;
  std::uint32_t m_ResponsesInWindow = 0;
  std::uint32_t m_InTimeInWindow = 0;
  /// One bit per response, the latest in the lowest bit.
  std::uint32_t m_SlowHistory = 0;
  bool m_HalvedInWindow = false;
  bool m_ColdHeaderInWindow = false;
  std::optional<TimePoint> m_ColdHeaderSince;
};

} // namespace ragwortdrift

#endif
