#ifndef RAGWORTDRIFT_TOOLS_COMMON_MANIFEST_VIEW_HPP
#define RAGWORTDRIFT_TOOLS_COMMON_MANIFEST_VIEW_HPP

#include "ragwortdrift/tools/leaf/leaf_options.hpp"

#include <map>
#include <string>
#include <vector>

namespace ragwortdrift::tools {

/// A replica as listed in the manifest.
struct LeafView {
  std::string m_Name;
  std::string m_Domain;
  boost::asio::ip::tcp::endpoint m_Address;
};

/// A service from the point of view of a caller.
struct ServiceView {
  std::string m_Name;
  bool m_Fanout = true;
  std::uint64_t m_DeadlineMs = 240;
  /// Replicas by group name.
  std::map<std::string, std::vector<LeafView>> m_Groups;
};

/// The services of a manifest by name.
using ManifestView = std::map<std::string, ServiceView>;

/// Reads the services of the manifest at Path, independently of the daemon's
/// catalog.
Result<ManifestView, OptionError> readManifestView(const std::string &Path);

} // namespace ragwortdrift::tools

#endif
