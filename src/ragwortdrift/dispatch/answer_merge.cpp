#include "answer_merge.hpp"

#include <algorithm>
#include <functional>

namespace ragwortdrift {

std::string mergeTopRecords(const std::vector<std::string_view> &Bodies,
                            std::size_t MaxRecords) {
  std::vector<std::string_view> Records;
  for (const std::string_view Body : Bodies)
    for (std::size_t Offset = 0; Offset + RecordBytes <= Body.size();
         Offset += RecordBytes)
      Records.push_back(Body.substr(Offset, RecordBytes));
  const std::size_t Count = std::min(MaxRecords, Records.size());
  std::partial_sort(Records.begin(),
                    Records.begin() + static_cast<std::ptrdiff_t>(Count),
                    Records.end(), std::greater<>());
  std::string Out;
  Out.reserve(Count * RecordBytes);
  for (std::size_t I = 0; I < Count; ++I)
    Out += Records[I];
  return Out;
}

} // namespace ragwortdrift
