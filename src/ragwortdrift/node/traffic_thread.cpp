#include "ragwortdrift/node/traffic_thread.hpp"

#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/node/caller_api.hpp"

#include <boost/asio/post.hpp>

namespace ragwortdrift {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds MetricsPeriod{1};
constexpr std::chrono::milliseconds DrainCheckInterval{5};
/// How long a stop refuses callers' requests before it closes connections.
constexpr std::chrono::milliseconds RefusalTime{500};
/// Share of a booking's time that the claim may take; the rest is for the leaf.
constexpr double ClaimTimeShare = 0.5;

std::uint64_t seedOf(const Settings &Of, unsigned Index) {
  const auto Start = std::chrono::system_clock::now().time_since_epoch();
  return stableHash(Of.m_Vm.m_Value,
                    static_cast<std::uint64_t>(Start.count())) +
         Index;
}

HttpLimits callerLimits() {
  HttpLimits Limits;
  // The manifest's own limit is checked later; this one bounds memory.
  Limits.m_MaxBodyBytes = std::uint64_t{1024} * 1024;
  return Limits;
}

} // namespace

/// A relay served for another VM: answers go out as they come.
class TrafficThread::RelayStream {
public:
  std::shared_ptr<ResponseStream> m_Stream;
  RelayCall m_Call;
  std::size_t m_Open = 0;
};

TrafficThread::TrafficThread(const Settings &Of, unsigned Index,
                             const LeafChart &Chart, BookingClaims Claims)
    : m_Settings(Of), m_Io(1), m_Driver(m_Io, m_Timers),
      m_Owner(m_Io, m_Timers, Chart, Of.m_Domain),
      m_Engine(m_Timers, Of.m_Domain, seedOf(Of, Index),
               {[this](const VmId &Owner, RelayRequest Request,
                       QueryEnvironment::OnAnswer OnAnswer,
                       QueryEnvironment::OnLost OnLost) {
                 return startRelay(Owner, std::move(Request),
                                   std::move(OnAnswer), std::move(OnLost));
               }}),
      m_Claims(std::move(Claims)),
      m_Callers(m_Io, callerLimits(),
                [this](const std::shared_ptr<HttpExchange> &Exchange) {
                  m_Driver.refresh();
                  onCaller(Exchange);
                }),
      m_RelayServer(m_Io, m_Timers, Of.m_Key, Of.m_Vm),
      m_RelayClient(m_Io, m_Timers, Of.m_Key, Of.m_Vm) {
  m_RelayServer.handle("/relay", [this](PeerRequest Request,
                                        std::shared_ptr<ResponseStream> Out) {
    serveRelay(std::move(Request), std::move(Out));
  });
  m_RelayServer.handle("/relay/cancel",
                       [this](const PeerRequest &Request,
                              const std::shared_ptr<ResponseStream> &Out) {
                         serveCancel(Request);
                         Out->finish();
                       });
  m_Second = m_Timers.every(MetricsPeriod, [this] {
    m_Decisions.flush();
    m_Metrics.endPeriod();
  });
}

TrafficThread::~TrafficThread() { stop(); }

Result<Done, HttpError> TrafficThread::listenForCallers() {
  return m_Callers.listen(m_Settings.m_Caller.m_Ip, m_Settings.m_Caller.m_Port);
}

Result<Done, NetError> TrafficThread::listenForRelays() {
  return m_RelayServer.listen(m_Settings.m_Relay.m_Ip,
                              m_Settings.m_Relay.m_Port);
}

void TrafficThread::start() {
  m_Thread = std::thread([this] {
    m_Driver.start();
    auto Work = asio::make_work_guard(m_Io);
    m_Io.run();
  });
}

void TrafficThread::stop() {
  m_Io.stop();
  if (m_Thread.joinable())
    m_Thread.join();
}

void TrafficThread::post(std::shared_ptr<const ControlView> View) {
  asio::post(m_Io, [this, View = std::move(View)] {
    m_Driver.refresh();
    m_View = View;
    m_Owner.update(View);
    m_Engine.update(View);
  });
}

TrafficThread &TrafficThread::threadOf(const std::string &Partition) const {
  return *m_Siblings[stableHash(Partition) % m_Siblings.size()];
}

