#ifndef RAGWORTDRIFT_TESTING_CONSENSUS_FUZZ_HPP
#define RAGWORTDRIFT_TESTING_CONSENSUS_FUZZ_HPP

#include "ragwortdrift/testing/consensus_sim.hpp"

namespace ragwortdrift {

/// Mixed injects all kinds of faults. Churn only forces frequent leader
/// changes, with links that fail in one direction and payloads that fill a
/// message, so that logs diverge over many terms. Replacement replaces voters
/// as planned: one is added, another is removed and stopped, and a disk is lost
/// at once. FirstStart only ends VMs while the cluster forms; the settings name
/// the initial voters at the first start of each.
enum class FuzzProfile { Mixed, Churn, Replacement, FirstStart };
template <> struct EnumNames<FuzzProfile> {
  static constexpr std::array Entries{
      EnumName<FuzzProfile>{FuzzProfile::Mixed, "mixed"},
      EnumName<FuzzProfile>{FuzzProfile::Churn, "churn"},
      EnumName<FuzzProfile>{FuzzProfile::Replacement, "replacement"},
      EnumName<FuzzProfile>{FuzzProfile::FirstStart, "first-start"}};
};

/// One run of the replicated log under random faults, in virtual time. Throws
/// InvariantViolation if an invariant does not hold.
class ConsensusFuzz {
public:
  ConsensusFuzz(std::uint64_t Seed, bool Trace,
                FuzzProfile Profile = FuzzProfile::Mixed)
      : m_Sim(Seed, votersFor(Seed, Profile),
              /*Spares=*/Profile == FuzzProfile::Churn ? 0 : 2,
              /*NamesVotersOnce=*/Profile == FuzzProfile::FirstStart),
        m_Profile(Profile), m_ImmediateRestarts(Seed % 2 == 0) {
    m_Sim.m_Trace = Trace;
  }

  /// Injects faults for the given virtual time, then stops them and checks that
  /// the cluster recovers. Returns the number of acknowledged proposals.
  std::size_t run(Duration FaultDuration) {
    m_Sim.m_OpenCrashPercent = 20;
    while (m_Sim.now() < TimePoint{FaultDuration}) {
      m_Sim.run(std::chrono::milliseconds(1 + m_Sim.draw(30)));
      stopLeftVms();
      switch (m_Profile) {
      case FuzzProfile::Mixed:
        injectRandomFault();
        break;
      case FuzzProfile::Churn:
        injectChurnFault();
        break;
      case FuzzProfile::Replacement:
        injectReplacement();
        break;
      case FuzzProfile::FirstStart:
        injectFirstStartFault();
        break;
      }
    }
    stopFaults();
    checkRecovery();
    return m_Sim.oracle().acknowledgedCount();
  }

  const std::map<std::string, std::uint64_t> &events() const {
    return m_Sim.m_Events;
  }

private:
  using Node = ConsensusSim::Node;

  static std::size_t votersFor(std::uint64_t Seed, FuzzProfile Profile) {
    return Profile == FuzzProfile::Mixed ? 1 + Seed % 5 : 3 + Seed % 3;
  }

  void injectFirstStartFault() {
    Node &N = m_Sim.randomNode();
    const std::uint64_t Kind = m_Sim.draw(100);
    if (Kind < 15)
      m_Sim.stop(N, m_Sim.chance(50));
    else if (Kind < 18)
      for (auto &[Vm, Item] : m_Sim.nodes())
        m_Sim.stop(Item, m_Sim.chance(50));
    else if (Kind < 60)
      m_Sim.start(N);
    else if (Kind < 65)
      changeNetworkQuality();
    else if (Kind < 80)
      proposeBatch(N);
  }

  void injectChurnFault() {
    Node &N = m_Sim.randomNode();
    Node *Leader = m_Sim.leader();
    std::uint64_t Kind = m_Sim.draw(1000);
    if (Kind < 250 && Leader)
      m_Sim.propose(*Leader, /*BigPercent=*/60);
    else if (Kind < 290)
      m_Sim.block((Leader ? *Leader : N).m_Vm, m_Sim.randomNode().m_Vm);
    else if (Kind < 320)
      m_Sim.healNetwork();
    else if (Kind < 345 && Leader)
      m_Sim.stop(*Leader, m_Sim.chance(50));
    else if (Kind < 355)
      (Leader ? *Leader : N).m_Disk->crashAfterOperations(1 + m_Sim.draw(4));
    else if (Kind < 455)
      m_Sim.start(N);
    else if (Kind < 555 && m_ImmediateRestarts && &N != Leader)
      restartNode(N);
    else if (Kind < 565)
      m_Sim.m_DelayPercent = m_Sim.draw(80);
  }

