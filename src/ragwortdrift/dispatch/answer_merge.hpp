#ifndef RAGWORTDRIFT_DISPATCH_ANSWER_MERGE_HPP
#define RAGWORTDRIFT_DISPATCH_ANSWER_MERGE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace ragwortdrift {

/// Bytes of a record in a shard's answer.
inline constexpr std::size_t RecordBytes = 16;

/// The greatest MaxRecords records of all bodies, greatest first, compared byte
/// by byte. Equal records all count; a remainder shorter than a record does
/// not.
std::string mergeGreatest(const std::vector<std::string_view> &Bodies,
                          std::size_t MaxRecords);

} // namespace ragwortdrift

#endif
