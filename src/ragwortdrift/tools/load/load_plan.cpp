#include "ragwortdrift/tools/load/load_plan.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <cstdlib>

namespace ragwortdrift::tools {

namespace {

OptionError badMix(std::string_view Item, std::string Detail) {
  return {OptionErrorCode::BadValue, "", "mix",
          std::string(Item) + ": " + std::move(Detail)};
}

} // namespace

Result<EntryVm, OptionError> parseEntry(std::string_view Text) {
  const auto At = Text.find('@');
  auto Caller = parseAddress(Text.substr(0, At));
  if (!isOk(Caller))
    return errorOf(Caller);
  EntryVm Entry{valueOf(Caller), std::nullopt};
  if (At != Text.npos) {
    auto Admin = parseAddress(Text.substr(At + 1));
    if (!isOk(Admin))
      return errorOf(Admin);
    Entry.m_Admin = valueOf(Admin);
  }
  return Entry;
}

Result<std::vector<MixEntry>, OptionError>
parseMix(std::string_view Text, const ManifestView &Manifest) {
  std::vector<MixEntry> Mix;
  if (Text.empty()) {
    for (const auto &[Name, Service] : Manifest)
      if (Service.m_Fanout)
        Mix.push_back({&Service, 1, false});
    return Mix;
  }
  std::vector<std::string> Items;
  boost::split(Items, Text, boost::is_any_of(","));
  for (const std::string &Item : Items) {
    const auto Equals = Item.find('=');
    const auto Service = Manifest.find(Item.substr(0, Equals));
    if (Service == Manifest.end())
      return badMix(Item, "no such service");
    MixEntry Entry{&Service->second, 1, !Service->second.m_Fanout};
    if (Equals != Item.npos) {
      const std::string Rest = Item.substr(Equals + 1);
      char *End = nullptr;
      Entry.m_Weight = std::strtod(Rest.c_str(), &End);
      const std::string_view Kind(End);
      if (End == Rest.c_str() || !(Entry.m_Weight > 0) ||
          !(Kind.empty() || Kind == ":search" || Kind == ":booking"))
        return badMix(Item, "service=weight[:search|booking] is expected");
      if (!Kind.empty())
        Entry.m_Booking = Kind == ":booking";
    }
    if (Entry.m_Booking && Service->second.m_Fanout)
      return badMix(Item, "a booking needs a service of kind single");
    for (const MixEntry &Other : Mix)
      if (Other.m_Service == Entry.m_Service)
        return badMix(Item, "the service is named twice");
    Mix.push_back(Entry);
  }
  return Mix;
}

} // namespace ragwortdrift::tools
