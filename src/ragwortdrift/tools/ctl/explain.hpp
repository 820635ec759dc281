#ifndef RAGWORTDRIFT_TOOLS_CTL_EXPLAIN_HPP
#define RAGWORTDRIFT_TOOLS_CTL_EXPLAIN_HPP

#include "ragwortdrift/tools/ctl/options.hpp"

#include <iosfwd>
#include <map>

namespace ragwortdrift::ctl {

/// A line of a log: text (key=value) or JSON. What stands before the first
/// field, for example a prefix that a collector added, is left out.
struct LogLine {
  std::string m_Text;
  std::map<std::string, std::string> m_Fields;

  std::string field(const std::string &Name) const {
    const auto Found = m_Fields.find(Name);
    return Found == m_Fields.end() ? std::string() : Found->second;
  }
};

/// Reads a line; nothing when it is no log line with a time and an event.
std::optional<LogLine> parseLogLine(std::string_view Text);

/// `explain`: prints the lines of one request from several logs in order of
/// time. Before each line stands what its process believed at that moment: the
/// configuration, isolation, the core VMs, and the leafs that the line names.
ExitCode explainRequest(const Options &CommandLine, std::ostream &Out,
                        std::ostream &Err);

} // namespace ragwortdrift::ctl

#endif
