#ifndef RAGWORTDRIFT_POLICY_ADMISSION_HPP
#define RAGWORTDRIFT_POLICY_ADMISSION_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/base/time.hpp"

#include <cstdint>
#include <optional>

namespace ragwortdrift {

/// Rd-Priority of a caller's request.
enum class Priority : std::uint8_t { Low, Normal, High };
template <> struct EnumNames<Priority> {
  static constexpr std::array Entries{
      EnumName<Priority>{Priority::Low, "low"},
      EnumName<Priority>{Priority::Normal, "normal"},
      EnumName<Priority>{Priority::High, "high"}};
};

/// How an admitted query ended, as far as it tells about load.
enum class AdmissionOutcome : std::uint8_t {
  /// Answered, also when cut by its deadline: its latency counts.
  Completed,
  /// Parts are missing because owners' queues were full.
  Overloaded,
  /// Says nothing about load: bad request, caller gone.
  Ignored
};
template <> struct EnumNames<AdmissionOutcome> {
  static constexpr std::array Entries{
      EnumName<AdmissionOutcome>{AdmissionOutcome::Completed, "completed"},
      EnumName<AdmissionOutcome>{AdmissionOutcome::Overloaded, "overloaded"},
      EnumName<AdmissionOutcome>{AdmissionOutcome::Ignored, "ignored"}};
};

/// Refused before any leaf was asked.
struct AdmissionRefusal {
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_Limit = 0;
};

/// Adaptive limit of the queries in flight of one service on one traffic
/// thread. Low priority is refused at 80% of the limit, normal at 95%, high at
/// the limit. The limit follows the ratio of the unloaded latency to the recent
/// latency (gradient).
class AdmissionLimit {
public:
  struct Bounds {
    std::uint32_t m_Min = 4;
    /// The manifest's max_in_flight divided by the traffic threads.
    std::uint32_t m_Max = 2000;
    std::uint32_t m_Initial = 50;
  };

  explicit AdmissionLimit(Bounds B);

  Result<Done, AdmissionRefusal> tryEnter(TimePoint Now, Priority P);
  /// Every admitted query leaves once. Latency from admission to answer.
  void leave(TimePoint Now, Duration Latency, AdmissionOutcome Outcome);

  std::uint32_t limit() const;
  std::uint32_t inFlight() const { return m_InFlight; }
  void setMax(std::uint32_t Max);

private:
  /// Under load the limit is lowered every 10 s for some 100 ms, to empty the
  /// queue and then to measure the unloaded latency. Otherwise a limit that was
  /// too high when the load began would take its own queue for unloaded.
  enum class Phase : std::uint8_t { Normal, Emptying, Measuring };

  void closeWindow(TimePoint Now);
  void adjust(double Mean, double Peak, bool Refusing);

  Bounds m_Bounds;
  double m_Limit;
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_PeakInFlight = 0;
  TimePoint m_WindowStart;
  double m_LatencySum = 0;
  std::uint32_t m_Samples = 0;
  std::uint32_t m_Overloaded = 0;
  /// Latency without queueing in us; 0 while unknown.
  double m_Unloaded = 0;
  Phase m_Phase = Phase::Normal;
  TimePoint m_ProbeAt;
  Duration m_EmptyingTime{0};
};

} // namespace ragwortdrift

#endif
