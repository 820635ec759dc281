#ifndef RAGWORTDRIFT_TOOLS_LOAD_LEAF_CONTROL_HPP
#define RAGWORTDRIFT_TOOLS_LOAD_LEAF_CONTROL_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/tools/leaf/leaf_options.hpp"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace ragwortdrift::tools {

/// Fetches the array `leafs` from a records path ("/records/summary" or
/// "/records/all") of the control endpoints of all stand-in processes. Blocks
/// for at most 10 s for each endpoint.
Result<boost::json::array, OptionError>
fetchLeafs(const std::vector<boost::asio::ip::tcp::endpoint> &Controls,
           const std::string &Path);

} // namespace ragwortdrift::tools

#endif
