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
/// grows by 1.25 after each 500 ms in which 5 or all offered requests were
/// answered in time, and halves on a shed, slow or lost answer, down to an
/// eighth of the cold fraction.
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

  /// Takes in the end of a request and closes windows of 500 ms that have
  /// passed. SaysCold is Rd-Cold: 1 on the answer: no growth in that window,
  /// unless the leaf has said so for 60 s with all answers in time.
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
  bool m_Taken = false;
  TimePoint m_WindowStart;
  std::uint32_t m_Offered = 0;
  std::uint32_t m_InTime = 0;
  bool m_Bad = false;
  bool m_SaysCold = false;
  TimePoint m_GoodSince;
};

} // namespace ragwortdrift

#endif
