#include "ragwortdrift/rollouts/exposure.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Part of the permitted share that requests contribute. The rest is kept for
/// the end of the roll-out, when the version gets all requests.
constexpr double ContributedShare = 0.7;
/// Part of the tolerance that the bucket saves up, which a later roll-out of
/// the same service may find in it.
constexpr double CapacityShare = 0.5;
/// Part of the tolerance with which an allocator starts. Gives a service with
/// few requests its evidence, and covers two changes of the allocator.
constexpr double InitialShare = 0.24;
/// Upper bound of the lease: long enough that a VM with one request a second to
/// a service uses its tokens.
constexpr std::chrono::milliseconds MaxLeaseTime{1500};
/// Part of the roll-back time for which a VM that has lost contact may use a
/// token.
constexpr int LeasesPerRollbackTime = 3;

} // namespace

LimitId exposureLimit(const ServiceName &Service) {
  return {LimitKind::Exposure, Service.m_Value};
}

LimitTerms exposureTerms(const RolloutBounds &Bounds, const Rollout &Target) {
  LimitTerms Terms;
  Terms.m_Version = Target.m_Id;
  Terms.m_Capacity = CapacityShare * Bounds.m_Tolerance;
  Terms.m_InitialTokens = InitialShare * Bounds.m_Tolerance;
  Terms.m_LeaseTime = std::min<Duration>(
      MaxLeaseTime, Bounds.m_RollbackTime / LeasesPerRollbackTime);
  return Terms;
}

double exposureContribution(const RolloutBounds &Bounds) {
  return ContributedShare * Bounds.m_Share;
}

} // namespace ragwortdrift
