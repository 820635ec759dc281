#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"

namespace ragwortdrift {

void CoreNode::onObservationReport(const PeerRequest &Request) {
  const auto Report = decode<ObservationReport>(Request.m_Body);
  if (!isOk(Report)) {
    logEvent(LogSeverity::Warning, "peer.bad_message",
             {{"from", Request.m_Sender}, {"path", Request.m_Path}});
    return;
  }
  m_Aggregator.add(m_Timers.now(), valueOf(Report).m_Leafs);
  if (!valueOf(Report).m_FromCore)
    mergeObservations(m_NewObservations, valueOf(Report).m_Leafs);
}

void CoreNode::shareObservations() {
  forwardObservations();
  // One message: a watcher gets none while an earlier one is unsent.
  std::vector<LeafEstimate> Shared = changedPaces();
  m_Aggregator.evictStale(m_Timers.now());
  const std::vector<LeafEstimate> Estimates =
      m_Aggregator.estimates(m_Timers.now());
  m_Metrics.gauge("ragwortdrift_leafs_slow_or_failing")
      .set(static_cast<double>(Estimates.size()));
  if (std::exchange(m_LastEstimateCount, Estimates.size()) != Estimates.size())
    logEvent(LogSeverity::Info, "leafs.estimated",
             {{"observed", m_Aggregator.size()},
              {"slow_or_failing", Estimates.size()}});
  Shared.insert(Shared.end(), Estimates.begin(), Estimates.end());
  if (!Shared.empty())
    sendEstimates(Shared);
}

std::vector<LeafEstimate> CoreNode::changedPaces() {
  if (!m_Aggregator.hasPaces(m_Timers.now()))
    return {};
  std::vector<LeafEstimate> Paces = m_Aggregator.changedPaces(m_Timers.now());
  m_Metrics.gauge("ragwortdrift_leaf_paces_changed")
      .set(static_cast<double>(Paces.size()));
  return Paces;
}

void CoreNode::forwardObservations() {
  if (m_NewObservations.empty())
    return;
  const std::string Bytes =
      encode(ObservationReport{true, drainObservations(m_NewObservations)});
  for (const std::string &Core : otherCoreAddresses())
    sendOneWay(Core, "/observed", Bytes);
}

void CoreNode::sendEstimates(const std::vector<LeafEstimate> &Estimates) {
  CoreReport Report = makeReport();
  Report.m_Estimates = Estimates;
  const auto Message =
      std::make_shared<const std::string>(encode(WatchMessage(Report)));
  std::vector<StreamPtr> Responses;
  for (const auto &[Id, Receiver] : m_Watchers)
    if (Receiver.m_Kind == WatchKind::Content &&
        Receiver.m_Stream->unsentBytes() == 0)
      Responses.push_back(Receiver.m_Stream);
  for (const StreamPtr &Response : Responses)
    Response->send(Message);
}

} // namespace ragwortdrift
