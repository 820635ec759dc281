#include "ragwortdrift/fleet/entry_control.hpp"

namespace ragwortdrift {

namespace {

/// Records that arrive later than this are offered again on the next
/// connection.
constexpr std::chrono::milliseconds CrashReportTimeout{500};

} // namespace

void EntryControl::sendCrashes(const std::vector<CrashRecord> &Records) {
  offerCrashes(m_Source, m_Crashes.merge(Records, m_Timers.now()));
}

void EntryControl::takeCrashes(const std::vector<CrashRecord> &Records) {
  auto News = m_Crashes.merge(Records, m_Timers.now());
  if (!News.empty())
    m_Updates.m_Crashes(std::move(News));
}

void EntryControl::offerCrashes(const std::string &Address,
                                std::vector<CrashRecord> Records) {
  const auto Target = parseEndpoint(Address);
  if (!Target || Records.empty())
    return;
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/crashes",
      encode(CrashReport{false, std::move(Records)}), CrashReportTimeout,
      [](const std::string &) {},
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

} // namespace ragwortdrift
