#ifndef RAGWORTDRIFT_DISPATCH_ACCOUNT_QUOTA_HPP
#define RAGWORTDRIFT_DISPATCH_ACCOUNT_QUOTA_HPP

#include "ragwortdrift/limits/limit.hpp"
#include "ragwortdrift/routing/route_table.hpp"

#include <optional>

namespace ragwortdrift {

/// Bound of the requests of an account: in any window, all VMs together send at
/// most (rate x window + burst) x (1 + overshoot) + tolerance.
struct QuotaBounds {
  Duration m_Window = std::chrono::seconds(5);
  double m_Overshoot = 0.1;
  double m_Tolerance = 20;
};

/// Returns the terms under which tokens for the requests of an account are
/// granted, such that the bound holds (see docs/design/client-accounts.md). The
/// account must have a quota.
LimitTerms quotaTerms(const ClientAccount &Account, const QuotaBounds &Bounds,
                      std::uint64_t ConfigVersion);

/// Whether the configurations that a VM has received permit a request.
enum class KeyVerdict {
  Permitted,
  /// No received configuration has the key.
  Unknown,
  /// The configuration in force and the one that is held differ.
  Changing
};

struct KeyFinding {
  KeyVerdict m_Verdict = KeyVerdict::Permitted;
  /// Account of the caller in the configuration in force; null for an anonymous
  /// caller.
  const ClientAccount *m_Account = nullptr;
  /// Terms of the quota, the lower one if a held configuration changes it.
  std::optional<LimitTerms> m_Quota;
};

/// Looks up the account of a request on a route of the configuration in force.
/// HeldTable is null if no configuration is held. A held configuration
/// withdraws keys and lowers quotas at once, and adds nothing before it is in
/// force. On a public route a known key identifies the account and any other is
/// ignored.
KeyFinding findKey(const RouteTable &Current, const RouteTable *HeldTable,
                   const Route &Target, std::string_view Path,
                   std::string_view Key, const QuotaBounds &Bounds);

} // namespace ragwortdrift

#endif
