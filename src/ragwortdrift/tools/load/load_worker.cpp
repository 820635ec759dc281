#include "ragwortdrift/tools/load/load_worker.hpp"

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/tools/common/clock.hpp"

namespace ragwortdrift::tools {

namespace {

using namespace std::chrono_literals;

/// How long after its deadline an answer is still awaited, to count it as late.
constexpr Duration LateGrace = 1s;
constexpr Duration ResendDelay = 50ms;
constexpr Duration InProgressDelay = 100ms;
/// A caller that abandons its booking closes the connection within this time,
/// so that leafs are hit before, during and after their work.
constexpr double AbandonMaxMs = 30;

} // namespace

/// One query of a caller with all its attempts.
struct LoadWorker::Query {
  const MixEntry *m_Mix = nullptr;
  std::string m_Id;
  std::string m_Body;
  UnixMillis m_IssuedAt{0};
  TimePoint m_Intended;
  std::uint64_t m_DeadlineMs = 240;
  std::set<std::string, std::less<>> m_RequestIds;
  unsigned m_Attempts = 0;
  unsigned m_Open = 0;
  bool m_Answered = false;
};

LoadWorker::LoadWorker(const LoadPlan &Plan, unsigned Index)
    : m_Plan(Plan), m_Index(Index), m_ArrivalTimer(m_Io), m_EndTimer(m_Io),
      m_Random(Plan.m_Seed * 1000 + Index),
      m_CallerRandom(Plan.m_Seed * 1000 + Index + 500),
      m_Gap(Plan.m_Rate / Plan.m_Threads) {
  if (Plan.m_Plain)
    m_Backend = std::make_unique<PlainBackend>(m_Io, Plan, m_CallerRandom());
  else
    m_Backend = std::make_unique<EntryBackend>(m_Io, Plan);
  std::vector<double> Weights;
  for (const MixEntry &Entry : Plan.m_Mix)
    Weights.push_back(Entry.m_Weight);
  m_ChooseMix = {Weights.begin(), Weights.end()};
}

LoadStats LoadWorker::stats() const {
  const std::scoped_lock Lock(m_Mutex);
  return m_Stats;
}

Histogram LoadWorker::takeInterval() {
  const std::scoped_lock Lock(m_Mutex);
  return std::exchange(m_Interval, Histogram());
}

void LoadWorker::run() {
  m_NextArrival = steadyNow();
  m_EndOfArrivals = m_NextArrival + fromMillis(m_Plan.m_Seconds * 1000);
  scheduleArrival();
  m_Io.run();
}

void LoadWorker::later(Duration Delay, std::function<void()> Work) {
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
  m_NextArrival = m_NextArrival + fromMillis(m_Gap(m_Random) * 1000);
  if (m_NextArrival >= m_EndOfArrivals)
    return waitForEnd();
  m_ArrivalTimer.expires_after(m_NextArrival - steadyNow());
  m_ArrivalTimer.async_wait([this](boost::system::error_code Code) {
    if (Code)
      return;
    arrive(m_NextArrival);
    scheduleArrival();
  });
}

void LoadWorker::waitForEnd() {
  if (m_InFlight == 0 && steadyNow() >= m_EndOfArrivals) {
    m_Backend->stop();
    m_Io.stop();
    return;
  }
  m_EndTimer.expires_after(10ms);
  m_EndTimer.async_wait([this](boost::system::error_code Code) {
    if (!Code)
      waitForEnd();
  });
}

void LoadWorker::arrive(TimePoint Intended) {
  auto Asked = std::make_shared<Query>();
  Asked->m_Mix = &m_Plan.m_Mix[m_ChooseMix(m_Random)];
  Asked->m_Id = m_Plan.m_IdPrefix + "-" + std::to_string(m_Index) + "-" +
                std::to_string(m_Sequence++);
  Asked->m_Body = Asked->m_Id + " ";
  while (Asked->m_Body.size() < m_Plan.m_BodyBytes)
    Asked->m_Body.push_back(static_cast<char>('a' + m_Random() % 26));
  Asked->m_IssuedAt = wallClockNow();
  Asked->m_Intended = Intended;
  Asked->m_DeadlineMs = m_Plan.m_DeadlineMs
                            ? m_Plan.m_DeadlineMs
                            : Asked->m_Mix->m_Service->m_DeadlineMs;
  ++m_InFlight;
  {
    const std::scoped_lock Lock(m_Mutex);
    ++m_Stats.m_Queries;
    m_Stats.m_GroupsAsked += Asked->m_Mix->m_Service->m_Groups.size();
    m_Stats.m_Bookings += Asked->m_Mix->m_Booking ? 1 : 0;
  }
  const bool Doubles =
      Asked->m_Mix->m_Booking && roll(m_Plan.m_DoubleSendFraction);
  Asked->m_Open = Doubles ? 2 : 1;
  startAttempt(Asked);
  if (Doubles)
    startAttempt(Asked);
}

void LoadWorker::startAttempt(const QueryPtr &Asked) {
  const bool Booking = Asked->m_Mix->m_Booking;
  Attempt Request{Asked->m_Mix,  Asked->m_Id,       "",
                  Asked->m_Body, Asked->m_IssuedAt, Asked->m_DeadlineMs};
  ++Asked->m_Attempts;
  if (Booking) {
    Request.m_Key = Asked->m_Id;
    Request.m_RequestId += "-a" + std::to_string(Asked->m_Attempts);
  }
  Asked->m_RequestIds.insert(Request.m_RequestId);
  const bool Abandons = Booking && roll(m_Plan.m_AbandonFraction);
  const TimePoint SentAt = steadyNow();
  later(fromMillis(m_Plan.m_CallerDelayMs),
        [this, Asked, Request = std::move(Request), SentAt, Abandons] {
          send(Asked, Request, SentAt, Abandons);
        });
}

void LoadWorker::send(const QueryPtr &Asked, const Attempt &Request,
                      TimePoint SentAt, bool Abandons) {
  Duration Timeout =
      std::chrono::milliseconds(Request.m_DeadlineMs) + LateGrace;
  if (Abandons)
    Timeout = fromMillis(std::uniform_real_distribution<double>(
        0, AbandonMaxMs)(m_CallerRandom));
  m_Backend->send(
      Request, Timeout,
      [this, Asked, Request, SentAt, Abandons](const CallerOutcome &Outcome) {
        if (Abandons && !isOk(Outcome)) {
          {
            const std::scoped_lock Lock(m_Mutex);
            ++m_Stats.m_Abandoned;
          }
          if (!resend(Asked, Duration{0}))
            attemptDone(Asked);
          return;
        }
        later(fromMillis(m_Plan.m_CallerDelayMs),
              [this, Asked, Request, SentAt, Outcome] {
                endAttempt(Asked, Request, SentAt, Outcome);
              });
      });
}

bool LoadWorker::resend(const QueryPtr &Asked, Duration Delay) {
  if (!Asked->m_Mix->m_Booking || Asked->m_Attempts > m_Plan.m_Resends)
    return false;
  {
    const std::scoped_lock Lock(m_Mutex);
    ++m_Stats.m_Resent;
  }
  later(Delay, [this, Asked] { startAttempt(Asked); });
  return true;
}

void LoadWorker::attemptDone(const QueryPtr &Asked) {
  if (--Asked->m_Open == 0)
    --m_InFlight;
}

void LoadWorker::endAttempt(const QueryPtr &Asked, const Attempt &Request,
                            TimePoint SentAt, const CallerOutcome &Outcome) {
  if (!isOk(Outcome)) {
    {
      const std::scoped_lock Lock(m_Mutex);
      m_Stats.note(errorOf(Outcome));
    }
    if (!resend(Asked, ResendDelay))
      attemptDone(Asked);
    return;
  }
  const Duration Elapsed = steadyNow() - SentAt;
  const AskedFor Expected{
      Asked->m_Mix->m_Service, Asked->m_RequestIds,
      Asked->m_Body,           m_Plan.m_Snapshot,
      m_Plan.m_MinCoverage,    std::chrono::milliseconds(Request.m_DeadlineMs)};
  const CallerAnswer &Answer = valueOf(Outcome);
  const AnswerCheck Check =
      checkAnswer(Expected, Answer.m_Status, Answer.m_Body, Elapsed);
  {
    const std::scoped_lock Lock(m_Mutex);
    m_Stats.note(Check, Elapsed, Expected.m_Deadline);
  }
  conclude(Asked, Request, Check);
}

void LoadWorker::conclude(const QueryPtr &Asked, const Attempt &Request,
                          const AnswerCheck &Check) {
  const bool InTime = !Check.m_Faults.contains(Fault::Late);
  bool Resend = false;
  {
    const std::scoped_lock Lock(m_Mutex);
    if (Check.m_Answered) {
      // A booking that was sent twice is answered twice; it counts once.
      if (InTime && !std::exchange(Asked->m_Answered, true)) {
        const Duration Latency = steadyNow() - Asked->m_Intended;
        m_Stats.noteAnswered(Check.m_Coverage, Latency);
        m_Interval.add(Latency);
        m_Stats.m_Booked += Asked->m_Mix->m_Booking ? 1 : 0;
      }
      if (Asked->m_Mix->m_Booking)
        m_Stats.m_Ledger.m_BookedKeys.insert(Request.m_Key);
    } else {
      ++m_Stats.m_Refused;
      if (Check.m_NotRun == true)
        m_Stats.m_Ledger.m_NotRun.insert(Request.m_RequestId);
      Resend = Check.m_NotRun == true || Check.m_Error == "key_in_progress";
    }
  }
  const Duration Delay =
      Check.m_Error == "key_in_progress" ? InProgressDelay : ResendDelay;
  if (!Resend || !resend(Asked, Delay))
    attemptDone(Asked);
}

} // namespace ragwortdrift::tools
