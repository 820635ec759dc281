#ifndef RAGWORTDRIFT_TOOLS_CTL_OFFLINE_HPP
#define RAGWORTDRIFT_TOOLS_CTL_OFFLINE_HPP

#include "ragwortdrift/base/read_file.hpp"
#include "ragwortdrift/config/manifest.hpp"
#include "ragwortdrift/tools/ctl/options.hpp"

#include <iosfwd>
#include <optional>
#include <string>

namespace ragwortdrift::ctl {

/// Prints the faults of a file to Err, or as JSON to Out.
void printFaults(const std::string &Path,
                 const std::vector<ConfigError> &Faults, bool Json,
                 std::ostream &Out, std::ostream &Err);

/// `check`: reads a manifest or settings and prints its faults or its size.
ExitCode checkFile(const Options &CommandLine, std::ostream &Out,
                   std::ostream &Err);

/// Prints what turns Current into Wanted. A customer that Wanted names without
/// settings keeps those it has.
void printDifference(std::uint64_t CurrentRevision, const Document &Current,
                     const Document &Wanted, bool Json, std::ostream &Out);

} // namespace ragwortdrift::ctl

#endif
