#ifndef RAGWORTDRIFT_TESTING_LIMITS_FUZZ_HPP
#define RAGWORTDRIFT_TESTING_LIMITS_FUZZ_HPP

#include "ragwortdrift/limits/token_allocator.hpp"
#include "ragwortdrift/limits/token_holder.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <random>

namespace ragwortdrift::testing {

using namespace std::chrono_literals;

enum class Faults {
  /// Only what a healthy fleet has: clocks that drift, holders that join, leave
  /// and restart, messages out of order, and a planned change of the allocator.
  None,
  /// Also messages lost, doubled and late, holders paused or cut off, and
  /// allocators lost, paused and cut off.
  All
};

constexpr Duration Window = 5s;
/// Time for which two allocators may both grant.
constexpr Duration Overlap = 250ms;
constexpr double Drift = 0.01;
/// Longest time that a message is under way.
constexpr Duration MaxDelay = 2s;
constexpr Duration RunTime = 40s;
/// Time for which a request waits for a token.
constexpr Duration MaxWait = 200ms;
constexpr Duration FlushInterval = 250ms;
/// First requests whose share is contributed to the repeats.
constexpr double ContributedShare = 0.2;

inline double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Holders and allocators in virtual time with random faults. Checks the stated
/// bounds over all windows and counts what is granted.
class LimitsFuzz {
public:
  LimitsFuzz(std::uint64_t Seed, Faults Profile)
      : m_Engine(Seed), m_Profile(Profile) {
    m_Quota.m_Version = m_Repeats.m_Version = 1;
    m_Quota.m_RatePerSecond = uniform(1, 100);
    m_Burst = m_Quota.m_RatePerSecond * uniform(0.5, 1);
    m_MaxBurst = m_Burst;
    m_Quota.m_Capacity = m_Burst + 4;
    m_Quota.m_InitialTokens = uniform(1, 4);
    m_Repeats.m_Capacity = uniform(1, 40);
    m_Repeats.m_InitialTokens = 1;
    m_Quota.m_LeaseTime = m_Repeats.m_LeaseTime = millis(200, 1500);
    if (Profile == Faults::All && chance(0.1))
      m_Quota = {1, 0.1, 1, 1, 1s};
    m_FirstQuota = m_Quota;
    m_Holders.resize(chance(0.3) ? 79 : 1 + pick(12));
    for (Holder &Item : m_Holders)
      restart(Item);
  }

  void run() {
    m_CallerTokens = m_Burst;
    // The allocator is in office for a while already.
    electAllocator(60s);
    plan(m_Now + FlushInterval, [this] { flushAll(); });
    planRequest();
    if (m_Profile == Faults::All) {
      plan(m_Now + millis(0, 2000), [this] { fail(); });
      plan(m_Now + millis(0, 6000), [this] { hoardRepeatedly(); });
    }
    plan(m_Now + millis(0, 5000), [this] { churn(); });
    // An allocator is replaced in a healthy fleet as well.
    if (m_Profile == Faults::None && chance(0.2))
      plan(m_Now + 20s, [this] { electAllocator(); });
    if (chance(0.3))
      plan(m_Now + 15s, [this] { lowerQuota(); });
    while (!m_Events.empty() && m_Events.begin()->first < End) {
      const auto Next = m_Events.extract(m_Events.begin());
      m_Now = Next.key();
      Next.mapped()();
    }
  }

