#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"

namespace ragwortdrift {

namespace {

/// Time for which new records are collected, so that a crash of many leafs at
/// once does not cause a message for each. Short beside the second in which
/// callers send a failed request again.
constexpr std::chrono::milliseconds CrashCollectPeriod{10};

/// Appends Records as far as the bound of a message permits. The rest reaches
/// other core VMs with the next repetition.
void appendBounded(std::vector<CrashRecord> &Out,
                   const std::vector<CrashRecord> &Records) {
  for (const CrashRecord &Record : Records)
    if (Out.size() < MaxCrashRecordsPerMessage)
      Out.push_back(Record);
}

} // namespace

void CoreNode::onCrashReport(const PeerRequest &Request) {
  const auto Report = decode<CrashReport>(Request.m_Body);
  if (!isOk(Report)) {
    logEvent(LogSeverity::Warning, "peer.bad_message",
             {{"from", Request.m_Sender}, {"path", Request.m_Path}});
    return;
  }
  const auto News = m_Crashes.merge(valueOf(Report).m_Records, m_Timers.now());
  if (News.empty())
    return;
  logEvent(LogSeverity::Info, "crashes.learned",
           {{"from", Request.m_Sender},
            {"records", News.size()},
            {"known", m_Crashes.size()}});
  appendBounded(m_CrashesForWatchers, News);
  if (!valueOf(Report).m_FromCore)
    appendBounded(m_CrashesForCores, News);
  if (!m_CrashTimer)
    m_CrashTimer =
        m_Timers.after(CrashCollectPeriod, [this] { shareNewCrashes(); });
}

void CoreNode::shareNewCrashes() {
  m_CrashTimer.reset();
  if (const auto Records = std::exchange(m_CrashesForCores, {});
      !Records.empty()) {
    const std::string Bytes = encode(CrashReport{true, Records});
    for (const std::string &Core : otherCoreAddresses())
      sendOneWay(Core, "/crashes", Bytes);
  }
  const SharedMessage Update =
      crashUpdate(std::exchange(m_CrashesForWatchers, {}));
  std::vector<StreamPtr> Responses;
  for (const auto &[Id, Receiver] : m_Watchers)
    if (Receiver.m_Kind == WatchKind::Content)
      Responses.push_back(Receiver.m_Stream);
  for (const StreamPtr &Response : Responses)
    Response->send(Update);
}

void CoreNode::repeatCrashes() {
  const auto Records =
      m_Crashes.latest(MaxCrashRecordsPerMessage, m_Timers.now());
  m_Metrics.gauge("ragwortdrift_crash_suspects")
      .set(static_cast<double>(Records.size()));
  if (Records.empty())
    return;
  const std::string Bytes = encode(CrashReport{true, Records});
  for (const std::string &Core : otherCoreAddresses())
    sendOneWay(Core, "/crashes", Bytes);
}

CoreNode::SharedMessage
CoreNode::crashUpdate(std::vector<CrashRecord> Records) {
  return std::make_shared<const std::string>(
      encode(WatchMessage(CrashUpdate{std::move(Records)})));
}

} // namespace ragwortdrift
