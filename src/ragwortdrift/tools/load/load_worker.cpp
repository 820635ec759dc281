#include "ragwortdrift/tools/load/load_worker.hpp"

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/tools/common/clock.hpp"

namespace ragwortdrift::tools {

namespace {

using namespace std::chrono_literals;

/// Time after the deadline within which a response is still received and
/// counted as late.
constexpr Duration LateResponseTimeout = 1s;
constexpr Duration RetryDelay = 50ms;
constexpr Duration KeyInProgressDelay = 100ms;
/// A caller that abandons its booking closes the connection within this time,
/// so that cancellations reach leafs before, during and after the execution.
constexpr double MaxAbandonDelayMs = 30;

} // namespace

/// One query of a caller, with the state of all its attempts.
struct LoadWorker::Query {
  const MixEntry *m_Mix = nullptr;
  std::string m_Id;
  std::string m_Body;
  UnixMillis m_IssuedAt{0};
  TimePoint m_IntendedStart;
  std::uint64_t m_DeadlineMs = 240;
  std::set<std::string, std::less<>> m_RequestIds;
  unsigned m_Attempts = 0;
  unsigned m_OpenAttempts = 0;
  bool m_Answered = false;
};

LoadWorker::LoadWorker(const LoadPlan &Plan, unsigned Index)
    : m_Plan(Plan), m_Index(Index), m_ArrivalTimer(m_Io), m_EndTimer(m_Io),
      m_Random(Plan.m_Seed * 1000 + Index),
      m_CallerRandom(Plan.m_Seed * 1000 + Index + 500),
      m_InterarrivalTime(Plan.m_Rate / Plan.m_Threads) {
  if (Plan.m_Plain)
    m_Backend = std::make_unique<PlainBackend>(m_Io, Plan, m_CallerRandom());
  else
    m_Backend = std::make_unique<EntryBackend>(m_Io, Plan);
  std::vector<double> Weights;
  for (const MixEntry &Entry : Plan.m_Mix)
    Weights.push_back(Entry.m_Weight);
  m_MixDistribution = {Weights.begin(), Weights.end()};
}

LoadStats LoadWorker::stats() const {
  const std::scoped_lock Lock(m_Mutex);
  return m_Stats;
}

Histogram LoadWorker::takeIntervalLatency() {
  const std::scoped_lock Lock(m_Mutex);
  return std::exchange(m_IntervalLatency, Histogram());
}

void LoadWorker::run() {
  m_NextArrival = steadyNow();
  m_EndOfArrivals = m_NextArrival + fromMillis(m_Plan.m_Seconds * 1000);
  scheduleArrival();
  m_Io.run();
}

void LoadWorker::runAfter(Duration Delay, std::function<void()> Work) {
  if (Delay <= Duration{0})
    return Work();
  auto Timer = std::make_shared<boost::asio::steady_timer>(m_Io, Delay);
  Timer->async_wait(
      [Timer, Work = std::move(Work)](boost::system::error_code Code) {
        if (!Code)
          Work();
      });
}

void LoadWorker::scheduleArrival() {
  m_NextArrival =
      m_NextArrival + fromMillis(m_InterarrivalTime(m_Random) * 1000);
  if (m_NextArrival >= m_EndOfArrivals)
    return waitForCompletion();
  m_ArrivalTimer.expires_after(m_NextArrival - steadyNow());
  m_ArrivalTimer.async_wait([this](boost::system::error_code Code) {
    if (Code)
      return;
    startQuery(m_NextArrival);
    scheduleArrival();
  });
}

void LoadWorker::waitForCompletion() {
  if (m_InFlight == 0 && steadyNow() >= m_EndOfArrivals) {
    m_Backend->stop();
    m_Io.stop();
    return;
  }
  m_EndTimer.expires_after(10ms);
  m_EndTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      waitForCompletion();
  });
}

void LoadWorker::startQuery(TimePoint IntendedStart) {
  auto CurrentQuery = std::make_shared<Query>();
  CurrentQuery->m_Mix = &m_Plan.m_Mix[m_MixDistribution(m_Random)];
  CurrentQuery->m_Id = m_Plan.m_IdPrefix + "-" + std::to_string(m_Index) + "-" +
                       std::to_string(m_Sequence++);
  CurrentQuery->m_Body = CurrentQuery->m_Id + " ";
  while (CurrentQuery->m_Body.size() < m_Plan.m_BodyBytes)
    CurrentQuery->m_Body.push_back(static_cast<char>('a' + m_Random() % 26));
  CurrentQuery->m_IssuedAt = wallClockNow();
  CurrentQuery->m_IntendedStart = IntendedStart;
  CurrentQuery->m_DeadlineMs =
      m_Plan.m_DeadlineMs ? m_Plan.m_DeadlineMs
                          : CurrentQuery->m_Mix->m_Service->m_DeadlineMs;
  ++m_InFlight;
  {
    const std::scoped_lock Lock(m_Mutex);
    ++m_Stats.m_Queries;
    m_Stats.m_GroupsAsked += CurrentQuery->m_Mix->m_Service->m_Groups.size();
    m_Stats.m_Bookings += CurrentQuery->m_Mix->m_Booking ? 1 : 0;
  }
  const bool IsDoubleSend = CurrentQuery->m_Mix->m_Booking &&
                            drawBernoulli(m_Plan.m_DoubleSendFraction);
  CurrentQuery->m_OpenAttempts = IsDoubleSend ? 2 : 1;
  startAttempt(CurrentQuery);
  if (IsDoubleSend)
    startAttempt(CurrentQuery);
}