  /// Returns what breaks a bound, empty if nothing does.
  std::string violation() const {
    const double QuotaSpent = worst(m_QuotaSpent, m_FirstQuota, nullptr, Begin);
    if (QuotaSpent > 0)
      return "quota exceeded by " + std::to_string(QuotaSpent);
    const double RepeatsSpent =
        worst(m_RepeatsSpent, m_Repeats, &m_Contributions, Begin);
    if (RepeatsSpent > 0)
      return "repeats exceeded by " + std::to_string(RepeatsSpent);
    if (!m_LoweredAt)
      return {};
    // Messages and leases under the former terms have ended.
    const double LoweredSpent =
        worst(m_QuotaSpent, m_Quota, nullptr,
              *m_LoweredAt + MaxDelay + stretched(m_Quota.m_LeaseTime));
    return LoweredSpent > 0
               ? "lowered quota exceeded by " + std::to_string(LoweredSpent)
               : std::string();
  }
  /// True if at least 0.95 of the requests within the rate of the account were
  /// granted. A new allocator starts almost empty, which may cost a burst.
  bool grantsEnough() const {
    const double BurstsLost = static_cast<double>(m_Changes.size() - 1);
    return static_cast<double>(m_Granted) >=
           0.95 * static_cast<double>(m_Asked) - BurstsLost * m_MaxBurst;
  }
  std::uint64_t asked() const { return m_Asked; }
  std::uint64_t granted() const { return m_Granted; }

private:
  struct Holder {
    TokenHolder m_Tokens;
    std::string m_Name;
    double m_ClockRate = 1;
    bool m_IsRunning = true;
    bool m_IsCutOff = false;
    TimePoint m_PausedUntil;
    /// Requests that wait for a token, by the time at which they give up.
    std::deque<TimePoint> m_Waiting;
  };
  struct Allocator {
    TokenAllocator m_Tokens;
    double m_ClockRate = 1;
    /// End of its authority, unknown while it leads.
    std::optional<TimePoint> m_EndsAt;
    TimePoint m_PausedUntil;
    bool m_IsLost = false;
  };
  struct Contribution {
    TimePoint m_At;
    double m_Tokens = 0;
  };

  static constexpr TimePoint Begin{1000s};
  static constexpr TimePoint End{1000s + RunTime};

  double uniform(double Min, double Max) {
    return std::uniform_real_distribution<double>(Min, Max)(m_Engine);
  }
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(m_Engine);
  }
  bool chance(double Probability) { return uniform(0, 1) < Probability; }
  Duration millis(double Min, double Max) {
    return Duration(static_cast<Duration::rep>(1000 * uniform(Min, Max)));
  }
  static Duration stretched(Duration Time) {
    return Time + Duration(static_cast<Duration::rep>(
                      2 * Drift * static_cast<double>(Time.count())));
  }
  void plan(TimePoint At, std::function<void()> Action) {
    m_Events.emplace(At, std::move(Action));
  }
  /// Time of a VM's clock.
  TimePoint local(double ClockRate) const {
    return TimePoint{Duration(static_cast<Duration::rep>(
        ClockRate * static_cast<double>(m_Now.m_SinceStart.count())))};
  }
  TimePoint local(const Holder &Item) const { return local(Item.m_ClockRate); }
  double clockRate() { return uniform(1 - Drift, 1 + Drift); }
  bool isResponsive(const Holder &Item) const {
    return Item.m_IsRunning && Item.m_PausedUntil <= m_Now;
  }

  /// A holder that restarts holds nothing, and has another name.
  void restart(Holder &Item) {
    m_Asked -= Item.m_Waiting.size();
    Item = {};
    Item.m_Name = "holder-" + std::to_string(m_NextLife++);
    Item.m_ClockRate = clockRate();
  }

