#include "ragwortdrift/node/leaf_connections.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace {

/// A new connection costs a leaf up to 6 ms; one that takes far longer is lost.
constexpr std::chrono::milliseconds ConnectTimeout{250};

} // namespace

void LeafConnections::Call::cancel() {
  m_Callback = nullptr;
  if (auto Connection = std::exchange(m_Connection, nullptr))
    Connection->close();
}

std::shared_ptr<LeafConnections::Call>
LeafConnections::start(HttpRequest Request, Duration Timeout, Callback Fn) {
  auto Pending = std::make_shared<Call>();
  Pending->m_Callback = std::move(Fn);
  if (auto Idle = takeIdle()) {
    Pending->m_Connection = std::move(Idle->m_Connection);
    Pending->m_OpenedAt = Idle->m_OpenedAt;
    run(Pending, std::move(Request), Timeout);
    return Pending;
  }
  if (m_Connections.size() >= m_MaxConnections) {
    boost::asio::post(m_Io, [Pending] {
      if (auto Callback = std::exchange(Pending->m_Callback, nullptr))
        Callback(HttpError{HttpErrorCode::ConnectFailed, false,
                           "the connection cap of the leaf is reached"});
    });
    return Pending;
  }
  auto Connection = std::make_shared<HttpClientConnection>(m_Io);
  m_Connections.push_back(Connection);
  Pending->m_Connection = Connection;
  auto OnConnect = [Self = shared_from_this(), Pending, Connection,
                    Request = std::move(Request),
                    Timeout](const Result<Done, HttpError> &Outcome) mutable {
    if (!isOk(Outcome)) {
      Self->forget(Connection);
      if (auto Callback = std::exchange(Pending->m_Callback, nullptr))
        Callback(errorOf(Outcome));
      return;
    }
    Pending->m_OpenedAt = Self->m_Timers.now();
    if (Pending->m_Callback)
      Self->run(Pending, std::move(Request), Timeout);
    else
      Self->forget(Connection);
  };
  Connection->connect(m_Address.m_Ip, m_Address.m_Port,
                      std::min<Duration>(ConnectTimeout, Timeout),
                      std::move(OnConnect));
  return Pending;
}

void LeafConnections::run(const std::shared_ptr<Call> &Pending,
                          HttpRequest Request, Duration Timeout) {
  auto Connection = Pending->m_Connection;
  Connection->send(
      std::move(Request), Timeout,
      [Self = shared_from_this(), Pending,
       Connection](Result<HttpResponse, HttpError> Outcome) {
        Pending->m_Connection = nullptr;
        if (Connection->usable())
          Self->m_Idle.push_back({Connection, *Pending->m_OpenedAt});
        else
          Self->forget(Connection);
        if (auto Callback = std::exchange(Pending->m_Callback, nullptr))
          Callback(std::move(Outcome));
      });
}

void LeafConnections::warm(std::size_t Count) {
  while (m_Idle.size() + m_Warming < Count &&
         m_Connections.size() < m_MaxConnections) {
    auto Connection = std::make_shared<HttpClientConnection>(m_Io);
    m_Connections.push_back(Connection);
    ++m_Warming;
    Connection->connect(
        m_Address.m_Ip, m_Address.m_Port, ConnectTimeout,
        [Self = shared_from_this(),
         Connection](const Result<Done, HttpError> &Outcome) {
          --Self->m_Warming;
          if (isOk(Outcome))
            Self->m_Idle.push_back({Connection, Self->m_Timers.now()});
          else
            Self->forget(Connection);
        });
  }
}

void LeafConnections::dropIdle() {
  for (const Open &Idle : std::exchange(m_Idle, {})) {
    Idle.m_Connection->close();
    forget(Idle.m_Connection);
  }
}

std::optional<LeafConnections::Open> LeafConnections::takeIdle() {
  while (!m_Idle.empty()) {
    Open Last = std::move(m_Idle.back());
    m_Idle.pop_back();
    if (Last.m_Connection->usable())
      return Last;
    forget(Last.m_Connection);
  }
  return std::nullopt;
}

void LeafConnections::forget(
    const std::shared_ptr<HttpClientConnection> &Connection) {
  std::erase(m_Connections, Connection);
}

} // namespace ragwortdrift
