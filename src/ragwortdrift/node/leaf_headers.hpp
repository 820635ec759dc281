#ifndef RAGWORTDRIFT_NODE_LEAF_HEADERS_HPP
#define RAGWORTDRIFT_NODE_LEAF_HEADERS_HPP

#include "ragwortdrift/net/http_types.hpp"
#include "ragwortdrift/node/relay_messages.hpp"

#include <string_view>
#include <vector>

namespace ragwortdrift {

/// What a leaf's HTTP answer says in its headers.
struct LeafHeaders {
  RelayStatus m_Status = RelayStatus::MayHaveRun;
  SnapshotVersion m_Snapshot;
  std::vector<SnapshotVersion> m_Offered;
  std::string m_BootId;
  bool m_Cold = false;
  bool m_Leaving = false;
};

LeafHeaders readLeafHeaders(const HttpResponse &Response);

} // namespace ragwortdrift

#endif
