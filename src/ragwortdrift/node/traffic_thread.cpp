#include "ragwortdrift/node/traffic_thread.hpp"
#include "relay_items.hpp"

#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/node/caller_api.hpp"

#include <boost/asio/post.hpp>

namespace ragwortdrift {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds MetricsPeriod{1};
constexpr std::chrono::milliseconds DrainCheckInterval{5};
/// Time for which a stopping daemon refuses callers' requests before it closes
/// their connections.
constexpr std::chrono::milliseconds RefusalTime{500};
/// Share of a booking's time to its deadline that the claim may take; the rest
/// is for the leaf request.
constexpr double ClaimTimeShare = 0.5;

std::uint64_t makeSeed(const Settings &DaemonSettings, unsigned Index) {
  const auto StartTime = std::chrono::system_clock::now().time_since_epoch();
  return stableHash(DaemonSettings.m_Vm.m_Value,
                    static_cast<std::uint64_t>(StartTime.count())) +
         Index;
}

HttpLimits callerLimits() {
  HttpLimits Limits;
  // Bounds memory. The manifest's limit is checked after parsing.
  Limits.m_MaxBodyBytes = std::uint64_t{1024} * 1024;
  return Limits;
}

} // namespace

/// A relay served for another VM. Each response is sent when it arrives.
class TrafficThread::ServedRelay {
public:
  std::shared_ptr<ResponseStream> m_Stream;
  RelayCall m_Call;
  RelayItems m_OpenItems;
};

TrafficThread::TrafficThread(const Settings &DaemonSettings, unsigned Index,
                             const LeafChart &Chart, BookingClaims Claims)
    : m_Settings(DaemonSettings), m_Io(1), m_TimerDriver(m_Io, m_Timers),
      m_LeafOwner(m_Io, m_Timers, Chart, DaemonSettings.m_Domain),
      m_Engine(m_Timers, DaemonSettings.m_Domain,
               makeSeed(DaemonSettings, Index),
               {[this](const VmId &Owner, RelayRequest Request,
                       QueryEnvironment::OnResponse OnResponse,
                       QueryEnvironment::OnLost OnLost) {
                 return startRelay(Owner, std::move(Request),
                                   std::move(OnResponse), std::move(OnLost));
               }}),
      m_Claims(std::move(Claims)),
      m_CallerServer(m_Io, callerLimits(),
                     [this](const std::shared_ptr<HttpExchange> &Exchange) {
                       m_TimerDriver.runDueTimers();
                       onCallerRequest(Exchange);
                     }),
      m_RelayServer(m_Io, m_Timers, DaemonSettings.m_Key, DaemonSettings.m_Vm),
      m_RelayClient(m_Io, m_Timers, DaemonSettings.m_Key, DaemonSettings.m_Vm) {
  m_RelayServer.handle(
      "/relay",
      [this](PeerRequest Request, std::shared_ptr<ResponseStream> Stream) {
        onRelayRequest(std::move(Request), std::move(Stream));
      });
  m_RelayServer.handle("/relay/cancel",
                       [this](const PeerRequest &Request,
                              const std::shared_ptr<ResponseStream> &Stream) {
                         onRelayCancel(Request);
                         Stream->finish();
                       });
  m_MetricsTimer = m_Timers.every(MetricsPeriod, [this] {
    m_DecisionLog.flush();
    m_Metrics.endPeriod();
  });
}

TrafficThread::~TrafficThread() { stop(); }

Result<Done, HttpError> TrafficThread::listenForCallers() {
  return m_CallerServer.listen(m_Settings.m_Caller.m_Ip,
                               m_Settings.m_Caller.m_Port);
}

Result<Done, NetError> TrafficThread::listenForRelays() {
  return m_RelayServer.listen(m_Settings.m_Relay.m_Ip,
                              m_Settings.m_Relay.m_Port);
}

void TrafficThread::start() {
  m_Thread = std::thread([this] {
    m_TimerDriver.start();
    auto WorkGuard = asio::make_work_guard(m_Io);
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
    m_TimerDriver.runDueTimers();
    m_View = View;
    m_LeafOwner.update(View);
    m_Engine.update(View);
  });
}

TrafficThread &TrafficThread::ownerThread(const std::string &Partition) const {
  return *m_Siblings[stableHash(Partition) % m_Siblings.size()];
}

