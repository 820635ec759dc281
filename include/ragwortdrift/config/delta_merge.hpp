#ifndef RAGWORTDRIFT_CONFIG_DELTA_MERGE_HPP
#define RAGWORTDRIFT_CONFIG_DELTA_MERGE_HPP

#include "ragwortdrift/config/document.hpp"

#include <vector>

namespace ragwortdrift {

/// Merges several deltas into one for updateCatalog. It leads to revision Rev
/// and contains every section that Changes modify. Doc is the document after
/// the last of them. The base of the merged delta is Rev - 1, which is not the
/// base of the first delta, so it must not be sent to other VMs.
Delta mergeDeltas(const std::vector<Delta> &Changes, Revision Rev,
                  const Document &Doc);

} // namespace ragwortdrift

#endif
