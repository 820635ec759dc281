#include "ragwortdrift/tools/load/histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ragwortdrift::tools {

namespace {

constexpr unsigned SubBucketBits = 6;
constexpr std::uint64_t SubBucketCount = 1ULL << SubBucketBits;
/// Values up to 2^42 us (51 days) are covered; larger ones share the last
/// bucket.
constexpr unsigned MaxShift = 36;
constexpr std::size_t BucketCount = SubBucketCount * (MaxShift + 2);

std::size_t bucketIndex(std::uint64_t Micros) {
  if (Micros < SubBucketCount)
    return Micros;
  const unsigned Shift =
      static_cast<unsigned>(std::bit_width(Micros)) - 1 - SubBucketBits;
  const std::size_t Bucket =
      SubBucketCount * (Shift + 1) + ((Micros >> Shift) - SubBucketCount);
  return std::min(Bucket, BucketCount - 1);
}

/// Returns the midpoint of a bucket in us.
std::uint64_t bucketMidpoint(std::size_t Bucket) {
  if (Bucket < SubBucketCount)
    return Bucket;
  const std::uint64_t Shift = Bucket / SubBucketCount - 1;
  const std::uint64_t LowerBound = (SubBucketCount + Bucket % SubBucketCount)
                                   << Shift;
  return LowerBound + ((1ULL << Shift) >> 1);
}

} // namespace

Histogram::Histogram() : m_Buckets(BucketCount) {}

void Histogram::add(Duration Value) {
  const auto Micros = std::max<Duration::rep>(0, Value.count());
  ++m_Buckets[bucketIndex(static_cast<std::uint64_t>(Micros))];
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
  std::vector<std::pair<std::uint64_t, std::uint64_t>> NonEmptyBuckets;
  for (std::size_t I = 0; I < BucketCount; ++I)
    if (m_Buckets[I] > 0)
      NonEmptyBuckets.emplace_back(bucketMidpoint(I), m_Buckets[I]);
  return NonEmptyBuckets;
}

Duration Histogram::quantile(double Q) const {
  if (m_Count == 0)
    return Duration{0};
  const auto Rank = std::max<std::uint64_t>(
      1,
      static_cast<std::uint64_t>(std::ceil(Q * static_cast<double>(m_Count))));
  std::uint64_t CumulativeCount = 0;
  for (std::size_t I = 0; I < BucketCount; ++I) {
    CumulativeCount += m_Buckets[I];
    if (CumulativeCount >= Rank)
      return std::min(m_Max,
                      Duration(static_cast<Duration::rep>(bucketMidpoint(I))));
  }
  return m_Max;
}

} // namespace ragwortdrift::tools
