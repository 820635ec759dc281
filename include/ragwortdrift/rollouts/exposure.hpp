#ifndef RAGWORTDRIFT_ROLLOUTS_EXPOSURE_HPP
#define RAGWORTDRIFT_ROLLOUTS_EXPOSURE_HPP

#include "ragwortdrift/limits/limit.hpp"
#include "ragwortdrift/routing/rollout.hpp"

namespace ragwortdrift {

/// Bounds on what a faulty version may affect, over all VMs.
struct RolloutBounds {
  /// Share of the requests to the service that the version may get while it is
  /// rolled out, 0 to 1.
  double m_Share = 0.1;
  /// Further requests in each roll-out.
  double m_Tolerance = 0;
  /// Time after the 50th bad answer in which it must get no more.
  Duration m_RollbackTime{0};
};

LimitId exposureLimit(const ServiceName &Service);
/// Terms of the tokens of which each request to the target version takes one.
LimitTerms exposureTerms(const RolloutBounds &Bounds, const Rollout &Target);
/// Tokens that each request to the service contributes.
double exposureContribution(const RolloutBounds &Bounds);

} // namespace ragwortdrift

#endif