void TrafficThread::onCallerRequest(
    const std::shared_ptr<HttpExchange> &Exchange) {
  auto ParseResult = parseQuery(Exchange->request());
  if (!isOk(ParseResult)) {
    respond(*Exchange, errorOf(ParseResult));
    return;
  }
  if (m_RefusingCallers) {
    respond(*Exchange, Refusal{QueryRefusalCode::Stopping, true,
                               "this entry VM is shutting down"});
    return;
  }
  QueryRequest &Query = valueOf(ParseResult);
  if (Query.m_Booking) {
    executeBooking(Exchange, std::move(Query));
    return;
  }
  auto Handle = std::make_shared<QueryEngine::Handle>();
  const TimePoint StartTime = m_Timers.now();
  *Handle =
      m_Engine.start(std::move(Query),
                     [this, Exchange, StartTime](const QueryOutcome &Outcome) {
                       m_Metrics.timing("ragwortdrift_query_seconds")
                           .record(m_Timers.now() - StartTime);
                       respond(*Exchange, Outcome);
                     });
  Exchange->onAbort([Handle] { Handle->cancel(); });
}

void TrafficThread::executeBooking(
    const std::shared_ptr<HttpExchange> &Exchange, QueryRequest Query) {
  if (auto Reason = m_Engine.check(Query)) {
    respond(*Exchange, *Reason);
    return;
  }
  ++m_OpenBookings;
  const auto &Svc = *m_View->m_Catalog->m_Services.at(Query.m_Service);
  const Duration TimeLimit = Query.m_Deadline.value_or(Svc.m_Deadline);
  const auto ClaimTimeLimit =
      std::chrono::duration_cast<Duration>(TimeLimit * ClaimTimeShare);
  const TimePoint StartTime = m_Timers.now();
  auto Finish = [this, Exchange](const QueryOutcome &Outcome) {
    --m_OpenBookings;
    respond(*Exchange, Outcome);
  };
  auto OnClaim = [this, Exchange, Finish, Query, TimeLimit,
                  StartTime](ClaimOutcome Claim) mutable {
    m_TimerDriver.runDueTimers();
    if (const auto *Recorded = std::get_if<RecordedOutcome>(&Claim)) {
      --m_OpenBookings;
      Exchange->respond(jsonResponse(Recorded->m_HttpStatus, Recorded->m_Body));
      return;
    }
    if (const auto *Reason = std::get_if<Refusal>(&Claim)) {
      Finish(*Reason);
      return;
    }
    const IdempotencyKey Key = Query.m_Booking->m_Key;
    Query.m_Deadline =
        std::max(TimeLimit - (m_Timers.now() - StartTime), Duration{1000});
    m_Engine.startBooking(
        std::move(Query), [this, Finish, Key](QueryOutcome Outcome) {
          const auto *Reason = std::get_if<Refusal>(&Outcome);
          if (!Reason) {
            m_Claims.m_Record(Key, {200, formatOutcome(Outcome).body()});
            Finish(Outcome);
          } else if (!Reason->m_NotExecuted) {
            Finish(Outcome);
          } else {
            m_Claims.m_Release(Key, [](bool) {});
            Finish(Outcome);
          }
        });
  };
  m_Claims.m_Claim(Query, ClaimTimeLimit, [this, OnClaim](ClaimOutcome Claim) {
    asio::post(m_Io, [OnClaim, Claim = std::move(Claim)]() mutable {
      OnClaim(std::move(Claim));
    });
  });
}

void TrafficThread::respond(HttpExchange &Exchange,
                            const QueryOutcome &Outcome) {
  if (const auto *Reason = std::get_if<Refusal>(&Outcome)) {
    m_Metrics
        .counter("ragwortdrift_refusals_total",
                 {{"code", std::string(nameOf(Reason->m_Code))}})
        .add();
    m_DecisionLog.write(m_Timers.now(), "query.refused",
                        {{"code", Reason->m_Code},
                         {"not_run", Reason->m_NotExecuted},
                         {"detail", Reason->m_Detail}});
  }
  Exchange.respond(formatOutcome(Outcome));
}

RelayCall TrafficThread::startRelay(const VmId &Owner, RelayRequest Request,
                                    QueryEnvironment::OnResponse OnResponse,
                                    QueryEnvironment::OnLost OnLost) {
  m_DecisionLog.write(m_Timers.now(), "routing.relay",
                      {{"request", Request.m_RequestId},
                       {"partition", Request.m_Partition},
                       {"owner", Owner},
                       {"leafs", Request.m_Items.size()},
                       {"first_leaf", Request.m_Items.front().m_Leaf}});
  if (Owner == m_Settings.m_Vm)
    return startLocalRelay(std::move(Request), std::move(OnResponse));
  const auto Entry = m_View->m_Catalog->m_Vms.find(Owner);
  if (Entry == m_View->m_Catalog->m_Vms.end()) {
    asio::post(m_Io, [OnLost = std::move(OnLost)] { OnLost({false}); });
    return {};
  }
  return startRemoteRelay(Entry->second, Request, std::move(OnResponse),
                          std::move(OnLost));
}

