#include "ragwortdrift/node/command_router.hpp"

#include "ragwortdrift/base/asio_timer_driver.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

constexpr std::chrono::milliseconds RetryInterval{50};
/// Maximum number of commands in a log entry. Bounds its size and the time to
/// apply it.
constexpr std::size_t MaxCommandsPerEntry = 256;
/// Maximum number of results stored until their proposals complete.
constexpr std::size_t MaxStoredResults = 4096;

using Reply = std::variant<CommandResult, CommandError>;

} // namespace

struct CommandRouter::PendingCommand {
  Command m_Command;
  TimePoint m_Deadline;
  Callback m_OnResult;
  PeerCall m_Call;
  bool m_Answered = false;
  /// True for a command from another VM, which is not forwarded again.
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

void CommandRouter::submit(Command NewCommand, Duration Timeout,
                           Callback OnResult) {
  auto Item = std::make_shared<PendingCommand>();
  Item->m_Command = std::move(NewCommand);
  Item->m_Deadline = m_Timers.now() + Timeout;
  Item->m_OnResult = std::move(OnResult);
  if (isLeader())
    enqueue(std::move(Item));
  else
    forward(std::move(Item));
}

void CommandRouter::enqueue(std::shared_ptr<PendingCommand> Item) {
  m_Batch.push_back(std::move(Item));
  if (!m_BatchTimer)
    m_BatchTimer = m_Timers.after(Duration{0}, [this] {
      m_BatchTimer.reset();
      proposeBatch();
    });
}

void CommandRouter::proposeBatch() {
  while (!m_Batch.empty()) {
    CommandBatch Entry;
    Entry.m_Time = wallClockNow();
    std::vector<std::shared_ptr<PendingCommand>> Items;
    while (!m_Batch.empty() && Items.size() < MaxCommandsPerEntry) {
      Entry.m_Commands.push_back(m_Batch.front()->m_Command);
      Items.push_back(std::move(m_Batch.front()));
      m_Batch.pop_front();
    }
    for (const auto &Item : Items)
      Item->m_Timer = m_Timers.after(
          std::max(Item->m_Deadline - m_Timers.now(), Duration{0}),
          [this, Weak = std::weak_ptr(Item)] {
            if (auto Pending = Weak.lock())
              finish(Pending,
                     CommandError{CommandErrorCode::UnknownOutcome, {}});
          });
    m_Log->propose(encode(Entry), [this,
                                   Items](const Result<LogIndex, ProposeError>
                                              &Outcome) {
      if (!isOk(Outcome)) {
        const ProposeErrorCode Code = errorOf(Outcome).m_Code;
        for (const auto &Item : Items) {
          if (Code == ProposeErrorCode::NotLeader)
            retryLater(Item);
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
  if (m_Results.size() > MaxStoredResults)
    m_Results.erase(m_Results.begin());
}

void CommandRouter::forward(std::shared_ptr<PendingCommand> Item) {
  std::optional<Endpoint> Target = leaderAddress();
  if (!Target)
    Target = m_LastKnownLeader;
  if (!Target) {
    const auto Addresses = m_Addresses();
    if (!Addresses.empty())
      Target = Addresses[m_NextAddress++ % Addresses.size()];
  }
  const Duration TimeLeft = Item->m_Deadline - m_Timers.now();
  if (TimeLeft <= Duration{0}) {
    finish(Item, CommandError{CommandErrorCode::NoQuorum, {}});
    return;
  }
  if (!Target) {
    retryLater(std::move(Item));
    return;
  }
  Item->m_Answered = false;
  Item->m_Call = m_Client.open(
      Target->m_Ip, Target->m_Port, "/command",
      encode(CommandRequest{Item->m_Command, TimeLeft}), TimeLeft,
      [this, Item](const std::string &Bytes) { onReply(Item, Bytes); },
      [this, Item](const Result<Done, PeerError> &Outcome) {
        onForwardEnded(Item, Outcome);
      });
}

void CommandRouter::onReply(const std::shared_ptr<PendingCommand> &Item,
                            const std::string &Bytes) {
  Item->m_Answered = true;
  auto DecodeResult = decode<Reply>(Bytes);
  if (!isOk(DecodeResult)) {
    finish(Item, CommandError{CommandErrorCode::UnknownOutcome, {}});
    return;
  }
  Reply &Response = valueOf(DecodeResult);
  if (auto *Outcome = std::get_if<CommandResult>(&Response)) {
    finish(Item, std::move(*Outcome));
    return;
  }
  const CommandError &Error = std::get<CommandError>(Response);
  if (Error.m_Code != CommandErrorCode::NotLeader &&
      Error.m_Code != CommandErrorCode::NoQuorum) {
    finish(Item, Error);
    return;
  }
  m_LastKnownLeader = Error.m_Leader;
  retryLater(Item);
}

void CommandRouter::onForwardEnded(const std::shared_ptr<PendingCommand> &Item,
                                   const Result<Done, PeerError> &Outcome) {
  if (Item->m_Answered || !Item->m_OnResult)
    return;
  m_LastKnownLeader.reset();
  if (!isOk(Outcome) && errorOf(Outcome).m_Code == PeerErrorCode::TooLarge) {
    finish(Item, CommandError{CommandErrorCode::TooLarge, {}});
    return;
  }
  if (isOk(Outcome) || errorOf(Outcome).m_MaybeSent)
    finish(Item, CommandError{CommandErrorCode::UnknownOutcome, {}});
  else
    retryLater(Item);
}

void CommandRouter::retryLater(std::shared_ptr<PendingCommand> Item) {
  if (!Item->m_OnResult)
    return;
  if (Item->m_Forwarded || m_Timers.now() + RetryInterval >= Item->m_Deadline) {
    finish(Item, CommandError{Item->m_Forwarded ? CommandErrorCode::NotLeader
                                                : CommandErrorCode::NoQuorum,
                              leaderAddress()});
    return;
  }
  PendingCommand &Command = *Item;
  Command.m_Timer =
      m_Timers.after(RetryInterval, [this, Item = std::move(Item)] {
        if (isLeader())
          enqueue(Item);
        else
          forward(Item);
      });
}

void CommandRouter::serve(const PeerRequest &Request,
                          const std::shared_ptr<ResponseStream> &Stream) {
  const auto Respond = [Stream](const Reply &Message) {
    Stream->send(encode(Message));
    Stream->finish();
  };
  auto DecodeResult = decode<CommandRequest>(Request.m_Body);
  if (!isOk(DecodeResult)) {
    Respond(CommandError{CommandErrorCode::BadMessage, {}});
    return;
  }
  if (!isLeader()) {
    Respond(CommandError{CommandErrorCode::NotLeader, leaderAddress()});
    return;
  }
  auto Item = std::make_shared<PendingCommand>();
  Item->m_Command = std::move(valueOf(DecodeResult).m_Command);
  Item->m_Deadline = m_Timers.now() + valueOf(DecodeResult).m_TimeLeft;
  Item->m_Forwarded = true;
  Item->m_OnResult = [Respond](const CommandOutcome &Outcome) {
    Respond(isOk(Outcome) ? Reply(valueOf(Outcome)) : Reply(errorOf(Outcome)));
  };
  enqueue(std::move(Item));
}

void CommandRouter::finish(const std::shared_ptr<PendingCommand> &Item,
                           CommandOutcome Outcome) {
  Item->m_Timer.reset();
  if (auto OnResult = std::exchange(Item->m_OnResult, nullptr))
    OnResult(std::move(Outcome));
}

} // namespace ragwortdrift
