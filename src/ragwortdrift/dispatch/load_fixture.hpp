#ifndef RAGWORTDRIFT_DISPATCH_LOAD_FIXTURE_HPP
#define RAGWORTDRIFT_DISPATCH_LOAD_FIXTURE_HPP

#include "dispatch_fixture.hpp"
#include "ragwortdrift/limits/token_allocator.hpp"

#include <deque>
#include <random>

namespace ragwortdrift::testing {

/// A load in virtual time, and what disturbs it from FaultAt to FaultEnd.
struct LoadCase {
  const char *m_Name;
  double m_SearchesPerSecond = 80;
  /// Factor of the load during the fault.
  double m_Burst = 1;
  /// Half of the leafs, chosen at random, refuse this share of their requests.
  double m_RefusedShare = 0;
  /// Shards of which no leaf answers.
  int m_DarkShards = 0;
  /// Share of the leafs that are slow, and how many times.
  double m_SlowShare = 0;
  double m_SlowFactor = 1;
};

/// Responses that callers got to the searches that started during the fault.
struct LoadResult {
  int m_Searches = 0;
  int m_InTime = 0, m_Late = 0, m_Refused = 0, m_Failed = 0;
  int m_MissingParts = 0;
  int m_Repeats = 0;
  /// Sum of the times until a refusal or failure.
  double m_UnservedMillis = 0;

  double inTimeShare() const {
    return static_cast<double>(m_InTime) / std::max(m_Searches, 1);
  }
};

/// Entry VMs with one dispatcher each, and leafs with slots and queues that all
/// of them share: a search route over Shards shards of three leafs, of which
/// one shard may be missing, with an objective of 250 ms and a time-out of 800
/// ms. A request takes a leaf 20 ms in the mean.
class LoadFixture {
public:
  static constexpr int Vms = 20;
  static constexpr int Shards = 24;
  static constexpr int Slots = 4;
  static constexpr std::chrono::seconds FaultAt{12};
  static constexpr std::chrono::seconds FaultEnd{20};
  static constexpr std::chrono::milliseconds Objective{250};
  static constexpr std::chrono::milliseconds Timeout{800};
  /// Time after which a caller tries again.
  static constexpr std::chrono::milliseconds ReturnDelay{20};
  /// One-way delays to leafs and to the allocator.
  static constexpr std::chrono::milliseconds LeafDelay{2};
  static constexpr std::chrono::milliseconds AllocatorDelay{6};

  LoadFixture(const LoadCase &Load, const RepeatBounds &Bounds, unsigned Seed)
      : m_Load(Load), m_Random(Seed), m_Allocator(m_Timers.now()) {
    makeConfig();
    for (int I = 0; I < Vms; ++I) {
      DispatchOptions Options;
      Options.m_Vm = VmId{"vm-" + std::to_string(I)};
      Options.m_Domain = FailureDomain{"d" + std::to_string(1 + I % 3)};
      Options.m_Repeats = Bounds;
      m_Vms.push_back(std::make_unique<Entry>(*this, Options, Seed + 100));
      Dispatcher &Target = m_Vms.back()->m_Dispatcher;
      Target.setRoutes(std::make_shared<const RouteTable>(m_Config));
      Target.setLeafs(m_List);
      Target.setEntryCount(Vms);
      Target.onLimitsNeeded([this, I] { exchangeLimits(I); });
    }
  }

  LoadResult play() {
    m_Ticks = m_Timers.every(std::chrono::milliseconds(250), [this] {
      for (int I = 0; I < Vms; ++I)
        exchangeLimits(I);
      shareEstimates();
    });
    scheduleArrival();
    m_Timers.advanceTo(m_Timers.now() + FaultEnd + std::chrono::seconds(1));
    return m_Result;
  }

private:
  struct Work {
    int m_Vm;
    LeafRequestId m_Id;
  };
  struct Leaf {
    int m_Shard = 0;
    bool m_Slow = false;
    bool m_Refuses = false;
    int m_Busy = 0;
    std::deque<Work> m_Queue;
  };
  /// The transport of one VM.
  class Transport : public LeafTransport {
  public:
    Transport(LoadFixture &Owner, int Vm) : m_Owner(Owner), m_Vm(Vm) {}
    LeafRequestId send(const ListedLeaf &Target, HttpRequest Request, Duration,
                       Callback OnResponse) override {
      const LeafRequestId Id = ++m_LastId;
      m_Open[Id] = {Target.m_Id, Request.target() == "/healthz",
                    std::string(Request["T-Id"]), std::move(OnResponse)};
      m_Owner.schedule(LeafDelay, [this, Id] { m_Owner.arrive(m_Vm, Id); });
      return Id;
    }
    bool cancel(LeafRequestId Id) override {
      m_Open.erase(Id);
      return true;
    }
    void endQueued(const LeafId &) override {}
    bool hasIdleConnection(const ListedLeaf &) const override { return true; }
    void disconnectIdle(const ListedLeaf &) override {}

