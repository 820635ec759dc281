#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/entry_control.hpp"

namespace ragwortdrift {

namespace {

/// The next report contains all that a late one does.
constexpr std::chrono::milliseconds ReportTimeout{500};

} // namespace

void EntryControl::sendRolloutReport(const RolloutReport &Report) {
  const auto Target = parseEndpoint(m_Source);
  if (!Target)
    return;
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/rollouts", encode(Report), ReportTimeout,
      [](const std::string &) {},
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

void EntryControl::applyRollouts(const Rollouts &Current) {
  if (Current == m_Rollouts)
    return;
  m_Rollouts = Current;
  for (const auto &[Service, Target] : m_Rollouts)
    if (Target.m_LastChange == m_Revision)
      logEvent(LogSeverity::Info, "rollout.taken",
               {{"service", Service},
                {"target", Target.m_TargetVersion},
                {"phase", Target.m_Phase},
                {"revision", m_Revision}});
  m_Updates.m_Rollouts(m_Rollouts);
}

void EntryControl::confirmRollouts(const CoreReport &Report) {
  if (!m_Rollouts.empty() && Report.m_IsUpToDate &&
      Report.m_Revision == m_Revision && m_NewestRevision <= m_Revision)
    m_Updates.m_RolloutsConfirmed();
}

} // namespace ragwortdrift
