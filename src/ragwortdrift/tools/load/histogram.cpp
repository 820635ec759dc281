#include "ragwortdrift/tools/load/histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ragwortdrift::tools {

namespace {

constexpr unsigned SubBits = 6;
constexpr std::uint64_t SubCount = 1ULL << SubBits;
/// Values up to 2^42 us (51 days) have a bucket of their own.
constexpr unsigned MaxShift = 36;
constexpr std::size_t BucketCount = SubCount * (MaxShift + 2);

std::size_t bucketOf(std::uint64_t Micros) {
  if (Micros < SubCount)
    return Micros;
  const unsigned Shift =
      static_cast<unsigned>(std::bit_width(Micros)) - 1 - SubBits;
  const std::size_t Bucket =
      SubCount * (Shift + 1) + ((Micros >> Shift) - SubCount);
  return std::min(Bucket, BucketCount - 1);
}

/// The middle of a bucket.
std::uint64_t valueOfBucket(std::size_t Bucket) {
  if (Bucket < SubCount)
    return Bucket;
  const std::uint64_t Shift = Bucket / SubCount - 1;
  const std::uint64_t Low = (SubCount + Bucket % SubCount) << Shift;
  return Low + ((1ULL << Shift) >> 1);
}

} // namespace

Histogram::Histogram() : m_Buckets(BucketCount) {}

void Histogram::add(Duration Value) {
  const auto Micros = std::max<Duration::rep>(0, Value.count());
  ++m_Buckets[bucketOf(static_cast<std::uint64_t>(Micros))];
  ++m_Count;
  m_Max = std::max(m_Max, Value);
}

void Histogram::merge(const Histogram &Other) {
  for (std::size_t I = 0; I < BucketCount; ++I)
    m_Buckets[I] += Other.m_Buckets[I];
  m_Count += Other.m_Count;
  m_Max = std::max(m_Max, Other.m_Max);
}

std::vector<std::pair<std::uint64_t, std::uint64_t>>
Histogram::buckets() const {
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Filled;
  for (std::size_t I = 0; I < BucketCount; ++I)
    if (m_Buckets[I] > 0)
      Filled.emplace_back(valueOfBucket(I), m_Buckets[I]);
  return Filled;
}

Duration Histogram::quantile(double Q) const {
  if (m_Count == 0)
    return Duration{0};
  const auto Rank = std::max<std::uint64_t>(
      1,
      static_cast<std::uint64_t>(std::ceil(Q * static_cast<double>(m_Count))));
  std::uint64_t Seen = 0;
  for (std::size_t I = 0; I < BucketCount; ++I) {
    Seen += m_Buckets[I];
    if (Seen >= Rank)
      return std::min(m_Max,
                      Duration(static_cast<Duration::rep>(valueOfBucket(I))));
  }
  return m_Max;
}

} // namespace ragwortdrift::tools
