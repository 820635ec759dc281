#include "ragwortdrift/dispatch/account_quota.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Shares of the tolerance that are used to save tokens up, and at each start
/// of an allocator. The rest is used to lend tokens.
constexpr double CapacityToleranceShare = 0.2;
constexpr double InitialToleranceShare = 0.1;
/// Share of the rate within the bound that is granted beyond the rate of the
/// account.
constexpr double RateShare = 0.97;
/// Rate that is reserved before leases become longer, as a multiple of that of
/// the account.
constexpr double RateReserve = 1.5;
/// Longest lease: longer than the interval between the requests of an active
/// caller, whose next one then finds a token.
constexpr double MaxLeaseSeconds = 2;
/// Shortest lease that a token survives on its way to its holder.
constexpr double MinLeaseSeconds = 0.25;
/// Time for which two allocators grant at once. A voter follows no other leader
/// for longer than an allocator's authority lasts, unless it has restarted.
constexpr double OverlapSeconds = 0.2;
/// Fastest clock of an allocator.
constexpr double ClockSpeed = 1.01;
/// Changes of the allocator within a window.
constexpr double AllocatorChanges = 2;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

struct TableFinding {
  bool m_IsPermitted = true;
  const ClientAccount *m_Account = nullptr;
};

TableFinding findInTable(const RouteTable &Table, bool IsPublic,
                         std::string_view Key) {
  const AccountTable *Accounts = Table.accounts();
  if (!Accounts)
    return {};
  const ClientAccount *Account = Key.empty() ? nullptr : Accounts->find(Key);
  return {IsPublic || Account, Account};
}

bool lowersQuota(const ClientAccount &Next, const ClientAccount &Current) {
  return Next.hasQuota() && (!Current.hasQuota() ||
                             Next.m_RatePerSecond < Current.m_RatePerSecond ||
                             Next.m_Burst < Current.m_Burst);
}

} // namespace

LimitTerms quotaTerms(const ClientAccount &Account, const QuotaBounds &Bounds,
                      std::uint64_t ConfigVersion) {
  const double Rate = Account.m_RatePerSecond;
  const double Window = seconds(Bounds.m_Window);
  const double Bound =
      (Rate * Window + Account.m_Burst) * (1 + Bounds.m_Overshoot) +
      Bounds.m_Tolerance;
  LimitTerms Terms;
  Terms.m_Version = ConfigVersion;
  // A bucket that cannot hold one token never grants any.
  Terms.m_Capacity = std::max(
      Account.m_Burst + CapacityToleranceShare * Bounds.m_Tolerance, 1.0);
  Terms.m_InitialTokens = InitialToleranceShare * Bounds.m_Tolerance;
  const double Room =
      Bound - Terms.m_Capacity - AllocatorChanges * Terms.m_InitialTokens;
  const double Granting = ClockSpeed * Window + OverlapSeconds;
  // The lease takes what the rate and a reserve above it leave. Where that is
  // too little for the way of a token to its holder, the rate is reduced
  // instead.
  const double Reserved = RateReserve * Rate;
  const double Lease = std::clamp((Room - Reserved * Granting) / Reserved,
                                  MinLeaseSeconds, MaxLeaseSeconds);
  Terms.m_LeaseTime = Duration(static_cast<Duration::rep>(1e6 * Lease));
  // Requests beyond the rate are served as far as the bound permits them.
  const double RateInBound = std::max(Room / (Granting + Lease), 0.0);
  Terms.m_RatePerSecond =
      std::min(RateInBound, std::max(Rate, RateShare * RateInBound));
  return Terms;
}

KeyFinding findKey(const RouteTable &Current, const RouteTable *HeldTable,
                   const Route &Target, std::string_view Path,
                   std::string_view Key, const QuotaBounds &Bounds) {
  const TableFinding InForce = findInTable(Current, Target.m_IsPublic, Key);
  TableFinding Next = InForce;
  if (HeldTable) {
    // A route that the held configuration drops is served until then.
    const Route *NextRoute = HeldTable->find(Target.m_Host, Path);
    Next = findInTable(*HeldTable, (NextRoute ? *NextRoute : Target).m_IsPublic,
                       Key);
  }
  if (!InForce.m_IsPermitted && !Next.m_IsPermitted)
    return {KeyVerdict::Unknown, nullptr, std::nullopt};
  if (InForce.m_IsPermitted != Next.m_IsPermitted)
    return {KeyVerdict::Changing, nullptr, std::nullopt};
  const ClientAccount *Account = InForce.m_Account;
  if (!Account)
    return {};
  const bool IsWithdrawn =
      HeldTable && HeldTable->accounts() && !Next.m_Account;
  const bool IsMoved =
      Next.m_Account && Next.m_Account->m_Name != Account->m_Name;
  if ((IsMoved || IsWithdrawn) && !Target.m_IsPublic)
    return {KeyVerdict::Changing, nullptr, std::nullopt};
  if (IsMoved || IsWithdrawn)
    return {};
  KeyFinding Out{KeyVerdict::Permitted, Account, std::nullopt};
  if (HeldTable && Next.m_Account && lowersQuota(*Next.m_Account, *Account))
    Out.m_Quota =
        quotaTerms(*Next.m_Account, Bounds, HeldTable->config().m_Version);
  else if (Account->hasQuota())
    Out.m_Quota = quotaTerms(*Account, Bounds, Current.config().m_Version);
  return Out;
}

} // namespace ragwortdrift
