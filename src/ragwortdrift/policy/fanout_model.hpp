#ifndef RAGWORTDRIFT_POLICY_FANOUT_MODEL_HPP
#define RAGWORTDRIFT_POLICY_FANOUT_MODEL_HPP

#include "policy_fixture.hpp"
#include "ragwortdrift/policy/hedge.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace ragwortdrift {

/// Configuration of a simulated service with 3 replicas per group, 2 slots per
/// replica and a queue. 1% of the leaf requests take 20 times as long as the
/// others.
struct FanoutCase {
  std::uint32_t m_Groups;
  double m_QueriesPerSecond;
  /// Latency factor of the slow replica: the first replica of the first group
  /// or, with m_SlowInEachGroup, of every group.
  double m_SlowFactor;
  bool m_SlowInEachGroup;
  unsigned m_Seed;
};

/// Replica selection: a random replica without hedges, ReplicaChooser, or
/// ReplicaChooser with hedges.
enum class FanoutPolicy { Random, Chooser, ChooserAndHedges };

struct FanoutResult {
  double m_P50 = 0, m_P99 = 0; // ms
  long m_FirstRequests = 0, m_ExtraRequests = 0;
};

/// Discrete-event simulation of fan-out queries. Queries arrive for 40 s of
/// virtual time; those that start after the first 10 s are measured. A query
/// ends when all groups have answered or at its deadline of 240 ms.
class FanoutModel {
public:
  FanoutModel(const FanoutCase &Case, FanoutPolicy Policy)
      : m_Case(Case), m_Policy(Policy), m_Service(makeService(Case.m_Groups)),
        m_Chooser(makeChooser(m_Service, Case.m_Seed, "d0")),
        m_Random(Case.m_Seed + 1000), m_Leafs(m_Service->m_Leafs.size()) {}

  FanoutResult run() {
    schedule(Duration{0}, [this] { onArrival(); });
    while (!m_Events.empty()) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_Time;
      Next.m_Action();
    }
    std::sort(m_Latencies.begin(), m_Latencies.end());
    const auto Quantile = [&](double Q) {
      return m_Latencies[static_cast<std::size_t>(
          Q * static_cast<double>(m_Latencies.size() - 1))];
    };
    m_Result.m_P50 = Quantile(0.5);
    m_Result.m_P99 = Quantile(0.99);
    return m_Result;
  }

