#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/entry_control.hpp"

namespace ragwortdrift {

namespace {

/// Interval at which the clocks of core VMs are read. At a drift of 1% the
/// bound on a time is then at most 50 ms early.
constexpr std::chrono::seconds ClockReadInterval{5};
/// A later answer would give no better bound than the former one.
constexpr std::chrono::milliseconds ClockReadTimeout{500};
/// Interval between checks whether the confirmation is late.
constexpr std::chrono::milliseconds ConfirmationCheckInterval{200};
/// Share of the withdrawal time from which the age of the confirmation is
/// logged. Requests are refused from 0.8 of it on.
constexpr double LateConfirmationShare = 0.5;

} // namespace

void EntryControl::startConfirmation() {
  if (!m_Settings.m_StrictWithdrawal)
    return;
  m_Periodic.push_back(m_Timers.every(ClockReadInterval, [this] {
    for (const auto &[Address, CoreWatch] : m_Watches)
      if (m_Selection.isConnected(Address))
        readClock(Address, CoreWatch.m_OpenedAt);
  }));
  m_Periodic.push_back(
      m_Timers.every(ConfirmationCheckInterval, [this] { logConfirmation(); }));
}

void EntryControl::readClock(const std::string &Address, TimePoint OpenedAt) {
  const auto Target = parseEndpoint(Address);
  if (!Target)
    return;
  const TimePoint Sent = m_BootClock();
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/clock", {}, ClockReadTimeout,
      [this, Address, OpenedAt, Sent](const std::string &Message) {
        const auto Reply = decode<ClockReply>(Message);
        if (!isOk(Reply)) {
          logEvent(LogSeverity::Warning, "core.bad_clock", {{"core", Address}});
          return;
        }
        // The core VM may have restarted, and its clock with it, since the
        // call.
        const auto Position = m_Watches.find(Address);
        if (Position != m_Watches.end() &&
            Position->second.m_OpenedAt == OpenedAt)
          Position->second.m_Clock.addAnchor(Sent, {valueOf(Reply).m_Now});
      },
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

void EntryControl::relateClocks(const std::string &Address, Watch &CoreWatch,
                                const CoreReport &Report) {
  const RemoteTime Stamp{Report.m_SentAt};
  CoreWatch.m_Clock.addReceipt(m_BootClock(), Stamp);
  if (CoreWatch.m_Clock.isAnchored())
    return;
  CoreWatch.m_Clock.addAnchor(CoreWatch.m_OpenedAt, Stamp);
  // The time to connect makes the first anchor early.
  if (m_Settings.m_StrictWithdrawal)
    readClock(Address, CoreWatch.m_OpenedAt);
}

TimePoint EntryControl::sendingTime(const Watch &CoreWatch,
                                    const CoreReport &Report) const {
  const TimePoint Now = m_BootClock();
  return m_Timers.now() -
         (Now - CoreWatch.m_Clock.estimate({Report.m_SentAt}, Now));
}

void EntryControl::confirmAccounts(const Watch &CoreWatch,
                                   const CoreReport &Report) {
  if (Report.m_ConfirmedAge)
    if (const auto Time = CoreWatch.m_Clock.lowerBound(
            {Report.m_SentAt - *Report.m_ConfirmedAge}))
      m_Confirmations.add(*Time, Report.m_Revision);
  // An unreadable configuration may withdraw what the one in force allows.
  if (!m_Routes || m_ConfigIsUnreadable)
    return;
  const auto Time = m_Confirmations.latest(m_Revision);
  if (!Time || (m_AccountsConfirmedAt && *m_AccountsConfirmedAt >= *Time))
    return;
  m_AccountsConfirmedAt = Time;
  m_Updates.m_AccountsConfirmed(*Time);
}

void EntryControl::logConfirmation() {
  if (!m_Routes)
    return;
  const Duration Limit(static_cast<Duration::rep>(
      LateConfirmationShare *
      static_cast<double>(m_Settings.m_KeyWithdrawal.count())));
  const auto Age =
      m_AccountsConfirmedAt
          ? std::optional<Duration>(m_BootClock() - *m_AccountsConfirmedAt)
          : std::nullopt;
  const bool IsLate = !Age || *Age > Limit;
  if (std::exchange(m_ConfirmationIsLate, IsLate) == IsLate)
    return;
  logEvent(IsLate ? LogSeverity::Warning : LogSeverity::Info,
           IsLate ? "accounts.confirmation_late"
                  : "accounts.confirmation_current",
           {{"age_ms", Age ? toMillis(*Age) : -1.0},
            {"revision", m_Revision},
            {"newest", m_NewestRevision}});
}

} // namespace ragwortdrift
