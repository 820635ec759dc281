#ifndef RAGWORTDRIFT_POLICY_ADMISSION_HPP
#define RAGWORTDRIFT_POLICY_ADMISSION_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/base/time.hpp"

#include <cstdint>
#include <optional>

namespace ragwortdrift {

/// Priority of a caller's request, from the Rd-Priority header.
enum class Priority : std::uint8_t { Low, Normal, High };
template <> struct EnumNames<Priority> {
  static constexpr std::array Entries{
      EnumName<Priority>{Priority::Low, "low"},
      EnumName<Priority>{Priority::Normal, "normal"},
      EnumName<Priority>{Priority::High, "high"}};
};

/// Outcome of an admitted query, as far as it indicates load.
enum class AdmissionOutcome : std::uint8_t {
  /// Answered, possibly in part because of its deadline; the latency counts.
  Completed,
  /// Parts are missing because queues of owners were full.
  Overloaded,
  /// No indication of load: bad request, or the caller disconnected.
  Ignored
};
template <> struct EnumNames<AdmissionOutcome> {
  static constexpr std::array Entries{
      EnumName<AdmissionOutcome>{AdmissionOutcome::Completed, "completed"},
      EnumName<AdmissionOutcome>{AdmissionOutcome::Overloaded, "overloaded"},
      EnumName<AdmissionOutcome>{AdmissionOutcome::Ignored, "ignored"}};
};

/// Refusal of a query before a request was sent to any leaf.
struct AdmissionRefusal {
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_Limit = 0;
};

/// Adaptive concurrency limit for the queries of one service on one traffic
/// thread. Queries of low priority are refused at 80% of the limit, of normal
/// priority at 95% and of high priority at the limit. The limit follows the
/// ratio of the unloaded latency to the recent latency (gradient).
class AdmissionLimit {
public:
  struct Bounds {
    std::uint32_t m_Min = 4;
    /// The manifest's max_in_flight divided by the traffic threads.
    std::uint32_t m_Max = 2000;
    std::uint32_t m_Initial = 50;
  };

  explicit AdmissionLimit(Bounds B);

  Result<Done, AdmissionRefusal> tryAdmit(TimePoint Now, Priority P);
  /// Must be called once for every admitted query. Latency is the time from
  /// admission to response.
  void release(TimePoint Now, Duration Latency, AdmissionOutcome Outcome);

  std::uint32_t limit() const;
  std::uint32_t inFlight() const { return m_InFlight; }
  void setMax(std::uint32_t Max);

private:
  /// Under load the limit is lowered every 10 s for about 100 ms to empty the
  /// queue and then to measure the unloaded latency. Without these probes a
  /// limit that was too high at the onset of load would include its own
  /// queueing delay in the unloaded latency.
  enum class Phase : std::uint8_t { Normal, Emptying, Measuring };

  void closeWindow(TimePoint Now);
  void adjust(double MeanMicros, double PeakInFlight, bool OwnersOverloaded);

  Bounds m_Bounds;
  double m_Limit;
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_PeakInFlight = 0;
  TimePoint m_WindowStart;
  double m_LatencySumMicros = 0;
  std::uint32_t m_SampleCount = 0;
  std::uint32_t m_OverloadedCount = 0;
  /// Latency without queueing, in us; 0 while unknown.
  double m_UnloadedMicros = 0;
  Phase m_Phase = Phase::Normal;
  TimePoint m_NextProbe;
  Duration m_EmptyingDuration{0};
};

} // namespace ragwortdrift

#endif
