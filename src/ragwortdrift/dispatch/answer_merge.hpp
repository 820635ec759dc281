#ifndef RAGWORTDRIFT_DISPATCH_ANSWER_MERGE_HPP
#define RAGWORTDRIFT_DISPATCH_ANSWER_MERGE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift {

/// Size in bytes of a record in a shard response.
inline constexpr std::size_t RecordBytes = 16;

/// Returns the MaxRecords greatest records of all bodies in descending bytewise
/// order. Duplicates are kept; a trailing partial record is ignored.
std::string mergeTopRecords(const std::vector<std::string_view> &Bodies,
                            std::size_t MaxRecords);

} // namespace ragwortdrift

#endif
