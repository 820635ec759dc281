#include "ragwortdrift/dispatch/leaf_pool.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>

namespace ragwortdrift {

namespace {

/// Time for a TCP connection within a region; a leaf needs a few milliseconds.
constexpr std::chrono::milliseconds ConnectTimeout{250};
/// A request with less time left is not sent.
constexpr std::chrono::milliseconds MinTimeout{1};
/// Connections of one leaf until its service's share is known.
constexpr std::uint32_t DefaultShare = 1;
/// Idle connections are closed this long before the leaf would close them, so
/// that no request meets a closing connection.
constexpr std::chrono::milliseconds KeepMargin{700};
/// How long an idle connection is kept when the leaf states no time.
constexpr std::chrono::seconds DefaultKeep{20};

/// The time in `Keep-Alive: timeout=SECONDS`.
Duration statedKeep(const HttpResponse &Response) {
  const auto Field = Response[boost::beast::http::field::keep_alive];
  const std::string_view Text(Field.data(), Field.size());
  const auto At = Text.find("timeout=");
  if (At == std::string_view::npos)
    return DefaultKeep;
  unsigned Seconds = 0;
  const char *Begin = Text.data() + At + std::string_view("timeout=").size();
  const auto [End, Error] =
      std::from_chars(Begin, Text.data() + Text.size(), Seconds);
  if (Error != std::errc{} || End == Begin)
    return DefaultKeep;
  return std::chrono::seconds(Seconds);
}

/// Whether an answer names another request than the one sent.
bool isForeign(const HttpResponse &Response, const std::string &IdHeader,
               const std::string &RequestId) {
  const auto Field = Response.find(IdHeader);
  return !RequestId.empty() && Field != Response.end() &&
         Field->value() != RequestId;
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
    Upstream->m_Service = Listed.m_Service;
    Upstream->m_Address = Listed.m_Address;
  }
  return Upstream;
}

void LeafPool::warm(const ListedLeaf &Target) {
  const LeafPtr Upstream = leaf(Target);
  if (Upstream->m_Open > 0)
    return;
  ++Upstream->m_Open;
  ++m_Opened;
  auto Fresh = std::make_shared<HttpClientConnection>(m_Io);
  Fresh->connect(Upstream->m_Address.m_Ip, Upstream->m_Address.m_Port,
                 ConnectTimeout,
                 [this, Alive = std::weak_ptr(m_Alive), Upstream,
                  Fresh](const Result<Done, HttpError> &Connected) {
                   if (Alive.expired())
                     return;
                   if (isOk(Connected))
                     keep(Upstream, Fresh, DefaultKeep, false);
                   else
                     --Upstream->m_Open;
                   startNext(Upstream);
                 });
}

SendId LeafPool::send(const ListedLeaf &Target, HttpRequest Http,
                      Duration Timeout, Callback Fn) {
  const LeafPtr Upstream = leaf(Target);
  auto Item = std::make_shared<Request>();
  Item->m_Id = m_NextId++;
  Item->m_Http = std::move(Http);
  Item->m_Deadline = m_Timers.now() + Timeout;
  Item->m_Fn = std::move(Fn);
  m_Requests.emplace(Item->m_Id, std::pair(Upstream, Item));
  Upstream->m_Waiting.push_back(Item);
  Item->m_Timer =
      m_Timers.after(Timeout, [this, Upstream, Weak = std::weak_ptr(Item)] {
        const auto Late = Weak.lock();
        if (!Late || Late->m_Connection)
          return;
        std::erase(Upstream->m_Waiting, Late);
        finish(Late, HttpError{HttpErrorCode::Timeout, false, "no slot"});
        startNext(Upstream);
      });
  startNext(Upstream);
  return Item->m_Id;
}

void LeafPool::cancel(SendId Id) {
  auto Node = m_Requests.extract(Id);
  if (Node.empty())
    return;
  const auto [Upstream, Item] = Node.mapped();
  Item->m_Fn = nullptr;
  Item->m_Timer.reset();
  std::erase(Upstream->m_Waiting, Item);
  if (Item->m_Connection)
    Item->m_Connection->close();
}

void LeafPool::startNext(const LeafPtr &Upstream) {
  while (!Upstream->m_Waiting.empty()) {
    const auto Item = Upstream->m_Waiting.front();
    // Its timer ends it; it must not be sent in the meantime.
    if (Item->m_Deadline - m_Timers.now() < MinTimeout)
      return;
    if (const Connection Kept = takeIdle(*Upstream)) {
      Upstream->m_Waiting.pop_front();
      sendOn(Upstream, Item, Kept);
    } else if (Upstream->m_Open < share(Upstream->m_Service)) {
      Upstream->m_Waiting.pop_front();
      openConnection(Upstream, Item);
    } else {
      return;
    }
  }
}

LeafPool::Connection LeafPool::takeIdle(Leaf &Upstream) {
  while (!Upstream.m_Idle.empty()) {
    const Idle Last = std::move(Upstream.m_Idle.back());
    Upstream.m_Idle.pop_back();
    if (Last.m_Connection->usable() &&
        m_Timers.now() - Last.m_Since < Last.m_KeepFor)
      return Last.m_Connection;
    Last.m_Connection->onIdleEnd(nullptr);
    Last.m_Connection->close();
    --Upstream.m_Open;
  }
  return nullptr;
}

void LeafPool::openConnection(const LeafPtr &Upstream,
                              const std::shared_ptr<Request> &Item) {
  auto Fresh = std::make_shared<HttpClientConnection>(m_Io);
  Item->m_Connection = Fresh;
  ++Upstream->m_Open;
  ++m_Opened;
  const Duration Left =
      std::max<Duration>(Item->m_Deadline - m_Timers.now(), MinTimeout);
  Fresh->connect(Upstream->m_Address.m_Ip, Upstream->m_Address.m_Port,
                 std::min<Duration>(Left, ConnectTimeout),
                 [this, Alive = std::weak_ptr(m_Alive), Upstream, Item,
                  Fresh](const Result<Done, HttpError> &Connected) {
                   if (Alive.expired())
                     return;
                   // A cancelled request has closed its connection, which is
                   // reported as a failure.
                   if (isOk(Connected)) {
                     sendOn(Upstream, Item, Fresh);
                     return;
                   }
                   --Upstream->m_Open;
                   finish(Item, errorOf(Connected));
                   startNext(Upstream);
                 });
}

void LeafPool::sendOn(const LeafPtr &Upstream,
                      const std::shared_ptr<Request> &Item,
                      const Connection &On) {
  Item->m_Connection = On;
  Item->m_Timer.reset();
  On->onIdleEnd(nullptr);
  const Duration Left =
      std::max<Duration>(Item->m_Deadline - m_Timers.now(), MinTimeout);
  std::string RequestId(Item->m_Http[m_RequestIdHeader]);
  On->send(std::move(Item->m_Http), Left,
           [this, Alive = std::weak_ptr(m_Alive), Upstream, Item, On,
            RequestId](Result<HttpResponse, HttpError> Outcome) {
             if (Alive.expired())
               return;
             if (isOk(Outcome) &&
                 isForeign(valueOf(Outcome), m_RequestIdHeader, RequestId)) {
               On->close();
               Outcome = HttpError{HttpErrorCode::BadResponse, true,
                                   "answer to another request"};
             }
             if (On->usable()) {
               keep(Upstream, On,
                    isOk(Outcome) ? statedKeep(valueOf(Outcome)) : DefaultKeep,
                    true);
             } else {
               --Upstream->m_Open;
             }
             finish(Item, std::move(Outcome));
             startNext(Upstream);
           });
}

void LeafPool::keep(const LeafPtr &Upstream, const Connection &Kept,
                    Duration KeepFor, bool Used) {
  const Duration Use = std::max<Duration>(KeepFor - KeepMargin, KeepFor / 2);
  Upstream->m_Idle.push_back({Kept, m_Timers.now(), Use, Used});
  Kept->onIdleEnd([this, Alive = std::weak_ptr(m_Alive),
                   Weak = std::weak_ptr(Upstream), Ended = Kept.get()] {
    const auto Leaf = Weak.lock();
    if (Alive.expired() || !Leaf)
      return;
    const auto Found = std::find_if(
        Leaf->m_Idle.begin(), Leaf->m_Idle.end(),
        [&](const Idle &Held) { return Held.m_Connection.get() == Ended; });
    if (Found == Leaf->m_Idle.end())
      return;
    const bool WasUsed = Found->m_Used;
    Leaf->m_Idle.erase(Found);
    --Leaf->m_Open;
    if (m_OnIdleEnd && WasUsed)
      m_OnIdleEnd(Leaf->m_Id);
  });
}

void LeafPool::finish(const std::shared_ptr<Request> &Item,
                      Result<HttpResponse, HttpError> Outcome) {
  m_Requests.erase(Item->m_Id);
  Item->m_Timer.reset();
  if (auto Fn = std::exchange(Item->m_Fn, nullptr))
    Fn(std::move(Outcome));
}

void LeafPool::setShare(const ServiceName &Service, std::uint32_t Connections) {
  m_Shares[Service] = std::max<std::uint32_t>(Connections, 1);
}

std::uint32_t LeafPool::share(const ServiceName &Service) const {
  const auto Found = m_Shares.find(Service);
  return Found == m_Shares.end() ? DefaultShare : Found->second;
}

void LeafPool::closeIdle() {
  for (auto It = m_Leafs.begin(); It != m_Leafs.end();) {
    Leaf &Upstream = *It->second;
    std::erase_if(Upstream.m_Idle, [&](const Idle &Held) {
      if (m_Timers.now() - Held.m_Since < Held.m_KeepFor)
        return false;
      Held.m_Connection->onIdleEnd(nullptr);
      Held.m_Connection->close();
      --Upstream.m_Open;
      return true;
    });
    It = Upstream.m_Open == 0 && Upstream.m_Waiting.empty() ? m_Leafs.erase(It)
                                                            : std::next(It);
  }
}

std::size_t LeafPool::connections() const {
  std::size_t Open = 0;
  for (const auto &[Id, Upstream] : m_Leafs)
    Open += Upstream->m_Open;
  return Open;
}

} // namespace ragwortdrift