  void injectReplacement() {
    Node &N = m_Sim.randomNode();
    Node *Leader = m_Sim.leader();
    const std::uint64_t Kind = m_Sim.draw(1000);
    if (Kind < 700)
      proposeBatch(Leader ? *Leader : N);
    else if (Kind < 760)
      addNode(N);
    else if (Kind < 820)
      leave(N);
    else if (Kind < 840 && Leader)
      Leader->m_Log->abandonAddition();
    else if (Kind < 860)
      changeNetworkQuality();
    else if (Kind < 960)
      recoverNode(N);
  }

  /// Removes a voter of an even number, or transfers leadership first, as a
  /// graceful stop does. The VM stops when it has left, and a disk is lost.
  void leave(Node &N) {
    Node *Leader = m_Sim.leader();
    if (Leader == &N)
      return N.m_Log->transferLeadership();
    if (!Leader || Leader->m_Log->status().m_Voters.size() % 2 != 0)
      return;
    m_Sim.trace("leave " + N.m_Vm.m_Value);
    Leader->m_Log->removeVoter(
        N.m_Vm, [this, &N](const Result<Done, MembershipError> &R) {
          m_Sim.m_Events["voter left"] += isOk(R);
          if (isOk(R))
            m_LeftVms.push_back(&N);
        });
  }

  /// Stops the VMs that have left; a callback may not stop a VM.
  void stopLeftVms() {
    for (Node *Left : std::exchange(m_LeftVms, {})) {
      m_Sim.stop(*Left, /*PowerLost=*/false);
      Node &N = m_Sim.randomNode();
      if (&N != Left)
        loseDisk(N);
    }
  }

  /// A voter that restarts immediately can receive a vote request from a second
  /// candidate in the same term.
  void restartNode(Node &N) {
    m_Sim.stop(N, m_Sim.chance(50));
    m_Sim.start(N);
  }

  void injectRandomFault() {
    Node &N = m_Sim.randomNode();
    Node *Leader = m_Sim.leader();
    std::uint64_t Kind = m_Sim.draw(1000);
    auto Selects = [&](unsigned Weight) {
      bool Chosen = Kind < Weight;
      Kind -= Chosen ? 0 : Weight;
      return Chosen;
    };
    if (Selects(600))
      proposeBatch(Leader && !m_Sim.chance(10) ? *Leader : N);
    else if (Selects(60))
      readFromAll(Leader && m_Sim.chance(70) ? *Leader : N);
    else if (Selects(20))
      changeNetworkQuality();
    else if (Selects(12))
      partitionNode(Leader && m_Sim.chance(50) ? *Leader : N);
    else if (Selects(30))
      m_Sim.healNetwork();
    else if (Selects(12))
      m_Sim.stop(Leader && m_Sim.chance(40) ? *Leader : N, m_Sim.chance(60));
    else if (Selects(60))
      recoverNode(N);
    else if (Selects(25))
      N.m_Disk->crashAfterOperations(1 + m_Sim.draw(12));
    else if (Selects(4))
      N.m_Disk->setFull(true);
    else if (Selects(3))
      N.m_Disk->setSyncFailure(true);
    else if (Selects(8))
      loseDisk(Leader && m_Sim.chance(30) ? *Leader : N);
    else if (Selects(60))
      addNode(N);
    else if (Selects(12))
      removeNode(N);
    else if (Selects(8) && Leader)
      Leader->m_Log->transferLeadership();
  }

  /// Reads from all VMs, including leaders of older terms, which must not
  /// confirm.
  void readFromAll(Node &Chosen) {
    m_Sim.read(Chosen);
    for (auto &[Vm, N] : m_Sim.nodes())
      if (&N != &Chosen)
        m_Sim.read(N);
  }

  void proposeBatch(Node &N) {
    for (std::uint64_t Count = 1 + m_Sim.draw(4); Count > 0; --Count)
      m_Sim.propose(N);
  }

