#ifndef RAGWORTDRIFT_TOOLS_CTL_OFFLINE_HPP
#define RAGWORTDRIFT_TOOLS_CTL_OFFLINE_HPP

#include "ragwortdrift/base/read_file.hpp"
#include "ragwortdrift/config/manifest.hpp"
#include "ragwortdrift/tools/ctl/options.hpp"

#include <iosfwd>
#include <optional>
#include <string>

namespace ragwortdrift::ctl {

/// Prints the errors of a file as text to Err, or as JSON to Out.
void printErrors(const std::string &Path,
                 const std::vector<ConfigError> &Errors, bool Json,
                 std::ostream &Out, std::ostream &Err);

/// Implements `check`: parses a manifest or the settings of a daemon and prints
/// the errors or, if the file is valid, a summary.
ExitCode checkFile(const Options &CommandLine, std::ostream &Out,
                   std::ostream &Err);

/// Prints the changes that turn Current into Target. A customer section without
/// settings in Target leaves the current settings of the customer unchanged.
void printDiff(std::uint64_t CurrentRevision, const Document &Current,
               const Document &Target, bool Json, std::ostream &Out);

} // namespace ragwortdrift::ctl

#endif