  // Messages.
  /// Delivers a message to a VM, unless it is lost.
  void deliver(const std::function<void()> &Action) {
    if (m_Profile == Faults::All && chance(0.05))
      return;
    Duration Delay = millis(0.2, 10);
    if (m_Profile == Faults::All && chance(0.03))
      Delay = millis(10, toMillis(MaxDelay));
    plan(m_Now + Delay, Action);
    if (m_Profile == Faults::All && chance(0.05))
      plan(m_Now + millis(0.2, toMillis(MaxDelay)), Action);
  }
  void flush(std::size_t Index) {
    Holder &Sender = m_Holders[Index];
    if (!isResponsive(Sender))
      return;
    const auto Request = Sender.m_Tokens.takeRequest(local(Sender));
    // A holder may not have heard of the latest allocator.
    const std::size_t Target = m_Profile == Faults::All && chance(0.1)
                                   ? pick(m_Allocators.size())
                                   : m_Allocators.size() - 1;
    if (!Request || Sender.m_IsCutOff)
      return;
    deliver([this, Index, Target, Name = Sender.m_Name, Request = *Request] {
      onRequest(Index, Target, Name, Request);
    });
  }
  void onRequest(std::size_t Index, std::size_t Target, const std::string &Name,
                 const LimitRequest &Request) {
    Allocator &Receiver = m_Allocators[Target];
    if (Receiver.m_PausedUntil > m_Now) {
      plan(Receiver.m_PausedUntil, [this, Index, Target, Name, Request] {
        onRequest(Index, Target, Name, Request);
      });
      return;
    }
    if (Receiver.m_IsLost || (Receiver.m_EndsAt && *Receiver.m_EndsAt < m_Now))
      return;
    const LimitReply Reply =
        Receiver.m_Tokens.allocate(local(Receiver.m_ClockRate), Name, Request);
    if (chance(0.01))
      Receiver.m_Tokens.evictIdle(local(Receiver.m_ClockRate));
    deliver([this, Index, Name, Reply] { onReply(Index, Name, Reply); });
  }
  void onReply(std::size_t Index, const std::string &Name,
               const LimitReply &Reply) {
    Holder &Receiver = m_Holders[Index];
    if (Receiver.m_Name != Name || Receiver.m_IsCutOff)
      return;
    if (!isResponsive(Receiver)) {
      if (Receiver.m_IsRunning)
        plan(Receiver.m_PausedUntil,
             [this, Index, Name, Reply] { onReply(Index, Name, Reply); });
      return;
    }
    std::uint32_t Denied = 0;
    for (const auto &Denial : Receiver.m_Tokens.onReply(Reply))
      if (Denial.m_Id == m_QuotaId)
        Denied += Denial.m_Count;
    while (!Receiver.m_Waiting.empty() && trySpend(Receiver))
      Receiver.m_Waiting.pop_front();
    while (Denied-- > 0 && !Receiver.m_Waiting.empty())
      Receiver.m_Waiting.pop_front();
    spendRepeats(Receiver);
  }
  void flushAll() {
    for (std::size_t I = 0; I < m_Holders.size(); ++I) {
      giveUp(m_Holders[I]);
      flush(I);
    }
    plan(m_Now + FlushInterval, [this] { flushAll(); });
  }

