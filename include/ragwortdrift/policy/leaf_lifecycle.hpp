#ifndef RAGWORTDRIFT_POLICY_LEAF_LIFECYCLE_HPP
#define RAGWORTDRIFT_POLICY_LEAF_LIFECYCLE_HPP

#include "ragwortdrift/base/state_chart.hpp"
#include "ragwortdrift/policy/leaf_answer.hpp"

#include <optional>
#include <string>

namespace ragwortdrift {

/// The states of charts/leaf.ini.
enum class LeafState : std::uint8_t {
  Cold,
  Warming,
  Serving,
  Ejected,
  Draining,
  Gone
};
template <> struct EnumNames<LeafState> {
  static constexpr std::array Entries{
      EnumName<LeafState>{LeafState::Cold, "cold"},
      EnumName<LeafState>{LeafState::Warming, "warming"},
      EnumName<LeafState>{LeafState::Serving, "serving"},
      EnumName<LeafState>{LeafState::Ejected, "ejected"},
      EnumName<LeafState>{LeafState::Draining, "draining"},
      EnumName<LeafState>{LeafState::Gone, "gone"}};
};

/// The events of charts/leaf.ini.
enum class LeafEvent : std::uint8_t {
  /// One of the signs of a cold start.
  ColdSign,
  /// The allowance has grown above the cold fraction.
  AllowanceGrew,
  /// The allowance has reached the leaf's whole rate.
  AllowanceFull,
  /// Another owner or the traffic of this VM has recently seen it serving.
  KnownWarm,
  /// Too many failures in a row.
  ErrorLimit,
  /// An ejected leaf has answered and is still the same process.
  ProbeAnswered,
  /// An order to drain the leaf, or its domain was taken out.
  OrderedOut,
  /// The orders are withdrawn.
  OrderWithdrawn,
  /// The leaf says that it is leaving.
  Leaving,
  /// A leaf that was leaving is back.
  Returned,
  /// The manifest no longer lists the leaf.
  Removed,
  /// The manifest lists it again.
  Listed
};
template <> struct EnumNames<LeafEvent> {
  static constexpr std::array Entries{
      EnumName<LeafEvent>{LeafEvent::ColdSign, "cold_sign"},
      EnumName<LeafEvent>{LeafEvent::AllowanceGrew, "allowance_grew"},
      EnumName<LeafEvent>{LeafEvent::AllowanceFull, "allowance_full"},
      EnumName<LeafEvent>{LeafEvent::KnownWarm, "known_warm"},
      EnumName<LeafEvent>{LeafEvent::ErrorLimit, "error_limit"},
      EnumName<LeafEvent>{LeafEvent::ProbeAnswered, "probe_answered"},
      EnumName<LeafEvent>{LeafEvent::OrderedOut, "ordered_out"},
      EnumName<LeafEvent>{LeafEvent::OrderWithdrawn, "order_withdrawn"},
      EnumName<LeafEvent>{LeafEvent::Leaving, "leaving"},
      EnumName<LeafEvent>{LeafEvent::Returned, "returned"},
      EnumName<LeafEvent>{LeafEvent::Removed, "removed"},
      EnumName<LeafEvent>{LeafEvent::Listed, "listed"}};
};

/// Why a leaf is taken for cold.
enum class ColdSign : std::uint8_t {
  Header,
  NewBootId,
  Sheds,
  SlowAnswers,
  /// It was ejected and cannot be shown to be the same, warm process.
  AfterEjection
};
template <> struct EnumNames<ColdSign> {
  static constexpr std::array Entries{
      EnumName<ColdSign>{ColdSign::Header, "header"},
      EnumName<ColdSign>{ColdSign::NewBootId, "new_boot_id"},
      EnumName<ColdSign>{ColdSign::Sheds, "sheds"},
      EnumName<ColdSign>{ColdSign::SlowAnswers, "slow_answers"},
      EnumName<ColdSign>{ColdSign::AfterEjection, "after_ejection"}};
};

/// One change of state, for the decision log.
struct LeafTransition {
  LeafState m_From{};
  LeafState m_To{};
  LeafEvent m_Event{};
  std::optional<ColdSign> m_Sign;
};

/// What the leaf's health endpoint or a connection attempt without work shows.
/// A hint: it may only return a leaf that was leaving, and only as cold.
struct LeafHealthHint {
  bool m_Reachable = false;
  bool m_Leaving = false;
  std::string_view m_BootId;
};

using LeafChart = BoundChart<LeafState, LeafEvent>;

/// An answer that took this many times the usual latency of the leaf's peers is
/// slow.
inline constexpr int SlowFactor = 5;

/// The state of a leaf as its owner sees it, driven by a state chart. Signs of
/// a cold start come from answers only:
///   - Rd-Cold: 1 on an answer after one without it. A leaf that always says so
///     would otherwise never leave the cold start.
///   - a new Rd-Boot-Id.
///   - 2 sheds among the last 10 answers. A single shed is normal: after a
///     cancellation the owner's slot is free before the leaf has noticed.
///   - 8 slow answers among the last 10.
class LeafLifecycle {
public:
  /// Chart must outlive the lifecycle.
  explicit LeafLifecycle(const LeafChart &Chart)
      : m_Chart(&Chart), m_State(Chart.start()) {}

