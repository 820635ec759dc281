#ifndef RAGWORTDRIFT_ROUTING_ROLLOUT_HPP
#define RAGWORTDRIFT_ROUTING_ROLLOUT_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"

#include <map>
#include <string>
#include <vector>

namespace ragwortdrift {

enum class RolloutPhase : std::uint8_t {
  /// The target version gets a limited share of the requests.
  Running,
  /// The target version gets all requests, while requests end at the other
  /// leafs, which are still there.
  Completing,
  /// Final: only the target version is in use.
  Completed,
  /// Final: the target version is not used.
  RolledBack
};
template <> struct EnumNames<RolloutPhase> {
  using Row = EnumName<RolloutPhase>;
  static constexpr std::array Entries{
      Row{RolloutPhase::Running, "running"},
      Row{RolloutPhase::Completing, "completing"},
      Row{RolloutPhase::Completed, "completed"},
      Row{RolloutPhase::RolledBack, "rolled_back"}};
};

/// The latest roll-out of a service.
struct Rollout {
  /// Revision of the routing state that its start created.
  std::uint64_t m_Id = 0;
  /// Revision of the last change of phase.
  std::uint64_t m_LastChange = 0;
  std::string m_TargetVersion;
  /// Time from the start within which it is completed or rolled back.
  Duration m_Duration{0};
  RolloutPhase m_Phase = RolloutPhase::Running;
  /// Reason for the last change of phase, for operators.
  std::string m_Cause;
  /// Versions that earlier roll-outs of the service have rolled back, latest
  /// last.
  std::vector<std::string> m_RejectedVersions;

  bool isOpen() const {
    return m_Phase == RolloutPhase::Running ||
           m_Phase == RolloutPhase::Completing;
  }
  friend bool operator==(const Rollout &, const Rollout &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Id, m_LastChange, m_TargetVersion, m_Duration, m_Phase, m_Cause,
       m_RejectedVersions);
  }
};

using Rollouts = std::map<ServiceName, Rollout>;

/// Starts a roll-out of a service, provided that none of its roll-outs has
/// changed since the command was submitted. The target version of the latest
/// roll-out is not rolled out again, whatever its outcome.
struct StartRollout {
  ServiceName m_Service;
  std::string m_TargetVersion;
  Duration m_Duration{0};
  /// Rollout::m_LastChange of the service's latest roll-out; 0 if there was
  /// none.
  std::uint64_t m_LastChange = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Service, m_TargetVersion, m_Duration, m_LastChange);
  }
};

/// Brings a roll-out to its next phase. Without effect on any other roll-out,
/// and on a phase that is the same or later.
struct AdvanceRollout {
  ServiceName m_Service;
  /// Rollout::m_Id.
  std::uint64_t m_Id = 0;
  RolloutPhase m_Phase = RolloutPhase::Running;
  std::string m_Cause;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Service, m_Id, m_Phase, m_Cause);
  }
};

enum class RoutingCommandOutcome : std::uint8_t;

/// Apply a committed command. Revision is that of the state and is incremented
/// if the command changes the roll-outs.
RoutingCommandOutcome applyRollout(Rollouts &State, std::uint64_t &Revision,
                                   const StartRollout &Command);
RoutingCommandOutcome applyRollout(Rollouts &State, std::uint64_t &Revision,
                                   const AdvanceRollout &Command);

} // namespace ragwortdrift

#endif
