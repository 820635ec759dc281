#ifndef RAGWORTDRIFT_POLICY_WEIGHTED_CHOICE_HPP
#define RAGWORTDRIFT_POLICY_WEIGHTED_CHOICE_HPP

#include <cstddef>
#include <random>
#include <span>

namespace ragwortdrift {

/// Chooses one of several leafs by their costs, at random with weights that
/// fall steeply with the cost. Many VMs learn the same estimates at the same
/// time: if each took the cheapest leaf, all would go there at once. Costs are
/// positive; returns the index of the chosen one. Costs must not be empty.
std::size_t chooseByCost(std::span<const double> Costs,
                         std::mt19937_64 &Engine);

} // namespace ragwortdrift

#endif