private:
  static constexpr Duration Deadline = std::chrono::milliseconds(240);
  static constexpr Duration MedianLatency = std::chrono::milliseconds(5);
  static constexpr TimePoint MeasuredFrom{std::chrono::seconds(10)};
  static constexpr TimePoint End{std::chrono::seconds(40)};

  struct Event {
    TimePoint m_Time;
    long m_Sequence;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::tie(m_Time, m_Sequence) >
             std::tie(Other.m_Time, Other.m_Sequence);
    }
  };
  struct Request {
    std::size_t m_Query;
    GroupIndex m_Group;
    LeafIndex m_Leaf;
    TimePoint m_Sent;
    bool m_Hedge;
    bool m_Started = false, m_Ended = false;
  };
  struct Query {
    TimePoint m_Start;
    std::uint32_t m_PendingGroups;
    std::vector<std::vector<std::size_t>> m_Requests;
    std::vector<bool> m_Answered;
  };
  struct LeafSlots {
    int m_BusySlots = 0;
    std::deque<std::size_t> m_Queue;
  };

  void schedule(Duration Delay, std::function<void()> Action) {
    m_Events.push({m_Now + Delay, m_Sequence++, std::move(Action)});
  }
  Duration drawLatency(LeafIndex Leaf) {
    double Micros = static_cast<double>(MedianLatency.count()) *
                    std::lognormal_distribution<>(0, 0.3)(m_Random);
    if (m_Random() % 100 == 0)
      Micros *= 20;
    if (Leaf == 0 || (m_Case.m_SlowInEachGroup && Leaf % 3 == 0))
      Micros *= m_Case.m_SlowFactor;
    return Duration{static_cast<std::int64_t>(Micros)};
  }

  void onArrival() {
    if (m_Now >= End)
      return;
    const std::size_t QueryIndex = m_Queries.size();
    const auto Groups = m_Case.m_Groups;
    m_Queries.push_back({m_Now, Groups,
                         std::vector<std::vector<std::size_t>>(Groups),
                         std::vector<bool>(Groups)});
    for (GroupIndex Group = 0; Group < Groups; ++Group) {
      ReplicaChoice Choice{m_Service->m_Groups[Group].m_Leafs[m_Random() % 3]};
      if (m_Policy != FanoutPolicy::Random)
        Choice = *m_Chooser.choose(m_Now, Group);
      ++m_Result.m_FirstRequests;
      m_Budget.onFirstRequest();
      send(QueryIndex, Group, Choice.m_Leaf, false);
      if (m_Policy == FanoutPolicy::ChooserAndHedges)
        if (const auto Delay = m_Hedging.delay(m_Now, m_Budget, Choice.m_Kind))
          schedule(*Delay,
                   [this, QueryIndex, Group] { sendHedge(QueryIndex, Group); });
    }
    schedule(Deadline, [this, QueryIndex] { onDeadline(QueryIndex); });
    schedule(Duration{static_cast<std::int64_t>(
                 1e6 * std::exponential_distribution<>(
                           m_Case.m_QueriesPerSecond)(m_Random))},
             [this] { onArrival(); });
  }
  void sendHedge(std::size_t QueryIndex, GroupIndex Group) {
    const auto &Q = m_Queries[QueryIndex];
    if (Q.m_PendingGroups == 0 || Q.m_Answered[Group])
      return;
    const LeafIndex FirstLeaf = m_Requests[Q.m_Requests[Group].front()].m_Leaf;
    const auto Choice =
        m_Chooser.choose(m_Now, Group, {std::span(&FirstLeaf, 1), FirstLeaf});
    if (!Choice || !m_Budget.tryAcquire())
      return;
    ++m_Result.m_ExtraRequests;
    send(QueryIndex, Group, Choice->m_Leaf, true);
  }
  void send(std::size_t QueryIndex, GroupIndex Group, LeafIndex Leaf,
            bool Hedge) {
    const std::size_t RequestIndex = m_Requests.size();
    m_Requests.push_back({QueryIndex, Group, Leaf, m_Now, Hedge});
    m_Queries[QueryIndex].m_Requests[Group].push_back(RequestIndex);
    m_Chooser.onSent(Leaf);
    m_Leafs[Leaf].m_Queue.push_back(RequestIndex);
    startNext(Leaf);
  }
  void startNext(LeafIndex Leaf) {
    auto &L = m_Leafs[Leaf];
    while (L.m_BusySlots < 2 && !L.m_Queue.empty()) {
      const std::size_t RequestIndex = L.m_Queue.front();
      L.m_Queue.pop_front();
      if (m_Requests[RequestIndex].m_Ended)
        continue;
      m_Requests[RequestIndex].m_Started = true;
      ++L.m_BusySlots;
      schedule(drawLatency(Leaf),
               [this, RequestIndex] { onResponse(RequestIndex); });
    }
  }
  /// Ends a request, frees its slot and reports its latency or, if it was not
  /// answered, the time until it was cancelled.
  void finishRequest(std::size_t RequestIndex, bool HasResponse) {
    auto &ClosedRequest = m_Requests[RequestIndex];
    if (std::exchange(ClosedRequest.m_Ended, true))
      return;
    const Duration WaitTime = m_Now - ClosedRequest.m_Sent;
    if (HasResponse)
      m_Chooser.onResponse(m_Now, ClosedRequest.m_Leaf, WaitTime);
    else
      m_Chooser.onCancelled(m_Now, ClosedRequest.m_Leaf, WaitTime);
    if (!ClosedRequest.m_Hedge)
      m_Hedging.onLatency(m_Now, WaitTime);
    if (ClosedRequest.m_Started) {
      --m_Leafs[ClosedRequest.m_Leaf].m_BusySlots;
      startNext(ClosedRequest.m_Leaf);
    }
  }
  void onResponse(std::size_t RequestIndex) {
    if (m_Requests[RequestIndex].m_Ended)
      return;
    finishRequest(RequestIndex, true);
    auto &Q = m_Queries[m_Requests[RequestIndex].m_Query];
    const GroupIndex Group = m_Requests[RequestIndex].m_Group;
    if (Q.m_Answered[Group])
      return;
    Q.m_Answered[Group] = true;
    for (const std::size_t Other : Q.m_Requests[Group])
      finishRequest(Other, false);
    if (--Q.m_PendingGroups == 0 && Q.m_Start >= MeasuredFrom)
      m_Latencies.push_back(toMillis(m_Now - Q.m_Start));
  }
  void onDeadline(std::size_t QueryIndex) {
    auto &Q = m_Queries[QueryIndex];
    if (std::exchange(Q.m_PendingGroups, 0) == 0)
      return;
    if (Q.m_Start >= MeasuredFrom)
      m_Latencies.push_back(toMillis(Deadline));
    for (GroupIndex Group = 0; Group < m_Case.m_Groups; ++Group) {
      Q.m_Answered[Group] = true;
      for (const std::size_t RequestIndex : Q.m_Requests[Group])
        finishRequest(RequestIndex, false);
    }
  }

  FanoutCase m_Case;
  FanoutPolicy m_Policy;
  std::shared_ptr<Service> m_Service;
  ReplicaChooser m_Chooser;
  HedgeBudget m_Budget{0.05};
  HedgePolicy m_Hedging;
  std::mt19937_64 m_Random;
  std::vector<LeafSlots> m_Leafs;
  std::deque<Request> m_Requests;
  std::deque<Query> m_Queries;
  std::priority_queue<Event> m_Events;
  long m_Sequence = 0;
  TimePoint m_Now;
  std::vector<double> m_Latencies;
  FanoutResult m_Result;
};

} // namespace ragwortdrift

#endif
