#include "ragwortdrift/node/control_node.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <boost/asio/post.hpp>

namespace ragwortdrift {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds RecordTimeout{5000};
constexpr std::chrono::milliseconds ReleaseTimeout{500};
/// A claim in doubt blocks its key on this VM until it is released; after this
/// many tries it is left to the log, where it reads as "may have run".
constexpr unsigned ReleaseTries = 20;
constexpr std::uint64_t MaxRefutations = 1000;

Refusal refusalOf(const ClaimRefused &Why) {
  switch (Why.m_Code) {
  case ClaimRefusalCode::KeyReused:
    return {QueryRefusalCode::KeyReused, false,
            "the key was used for a request with another body"};
  case ClaimRefusalCode::IssuedInFuture:
    return {QueryRefusalCode::BadRequest, true,
            "Rd-Issued-At is more than 5 minutes ahead"};
  case ClaimRefusalCode::BadKey:
    return {QueryRefusalCode::BadRequest, true,
            "Idempotency-Key must have 1 to 64 characters"};
  default:
    return {QueryRefusalCode::KeyExpired, false,
            "an earlier claim of the key may have been dropped"};
  }
}

} // namespace

BookingClaims ControlNode::claims() {
  BookingClaims Claims;
  Claims.m_Claim = [this](const QueryRequest &Request, Duration Timeout,
                          std::function<void(ClaimOutcome)> Fn) {
    asio::post(m_Io, [this, Request, Timeout, Fn = std::move(Fn)]() mutable {
      m_Driver.refresh();
      claim(Request, Timeout, std::move(Fn));
    });
  };
  Claims.m_Record = [this](const IdempotencyKey &Key, RecordedOutcome Outcome) {
    asio::post(m_Io, [this, Key, Outcome = std::move(Outcome)]() mutable {
      m_Driver.refresh();
      record(Key, std::move(Outcome));
    });
  };
  Claims.m_Release = [this](const IdempotencyKey &Key,
                            std::function<void(bool)> Fn) {
    asio::post(m_Io, [this, Key, Fn = std::move(Fn)]() mutable {
      m_Driver.refresh();
      release(Key, ReleaseTries, std::move(Fn));
    });
  };
  Claims.m_Abandon = [this](const IdempotencyKey &Key) {
    asio::post(m_Io, [this, Key] { m_OpenKeys.erase(Key); });
  };
  return Claims;
}

void ControlNode::claim(const QueryRequest &Request, Duration Timeout,
                        std::function<void(ClaimOutcome)> Fn) {
  const IdempotencyKey &Key = Request.m_Booking->m_Key;
  // Two requests of this VM would be one holder to the replicated state.
  if (!m_OpenKeys.insert(Key).second) {
    Fn(Refusal{QueryRefusalCode::KeyInProgress, false,
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
  m_Commands.submit(std::move(Claim), Timeout,
                    [this, Key, Fn = std::move(Fn)](CommandOutcome Outcome) {
                      onClaimResult(Key, std::move(Outcome), Fn);
                    });
}

void ControlNode::onClaimResult(const IdempotencyKey &Key,
                                CommandOutcome Outcome,
                                const std::function<void(ClaimOutcome)> &Fn) {
  if (!isOk(Outcome)) {
    // Nothing was sent to a leaf, whatever became of the claim.
    if (errorOf(Outcome).m_Code == CommandErrorCode::UnknownOutcome)
      release(Key, ReleaseTries, [](bool) {});
    else
      m_OpenKeys.erase(Key);
    Fn(Refusal{QueryRefusalCode::NoQuorum, true,
               "the claim could not be committed in time"});
    return;
  }
  CommandResult &Found = valueOf(Outcome);
  if (std::holds_alternative<ClaimGranted>(Found)) {
    Fn(ClaimHeld{});
    return;
  }
  m_OpenKeys.erase(Key);
  if (auto *Known = std::get_if<ClaimDone>(&Found)) {
    if (Known->m_Outcome.m_Body)
      Fn(RecordedOutcome{Known->m_Outcome.m_HttpStatus,
                         std::move(*Known->m_Outcome.m_Body)});
    else
      Fn(Refusal{QueryRefusalCode::MayHaveRun, false,
                 "the request ran; its answer was too large to be kept"});
  } else if (const auto *Pending = std::get_if<ClaimPending>(&Found)) {
    Fn(refusalOfPending(*Pending));
  } else if (const auto *Refused = std::get_if<ClaimRefused>(&Found)) {
    Fn(refusalOf(*Refused));
  } else {
    Fn(Refusal{QueryRefusalCode::Internal, true, "unexpected result"});
  }
}

bool ControlNode::holderAlive(const VmId &Holder, Incarnation Of) const {
  if (Holder == m_Settings.m_Vm)
    return Of == m_Incarnation;
  const MemberEntry *Known = m_Members.find(Holder);
  // A running VM raises its incarnation by one to refute a suspicion; a restart
  // raises it to the current time in milliseconds.
  return Known && Known->m_Status != VmStatus::Dead &&
         Known->m_Incarnation >= Of &&
         Known->m_Incarnation.m_Value - Of.m_Value < MaxRefutations;
}

Refusal ControlNode::refusalOfPending(const ClaimPending &Pending) const {
  const bool Alive = holderAlive(Pending.m_Holder, Pending.m_Incarnation);
  if (Alive)
    return {QueryRefusalCode::KeyInProgress, false,
            "entry VM " + Pending.m_Holder.m_Value + " is running the request"};
  return {QueryRefusalCode::MayHaveRun, false,
          "entry VM " + Pending.m_Holder.m_Value +
              " was lost while it ran the request"};
}

void ControlNode::record(const IdempotencyKey &Key, RecordedOutcome Outcome) {
  RecordOutcome Message{Key, m_Settings.m_Vm, m_Incarnation, {}};
  Message.m_Outcome.m_HttpStatus = Outcome.m_HttpStatus;
  if (Outcome.m_Body.size() <= MaxOutcomeBytes)
    Message.m_Outcome.m_Body = std::move(Outcome.m_Body);
  m_Commands.submit(
      std::move(Message), RecordTimeout,
      [this, Key](const CommandOutcome &) { m_OpenKeys.erase(Key); });
}

void ControlNode::release(const IdempotencyKey &Key, unsigned TriesLeft,
                          std::function<void(bool)> Fn) {
  m_Commands.submit(ReleaseClaim{Key, m_Settings.m_Vm, m_Incarnation},
                    ReleaseTimeout,
                    [this, Key, TriesLeft, Fn = std::move(Fn)](
                        const CommandOutcome &Outcome) mutable {
                      if (isOk(Outcome) || TriesLeft == 0) {
                        m_OpenKeys.erase(Key);
                        if (Fn)
                          Fn(isOk(Outcome));
                        return;
                      }
                      // The caller does not wait for later tries.
                      if (Fn)
                        Fn(false);
                      release(Key, TriesLeft - 1, nullptr);
                    });
}

} // namespace ragwortdrift
