#ifndef RAGWORTDRIFT_TOOLS_LEAF_LEAF_MODEL_HPP
#define RAGWORTDRIFT_TOOLS_LEAF_LEAF_MODEL_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/tools/leaf/leaf_options.hpp"

#include <deque>
#include <optional>
#include <random>

namespace ragwortdrift::tools {

/// Admission decision of a leaf for an arriving request.
enum class Admission { Start, Queue, Shed, VersionMissing, Leaving };

/// Counters and time stamps of one leaf, evaluated after a run.
struct LeafCounters {
  std::uint64_t m_Arrived = 0;
  std::uint64_t m_Started = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Shed = 0;
  std::uint64_t m_VersionMissing = 0;
  std::uint64_t m_RefusedLeaving = 0;
  std::uint64_t m_Expired = 0;
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_ConnectionsRefused = 0;
  std::uint64_t m_SlowedDown = 0;
  /// Maximum ratio of load to the allowance of the cold leaf, counted from the
  /// time at which the first response marked as cold has reached its receiver;
  /// 0 if the ratio never exceeded 1.
  double m_MaxLoadOverAllowance = 0;
  /// Times at which the leaf last became cold, first reported it in a response,
  /// and became warm again.
  std::optional<TimePoint> m_ColdAt;
  std::optional<TimePoint> m_ColdReportedAt;
  std::optional<TimePoint> m_WarmAt;
  std::optional<TimePoint> m_LastArrival;
};

/// Simulates one stand-in leaf in virtual time and without I/O: slots, the
/// bounded queue, service times, cold starts, index versions and draining.
class LeafModel {
public:
  LeafModel(LeafOptions Options, std::uint64_t Seed);

  /// Decides on an arriving request. Version is the requested snapshot, if any.
  Admission admit(TimePoint Now, std::optional<std::uint64_t> Version);
  /// Starts the execution of a request and returns its service time. Must be
  /// called for each request for which admit() returned Start and for each
  /// request that leaves the queue to be executed.
  Duration start(TimePoint Now);
  /// Ends the execution of a request. Completed is false if it was cancelled.
  void finish(bool Completed, TimePoint Now);
  /// Removes a request from the queue, either to execute it or because it was
  /// cancelled.
  void leaveQueue() { --m_Queued; }
  bool hasFreeSlot() const { return m_Running < m_Options.m_Slots; }

  /// Simulates a restart with cold caches and a new boot id.
  void startColdPhase(TimePoint Now);
  /// Ends a cold start immediately and keeps the boot id.
  void endColdPhase(TimePoint Now);
  /// Simulates a restart with warm caches: only the boot id changes.
  void renewBootId();
  void setLeaving(bool Leaving, TimePoint Now);
  void setOptions(LeafOptions Options) { m_Options = std::move(Options); }
  void resetCounters();
  /// Records that a response with the header `Rd-Cold` is sent.
  void recordColdReported(TimePoint Now);

  const LeafOptions &options() const { return m_Options; }
  const LeafCounters &counters() const { return m_Counters; }
  LeafCounters &counters() { return m_Counters; }
  bool isCold() const { return m_Cold; }
  bool isLeaving() const { return m_LeavingSince.has_value(); }
  const std::string &bootId() const { return m_BootId; }
  std::uint64_t running() const { return m_Running; }
  std::uint64_t queued() const { return m_Queued; }
  double load() const {
    return static_cast<double>(m_Running + m_Queued) /
           static_cast<double>(std::max<std::uint64_t>(1, m_Options.m_Slots));
  }
  /// Requests/s that the leaf can serve in its current state.
  double allowedRate() const;
  std::uint64_t newestSnapshot() const;
  std::string snapshotList() const;

private:
  void countArrival(TimePoint Now);
  bool overloaded(TimePoint Now);

  LeafOptions m_Options;
  std::mt19937_64 m_Random;
  std::string m_BootId;
  LeafCounters m_Counters;
  bool m_Cold = false;
  double m_RequestsServedCold = 0;
  std::optional<TimePoint> m_LeavingSince;
  std::uint64_t m_Running = 0;
  std::uint64_t m_Queued = 0;
  /// Arrivals within the last LoadWindow.
  std::deque<TimePoint> m_Arrivals;
};

/// Sliding window over which the load of a cold leaf is compared with its
/// allowance.
inline constexpr Duration LoadWindow = std::chrono::milliseconds(500);
/// A cold leaf is overloaded above this multiple of its allowance.
inline constexpr double OverloadThreshold = 1.2;
inline constexpr double OverloadSlowdown = 10;
/// Requests in transit when the first response marked as cold is sent can no
/// longer be held back, so arrivals count against the allowance only after this
/// time plus one round trip.
inline constexpr Duration DetectionTime = std::chrono::milliseconds(10);

} // namespace ragwortdrift::tools

#endif
