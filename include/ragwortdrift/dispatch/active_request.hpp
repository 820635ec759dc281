#ifndef RAGWORTDRIFT_DISPATCH_ACTIVE_REQUEST_HPP
#define RAGWORTDRIFT_DISPATCH_ACTIVE_REQUEST_HPP

#include "ragwortdrift/dispatch/dispatcher.hpp"
#include "ragwortdrift/policy/straggler_detector.hpp"

namespace ragwortdrift {

/// Outcome of one attempt at a leaf.
enum class AttemptOutcome {
  Open,
  /// Complete, signed response to this request.
  Answered,
  /// The leaf executed the request and reported a failure.
  LeafFailed,
  /// The leaf reported that it did not execute the request.
  Refused,
  /// The request was not sent.
  Unsent,
  /// The request was sent and may have been executed.
  Lost,
  /// Cancelled by the dispatcher before a response arrived.
  Abandoned
};
template <> struct EnumNames<AttemptOutcome> {
  using Row = EnumName<AttemptOutcome>;
  static constexpr std::array Entries{
      Row{AttemptOutcome::Open, "open"},
      Row{AttemptOutcome::Answered, "answered"},
      Row{AttemptOutcome::LeafFailed, "failed"},
      Row{AttemptOutcome::Refused, "refused"},
      Row{AttemptOutcome::Unsent, "unsent"},
      Row{AttemptOutcome::Lost, "lost"},
      Row{AttemptOutcome::Abandoned, "abandoned"}};
};

/// Reason for which a request was finished.
enum class FinishCause {
  Complete,
  /// The latency objective is near and enough shards have responded.
  Objective,
  Deadline,
  /// Too many shards, or the only service, can no longer be served.
  Impossible
};
template <> struct EnumNames<FinishCause> {
  using Row = EnumName<FinishCause>;
  static constexpr std::array Entries{
      Row{FinishCause::Complete, "complete"},
      Row{FinishCause::Objective, "objective"},
      Row{FinishCause::Deadline, "deadline"},
      Row{FinishCause::Impossible, "impossible"}};
};

/// A caller's request, from its arrival until its last attempt has ended. It
/// has one sub-request for a single service, or one for each shard of a search.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
  ActiveRequest(Dispatcher &Owner, std::shared_ptr<const RouteTable> Routes,
                const Dispatcher::Admission &Admitted,
                const HttpRequest &Request,
                Dispatcher::ResponseCallback OnResponse);

  /// Starts the request, at once or when the quota of its account permits it.
  /// Returns false if it was refused.
  bool admit();
  /// Handles the caller's disconnect: abandons all attempts; the callback is
  /// not run.
  void cancel();

private:
  struct LeafAttempt {
    std::shared_ptr<LeafView> m_Leaf;
    LeafRequestId m_LeafRequestId = 0;
    TimePoint m_SentAt;
    TimePoint m_EndedAt;
    AttemptOutcome m_Outcome = AttemptOutcome::Open;
    bool m_Overdue = false;
    /// The attempt needed a new connection.
    bool m_Connects = false;
    /// Token that was spent on this attempt.
    RepeatToken m_Token = RepeatToken::None;
    /// Pace of the leaf when the attempt was sent.
    double m_Pace = 1;
  };
  struct SubRequest {
    ServiceName m_Service;
    std::vector<LeafAttempt> m_Attempts;
    std::optional<HttpResponse> m_Response;
    /// Error response of a leaf, passed on to the caller of a single service.
    std::optional<HttpResponse> m_Failure;
    bool m_Failed = false;
    std::optional<TimePoint> m_HedgeAt;
    std::optional<TimePoint> m_RetryAt;
    /// A token for a hedge was asked for.
    bool m_HedgeTokenAsked = false;
    /// Time since which a retry waits for a token that all VMs share, and at
    /// which it asked for one last.
    std::optional<TimePoint> m_TokenWaitSince;
    TimePoint m_TokenAskedAt;

    bool isOpen() const { return !m_Response && !m_Failed; }
  };

  /// Begins the request's share in the requests in flight.
  void enterFlight();
  void start();

  // Quota of the account.
  void onQuota(AccountGate::Outcome Outcome, Duration RetryAfter);
  /// Ends a request of which nothing was sent.
  void refuse(Dispatcher::Refusal Refused);
  /// Ends the wait for a token, and returns the token if no leaf has run the
  /// request.
  void releaseQuota();

