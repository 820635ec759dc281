#include "ragwortdrift/node/command_router.hpp"

#include "ragwortdrift/base/asio_timer_driver.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

constexpr std::chrono::milliseconds RetryInterval{50};
/// Commands in one log entry; bounds the entry's size and the time to apply it.
constexpr std::size_t MaxBatch = 256;
/// Results kept for proposals whose completion is about to run.
constexpr std::size_t MaxKeptResults = 4096;

using Reply = std::variant<CommandResult, CommandError>;

} // namespace

struct CommandRouter::Pending {
  Command m_Command;
  TimePoint m_Deadline;
  Callback m_Fn;
  PeerCall m_Call;
  bool m_Answered = false;
  /// A command that another VM forwarded is not forwarded again.
  bool m_Forwarded = false;
  TimerService::Subscription m_Timer;
};

CommandRouter::CommandRouter(TimerService &Timers, PeerClient &Client,
                             ReplicatedLog *Log,
                             std::function<std::vector<Endpoint>()> Addresses)
    : m_Timers(Timers), m_Client(Client), m_Log(Log),
      m_Addresses(std::move(Addresses)) {}

bool CommandRouter::isLeader() const {
  return m_Log && m_Log->status().m_Role == RaftRole::Leader;
}

std::optional<Endpoint> CommandRouter::leaderAddress() const {
  if (m_Log) {
    const auto Leader = m_Log->status().m_Leader;
    if (Leader)
      return parseEndpoint(Leader->m_Address);
  }
  return std::nullopt;
}

void CommandRouter::submit(Command Of, Duration Timeout, Callback Fn) {
  auto Item = std::make_shared<Pending>();
  Item->m_Command = std::move(Of);
  Item->m_Deadline = m_Timers.now() + Timeout;
  Item->m_Fn = std::move(Fn);
  if (isLeader())
    proposeSoon(std::move(Item));
  else
    forward(std::move(Item));
}

void CommandRouter::proposeSoon(std::shared_ptr<Pending> Item) {
  m_Batch.push_back(std::move(Item));
  if (!m_BatchTimer)
    m_BatchTimer = m_Timers.after(Duration{0}, [this] {
      m_BatchTimer.reset();
      proposeBatch();
    });
}

void CommandRouter::proposeBatch() {
  while (!m_Batch.empty()) {
    Envelope Entry;
    Entry.m_Time = wallClockNow();
    std::vector<std::shared_ptr<Pending>> Items;
    while (!m_Batch.empty() && Items.size() < MaxBatch) {
      Entry.m_Commands.push_back(m_Batch.front()->m_Command);
      Items.push_back(std::move(m_Batch.front()));
      m_Batch.pop_front();
    }
    for (const auto &Item : Items)
      Item->m_Timer = m_Timers.after(
          std::max(Item->m_Deadline - m_Timers.now(), Duration{0}),
          [this, Weak = std::weak_ptr(Item)] {
            if (auto Open = Weak.lock())
              finish(Open, CommandError{CommandErrorCode::UnknownOutcome, {}});
          });
    m_Log->propose(encode(Entry), [this,
                                   Items](const Result<LogIndex, ProposeError>
                                              &Outcome) {
      if (!isOk(Outcome)) {
        const ProposeErrorCode Code = errorOf(Outcome).m_Code;
        for (const auto &Item : Items) {
          if (Code == ProposeErrorCode::NotLeader)
            retry(Item);
          else if (Code == ProposeErrorCode::TooLarge)
            finish(Item, CommandError{CommandErrorCode::TooLarge, {}});
          else
            finish(Item, CommandError{CommandErrorCode::UnknownOutcome, {}});
        }
        return;
      }
      auto Results = m_Results.extract(valueOf(Outcome));
      for (std::size_t Index = 0; Index < Items.size(); ++Index) {
        if (Results.empty() || Index >= Results.mapped().size())
          finish(Items[Index],
                 CommandError{CommandErrorCode::UnknownOutcome, {}});
        else
          finish(Items[Index], std::move(Results.mapped()[Index]));
      }
    });
  }
}

void CommandRouter::onApplied(LogIndex Index,
                              std::vector<CommandResult> Results) {
  if (!isLeader())
    return;
  m_Results.emplace(Index, std::move(Results));
  if (m_Results.size() > MaxKeptResults)
    m_Results.erase(m_Results.begin());
}

