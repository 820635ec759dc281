#include "ragwortdrift/tools/load/record_check.hpp"

#include <map>
#include <utility>

namespace ragwortdrift::tools {

RecordCheck checkRecords(const CallerLedger &Ledger,
                         const boost::json::array &Leafs,
                         std::string_view IdPrefix) {
  RecordCheck Check;
  std::map<std::pair<std::string, std::string>, std::uint64_t>
      ExecutionsInGroup;
  std::map<std::string, std::uint64_t, std::less<>> ExecutionsOfKey;
  std::set<std::string, std::less<>> ExecutedIds;
  for (const auto &Leaf : Leafs) {
    const auto &Object = Leaf.as_object();
    const std::string Group = std::string(Object.at("service").as_string()) +
                              "/" + std::string(Object.at("group").as_string());
    for (const auto &Line : Object.at("records").as_array()) {
      const auto &Record = Line.as_object();
      const std::string Id(Record.at("id").as_string());
      if (!Id.starts_with(IdPrefix))
        continue;
      ++Check.m_Started;
      ExecutedIds.insert(Id);
      if (++ExecutionsInGroup[{Id, Group}] > 1)
        ++Check.m_Duplicates;
      if (const auto *Key = Record.if_contains("key"))
        ++ExecutionsOfKey[std::string(Key->as_string())];
    }
  }
  for (const std::string &Id : Ledger.m_NotExecuted)
    Check.m_FalseNotExecuted += ExecutedIds.contains(Id) ? 1 : 0;
  for (const auto &[Key, Executions] : ExecutionsOfKey)
    Check.m_ExecutedTwice += Executions > 1 ? 1 : 0;
  for (const std::string &Key : Ledger.m_BookedKeys)
    Check.m_BookedWithoutExecution += ExecutionsOfKey.contains(Key) ? 0 : 1;
  return Check;
}

} // namespace ragwortdrift::tools
