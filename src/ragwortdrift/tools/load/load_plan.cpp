#include "ragwortdrift/tools/load/load_plan.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <cstdlib>

namespace ragwortdrift::tools {

namespace {

OptionError mixError(std::string_view Item, std::string Detail) {
  return {OptionErrorCode::BadValue, "", "mix",
          std::string(Item) + ": " + std::move(Detail)};
}

} // namespace

Result<EntryVm, OptionError> parseEntry(std::string_view Text) {
  const auto Separator = Text.find('@');
  auto Caller = parseAddress(Text.substr(0, Separator));
  if (!isOk(Caller))
    return errorOf(Caller);
  EntryVm Entry{valueOf(Caller), std::nullopt};
  if (Separator != Text.npos) {
    auto Admin = parseAddress(Text.substr(Separator + 1));
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
    const auto EqualsSign = Item.find('=');
    const auto Service = Manifest.find(Item.substr(0, EqualsSign));
    if (Service == Manifest.end())
      return mixError(Item, "unknown service");
    MixEntry Entry{&Service->second, 1, !Service->second.m_Fanout};
    if (EqualsSign != Item.npos) {
      const std::string WeightText = Item.substr(EqualsSign + 1);
      char *End = nullptr;
      Entry.m_Weight = std::strtod(WeightText.c_str(), &End);
      const std::string_view Kind(End);
      if (End == WeightText.c_str() || !(Entry.m_Weight > 0) ||
          !(Kind.empty() || Kind == ":search" || Kind == ":booking"))
        return mixError(Item, "expected service=weight[:search|booking]");
      if (!Kind.empty())
        Entry.m_Booking = Kind == ":booking";
    }
    if (Entry.m_Booking && Service->second.m_Fanout)
      return mixError(Item, "bookings require a service of kind single");
    for (const MixEntry &Other : Mix)
      if (Other.m_Service == Entry.m_Service)
        return mixError(Item, "duplicate service");
    Mix.push_back(Entry);
  }
  return Mix;
}

} // namespace ragwortdrift::tools
