#include "ragwortdrift/base/timer_service.hpp"

#include <utility>

namespace ragwortdrift {

TimerService::Subscription
TimerService::subscribe(Duration Delay, Duration Period, Callback Fn) {
  Subscription Result;
  Result.m_Callback = std::make_shared<Callback>(std::move(Fn));
  const auto It =
      m_Timers.emplace(now() + Delay, Entry{Result.m_Callback, Period});
  if (m_OnEarlierTimer && It == m_Timers.begin())
    m_OnEarlierTimer(It->first);
  return Result;
}

TimerService::Subscription TimerService::after(Duration Delay, Callback Fn) {
  return subscribe(Delay, Duration{0}, std::move(Fn));
}

TimerService::Subscription TimerService::every(Duration Period, Callback Fn) {
  return subscribe(Period, Period, std::move(Fn));
}

std::optional<TimePoint> TimerService::nextDue() {
  while (!m_Timers.empty() && m_Timers.begin()->second.m_Callback.expired())
    m_Timers.erase(m_Timers.begin());
  if (m_Timers.empty())
    return std::nullopt;
  return m_Timers.begin()->first;
}

void TimerService::advanceTo(TimePoint Target) {
  while (!m_Timers.empty() && m_Timers.begin()->first <= Target) {
    auto Node = m_Timers.extract(m_Timers.begin());
    std::shared_ptr<Callback> Fn = Node.mapped().m_Callback.lock();
    if (!Fn)
      continue;
    m_Now = std::max(m_Now, Node.key());
    if (Node.mapped().m_Period > Duration{0}) {
      Node.key() = Node.key() + Node.mapped().m_Period;
      m_Timers.insert(std::move(Node));
    }
    (*Fn)();
  }
  m_Now = std::max(m_Now, Target);
}

} // namespace ragwortdrift
