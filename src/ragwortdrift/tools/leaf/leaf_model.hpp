#ifndef RAGWORTDRIFT_TOOLS_LEAF_LEAF_MODEL_HPP
#define RAGWORTDRIFT_TOOLS_LEAF_LEAF_MODEL_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/tools/leaf/leaf_options.hpp"

#include <deque>
#include <optional>
#include <random>

namespace ragwortdrift::tools {

/// What a leaf does with a request that arrives.
enum class Admission { Start, Queue, Shed, VersionMissing, Leaving };

/// Numbers about one leaf, for the checks after a run.
struct LeafCounters {
  std::uint64_t m_Arrived = 0;
  std::uint64_t m_Began = 0;
  std::uint64_t m_Ended = 0;
  std::uint64_t m_Shed = 0;
  std::uint64_t m_VersionMissing = 0;
  std::uint64_t m_RefusedLeaving = 0;
  std::uint64_t m_Expired = 0;
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_ConnectionsRefused = 0;
  std::uint64_t m_Collapsed = 0;
  /// The greatest load over the allowance of the cold leaf, after the first
  /// answer that showed it cold has reached its receiver; 0 if never above 1.
  double m_MaxLoadOverAllowance = 0;
  /// When the leaf turned cold, first said so, and became warm last.
  std::optional<TimePoint> m_ColdAt;
  std::optional<TimePoint> m_ColdShownAt;
  std::optional<TimePoint> m_WarmAt;
  std::optional<TimePoint> m_LastArrival;
};

/// The decisions of one stand-in leaf in virtual time, without I/O: slots, the
/// bounded queue, service times, cold starts, versions and draining.
class LeafModel {
public:
  LeafModel(LeafOptions Options, std::uint64_t Seed);

  /// A request arrives. Version is the snapshot it asks for, if any.
  Admission offer(TimePoint Now, std::optional<std::uint64_t> Version);
  /// A request starts; returns how long it runs. Call it for each request that
  /// offer() admitted with Start and for each that left the queue.
  Duration begin(TimePoint Now);
  /// A running request ended or was cancelled.
  void end(bool Completed, TimePoint Now);
  /// A queued request left the queue, to begin, or because it was cancelled.
  void leaveQueue() { --m_Queued; }
  bool canBegin() const { return m_Running < m_Options.m_Slots; }

  /// The leaf starts anew with cold caches and a new boot id.
  void turnCold(TimePoint Now);
  /// Ends a cold start at once; the boot id stays.
  void turnWarm(TimePoint Now);
  /// The process restarts warm: only the boot id changes.
  void renewBootId();
  void setLeaving(bool Leaving, TimePoint Now);
  void setOptions(LeafOptions Options) { m_Options = std::move(Options); }
  void resetCounters();
  /// An answer that carries the cold sign is sent.
  void noteColdShown(TimePoint Now);

  const LeafOptions &options() const { return m_Options; }
  const LeafCounters &counters() const { return m_Counters; }
  LeafCounters &counters() { return m_Counters; }
  bool cold() const { return m_Cold; }
  bool leaving() const { return m_LeavingSince.has_value(); }
  const std::string &bootId() const { return m_BootId; }
  std::uint64_t running() const { return m_Running; }
  std::uint64_t queued() const { return m_Queued; }
  double load() const {
    return static_cast<double>(m_Running + m_Queued) /
           static_cast<double>(std::max<std::uint64_t>(1, m_Options.m_Slots));
  }
  /// Requests/s that the leaf can carry now.
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
  double m_ServedCold = 0;
  std::optional<TimePoint> m_LeavingSince;
  std::uint64_t m_Running = 0;
  std::uint64_t m_Queued = 0;
  /// Arrivals within the last LoadWindow.
  std::deque<TimePoint> m_Arrivals;
};

/// The window in which a cold leaf's load is compared with its allowance.
inline constexpr Duration LoadWindow = std::chrono::milliseconds(500);
/// A cold leaf collapses above this multiple of its allowance.
inline constexpr double CollapseFactor = 1.2;
inline constexpr double CollapseSlowdown = 10;
/// Requests that are on their way when the first cold answer is sent can no
/// longer be held back; arrivals are judged after this time plus a round trip.
inline constexpr Duration DetectionTime = std::chrono::milliseconds(10);

} // namespace ragwortdrift::tools

#endif
