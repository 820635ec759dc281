#ifndef RAGWORTDRIFT_TOOLS_LEAF_LEAF_SESSION_HPP
#define RAGWORTDRIFT_TOOLS_LEAF_LEAF_SESSION_HPP

#include "ragwortdrift/tools/leaf/leaf_server.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace ragwortdrift::tools {

/// One connection to a stand-in leaf. It serves one request at a time.
class LeafSession : public std::enable_shared_from_this<LeafSession> {
public:
  LeafSession(LeafServer &Server, boost::asio::ip::tcp::socket Socket);

  /// Serves the first request when the cost of a new connection has passed.
  void start(Duration Cost);
  /// Ends the request in progress, if any, and the connection.
  void close();
  /// From now on no request of this connection is answered.
  void silence() { m_Silent = true; }

  /// Begins the queued request. Returns false when it had expired.
  bool beginQueued();

private:
  enum class Phase { Idle, Arriving, Queued, Running, Answering, Closed };

  void read();
  void handle();
  void handleSearch();
  void arrive();
  void begin();
  void finish(bool Completed);
  /// Ends the request when the peer closes the connection while it waits.
  void watchPeer();
  void answer(boost::beast::http::status Status,
              const boost::json::object &Body, bool NotRun = false);
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
  bool m_Silent = false;
  std::optional<std::uint64_t> m_Version;
  TimePoint m_Deadline;
  std::size_t m_Record = 0;
};

} // namespace ragwortdrift::tools

#endif
