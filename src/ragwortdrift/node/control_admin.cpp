#include "ragwortdrift/node/control_node.hpp"

#include <boost/asio/post.hpp>

namespace ragwortdrift {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds CommandTimeout{5};

ControlError toControlError(const CommandError &Error) {
  switch (Error.m_Code) {
  case CommandErrorCode::NoQuorum:
  case CommandErrorCode::NotLeader:
    return {ControlErrorCode::NoQuorum, "no leader with a quorum was found"};
  case CommandErrorCode::TooLarge:
    return {ControlErrorCode::TooLarge, ""};
  case CommandErrorCode::BadMessage:
    return {ControlErrorCode::Internal,
            "the leader could not decode the command"};
  case CommandErrorCode::UnknownOutcome:
    break;
  }
  return {ControlErrorCode::UnknownOutcome,
          "the response of the leader was lost; the command may have been "
          "committed"};
}

ControlError toControlError(const MembershipError &Error) {
  const std::string Detail =
      Error.m_Leader
          ? "send the request to the leader, " + Error.m_Leader->m_Vm.m_Value
          : "";
  switch (Error.m_Code) {
  case MembershipErrorCode::NotLeader:
    return {ControlErrorCode::NoQuorum, Detail};
  case MembershipErrorCode::ChangeInProgress:
    return {ControlErrorCode::ChangeInProgress, ""};
  case MembershipErrorCode::NotCaughtUp:
    return {ControlErrorCode::NotCaughtUp, ""};
  case MembershipErrorCode::UnknownVoter:
    return {ControlErrorCode::NotVoter, ""};
  case MembershipErrorCode::LastVoter:
    return {ControlErrorCode::LastVoter, ""};
  case MembershipErrorCode::ForeignStore:
    return {ControlErrorCode::StorageFailed,
            "the data folder belongs to another cluster"};
  case MembershipErrorCode::StoreFailed:
    break;
  }
  return {ControlErrorCode::StorageFailed, ""};
}

VoterRole roleOf(const ReplicatedLogStatus &Log, const Member &Voter) {
  return Log.m_Leader && Log.m_Leader->m_Vm == Voter.m_Key.m_Vm
             ? VoterRole::Leader
             : VoterRole::Follower;
}

void addLogStatus(const ReplicatedLogStatus &Log, ControlStatus &Status) {
  if (Log.m_Leader)
    Status.m_Leader = Log.m_Leader->m_Vm;
  Status.m_Term = Log.m_Term;
  Status.m_CommitIndex = Log.m_CommitIndex;
  for (const Member &Voter : Log.m_Voters)
    Status.m_Voters.push_back({Voter.m_Key.m_Vm, roleOf(Log, Voter)});
  for (const Member &Voter : Log.m_Learners)
    Status.m_Voters.push_back({Voter.m_Key.m_Vm, VoterRole::Learner});
}

void addCatalogStatus(const Catalog &Current, ControlStatus &Status) {
  Status.m_DomainsOut.assign(Current.m_DomainsOut.begin(),
                             Current.m_DomainsOut.end());
  for (const auto &[Name, Svc] : Current.m_Services)
    for (const Leaf &Entry : Svc->m_Leafs)
      if (Entry.m_Draining)
        Status.m_LeafsDraining.push_back(Entry.m_Id);
}

} // namespace

void ControlNode::submit(Command NewCommand,
                         ControlCallback<CommandResult> Callback) {
  if (m_Stopping) {
    Callback(ControlError{ControlErrorCode::Stopping, ""});
    return;
  }
  m_CommandRouter.submit(
      std::move(NewCommand), CommandTimeout,
      [Callback = std::move(Callback)](CommandOutcome Outcome) {
        if (isOk(Outcome))
          Callback(valueOf(std::move(Outcome)));
        else
          Callback(toControlError(errorOf(Outcome)));
      });
}

