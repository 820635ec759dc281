#include "ragwortdrift/node/leaf_connections.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace {

/// A new connection costs a leaf up to 6 ms; an attempt that takes far longer
/// has failed.
constexpr std::chrono::milliseconds ConnectTimeout{250};
constexpr const char *AttemptIdField = "Rd-Attempt-Id";

} // namespace

void LeafConnections::Call::cancel() {
  m_Callback = nullptr;
  if (auto Connection = std::exchange(m_Connection, nullptr))
    Connection->close();
}

std::shared_ptr<LeafConnections::Call>
LeafConnections::start(HttpRequest Request, Duration Timeout,
                       Callback OnResponse) {
  auto OpenCall = std::make_shared<Call>();
  OpenCall->m_Callback = std::move(OnResponse);
  if (auto Idle = takeIdle()) {
    OpenCall->m_Connection = std::move(Idle->m_Connection);
    OpenCall->m_OpenedAt = Idle->m_OpenedAt;
    send(OpenCall, std::move(Request), Timeout, Idle->m_IsNew);
    return OpenCall;
  }
  if (m_Connections.size() >= m_MaxConnections) {
    boost::asio::post(m_Io, [OpenCall] {
      if (auto Callback = std::exchange(OpenCall->m_Callback, nullptr))
        Callback(HttpError{HttpErrorCode::ConnectFailed, false,
                           "all connections allowed for the leaf are in use"});
    });
    return OpenCall;
  }
  auto Connection = std::make_shared<HttpClientConnection>(m_Io);
  m_Connections.push_back(Connection);
  OpenCall->m_Connection = Connection;
  auto OnConnect = [Self = shared_from_this(), OpenCall, Connection,
                    Request = std::move(Request),
                    Timeout](const Result<Done, HttpError> &Outcome) mutable {
    if (!isOk(Outcome)) {
      Self->remove(Connection);
      if (auto Callback = std::exchange(OpenCall->m_Callback, nullptr))
        Callback(errorOf(Outcome));
      return;
    }
    OpenCall->m_OpenedAt = Self->m_Timers.now();
    if (OpenCall->m_Callback)
      Self->send(OpenCall, std::move(Request), Timeout, true);
    else
      Self->remove(Connection);
  };
  Connection->connect(m_Address.m_Ip, m_Address.m_Port,
                      std::min<Duration>(ConnectTimeout, Timeout),
                      std::move(OnConnect));
  return OpenCall;
}

void LeafConnections::send(const std::shared_ptr<Call> &OpenCall,
                           HttpRequest Request, Duration Timeout,
                           bool IsNewConnection) {
  auto Connection = OpenCall->m_Connection;
  const std::string AttemptId = std::to_string(++m_RequestCount);
  Request.set(AttemptIdField, AttemptId);
  Connection->send(
      std::move(Request), Timeout,
      [Self = shared_from_this(), OpenCall, Connection, AttemptId,
       IsNewConnection](Result<HttpResponse, HttpError> Outcome) {
        OpenCall->m_Connection = nullptr;
        if (isOk(Outcome)) {
          const auto ReturnedId = valueOf(Outcome)[AttemptIdField];
          if (ReturnedId != AttemptId)
            Connection->close();
          if (ReturnedId != AttemptId &&
              !(ReturnedId.empty() && IsNewConnection))
            Outcome = HttpError{HttpErrorCode::BadResponse, true,
                                "response without the id of the request"};
        }
        OpenCall->m_IsConnectionKept = Connection->usable();
        if (Connection->usable())
          Self->m_IdleConnections.push_back(
              {Connection, *OpenCall->m_OpenedAt});
        else
          Self->remove(Connection);
        if (auto Callback = std::exchange(OpenCall->m_Callback, nullptr))
          Callback(std::move(Outcome));
      });
}

void LeafConnections::preconnect(std::size_t Count) {
  while (m_IdleConnections.size() + m_Preconnecting < Count &&
         m_Connections.size() < m_MaxConnections) {
    auto Connection = std::make_shared<HttpClientConnection>(m_Io);
    m_Connections.push_back(Connection);
    ++m_Preconnecting;
    Connection->connect(m_Address.m_Ip, m_Address.m_Port, ConnectTimeout,
                        [Self = shared_from_this(),
                         Connection](const Result<Done, HttpError> &Outcome) {
                          --Self->m_Preconnecting;
                          if (isOk(Outcome))
                            Self->m_IdleConnections.push_back(
                                {Connection, Self->m_Timers.now(), true});
                          else
                            Self->remove(Connection);
                        });
  }
}

void LeafConnections::closeIdle() {
  for (const OpenConnection &Idle : std::exchange(m_IdleConnections, {})) {
    Idle.m_Connection->close();
    remove(Idle.m_Connection);
  }
}

std::optional<LeafConnections::OpenConnection> LeafConnections::takeIdle() {
  while (!m_IdleConnections.empty()) {
    OpenConnection Last = std::move(m_IdleConnections.back());
    m_IdleConnections.pop_back();
    if (Last.m_Connection->usable())
      return Last;
    remove(Last.m_Connection);
  }
  return std::nullopt;
}

void LeafConnections::remove(
    const std::shared_ptr<HttpClientConnection> &Connection) {
  std::erase(m_Connections, Connection);
}

} // namespace ragwortdrift
