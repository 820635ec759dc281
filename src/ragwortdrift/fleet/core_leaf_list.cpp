#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Interval between reads of the leaf list. A leaving leaf must receive no
/// request later than 3 s after the list shows it as leaving.
constexpr std::chrono::milliseconds ListReadInterval{1000};
/// Upper bound on the time until a new leader starts to read the list and the
/// other core VMs start to follow it.
constexpr std::chrono::milliseconds LeaderCheckInterval{50};
/// Share of the list server's rate limit for the leader, its only regular
/// reader. The rest is for entry VMs that are cut off from the core VMs.
constexpr double ListReaderRateShare = 0.4;
/// Time for which a list counts as fresh; covers two failed reads.
constexpr std::chrono::milliseconds ListFreshPeriod{2500};
/// Peer calls need a deadline; a watch that reaches it is opened again.
constexpr std::chrono::hours WatchDeadline{1};

} // namespace

bool CoreNode::isListFresh() const {
  return m_ListReadAt && m_Timers.now() - *m_ListReadAt < ListFreshPeriod;
}

void CoreNode::updateLeafList() {
  if (isLeader() && !m_ListReader.isReading()) {
    m_ListWatch = {};
    m_ListLeader.clear();
    readLeafList();
    return;
  }
  // Prefetch the list before the first election, so that a new leader has it
  // immediately after all core VMs have restarted. It is published only if this
  // VM becomes the leader. The read is attempted once, so that a list server
  // that refuses requests is not polled by all core VMs.
  if (m_ListReader.callCount() == 0 && leaderAddress().empty())
    m_ListReader.read([this](Result<LeafList, ListError> ReadResult) {
      if (!isOk(ReadResult) || m_ListVersion != ListVersion{})
        return;
      m_Leafs = valueOf(std::move(ReadResult));
      m_ListReadAt = m_Timers.now();
    });
  followLeaderList();
  m_ListTimer =
      m_Timers.after(LeaderCheckInterval, [this] { updateLeafList(); });
}

void CoreNode::readLeafList() {
  const std::uint64_t CallCountBefore = m_ListReader.callCount();
  const std::uint64_t Term = m_Log->status().m_Term;
  if (m_ListVersion == ListVersion{} && isListFresh())
    setList(m_Leafs, {Term, 1});
  m_ListReader.read([this, CallCountBefore,
                     Term](Result<LeafList, ListError> ReadResult) {
    if (isOk(ReadResult)) {
      m_ListReadAt = m_Timers.now();
      m_ListReader.keepUnreadable(m_Leafs, valueOf(ReadResult));
      if (m_ListVersion.m_Term != Term || valueOf(ReadResult) != m_Leafs)
        setList(valueOf(std::move(ReadResult)),
                m_ListVersion.m_Term == Term
                    ? ListVersion{Term, m_ListVersion.m_Number + 1}
                    : ListVersion{Term, 1});
    }
    const double CallCount =
        static_cast<double>(m_ListReader.callCount() - CallCountBefore);
    const Duration RateLimitDelay(static_cast<Duration::rep>(
        1e6 * CallCount / (m_Settings.m_LeafListRate * ListReaderRateShare)));
    m_ListTimer =
        m_Timers.after(std::max<Duration>(ListReadInterval, RateLimitDelay),
                       [this] { updateLeafList(); });
  });
}

void CoreNode::setList(LeafList List, ListVersion Version) {
  m_ListUpdates.record(m_ListVersion, m_Leafs, Version, List);
  m_Leafs = std::move(List);
  m_ListVersion = Version;
  sendReports();
}

void CoreNode::followLeaderList() {
  const std::string Leader = leaderAddress();
  if (Leader == m_ListLeader && m_ListWatch.isOpen() && !m_NeedsWholeList)
    return;
  m_ListWatch = {};
  m_LeaderUpdate.reset();
  m_ListLeader = Leader;
  const auto Target = parseEndpoint(Leader);
  if (!Target || Leader == m_Address)
    return;
  const WatchRequest Request{
      WatchKind::ListForCore, 0,
      std::exchange(m_NeedsWholeList, false) ? ListVersion{} : m_ListVersion};
  m_ListWatch = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/watch", encode(Request), WatchDeadline,
      [this](const std::string &Message) { onLeaderMessage(Message); },
      [this](const Result<Done, PeerError> &EndResult) {
        logEvent(
            LogSeverity::Warning, "leaf_list.leader_lost",
            {{"leader", m_ListLeader},
             {"cause", isOk(EndResult) ? std::string_view("ended")
                                       : nameOf(errorOf(EndResult).m_Code)}});
      });
}

void CoreNode::onLeaderMessage(const std::string &Message) {
  auto DecodeResult = decode<WatchMessage>(Message);
  if (!isOk(DecodeResult)) {
    logEvent(LogSeverity::Warning, "core.bad_report", {{"core", m_ListLeader}});
    return;
  }
  if (auto *Update = std::get_if<ListUpdate>(&valueOf(DecodeResult)))
    appendUpdate(m_LeaderUpdate, std::move(*Update));
  const auto *Report = std::get_if<CoreReport>(&valueOf(DecodeResult));
  if (!Report)
    return;
  auto Update = std::exchange(m_LeaderUpdate, std::nullopt);
  // A former leader may not have detected yet that it was replaced.
  if (!Report->m_ListAge || Report->m_ListVersion < m_ListVersion)
    return;
  std::optional<LeafList> List;
  if (Update && Update->m_Version > m_ListVersion) {
    const bool IsDelta = Update->m_IsDelta;
    List = applyUpdate(m_Leafs, std::move(*Update));
    if (!List) {
      logEvent(LogSeverity::Warning, "leaf_list.update_refused",
               {{"core", m_ListLeader}, {"delta", IsDelta}});
      m_NeedsWholeList = IsDelta;
      return;
    }
  }
  m_ListReadAt = m_Timers.now() - *Report->m_ListAge;
  if (List)
    setList(std::move(*List), Report->m_ListVersion);
}

} // namespace ragwortdrift
