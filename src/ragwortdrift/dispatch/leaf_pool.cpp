#include "ragwortdrift/dispatch/leaf_pool.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>

namespace ragwortdrift {

namespace {

/// Time-out of a TCP connect within a region; a leaf accepts within a few
/// milliseconds.
constexpr std::chrono::milliseconds ConnectTimeout{250};
/// A request with less time left is not sent.
constexpr std::chrono::milliseconds MinTimeout{1};
/// Connection limit per leaf until the limit of its service is set.
constexpr std::uint32_t DefaultConnectionLimit = 1;
/// Idle connections are closed this long before the leaf would close them, so
/// that no request is sent on a closing connection.
constexpr std::chrono::milliseconds IdleCloseMargin{700};
/// Keep-alive time assumed if the leaf announces none.
constexpr std::chrono::seconds DefaultIdleTimeout{20};
/// A success larger than all others is forgotten after some times this many.
constexpr std::size_t UsualBytesDecay = 64;
/// Requests within their deadline that may have failed on one connection before
/// it is closed. Bounds the memory of a connection to a leaf that refuses all.
constexpr std::size_t MaxFailedRequests = 32;

/// Parses the time in `Keep-Alive: timeout=SECONDS`.
Duration announcedIdleTimeout(const HttpResponse &Response) {
  const auto Field = Response[boost::beast::http::field::keep_alive];
  const std::string_view Text(Field.data(), Field.size());
  const auto Pos = Text.find("timeout=");
  if (Pos == std::string_view::npos)
    return DefaultIdleTimeout;
  unsigned Seconds = 0;
  const char *Begin = Text.data() + Pos + std::string_view("timeout=").size();
  const auto [End, Error] =
      std::from_chars(Begin, Text.data() + Text.size(), Seconds);
  if (Error != std::errc{} || End == Begin)
    return DefaultIdleTimeout;
  return std::chrono::seconds(Seconds);
}

/// Returns false if a response does not carry the id of its request. It may
/// then be a late response to an earlier request. Requests without an id are
/// health probes, whose responses carry none either.
bool belongsToRequest(const HttpResponse &Response, const std::string &IdHeader,
                      const std::string &RequestId) {
  const auto Field = Response.find(IdHeader);
  if (Field == Response.end())
    return RequestId.empty() || Response.result_int() / 100 != 2;
  return Field->value() == RequestId;
}

} // namespace

LeafPool::LeafPool(boost::asio::io_context &Io, TimerService &Timers,
                   std::string RequestIdHeader)
    : m_Io(Io), m_Timers(Timers),
      m_RequestIdHeader(std::move(RequestIdHeader)) {}

LeafPool::~LeafPool() = default;

LeafPool::LeafPtr &LeafPool::leaf(const ListedLeaf &Listed) {
  LeafPtr &Upstream = m_Leafs[Listed.m_Id];
  if (!Upstream || Upstream->m_Address != Listed.m_Address) {
    Upstream = std::make_shared<Leaf>();
    Upstream->m_Id = Listed.m_Id;
    Upstream->m_Address = Listed.m_Address;
  }
  // A leaf may move to another service, which has its own connection limit.
  Upstream->m_Service = Listed.m_Service;
  return Upstream;
}

void LeafPool::preconnect(const ListedLeaf &Target) {
  const LeafPtr Upstream = leaf(Target);
  if (Upstream->m_OpenConnections > 0)
    return;
  ++Upstream->m_OpenConnections;
  ++m_ConnectionsOpened;
  auto Conn = std::make_shared<LeafConnection>(m_Io);
  Conn->connect(Upstream->m_Address.m_Ip, Upstream->m_Address.m_Port,
                ConnectTimeout,
                [this, Alive = std::weak_ptr(m_Alive), Upstream,
                 Conn](const Result<Done, HttpError> &ConnectResult) {
                  if (Alive.expired())
                    return;
                  if (isOk(ConnectResult))
                    addIdle(Upstream, Conn, DefaultIdleTimeout, false);
                  else
                    --Upstream->m_OpenConnections;
                  startNext(Upstream);
                });
}

LeafRequestId LeafPool::send(const ListedLeaf &Target, HttpRequest Http,
                             Duration Timeout, Callback OnResponse) {
  const LeafPtr Upstream = leaf(Target);
  auto Item = std::make_shared<Request>();
  Item->m_Id = m_NextId++;
  Item->m_Http = std::move(Http);
  Item->m_Deadline = m_Timers.now() + Timeout;
  Item->m_OnResponse = std::move(OnResponse);
  m_Requests.emplace(Item->m_Id, std::pair(Upstream, Item));
  Upstream->m_QueuedRequests.push_back(Item);
  Item->m_Timer =
      m_Timers.after(Timeout, [this, Upstream, Weak = std::weak_ptr(Item)] {
        const auto ExpiredRequest = Weak.lock();
        if (!ExpiredRequest)
          return;
        if (const Connection Conn = ExpiredRequest->m_Connection) {
          Conn->timeOut();
          return;
        }
        std::erase(Upstream->m_QueuedRequests, ExpiredRequest);
        finish(ExpiredRequest, HttpError{HttpErrorCode::Timeout, false,
                                         "no free connection to the leaf"});
        startNext(Upstream);
      });
  startNext(Upstream);
  return Item->m_Id;
}

bool LeafPool::cancel(LeafRequestId Id) {
  auto Node = m_Requests.extract(Id);
  if (Node.empty())
    return true;
  const auto [Upstream, Item] = Node.mapped();
  Item->m_OnResponse = nullptr;
  Item->m_Timer.reset();
  std::erase(Upstream->m_QueuedRequests, Item);
  if (Item->m_Connection)
    Item->m_Connection->close();
  return Item->m_MaybeSent;
}

void LeafPool::endQueued(const LeafId &Id) {
  const auto Found = m_Leafs.find(Id);
  if (Found == m_Leafs.end())
    return;
  const auto Queued = std::exchange(Found->second->m_QueuedRequests, {});
  for (const auto &Item : Queued)
    finish(Item, HttpError{HttpErrorCode::Timeout, false,
                           "the leaf gets no more requests"});
}

bool LeafPool::hasIdleConnection(const ListedLeaf &Leaf) const {
  const auto Found = m_Leafs.find(Leaf.m_Id);
  if (Found == m_Leafs.end() || Found->second->m_Address != Leaf.m_Address)
    return false;
  const auto &Idle = Found->second->m_IdleConnections;
  return !Idle.empty() && Idle.back().m_Connection->usable() &&
         m_Timers.now() - Idle.back().m_IdleSince < Idle.back().m_IdleTimeout;
}

void LeafPool::disconnectIdle(const ListedLeaf &Leaf) {
  const auto Found = m_Leafs.find(Leaf.m_Id);
  if (Found == m_Leafs.end())
    return;
  while (!Found->second->m_IdleConnections.empty())
    closeOneIdle(*Found->second);
}

void LeafPool::startNext(const LeafPtr &Upstream) {
  while (!Upstream->m_QueuedRequests.empty()) {
    const auto Item = Upstream->m_QueuedRequests.front();
    // Its timer ends the request, which must not be sent in the meantime.
    if (Item->m_Deadline - m_Timers.now() < MinTimeout)
      return;
    const std::string RequestId(Item->m_Http[m_RequestIdHeader]);
    if (const Connection Conn = takeIdle(*Upstream, RequestId)) {
      Upstream->m_QueuedRequests.pop_front();
      sendOn(Upstream, Item, Conn);
      continue;
    }
    if (Upstream->m_OpenConnections >= connectionLimit(Upstream->m_Service))
      closeOneIdle(*Upstream);
    if (Upstream->m_OpenConnections < connectionLimit(Upstream->m_Service)) {
      Upstream->m_QueuedRequests.pop_front();
      openConnection(Upstream, Item);
    } else {
      return;
    }
  }
}

LeafPool::Connection LeafPool::takeIdle(Leaf &Upstream,
                                        const std::string &RequestId) {
  auto &Idle = Upstream.m_IdleConnections;
  for (std::size_t I = Idle.size(); I-- > 0;) {
    Connection Conn = Idle[I].m_Connection;
    if (!Conn->usable() ||
        m_Timers.now() - Idle[I].m_IdleSince >= Idle[I].m_IdleTimeout) {
      Idle.erase(Idle.begin() + static_cast<std::ptrdiff_t>(I));
      Conn->onIdleClose(nullptr);
      Conn->close();
      --Upstream.m_OpenConnections;
      continue;
    }
    const bool HasFailed = !RequestId.empty() &&
                           std::ranges::find(Conn->m_FailedRequests, RequestId,
                                             &FailedRequest::m_RequestId) !=
                               Conn->m_FailedRequests.end();
    if (HasFailed)
      continue;
    Idle.erase(Idle.begin() + static_cast<std::ptrdiff_t>(I));
    return Conn;
  }
  return nullptr;
}

void LeafPool::closeOneIdle(Leaf &Upstream) {
  if (Upstream.m_IdleConnections.empty())
    return;
  const Connection Conn = Upstream.m_IdleConnections.front().m_Connection;
  Upstream.m_IdleConnections.erase(Upstream.m_IdleConnections.begin());
  Conn->onIdleClose(nullptr);
  Conn->close();
  --Upstream.m_OpenConnections;
}

void LeafPool::openConnection(const LeafPtr &Upstream,
                              const std::shared_ptr<Request> &Item) {
  auto Conn = std::make_shared<LeafConnection>(m_Io);
  Item->m_Connection = Conn;
  ++Upstream->m_OpenConnections;
  ++m_ConnectionsOpened;
  const Duration RemainingTime =
      std::max<Duration>(Item->m_Deadline - m_Timers.now(), MinTimeout);
  Conn->connect(Upstream->m_Address.m_Ip, Upstream->m_Address.m_Port,
                std::min<Duration>(RemainingTime, ConnectTimeout),
                [this, Alive = std::weak_ptr(m_Alive), Upstream, Item,
                 Conn](const Result<Done, HttpError> &ConnectResult) {
                  if (Alive.expired())
                    return;
                  // Cancelling a request closes its connection, which is
                  // reported here as a failure.
                  if (isOk(ConnectResult)) {
                    sendOn(Upstream, Item, Conn);
                    return;
                  }
                  --Upstream->m_OpenConnections;
                  finish(Item, errorOf(ConnectResult));
                  startNext(Upstream);
                });
}

void LeafPool::sendOn(const LeafPtr &Upstream,
                      const std::shared_ptr<Request> &Item,
                      const Connection &Conn) {
  Item->m_Connection = Conn;
  Item->m_MaybeSent = true;
  Conn->onIdleClose(nullptr);
  const auto UsualBytes = m_UsualBytes.find(Upstream->m_Service);
  Conn->setUsualBytes(UsualBytes == m_UsualBytes.end() ? 0
                                                       : UsualBytes->second);
  std::string RequestId(Item->m_Http[m_RequestIdHeader]);
  Conn->send(
      std::move(Item->m_Http), std::nullopt,
      [this, Alive = std::weak_ptr(m_Alive), Upstream, Item, Conn,
       RequestId](Result<HttpResponse, HttpError> Outcome) {
        if (Alive.expired())
          return;
        if (isOk(Outcome) &&
            !belongsToRequest(valueOf(Outcome), m_RequestIdHeader, RequestId)) {
          Conn->close();
          Outcome = HttpError{HttpErrorCode::BadResponse, true,
                              "response without the id of the request"};
        }
        if (isOk(Outcome) && valueOf(Outcome).result_int() / 100 == 2)
          recordBytes(Upstream->m_Service, valueOf(Outcome));
        else if (isOk(Outcome))
          recordFailure(*Conn, valueOf(Outcome), RequestId, Item->m_Deadline);
        if (Conn->usable()) {
          addIdle(Upstream, Conn,
                  isOk(Outcome) ? announcedIdleTimeout(valueOf(Outcome))
                                : DefaultIdleTimeout,
                  true);
        } else {
          --Upstream->m_OpenConnections;
        }
        finish(Item, std::move(Outcome));
        startNext(Upstream);
      });
}

void LeafPool::recordFailure(LeafConnection &Conn, const HttpResponse &Response,
                             const std::string &RequestId,
                             TimePoint Deadline) const {
  // Without an id, a late copy would pass for the response to any request. A
  // health probe has none, and a leaf that is full refuses it like a request.
  if (RequestId.empty() || Response.find(m_RequestIdHeader) == Response.end())
    return Conn.close();
  auto &Failed = Conn.m_FailedRequests;
  std::erase_if(Failed, [&](const FailedRequest &Item) {
    return Item.m_Deadline <= m_Timers.now();
  });
  Failed.push_back({RequestId, Deadline});
  if (Failed.size() > MaxFailedRequests)
    Conn.close();
}

void LeafPool::addIdle(const LeafPtr &Upstream, const Connection &Conn,
                       Duration IdleTimeout, bool CarriedRequest) {
  const Duration SafeIdleTimeout =
      std::max<Duration>(IdleTimeout - IdleCloseMargin, IdleTimeout / 2);
  Upstream->m_IdleConnections.push_back(
      {Conn, m_Timers.now(), SafeIdleTimeout, CarriedRequest});
  Conn->onIdleClose([this, Alive = std::weak_ptr(m_Alive),
                     Weak = std::weak_ptr(Upstream), ClosedConn = Conn.get()] {
    const auto Leaf = Weak.lock();
    if (Alive.expired() || !Leaf)
      return;
    const auto Idle = std::find_if(
        Leaf->m_IdleConnections.begin(), Leaf->m_IdleConnections.end(),
        [&](const IdleConnection &Item) {
          return Item.m_Connection.get() == ClosedConn;
        });
    if (Idle == Leaf->m_IdleConnections.end())
      return;
    const bool HadCarriedRequest = Idle->m_CarriedRequest;
    Leaf->m_IdleConnections.erase(Idle);
    --Leaf->m_OpenConnections;
    if (m_OnIdleClose && HadCarriedRequest)
      m_OnIdleClose(Leaf->m_Id);
  });
}

void LeafPool::recordBytes(const ServiceName &Service,
                           const HttpResponse &Response) {
  std::size_t &Usual = m_UsualBytes[Service];
  Usual = std::max(Usual - Usual / UsualBytesDecay, Response.body().size());
}

void LeafPool::finish(const std::shared_ptr<Request> &Item,
                      Result<HttpResponse, HttpError> Outcome) {
  m_Requests.erase(Item->m_Id);
  Item->m_Timer.reset();
  if (auto OnResponse = std::exchange(Item->m_OnResponse, nullptr))
    OnResponse(std::move(Outcome));
}

void LeafPool::setConnectionLimit(const ServiceName &Service,
                                  std::uint32_t Connections) {
  m_ConnectionLimits[Service] = std::max<std::uint32_t>(Connections, 1);
}

std::uint32_t LeafPool::connectionLimit(const ServiceName &Service) const {
  const auto Limit = m_ConnectionLimits.find(Service);
  return Limit == m_ConnectionLimits.end() ? DefaultConnectionLimit
                                           : Limit->second;
}

void LeafPool::closeIdle() {
  for (auto It = m_Leafs.begin(); It != m_Leafs.end();) {
    Leaf &Upstream = *It->second;
    std::erase_if(Upstream.m_IdleConnections, [&](const IdleConnection &Item) {
      if (m_Timers.now() - Item.m_IdleSince < Item.m_IdleTimeout)
        return false;
      Item.m_Connection->onIdleClose(nullptr);
      Item.m_Connection->close();
      --Upstream.m_OpenConnections;
      return true;
    });
    It = Upstream.m_OpenConnections == 0 && Upstream.m_QueuedRequests.empty()
             ? m_Leafs.erase(It)
             : std::next(It);
  }
}

std::size_t LeafPool::connections() const {
  std::size_t Open = 0;
  for (const auto &[Id, Upstream] : m_Leafs)
    Open += Upstream->m_OpenConnections;
  return Open;
}

} // namespace ragwortdrift
