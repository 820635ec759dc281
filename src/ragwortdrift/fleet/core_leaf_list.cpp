#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/core_node.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Time between reads of the list of leafs. A leaving leaf must get no request
/// 3 s after the list shows it.
constexpr std::chrono::milliseconds ListInterval{1000};
/// A new leader starts to read the list, and the others to follow it, within
/// this.
constexpr std::chrono::milliseconds LeaderCheckInterval{50};
/// Share of the list's rate that its one regular reader may use; the rest is
/// for entry VMs that are cut off from it.
constexpr double ListRateShare = 0.4;
/// A list counts as fresh for two reads that failed.
constexpr std::chrono::milliseconds ListFreshFor{2500};
/// A watch is opened anew after this, since a call needs a deadline.
constexpr std::chrono::hours WatchTime{1};

} // namespace

bool CoreNode::listIsFresh() const {
  return m_ListReadAt && m_Timers.now() - *m_ListReadAt < ListFreshFor;
}

void CoreNode::updateLeafs() {
  if (isLeader() && !m_List.reading()) {
    m_ListWatch = {};
    m_ListSource.clear();
    readLeafs();
    return;
  }
  // Read ahead of an election, so that a new leader has a list at once when all
  // core VMs have restarted. It is told only when this VM leads. One call, so
  // that a list which refuses is not asked by all core VMs again and again.
  if (m_List.calls() == 0 && leaderAddress().empty())
    m_List.read([this](Result<LeafList, ListError> Outcome) {
      if (!isOk(Outcome) || m_ListStamp != ListStamp{})
        return;
      m_Leafs = valueOf(std::move(Outcome));
      m_ListReadAt = m_Timers.now();
    });
  followLeafs();
  m_ListTimer = m_Timers.after(LeaderCheckInterval, [this] { updateLeafs(); });
}

void CoreNode::readLeafs() {
  const std::uint64_t CallsBefore = m_List.calls();
  const std::uint64_t Term = m_Log->status().m_Term;
  if (m_ListStamp == ListStamp{} && listIsFresh()) {
    m_ListStamp = {Term, 1};
    reportAll();
  }
  m_List.read([this, CallsBefore, Term](Result<LeafList, ListError> Outcome) {
    if (isOk(Outcome)) {
      m_ListReadAt = m_Timers.now();
      if (m_ListStamp.m_Term != Term || valueOf(Outcome) != m_Leafs) {
        m_Leafs = valueOf(std::move(Outcome));
        m_ListStamp = m_ListStamp.m_Term == Term
                          ? ListStamp{Term, m_ListStamp.m_Number + 1}
                          : ListStamp{Term, 1};
        reportAll();
      }
    }
    const double Calls = static_cast<double>(m_List.calls() - CallsBefore);
    const Duration ByRate(static_cast<Duration::rep>(
        1e6 * Calls / (m_Settings.m_LeafListRate * ListRateShare)));
    m_ListTimer = m_Timers.after(std::max<Duration>(ListInterval, ByRate),
                                 [this] { updateLeafs(); });
  });
}

void CoreNode::followLeafs() {
  const std::string Leader = leaderAddress();
  if (Leader == m_ListSource && m_ListWatch.isOpen())
    return;
  m_ListWatch = {};
  m_ListSource = Leader;
  const auto To = parseEndpoint(Leader);
  if (!To || Leader == m_Address)
    return;
  const WatchRequest Request{WatchKind::ListForCore, 0, m_ListStamp};
  m_ListWatch = m_PeerClient.open(
      To->m_Ip, To->m_Port, "/watch", encode(Request), WatchTime,
      [this](const std::string &Message) {
        auto Report = decode<CoreReport>(Message);
        if (!isOk(Report)) {
          logEvent(LogSeverity::Warning, "core.bad_report",
                   {{"core", m_ListSource}});
          return;
        }
        CoreReport &In = valueOf(Report);
        // A former leader may still believe that it leads.
        if (!In.m_ListAge || In.m_List < m_ListStamp)
          return;
        m_ListReadAt = m_Timers.now() - *In.m_ListAge;
        if (!In.m_Leafs || In.m_List == m_ListStamp)
          return;
        m_Leafs = std::move(*In.m_Leafs);
        m_ListStamp = In.m_List;
        reportAll();
      },
      [this](const Result<Done, PeerError> &Ended) {
        logEvent(LogSeverity::Warning, "leaf_list.leader_lost",
                 {{"leader", m_ListSource},
                  {"cause", isOk(Ended) ? std::string_view("ended")
                                        : nameOf(errorOf(Ended).m_Code)}});
      });
}

} // namespace ragwortdrift
