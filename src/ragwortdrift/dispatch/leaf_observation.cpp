#include "ragwortdrift/dispatch/leaf_observation.hpp"

#include <algorithm>

namespace ragwortdrift {

void mergeObservations(std::map<LeafId, LeafObservation> &Sum,
                       const std::vector<LeafObservation> &Observations) {
  for (const LeafObservation &Item : Observations) {
    LeafObservation &Total = Sum[Item.m_Leaf];
    Total.m_Leaf = Item.m_Leaf;
    Total.m_Attempts += Item.m_Attempts;
    Total.m_Failures += Item.m_Failures;
    Total.m_SlownessSum += Item.m_SlownessSum;
    Total.m_Paces += Item.m_Paces;
    Total.m_PaceSum += Item.m_PaceSum;
    Total.m_ConcurrencySum += Item.m_ConcurrencySum;
    Total.m_Refusals += Item.m_Refusals;
    Total.m_Slots = std::max(Total.m_Slots, Item.m_Slots);
  }
}

std::vector<LeafObservation>
drainObservations(std::map<LeafId, LeafObservation> &Sum) {
  std::vector<LeafObservation> Out;
  Out.reserve(Sum.size());
  for (auto &[Id, Item] : Sum)
    Out.push_back(std::move(Item));
  Sum.clear();
  return Out;
}

} // namespace ragwortdrift
