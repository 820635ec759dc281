#ifndef RAGWORTDRIFT_NODE_LEAF_HEADERS_HPP
#define RAGWORTDRIFT_NODE_LEAF_HEADERS_HPP

#include "ragwortdrift/net/http_types.hpp"
#include "ragwortdrift/node/relay_messages.hpp"

#include <string_view>
#include <vector>

namespace ragwortdrift {

/// The headers of a leaf's HTTP response.
struct LeafHeaders {
  RelayStatus m_Status = RelayStatus::MaybeExecuted;
  SnapshotVersion m_Snapshot;
  std::vector<SnapshotVersion> m_OfferedSnapshots;
  std::string m_BootId;
  bool m_Cold = false;
  bool m_ShuttingDown = false;
};

LeafHeaders readLeafHeaders(const HttpResponse &Response);

} // namespace ragwortdrift

#endif
