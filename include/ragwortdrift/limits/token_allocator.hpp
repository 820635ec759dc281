#ifndef RAGWORTDRIFT_LIMITS_TOKEN_ALLOCATOR_HPP
#define RAGWORTDRIFT_LIMITS_TOKEN_ALLOCATOR_HPP

#include "ragwortdrift/limits/limit.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace ragwortdrift {

/// Hands out the tokens of all limits. One VM allocates at a time.
///
/// The bound holds without knowledge of what a predecessor has granted: until
/// its end a predecessor granted at most the capacity plus the rate times the
/// time, and this allocator starts with only m_InitialTokens and the same rate.
/// Over both, a window of length W sees at most
///   capacity + rate x (W + lease time + overlap) + initial tokens x changes
/// tokens spent, since each token is spent within its lease time. Lost requests
/// and replies only leave tokens unused.
class TokenAllocator {
public:
  /// The allocator has authority from StartedAt on.
  explicit TokenAllocator(TimePoint StartedAt) : m_StartedAt(StartedAt) {}

  /// Processes a request of a holder, which is identified by a name that is
  /// unique to one life of its process.
  LimitReply allocate(TimePoint Now, const std::string &Holder,
                      const LimitRequest &Request);
  /// Drops limits whose absence makes no difference, and holders that have been
  /// silent for long. Called periodically.
  void evictIdle(TimePoint Now);

  /// Tokens that a limit has now; nothing if it is unknown here.
  std::optional<double> level(TimePoint Now, const LimitId &Id) const;
  std::size_t limitCount() const { return m_Buckets.size(); }
  std::uint64_t granted() const { return m_Granted; }
  std::uint64_t denied() const { return m_Denied; }

private:
  struct Bucket {
    LimitTerms m_Terms;
    double m_Tokens = 0;
    TimePoint m_UpdatedAt;
    TimePoint m_UsedAt;
    /// Tokens denied lately, for which callers will return. Decays at the
    /// rate of the bucket.
    double m_Deferred = 0;
  };
  struct Holder {
    std::uint64_t m_LastSequence = 0;
    /// Bit N is set if the request N before the last one was processed.
    std::uint64_t m_Processed = 0;
    TimePoint m_SeenAt;
  };

  /// Returns false for a request that was processed before, or is too old to
  /// tell.
  static bool isFirst(Holder &Sender, std::uint64_t Sequence);
  Bucket &bucket(TimePoint Now, const LimitId &Id, const LimitTerms &Terms);
  static void refill(Bucket &Item, TimePoint Now);
  /// Time after which one of the callers whose tokens are missing now should
  /// return.
  static Duration retryAfter(Bucket &Item, std::uint32_t Missing);
  LimitGrant grant(TimePoint Now, const LimitClaim &Claim);

  TimePoint m_StartedAt;
  std::map<LimitId, Bucket> m_Buckets;
  std::unordered_map<std::string, Holder> m_Holders;
  std::uint64_t m_Granted = 0;
  std::uint64_t m_Denied = 0;
};

} // namespace ragwortdrift

#endif
