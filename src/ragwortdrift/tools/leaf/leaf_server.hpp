#ifndef RAGWORTDRIFT_TOOLS_LEAF_LEAF_SERVER_HPP
#define RAGWORTDRIFT_TOOLS_LEAF_LEAF_SERVER_HPP

#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/tools/leaf/leaf_model.hpp"
#include "ragwortdrift/tools/leaf/leaf_records.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>
#include <memory>
#include <set>

namespace ragwortdrift::tools {

class LeafSession;

/// One stand-in leaf with its acceptor, connections, model and execution
/// records. All calls must be made on the thread of its io_context.
class LeafServer {
public:
  /// No record file is written if Records is null.
  LeafServer(boost::asio::io_context &Io, LeafOptions Options,
             std::uint64_t Seed, RecordFile *Records);

  Result<Done, OptionError> listen();

  /// Applies a control message with option keys and the commands `cold`,
  /// `warm`, `silent`, `leaving`, `down`, `restart` and `reset`; `after_ms`
  /// delays it. The leaf is unchanged if an error is returned.
  Result<Done, OptionError> control(const boost::json::object &Message);

  boost::json::object summary() const;
  boost::json::array records() const;

  const LeafOptions &options() const { return m_Model.options(); }

private:
  friend class LeafSession;

  void accept();
  void executeCommands(const boost::json::object &Commands);
  void closeSessions();
  /// Starts queued requests while slots are free.
  void startQueued();
  void recordState();
  boost::json::object health() const;
  boost::json::object load() const;

  struct State {
    TimePoint m_Time;
    std::string m_Status;
    double m_Load = 0;
  };
  const State &stateWithLag(double LagMs) const;

  boost::asio::io_context &m_Io;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  LeafModel m_Model;
  RecordFile *m_RecordFile;
  std::vector<ExecutionRecord> m_Records;
  std::set<std::shared_ptr<LeafSession>> m_Sessions;
  std::deque<std::shared_ptr<LeafSession>> m_WaitingSessions;
  /// Recent states, for `/health` and `/load` responses that lag behind.
  std::deque<State> m_History;
  bool m_Down = false;
  std::uint64_t m_WrongGroup = 0;
};

} // namespace ragwortdrift::tools

#endif
