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
  /// No leader with a quorum was found in time; the command was not accepted.
  NoQuorum,
  /// The command may have been accepted; its answer was lost.
  UnknownOutcome,
  /// This VM is not the leader; only between VMs.
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

/// Why a command has no result.
struct CommandError {
  CommandErrorCode m_Code{};
  /// With NotLeader: the control address of the leader, if known.
  std::optional<Endpoint> m_Leader;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Code, m_Leader); }
};

using CommandOutcome = Result<CommandResult, CommandError>;

/// What a VM asks the leader.
struct CommandRequest {
  Command m_Command;
  Duration m_TimeLeft{0};

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Command, m_TimeLeft);
  }
};

/// Brings commands into the replicated log, from any VM: commands that arrive
/// in the same turn at the leader share one log entry, and a VM that is not the
/// leader sends them there. Runs on the control thread.
class CommandRouter {
public:
  using Callback = std::function<void(CommandOutcome)>;

  /// Log is null on a VM without a disk. Address finds the control address of a
  /// VM that has a disk and may know the leader.
  CommandRouter(TimerService &Timers, PeerClient &Client, ReplicatedLog *Log,
                std::function<std::vector<Endpoint>()> Addresses);

  /// Runs a command. It is sent again to another VM only while it is certain
  /// that no leader has received it.
  void submit(Command Of, Duration Timeout, Callback Fn);
  /// Serves the path /command.
  void serve(const PeerRequest &Request,
             const std::shared_ptr<ResponseStream> &Out);
  /// The results of an entry that was applied; called before the log reports
  /// the entry's proposal as done.
  void onApplied(LogIndex Index, std::vector<CommandResult> Results);

private:
  struct Pending;

  void proposeSoon(std::shared_ptr<Pending> Item);
  void proposeBatch();
  void forward(std::shared_ptr<Pending> Item);
  void retry(std::shared_ptr<Pending> Item);
  void onReply(const std::shared_ptr<Pending> &Item, const std::string &Bytes);
  void onCallEnded(const std::shared_ptr<Pending> &Item,
                   const Result<Done, PeerError> &Ended);
  void finish(const std::shared_ptr<Pending> &Item, CommandOutcome Outcome);
  bool isLeader() const;
  std::optional<Endpoint> leaderAddress() const;

  TimerService &m_Timers;
  PeerClient &m_Client;
  ReplicatedLog *m_Log;
  std::function<std::vector<Endpoint>()> m_Addresses;
  std::optional<Endpoint> m_KnownLeader;
  std::size_t m_NextAddress = 0;
  std::deque<std::shared_ptr<Pending>> m_Batch;
  TimerService::Subscription m_BatchTimer;
  std::map<LogIndex, std::vector<CommandResult>> m_Results;
};

} // namespace ragwortdrift

#endif
