#ifndef RAGWORTDRIFT_POLICY_LEAF_LIFECYCLE_HPP
#define RAGWORTDRIFT_POLICY_LEAF_LIFECYCLE_HPP

#include "ragwortdrift/base/state_chart.hpp"
#include "ragwortdrift/policy/leaf_response.hpp"

#include <optional>
#include <string>

namespace ragwortdrift {

/// States of charts/leaf.ini.
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

/// Events of charts/leaf.ini.
enum class LeafEvent : std::uint8_t {
  /// A sign of a cold start was seen; see ColdSign.
  ColdSign,
  /// The cold-start limiter admits more than the cold fraction.
  AllowanceGrew,
  /// The cold-start limiter admits the leaf's full rate.
  AllowanceFull,
  /// The leaf was recently serving according to another owner or to traffic of
  /// this VM.
  KnownWarm,
  /// Too many consecutive failures.
  ErrorLimit,
  /// An ejected leaf answered a probe and is still the same process.
  ProbeAnswered,
  /// An operator's command drains the leaf or takes its failure domain out of
  /// service.
  OrderedOut,
  /// All such commands were withdrawn.
  OrderWithdrawn,
  /// The leaf reported Rd-Leaving: 1.
  Leaving,
  /// A leaf that had reported leaving is available again.
  Returned,
  /// The leaf was removed from the manifest.
  Removed,
  /// The leaf was added to the manifest again.
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

/// Sign by which a cold start was detected.
enum class ColdSign : std::uint8_t {
  Header,
  NewBootId,
  Sheds,
  SlowAnswers,
  /// The leaf was ejected, and its response does not prove that it is the same
  /// warm process.
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

/// State transition, for the decision log.
struct LeafTransition {
  LeafState m_From{};
  LeafState m_To{};
  LeafEvent m_Event{};
  std::optional<ColdSign> m_Sign;
};

/// Result of a health check: the leaf's health endpoint or a connection attempt
/// without a request. It only affects a leaf that had reported leaving, which
/// may return to service as cold.
struct LeafHealthCheck {
  bool m_Reachable = false;
  bool m_Leaving = false;
  std::string_view m_BootId;
};

using LeafChart = BoundChart<LeafState, LeafEvent>;

/// Multiple of the typical latency of the leaf's peers above which a response
/// is slow.
inline constexpr int SlowFactor = 5;

/// Lifecycle of a leaf as seen by its owner, driven by a state chart. Cold
/// starts are detected from responses only:
///   - Rd-Cold: 1 on a response that follows one without it. Only the change
///   counts, because a leaf that always sets the header would otherwise never
///   leave the cold start.
///   - A new Rd-Boot-Id.
///   - 2 sheds among the last 10 responses. A single shed is normal: after a
///   cancellation the owner's slot is free before the leaf has noticed the
///   cancellation.
///   - 8 slow responses among the last 10.
class LeafLifecycle {
public:
  /// Chart must outlive this object.
  explicit LeafLifecycle(const LeafChart &Chart)
      : m_Chart(&Chart), m_State(Chart.start()) {}

  LeafState state() const { return m_State; }

  /// Processes one response. Reference is the typical latency of the leaf's
  /// peers; a response slower than SlowFactor times this latency counts as
  /// slow.
  std::optional<LeafTransition>
  onResponse(TimePoint Now, const LeafResponse &Response, Duration Reference);

  /// Processes a health check of a leaf that had reported leaving.
  std::optional<LeafTransition> onHealthCheck(TimePoint Now,
                                              const LeafHealthCheck &Check);

  /// Sets DrainRequested, which is true while an operator's command (leaf drain
  /// or domain out) keeps the leaf out of service.
  std::optional<LeafTransition> setDrainRequested(bool DrainRequested);

  /// Informs a new owner that the leaf was serving as process BootId (empty if
  /// unknown). Has an effect only before the first response.
  std::optional<LeafTransition> setKnownWarm(std::string_view BootId);

  std::optional<LeafTransition> onAllowanceChanged(bool AboveColdFraction,
                                                   bool FullRate);
  std::optional<LeafTransition> setListed(bool IsListed);

  /// True if the leaf is ejected and its next probe is due.
  bool probeDue(TimePoint Now) const {
    return m_State == LeafState::Ejected && Now >= m_NextProbe;
  }
  TimePoint nextProbe() const { return m_NextProbe; }
  /// Records a probe. The next one is due after a back-off that starts at 1 s
  /// and doubles up to 30 s.
  void onProbeSent(TimePoint Now);

private:
  std::optional<LeafTransition> apply(LeafEvent Event,
                                      std::optional<ColdSign> Sign = {});
  std::optional<ColdSign> findColdSign(const LeafResponse &Response, bool Slow,
                                       bool NewBoot);
  std::optional<LeafTransition> onEjectedResponse(const LeafResponse &Response,
                                                  bool NewBoot);
  bool updateBootId(std::string_view BootId);

  const LeafChart *m_Chart;
  LeafState m_State;
  std::string m_BootId;
  bool m_HasResponded = false;
  bool m_ColdReported = false;
  bool m_LeavingReported = false;
  bool m_DrainRequested = false;
  bool m_EjectedFromServing = false;
  /// One bit per response, the latest in the lowest bit.
  std::uint32_t m_SlowHistory = 0;
  std::uint32_t m_ShedHistory = 0;
  unsigned m_ConsecutiveFailures = 0;
  Duration m_ProbeDelay{0};
  TimePoint m_NextProbe;
  /// Results of health checks since the leaf last reported leaving.
  bool m_SeenUnreachable = false;
  std::optional<TimePoint> m_NotLeavingSince;
};

} // namespace ragwortdrift

#endif