  // Requests.
  bool trySpend(Holder &Item) {
    if (!Item.m_Tokens.tryTake(local(Item), m_QuotaId, m_Quota))
      return false;
    // A request that is refused for another reason returns its token.
    if (chance(0.05)) {
      Item.m_Tokens.giveBack(local(Item), m_QuotaId);
      ++m_Granted;
      return true;
    }
    m_QuotaSpent.push_back(m_Now);
    ++m_Granted;
    return true;
  }
  bool spendRepeats(Holder &Item) {
    if (!Item.m_Tokens.tryTake(local(Item), m_RepeatsId, m_Repeats))
      return false;
    m_RepeatsSpent.push_back(m_Now);
    return true;
  }
  void giveUp(Holder &Item) {
    if (!isResponsive(Item))
      return;
    while (!Item.m_Waiting.empty() && Item.m_Waiting.front() <= m_Now) {
      Item.m_Waiting.pop_front();
      Item.m_Tokens.cancelNeed(m_QuotaId);
    }
  }
  /// All holders ask for what they can get and spend it late, which comes close
  /// to the bounds.
  void hoard() {
    for (std::size_t I = 0; I < m_Holders.size(); ++I) {
      Holder &Item = m_Holders[I];
      if (!isResponsive(Item))
        continue;
      const std::size_t Count =
          1 + pick(static_cast<std::size_t>(2 * m_Quota.m_Capacity));
      for (std::size_t N = 0; N < Count; ++N) {
        Item.m_Tokens.need(local(Item), m_QuotaId, m_Quota);
        Item.m_Tokens.need(local(Item), m_RepeatsId, m_Repeats);
      }
      flush(I);
      for (std::size_t N = 0; N < Count; ++N) {
        Item.m_Tokens.cancelNeed(m_QuotaId);
        Item.m_Tokens.cancelNeed(m_RepeatsId);
      }
      const double Lease = toMillis(m_Quota.m_LeaseTime);
      plan(m_Now + millis(0.5 * Lease, 2 * Lease), [this, I] {
        Holder &Spender = m_Holders[I];
        while (isResponsive(Spender) && trySpend(Spender)) {
        }
        while (isResponsive(Spender) && spendRepeats(Spender)) {
        }
      });
    }
  }
  void hoardRepeatedly() {
    hoard();
    plan(m_Now + millis(0, 8000), [this] { hoardRepeatedly(); });
  }
  /// Callers stay within the rate and burst of the account in a run without
  /// faults. Else they exceed them much of the time.
  void planRequest() {
    const double Rate = m_Quota.m_RatePerSecond;
    Duration Pause = millis(0, 2000 / (Rate * m_Load));
    // Buckets fill up, so that a bound is reached when requests return.
    if (m_Profile == Faults::All && m_Now > m_BusyUntil) {
      Pause += millis(0, 4000);
      m_BusyUntil = m_Now + Pause + millis(1000, 10000);
    }
    plan(m_Now + Pause, [this, Pause, Rate] {
      m_CallerTokens =
          std::min(m_CallerTokens + Rate * toSeconds(Pause), m_Burst);
      std::size_t Count = chance(0.02) ? 1 + pick(100) : 1;
      if (m_Profile == Faults::All)
        Count *= 1 + pick(10);
      else
        Count = std::min(Count, static_cast<std::size_t>(m_CallerTokens));
      // Callers reach few VMs at a time.
      const std::size_t First =
          chance(m_Concentration) ? 0 : pick(m_Holders.size());
      for (std::size_t I = 0; I < Count; ++I) {
        m_CallerTokens -= 1;
        request((First + I % 3) % m_Holders.size());
      }
      planRequest();
    });
  }
  void request(std::size_t Index) {
    Holder &Item = m_Holders[Index];
    if (!Item.m_IsRunning || Item.m_PausedUntil > m_Now)
      return;
    ++m_Asked;
    giveUp(Item);
    Item.m_Tokens.contribute(m_RepeatsId, m_Repeats, ContributedShare);
    m_Contributions.push_back({m_Now, ContributedShare});
    if (chance(0.3))
      Item.m_Tokens.need(local(Item), m_RepeatsId, m_Repeats);
    if (!trySpend(Item)) {
      Item.m_Tokens.need(local(Item), m_QuotaId, m_Quota);
      Item.m_Waiting.push_back(m_Now + MaxWait);
    }
    if (Item.m_Tokens.isUrgent())
      flush(Index);
  }

  // Changes and faults.
  void electAllocator(Duration InOffice = Duration{0}) {
    for (Allocator &Former : m_Allocators)
      if (!Former.m_EndsAt)
        Former.m_EndsAt =
            m_Now + (m_Profile == Faults::All ? millis(-250, toMillis(Overlap))
                                              : Duration{0});
    const double ClockRate = clockRate();
    m_Allocators.push_back(
        {TokenAllocator(local(ClockRate) - InOffice), ClockRate});
    m_Changes.push_back(m_Now);
  }
  void churn() {
    Holder &Item = m_Holders[pick(m_Holders.size())];
    if (!Item.m_IsRunning || chance(0.5))
      restart(Item);
    else {
      restart(Item);
      Item.m_IsRunning = false;
    }
    plan(m_Now + millis(0, 10000), [this] { churn(); });
  }
  void fail() {
    Holder &Item = m_Holders[pick(m_Holders.size())];
    Allocator &Leader = m_Allocators.back();
    switch (pick(6)) {
    case 0:
      Item.m_PausedUntil = m_Now + millis(0, 4000);
      break;
    case 1:
      Item.m_IsCutOff = !Item.m_IsCutOff;
      break;
    case 2:
      Leader.m_IsLost = true;
      plan(m_Now + millis(300, 900), [this] { electAllocator(); });
      break;
    case 3:
      // Paused with requests queued; back before or after its authority ends.
      Leader.m_PausedUntil = m_Now + millis(50, 3000);
      plan(m_Now + millis(300, 900), [this] { electAllocator(); });
      break;
    case 4:
      if (chance(0.5))
        hoard();
      plan(m_Now + millis(0, 100), [this] { electAllocator(); });
      if (chance(0.5))
        plan(m_Now + millis(100, 800), [this] { hoard(); });
      break;
    case 5:
      for (Holder &Member : m_Holders)
        if (chance(0.2))
          Member.m_PausedUntil = m_Now + millis(0, 2500);
      break;
    }
    plan(m_Now + millis(200, 6000), [this] { fail(); });
  }
  /// The holders learn of the lower terms at once here; what is under way
  /// states the former ones.
  void lowerQuota() {
    m_Quota = {2, m_FirstQuota.m_RatePerSecond / 2, m_FirstQuota.m_Capacity / 2,
               1, m_FirstQuota.m_LeaseTime};
    m_LoweredAt = m_Now;
    m_Burst /= 2;
    m_CallerTokens = std::min(m_CallerTokens, 0.0);
  }

