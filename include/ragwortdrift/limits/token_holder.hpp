#ifndef RAGWORTDRIFT_LIMITS_TOKEN_HOLDER_HPP
#define RAGWORTDRIFT_LIMITS_TOKEN_HOLDER_HPP

#include "ragwortdrift/limits/limit.hpp"

#include <map>
#include <optional>

namespace ragwortdrift {

/// The tokens that a VM has been lent, and what it needs next. Times are those
/// of a clock that also counts while the process or the VM is suspended, since
/// a token must not be spent after its lease has ended.
class TokenHolder {
public:
  /// Outcome of a need, told by onReply().
  struct Denial {
    LimitId m_Id;
    std::uint32_t m_Count = 0;
    Duration m_RetryAfter{0};
  };

  /// Takes a token that has not expired; returns false if there is none. The
  /// limit counts as in use for a while, in which a token is kept ahead.
  bool tryTake(TimePoint Now, const LimitId &Id, const LimitTerms &Terms);
  /// Returns a token taken, of a request that was not sent. Of the tokens taken
  /// the one whose lease ends first is returned, so that no lease becomes
  /// longer. Without effect once the lease has ended.
  void giveBack(TimePoint Now, const LimitId &Id);
  /// Asks for a token for a request that waits. Each need is answered by one
  /// token, or by a denial, unless messages are lost.
  void need(TimePoint Now, const LimitId &Id, const LimitTerms &Terms);
  /// Asks for a token that is of use but not needed. It is granted only while
  /// tokens are plentiful, and nothing tells that it was not.
  void needAhead(const LimitId &Id, const LimitTerms &Terms);
  /// Withdraws a need whose request has ended.
  void cancelNeed(const LimitId &Id);
  /// Needs that have been neither answered nor withdrawn.
  std::uint32_t needed(const LimitId &Id) const;
  /// Adds to the tokens of all holders.
  void contribute(const LimitId &Id, const LimitTerms &Terms, double Tokens);

  /// Returns true if a waiting request needs a token that has not been asked
  /// for yet.
  bool isUrgent() const;
  /// Returns the next request to the allocator, or nothing if there is nothing
  /// to ask for or to contribute. Called at once while isUrgent(), and
  /// periodically.
  std::optional<LimitRequest> takeRequest(TimePoint Now);
  /// Applies a reply and returns what was denied. A reply that arrives again,
  /// or to a request that has expired, has no effect. Neither has a reply
  /// without grants: it answers a copy of a request, and the reply to the
  /// original may still be under way.
  std::vector<Denial> onReply(const LimitReply &Reply);
  /// Returns true if the allocator has replied lately, or has not been asked
  /// lately.
  bool isConnected(TimePoint Now) const;
  /// Unexpired tokens held of a limit.
  std::uint32_t held(TimePoint Now, const LimitId &Id) const;

private:
  struct Lease {
    TimePoint m_Expiry;
    std::uint32_t m_Tokens = 0;
  };
  struct Limit {
    LimitTerms m_Terms;
    std::vector<Lease> m_Leases;
    /// Requests that wait, and how many of them the allocator was asked for.
    std::uint32_t m_Needed = 0;
    std::uint32_t m_Asked = 0;
    double m_Contribution = 0;
    /// Tokens taken whose leases have not ended.
    std::vector<Lease> m_Taken;
    TimePoint m_UsedAt;
    bool m_WantsAhead = false;
    bool m_IsAheadAsked = false;
  };
  struct AskedTokens {
    LimitId m_Id;
    std::uint32_t m_Needed = 0;
    std::uint32_t m_Ahead = 0;
    Duration m_LeaseTime{0};
  };
  struct OpenRequest {
    TimePoint m_SentAt;
    std::vector<AskedTokens> m_Asked;
  };

  static void removeExpired(TimePoint Now, std::vector<Lease> &Leases);
  /// Takes a token of the unexpired lease that ends first, and returns its end.
  static std::optional<TimePoint> takeEarliest(TimePoint Now,
                                               std::vector<Lease> &Leases);
  static void addLease(std::vector<Lease> &Leases, TimePoint Expiry,
                       std::uint32_t Tokens);
  Limit &limit(const LimitId &Id, const LimitTerms &Terms);
  void expireRequests(TimePoint Now);
  void evictIdle(TimePoint Now);

  std::map<LimitId, Limit> m_Limits;
  std::map<std::uint64_t, OpenRequest> m_Open;
  std::uint64_t m_LastSequence = 0;
  TimePoint m_LastContributionAt;
  TimePoint m_LastSentAt;
  std::optional<TimePoint> m_UnansweredSince;
};

} // namespace ragwortdrift

#endif
