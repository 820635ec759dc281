#ifndef RAGWORTDRIFT_POLICY_COLD_ALLOWANCE_HPP
#define RAGWORTDRIFT_POLICY_COLD_ALLOWANCE_HPP

#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/policy/leaf_answer.hpp"

#include <optional>

namespace ragwortdrift {

/// How an answer under the allowance counts towards growth.
enum class AllowanceOutcome : std::uint8_t { InTime, Slow, Shed, Lost };
template <> struct EnumNames<AllowanceOutcome> {
  static constexpr std::array Entries{
      EnumName<AllowanceOutcome>{AllowanceOutcome::InTime, "in_time"},
      EnumName<AllowanceOutcome>{AllowanceOutcome::Slow, "slow"},
      EnumName<AllowanceOutcome>{AllowanceOutcome::Shed, "shed"},
      EnumName<AllowanceOutcome>{AllowanceOutcome::Lost, "lost"}};
};

/// What a leaf in a cold start may receive: a rate (token bucket with a burst
/// of one, so any window of W seconds holds at most 1 + W x rate requests) and
/// a concurrency. The share of the leaf's rate starts at the cold fraction,
/// grows by 1.25 after each 500 ms in which 5 or all ended requests were
/// answered in time, and halves on a shed or on 2 slow or lost answers among
/// the last 10, down to an eighth of the cold fraction. A single slow answer
/// does not halve it, because 1% of the answers of a warm leaf are slow and
/// would keep the leaf from ever leaving the cold start.
class ColdAllowance {
public:
  struct Limits {
    /// Requests/s of a warm leaf.
    double m_Rate = 400;
    double m_ColdFraction = 0.1;
    std::uint32_t m_Slots = 2;
    friend bool operator==(const Limits &, const Limits &) = default;
  };

  explicit ColdAllowance(Limits L)
      : m_Limits(L), m_Fraction(L.m_ColdFraction) {}

  /// Starts (or restarts) at the cold fraction. The first request may go one
  /// interval after Now, because earlier requests are not counted.
  void restart(TimePoint Now);

  /// Whether a request may go now while InFlight requests are at the leaf.
  bool mayTake(TimePoint Now, std::uint32_t InFlight) const {
    return InFlight < concurrency() && Now >= nextAt();
  }
  /// Counts a request that is sent now. The caller has checked mayTake.
  void take(TimePoint Now);

  /// When the rate allows the next request, provided that the concurrency does.
  TimePoint nextAt() const;
  /// When the last request was counted, or the start.
  TimePoint lastTaken() const { return m_LastTaken; }

  /// Takes in the end of a request and closes the window of 500 ms when it has
  /// passed. SaysCold is Rd-Cold: 1 on the answer: no growth in that window,
  /// unless the leaf has said so for 60 s without a halving.
  void onAnswer(TimePoint Now, AllowanceOutcome Outcome, bool SaysCold);

  /// Requests that the leaf may have at once.
  std::uint32_t concurrency() const;
  /// Share of the rate that is allowed, up to 1.
  double fraction() const { return m_Fraction; }
  bool grew() const { return m_Fraction > m_Limits.m_ColdFraction; }
  bool full() const { return m_Fraction >= 1; }

  void setLimits(Limits L);

private:
  void closeWindow(TimePoint Now);
  void halve();

  Limits m_Limits;
  double m_Fraction;
  TimePoint m_LastTaken;
  TimePoint m_WindowStart;
  std::uint32_t m_Ended = 0;
  std::uint32_t m_InTime = 0;
  /// One bit an answer, the last one lowest.
  std::uint32_t m_SlowBits = 0;
  bool m_Halved = false;
  bool m_SaidCold = false;
  std::optional<TimePoint> m_SaysColdSince;
};

} // namespace ragwortdrift

#endif
