#ifndef RAGWORTDRIFT_TOOLS_CTL_COMMANDS_HPP
#define RAGWORTDRIFT_TOOLS_CTL_COMMANDS_HPP

#include "ragwortdrift/tools/ctl/options.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace ragwortdrift::ctl {

/// Runs ragwortdriftctl with Args, which exclude the program name. Results are
/// written to Out, messages to Err.
ExitCode runCtl(const std::vector<std::string> &Args, std::ostream &Out,
                std::ostream &Err);

} // namespace ragwortdrift::ctl

#endif
