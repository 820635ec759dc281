#ifndef RAGWORTDRIFT_TOOLS_LEAF_LEAF_RECORDS_HPP
#define RAGWORTDRIFT_TOOLS_LEAF_LEAF_RECORDS_HPP

#include "ragwortdrift/base/time.hpp"
#include "ragwortdrift/tools/leaf/leaf_model.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace ragwortdrift::tools {

/// Record of a request that a leaf started to execute.
struct ExecutionRecord {
  std::string m_RequestId;
  /// Empty if the request has no idempotency key.
  std::string m_Key;
  std::uint64_t m_Snapshot = 0;
  UnixMillis m_StartedAt{0};
  /// False while the request is being executed, and if it was cancelled or
  /// exceeded its deadline.
  bool m_Completed = false;
};

/// Returns an object with the members `id`, `key` (if any), `snapshot`, `at`
/// (Unix time in ms) and `ended`.
boost::json::object toJson(const ExecutionRecord &Record);

/// Returns the counters of a leaf. Ages are in milliseconds before Now; -1 if
/// the event has not occurred.
boost::json::object toJson(const LeafCounters &Counters, TimePoint Now);

/// Appends one JSON line to a file for each request whose execution starts.
/// Thread-safe.
class RecordFile {
public:
  explicit RecordFile(const std::string &Path) : m_Out(Path, std::ios::app) {}
  void write(const LeafOptions &Leaf, const ExecutionRecord &Record);

private:
  std::mutex m_Mutex;
  std::ofstream m_Out;
};

} // namespace ragwortdrift::tools

#endif
