#ifndef RAGWORTDRIFT_ROUTING_ROUTING_STATE_HPP
#define RAGWORTDRIFT_ROUTING_ROUTING_STATE_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/routing/rollout.hpp"

#include <map>
#include <set>
#include <string>
#include <variant>

namespace ragwortdrift {

/// A routing configuration as submitted. The text is stored verbatim, so that a
/// read returns exactly the submitted bytes.
struct ConfigText {
  std::uint64_t m_Version = 0;
  std::string m_Text;

  friend bool operator==(const ConfigText &, const ConfigText &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Version, m_Text);
  }
};

/// Applies a configuration if its version is higher than the current one.
struct SetConfig {
  ConfigText m_Config;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Config); }
};

/// Takes a failure domain out of service or returns it to service, whatever has
/// happened since it was submitted. Contained in logs of earlier releases; new
/// commands are ChangeDomainOut.
struct SetDomainOut {
  FailureDomain m_Domain;
  bool m_Out = false;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Domain, m_Out); }
};

/// Raises the number of entry VMs that share budgets and connections. The
/// number is replicated so that VMs have it before they serve requests when all
/// restart at once.
struct RaiseEntryCount {
  std::uint32_t m_Count = 0;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Count); }
};

/// Takes a failure domain out of service or returns it to service, provided
/// that it has not changed since the command was submitted. A copy that arrives
/// late then does not undo a later command.
struct ChangeDomainOut {
  FailureDomain m_Domain;
  bool m_Out = false;
  /// Revision of the domain's last change; 0 if there was none.
  std::uint64_t m_LastChange = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Domain, m_Out, m_LastChange);
  }
};

/// The order of the alternatives is part of the log format.
using RoutingCommand =
    std::variant<SetConfig, SetDomainOut, RaiseEntryCount, ChangeDomainOut,
                 StartRollout, AdvanceRollout>;

enum class RoutingCommandOutcome : std::uint8_t {
  Accepted,
  /// The command has no effect: it is already in force, or a higher version is.
  Unchanged,
  /// The version already exists with different content.
  OtherContent,
  /// The command depends on a state that has changed; it was not executed.
  Outdated,
  /// Another roll-out of the service is in progress.
  Conflicting
};
template <> struct EnumNames<RoutingCommandOutcome> {
  static constexpr std::array Entries{
      EnumName<RoutingCommandOutcome>{RoutingCommandOutcome::Accepted,
                                      "accepted"},
      EnumName<RoutingCommandOutcome>{RoutingCommandOutcome::Unchanged,
                                      "unchanged"},
      EnumName<RoutingCommandOutcome>{RoutingCommandOutcome::OtherContent,
                                      "other_content"},
      EnumName<RoutingCommandOutcome>{RoutingCommandOutcome::Outdated,
                                      "outdated"},
      EnumName<RoutingCommandOutcome>{RoutingCommandOutcome::Conflicting,
                                      "conflicting"}};
};

/// State set by operators that the voters replicate.
struct RoutingState {
  /// Incremented by each command that changes the state.
  std::uint64_t m_Revision = 0;
  ConfigText m_Config;
  std::set<FailureDomain> m_DomainsOut;
  /// The highest number of entry VMs seen so far.
  std::uint32_t m_EntryCount = 0;
  /// Revision of the last change of each failure domain that was ever out.
  std::map<FailureDomain, std::uint64_t> m_DomainChanges;
  /// The latest roll-out of each service that ever had one.
  Rollouts m_Rollouts;

  friend bool operator==(const RoutingState &, const RoutingState &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Revision, m_Config, m_DomainsOut, m_EntryCount, m_DomainChanges,
       m_Rollouts);
  }
};

/// Returns the revision of the last change of a failure domain; 0 if there was
/// none.
std::uint64_t lastChange(const RoutingState &State,
                         const FailureDomain &Domain);

/// Returns Rollout::m_LastChange of the latest roll-out of a service; 0 if
/// there was none.
std::uint64_t lastChange(const RoutingState &State, const ServiceName &Service);

/// Decodes a state of this release, or of an earlier one, which had no
/// roll-outs or recorded no changes of failure domains.
Result<RoutingState, CodecError> decodeState(std::string_view Bytes);

/// Applies a committed command.
RoutingCommandOutcome applyCommand(RoutingState &State,
                                   const RoutingCommand &Command);

} // namespace ragwortdrift

#endif
