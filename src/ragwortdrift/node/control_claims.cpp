#include "ragwortdrift/node/control_node.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <boost/asio/post.hpp>

namespace ragwortdrift {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds RecordTimeout{5000};
constexpr std::chrono::milliseconds ReleaseTimeout{500};
/// A claim that may or may not be committed blocks its key on this VM until it
/// is released. After this many attempts it stays in the log, where it means
/// that the request may have been executed.
constexpr unsigned MaxReleaseAttempts = 20;
constexpr std::uint64_t MaxRefutations = 1000;

Refusal claimRefusal(const ClaimRefused &Reason) {
  switch (Reason.m_Code) {
  case ClaimRefusalCode::KeyReused:
    return {QueryRefusalCode::KeyReused, false,
            "the key was already used for a request with another body"};
  case ClaimRefusalCode::IssuedInFuture:
    return {QueryRefusalCode::BadRequest, true,
            "Rd-Issued-At is more than 5 minutes ahead"};
  case ClaimRefusalCode::BadKey:
    return {QueryRefusalCode::BadRequest, true,
            "Idempotency-Key must have 1 to 64 characters"};
  default:
    return {QueryRefusalCode::KeyExpired, false,
            "an earlier claim of the key may have expired"};
  }
}

} // namespace

BookingClaims ControlNode::claims() {
  BookingClaims Claims;
  Claims.m_Claim = [this](const QueryRequest &Request, Duration Timeout,
                          std::function<void(ClaimOutcome)> Callback) {
    asio::post(m_Io, [this, Request, Timeout,
                      Callback = std::move(Callback)]() mutable {
      m_TimerDriver.runDueTimers();
      claim(Request, Timeout, std::move(Callback));
    });
  };
  Claims.m_Record = [this](const IdempotencyKey &Key, RecordedOutcome Outcome) {
    asio::post(m_Io, [this, Key, Outcome = std::move(Outcome)]() mutable {
      m_TimerDriver.runDueTimers();
      record(Key, std::move(Outcome));
    });
  };
  Claims.m_Release = [this](const IdempotencyKey &Key,
                            std::function<void(bool)> Callback) {
    asio::post(m_Io, [this, Key, Callback = std::move(Callback)]() mutable {
      m_TimerDriver.runDueTimers();
      release(Key, MaxReleaseAttempts, std::move(Callback));
    });
  };
  Claims.m_Abandon = [this](const IdempotencyKey &Key) {
    asio::post(m_Io, [this, Key] { m_BusyKeys.erase(Key); });
  };
  return Claims;
}

void ControlNode::claim(const QueryRequest &Request, Duration Timeout,
                        std::function<void(ClaimOutcome)> Callback) {
  const IdempotencyKey &Key = Request.m_Booking->m_Key;
  // The replicated state cannot distinguish two requests of the same VM,
  // because both have the same holder.
  if (!m_BusyKeys.insert(Key).second) {
    Callback(Refusal{QueryRefusalCode::KeyInProgress, false,
                     "a request with this key is in progress"});
    return;
  }
  ClaimBooking Claim;
  Claim.m_Key = Key;
  Claim.m_BodyHash = stableHash(Request.m_Body);
  Claim.m_Service = Request.m_Service;
  Claim.m_Holder = m_Settings.m_Vm;
  Claim.m_Incarnation = m_Incarnation;
  Claim.m_IssuedAt = Request.m_Booking->m_IssuedAt;
  m_CommandRouter.submit(
      std::move(Claim), Timeout,
      [this, Key, Callback = std::move(Callback)](CommandOutcome Outcome) {
        onClaimResult(Key, std::move(Outcome), Callback);
      });
}

