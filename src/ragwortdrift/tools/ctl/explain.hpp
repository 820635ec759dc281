#ifndef RAGWORTDRIFT_TOOLS_CTL_EXPLAIN_HPP
#define RAGWORTDRIFT_TOOLS_CTL_EXPLAIN_HPP

#include "ragwortdrift/tools/ctl/options.hpp"

#include <iosfwd>
#include <map>

namespace ragwortdrift::ctl {

/// A log line in text (key=value) or JSON form. Text before the first field,
/// for example a prefix added by a log collector, is dropped.
struct LogLine {
  std::string m_Text;
  std::map<std::string, std::string> m_Fields;

  std::string field(const std::string &Name) const {
    const auto Found = m_Fields.find(Name);
    return Found == m_Fields.end() ? std::string() : Found->second;
  }
};

/// Parses a line. Returns std::nullopt if it is not a log line with a time and
/// an event.
std::optional<LogLine> parseLogLine(std::string_view Text);

/// Implements `explain`: prints the lines of one request from several logs,
/// sorted by time. Each line is preceded by the state that its process had last
/// logged: the configuration, isolation, the core VMs, and the leafs that the
/// line names.
ExitCode explainRequest(const Options &CommandLine, std::ostream &Out,
                        std::ostream &Err);

} // namespace ragwortdrift::ctl

#endif
