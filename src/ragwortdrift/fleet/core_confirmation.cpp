#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"

namespace ragwortdrift {

namespace {

/// Interval at which a core VM has its state confirmed: a twentieth of the time
/// in which a withdrawal takes effect, since confirmation, report and clock
/// reading add up.
constexpr std::chrono::milliseconds ConfirmInterval{200};
/// A later answer would confirm an older time than the next one.
constexpr std::chrono::milliseconds ConfirmTimeout{500};
/// Age of the confirmation from which it is logged as late. An election takes
/// less.
constexpr std::chrono::seconds LateConfirmationAge{2};

} // namespace

void CoreNode::startConfirmation() {
  m_PeerServer.handle(
      "/clock", [this](const PeerRequest &, const StreamPtr &Response) {
        Response->send(encode(ClockReply{m_BootClock().m_SinceStart}));
        Response->finish();
      });
  m_PeerServer.handle(
      "/confirm", [this](const PeerRequest &, const StreamPtr &Response) {
        confirmAsLeader([this, Response](bool IsConfirmed) {
          if (IsConfirmed)
            Response->send(encode(ConfirmReply{m_State.m_Revision}));
          Response->finish();
        });
      });
  if (!m_Settings.m_StrictWithdrawal)
    return;
  m_Periodic.push_back(m_Timers.every(ConfirmInterval, [this] {
    if (isLeader())
      confirmAsLeader([](bool) {});
    else
      requestConfirmation();
    logConfirmation();
  }));
}

void CoreNode::confirmAsLeader(std::function<void(bool)> Callback) {
  if (!isLeader())
    return Callback(false);
  // Everything that was acknowledged before this time was committed before the
  // round begins, and is applied when the callback runs.
  const TimePoint Start = m_BootClock();
  m_Log->confirmLeadership(
      [this, Start, Callback = std::move(Callback)](
          const Result<LogIndex, ProposeError> &ConfirmResult) {
        if (isOk(ConfirmResult))
          m_Confirmations.add(Start, m_State.m_Revision);
        Callback(isOk(ConfirmResult));
      });
}

void CoreNode::requestConfirmation() {
  const auto Target = parseEndpoint(leaderAddress());
  if (!Target)
    return;
  const TimePoint Sent = m_BootClock();
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/confirm", {}, ConfirmTimeout,
      [this, Sent](const std::string &Message) {
        const auto Reply = decode<ConfirmReply>(Message);
        if (isOk(Reply))
          m_Confirmations.add(Sent, valueOf(Reply).m_Revision);
        else
          logEvent(LogSeverity::Warning, "peer.bad_message",
                   {{"path", "/confirm"}});
      },
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

std::optional<Duration> CoreNode::confirmedAge() {
  const auto Time = m_Confirmations.latest(m_State.m_Revision);
  if (!Time)
    return std::nullopt;
  return m_BootClock() - *Time;
}

void CoreNode::logConfirmation() {
  const auto Age = confirmedAge();
  const bool IsLate = !Age || *Age > LateConfirmationAge;
  if (std::exchange(m_ConfirmationIsLate, IsLate) == IsLate)
    return;
  logEvent(IsLate ? LogSeverity::Warning : LogSeverity::Info,
           IsLate ? "confirmation.late" : "confirmation.current",
           {{"age_ms", Age ? toMillis(*Age) : -1.0},
            {"revision", m_State.m_Revision},
            {"leader", leaderAddress()}});
}

} // namespace ragwortdrift
