#include "ragwortdrift/limits/token_allocator.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortdrift {

namespace {

/// Tokens are granted ahead of their need only while the bucket holds more than
/// this share of its capacity. Most of them expire unused if requests reach
/// many VMs, and then a burst within the limit must still find its tokens.
constexpr double AheadMinLevel = 0.9;
/// Upper bound of the time after which a denied request should return.
constexpr std::chrono::seconds MaxRetryAfter{2};
/// A holder that has been silent for this long has ended; the messages that it
/// had sent are no longer under way.
constexpr std::chrono::seconds HolderRetention{60};
/// A limit that no request has named for this long is dropped, if that makes no
/// difference to it.
constexpr std::chrono::seconds IdleTime{30};

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void TokenAllocator::refill(Bucket &Item, TimePoint Now) {
  const double Added = Item.m_Terms.m_RatePerSecond *
                       seconds(std::max(Now - Item.m_UpdatedAt, Duration{0}));
  Item.m_Tokens = std::min(Item.m_Tokens + Added, Item.m_Terms.m_Capacity);
  Item.m_Deferred = std::max(Item.m_Deferred - Added, 0.0);
  Item.m_UpdatedAt = std::max(Item.m_UpdatedAt, Now);
}

TokenAllocator::Bucket &TokenAllocator::bucket(TimePoint Now, const LimitId &Id,
                                               const LimitTerms &Terms) {
  const auto [Position, IsNew] = m_Buckets.try_emplace(Id);
  Bucket &Item = Position->second;
  if (IsNew) {
    // As if it had been known from the start.
    Item.m_Terms = Terms;
    Item.m_Tokens = std::min(Terms.m_InitialTokens, Terms.m_Capacity);
    Item.m_UpdatedAt = m_StartedAt;
  }
  refill(Item, Now);
  if (Terms.m_Version > Item.m_Terms.m_Version) {
    Item.m_Terms = Terms;
    Item.m_Tokens = std::min(Item.m_Tokens, Terms.m_Capacity);
  }
  Item.m_UsedAt = Now;
  return Item;
}

Duration TokenAllocator::retryAfter(Bucket &Item, std::uint32_t Missing) {
  if (Missing == 0)
    return Duration{0};
  const double Rate = Item.m_Terms.m_RatePerSecond;
  const double MaxSeconds = seconds(MaxRetryAfter);
  if (!(Rate > 0))
    return MaxRetryAfter;
  // Callers that were denied earlier return first. More of them than the time
  // can tell are not counted, so that they are forgotten soon after.
  Item.m_Deferred =
      std::min(Item.m_Deferred + Missing, Rate * MaxSeconds + Item.m_Tokens);
  const double Wait =
      std::clamp((Item.m_Deferred - Item.m_Tokens) / Rate, 0.0, MaxSeconds);
  return Duration(static_cast<Duration::rep>(1e6 * Wait));
}

LimitGrant TokenAllocator::grant(TimePoint Now, const LimitClaim &Claim) {
  Bucket &Item = bucket(Now, Claim.m_Id, Claim.m_Terms);
  if (Claim.m_Contributed > 0)
    Item.m_Tokens =
        std::min(Item.m_Tokens + static_cast<double>(Claim.m_Contributed),
                 Item.m_Terms.m_Capacity);
  const auto Available = [&](double Reserve) {
    return static_cast<std::uint32_t>(
        std::max(std::floor(Item.m_Tokens - Reserve), 0.0));
  };
  const std::uint32_t Needed = std::min(Claim.m_Needed, Available(0));
  Item.m_Tokens -= Needed;
  const std::uint32_t Ahead = std::min(
      Claim.m_Ahead, Available(AheadMinLevel * Item.m_Terms.m_Capacity));
  Item.m_Tokens -= Ahead;
  const std::uint32_t Missing = Claim.m_Needed - Needed;
  m_Granted += Needed + Ahead;
  m_Denied += Missing;
  return {Claim.m_Id, Needed + Ahead, retryAfter(Item, Missing)};
}

bool TokenAllocator::isFirst(Holder &Sender, std::uint64_t Sequence) {
  constexpr std::uint64_t Tracked = 64;
  if (Sequence > Sender.m_LastSequence) {
    const std::uint64_t Step = Sequence - Sender.m_LastSequence;
    Sender.m_Processed = Step < Tracked ? Sender.m_Processed << Step : 0;
    Sender.m_Processed |= 1;
    Sender.m_LastSequence = Sequence;
    return true;
  }
  const std::uint64_t Age = Sender.m_LastSequence - Sequence;
  if (Age >= Tracked || (Sender.m_Processed >> Age & 1U) != 0)
    return false;
  Sender.m_Processed |= std::uint64_t{1} << Age;
  return true;
}

LimitReply TokenAllocator::allocate(TimePoint Now,
                                    const std::string &HolderName,
                                    const LimitRequest &Request) {
  LimitReply Reply;
  Reply.m_Sequence = Request.m_Sequence;
  Holder &Sender = m_Holders[HolderName];
  Sender.m_SeenAt = Now;
  if (!isFirst(Sender, Request.m_Sequence))
    return Reply;
  for (const LimitClaim &Claim : Request.m_Claims)
    Reply.m_Grants.push_back(grant(Now, Claim));
  return Reply;
}

void TokenAllocator::evictIdle(TimePoint Now) {
  std::erase_if(m_Holders, [&](const auto &Entry) {
    return Now - Entry.second.m_SeenAt > HolderRetention;
  });
  std::erase_if(m_Buckets, [&](const auto &Entry) {
    Bucket Item = Entry.second;
    if (Now - Item.m_UsedAt < IdleTime)
      return false;
    // A limit that is created anew starts with what its rate has added since
    // the start of the allocator.
    refill(Item, Now);
    const LimitTerms &Terms = Item.m_Terms;
    const double FreshTokens =
        Terms.m_InitialTokens +
        Terms.m_RatePerSecond * seconds(Now - m_StartedAt);
    return Item.m_Tokens >= std::min(FreshTokens, Terms.m_Capacity);
  });
}

std::optional<double> TokenAllocator::level(TimePoint Now,
                                            const LimitId &Id) const {
  const auto Found = m_Buckets.find(Id);
  if (Found == m_Buckets.end())
    return std::nullopt;
  Bucket Copy = Found->second;
  refill(Copy, Now);
  return Copy.m_Tokens;
}

} // namespace ragwortdrift