void TrafficThread::onCaller(const std::shared_ptr<HttpExchange> &Exchange) {
  auto Parsed = parseQuery(Exchange->request());
  if (!isOk(Parsed)) {
    respond(*Exchange, errorOf(Parsed));
    return;
  }
  if (m_Refusing) {
    respond(*Exchange, Refusal{QueryRefusalCode::Stopping, true,
                               "this entry VM is shutting down"});
    return;
  }
  QueryRequest &Query = valueOf(Parsed);
  if (Query.m_Booking) {
    runBooking(Exchange, std::move(Query));
    return;
  }
  auto Handle = std::make_shared<QueryEngine::Handle>();
  const TimePoint Started = m_Timers.now();
  *Handle = m_Engine.start(
      std::move(Query), [this, Exchange, Started](const QueryOutcome &Outcome) {
        m_Metrics.timing("ragwortdrift_query_seconds")
            .record(m_Timers.now() - Started);
        respond(*Exchange, Outcome);
      });
  Exchange->onAbort([Handle] { Handle->cancel(); });
}

void TrafficThread::runBooking(const std::shared_ptr<HttpExchange> &Exchange,
                               QueryRequest Query) {
  if (auto Why = m_Engine.check(Query)) {
    respond(*Exchange, *Why);
    return;
  }
  ++m_OpenBookings;
  const auto &Of = *m_View->m_Catalog->m_Services.at(Query.m_Service);
  const Duration Whole = Query.m_Deadline.value_or(Of.m_Deadline);
  const auto ForClaim =
      std::chrono::duration_cast<Duration>(Whole * ClaimTimeShare);
  const TimePoint Started = m_Timers.now();
  auto Finish = [this, Exchange](const QueryOutcome &Outcome) {
    --m_OpenBookings;
    respond(*Exchange, Outcome);
  };
  auto OnClaim = [this, Exchange, Finish, Query, Whole,
                  Started](ClaimOutcome Claim) mutable {
    m_Driver.refresh();
    if (const auto *Known = std::get_if<RecordedOutcome>(&Claim)) {
      --m_OpenBookings;
      Exchange->respond(jsonResponse(Known->m_HttpStatus, Known->m_Body));
      return;
    }
    if (const auto *Why = std::get_if<Refusal>(&Claim)) {
      Finish(*Why);
      return;
    }
    const IdempotencyKey Key = Query.m_Booking->m_Key;
    Query.m_Deadline =
        std::max(Whole - (m_Timers.now() - Started), Duration{1000});
    m_Engine.startBooking(
        std::move(Query), [this, Finish, Key](QueryOutcome Outcome) {
          const auto *Why = std::get_if<Refusal>(&Outcome);
          if (!Why) {
            m_Claims.m_Record(Key, {200, formatOutcome(Outcome).body()});
            Finish(Outcome);
          } else if (!Why->m_NotRun) {
            Finish(Outcome);
          } else {
            m_Claims.m_Release(Key, [](bool) {});
            Finish(Outcome);
          }
        });
  };
  m_Claims.m_Claim(Query, ForClaim, [this, OnClaim](ClaimOutcome Claim) {
    asio::post(m_Io, [OnClaim, Claim = std::move(Claim)]() mutable {
      OnClaim(std::move(Claim));
    });
  });
}

void TrafficThread::respond(HttpExchange &Exchange,
                            const QueryOutcome &Outcome) {
  if (const auto *Why = std::get_if<Refusal>(&Outcome)) {
    m_Metrics
        .counter("ragwortdrift_refusals_total",
                 {{"code", std::string(nameOf(Why->m_Code))}})
        .add();
    m_Decisions.write(m_Timers.now(), "query.refused",
                      {{"code", Why->m_Code},
                       {"not_run", Why->m_NotRun},
                       {"detail", Why->m_Detail}});
  }
  Exchange.respond(formatOutcome(Outcome));
}

RelayCall TrafficThread::startRelay(const VmId &Owner, RelayRequest Request,
                                    QueryEnvironment::OnAnswer OnAnswer,
                                    QueryEnvironment::OnLost OnLost) {
  m_Decisions.write(m_Timers.now(), "routing.relay",
                    {{"request", Request.m_RequestId},
                     {"partition", Request.m_Partition},
                     {"owner", Owner},
                     {"leafs", Request.m_Items.size()},
                     {"first_leaf", Request.m_Items.front().m_Leaf}});
  if (Owner == m_Settings.m_Vm)
    return startLocal(std::move(Request), std::move(OnAnswer));
  const auto Found = m_View->m_Catalog->m_Vms.find(Owner);
  if (Found == m_View->m_Catalog->m_Vms.end()) {
    asio::post(m_Io, [OnLost = std::move(OnLost)] { OnLost({false}); });
    return {};
  }
  return startRemote(Found->second, Request, std::move(OnAnswer),
                     std::move(OnLost));
}

