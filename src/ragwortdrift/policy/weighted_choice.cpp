#include "ragwortdrift/policy/weighted_choice.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace ragwortdrift {

namespace {

/// Exponent of the weights: a leaf that costs a tenth more gets half as many
/// requests as the cheapest one, one that costs half as much again hardly any.
constexpr double Steepness = 8;

} // namespace

std::size_t chooseByCost(std::span<const double> Costs,
                         std::mt19937_64 &Engine) {
  const double Lowest = *std::min_element(Costs.begin(), Costs.end());
  std::vector<double> Weights;
  Weights.reserve(Costs.size());
  for (const double Cost : Costs)
    Weights.push_back(std::pow(Lowest / Cost, Steepness));
  return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                 Weights.end())(Engine);
}

} // namespace ragwortdrift
