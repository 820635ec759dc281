#ifndef RAGWORTDRIFT_TOOLS_LOAD_LOAD_WORKER_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_LOAD_WORKER_HPP

#include "ragwortdrift/tools/load/backend.hpp"
#include "ragwortdrift/tools/load/load_stats.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <mutex>
#include <random>

namespace ragwortdrift::tools {

/// One thread of callers: Poisson arrivals that do not wait for earlier
/// answers.
class LoadWorker {
public:
  LoadWorker(const LoadPlan &Plan, unsigned Index);
  /// Runs until all requests have ended.
  void run();
  /// A copy of the counters so far. Any thread may call it.
  LoadStats stats() const;
  /// The latencies since the last call. Any thread may call it.
  Histogram takeInterval();

private:
  struct Query;
  using QueryPtr = std::shared_ptr<Query>;

  void scheduleArrival();
  void arrive(TimePoint Intended);
  void startAttempt(const QueryPtr &Asked);
  void send(const QueryPtr &Asked, const Attempt &Request, TimePoint SentAt,
            bool Abandons);
  void endAttempt(const QueryPtr &Asked, const Attempt &Request,
                  TimePoint SentAt, const CallerOutcome &Outcome);
  void conclude(const QueryPtr &Asked, const Attempt &Request,
                const AnswerCheck &Check);
  /// Sends the same booking again, if attempts are left.
  bool resend(const QueryPtr &Asked, Duration Delay);
  void attemptDone(const QueryPtr &Asked);
  /// Runs Work after Delay.
  void later(Duration Delay, std::function<void()> Work);
  void waitForEnd();
  bool roll(double Probability) {
    return std::bernoulli_distribution(Probability)(m_CallerRandom);
  }

  const LoadPlan &m_Plan;
  unsigned m_Index;
  boost::asio::io_context m_Io{1};
  boost::asio::steady_timer m_ArrivalTimer;
  boost::asio::steady_timer m_EndTimer;
  std::unique_ptr<Backend> m_Backend;
  /// Arrivals and their services: the same for the same seed, whatever the
  /// answers are.
  std::mt19937_64 m_Random;
  /// What callers do with their requests.
  std::mt19937_64 m_CallerRandom;
  std::exponential_distribution<double> m_Gap;
  std::discrete_distribution<std::size_t> m_ChooseMix;
  TimePoint m_NextArrival;
  TimePoint m_EndOfArrivals;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_InFlight = 0;

  mutable std::mutex m_Mutex;
  LoadStats m_Stats;
  Histogram m_Interval;
};

} // namespace ragwortdrift::tools

#endif
