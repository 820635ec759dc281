#include "ragwortdrift/node/control_node.hpp"

#include <boost/asio/post.hpp>

namespace ragwortdrift {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds CommandTimeout{5};

ControlError controlError(const CommandError &Why) {
  switch (Why.m_Code) {
  case CommandErrorCode::NoQuorum:
  case CommandErrorCode::NotLeader:
    return {ControlErrorCode::NoQuorum, "no leader with a quorum was found"};
  case CommandErrorCode::TooLarge:
    return {ControlErrorCode::TooLarge, ""};
  case CommandErrorCode::BadMessage:
    return {ControlErrorCode::Internal,
            "the leader could not read the command"};
  case CommandErrorCode::UnknownOutcome:
    break;
  }
  return {ControlErrorCode::UnknownOutcome,
          "the answer of the leader was lost"};
}

ControlError controlError(const MembershipError &Why) {
  const std::string Leader =
      Why.m_Leader ? "ask the leader, " + Why.m_Leader->m_Vm.m_Value : "";
  switch (Why.m_Code) {
  case MembershipErrorCode::NotLeader:
    return {ControlErrorCode::NoQuorum, Leader};
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

VoterRole roleOf(const ReplicatedLogStatus &Log, const Member &Of) {
  return Log.m_Leader && Log.m_Leader->m_Vm == Of.m_Key.m_Vm
             ? VoterRole::Leader
             : VoterRole::Follower;
}

void fillLog(const ReplicatedLogStatus &Log, ControlStatus &Out) {
  if (Log.m_Leader)
    Out.m_Leader = Log.m_Leader->m_Vm;
  Out.m_Term = Log.m_Term;
  Out.m_CommitIndex = Log.m_CommitIndex;
  for (const Member &Each : Log.m_Voters)
    Out.m_Voters.push_back({Each.m_Key.m_Vm, roleOf(Log, Each)});
  for (const Member &Each : Log.m_Learners)
    Out.m_Voters.push_back({Each.m_Key.m_Vm, VoterRole::Learner});
}

void fillCatalog(const Catalog &Current, ControlStatus &Out) {
  Out.m_DomainsOut.assign(Current.m_DomainsOut.begin(),
                          Current.m_DomainsOut.end());
  for (const auto &[Name, Of] : Current.m_Services)
    for (const Leaf &Each : Of->m_Leafs)
      if (Each.m_Draining)
        Out.m_LeafsDraining.push_back(Each.m_Id);
}

} // namespace

void ControlNode::submit(Command Of, ControlCallback<CommandResult> Fn) {
  if (m_Stopping) {
    Fn(ControlError{ControlErrorCode::Stopping, ""});
    return;
  }
  m_Commands.submit(std::move(Of), CommandTimeout,
                    [Fn = std::move(Fn)](CommandOutcome Outcome) {
                      if (isOk(Outcome))
                        Fn(valueOf(std::move(Outcome)));
                      else
                        Fn(controlError(errorOf(Outcome)));
                    });
}

void ControlNode::changeVoter(const VoterChange &Change,
                              const ControlCallback<Done> &Fn) {
  if (!m_Log) {
    Fn(ControlError{ControlErrorCode::NoStorage,
                    "ask a VM with a data folder"});
    return;
  }
  auto Finish = [Fn](const Result<Done, MembershipError> &R) {
    if (isOk(R))
      Fn(Done{});
    else
      Fn(controlError(errorOf(R)));
  };
  if (Change.m_Kind == VoterChangeKind::Remove) {
    m_Log->removeVoter(Change.m_Vm, std::move(Finish));
    return;
  }
  const auto Address = controlAddress(Change.m_Vm);
  if (!Address) {
    Fn(ControlError{ControlErrorCode::UnknownVm,
                    "no VM with this name is registered"});
    return;
  }
  m_Log->addVoter(Change.m_Vm, formatEndpoint(*Address), std::move(Finish));
}

void ControlNode::status(const ControlCallback<ControlStatus> &Fn) {
  ControlStatus Out;
  Out.m_Vm = m_Settings.m_Vm;
  Out.m_Domain = m_Settings.m_Domain;
  Out.m_Incarnation = m_Incarnation;
  Out.m_Revision = m_Source.revision();
  if (const auto Age = m_Source.age())
    Out.m_ConfigAge =
        std::chrono::duration_cast<std::chrono::milliseconds>(*Age);
  Out.m_Stale = m_Follower.isStale();
  if (m_Log)
    fillLog(m_Log->status(), Out);
  if (m_Catalog) {
    fillCatalog(*m_Catalog, Out);
    for (const auto &[Id, Info] : m_Catalog->m_Vms)
      if (const MemberEntry *Known = m_Members.find(Id))
        Out.m_Vms.push_back({Id, Info.m_Domain, Known->m_Incarnation,
                             static_cast<VmCondition>(Known->m_Status)});
    for (const auto &[Name, Of] : m_Catalog->m_Services)
      for (const Partition &Each : Of->m_Partitions)
        if (m_Leases.mayAdmit(Each.m_Key))
          Out.m_PartitionsOwned.push_back(Each.m_Key);
  }
  Fn(std::move(Out));
}

void ControlNode::manifest(const ControlCallback<ManifestText> &Fn) {
  Fn(ManifestText{m_Source.revision(), formatManifest(m_Source.document())});
}

void ControlNode::customer(
    const CustomerId &Name,
    const ControlCallback<std::optional<CustomerRecord>> &Fn) {
  if (!m_Log) {
    Fn(ControlError{ControlErrorCode::NoStorage,
                    "ask a VM with a data folder"});
    return;
  }
  Fn(m_State.findCustomer(Name));
}

void ControlNode::takeSnapshot(const ControlCallback<SnapshotReport> &Fn) {
  Fn(ControlError{ControlErrorCode::Internal,
                  "snapshots on demand are not supported; the log takes one "
                  "every 1000 entries"});
}

void ControlNode::readiness(const std::function<void(Readiness)> &Fn) {
  if (m_Stopping)
    Fn(Readiness::Stopping);
  else
    Fn(m_Source.revision() == Revision{0} ? Readiness::NoConfiguration
                                          : Readiness::Ready);
}

void ControlNode::metrics(const std::function<void(std::string)> &Fn) {
  struct Gathered {
    MetricsSnapshot m_Merged;
    std::size_t m_Missing = 0;
  };
  auto All = std::make_shared<Gathered>();
  All->m_Missing = m_Traffic.size();
  for (TrafficThread *Each : m_Traffic)
    Each->collect([this, All, Fn](MetricsSnapshot Part) {
      asio::post(m_Io, [All, Fn, Part = std::move(Part)] {
        mergeMetrics(All->m_Merged, Part);
        if (--All->m_Missing == 0)
          Fn(formatPrometheus(All->m_Merged));
      });
    });
}

} // namespace ragwortdrift