    struct Open {
      LeafId m_Leaf;
      bool m_IsProbe = false;
      std::string m_RequestId;
      Callback m_OnResponse;
    };
    std::map<LeafRequestId, Open> m_Open;

  private:
    LoadFixture &m_Owner;
    int m_Vm;
    LeafRequestId m_LastId = 0;
  };
  struct Entry {
    Entry(LoadFixture &Owner, const DispatchOptions &Options, unsigned Seed)
        : m_Transport(Owner, static_cast<int>(Owner.m_Vms.size())),
          m_Dispatcher(Owner.m_Timers, m_Transport, testProtocol(), Options,
                       Seed + Owner.m_Vms.size()) {}
    Transport m_Transport;
    Dispatcher m_Dispatcher;
  };

  void makeConfig() {
    using namespace std::chrono_literals;
    Route Wide = DispatchFixture::config().m_Routes[0];
    Wide.m_Services.clear();
    Wide.m_Timeout = Timeout;
    Wide.m_Objective = Objective;
    Wide.m_MinCoverage = 0.95;
    for (int Shard = 0; Shard < Shards; ++Shard) {
      const ServiceName Service{"s" + std::to_string(Shard)};
      m_Config.m_Services.push_back({Service, "/healthz", 72, 3s, 0});
      Wide.m_Services.push_back({Service, 1});
      for (int I = 1; I <= 3; ++I) {
        ListedLeaf Listed;
        Listed.m_Id = LeafId{Service.m_Value + "-" + std::to_string(I)};
        Listed.m_Service = Service;
        Listed.m_Address = {"10.0.0.1", 80};
        Listed.m_Domain = FailureDomain{"d" + std::to_string(I)};
        m_List.push_back(Listed);
        Leaf &Item = m_Leafs[Listed.m_Id];
        Item.m_Shard = Shard;
        Item.m_Refuses = chance(0.5);
        Item.m_Slow = chance(m_Load.m_SlowShare);
      }
    }
    m_Config.m_Version = 1;
    m_Config.m_Routes = {Wide};
  }

  bool chance(double Share) {
    return std::uniform_real_distribution<>(0, 1)(m_Random) < Share;
  }
  bool isFaulty() const {
    return m_Timers.now() >= TimePoint{FaultAt} &&
           m_Timers.now() < TimePoint{FaultEnd};
  }
  void schedule(Duration Delay, std::function<void()> Action) {
    const std::uint64_t Id = ++m_LastEvent;
    m_Pending[Id] =
        m_Timers.after(Delay, [this, Id, Action = std::move(Action)] {
          const auto Keep = m_Pending.extract(Id);
          Action();
        });
  }

  void scheduleArrival() {
    const double Rate =
        m_Load.m_SearchesPerSecond * (isFaulty() ? m_Load.m_Burst : 1);
    schedule(Duration(static_cast<Duration::rep>(
                 1e6 * std::exponential_distribution<>(Rate)(m_Random))),
             [this] {
               const bool Counts = isFaulty();
               m_Result.m_Searches += Counts ? 1 : 0;
               startSearch({m_Timers.now(), Counts, 1});
               scheduleArrival();
             });
  }
  /// A search of a caller, which tries again if it is refused or fails.
  struct Search {
    TimePoint m_StartedAt;
    bool m_Counts = false;
    int m_TriesLeft = 0;
  };
  void startSearch(const Search &Item) {
    HttpRequest Request{boost::beast::http::verb::get, "/s/x", 11};
    Request.set("Host", "h");
    Request.set("T-Id", "r" + std::to_string(++m_LastRequest));
    const Duration TimeLeft = Timeout - (m_Timers.now() - Item.m_StartedAt);
    Request.set("T-Left", std::to_string(TimeLeft.count() / 1000));
    m_Vms[m_Random() % Vms]->m_Dispatcher.dispatch(
        Request, [this, Item](const HttpResponse &Response) {
          const Duration Elapsed = m_Timers.now() - Item.m_StartedAt;
          if (Response.result_int() != 200 && Item.m_TriesLeft > 0 &&
              Elapsed + ReturnDelay < Timeout)
            schedule(ReturnDelay, [this, Item] {
              startSearch({Item.m_StartedAt, Item.m_Counts, 0});
            });
          else if (Item.m_Counts)
            count(Response, Elapsed);
        });
  }
  void count(const HttpResponse &Response, Duration Elapsed) {
    if (Response.result_int() == 200) {
      (Elapsed <= Objective ? m_Result.m_InTime : m_Result.m_Late) += 1;
      m_Result.m_MissingParts += std::stoi(std::string(Response["T-Missing"]));
      return;
    }
    (Response.result_int() == 503 ? m_Result.m_Refused : m_Result.m_Failed) +=
        1;
    m_Result.m_UnservedMillis += toMillis(Elapsed);
  }

