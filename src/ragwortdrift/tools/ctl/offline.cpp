#include "ragwortdrift/tools/ctl/offline.hpp"
#include "ragwortdrift/config/catalog.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <ostream>
#include <set>

namespace ragwortdrift::ctl {

namespace {

namespace json = boost::json;

json::string text(std::string_view Value) {
  return json::string(Value.data(), Value.size());
}

std::string headerOf(const SectionKey &Key) {
  return std::string(nameOf(Key.m_Kind)) +
         (Key.m_Name.empty() ? "" : " " + Key.m_Name);
}

void printSize(const Options &CommandLine, const Document &Doc,
               std::ostream &Out) {
  const auto Built = buildCatalog(Revision{0}, Doc);
  std::size_t Groups = 0;
  std::size_t Leafs = 0;
  std::size_t Partitions = 0;
  for (const auto &[Name, Service] : Built->m_Services) {
    Groups += Service->m_Groups.size();
    Leafs += Service->m_Leafs.size();
    Partitions += Service->m_Partitions.size();
  }
  std::size_t Customers = 0;
  for (const auto &[Key, Values] : Doc)
    Customers += Key.m_Kind == SectionKind::Customer;
  const std::pair<const char *, std::size_t> Counts[] = {
      {"domains", Built->m_Domains.size()},
      {"services", Built->m_Services.size()},
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

/// One changed key of a section.
struct KeyChange {
  std::string m_Key;
  std::optional<std::string> m_From;
  std::optional<std::string> m_To;
};

std::vector<KeyChange> compare(const Section &From, const Section &To) {
  std::set<std::string> Keys;
  for (const auto &[Key, Value] : From)
    Keys.insert(Key);
  for (const auto &[Key, Value] : To)
    Keys.insert(Key);
  const auto ValueIn = [](const Section &Values, const std::string &Key) {
    const auto Found = Values.find(Key);
    return Found == Values.end() ? std::nullopt
                                 : std::optional<std::string>(Found->second);
  };
  std::vector<KeyChange> Changes;
  for (const std::string &Key : Keys)
    if (KeyChange Item{Key, ValueIn(From, Key), ValueIn(To, Key)};
        Item.m_From != Item.m_To)
      Changes.push_back(std::move(Item));
  return Changes;
}

json::value orNull(const std::optional<std::string> &Value) {
  return Value ? json::value(*Value) : json::value(nullptr);
}

} // namespace

void printFaults(const std::string &Path,
                 const std::vector<ConfigError> &Faults, bool Json,
                 std::ostream &Out, std::ostream &Err) {
  json::array List;
  for (const ConfigError &Item : Faults) {
    if (!Json)
      Err << Path << ": " << describe(Item) << '\n';
    List.push_back(json::object{{"line", Item.m_Line},
                                {"section", Item.m_Section},
                                {"key", Item.m_Key},
                                {"code", text(nameOf(Item.m_Code))},
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
      printFaults(Path, errorOf(Parsed), CommandLine.m_Json, Out, Err);
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
    printFaults(Path, errorOf(Parsed), CommandLine.m_Json, Out, Err);
    return ExitCode::Refused;
  }
  printSize(CommandLine, valueOf(Parsed), Out);
  return ExitCode::Ok;
}

void printDifference(std::uint64_t CurrentRevision, const Document &Current,
                     const Document &Wanted, bool Json, std::ostream &Out) {
  Document Effective = Wanted;
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
  const auto Print = [&](const char *Mark, const std::string &Header) {
    if (!Json)
      Out << Mark << " [" << Header << "]\n";
  };
  for (const SectionKey &Key : Change.m_Erase) {
    Print("-", headerOf(Key));
    Removed.emplace_back(headerOf(Key));
  }
  for (const auto &[Key, Values] : Change.m_Set) {
    const auto Old = Current.find(Key);
    const bool IsNew = Old == Current.end();
    Print(IsNew ? "+" : "~", headerOf(Key));
    if (IsNew)
      Added.emplace_back(headerOf(Key));
    for (const KeyChange &Item :
         compare(IsNew ? Section{} : Old->second, Values)) {
      if (!Json && Item.m_From)
        Out << "-   " << Item.m_Key << " = " << *Item.m_From << '\n';
      if (!Json && Item.m_To)
        Out << "+   " << Item.m_Key << " = " << *Item.m_To << '\n';
      if (!IsNew)
        Changed.push_back(json::object{{"section", headerOf(Key)},
                                       {"key", Item.m_Key},
                                       {"from", orNull(Item.m_From)},
                                       {"to", orNull(Item.m_To)}});
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
