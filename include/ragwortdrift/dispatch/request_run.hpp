#ifndef RAGWORTDRIFT_DISPATCH_REQUEST_RUN_HPP
#define RAGWORTDRIFT_DISPATCH_REQUEST_RUN_HPP

#include "ragwortdrift/dispatch/dispatcher.hpp"

namespace ragwortdrift {

/// How one try at a leaf ended.
enum class TryOutcome {
  Open,
  /// A whole, signed answer to this request.
  Answered,
  /// The leaf ran the request and says that it failed.
  LeafFailed,
  /// The leaf says that it did not run the request.
  Refused,
  /// Nothing was sent.
  Unsent,
  /// The request was sent and may have run.
  Lost,
  /// Given up here before an answer came.
  Abandoned
};
template <> struct EnumNames<TryOutcome> {
  using Row = EnumName<TryOutcome>;
  static constexpr std::array Entries{Row{TryOutcome::Open, "open"},
                                      Row{TryOutcome::Answered, "answered"},
                                      Row{TryOutcome::LeafFailed, "failed"},
                                      Row{TryOutcome::Refused, "refused"},
                                      Row{TryOutcome::Unsent, "unsent"},
                                      Row{TryOutcome::Lost, "lost"},
                                      Row{TryOutcome::Abandoned, "abandoned"}};
};

/// Why a request got its answer when it did.
enum class FinishCause {
  Complete,
  /// The objective is near and enough shards have answered.
  Objective,
  Deadline,
  /// Too many shards, or the only one, cannot be served any more.
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

/// One request of a caller, from its arrival until its last try has ended. A
/// request for one service has one part; a search has a part for each shard.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
  /// WaitLeft is how long the caller will wait from now.
  RequestRun(Dispatcher &Owner, std::shared_ptr<const RouteTable> Routes,
             const Route &Matched, const HttpRequest &Request,
             Duration WaitLeft, Dispatcher::AnswerFn Answer);

  void start();
  /// The caller is gone: ends all tries at once, and no answer is given.
  void cancel();

private:
  struct Try {
    std::shared_ptr<LeafView> m_Leaf;
    SendId m_Send = 0;
    TimePoint m_SentAt;
    TimePoint m_EndedAt;
    TryOutcome m_Outcome = TryOutcome::Open;
    bool m_Overdue = false;
  };
  struct Part {
    ServiceName m_Service;
    std::vector<Try> m_Tries;
    std::optional<HttpResponse> m_Answer;
    /// A leaf's own failure, for a request to one service.
    std::optional<HttpResponse> m_Failure;
    bool m_Failed = false;
    std::optional<TimePoint> m_HedgeAt;
    std::optional<TimePoint> m_RetryAt;

    bool isOpen() const { return !m_Answer && !m_Failed; }
  };

  // Tries.
  unsigned possibleRuns(const Part &CurrentPart) const;
  bool hasOpenTry(const Part &CurrentPart) const;
  void send(std::size_t PartIndex);
  bool mayRepeat(const Part &CurrentPart) const;
  /// Nothing can be sent for a part now, for want of a token or of a leaf.
  void waitOrGiveUp(Part &CurrentPart, bool ForToken);
  HttpRequest leafRequest(const LeafView &Leaf) const;
  void onOutcome(std::size_t PartIndex, std::size_t TryIndex,
                 Result<HttpResponse, HttpError> &Outcome);
  TryOutcome classify(const Result<HttpResponse, HttpError> &Outcome) const;
  void observe(Try &Ended, const Result<HttpResponse, HttpError> &Outcome);
  /// Latency in medians of the route's leaf latency.
  double relativeLatency(Duration Latency) const;
  void continuePart(std::size_t PartIndex);
  void abandon(Try &Attempt);

  // Time.
  void step();
  void markOverdue(Part &CurrentPart);
  void schedule();
  Duration hedgeDelay() const;

  // Answer.
  void evaluate();
  void finish(FinishCause Cause);
  HttpResponse mergedAnswer() const;
  HttpResponse singleAnswer(FinishCause Cause) const;
  HttpResponse failure(FinishCause Cause) const;
  bool nothingRan() const;
  void log(FinishCause Cause, unsigned Status);
  std::string describeTries() const;

  TimerService &timers() const { return m_Owner.m_Timers; }

  Dispatcher &m_Owner;
  /// The configuration that the whole request is handled with.
  std::shared_ptr<const RouteTable> m_Routes;
  const Route &m_Route;
  std::string m_RequestId;
  /// The request as every leaf gets it, but for what differs between leafs.
  HttpRequest m_Prototype;
  Dispatcher::AnswerFn m_Answer;
  std::vector<Part> m_Parts;
  TimePoint m_StartedAt;
  /// When a search with enough parts is answered although some are missing.
  TimePoint m_CutAt;
  TimePoint m_Deadline;
  Duration m_HedgeDelay{0};
  bool m_Finished = false;
  unsigned m_Hedges = 0;
  TimerService::Subscription m_Timer;
  /// Holds the run until it has its answer; no try may be open meanwhile.
  std::shared_ptr<RequestRun> m_Self;
};

} // namespace ragwortdrift

#endif