  void arrive(int Vm, LeafRequestId Id) {
    const auto Found =
        m_Vms[static_cast<std::size_t>(Vm)]->m_Transport.m_Open.find(Id);
    if (Found == m_Vms[static_cast<std::size_t>(Vm)]->m_Transport.m_Open.end())
      return;
    Leaf &Target = m_Leafs.at(Found->second.m_Leaf);
    if (isFaulty() && Target.m_Shard < m_Load.m_DarkShards)
      return;
    if (Found->second.m_IsProbe) {
      respond(Vm, Id, DispatchFixture::refusedResponse(200));
      return;
    }
    if (isFaulty() && Target.m_Refuses && chance(m_Load.m_RefusedShare)) {
      respond(Vm, Id, DispatchFixture::refusedResponse());
      return;
    }
    Target.m_Queue.push_back({Vm, Id});
    startNext(Target);
  }
  void startNext(Leaf &Target) {
    while (Target.m_Busy < Slots && !Target.m_Queue.empty()) {
      const Work Item = Target.m_Queue.front();
      Target.m_Queue.pop_front();
      const auto &Open =
          m_Vms[static_cast<std::size_t>(Item.m_Vm)]->m_Transport.m_Open;
      const auto Found = Open.find(Item.m_Id);
      if (Found == Open.end())
        continue;
      ++Target.m_Busy;
      double Millis = 20 * std::lognormal_distribution<>(-0.08, 0.4)(m_Random);
      if (isFaulty() && Target.m_Slow)
        Millis *= m_Load.m_SlowFactor;
      schedule(Duration(static_cast<Duration::rep>(1000 * Millis)),
               [this, &Target, Item] {
                 --Target.m_Busy;
                 startNext(Target);
                 finish(Item);
               });
    }
  }
  void finish(const Work &Item) {
    const auto &Open =
        m_Vms[static_cast<std::size_t>(Item.m_Vm)]->m_Transport.m_Open;
    const auto Found = Open.find(Item.m_Id);
    if (Found == Open.end())
      return;
    HttpResponse Out{boost::beast::http::status::ok, 11};
    Out.set("T-Id", Found->second.m_RequestId);
    Out.set("T-Sign", "sign");
    respond(Item.m_Vm, Item.m_Id, std::move(Out));
  }
  void respond(int Vm, LeafRequestId Id, HttpResponse Response) {
    schedule(LeafDelay, [this, Vm, Id, Response = std::move(Response)] {
      auto Node =
          m_Vms[static_cast<std::size_t>(Vm)]->m_Transport.m_Open.extract(Id);
      if (!Node.empty())
        Node.mapped().m_OnResponse(Response);
    });
  }

  void exchangeLimits(int Vm) {
    auto Request =
        m_Vms[static_cast<std::size_t>(Vm)]->m_Dispatcher.takeLimitRequest();
    if (!Request)
      return;
    schedule(AllocatorDelay, [this, Vm, Request = std::move(*Request)] {
      LimitReply Reply =
          m_Allocator.allocate(m_Timers.now(), std::to_string(Vm), Request);
      schedule(AllocatorDelay, [this, Vm, Reply = std::move(Reply)] {
        m_Vms[static_cast<std::size_t>(Vm)]->m_Dispatcher.onLimitReply(Reply);
      });
    });
  }
  /// Gives all VMs the mean of what all observed, as core VMs do.
  void shareEstimates() {
    std::map<LeafId, LeafObservation> Sum;
    for (const auto &Vm : m_Vms)
      mergeObservations(Sum, Vm->m_Dispatcher.takeObservations());
    std::vector<LeafEstimate> Estimates;
    for (auto &[Id, Item] : Sum) {
      LeafObservation &Mean = m_Observed[Id];
      Mean.m_Attempts = Mean.m_Attempts / 2 + Item.m_Attempts;
      Mean.m_Failures = Mean.m_Failures / 2 + Item.m_Failures;
      Mean.m_SlownessSum = Mean.m_SlownessSum / 2 + Item.m_SlownessSum;
      const float Failed = static_cast<float>(Mean.m_Failures) /
                           static_cast<float>(Mean.m_Attempts);
      const float Slowness =
          Mean.m_Attempts == Mean.m_Failures
              ? 1
              : Mean.m_SlownessSum /
                    static_cast<float>(Mean.m_Attempts - Mean.m_Failures);
      if (Mean.m_Attempts >= 5 && (Failed >= 0.15F || Slowness >= 2))
        Estimates.push_back({Id, std::max(Slowness, 1.0F), Failed});
    }
    for (const auto &Vm : m_Vms)
      Vm->m_Dispatcher.setEstimates(Estimates);
  }

  LoadCase m_Load;
  std::mt19937 m_Random;
  TimerService m_Timers;
  TokenAllocator m_Allocator;
  RouteConfig m_Config;
  LeafList m_List;
  std::map<LeafId, Leaf> m_Leafs;
  std::map<LeafId, LeafObservation> m_Observed;
  std::vector<std::unique_ptr<Entry>> m_Vms;
  std::map<std::uint64_t, TimerService::Subscription> m_Pending;
  std::uint64_t m_LastEvent = 0;
  int m_LastRequest = 0;
  TimerService::Subscription m_Ticks;
  LoadResult m_Result;
};

} // namespace ragwortdrift::testing

#endif