RelayCall TrafficThread::startRemote(const Vm &Owner,
                                     const RelayRequest &Request,
                                     QueryEnvironment::OnAnswer OnAnswer,
                                     QueryEnvironment::OnLost OnLost) {
  auto Call = std::make_shared<PeerCall>();
  const std::uint64_t Id = Request.m_RelayId;
  const Endpoint Address = Owner.m_Relay;
  *Call = m_RelayClient.open(
      Address.m_Ip, Address.m_Port, "/relay", encode(Request),
      Request.m_TimeLeft + std::chrono::milliseconds(5),
      [this, OnAnswer = std::move(OnAnswer)](const std::string &Bytes) {
        m_Driver.refresh();
        auto Answer = decode<RelayAnswer>(Bytes);
        if (isOk(Answer))
          OnAnswer(valueOf(std::move(Answer)));
      },
      [this, OnLost = std::move(OnLost)](const Result<Done, PeerError> &Ended) {
        m_Driver.refresh();
        OnLost({isOk(Ended) || errorOf(Ended).m_MaybeSent});
      });
  RelayCall Result;
  Result.m_CancelItem = [this, Address, Id](std::uint32_t Item) {
    auto Cancel = std::make_shared<PeerCall>();
    *Cancel = m_RelayClient.open(
        Address.m_Ip, Address.m_Port, "/relay/cancel",
        encode(RelayCancel{Id, {Item}}), std::chrono::milliseconds(200),
        [](const std::string &) {},
        [Cancel](const ragwortdrift::Result<Done, PeerError> &) mutable {
          Cancel.reset();
        });
  };
  Result.m_Open = std::move(Call);
  return Result;
}

RelayCall TrafficThread::startLocal(RelayRequest Request,
                                    QueryEnvironment::OnAnswer OnAnswer) {
  TrafficThread &Target = threadOf(Request.m_Partition);
  RelayCall Result;
  if (&Target == this) {
    auto Relay = m_Owner.start(Request, OnAnswer);
    Result.m_CancelItem = [Relay](std::uint32_t Item) { Relay->cancel(Item); };
    Result.m_Open = std::move(Relay);
    return Result;
  }
  // The relay lives on the other thread; both ends post to each other.
  struct Link {
    std::shared_ptr<LeafOwner::Relay> m_Relay;
  };
  auto Remote = std::make_shared<Link>();
  auto Alive = std::make_shared<bool>(true);
  asio::post(Target.m_Io, [this, &Target, Remote, Request = std::move(Request),
                           OnAnswer = std::move(OnAnswer),
                           Weak = std::weak_ptr(Alive)] {
    Target.m_Driver.refresh();
    Remote->m_Relay =
        Target.m_Owner.start(Request, [this, OnAnswer, Weak](RelayAnswer A) {
          asio::post(m_Io, [this, OnAnswer, Weak, A = std::move(A)]() mutable {
            m_Driver.refresh();
            if (!Weak.expired())
              OnAnswer(std::move(A));
          });
        });
  });
  Result.m_CancelItem = [&Target, Remote](std::uint32_t Item) {
    asio::post(Target.m_Io, [Remote, Item] {
      if (Remote->m_Relay)
        Remote->m_Relay->cancel(Item);
    });
  };
  Result.m_Open = std::shared_ptr<void>(
      static_cast<void *>(Remote.get()), [&Target, Remote, Alive](void *) {
        asio::post(Target.m_Io, [Remote] { Remote->m_Relay.reset(); });
      });
  return Result;
}

void TrafficThread::serveRelay(PeerRequest Request,
                               std::shared_ptr<ResponseStream> Stream) {
  m_Driver.refresh();
  auto Decoded = decode<RelayRequest>(Request.m_Body);
  if (!isOk(Decoded)) {
    logEvent(LogSeverity::Warning, "relay.bad_message",
             {{"from", Request.m_From},
              {"code", errorOf(Decoded).m_Code},
              {"offset", errorOf(Decoded).m_Offset}});
    return;
  }
  RelayRequest &Message = valueOf(Decoded);
  auto Served = std::make_shared<RelayStream>();
  Served->m_Stream = std::move(Stream);
  Served->m_Open = Message.m_Items.size();
  const std::pair Key{Request.m_From, Message.m_RelayId};
  m_Served[Key] = Served;
  Served->m_Stream->onCancel([this, Key] { m_Served.erase(Key); });
  RelayCall Call = startLocal(
      std::move(Message),
      [this, Key, Weak = std::weak_ptr(Served)](const RelayAnswer &Answer) {
        const auto Open = Weak.lock();
        if (!Open)
          return;
        Open->m_Stream->send(encode(Answer));
        if (--Open->m_Open > 0)
          return;
        Open->m_Stream->finish();
        m_Served.erase(Key);
      });
  Served->m_Call = std::move(Call);
}

