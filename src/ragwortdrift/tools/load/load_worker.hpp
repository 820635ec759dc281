#ifndef RAGWORTDRIFT_TOOLS_LOAD_LOAD_WORKER_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_LOAD_WORKER_HPP

#include "ragwortdrift/tools/load/backend.hpp"
#include "ragwortdrift/tools/load/load_stats.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <mutex>
#include <random>

namespace ragwortdrift::tools {

/// Simulates callers on one thread. Queries arrive as a Poisson process,
/// independent of earlier responses (open loop).
class LoadWorker {
public:
  LoadWorker(const LoadPlan &Plan, unsigned Index);
  /// Runs until all requests have completed.
  void run();
  /// Returns a copy of the current statistics. Thread-safe.
  LoadStats stats() const;
  /// Returns the latencies recorded since the last call. Thread-safe.
  Histogram takeIntervalLatency();

private:
  struct Query;
  using QueryPtr = std::shared_ptr<Query>;

  void scheduleArrival();
  void startQuery(TimePoint IntendedStart);
  void startAttempt(const QueryPtr &CurrentQuery);
  void send(const QueryPtr &CurrentQuery, const Attempt &Request,
            TimePoint SentAt, bool IsAbandoned);
  void handleOutcome(const QueryPtr &CurrentQuery, const Attempt &Request,
                     TimePoint SentAt, const CallerOutcome &Outcome);
  void recordResult(const QueryPtr &CurrentQuery, const Attempt &Request,
                    const ResponseCheck &Check);
  /// Retries a booking. Returns false if the query is no booking or has no
  /// retries left.
  bool retry(const QueryPtr &CurrentQuery, Duration Delay);
  void finishAttempt(const QueryPtr &CurrentQuery);
  /// Calls Work after Delay; immediately if Delay is not positive.
  void runAfter(Duration Delay, std::function<void()> Work);
  void waitForCompletion();
  bool drawBernoulli(double Probability) {
    return std::bernoulli_distribution(Probability)(m_CallerRandom);
  }

  const LoadPlan &m_Plan;
  unsigned m_Index;
  boost::asio::io_context m_Io{1};
  boost::asio::steady_timer m_ArrivalTimer;
  boost::asio::steady_timer m_EndTimer;
  std::unique_ptr<Backend> m_Backend;
  /// Random numbers for arrivals, services and request bodies. Their sequence
  /// depends on the seed only, not on responses.
  std::mt19937_64 m_Random;
  /// Random numbers for the behaviour of callers: abandoned and doubled
  /// requests.
  std::mt19937_64 m_CallerRandom;
  std::exponential_distribution<double> m_InterarrivalTime;
  std::discrete_distribution<std::size_t> m_MixDistribution;
  TimePoint m_NextArrival;
  TimePoint m_EndOfArrivals;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_InFlight = 0;

  mutable std::mutex m_Mutex;
  LoadStats m_Stats;
  Histogram m_IntervalLatency;
};

} // namespace ragwortdrift::tools

#endif