  /// Returns by how much the tokens spent in any window that begins after a
  /// time exceed the bound; not above 0 if they never do.
  double worst(const std::vector<TimePoint> &Spent, const LimitTerms &Terms,
               const std::vector<Contribution> *Contributions,
               TimePoint After) const {
    const Duration Lease = stretched(Terms.m_LeaseTime);
    double Worst = -1e9;
    for (std::size_t First = 0, Last = 0; First < Spent.size(); ++First) {
      if (Spent[First] < After)
        continue;
      Last = std::max(Last, First);
      while (Last < Spent.size() && Spent[Last] - Spent[First] < Window)
        ++Last;
      const TimePoint From = Spent[First] - Lease;
      const TimePoint To = Spent[First] + Window;
      const auto Changes = static_cast<double>(
          std::count_if(m_Changes.begin(), m_Changes.end(), [&](TimePoint At) {
            return At >= From - Overlap && At <= To;
          }));
      double Bound =
          Terms.m_Capacity + Terms.m_InitialTokens * Changes +
          Terms.m_RatePerSecond * (1 + Drift) *
              toSeconds(To - From +
                        Duration(Overlap.count() * static_cast<int>(Changes)));
      // Contributions are sent once a second at the latest, and may be late.
      if (Contributions)
        for (const Contribution &Item : *Contributions)
          if (Item.m_At >= From - 1500ms - MaxDelay && Item.m_At <= To)
            Bound += Item.m_Tokens;
      Worst = std::max(Worst, static_cast<double>(Last - First) - Bound - 1e-6);
    }
    return Worst;
  }

  std::mt19937_64 m_Engine;
  Faults m_Profile;
  const LimitId m_QuotaId{LimitKind::AccountQuota, "account"};
  const LimitId m_RepeatsId{LimitKind::Repeats, "service"};
  LimitTerms m_FirstQuota, m_Quota, m_Repeats;
  double m_Burst = 0, m_MaxBurst = 0;
  double m_CallerTokens = 0;
  TimePoint m_BusyUntil = Begin;
  /// Usual load of the account relative to its rate.
  double m_Load = uniform(0.2, 1);
  /// Share of the requests that reach one of few VMs.
  double m_Concentration = uniform(0, 1);
  TimePoint m_Now = Begin;
  std::multimap<TimePoint, std::function<void()>> m_Events;
  std::vector<Holder> m_Holders;
  std::deque<Allocator> m_Allocators;
  std::uint64_t m_NextLife = 0;
  std::vector<TimePoint> m_Changes, m_QuotaSpent, m_RepeatsSpent;
  std::vector<Contribution> m_Contributions;
  std::optional<TimePoint> m_LoweredAt;
  std::uint64_t m_Asked = 0, m_Granted = 0;
};

} // namespace ragwortdrift::testing

#endif
