#ifndef RAGWORTDRIFT_TOOLS_LEAF_LEAF_RECORDS_HPP
#define RAGWORTDRIFT_TOOLS_LEAF_LEAF_RECORDS_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/tools/leaf/leaf_model.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace ragwortdrift::tools {

/// One request that a leaf began to run.
struct RunRecord {
  std::string m_RequestId;
  /// Empty when the request carried no idempotency key.
  std::string m_Key;
  std::uint64_t m_Snapshot = 0;
  UnixMillis m_BeganAt{0};
  /// False while it runs, and when it was cancelled or cut by its deadline.
  bool m_Ended = false;
};

/// `{"id", "key", "snapshot", "at", "ended"}`.
boost::json::object toJson(const RunRecord &Record);

/// The counters of a leaf. Ages are milliseconds before Now; -1 for never.
boost::json::object toJson(const LeafCounters &Counters, TimePoint Now);

/// Appends a JSON line for each request that began. Thread-safe.
class RecordFile {
public:
  explicit RecordFile(const std::string &Path) : m_Out(Path, std::ios::app) {}
  void write(const LeafOptions &Leaf, const RunRecord &Record);

private:
  std::mutex m_Mutex;
  std::ofstream m_Out;
};

} // namespace ragwortdrift::tools

#endif
