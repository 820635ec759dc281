#ifndef RAGWORTDRIFT_TOOLS_LOAD_LEAF_CONTROL_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_LEAF_CONTROL_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/tools/leaf/leaf_options.hpp"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace ragwortdrift::tools {

/// Fetches `leafs` of a records path ("/records/summary", "/records/all") from
/// the control endpoints of all stand-in processes. Blocks; gives up after 10 s
/// for each endpoint.
Result<boost::json::array, OptionError>
fetchLeafs(const std::vector<boost::asio::ip::tcp::endpoint> &Controls,
           const std::string &Path);

} // namespace ragwortdrift::tools

#endif
