#include "ragwortdrift/policy/straggler_detector.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// With fewer shards, one late answer moves the median.
constexpr std::size_t MinShards = 8;
/// Share of the shards that must have answered. If more are late, they are
/// likely to share a cause that a hedge does not remove.
constexpr double MinAnsweredShare = 0.75;
/// Lower bound of the threshold in medians. Before that, an answer is likely to
/// arrive anyway.
constexpr int MinMedians = 2;
/// Time in medians that a hedge needs to be answered before a response is due,
/// even by a leaf on a slow machine.
constexpr int HedgeMedians = 5;

} // namespace

bool StragglerDetector::isApplicable() const { return m_Shards >= MinShards; }

void StragglerDetector::onAnswer(Duration Elapsed) {
  ++m_Answers;
  if (m_Answers == (m_Shards + 1) / 2)
    m_Median = Elapsed;
}

std::optional<Duration> StragglerDetector::threshold() const {
  if (!isApplicable() || static_cast<double>(m_Answers) <
                             MinAnsweredShare * static_cast<double>(m_Shards))
    return std::nullopt;
  return MinMedians * m_Median;
}

std::optional<Duration>
StragglerDetector::threshold(double Pace, Duration ResponseDue) const {
  const auto Usual = threshold();
  if (!Usual || Pace <= 1)
    return Usual;
  const auto Expected = Duration(
      static_cast<Duration::rep>(Pace * static_cast<double>(Usual->count())));
  return std::max(*Usual,
                  std::min(Expected, ResponseDue - HedgeMedians * m_Median));
}

} // namespace ragwortdrift