void CommandRouter::forward(std::shared_ptr<Pending> Item) {
  std::optional<Endpoint> To = leaderAddress();
  if (!To)
    To = m_KnownLeader;
  if (!To) {
    const auto All = m_Addresses();
    if (!All.empty())
      To = All[m_NextAddress++ % All.size()];
  }
  const Duration Left = Item->m_Deadline - m_Timers.now();
  if (Left <= Duration{0}) {
    finish(Item, CommandError{CommandErrorCode::NoQuorum, {}});
    return;
  }
  if (!To) {
    retry(std::move(Item));
    return;
  }
  Item->m_Answered = false;
  Item->m_Call = m_Client.open(
      To->m_Ip, To->m_Port, "/command",
      encode(CommandRequest{Item->m_Command, Left}), Left,
      [this, Item](const std::string &Bytes) { onReply(Item, Bytes); },
      [this, Item](const Result<Done, PeerError> &Ended) {
        onCallEnded(Item, Ended);
      });
}

void CommandRouter::onReply(const std::shared_ptr<Pending> &Item,
                            const std::string &Bytes) {
  Item->m_Answered = true;
  auto Decoded = decode<Reply>(Bytes);
  if (!isOk(Decoded)) {
    finish(Item, CommandError{CommandErrorCode::UnknownOutcome, {}});
    return;
  }
  Reply &Answer = valueOf(Decoded);
  if (auto *Outcome = std::get_if<CommandResult>(&Answer)) {
    finish(Item, std::move(*Outcome));
    return;
  }
  const CommandError &Why = std::get<CommandError>(Answer);
  if (Why.m_Code != CommandErrorCode::NotLeader &&
      Why.m_Code != CommandErrorCode::NoQuorum) {
    finish(Item, Why);
    return;
  }
  m_KnownLeader = Why.m_Leader;
  retry(Item);
}

void CommandRouter::onCallEnded(const std::shared_ptr<Pending> &Item,
                                const Result<Done, PeerError> &Ended) {
  if (Item->m_Answered || !Item->m_Fn)
    return;
  m_KnownLeader.reset();
  if (!isOk(Ended) && errorOf(Ended).m_Code == PeerErrorCode::TooLarge) {
    finish(Item, CommandError{CommandErrorCode::TooLarge, {}});
    return;
  }
  if (isOk(Ended) || errorOf(Ended).m_MaybeSent)
    finish(Item, CommandError{CommandErrorCode::UnknownOutcome, {}});
  else
    retry(Item);
}

void CommandRouter::retry(std::shared_ptr<Pending> Item) {
  if (!Item->m_Fn)
    return;
  if (Item->m_Forwarded || m_Timers.now() + RetryInterval >= Item->m_Deadline) {
    finish(Item, CommandError{Item->m_Forwarded ? CommandErrorCode::NotLeader
                                                : CommandErrorCode::NoQuorum,
                              leaderAddress()});
    return;
  }
  Pending &Of = *Item;
  Of.m_Timer = m_Timers.after(RetryInterval, [this, Item = std::move(Item)] {
    if (isLeader())
      proposeSoon(Item);
    else
      forward(Item);
  });
}

void CommandRouter::serve(const PeerRequest &Request,
                          const std::shared_ptr<ResponseStream> &Out) {
  const auto Answer = [Out](const Reply &With) {
    Out->send(encode(With));
    Out->finish();
  };
  auto Decoded = decode<CommandRequest>(Request.m_Body);
  if (!isOk(Decoded)) {
    Answer(CommandError{CommandErrorCode::BadMessage, {}});
    return;
  }
  if (!isLeader()) {
    Answer(CommandError{CommandErrorCode::NotLeader, leaderAddress()});
    return;
  }
  auto Item = std::make_shared<Pending>();
  Item->m_Command = std::move(valueOf(Decoded).m_Command);
  Item->m_Deadline = m_Timers.now() + valueOf(Decoded).m_TimeLeft;
  Item->m_Forwarded = true;
  Item->m_Fn = [Answer](const CommandOutcome &Outcome) {
    Answer(isOk(Outcome) ? Reply(valueOf(Outcome)) : Reply(errorOf(Outcome)));
  };
  proposeSoon(std::move(Item));
}

void CommandRouter::finish(const std::shared_ptr<Pending> &Item,
                           CommandOutcome Outcome) {
  Item->m_Timer.reset();
  if (auto Fn = std::exchange(Item->m_Fn, nullptr))
    Fn(std::move(Outcome));
}

} // namespace ragwortdrift
