#ifndef RAGWORTDRIFT_LIMITS_LIMIT_HPP
#define RAGWORTDRIFT_LIMITS_LIMIT_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortdrift {

/// The use of a limit that all VMs share.
enum class LimitKind : std::uint8_t {
  /// Requests of a client account.
  AccountQuota,
  /// Retries and hedges sent to the leafs of a service.
  Repeats,
  /// Requests sent to the version that a roll-out introduces in a service.
  Exposure
};
template <> struct EnumNames<LimitKind> {
  static constexpr std::array Entries{
      EnumName<LimitKind>{LimitKind::AccountQuota, "account_quota"},
      EnumName<LimitKind>{LimitKind::Repeats, "repeats"},
      EnumName<LimitKind>{LimitKind::Exposure, "exposure"}};
};

struct LimitId {
  LimitKind m_Kind{};
  /// Name of the account or service.
  std::string m_Name;

  friend auto operator<=>(const LimitId &, const LimitId &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Kind, m_Name); }
};

/// Terms of a limit: a token bucket that is filled at a rate, and by what the
/// holders contribute.
struct LimitTerms {
  /// Version of the configuration or order that states the terms. Terms of a
  /// higher version replace those of a lower one.
  std::uint64_t m_Version = 0;
  double m_RatePerSecond = 0;
  /// Tokens that the bucket saves up at most.
  double m_Capacity = 0;
  /// Tokens with which an allocator starts that knows nothing of what its
  /// predecessor has granted.
  double m_InitialTokens = 0;
  /// Time from the request of a token until it must be spent.
  Duration m_LeaseTime{0};

  friend bool operator==(const LimitTerms &, const LimitTerms &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Version, m_RatePerSecond, m_Capacity, m_InitialTokens, m_LeaseTime);
  }
};

/// The part of a request that concerns one limit.
struct LimitClaim {
  LimitId m_Id;
  LimitTerms m_Terms;
  /// Tokens that the requests at this holder have earned for all holders.
  float m_Contributed = 0;
  /// Tokens needed by requests that wait for them.
  std::uint32_t m_Needed = 0;
  /// Tokens for requests that are expected. Granted only while the bucket is
  /// well filled.
  std::uint32_t m_Ahead = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Id, m_Terms, m_Contributed, m_Needed, m_Ahead);
  }
};

/// Asks the allocator for tokens and delivers contributions. Sequence numbers
/// of a holder rise by one; a request that arrives again has no effect, nor has
/// one that arrives after many later ones.
struct LimitRequest {
  std::uint64_t m_Sequence = 0;
  std::vector<LimitClaim> m_Claims;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Claims);
  }
};

/// Answer to one claim.
struct LimitGrant {
  LimitId m_Id;
  std::uint32_t m_Granted = 0;
  /// Time after which the bucket will have a token for a further request;
  /// meaningful if less was granted than needed.
  Duration m_RetryAfter{0};

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Id, m_Granted, m_RetryAfter);
  }
};

struct LimitReply {
  std::uint64_t m_Sequence = 0;
  std::vector<LimitGrant> m_Grants;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Grants);
  }
};

} // namespace ragwortdrift

#endif
