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

/// The leafs of one process, spread over a few threads, and their control
/// endpoint.
class LeafHost {
public:
  /// An empty RecordPath means no file of records.
  LeafHost(unsigned Threads, std::uint64_t Seed, const std::string &RecordPath);
  ~LeafHost() { stop(); }
  LeafHost(const LeafHost &) = delete;
  LeafHost &operator=(const LeafHost &) = delete;

  /// Listens on all addresses and starts the threads. An empty ControlAddress
  /// means no control endpoint.
  Result<Done, OptionError> start(std::vector<LeafOptions> Leafs,
                                  const std::string &ControlAddress);
  void stop();
  std::size_t size() const { return m_Leafs.size(); }

  /// Answers one request of the control endpoint: the HTTP status and the body.
  std::pair<unsigned, boost::json::value> handleControl(std::string_view Method,
                                                        std::string_view Target,
                                                        std::string_view Body);

private:
  struct Thread {
    boost::asio::io_context m_Io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_Work = boost::asio::make_work_guard(m_Io);
    std::thread m_Thread;
  };
  struct Entry {
    Thread *m_Thread;
    std::unique_ptr<LeafServer> m_Server;
    /// Copies that the control thread may read.
    std::string m_Name;
    std::string m_Service;
    std::string m_Domain;
  };

  std::vector<Entry *> select(std::string_view Selector);
  std::pair<unsigned, boost::json::value>
  applyControl(std::string_view Selector, std::string_view Body);
  void serveControl();
  void serveControlConnection(boost::asio::ip::tcp::socket Socket);

  std::uint64_t m_Seed;
  std::unique_ptr<RecordFile> m_Records;
  std::vector<std::unique_ptr<Thread>> m_Threads;
  std::vector<Entry> m_Leafs;
  boost::asio::io_context m_ControlIo{1};
  std::unique_ptr<boost::asio::ip::tcp::acceptor> m_ControlAcceptor;
  std::thread m_ControlThread;
  bool m_Stopped = false;
};

} // namespace ragwortdrift::tools

#endif
