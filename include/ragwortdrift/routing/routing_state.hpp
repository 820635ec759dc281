#ifndef RAGWORTDRIFT_ROUTING_ROUTING_STATE_HPP
#define RAGWORTDRIFT_ROUTING_ROUTING_STATE_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"

#include <set>
#include <string>
#include <variant>

namespace ragwortdrift {

/// A routing configuration as it was submitted. The text is kept byte by byte,
/// so that a read gives back what was sent.
struct ConfigText {
  std::uint64_t m_Version = 0;
  std::string m_Text;

  friend bool operator==(const ConfigText &, const ConfigText &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Version, m_Text);
  }
};

/// Puts a configuration in force when its version is higher than the one held.
struct SetConfig {
  ConfigText m_Config;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Config); }
};

/// Takes a failure domain out of service, or back in.
struct SetDomainOut {
  FailureDomain m_Domain;
  bool m_Out = false;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Domain, m_Out); }
};

/// Raises the number of entry VMs that share budgets and connections. It is
/// kept so that VMs know it before they serve anything when all restart at
/// once.
struct RaiseEntryCount {
  std::uint32_t m_Count = 0;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Count); }
};

using RoutingOrder = std::variant<SetConfig, SetDomainOut, RaiseEntryCount>;

enum class OrderOutcome : std::uint8_t {
  Accepted,
  /// The order was in force before, or a higher version is.
  Unchanged,
  /// The version is held with another text.
  OtherContent
};
template <> struct EnumNames<OrderOutcome> {
  static constexpr std::array Entries{
      EnumName<OrderOutcome>{OrderOutcome::Accepted, "accepted"},
      EnumName<OrderOutcome>{OrderOutcome::Unchanged, "unchanged"},
      EnumName<OrderOutcome>{OrderOutcome::OtherContent, "other_content"}};
};

/// The operators' state that voters replicate.
struct RoutingState {
  /// Grows with each order that changed something.
  std::uint64_t m_Revision = 0;
  ConfigText m_Config;
  std::set<FailureDomain> m_DomainsOut;
  /// The most entry VMs that were seen.
  std::uint32_t m_EntryCount = 0;

  friend bool operator==(const RoutingState &, const RoutingState &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Revision, m_Config, m_DomainsOut, m_EntryCount);
  }
};

/// Applies a committed order.
OrderOutcome applyOrder(RoutingState &State, const RoutingOrder &Order);

} // namespace ragwortdrift

#endif