  LeafState state() const { return m_State; }

  /// Takes in one answer. Reference is the usual latency of the leaf's peers;
  /// an answer of 5 times that is slow.
  std::optional<LeafTransition>
  onAnswer(TimePoint Now, const LeafAnswer &Answer, Duration Reference);

  /// Takes in a hint for a leaf that is leaving.
  std::optional<LeafTransition> onHealthHint(TimePoint Now,
                                             const LeafHealthHint &Hint);

  /// Sets whether orders (leaf drain, domain out) keep the leaf out.
  std::optional<LeafTransition> setOrderedOut(bool Out);

  /// A new owner's knowledge that the leaf was serving as process BootId (empty
  /// when not known). Only a leaf without any answer yet becomes serving.
  std::optional<LeafTransition> setKnownWarm(std::string_view BootId);

  std::optional<LeafTransition> onAllowance(bool Grew, bool Full);
  std::optional<LeafTransition> setListed(bool Listed);

  /// Whether an ejected leaf may receive one probe now.
  bool probeDue(TimePoint Now) const {
    return m_State == LeafState::Ejected && Now >= m_ProbeAt;
  }
  TimePoint probeAt() const { return m_ProbeAt; }
  /// A probe was sent; the next is due after the back-off, 1 s doubling to
  /// 30 s.
  void onProbeSent(TimePoint Now);

private:
  std::optional<LeafTransition> apply(LeafEvent Event,
                                      std::optional<ColdSign> Sign = {});
  std::optional<ColdSign> findColdSign(const LeafAnswer &Answer, bool Slow,
                                       bool NewBoot);
  std::optional<LeafTransition> onEjectedAnswer(const LeafAnswer &Answer,
                                                bool NewBoot);
  bool noteBootId(std::string_view BootId);

  const LeafChart *m_Chart;
  LeafState m_State;
  std::string m_BootId;
  bool m_Answered = false;
  bool m_SaidCold = false;
  bool m_SaidLeaving = false;
  bool m_OrderedOut = false;
  bool m_EjectedFromServing = false;
  /// One bit an answer, the last one lowest.
  std::uint32_t m_SlowBits = 0;
  std::uint32_t m_ShedBits = 0;
  unsigned m_FailuresInRow = 0;
  Duration m_ProbeDelay{0};
  TimePoint m_ProbeAt;
  /// What hints have shown since the leaf said that it was leaving.
  bool m_SeenUnreachable = false;
  std::optional<TimePoint> m_StayingSince;
};

} // namespace ragwortdrift

#endif
