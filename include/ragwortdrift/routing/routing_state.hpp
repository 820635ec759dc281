#ifndef RAGWORTDRIFT_ROUTING_ROUTING_STATE_HPP
#define RAGWORTDRIFT_ROUTING_ROUTING_STATE_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"

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

/// Takes a failure domain out of service or returns it to service.
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

using RoutingCommand = std::variant<SetConfig, SetDomainOut, RaiseEntryCount>;

enum class RoutingCommandOutcome : std::uint8_t {
  Accepted,
  /// The command has no effect: it is already in force, or a higher version is.
  Unchanged,
  /// The version already exists with different content.
  OtherContent
};
template <> struct EnumNames<RoutingCommandOutcome> {
  static constexpr std::array Entries{
      EnumName<RoutingCommandOutcome>{RoutingCommandOutcome::Accepted,
                                      "accepted"},
      EnumName<RoutingCommandOutcome>{RoutingCommandOutcome::Unchanged,
                                      "unchanged"},
      EnumName<RoutingCommandOutcome>{RoutingCommandOutcome::OtherContent,
                                      "other_content"}};
};

/// State set by operators that the voters replicate.
struct RoutingState {
  /// Incremented by each command that changes the state.
  std::uint64_t m_Revision = 0;
  ConfigText m_Config;
  std::set<FailureDomain> m_DomainsOut;
  /// The highest number of entry VMs seen so far.
  std::uint32_t m_EntryCount = 0;

  friend bool operator==(const RoutingState &, const RoutingState &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Revision, m_Config, m_DomainsOut, m_EntryCount);
  }
};

/// Applies a committed command.
RoutingCommandOutcome applyCommand(RoutingState &State,
                                   const RoutingCommand &Command);

} // namespace ragwortdrift

#endif
