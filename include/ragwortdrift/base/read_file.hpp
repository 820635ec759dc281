#ifndef RAGWORTDRIFT_BASE_READ_FILE_HPP
#define RAGWORTDRIFT_BASE_READ_FILE_HPP

#include <optional>
#include <string>

namespace ragwortdrift {

/// Reads a whole file; returns std::nullopt if it cannot be read.
std::optional<std::string> readFile(const std::string &Path);

} // namespace ragwortdrift

#endif