void TrafficThread::serveCancel(const PeerRequest &Request) {
  const auto Message = decode<RelayCancel>(Request.m_Body);
  if (!isOk(Message))
    return;
  const auto Found =
      m_Served.find({Request.m_From, valueOf(Message).m_RelayId});
  if (Found == m_Served.end())
    return;
  const auto Served = Found->second;
  for (const std::uint32_t Item : valueOf(Message).m_Items) {
    Served->m_Call.m_CancelItem(Item);
    if (--Served->m_Open == 0) {
      Served->m_Stream->finish();
      m_Served.erase(Found);
      return;
    }
  }
}

void TrafficThread::beginStop(Duration RefuseAfter,
                              std::function<void()> Drained) {
  asio::post(m_Io, [this, RefuseAfter, Drained = std::move(Drained)]() mutable {
    m_Driver.refresh();
    m_Drained = std::move(Drained);
    m_Callers.announceStop();
    m_StopTimer = m_Timers.after(RefuseAfter, [this] { refuseCallers(); });
  });
}

void TrafficThread::refuseCallers() {
  m_Refusing = true;
  // A caller that sends on a kept connection just now still gets a typed
  // refusal instead of a reset.
  m_StopTimer = m_Timers.after(RefusalTime, [this] {
    m_Callers.beginStop();
    m_StopTimer =
        m_Timers.every(DrainCheckInterval, [this] { checkDrained(); });
  });
}

void TrafficThread::whenIdle(const std::string &Partition,
                             std::function<void()> Fn) {
  asio::post(m_Io, [this, Partition, Fn = std::move(Fn)]() mutable {
    m_Driver.refresh();
    m_WaitingIdle.emplace_back(Partition, std::move(Fn));
    if (!m_IdleTimer)
      m_IdleTimer = m_Timers.every(DrainCheckInterval, [this] { checkIdle(); });
  });
}

void TrafficThread::checkIdle() {
  std::erase_if(m_WaitingIdle, [this](const auto &Waiting) {
    if (m_Owner.inFlight(Waiting.first) > 0)
      return false;
    Waiting.second();
    return true;
  });
  if (m_WaitingIdle.empty())
    m_IdleTimer.reset();
}

void TrafficThread::checkDrained() {
  if (m_Engine.inFlight() > 0 || m_Owner.inFlight() > 0 || m_OpenBookings > 0 ||
      m_Callers.connections() > 0 || !m_Served.empty())
    return;
  m_StopTimer.reset();
  if (auto Fn = std::exchange(m_Drained, nullptr))
    Fn();
}

void TrafficThread::collect(std::function<void(MetricsSnapshot)> Fn) {
  asio::post(m_Io, [this, Fn = std::move(Fn)] {
    updateMetrics();
    Fn(m_Metrics.snapshot());
  });
}

void TrafficThread::updateMetrics() {
  const QueryCounts &Counts = m_Engine.counts();
  const auto Set = [this](const char *Name, std::uint64_t Value) {
    Counter &Metric = m_Metrics.counter(Name);
    Metric.add(Value - Metric.value());
  };
  Set("ragwortdrift_queries_total", Counts.m_Queries);
  Set("ragwortdrift_answered_total", Counts.m_Answered);
  Set("ragwortdrift_partial_total", Counts.m_Partial);
  Set("ragwortdrift_leaf_requests_total", Counts.m_LeafRequests);
  Set("ragwortdrift_hedges_total", Counts.m_Hedges);
  Set("ragwortdrift_retries_total", Counts.m_Retries);
  Set("ragwortdrift_failovers_total", Counts.m_Failovers);
  m_Metrics.gauge("ragwortdrift_queries_in_flight")
      .set(static_cast<double>(m_Engine.inFlight()));
  m_Metrics.gauge("ragwortdrift_leaf_requests_in_flight")
      .set(static_cast<double>(m_Owner.inFlight()));
}

} // namespace ragwortdrift
