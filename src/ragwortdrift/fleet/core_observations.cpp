#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"

namespace ragwortdrift {

void CoreNode::onObserved(const PeerRequest &In) {
  const auto Report = decode<ObservationReport>(In.m_Body);
  if (!isOk(Report)) {
    logEvent(LogSeverity::Warning, "peer.bad_message",
             {{"from", In.m_From}, {"path", In.m_Path}});
    return;
  }
  m_Digest.add(m_Timers.now(), valueOf(Report).m_Leafs);
  if (!valueOf(Report).m_FromCore)
    mergeObservations(m_NewObservations, valueOf(Report).m_Leafs);
}

void CoreNode::shareObservations() {
  if (!m_NewObservations.empty()) {
    const std::string Bytes =
        encode(ObservationReport{true, drainObservations(m_NewObservations)});
    for (const std::string &Core : knownCores())
      sendOneWay(Core, "/observed", Bytes);
  }
  m_Digest.forget(m_Timers.now());
  const std::vector<LeafEstimate> Estimates =
      m_Digest.estimates(m_Timers.now());
  m_Metrics.gauge("ragwortdrift_leafs_slow_or_failing")
      .set(static_cast<double>(Estimates.size()));
  if (std::exchange(m_EstimatesSent, Estimates.size()) != Estimates.size())
    logEvent(
        LogSeverity::Info, "leafs.estimated",
        {{"observed", m_Digest.size()}, {"slow_or_failing", Estimates.size()}});
  if (Estimates.empty())
    return;
  CoreReport Out = currentReport();
  Out.m_Estimates = Estimates;
  const std::string Bytes = encode(Out);
  std::vector<Stream> Streams;
  for (const auto &[Id, Item] : m_Watchers)
    if (Item.m_Kind == WatchKind::Content)
      Streams.push_back(Item.m_Stream);
  for (const Stream &To : Streams)
    To->send(Bytes);
}

} // namespace ragwortdrift