RelayCall
TrafficThread::startRemoteRelay(const Vm &Owner, const RelayRequest &Request,
                                QueryEnvironment::OnResponse OnResponse,
                                QueryEnvironment::OnLost OnLost) {
  auto Call = std::make_shared<PeerCall>();
  const std::uint64_t Id = Request.m_RelayId;
  const Endpoint Address = Owner.m_Relay;
  *Call = m_RelayClient.open(
      Address.m_Ip, Address.m_Port, "/relay", encode(Request),
      Request.m_TimeLeft + std::chrono::milliseconds(5),
      [this, OnResponse = std::move(OnResponse)](const std::string &Bytes) {
        m_TimerDriver.runDueTimers();
        auto Response = decode<RelayResponse>(Bytes);
        if (isOk(Response))
          OnResponse(valueOf(std::move(Response)));
      },
      [this,
       OnLost = std::move(OnLost)](const Result<Done, PeerError> &Outcome) {
        m_TimerDriver.runDueTimers();
        OnLost({isOk(Outcome) || errorOf(Outcome).m_MaybeSent});
      });
  RelayCall Result;
  Result.m_CancelItem = [this, Address, Id](std::uint32_t Item) {
    auto CancelCall = std::make_shared<PeerCall>();
    *CancelCall = m_RelayClient.open(
        Address.m_Ip, Address.m_Port, "/relay/cancel",
        encode(RelayCancel{Id, {Item}}), std::chrono::milliseconds(200),
        [](const std::string &) {},
        [CancelCall](const ragwortdrift::Result<Done, PeerError> &) mutable {
          CancelCall.reset();
        });
  };
  Result.m_Handle = std::move(Call);
  return Result;
}

RelayCall
TrafficThread::startLocalRelay(RelayRequest Request,
                               QueryEnvironment::OnResponse OnResponse) {
  TrafficThread &Target = ownerThread(Request.m_Partition);
  RelayCall Result;
  if (&Target == this) {
    auto Relay = m_LeafOwner.start(Request, OnResponse);
    Result.m_CancelItem = [Relay](std::uint32_t Item) { Relay->cancel(Item); };
    Result.m_Handle = std::move(Relay);
    return Result;
  }
  // The relay belongs to the owner thread; the two threads post to each other.
  struct RemoteRelay {
    std::shared_ptr<LeafOwner::Relay> m_Relay;
  };
  auto Link = std::make_shared<RemoteRelay>();
  auto Alive = std::make_shared<bool>(true);
  asio::post(Target.m_Io, [this, &Target, Link, Request = std::move(Request),
                           OnResponse = std::move(OnResponse),
                           Weak = std::weak_ptr(Alive)] {
    Target.m_TimerDriver.runDueTimers();
    Link->m_Relay = Target.m_LeafOwner.start(
        Request, [this, OnResponse, Weak](RelayResponse Response) {
          asio::post(m_Io, [this, OnResponse, Weak,
                            Response = std::move(Response)]() mutable {
            m_TimerDriver.runDueTimers();
            if (!Weak.expired())
              OnResponse(std::move(Response));
          });
        });
  });
  Result.m_CancelItem = [&Target, Link](std::uint32_t Item) {
    asio::post(Target.m_Io, [Link, Item] {
      if (Link->m_Relay)
        Link->m_Relay->cancel(Item);
    });
  };
  Result.m_Handle = std::shared_ptr<void>(
      static_cast<void *>(Link.get()), [&Target, Link, Alive](void *) {
        asio::post(Target.m_Io, [Link] { Link->m_Relay.reset(); });
      });
  return Result;
}

void TrafficThread::onRelayRequest(PeerRequest Request,
                                   std::shared_ptr<ResponseStream> Stream) {
  m_TimerDriver.runDueTimers();
  auto DecodeResult = decode<RelayRequest>(Request.m_Body);
  if (!isOk(DecodeResult)) {
    logEvent(LogSeverity::Warning, "relay.bad_message",
             {{"from", Request.m_Sender},
              {"code", errorOf(DecodeResult).m_Code},
              {"offset", errorOf(DecodeResult).m_Offset}});
    return;
  }
  RelayRequest &Message = valueOf(DecodeResult);
  auto Relay = std::make_shared<ServedRelay>();
  Relay->m_Stream = std::move(Stream);
  for (const RelayItem &Item : Message.m_Items)
    Relay->m_OpenItems.add(Item.m_Item);
  const std::pair Key{Request.m_Sender, Message.m_RelayId};
  m_ServedRelays[Key] = Relay;
  Relay->m_Stream->onCancel([this, Key] { m_ServedRelays.erase(Key); });
  RelayCall Call = startLocalRelay(
      std::move(Message),
      [this, Key, Weak = std::weak_ptr(Relay)](const RelayResponse &Response) {
        const auto OpenRelay = Weak.lock();
        if (!OpenRelay || !OpenRelay->m_OpenItems.close(Response.m_Item))
          return;
        OpenRelay->m_Stream->send(encode(Response));
        if (!OpenRelay->m_OpenItems.empty())
          return;
        OpenRelay->m_Stream->finish();
        m_ServedRelays.erase(Key);
      });
  Relay->m_Call = std::move(Call);
}

