#ifndef RAGWORTDRIFT_POLICY_STRAGGLER_DETECTOR_HPP
#define RAGWORTDRIFT_POLICY_STRAGGLER_DETECTOR_HPP

#include "ragwortdrift/base/time.hpp"

#include <cstddef>
#include <optional>

namespace ragwortdrift {

/// Determines when the shards of a search that have not answered are stragglers
/// that deserve a hedge, from the answers of the other shards to the same
/// search.
///
/// It answers the load of a wide search on a VM that asks each leaf rarely. A
/// latency history of such a VM is old and mixes new connections with kept
/// ones, and a hedge delay from it is either too long for a paused leaf or
/// spends the retry budget on shards that are all late for a common reason. The
/// answers of the search itself are recent and share that reason.
class StragglerDetector {
public:
  explicit StragglerDetector(std::size_t Shards) : m_Shards(Shards) {}

  /// Returns true if a search is wide enough for its answers to show what is
  /// usual.
  bool isApplicable() const;
  /// Records the answer of a shard, Elapsed after the start of the search.
  void onAnswer(Duration Elapsed);
  /// Returns the time after the start of the search from which open shards are
  /// stragglers, once most shards have answered.
  std::optional<Duration> threshold() const;
  /// The same for a shard whose leaf was known to take Pace times as long as
  /// usual. Its answer is expected later; a hedge waits for it unless it would
  /// then come too late for the response, which is due at ResponseDue after the
  /// start.
  std::optional<Duration> threshold(double Pace, Duration ResponseDue) const;

private:
  std::size_t m_Shards;
  std::size_t m_Answers = 0;
  /// Time at which half of the shards had answered.
  Duration m_Median{0};
};

} // namespace ragwortdrift

#endif
