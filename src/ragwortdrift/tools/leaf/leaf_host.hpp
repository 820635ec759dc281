#ifndef RAGWORTDRIFT_TOOLS_LEAF_LEAF_HOST_HPP
#define RAGWORTDRIFT_TOOLS_LEAF_LEAF_HOST_HPP

#include "ragwortdrift/tools/leaf/leaf_server.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace ragwortdrift::tools {

/// Hosts the stand-in leafs of one process on a fixed number of threads and
/// serves their control endpoint.
class LeafHost {
public:
  /// No execution records are written if RecordPath is empty.
  LeafHost(unsigned Threads, std::uint64_t Seed, const std::string &RecordPath);
  ~LeafHost() { stop(); }
  LeafHost(const LeafHost &) = delete;
  LeafHost &operator=(const LeafHost &) = delete;

  /// Listens on the addresses of all leafs and starts the threads. The control
  /// endpoint is disabled if ControlAddress is empty.
  Result<Done, OptionError> start(std::vector<LeafOptions> Leafs,
                                  const std::string &ControlAddress);
  void stop();
  std::size_t size() const { return m_Leafs.size(); }

  /// Handles one request to the control endpoint and returns the HTTP status
  /// and the body of the response.
  std::pair<unsigned, boost::json::value> handleControl(std::string_view Method,
                                                        std::string_view Target,
                                                        std::string_view Body);

private:
  struct Thread {
    boost::asio::io_context m_Io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_WorkGuard = boost::asio::make_work_guard(m_Io);
    std::thread m_Thread;
  };
  struct HostedLeaf {
    Thread *m_Thread;
    std::unique_ptr<LeafServer> m_Server;
    /// Copies of the identity that the control thread can read without
    /// synchronization.
    std::string m_Name;
    std::string m_Service;
    std::string m_Domain;
  };

  std::vector<HostedLeaf *> select(std::string_view Selector);
  std::pair<unsigned, boost::json::value>
  applyControl(std::string_view Selector, std::string_view Body);
  void serveControl();
  void serveControlConnection(boost::asio::ip::tcp::socket Socket);

  std::uint64_t m_Seed;
  std::unique_ptr<RecordFile> m_RecordFile;
  std::vector<std::unique_ptr<Thread>> m_Threads;
  std::vector<HostedLeaf> m_Leafs;
  boost::asio::io_context m_ControlIo{1};
  std::unique_ptr<boost::asio::ip::tcp::acceptor> m_ControlAcceptor;
  std::thread m_ControlThread;
  bool m_Stopped = false;
};

} // namespace ragwortdrift::tools

#endif