void LoadWorker::startAttempt(const QueryPtr &CurrentQuery) {
  const bool Booking = CurrentQuery->m_Mix->m_Booking;
  Attempt Request{CurrentQuery->m_Mix,
                  CurrentQuery->m_Id,
                  "",
                  CurrentQuery->m_Body,
                  CurrentQuery->m_IssuedAt,
                  CurrentQuery->m_DeadlineMs};
  ++CurrentQuery->m_Attempts;
  if (Booking) {
    Request.m_Key = CurrentQuery->m_Id;
    Request.m_RequestId += "-a" + std::to_string(CurrentQuery->m_Attempts);
  }
  CurrentQuery->m_RequestIds.insert(Request.m_RequestId);
  const bool IsAbandoned = Booking && drawBernoulli(m_Plan.m_AbandonFraction);
  const TimePoint SentAt = steadyNow();
  runAfter(fromMillis(m_Plan.m_CallerDelayMs),
           [this, CurrentQuery, Request = std::move(Request), SentAt,
            IsAbandoned] { send(CurrentQuery, Request, SentAt, IsAbandoned); });
}

void LoadWorker::send(const QueryPtr &CurrentQuery, const Attempt &Request,
                      TimePoint SentAt, bool IsAbandoned) {
  Duration Timeout =
      std::chrono::milliseconds(Request.m_DeadlineMs) + LateResponseTimeout;
  if (IsAbandoned)
    Timeout = fromMillis(std::uniform_real_distribution<double>(
        0, MaxAbandonDelayMs)(m_CallerRandom));
  m_Backend->send(Request, Timeout,
                  [this, CurrentQuery, Request, SentAt,
                   IsAbandoned](const CallerOutcome &Outcome) {
                    if (IsAbandoned && !isOk(Outcome)) {
                      {
                        const std::scoped_lock Lock(m_Mutex);
                        ++m_Stats.m_Abandoned;
                      }
                      if (!retry(CurrentQuery, Duration{0}))
                        finishAttempt(CurrentQuery);
                      return;
                    }
                    runAfter(fromMillis(m_Plan.m_CallerDelayMs),
                             [this, CurrentQuery, Request, SentAt, Outcome] {
                               handleOutcome(CurrentQuery, Request, SentAt,
                                             Outcome);
                             });
                  });
}

bool LoadWorker::retry(const QueryPtr &CurrentQuery, Duration Delay) {
  if (!CurrentQuery->m_Mix->m_Booking ||
      CurrentQuery->m_Attempts > m_Plan.m_MaxRetries)
    return false;
  {
    const std::scoped_lock Lock(m_Mutex);
    ++m_Stats.m_Retried;
  }
  runAfter(Delay, [this, CurrentQuery] { startAttempt(CurrentQuery); });
  return true;
}

void LoadWorker::finishAttempt(const QueryPtr &CurrentQuery) {
  if (--CurrentQuery->m_OpenAttempts == 0)
    --m_InFlight;
}

void LoadWorker::handleOutcome(const QueryPtr &CurrentQuery,
                               const Attempt &Request, TimePoint SentAt,
                               const CallerOutcome &Outcome) {
  if (!isOk(Outcome)) {
    {
      const std::scoped_lock Lock(m_Mutex);
      m_Stats.record(errorOf(Outcome));
    }
    if (!retry(CurrentQuery, RetryDelay))
      finishAttempt(CurrentQuery);
    return;
  }
  const Duration Elapsed = steadyNow() - SentAt;
  const RequestExpectation Expected{
      CurrentQuery->m_Mix->m_Service,
      CurrentQuery->m_RequestIds,
      CurrentQuery->m_Body,
      m_Plan.m_Snapshot,
      m_Plan.m_MinCoverage,
      std::chrono::milliseconds(Request.m_DeadlineMs)};
  const CallerResponse &Response = valueOf(Outcome);
  const ResponseCheck Check =
      checkResponse(Expected, Response.m_Status, Response.m_Body, Elapsed);
  {
    const std::scoped_lock Lock(m_Mutex);
    m_Stats.record(Check, Elapsed, Expected.m_Deadline);
  }
  recordResult(CurrentQuery, Request, Check);
}

void LoadWorker::recordResult(const QueryPtr &CurrentQuery,
                              const Attempt &Request,
                              const ResponseCheck &Check) {
  const bool InTime = !Check.m_Faults.contains(ResponseFault::Late);
  bool ShouldRetry = false;
  {
    const std::scoped_lock Lock(m_Mutex);
    if (Check.m_Answered) {
      // A booking that was sent twice is answered twice but counted once.
      if (InTime && !std::exchange(CurrentQuery->m_Answered, true)) {
        const Duration Latency = steadyNow() - CurrentQuery->m_IntendedStart;
        m_Stats.recordAnswered(Check.m_Coverage, Latency);
        m_IntervalLatency.add(Latency);
        m_Stats.m_Booked += CurrentQuery->m_Mix->m_Booking ? 1 : 0;
      }
      if (CurrentQuery->m_Mix->m_Booking)
        m_Stats.m_Ledger.m_BookedKeys.insert(Request.m_Key);
    } else {
      ++m_Stats.m_Refused;
      if (Check.m_NotExecuted == true)
        m_Stats.m_Ledger.m_NotExecuted.insert(Request.m_RequestId);
      ShouldRetry =
          Check.m_NotExecuted == true || Check.m_Error == "key_in_progress";
    }
  }
  const Duration Delay =
      Check.m_Error == "key_in_progress" ? KeyInProgressDelay : RetryDelay;
  if (!ShouldRetry || !retry(CurrentQuery, Delay))
    finishAttempt(CurrentQuery);
}

} // namespace ragwortdrift::tools