void TrafficThread::onRelayCancel(const PeerRequest &Request) {
  const auto Message = decode<RelayCancel>(Request.m_Body);
  if (!isOk(Message))
    return;
  const auto Entry =
      m_ServedRelays.find({Request.m_Sender, valueOf(Message).m_RelayId});
  if (Entry == m_ServedRelays.end())
    return;
  const auto Relay = Entry->second;
  for (const std::uint32_t Item : valueOf(Message).m_Items) {
    if (!Relay->m_OpenItems.close(Item))
      continue;
    Relay->m_Call.m_CancelItem(Item);
    if (Relay->m_OpenItems.empty()) {
      Relay->m_Stream->finish();
      m_ServedRelays.erase(Entry);
      return;
    }
  }
}

void TrafficThread::beginStop(Duration RefuseAfter,
                              std::function<void()> OnDrained) {
  asio::post(
      m_Io, [this, RefuseAfter, OnDrained = std::move(OnDrained)]() mutable {
        m_TimerDriver.runDueTimers();
        m_OnDrained = std::move(OnDrained);
        m_CallerServer.disableKeepAlive();
        m_StopTimer = m_Timers.after(RefuseAfter, [this] { beginRefusing(); });
      });
}

void TrafficThread::beginRefusing() {
  m_RefusingCallers = true;
  // A caller that is just sending on a kept-alive connection gets a refusal
  // instead of a connection reset.
  m_StopTimer = m_Timers.after(RefusalTime, [this] {
    m_CallerServer.beginStop();
    m_StopTimer =
        m_Timers.every(DrainCheckInterval, [this] { checkDrained(); });
  });
}

void TrafficThread::whenIdle(const std::string &Partition,
                             std::function<void()> Callback) {
  asio::post(m_Io, [this, Partition, Callback = std::move(Callback)]() mutable {
    m_TimerDriver.runDueTimers();
    m_IdleWaiters.emplace_back(Partition, std::move(Callback));
    if (!m_IdleTimer)
      m_IdleTimer = m_Timers.every(DrainCheckInterval, [this] { checkIdle(); });
  });
}

void TrafficThread::checkIdle() {
  std::erase_if(m_IdleWaiters, [this](const auto &Waiter) {
    if (m_LeafOwner.inFlight(Waiter.first) > 0)
      return false;
    Waiter.second();
    return true;
  });
  if (m_IdleWaiters.empty())
    m_IdleTimer.reset();
}

void TrafficThread::checkDrained() {
  if (m_Engine.inFlight() > 0 || m_LeafOwner.inFlight() > 0 ||
      m_OpenBookings > 0 || m_CallerServer.connections() > 0 ||
      !m_ServedRelays.empty())
    return;
  m_StopTimer.reset();
  if (auto Callback = std::exchange(m_OnDrained, nullptr))
    Callback();
}

void TrafficThread::collect(std::function<void(MetricsSnapshot)> Callback) {
  asio::post(m_Io, [this, Callback = std::move(Callback)] {
    updateMetrics();
    Callback(m_Metrics.snapshot());
  });
}

void TrafficThread::updateMetrics() {
  const QueryCounts &Counts = m_Engine.counts();
  const auto SetCounter = [this](const char *Name, std::uint64_t Value) {
    Counter &Metric = m_Metrics.counter(Name);
    Metric.add(Value - Metric.value());
  };
  SetCounter("ragwortdrift_queries_total", Counts.m_Queries);
  SetCounter("ragwortdrift_answered_total", Counts.m_Answered);
  SetCounter("ragwortdrift_partial_total", Counts.m_Partial);
  SetCounter("ragwortdrift_leaf_requests_total", Counts.m_LeafRequests);
  SetCounter("ragwortdrift_hedges_total", Counts.m_Hedges);
  SetCounter("ragwortdrift_retries_total", Counts.m_Retries);
  SetCounter("ragwortdrift_failovers_total", Counts.m_Failovers);
  m_Metrics.gauge("ragwortdrift_queries_in_flight")
      .set(static_cast<double>(m_Engine.inFlight()));
  m_Metrics.gauge("ragwortdrift_leaf_requests_in_flight")
      .set(static_cast<double>(m_LeafOwner.inFlight()));
}

} // namespace ragwortdrift
