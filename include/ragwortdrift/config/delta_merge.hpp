#ifndef RAGWORTDRIFT_CONFIG_DELTA_MERGE_HPP
#define RAGWORTDRIFT_CONFIG_DELTA_MERGE_HPP

#include "ragwortdrift/config/document.hpp"

#include <vector>

namespace ragwortdrift {

/// One delta to revision Rev that names every section that Changes touch, for
/// updateCatalog. Doc is the document after the last of them. Its base is Rev -
/// 1, so it must not be sent to others.
Delta mergeDeltas(const std::vector<Delta> &Changes, Revision Rev,
                  const Document &Doc);

} // namespace ragwortdrift

#endif
