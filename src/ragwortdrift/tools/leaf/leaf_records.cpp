#include "ragwortdrift/tools/leaf/leaf_records.hpp"

namespace ragwortdrift::tools {

boost::json::object toJson(const ExecutionRecord &Record) {
  boost::json::object Line{{"id", Record.m_RequestId},
                           {"snapshot", Record.m_Snapshot},
                           {"at", Record.m_StartedAt.count()},
                           {"ended", Record.m_Completed}};
  if (!Record.m_Key.empty())
    Line["key"] = Record.m_Key;
  return Line;
}

boost::json::object toJson(const LeafCounters &Counters, TimePoint Now) {
  const auto Age = [Now](const std::optional<TimePoint> &Time) {
    return Time ? toMillis(Now - *Time) : -1.0;
  };
  return {{"arrived", Counters.m_Arrived},
          {"began", Counters.m_Started},
          {"ended", Counters.m_Completed},
          {"shed", Counters.m_Shed},
          {"version_missing", Counters.m_VersionMissing},
          {"refused_leaving", Counters.m_RefusedLeaving},
          {"expired", Counters.m_Expired},
          {"cancelled", Counters.m_Cancelled},
          {"connections_refused", Counters.m_ConnectionsRefused},
          {"collapsed", Counters.m_SlowedDown},
          {"max_load_over_allowance", Counters.m_MaxLoadOverAllowance},
          {"cold_age_ms", Age(Counters.m_ColdAt)},
          {"cold_shown_age_ms", Age(Counters.m_ColdReportedAt)},
          {"warm_age_ms", Age(Counters.m_WarmAt)},
          {"last_arrival_age_ms", Age(Counters.m_LastArrival)}};
}

void RecordFile::write(const LeafOptions &Leaf, const ExecutionRecord &Record) {
  boost::json::object Line = toJson(Record);
  Line["leaf"] = Leaf.m_Name;
  Line["group"] = Leaf.m_Group;
  const std::string Text = boost::json::serialize(Line) + "\n";
  const std::scoped_lock Lock(m_Mutex);
  m_Out << Text << std::flush;
}

} // namespace ragwortdrift::tools