  // Attempts.
  unsigned possibleExecutions(const SubRequest &Sub) const;
  bool hasOpenAttempt(const SubRequest &Sub) const;
  void send(std::size_t SubRequestIndex);
  /// Returns the leaf for the next attempt, or null. A retry goes to a leaf
  /// that has refused the request if no other one is left, or if the others are
  /// known to refuse more.
  std::shared_ptr<LeafView> chooseLeaf(const SubRequest &Sub) const;
  /// Returns the time from which a retry may go to a leaf: a while after its
  /// last refusal.
  TimePoint retryTime(const SubRequest &Sub, const LeafView &Leaf) const;
  /// Fails the sub-requests whose leafs are all known to be unavailable for
  /// longer than a request waits. If too few remain, none is sent.
  void failUnavailable();
  bool canRetry(const SubRequest &Sub) const;
  /// Returns true if too many sub-requests have failed.
  bool isImpossible() const;
  /// Returns true if a sub-request has no response and no open attempt that may
  /// still bring one in time.
  bool isLacking(const SubRequest &Sub) const;
  /// Lacking sub-requests beyond those that may be missing in the response.
  std::ptrdiff_t lackingResponses() const;
  /// Fails the sub-requests that lack a response, which ends a search that
  /// would need too many tokens.
  void failLacking();
  /// Asks for a token that all VMs share on behalf of a retry, if the request
  /// needs it and others do not need it more.
  void awaitToken(SubRequest &Sub);
  void endTokenWait(SubRequest &Sub);
  /// Schedules a retry, or marks the sub-request as failed if it has waited too
  /// long. Called if there is no retry token (AwaitsToken) or no available
  /// leaf.
  void retryLaterOrFail(SubRequest &Sub, bool AwaitsToken);
  HttpRequest leafRequest(const LeafView &Leaf) const;
  void onOutcome(std::size_t SubRequestIndex, std::size_t AttemptIndex,
                 Result<HttpResponse, HttpError> &Outcome);
  AttemptOutcome classify(const Result<HttpResponse, HttpError> &Outcome) const;
  void recordOutcome(LeafAttempt &Attempt,
                     const Result<HttpResponse, HttpError> &Outcome);
  /// Latency as a multiple of the route's median leaf latency.
  double relativeLatency(Duration Latency) const;
  void retryOrFail(std::size_t SubRequestIndex);
  void abandon(LeafAttempt &Attempt);

  // Containment of a search that crashes leafs.
  /// Returns true if a sub-request may be sent. After a lost connection a
  /// search sends no more until a leaf has answered it, since it may crash
  /// every leaf that runs it.
  bool mayStart() const;
  /// Sends a request that may crash leafs to a single one.
  void startTrial();
  void endTrial();
  /// Returns true if a sub-request may be sent beside an open attempt. A search
  /// that no leaf has answered has one hedge, since it may crash its leafs.
  bool mayHedge() const;
  /// Counts a connection that ended while a leaf had the request, and checks
  /// whether the leaf has crashed.
  void onConnectionLost(const std::shared_ptr<LeafView> &Leaf);
  /// A leaf ran the request to its end: sends all that was held back.
  void onLeafAnswered();
  /// Sends again, or fails, a search that waits for an answer although none of
  /// its attempts is open.
  void resumeOrFailContained();

  /// Adds a response that is kept to the bytes in flight.
  void countResponse(const HttpResponse &Response);

  // Timing.
  void onTimer();
  void markOverdue(SubRequest &Sub);
  void armTimer();
  Duration hedgeDelay() const;
  /// Brings the hedges of open shards forward once the other shards show that
  /// they are stragglers.
  void scheduleStragglerHedges();

  // Response.
  /// Ends the request's share in the requests in flight.
  void leaveFlight();
  void finishIfDecided();
  void finish(FinishCause Cause);
  HttpResponse mergedResponse(FinishCause Cause) const;
  HttpResponse singleResponse(FinishCause Cause) const;
  HttpResponse failureResponse(FinishCause Cause) const;
  bool noneExecuted() const;
  Duration retryAfter() const;
  void log(FinishCause Cause, unsigned Status);
  std::string describeAttempts() const;

  TimerService &timers() const { return m_Owner.m_Timers; }

  Dispatcher &m_Owner;
  /// The configuration in use for the whole request.
  std::shared_ptr<const RouteTable> m_Routes;
  const Route &m_Route;
  /// Null for an anonymous caller.
  const ClientAccount *m_Account;
  /// Priority of the account, or else of the route. 0 is the highest.
  int m_Priority;
  bool m_NeedsConfirmedAccounts;
  LimitId m_QuotaId;
  std::optional<LimitTerms> m_QuotaTerms;
  std::optional<AccountGate::WaitNumber> m_QuotaWait;
  bool m_HasQuotaToken = false;
  std::string m_RequestId;
  /// The request as sent to every leaf, without the headers that differ between
  /// leafs.
  HttpRequest m_RequestTemplate;
  Dispatcher::ResponseCallback m_OnResponse;
  std::size_t m_Bytes;
  std::vector<SubRequest> m_SubRequests;
  StragglerDetector m_Stragglers;
  TimePoint m_StartedAt;
  /// Time from which a search with enough shards is answered without the
  /// missing ones.
  TimePoint m_PartialResponseAt;
  TimePoint m_Deadline;
  Duration m_HedgeDelay{0};
  /// Set if too few shards have a leaf that may be available soon: the time
  /// after which enough of them may have one.
  std::optional<Duration> m_AvailableIn;
  bool m_Finished = false;
  /// A leaf has answered, with a success or a failure of its own.
  bool m_LeafAnswered = false;
  /// The request had crashed leafs before; it is with one leaf at a time until
  /// one has answered.
  bool m_IsTrial = false;
  /// Attempts whose connection ended before any answer.
  unsigned m_LostConnections = 0;
  /// Their number when all attempts of a search had ended without an answer.
  std::optional<unsigned> m_LossesBeforeResume;
  unsigned m_Hedges = 0;
  /// Times that a token was asked for, and the longest wait for one.
  unsigned m_TokensAsked = 0;
  Duration m_LongestTokenWait{0};
  /// The most responses that it lacked while a retry waited for a token.
  std::ptrdiff_t m_MostLacking = 0;
  /// It ended since it lacked too many.
  bool m_GivenUp = false;
  TimerService::Subscription m_Timer;
  /// Keeps the request alive until it is finished, even while no attempt is
  /// open.
  std::shared_ptr<ActiveRequest> m_Self;
};

} // namespace ragwortdrift

#endif
