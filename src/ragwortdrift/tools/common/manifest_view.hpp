#ifndef RAGWORTDRIFT_TOOLS_COMMON_MANIFEST_VIEW_HPP
#define RAGWORTDRIFT_TOOLS_COMMON_MANIFEST_VIEW_HPP

#include "ragwortdrift/tools/leaf/leaf_options.hpp"

#include <map>
#include <string>
#include <vector>

namespace ragwortdrift::tools {

/// A replica, as the manifest names it.
struct LeafView {
  std::string m_Name;
  std::string m_Domain;
  boost::asio::ip::tcp::endpoint m_Address;
};

/// A service, as a caller knows it.
struct ServiceView {
  std::string m_Name;
  bool m_Fanout = true;
  std::uint64_t m_DeadlineMs = 240;
  /// The replicas of each group.
  std::map<std::string, std::vector<LeafView>> m_Groups;
};

using ManifestView = std::map<std::string, ServiceView>;

/// The services of a manifest, read independently of the daemon's catalog.
Result<ManifestView, OptionError> readManifestView(const std::string &Path);

} // namespace ragwortdrift::tools

#endif
