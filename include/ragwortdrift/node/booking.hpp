#ifndef RAGWORTDRIFT_NODE_BOOKING_HPP
#define RAGWORTDRIFT_NODE_BOOKING_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/node/query.hpp"

#include <functional>

namespace ragwortdrift {

/// This VM holds the claim: it may send the request, and no other VM may.
struct ClaimHeld {};

/// The recorded response to an earlier request with the same key.
struct RecordedOutcome {
  std::uint16_t m_HttpStatus = 200;
  std::string m_Body;
};

/// The result of a claim: held by this VM, already executed, or refused.
using ClaimOutcome = std::variant<ClaimHeld, RecordedOutcome, Refusal>;

/// A traffic thread's access to the replicated claims. The functions are
/// thread-safe. A callback runs on the control thread, so that the caller has
/// to post to its own thread.
struct BookingClaims {
  std::function<void(const QueryRequest &Request, Duration Timeout,
                     std::function<void(ClaimOutcome)> Callback)>
      m_Claim;
  /// Records the response for a claim that this VM holds.
  std::function<void(const IdempotencyKey &Key, RecordedOutcome Outcome)>
      m_Record;
  /// Releases a claim whose request is known not to have been executed.
  /// Callback gets true when the release was committed.
  std::function<void(const IdempotencyKey &Key,
                     std::function<void(bool)> Callback)>
      m_Release;
  /// Ends this VM's work on a claim without recording an outcome, because the
  /// request may have been executed.
  std::function<void(const IdempotencyKey &Key)> m_Abandon;
};

} // namespace ragwortdrift

#endif
