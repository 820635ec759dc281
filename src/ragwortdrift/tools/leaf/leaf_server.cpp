#include "ragwortdrift/tools/leaf/leaf_server.hpp"

#include "ragwortdrift/tools/common/clock.hpp"
#include "ragwortdrift/tools/leaf/leaf_session.hpp"

#include <algorithm>
#include <set>

namespace ragwortdrift::tools {

namespace {

using boost::system::error_code;

constexpr std::array Commands{"cold", "warm",    "silent", "leaving",
                              "down", "restart", "reset"};

bool isCommand(std::string_view Key) {
  return std::ranges::find(Commands, Key) != Commands.end();
}

} // namespace

LeafServer::LeafServer(boost::asio::io_context &Io, LeafOptions Options,
                       std::uint64_t Seed, RecordFile *Records)
    : m_Io(Io), m_Acceptor(Io), m_Model(std::move(Options), Seed),
      m_RecordFile(Records) {
  recordState();
}

Result<Done, OptionError> LeafServer::listen() {
  error_code Code;
  const auto &Address = options().m_Address;
  m_Acceptor.open(Address.protocol(), Code);
  if (!Code)
    m_Acceptor.set_option(boost::asio::socket_base::reuse_address(true), Code);
  if (!Code)
    m_Acceptor.bind(Address, Code);
  if (!Code)
    m_Acceptor.listen(boost::asio::socket_base::max_listen_connections, Code);
  if (Code)
    return OptionError{OptionErrorCode::BadValue, "leaf " + options().m_Name,
                       "address", Code.message()};
  accept();
  return Done{};
}

void LeafServer::accept() {
  m_Acceptor.async_accept([this](error_code Code,
                                 boost::asio::ip::tcp::socket Socket) {
    if (Code == boost::asio::error::operation_aborted)
      return;
    if (!Code) {
      if (m_Down || m_Sessions.size() >= options().m_Connections) {
        ++m_Model.counters().m_ConnectionsRefused;
        error_code Ignored;
        Socket.close(Ignored);
      } else {
        auto Session = std::make_shared<LeafSession>(*this, std::move(Socket));
        m_Sessions.insert(Session);
        Session->start(
            fromMillis(options().m_ConnectionCostMs + 2 * options().m_DelayMs));
      }
    }
    accept();
  });
}

void LeafServer::startQueued() {
  while (!m_WaitingSessions.empty() && m_Model.hasFreeSlot()) {
    const auto Session = m_WaitingSessions.front();
    m_WaitingSessions.pop_front();
    m_Model.leaveQueue();
    Session->executeQueued();
  }
}

Result<Done, OptionError>
LeafServer::control(const boost::json::object &Message) {
  LeafOptions NewOptions = options();
  for (const auto &Item : Message) {
    if (isCommand(Item.key())) {
      if (!Item.value().is_bool())
        return OptionError{OptionErrorCode::BadValue, "", Item.key(),
                           "expected true or false"};
    } else if (Item.key() == "after_ms") {
      if (!Item.value().is_number())
        return OptionError{OptionErrorCode::BadValue, "", "after_ms",
                           "expected a number"};
    } else {
      auto SetResult = setOption(NewOptions, Item.key(), Item.value());
      if (!isOk(SetResult))
        return SetResult;
    }
  }
  const auto *Delay = Message.if_contains("after_ms");
  if (!Delay) {
    m_Model.setOptions(std::move(NewOptions));
    executeCommands(Message);
    return Done{};
  }
  auto Timer = std::make_shared<boost::asio::steady_timer>(
      m_Io, fromMillis(Delay->to_number<double>()));
  boost::json::object DelayedMessage = Message;
  DelayedMessage.erase("after_ms");
  Timer->async_wait([this, Timer, DelayedMessage](error_code Code) {
    if (!Code)
      (void)control(DelayedMessage);
  });
  return Done{};
}

void LeafServer::executeCommands(const boost::json::object &Message) {
  const auto IsSet = [&](std::string_view Key) {
    const auto *Value = Message.if_contains(Key);
    return Value && Value->as_bool();
  };
  const TimePoint Now = steadyNow();
  if (IsSet("reset")) {
    m_Records.clear();
    m_Model.resetCounters();
    m_WrongGroup = 0;
  }
  if (IsSet("cold"))
    m_Model.startColdPhase(Now);
  if (IsSet("warm"))
    m_Model.endColdPhase(Now);
  if (IsSet("silent"))
    for (const auto &Session : m_Sessions)
      Session->stopResponding();
  if (const auto *Leaving = Message.if_contains("leaving"))
    m_Model.setLeaving(Leaving->as_bool(), Now);
  if (const auto *Down = Message.if_contains("down")) {
    m_Down = Down->as_bool();
    if (m_Down)
      closeSessions();
  }
  if (IsSet("restart")) {
    closeSessions();
    m_Model.renewBootId();
  }
  recordState();
}

void LeafServer::closeSessions() {
  // Queued requests are closed first; otherwise a slot that becomes free would
  // start them.
  const auto WaitingSessions = m_WaitingSessions;
  for (const auto &Session : WaitingSessions)
    Session->close();
  // close() removes the session from the set.
  const auto Sessions = m_Sessions;
  for (const auto &Session : Sessions)
    Session->close();
}

void LeafServer::recordState() {
  const TimePoint Now = steadyNow();
  const char *Status =
      m_Model.isLeaving() ? "leaving" : (m_Model.isCold() ? "cold" : "ok");
  m_History.push_back({Now, Status, m_Model.load()});
  const TimePoint Oldest = Now - fromMillis(std::max(options().m_HealthLagMs,
                                                     options().m_LoadLagMs));
  while (m_History.size() > 1 && m_History[1].m_Time <= Oldest)
    m_History.pop_front();
}

const LeafServer::State &LeafServer::stateWithLag(double LagMs) const {
  const TimePoint Time = steadyNow() - fromMillis(LagMs);
  const State *Match = &m_History.front();
  for (const State &Candidate : m_History)
    if (Candidate.m_Time <= Time)
      Match = &Candidate;
  return *Match;
}

boost::json::object LeafServer::health() const {
  switch (options().m_Health) {
  case HealthMode::AlwaysOk:
    return {{"status", "ok"}};
  case HealthMode::AlwaysDown:
    return {{"status", "down"}};
  case HealthMode::Honest:
    break;
  }
  return {{"status", stateWithLag(options().m_HealthLagMs).m_Status}};
}

boost::json::object LeafServer::load() const {
  if (options().m_LoadReported >= 0)
    return {{"load", options().m_LoadReported}};
  return {{"load", stateWithLag(options().m_LoadLagMs).m_Load}};
}

boost::json::object LeafServer::summary() const {
  boost::json::object Summary = toJson(m_Model.counters(), steadyNow());
  Summary["leaf"] = options().m_Name;
  Summary["service"] = options().m_Service;
  Summary["group"] = options().m_Group;
  Summary["domain"] = options().m_Domain;
  Summary["cold"] = m_Model.isCold();
  Summary["connections"] = m_Sessions.size();
  Summary["wrong_group"] = m_WrongGroup;
  Summary["rate"] = options().rate();
  return Summary;
}

boost::json::array LeafServer::records() const {
  boost::json::array Lines;
  Lines.reserve(m_Records.size());
  for (const ExecutionRecord &Record : m_Records)
    Lines.push_back(toJson(Record));
  return Lines;
}

} // namespace ragwortdrift::tools
