#ifndef RAGWORTDRIFT_TOOLS_LEAF_LEAF_SESSION_HPP
#define RAGWORTDRIFT_TOOLS_LEAF_LEAF_SESSION_HPP

#include "ragwortdrift/tools/leaf/leaf_server.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace ragwortdrift::tools {

/// One connection to a stand-in leaf. Requests are served one at a time.
class LeafSession : public std::enable_shared_from_this<LeafSession> {
public:
  LeafSession(LeafServer &Server, boost::asio::ip::tcp::socket Socket);

  /// Starts to serve requests after the set-up time Cost of a new connection.
  void start(Duration Cost);
  /// Cancels the request in progress, if any, and closes the connection.
  void close();
  /// Suppresses all further responses on this connection.
  void stopResponding() { m_Unresponsive = true; }

  /// Executes the queued request. Returns false if its deadline has passed.
  bool executeQueued();

private:
  enum class Phase { Idle, Arriving, Queued, Executing, Responding, Closed };

  void read();
  void handle();
  void handleSearch();
  void admitRequest();
  void execute();
  void finishExecution(bool Completed);
  /// Cancels the request in progress if the peer closes the connection.
  void watchForDisconnect();
  void respond(boost::beast::http::status Status,
               const boost::json::object &Body, bool NotExecuted = false);
  void write();
  std::string header(std::string_view Name) const;

  LeafServer &m_Server;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  boost::beast::flat_buffer m_Buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      m_Parser;
  boost::beast::http::request<boost::beast::http::string_body> m_Request;
  boost::beast::http::response<boost::beast::http::string_body> m_Response;
  Phase m_Phase = Phase::Idle;
  bool m_Unresponsive = false;
  std::optional<std::uint64_t> m_Version;
  TimePoint m_Deadline;
  std::size_t m_RecordIndex = 0;
};

} // namespace ragwortdrift::tools

#endif