void ControlNode::changeVoter(const VoterChange &Change,
                              const ControlCallback<Done> &Callback) {
  if (!m_Log) {
    Callback(ControlError{
        ControlErrorCode::NoStorage,
        "this VM has no data folder; send the request to one that has"});
    return;
  }
  auto Finish = [Callback](const Result<Done, MembershipError> &Outcome) {
    if (isOk(Outcome))
      Callback(Done{});
    else
      Callback(toControlError(errorOf(Outcome)));
  };
  if (Change.m_Kind == VoterChangeKind::Remove) {
    m_Log->removeVoter(Change.m_Vm, std::move(Finish));
    return;
  }
  const auto Address = controlAddress(Change.m_Vm);
  if (!Address) {
    Callback(ControlError{ControlErrorCode::UnknownVm,
                          "no VM with this name is registered"});
    return;
  }
  m_Log->addVoter(Change.m_Vm, formatEndpoint(*Address), std::move(Finish));
}

void ControlNode::status(const ControlCallback<ControlStatus> &Callback) {
  ControlStatus Status;
  Status.m_Vm = m_Settings.m_Vm;
  Status.m_Domain = m_Settings.m_Domain;
  Status.m_Incarnation = m_Incarnation;
  Status.m_Revision = m_ConfigSource.revision();
  if (const auto Age = m_ConfigSource.age())
    Status.m_ConfigAge =
        std::chrono::duration_cast<std::chrono::milliseconds>(*Age);
  Status.m_Stale = m_ConfigFollower.isStale();
  if (m_Log)
    addLogStatus(m_Log->status(), Status);
  if (m_Catalog) {
    addCatalogStatus(*m_Catalog, Status);
    for (const auto &[Id, Info] : m_Catalog->m_Vms)
      if (const MemberEntry *Member = m_Members.find(Id))
        Status.m_Vms.push_back({Id, Info.m_Domain, Member->m_Incarnation,
                                static_cast<VmCondition>(Member->m_Status)});
    for (const auto &[Name, Svc] : m_Catalog->m_Services)
      for (const Partition &Entry : Svc->m_Partitions)
        if (m_LeaseHolder.mayAdmit(Entry.m_Key))
          Status.m_PartitionsOwned.push_back(Entry.m_Key);
  }
  Callback(std::move(Status));
}

void ControlNode::manifest(const ControlCallback<ManifestText> &Callback) {
  Callback(ManifestText{m_ConfigSource.revision(),
                        formatManifest(m_ConfigSource.document())});
}

void ControlNode::customer(
    const CustomerId &Name,
    const ControlCallback<std::optional<CustomerRecord>> &Callback) {
  if (!m_Log) {
    Callback(ControlError{
        ControlErrorCode::NoStorage,
        "this VM has no data folder; send the request to one that has"});
    return;
  }
  Callback(m_State.findCustomer(Name));
}

void ControlNode::takeSnapshot(
    const ControlCallback<SnapshotReport> &Callback) {
  Callback(
      ControlError{ControlErrorCode::Internal,
                   "snapshots on demand are not supported; the log takes one "
                   "every 1000 entries"});
}

void ControlNode::readiness(const std::function<void(Readiness)> &Callback) {
  if (m_Stopping)
    Callback(Readiness::Stopping);
  else
    Callback(m_ConfigSource.revision() == Revision{0}
                 ? Readiness::NoConfiguration
                 : Readiness::Ready);
}

void ControlNode::metrics(const std::function<void(std::string)> &Callback) {
  struct MetricsTotals {
    MetricsSnapshot m_Merged;
    std::size_t m_PendingThreads = 0;
  };
  auto Totals = std::make_shared<MetricsTotals>();
  Totals->m_PendingThreads = m_TrafficThreads.size();
  for (TrafficThread *Thread : m_TrafficThreads)
    Thread->collect([this, Totals, Callback](MetricsSnapshot ThreadMetrics) {
      asio::post(m_Io,
                 [Totals, Callback, ThreadMetrics = std::move(ThreadMetrics)] {
                   mergeMetrics(Totals->m_Merged, ThreadMetrics);
                   if (--Totals->m_PendingThreads == 0)
                     Callback(formatPrometheus(Totals->m_Merged));
                 });
    });
}

} // namespace ragwortdrift