  void changeNetworkQuality() {
    m_Sim.m_LossPercent = m_Sim.chance(50) ? 0 : m_Sim.draw(30);
    m_Sim.m_DuplicatePercent = m_Sim.chance(50) ? 0 : m_Sim.draw(20);
    m_Sim.m_DelayPercent = m_Sim.chance(50) ? 0 : m_Sim.draw(30);
  }

  void partitionNode(Node &N) {
    m_Sim.trace(N.m_Vm.m_Value + " is partitioned");
    Node &Other = m_Sim.randomNode();
    if (m_Sim.chance(60))
      m_Sim.isolate(N.m_Vm);
    else
      m_Sim.block(N.m_Vm, Other.m_Vm);
  }

  void recoverNode(Node &N) {
    N.m_Disk->setFull(false);
    N.m_Disk->setSyncFailure(false);
    if (N.m_Log && N.m_Log->status().m_StoreError)
      m_Sim.stop(N, m_Sim.chance(50));
    m_Sim.start(N);
  }

  void loseDisk(Node &N) {
    if (m_Sim.canLoseDisk(N.m_Vm))
      m_Sim.loseDisk(N);
  }

  void addNode(Node &N) {
    Node *Leader = m_Sim.leader();
    if (!Leader || !N.m_Log)
      return;
    m_Sim.trace("add " + N.m_Vm.m_Value);
    Leader->m_Log->addVoter(N.m_Vm, N.m_Vm.m_Value,
                            [this](const Result<Done, MembershipError> &R) {
                              m_Sim.m_Events["voter added"] += isOk(R);
                            });
  }

  void removeNode(Node &N) {
    Node *Leader = m_Sim.leader();
    if (!Leader)
      return;
    Membership After = Leader->m_Log->core().membership();
    std::erase_if(After.m_Voters,
                  [&](const Member &M) { return M.m_Key.m_Vm == N.m_Vm; });
    if (!m_Sim.keepsMajority(After, VmId()))
      return;
    m_Sim.trace("remove " + N.m_Vm.m_Value);
    Leader->m_Log->removeVoter(N.m_Vm,
                               [this](const Result<Done, MembershipError> &R) {
                                 m_Sim.m_Events["voter removed"] += isOk(R);
                               });
  }

  void stopFaults() {
    m_Sim.trace("faults stopped");
    m_Sim.healNetwork();
    m_Sim.m_LossPercent = m_Sim.m_DuplicatePercent = m_Sim.m_DelayPercent = 0;
    m_Sim.m_OpenCrashPercent = 0;
    for (auto &[Vm, N] : m_Sim.nodes()) {
      N.m_Disk->cancelCrash();
      recoverNode(N);
    }
  }

  /// A configuration has to take effect on all VMs within 8 s, so within that
  /// time the log has to commit an entry and all voters have to apply it.
  void checkRecovery() {
    constexpr Duration RecoveryTimeout = std::chrono::seconds(8);
    TimePoint End = m_Sim.now() + RecoveryTimeout;
    std::size_t InitialCount = m_Sim.oracle().acknowledgedCount();
    while (m_Sim.oracle().acknowledgedCount() == InitialCount &&
           m_Sim.now() < End) {
      if (Node *Leader = m_Sim.leader())
        m_Sim.propose(*Leader);
      m_Sim.run(std::chrono::milliseconds(50));
    }
    LogOracle::require(m_Sim.oracle().acknowledgedCount() > InitialCount,
                       "no commit within 8 s after the faults stopped" +
                           m_Sim.describe());
    m_Sim.run(End - m_Sim.now());
    Node *Leader = m_Sim.leader();
    LogOracle::require(Leader != nullptr, "no leader after the faults stopped");
    for (const Member &Voter : Leader->m_Log->status().m_Voters) {
      const Node &N = m_Sim.nodes().at(Voter.m_Key.m_Vm);
      LogOracle::require(
          N.m_Store != Voter.m_Key.m_Store || N.m_State == Leader->m_State,
          "voter lacks committed entries 8 s after the faults stopped");
    }
  }

  ConsensusSim m_Sim;
  FuzzProfile m_Profile;
  /// VMs whose removal from the voters is committed.
  std::vector<Node *> m_LeftVms;
  /// True if the churn profile restarts voters immediately (even seeds).
  bool m_ImmediateRestarts;
};

} // namespace ragwortdrift

#endif
