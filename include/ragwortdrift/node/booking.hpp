#ifndef RAGWORTDRIFT_NODE_BOOKING_HPP
#define RAGWORTDRIFT_NODE_BOOKING_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/node/query.hpp"

#include <functional>

namespace ragwortdrift {

/// A claim that this VM now holds: the request may be sent, by nobody else.
struct ClaimHeld {};

/// The recorded answer to an earlier request with the same key.
struct RecordedOutcome {
  std::uint16_t m_HttpStatus = 200;
  std::string m_Body;
};

/// What became of a claim: held here, answered before, or refused.
using ClaimOutcome = std::variant<ClaimHeld, RecordedOutcome, Refusal>;

/// The replicated claims as a traffic thread uses them. The functions may be
/// called on any traffic thread; Fn runs on the thread that the callee chooses,
/// so callers post back.
struct BookingClaims {
  std::function<void(const QueryRequest &Request, Duration Timeout,
                     std::function<void(ClaimOutcome)> Fn)>
      m_Claim;
  /// Records the answer of a claim that this VM holds.
  std::function<void(const IdempotencyKey &Key, RecordedOutcome Outcome)>
      m_Record;
  /// Gives up a claim whose request is known not to have run. Fn says whether
  /// the release was committed.
  std::function<void(const IdempotencyKey &Key, std::function<void(bool)> Fn)>
      m_Release;
  /// Leaves a claim without an outcome because the request may have run.
  std::function<void(const IdempotencyKey &Key)> m_Abandon;
};

} // namespace ragwortdrift

#endif
