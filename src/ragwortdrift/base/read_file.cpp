#include "ragwortdrift/base/read_file.hpp"

#include <fstream>

namespace ragwortdrift {

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return std::nullopt;
  // Unformatted reads report a failure, for example if the path is a folder,
  // through the stream state; stream buffer iterators would throw.
  std::string Bytes;
  char Block[65536];
  while (In.read(Block, sizeof(Block)) || In.gcount() > 0)
    Bytes.append(Block, static_cast<std::size_t>(In.gcount()));
  if (In.bad())
    return std::nullopt;
  return Bytes;
}

} // namespace ragwortdrift
