#include "ragwortdrift/node/control_node.hpp"

#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/config/delta_merge.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds RegisterTimeout{5};
/// Age at which a configuration becomes stale; see ConfigFollower.
constexpr std::chrono::seconds StaleAfter{2};
/// Delay that collects changes of owners and leases into one view.
constexpr std::chrono::milliseconds PublishDelay{5};

/// Delays after which the next owner is notified of a released lease. The
/// second notification is for the case that the first arrives before the
/// release.
constexpr std::array<Duration, 2> ReleaseNoticeDelays{Duration{5'000},
                                                      Duration{40'000}};
constexpr std::ptrdiff_t MaxAnnouncementTimers = 256;

bool sameRegistration(const Vm &A, const Vm &B) {
  return A.m_Domain == B.m_Domain && A.m_Control == B.m_Control &&
         A.m_Relay == B.m_Relay && A.m_Admin == B.m_Admin &&
         A.m_HasDisk == B.m_HasDisk;
}

} // namespace

void ControlNode::onApplied(LogIndex Index, const std::string &Payload) {
  const auto Entry = decode<CommandBatch>(Payload);
  if (!isOk(Entry)) {
    logEvent(LogSeverity::Error, "log.bad_entry", {{"index", Index}});
    return;
  }
  m_CommandRouter.onApplied(Index, m_State.apply(valueOf(Entry)));
  applyStateChanges();
}

void ControlNode::onRestored(const std::string &Bytes) {
  const auto RestoreResult = m_State.restore(Bytes);
  if (!isOk(RestoreResult)) {
    logEvent(LogSeverity::Error, "log.bad_snapshot",
             {{"code", errorOf(RestoreResult).m_Code},
              {"offset", errorOf(RestoreResult).m_Offset}});
    return;
  }
  applyStateChanges();
}

void ControlNode::applyStateChanges() {
  if (m_State.revision() <= m_ConfigSource.revision())
    return;
  std::vector<Delta> Changes;
  if (const auto Deltas = m_State.deltasSince(m_ConfigSource.revision())) {
    for (const auto &Change : *Deltas) {
      m_ConfigSource.apply(*Change);
      Changes.push_back(*Change);
    }
  } else {
    m_ConfigSource.install(m_State.revision(), m_State.document());
  }
  installConfiguration(Changes);
  m_ConfigSource.respondToPendingPulls();
}

void ControlNode::installConfiguration(const std::vector<Delta> &Changes) {
  const Revision NewRevision = m_ConfigSource.revision();
  // Unchanged services keep their objects, so that open queries can still send
  // requests to other replicas.
  const bool IsIncremental = m_Catalog && !Changes.empty() &&
                             Changes.front().m_Base <= m_Catalog->m_Revision;
  m_Catalog = IsIncremental
                  ? updateCatalog(*m_Catalog, m_ConfigSource.document(),
                                  mergeDeltas(Changes, NewRevision,
                                              m_ConfigSource.document()))
                  : buildCatalog(NewRevision, m_ConfigSource.document());
  logEvent(
      LogSeverity::Info, "config.in_force",
      {{"revision", NewRevision}, {"services", m_Catalog->m_Services.size()}});
  m_LeaseTable.setCatalog(m_Catalog);
  m_LeaseHolder.setCatalog(*m_Catalog);
  updateMembers();
}

void ControlNode::confirmLeadership() {
  if (!m_Log || m_Log->status().m_Role != RaftRole::Leader || m_Confirming)
    return;
  m_Confirming = true;
  const TimePoint StartTime = m_Timers.now();
  m_Log->confirmLeadership(
      [this, StartTime](const Result<LogIndex, ProposeError> &Outcome) {
        m_Confirming = false;
        if (!isOk(Outcome))
          return;
        m_ConfigSource.confirm(m_Timers.now() - StartTime);
        m_ConfigSource.respondToPendingPulls();
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
    const auto Registered = m_Catalog->m_Vms.find(Self.m_Id);
    if (Registered != m_Catalog->m_Vms.end() &&
        sameRegistration(Registered->second, Self))
      return;
  }
  m_Registering = true;
  m_CommandRouter.submit(
      RegisterVm{Self}, RegisterTimeout,
      [this](const CommandOutcome &) { m_Registering = false; });
}

std::vector<VmId> ControlNode::votersToPullFrom() const {
  if (m_Log) {
    // A voter learns the age of its state from the leader.
    const auto Leader = m_Log->status().m_Leader;
    if (Leader && Leader->m_Vm != m_Settings.m_Vm)
      return {Leader->m_Vm};
    if (Leader)
      return {};
    // A VM whose disk was replaced is not a voter until it is added again.
    // Until then it pulls the configuration like a VM without a disk.
  }
  std::vector<VmId> Voters;
  if (m_Catalog)
    for (const auto &[Id, Info] : m_Catalog->m_Vms)
      if (Info.m_HasDisk && Id != m_Settings.m_Vm)
        Voters.push_back(Id);
  if (!Voters.empty())
    return Voters;
  // Before the first configuration, any live member may have one.
  Voters = m_Members.aliveVms();
  std::erase(Voters, m_Settings.m_Vm);
  return Voters;
}

void ControlNode::updateMembers() {
  std::vector<VmId> AliveVms = m_Members.aliveVms(m_Settings.m_Domain);
  std::vector<VmId> Voters = votersToPullFrom();
  if (m_Log)
    m_ConfigFollower.setMembers({}, std::move(Voters));
  else
    m_ConfigFollower.setMembers(AliveVms, std::move(Voters));
  m_LeaseHolder.setAlive(std::move(AliveVms));
  updateOwners();
}

void ControlNode::onLeaseChange(const std::string &Partition,
                                LeaseState State) {
  logEvent(LogSeverity::Info, "placement.lease",
           {{"partition", Partition}, {"state", State}});
  publishSoon();
  if (State == LeaseState::HandingOver)
    handOverPartition(Partition);
  else if (m_HandingOver.erase(Partition) > 0 && State == LeaseState::None)
    announceRelease(Partition);
}

void ControlNode::handOverPartition(const std::string &Partition) {
  m_HandingOver.insert(Partition);
  // Publishes a view without the lease before the whenIdle() calls, so that the
  // traffic threads admit no more requests for the partition.
  publish();
  auto BusyThreads = std::make_shared<std::size_t>(m_TrafficThreads.size());
  for (TrafficThread *Thread : m_TrafficThreads)
    Thread->whenIdle(Partition, [this, Partition, BusyThreads] {
      asio::post(m_Io, [this, Partition, BusyThreads] {
        m_TimerDriver.runDueTimers();
        if (--*BusyThreads == 0)
          m_LeaseHolder.finishHandover(Partition);
      });
    });
}

void ControlNode::announceRelease(const std::string &Partition) {
  std::vector<VmId> AliveVms = m_Members.aliveVms(m_Settings.m_Domain);
  std::erase(AliveVms, m_Settings.m_Vm);
  if (AliveVms.empty())
    return;
  const auto NextOwner =
      controlAddress(rankedCandidates({Partition, {}, {}}, AliveVms).front());
  if (!NextOwner)
    return;
  // Sent after the release has reached the grantors. Otherwise the next owner
  // would claim the lease only with its next renewal, up to 400 ms later.
  for (const Duration Delay : ReleaseNoticeDelays)
    m_AnnouncementTimers.push_back(
        m_Timers.after(Delay, [this, Target = *NextOwner] {
          sendOneWay(Target, "/lease/claim", {});
        }));
  if (std::ssize(m_AnnouncementTimers) > MaxAnnouncementTimers)
    m_AnnouncementTimers.erase(m_AnnouncementTimers.begin(),
                               m_AnnouncementTimers.end() -
                                   MaxAnnouncementTimers);
}

void ControlNode::updateOwners() {
  if (!m_Catalog)
    return;
  std::map<FailureDomain, std::vector<VmId>> AliveVms;
  for (const FailureDomain &Domain : m_Catalog->m_Domains)
    AliveVms[Domain] = m_Members.aliveVms(Domain);
  std::map<std::string, VmId> Owners;
  for (const auto &[Name, Svc] : m_Catalog->m_Services)
    for (const Partition &Part : Svc->m_Partitions) {
      if (const auto Holder = m_LeaseTable.holderOf(Part.m_Key)) {
        Owners[Part.m_Key] = *Holder;
        continue;
      }
      const auto Candidates = rankedCandidates(Part, AliveVms[Part.m_Domain]);
      if (!Candidates.empty())
        Owners[Part.m_Key] = Candidates.front();
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
  for (const auto &[Name, Svc] : m_Catalog->m_Services)
    for (const Partition &Part : Svc->m_Partitions) {
      const auto LeaseEnd = m_LeaseHolder.leaseExpiry(Part.m_Key);
      if (m_LeaseHolder.mayAdmit(Part.m_Key) && LeaseEnd)
        View->m_Leases[Part.m_Key] = *LeaseEnd;
    }
  if (const auto Age = m_ConfigSource.age())
    View->m_FreshUntil = m_Timers.now() + StaleAfter - *Age;
  const std::shared_ptr<const ControlView> Snapshot = std::move(View);
  for (TrafficThread *Thread : m_TrafficThreads)
    Thread->post(Snapshot);
}

} // namespace ragwortdrift