void ControlNode::onClaimResult(
    const IdempotencyKey &Key, CommandOutcome Outcome,
    const std::function<void(ClaimOutcome)> &Callback) {
  if (!isOk(Outcome)) {
    // Nothing was sent to a leaf, whether or not the claim was committed.
    if (errorOf(Outcome).m_Code == CommandErrorCode::UnknownOutcome)
      release(Key, MaxReleaseAttempts, [](bool) {});
    else
      m_BusyKeys.erase(Key);
    Callback(Refusal{QueryRefusalCode::NoQuorum, true,
                     "the claim was not committed in time"});
    return;
  }
  CommandResult &ClaimResult = valueOf(Outcome);
  if (std::holds_alternative<ClaimGranted>(ClaimResult)) {
    Callback(ClaimHeld{});
    return;
  }
  m_BusyKeys.erase(Key);
  if (auto *Recorded = std::get_if<ClaimDone>(&ClaimResult)) {
    if (Recorded->m_Outcome.m_Body)
      Callback(RecordedOutcome{Recorded->m_Outcome.m_HttpStatus,
                               std::move(*Recorded->m_Outcome.m_Body)});
    else
      Callback(Refusal{QueryRefusalCode::MaybeExecuted, false,
                       "the request was executed, but its response was too "
                       "large to be stored"});
  } else if (const auto *Pending = std::get_if<ClaimPending>(&ClaimResult)) {
    Callback(pendingRefusal(*Pending));
  } else if (const auto *Reason = std::get_if<ClaimRefused>(&ClaimResult)) {
    Callback(claimRefusal(*Reason));
  } else {
    Callback(Refusal{QueryRefusalCode::Internal, true,
                     "unexpected result of the claim"});
  }
}

bool ControlNode::isHolderAlive(const VmId &Holder,
                                Incarnation HolderIncarnation) const {
  if (Holder == m_Settings.m_Vm)
    return HolderIncarnation == m_Incarnation;
  const MemberEntry *Entry = m_Members.find(Holder);
  // A running VM increments its incarnation to refute a suspicion. A restart
  // sets it to the current time in milliseconds.
  return Entry && Entry->m_Status != VmStatus::Dead &&
         Entry->m_Incarnation >= HolderIncarnation &&
         Entry->m_Incarnation.m_Value - HolderIncarnation.m_Value <
             MaxRefutations;
}

Refusal ControlNode::pendingRefusal(const ClaimPending &Pending) const {
  const bool Alive = isHolderAlive(Pending.m_Holder, Pending.m_Incarnation);
  if (Alive)
    return {QueryRefusalCode::KeyInProgress, false,
            "entry VM " + Pending.m_Holder.m_Value +
                " is executing the request"};
  return {QueryRefusalCode::MaybeExecuted, false,
          "entry VM " + Pending.m_Holder.m_Value +
              " became unavailable while it executed the request"};
}

void ControlNode::record(const IdempotencyKey &Key, RecordedOutcome Outcome) {
  RecordOutcome Message{Key, m_Settings.m_Vm, m_Incarnation, {}};
  Message.m_Outcome.m_HttpStatus = Outcome.m_HttpStatus;
  if (Outcome.m_Body.size() <= MaxOutcomeBodyBytes)
    Message.m_Outcome.m_Body = std::move(Outcome.m_Body);
  m_CommandRouter.submit(
      std::move(Message), RecordTimeout,
      [this, Key](const CommandOutcome &) { m_BusyKeys.erase(Key); });
}

void ControlNode::release(const IdempotencyKey &Key, unsigned AttemptsLeft,
                          std::function<void(bool)> Callback) {
  m_CommandRouter.submit(
      ReleaseClaim{Key, m_Settings.m_Vm, m_Incarnation}, ReleaseTimeout,
      [this, Key, AttemptsLeft,
       Callback = std::move(Callback)](const CommandOutcome &Outcome) mutable {
        if (isOk(Outcome) || AttemptsLeft == 0) {
          m_BusyKeys.erase(Key);
          if (Callback)
            Callback(isOk(Outcome));
          return;
        }
        // The caller does not wait for later attempts.
        if (Callback)
          Callback(false);
        release(Key, AttemptsLeft - 1, nullptr);
      });
}

} // namespace ragwortdrift
