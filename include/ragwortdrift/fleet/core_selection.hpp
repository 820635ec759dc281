#ifndef RAGWORTDRIFT_FLEET_CORE_SELECTION_HPP
#define RAGWORTDRIFT_FLEET_CORE_SELECTION_HPP

#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/fleet/named_addresses.hpp"

#include <cstdint>

namespace ragwortdrift {

/// Chooses the core VMs that an entry VM watches. It knows the addresses in its
/// settings and those that core VMs name in their reports. An address is
/// forgotten when no core VM names it any more; those in the settings and
/// connected ones stay. Up to a limit, every known core VM is watched. Beyond
/// it, core VMs of failure domains that are not watched yet come first. An
/// address that does not answer is tried again and again, but never takes the
/// place of one that does.
class CoreSelection {
public:
  /// Changes of the watches. The caller carries them out in this order.
  struct Changes {
    /// Known no more: neither watched nor tried again.
    std::vector<std::string> m_Forgotten;
    /// Connected beyond the limit.
    std::vector<std::string> m_Closed;
    std::vector<std::string> m_Opened;
  };
  struct Counts {
    std::size_t m_Known = 0;
    std::size_t m_Connected = 0;
    bool operator==(const Counts &) const = default;
  };

  /// Seed differs between entry VMs, so that they choose different core VMs
  /// beyond the limit.
  CoreSelection(std::uint64_t Seed, std::size_t MaxConnected)
      : m_Seed(Seed), m_MaxConnected(MaxConnected) {}

  void setConfigured(std::set<std::string> Addresses) {
    m_Configured = std::move(Addresses);
    m_NeedsUpdate = true;
  }
  /// Records a report and the addresses that it names. Returns true if its
  /// sender was not connected.
  bool recordReport(const std::string &Sender, const FailureDomain &Domain,
                    const std::vector<std::string> &Named, TimePoint Now);
  /// Records that a watch has ended or could not be opened. Returns true if it
  /// was connected.
  bool recordEnd(const std::string &Address);
  /// True if something was recorded that may require changes.
  bool needsUpdate() const { return m_NeedsUpdate; }
  /// Decides the changes that are due and takes them as carried out. Source is
  /// never closed.
  Changes update(const std::string &Source);

  bool isConnected(const std::string &Address) const;
  /// True if another core VM names an address, or none can be asked.
  bool isExpectedToRun(const std::string &Address) const;
  Counts counts() const;

private:
  enum class State {
    /// Known, but not watched.
    Idle,
    /// The first attempt to connect is in progress.
    Connecting,
    Connected,
    /// The last attempt failed or the connection was lost.
    Silent
  };
  struct Core {
    State m_State = State::Idle;
    /// From its last report; empty before the first.
    FailureDomain m_Domain;
  };
  using DomainCounts = std::map<FailureDomain, std::size_t>;

  std::size_t count(State Sought) const;
  DomainCounts connectedDomains() const;
  std::uint64_t rank(const std::string &Address) const;
  void closeSurplus(const std::string &Source, Changes &Result);
  void openIdle(Changes &Result);

  std::uint64_t m_Seed;
  std::size_t m_MaxConnected;
  std::set<std::string> m_Configured;
  NamedAddresses m_Named;
  std::map<std::string, Core> m_Cores;
  bool m_NeedsUpdate = false;
};

} // namespace ragwortdrift

#endif
