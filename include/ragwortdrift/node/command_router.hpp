#ifndef RAGWORTDRIFT_NODE_COMMAND_ROUTER_HPP
#define RAGWORTDRIFT_NODE_COMMAND_ROUTER_HPP

#include "ragwortdrift/config/settings.hpp"
#include "ragwortdrift/consensus/replicated_log.hpp"
#include "ragwortdrift/net/peer_client.hpp"
#include "ragwortdrift/net/peer_server.hpp"
#include "ragwortdrift/state/replicated_state.hpp"

#include <deque>

namespace ragwortdrift {

enum class CommandErrorCode : std::uint8_t {
  /// No leader with a quorum was found in time. The command was not accepted.
  NoQuorum,
  /// The command may have been accepted; its result was lost.
  UnknownOutcome,
  /// This VM is not the leader. Used only between VMs.
  NotLeader,
  TooLarge,
  BadMessage
};
template <> struct EnumNames<CommandErrorCode> {
  using Code = CommandErrorCode;
  static constexpr std::array Entries{
      EnumName<Code>{Code::NoQuorum, "no_quorum"},
      EnumName<Code>{Code::UnknownOutcome, "unknown_outcome"},
      EnumName<Code>{Code::NotLeader, "not_leader"},
      EnumName<Code>{Code::TooLarge, "too_large"},
      EnumName<Code>{Code::BadMessage, "bad_message"}};
};

/// Reason for which a command has no result.
struct CommandError {
  CommandErrorCode m_Code{};
  /// With NotLeader: the control address of the leader, if known.
  std::optional<Endpoint> m_Leader;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Code, m_Leader); }
};

using CommandOutcome = Result<CommandResult, CommandError>;

/// A command that a VM forwards to the leader.
struct CommandRequest {
  Command m_Command;
  Duration m_TimeLeft{0};

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Command, m_TimeLeft);
  }
};

/// Commits commands of any VM to the replicated log. The leader batches
/// commands that arrive in the same iteration of its event loop into one log
/// entry; other VMs forward theirs to the leader. Runs on the control thread.
class CommandRouter {
public:
  using Callback = std::function<void(CommandOutcome)>;

  /// Log is null on a VM without a disk. Addresses returns the control
  /// addresses of VMs with a disk, which may know the leader.
  CommandRouter(TimerService &Timers, PeerClient &Client, ReplicatedLog *Log,
                std::function<std::vector<Endpoint>()> Addresses);

  /// Executes a command. It is sent to another VM only if it is certain that no
  /// leader has received it.
  void submit(Command NewCommand, Duration Timeout, Callback OnResult);
  /// Serves the path /command.
  void serve(const PeerRequest &Request,
             const std::shared_ptr<ResponseStream> &Stream);
  /// Takes the results of an applied entry. Called before the log reports the
  /// entry's proposal as committed.
  void onApplied(LogIndex Index, std::vector<CommandResult> Results);

private:
  struct PendingCommand;

  void enqueue(std::shared_ptr<PendingCommand> Item);
  void proposeBatch();
  void forward(std::shared_ptr<PendingCommand> Item);
  void retryLater(std::shared_ptr<PendingCommand> Item);
  void onReply(const std::shared_ptr<PendingCommand> &Item,
               const std::string &Bytes);
  void onForwardEnded(const std::shared_ptr<PendingCommand> &Item,
                      const Result<Done, PeerError> &Outcome);
  void finish(const std::shared_ptr<PendingCommand> &Item,
              CommandOutcome Outcome);
  bool isLeader() const;
  std::optional<Endpoint> leaderAddress() const;

  TimerService &m_Timers;
  PeerClient &m_Client;
  ReplicatedLog *m_Log;
  std::function<std::vector<Endpoint>()> m_Addresses;
  std::optional<Endpoint> m_LastKnownLeader;
  std::size_t m_NextAddress = 0;
  std::deque<std::shared_ptr<PendingCommand>> m_Batch;
  TimerService::Subscription m_BatchTimer;
  std::map<LogIndex, std::vector<CommandResult>> m_Results;
};

} // namespace ragwortdrift

#endif
