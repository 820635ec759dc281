#include "ragwortdrift/tools/ctl/offline.hpp"
#include "ragwortdrift/config/catalog.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <ostream>
#include <set>

namespace ragwortdrift::ctl {

namespace {

namespace json = boost::json;

json::string toJsonString(std::string_view Value) {
  return json::string(Value.data(), Value.size());
}

std::string sectionHeader(const SectionKey &Key) {
  return std::string(nameOf(Key.m_Kind)) +
         (Key.m_Name.empty() ? "" : " " + Key.m_Name);
}

void printCounts(const Options &CommandLine, const Document &Doc,
                 std::ostream &Out) {
  const auto BuiltCatalog = buildCatalog(Revision{0}, Doc);
  std::size_t Groups = 0;
  std::size_t Leafs = 0;
  std::size_t Partitions = 0;
  for (const auto &[Name, Service] : BuiltCatalog->m_Services) {
    Groups += Service->m_Groups.size();
    Leafs += Service->m_Leafs.size();
    Partitions += Service->m_Partitions.size();
  }
  std::size_t Customers = 0;
  for (const auto &[Key, Values] : Doc)
    Customers += Key.m_Kind == SectionKind::Customer;
  const std::pair<const char *, std::size_t> Counts[] = {
      {"domains", BuiltCatalog->m_Domains.size()},
      {"services", BuiltCatalog->m_Services.size()},
      {"groups", Groups},
      {"leafs", Leafs},
      {"partitions", Partitions},
      {"customers", Customers}};
  if (CommandLine.m_Json) {
    json::object Body;
    for (const auto &[Name, Count] : Counts)
      Body[Name] = Count;
    Out << json::serialize(Body) << '\n';
    return;
  }
  Out << CommandLine.m_Args.front() << ':';
  const char *Separator = " ";
  for (const auto &[Name, Count] : Counts) {
    Out << Separator << Count << ' ' << Name;
    Separator = ", ";
  }
  Out << '\n';
}

/// A changed key of a section; a value is std::nullopt if the key is not set.
struct KeyChange {
  std::string m_Key;
  std::optional<std::string> m_OldValue;
  std::optional<std::string> m_NewValue;
};

std::vector<KeyChange> compareSections(const Section &OldSection,
                                       const Section &NewSection) {
  std::set<std::string> Keys;
  for (const auto &[Key, Value] : OldSection)
    Keys.insert(Key);
  for (const auto &[Key, Value] : NewSection)
    Keys.insert(Key);
  const auto FindValue = [](const Section &Values, const std::string &Key) {
    const auto Found = Values.find(Key);
    return Found == Values.end() ? std::nullopt
                                 : std::optional<std::string>(Found->second);
  };
  std::vector<KeyChange> Changes;
  for (const std::string &Key : Keys)
    if (KeyChange Item{Key, FindValue(OldSection, Key),
                       FindValue(NewSection, Key)};
        Item.m_OldValue != Item.m_NewValue)
      Changes.push_back(std::move(Item));
  return Changes;
}

json::value toJsonOrNull(const std::optional<std::string> &Value) {
  return Value ? json::value(*Value) : json::value(nullptr);
}

} // namespace

void printErrors(const std::string &Path,
                 const std::vector<ConfigError> &Errors, bool Json,
                 std::ostream &Out, std::ostream &Err) {
  json::array List;
  for (const ConfigError &Item : Errors) {
    if (!Json)
      Err << Path << ": " << describe(Item) << '\n';
    List.push_back(json::object{{"line", Item.m_Line},
                                {"section", Item.m_Section},
                                {"key", Item.m_Key},
                                {"code", toJsonString(nameOf(Item.m_Code))},
                                {"detail", Item.m_Detail}});
  }
  if (Json)
    Out << json::serialize(json::object{{"faults", List}}) << '\n';
}

ExitCode checkFile(const Options &CommandLine, std::ostream &Out,
                   std::ostream &Err) {
  const std::string &Path = CommandLine.m_Args.front();
  const auto Bytes = readFile(Path);
  if (!Bytes) {
    Err << Path << ": the file cannot be read\n";
    return ExitCode::Usage;
  }
  if (CommandLine.m_CheckSettings) {
    const auto Parsed = parseSettings(*Bytes);
    if (!isOk(Parsed)) {
      printErrors(Path, errorOf(Parsed), CommandLine.m_Json, Out, Err);
      return ExitCode::Refused;
    }
    const Settings &Found = valueOf(Parsed);
    if (CommandLine.m_Json)
      Out << json::serialize(json::object{{"vm", Found.m_Vm.m_Value},
                                          {"domain", Found.m_Domain.m_Value}})
          << '\n';
    else
      Out << Path << ": VM " << Found.m_Vm << " in " << Found.m_Domain << '\n';
    return ExitCode::Ok;
  }
  const auto Parsed = parseManifest(*Bytes);
  if (!isOk(Parsed)) {
    printErrors(Path, errorOf(Parsed), CommandLine.m_Json, Out, Err);
    return ExitCode::Refused;
  }
  printCounts(CommandLine, valueOf(Parsed), Out);
  return ExitCode::Ok;
}

void printDiff(std::uint64_t CurrentRevision, const Document &Current,
               const Document &Target, bool Json, std::ostream &Out) {
  Document Effective = Target;
  for (auto &[Key, Values] : Effective)
    if (const auto Found = Current.find(Key);
        Key.m_Kind == SectionKind::Customer && Values.empty() &&
        Found != Current.end())
      Values = Found->second;
  const Delta Change =
      diffDocuments(Revision{CurrentRevision}, Current, Effective);
  json::array Added;
  json::array Removed;
  json::array Changed;
  const auto PrintHeader = [&](const char *Marker, const std::string &Header) {
    if (!Json)
      Out << Marker << " [" << Header << "]\n";
  };
  for (const SectionKey &Key : Change.m_Erase) {
    PrintHeader("-", sectionHeader(Key));
    Removed.emplace_back(sectionHeader(Key));
  }
  for (const auto &[Key, Values] : Change.m_Set) {
    const auto OldEntry = Current.find(Key);
    const bool IsNew = OldEntry == Current.end();
    PrintHeader(IsNew ? "+" : "~", sectionHeader(Key));
    if (IsNew)
      Added.emplace_back(sectionHeader(Key));
    for (const KeyChange &Item :
         compareSections(IsNew ? Section{} : OldEntry->second, Values)) {
      if (!Json && Item.m_OldValue)
        Out << "-   " << Item.m_Key << " = " << *Item.m_OldValue << '\n';
      if (!Json && Item.m_NewValue)
        Out << "+   " << Item.m_Key << " = " << *Item.m_NewValue << '\n';
      if (!IsNew)
        Changed.push_back(json::object{{"section", sectionHeader(Key)},
                                       {"key", Item.m_Key},
                                       {"from", toJsonOrNull(Item.m_OldValue)},
                                       {"to", toJsonOrNull(Item.m_NewValue)}});
    }
  }
  if (Json)
    Out << json::serialize(json::object{{"revision", CurrentRevision},
                                        {"added", Added},
                                        {"removed", Removed},
                                        {"changed", Changed}})
        << '\n';
  else if (Change.m_Set.empty() && Change.m_Erase.empty())
    Out << "no difference from revision " << CurrentRevision << '\n';
  else
    Out << "compared with revision " << CurrentRevision << '\n';
}

} // namespace ragwortdrift::ctl
