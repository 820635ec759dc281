#include "ragwortdrift/node/control_node.hpp"

#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/config/delta_merge.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds RegisterTimeout{5};
/// Age from which a configuration counts as stale; see ConfigFollower.
constexpr std::chrono::seconds StaleAfter{2};
/// Changes of owners within this time reach the traffic threads together.
constexpr std::chrono::milliseconds PublishDelay{5};

/// When the next owner is told of a release; the second time in case that the
/// first arrives before the release.
constexpr std::array<Duration, 2> AnnounceDelays{Duration{5'000},
                                                 Duration{40'000}};
constexpr std::ptrdiff_t MaxAnnouncements = 256;

bool sameRegistration(const Vm &A, const Vm &B) {
  return A.m_Domain == B.m_Domain && A.m_Control == B.m_Control &&
         A.m_Relay == B.m_Relay && A.m_Admin == B.m_Admin &&
         A.m_HasDisk == B.m_HasDisk;
}

} // namespace

void ControlNode::onApplied(LogIndex Index, const std::string &Payload) {
  const auto Entry = decode<Envelope>(Payload);
  if (!isOk(Entry)) {
    logEvent(LogSeverity::Error, "log.bad_entry", {{"index", Index}});
    return;
  }
  m_Commands.onApplied(Index, m_State.apply(valueOf(Entry)));
  takeFromState();
}

void ControlNode::onRestored(const std::string &Bytes) {
  const auto Restored = m_State.restore(Bytes);
  if (!isOk(Restored)) {
    logEvent(LogSeverity::Error, "log.bad_snapshot",
             {{"code", errorOf(Restored).m_Code},
              {"offset", errorOf(Restored).m_Offset}});
    return;
  }
  takeFromState();
}

void ControlNode::takeFromState() {
  if (m_State.revision() <= m_Source.revision())
    return;
  std::vector<Delta> Changes;
  if (const auto Deltas = m_State.deltasSince(m_Source.revision())) {
    for (const auto &Each : *Deltas) {
      m_Source.apply(*Each);
      Changes.push_back(*Each);
    }
  } else {
    m_Source.install(m_State.revision(), m_State.document());
  }
  takeConfiguration(Changes);
  m_Source.answerWaiting();
}

void ControlNode::takeConfiguration(const std::vector<Delta> &Changes) {
  const Revision Rev = m_Source.revision();
  // Services that did not change stay the same objects, so that open queries on
  // them can go on asking other replicas.
  const bool Follows = m_Catalog && !Changes.empty() &&
                       Changes.front().m_Base <= m_Catalog->m_Revision;
  m_Catalog =
      Follows ? updateCatalog(*m_Catalog, m_Source.document(),
                              mergeDeltas(Changes, Rev, m_Source.document()))
              : buildCatalog(Rev, m_Source.document());
  logEvent(LogSeverity::Info, "config.in_force",
           {{"revision", Rev}, {"services", m_Catalog->m_Services.size()}});
  m_Grants.setCatalog(m_Catalog);
  m_Leases.setCatalog(*m_Catalog);
  updateMembers();
}

void ControlNode::confirmFresh() {
  if (!m_Log || m_Log->status().m_Role != RaftRole::Leader || m_Confirming)
    return;
  m_Confirming = true;
  const TimePoint Asked = m_Timers.now();
  m_Log->confirmLeadership(
      [this, Asked](const Result<LogIndex, ProposeError> &Outcome) {
        m_Confirming = false;
        if (!isOk(Outcome))
          return;
        m_Source.confirm(m_Timers.now() - Asked);
        m_Source.answerWaiting();
        publishSoon();
      });
}

void ControlNode::registerSelf() {
  if (m_Registering || m_Stopping)
    return;
  const Vm Self{m_Settings.m_Vm,      m_Settings.m_Domain,
                m_Settings.m_Control, m_Settings.m_Relay,
                m_Settings.m_Admin,   m_Settings.m_Folder.has_value()};
  if (m_Catalog) {
    const auto Known = m_Catalog->m_Vms.find(Self.m_Id);
    if (Known != m_Catalog->m_Vms.end() &&
        sameRegistration(Known->second, Self))
      return;
  }
  m_Registering = true;
  m_Commands.submit(RegisterVm{Self}, RegisterTimeout,
                    [this](const CommandOutcome &) { m_Registering = false; });
}

std::vector<VmId> ControlNode::votersToPullFrom() const {
  if (m_Log) {
    // A voter hears from the leader how fresh its state is.
    const auto Leader = m_Log->status().m_Leader;
    if (Leader && Leader->m_Vm != m_Settings.m_Vm)
      return {Leader->m_Vm};
    if (Leader)
      return {};
    // A VM whose disk was replaced belongs to no quorum until it is added, and
    // learns the configuration like one without a disk.
  }
  std::vector<VmId> Voters;
  if (m_Catalog)
    for (const auto &[Id, Each] : m_Catalog->m_Vms)
      if (Each.m_HasDisk && Id != m_Settings.m_Vm)
        Voters.push_back(Id);
  if (!Voters.empty())
    return Voters;
  // Before the first configuration any member may know one.
  Voters = m_Members.aliveVms();
  std::erase(Voters, m_Settings.m_Vm);
  return Voters;
}

void ControlNode::updateMembers() {
  std::vector<VmId> Alive = m_Members.aliveVms(m_Settings.m_Domain);
  std::vector<VmId> Voters = votersToPullFrom();
  if (m_Log)
    m_Follower.setMembers({}, std::move(Voters));
  else
    m_Follower.setMembers(Alive, std::move(Voters));
  m_Leases.setAlive(std::move(Alive));
  updateOwners();
}

void ControlNode::onLease(const std::string &Partition, LeaseState State) {
  logEvent(LogSeverity::Info, "placement.lease",
           {{"partition", Partition}, {"state", State}});
  publishSoon();
  if (State == LeaseState::HandingOver)
    handOver(Partition);
  else if (m_HandingOver.erase(Partition) > 0 && State == LeaseState::None)
    announceRelease(Partition);
}

void ControlNode::handOver(const std::string &Partition) {
  m_HandingOver.insert(Partition);
  // Posted after the view without the lease, so nothing is admitted any more.
  publish();
  auto Waiting = std::make_shared<std::size_t>(m_Traffic.size());
  for (TrafficThread *Each : m_Traffic)
    Each->whenIdle(Partition, [this, Partition, Waiting] {
      asio::post(m_Io, [this, Partition, Waiting] {
        m_Driver.refresh();
        if (--*Waiting == 0)
          m_Leases.finishHandover(Partition);
      });
    });
}

void ControlNode::announceRelease(const std::string &Partition) {
  std::vector<VmId> Alive = m_Members.aliveVms(m_Settings.m_Domain);
  std::erase(Alive, m_Settings.m_Vm);
  if (Alive.empty())
    return;
  const auto Next =
      controlAddress(rankedCandidates({Partition, {}, {}}, Alive).front());
  if (!Next)
    return;
  // After the release has reached the grantors. Without the announcement the
  // next owner would ask only with its renewal, up to 400 ms later.
  for (const Duration Delay : AnnounceDelays)
    m_Announcements.push_back(m_Timers.after(
        Delay, [this, To = *Next] { sendOneWay(To, "/lease/claim", {}); }));
  if (std::ssize(m_Announcements) > MaxAnnouncements)
    m_Announcements.erase(m_Announcements.begin(),
                          m_Announcements.end() - MaxAnnouncements);
}

void ControlNode::updateOwners() {
  if (!m_Catalog)
    return;
  std::map<FailureDomain, std::vector<VmId>> Alive;
  for (const FailureDomain &Each : m_Catalog->m_Domains)
    Alive[Each] = m_Members.aliveVms(Each);
  std::map<std::string, VmId> Owners;
  for (const auto &[Name, Of] : m_Catalog->m_Services)
    for (const Partition &Each : Of->m_Partitions) {
      if (const auto Holder = m_Grants.holderOf(Each.m_Key)) {
        Owners[Each.m_Key] = *Holder;
        continue;
      }
      const auto Ranked = rankedCandidates(Each, Alive[Each.m_Domain]);
      if (!Ranked.empty())
        Owners[Each.m_Key] = Ranked.front();
    }
  if (Owners == m_Owners)
    return;
  m_Owners = std::move(Owners);
  publishSoon();
}

void ControlNode::publishSoon() {
  if (m_PublishTimer)
    return;
  m_PublishTimer = m_Timers.after(PublishDelay, [this] {
    m_PublishTimer.reset();
    publish();
  });
}

void ControlNode::publish() {
  if (!m_Catalog)
    return;
  auto View = std::make_shared<ControlView>();
  View->m_Catalog = m_Catalog;
  View->m_Owners = m_Owners;
  for (const auto &[Name, Of] : m_Catalog->m_Services)
    for (const Partition &Each : Of->m_Partitions) {
      const auto Until = m_Leases.heldUntil(Each.m_Key);
      if (m_Leases.mayAdmit(Each.m_Key) && Until)
        View->m_Leases[Each.m_Key] = *Until;
    }
  if (const auto Age = m_Source.age())
    View->m_FreshUntil = m_Timers.now() + StaleAfter - *Age;
  const std::shared_ptr<const ControlView> Published = std::move(View);
  for (TrafficThread *Each : m_Traffic)
    Each->post(Published);
}

} // namespace ragwortdrift
