#include "ragwortdrift/tools/common/manifest_view.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace ragwortdrift::tools {

Result<ManifestView, OptionError> readManifestView(const std::string &Path) {
  boost::property_tree::ptree File;
  try {
    boost::property_tree::read_ini(Path, File);
  } catch (const boost::property_tree::ini_parser_error &Error) {
    return OptionError{OptionErrorCode::Unreadable, Path, "", Error.what()};
  }
  ManifestView Services;
  for (const auto &[Section, Values] : File) {
    if (!Section.starts_with("service "))
      continue;
    ServiceView &Service = Services[Section.substr(8)];
    Service.m_Name = Section.substr(8);
    Service.m_Fanout = Values.get<std::string>("kind", "fanout") == "fanout";
    Service.m_DeadlineMs = Values.get<std::uint64_t>("deadline_ms", 240);
  }
  auto Leafs = readManifestLeafs(Path, "", {});
  if (!isOk(Leafs))
    return errorOf(Leafs);
  for (const LeafOptions &Leaf : valueOf(Leafs))
    Services[Leaf.m_Service].m_Groups[Leaf.m_Group].push_back(
        {Leaf.m_Name, Leaf.m_Domain, Leaf.m_Address});
  return Services;
}

} // namespace ragwortdrift::tools
