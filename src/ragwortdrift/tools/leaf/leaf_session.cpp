#include "ragwortdrift/tools/leaf/leaf_session.hpp"

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/tools/common/clock.hpp"

#include <boost/asio/buffer.hpp>

#include <charconv>

namespace ragwortdrift::tools {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t MaxBodyBytes = 1 << 20;

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  const auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Code != std::errc{} || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

std::string toHex(std::uint64_t Number) {
  std::array<char, 16> Digits{};
  const auto End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Number, 16)
          .ptr;
  return {Digits.data(), End};
}

} // namespace

LeafSession::LeafSession(LeafServer &Server,
                         boost::asio::ip::tcp::socket Socket)
    : m_Server(Server), m_Socket(std::move(Socket)),
      m_Timer(m_Socket.get_executor()) {}

void LeafSession::start(Duration Cost) {
  error_code Ignored;
  m_Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  m_Timer.expires_after(Cost);
  m_Timer.async_wait([Self = shared_from_this()](error_code Code) {
    if (!Code)
      Self->read();
  });
}

void LeafSession::close() {
  if (m_Phase == Phase::Closed)
    return;
  const Phase PreviousPhase = std::exchange(m_Phase, Phase::Closed);
  const auto Self = shared_from_this();
  error_code Ignored;
  m_Socket.close(Ignored);
  m_Timer.cancel();
  LeafModel &Model = m_Server.m_Model;
  if (PreviousPhase == Phase::Queued) {
    std::erase(m_Server.m_WaitingSessions, Self);
    Model.leaveQueue();
    ++Model.counters().m_Cancelled;
  } else if (PreviousPhase == Phase::Executing) {
    Model.finish(false, steadyNow());
  }
  m_Server.m_Sessions.erase(Self);
  m_Server.startQueued();
}

void LeafSession::read() {
  if (m_Phase == Phase::Closed)
    return;
  m_Phase = Phase::Idle;
  m_Parser.emplace();
  m_Parser->body_limit(MaxBodyBytes);
  http::async_read(m_Socket, m_Buffer, *m_Parser,
                   [Self = shared_from_this()](error_code Code, std::size_t) {
                     if (Code)
                       return Self->close();
                     Self->m_Request = Self->m_Parser->release();
                     Self->handle();
                   });
}

void LeafSession::handle() {
  if (m_Phase == Phase::Closed)
    return;
  if (m_Unresponsive)
    return read();
  const std::string_view Target = m_Request.target();
  if (m_Request.method() == http::verb::post && Target == "/search")
    return handleSearch();
  if (m_Request.method() == http::verb::get && Target == "/health")
    return respond(http::status::ok, m_Server.health());
  if (m_Request.method() == http::verb::get && Target == "/load")
    return respond(http::status::ok, m_Server.load());
  respond(http::status::not_found, {{"error", "not_found"}});
}

std::string LeafSession::header(std::string_view Name) const {
  const auto Found = m_Request.find(Name);
  return Found == m_Request.end() ? std::string() : std::string(Found->value());
}

void LeafSession::handleSearch() {
  const std::string Version = header("Rd-Snapshot");
  m_Version = Version.empty() ? std::nullopt : parseNumber(Version);
  const auto DeadlineMs = parseNumber(header("Rd-Deadline-Ms"));
  if ((!Version.empty() && !m_Version) || !DeadlineMs)
    return respond(http::status::bad_request, {{"error", "bad_header"}});
  if (header("Rd-Group") != m_Server.options().m_Group) {
    ++m_Server.m_WrongGroup;
    return respond(http::status::bad_request, {{"error", "wrong_group"}});
  }
  m_Deadline = steadyNow() + std::chrono::milliseconds(*DeadlineMs);
  m_Phase = Phase::Arriving;
  watchForDisconnect();
  const double DelayMs = m_Server.options().m_DelayMs;
  if (DelayMs <= 0)
    return admitRequest();
  m_Timer.expires_after(fromMillis(DelayMs));
  m_Timer.async_wait([Self = shared_from_this()](error_code Code) {
    if (!Code && Self->m_Phase == Phase::Arriving)
      Self->admitRequest();
  });
}

void LeafSession::admitRequest() {
  const Admission Decision = m_Server.m_Model.admit(steadyNow(), m_Version);
  m_Server.recordState();
  switch (Decision) {
  case Admission::Start:
    return execute();
  case Admission::Queue:
    m_Phase = Phase::Queued;
    m_Server.m_WaitingSessions.push_back(shared_from_this());
    return;
  case Admission::VersionMissing:
    return respond(http::status::conflict, {{"error", "version_not_offered"}});
  case Admission::Shed:
    return respond(http::status::service_unavailable, {{"error", "shed"}},
                   true);
  case Admission::Leaving:
    return respond(http::status::service_unavailable, {{"error", "leaving"}},
                   true);
  }
}

bool LeafSession::executeQueued() {
  if (steadyNow() >= m_Deadline) {
    ++m_Server.m_Model.counters().m_Expired;
    respond(http::status::service_unavailable, {{"error", "expired"}}, true);
    return false;
  }
  execute();
  return true;
}

void LeafSession::execute() {
  m_Phase = Phase::Executing;
  LeafModel &Model = m_Server.m_Model;
  const TimePoint Now = steadyNow();
  const Duration ServiceTime = Model.start(Now);
  const std::uint64_t Version = m_Version.value_or(Model.newestSnapshot());
  m_RecordIndex = m_Server.m_Records.size();
  m_Server.m_Records.push_back({header("Rd-Request-Id"),
                                header("Idempotency-Key"), Version,
                                wallClockNow(), false});
  if (m_Server.m_RecordFile)
    m_Server.m_RecordFile->write(Model.options(), m_Server.m_Records.back());
  const bool FinishesInTime = Now + ServiceTime <= m_Deadline;
  m_Timer.expires_after(FinishesInTime ? ServiceTime : m_Deadline - Now);
  m_Timer.async_wait(
      [Self = shared_from_this(), FinishesInTime](error_code Code) {
        if (!Code && Self->m_Phase == Phase::Executing)
          Self->finishExecution(FinishesInTime);
      });
}

void LeafSession::finishExecution(bool Completed) {
  LeafModel &Model = m_Server.m_Model;
  Model.finish(Completed, steadyNow());
  m_Server.recordState();
  // The record of this request is gone if the records were reset meanwhile.
  const bool HasRecord = m_RecordIndex < m_Server.m_Records.size();
  const std::uint64_t Version = m_Version.value_or(
      HasRecord ? m_Server.m_Records[m_RecordIndex].m_Snapshot
                : Model.newestSnapshot());
  if (HasRecord)
    m_Server.m_Records[m_RecordIndex].m_Completed = Completed;
  if (Completed) {
    respond(http::status::ok,
            {{"leaf", Model.options().m_Name},
             {"group", Model.options().m_Group},
             {"snapshot", Version},
             {"boot_id", Model.bootId()},
             {"request_id", header("Rd-Request-Id")},
             {"body_hash", toHex(stableHash(m_Request.body()))}});
    m_Response.set("Rd-Snapshot", std::to_string(Version));
  } else {
    respond(http::status::gateway_timeout, {{"error", "deadline_exceeded"}});
  }
  m_Server.startQueued();
}

void LeafSession::watchForDisconnect() {
  m_Socket.async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [Self = shared_from_this()](error_code Code) {
        if (Code || Self->m_Phase == Phase::Idle ||
            Self->m_Phase == Phase::Closed)
          return;
        error_code PeekCode;
        char Byte = 0;
        Self->m_Socket.non_blocking(true, PeekCode);
        const std::size_t ByteCount = Self->m_Socket.receive(
            boost::asio::buffer(&Byte, 1),
            boost::asio::ip::tcp::socket::message_peek, PeekCode);
        // Bytes of the next request stay in the socket until it is read.
        if (ByteCount == 0 && PeekCode != boost::asio::error::would_block)
          Self->close();
      });
}

void LeafSession::respond(http::status Status, const boost::json::object &Body,
                          bool NotExecuted) {
  m_Phase = Phase::Responding;
  LeafModel &Model = m_Server.m_Model;
  m_Response = {Status, m_Request.version()};
  m_Response.keep_alive(m_Request.keep_alive());
  m_Response.set(http::field::content_type, "application/json");
  m_Response.set("Rd-Snapshots", Model.snapshotList());
  m_Response.set("Rd-Boot-Id", Model.bootId());
  // Tells the response to this request from a late one to another.
  if (const std::string AttemptId = header("Rd-Attempt-Id"); !AttemptId.empty())
    m_Response.set("Rd-Attempt-Id", AttemptId);
  m_Response.set("Rd-Load", std::to_string(Model.load()));
  if (NotExecuted)
    m_Response.set("Rd-Not-Run", "1");
  if (Model.isCold())
    m_Response.set("Rd-Cold", "1");
  if (Model.isLeaving())
    m_Response.set("Rd-Leaving", "1");
  m_Response.body() = boost::json::serialize(Body);
  m_Response.prepare_payload();
  // The response is written asynchronously, so the calling function can still
  // add headers.
  m_Timer.expires_after(fromMillis(m_Server.options().m_DelayMs));
  m_Timer.async_wait([Self = shared_from_this()](error_code Code) {
    if (!Code && Self->m_Phase == Phase::Responding)
      Self->write();
  });
}

void LeafSession::write() {
  if (m_Unresponsive)
    return read();
  m_Server.m_Model.recordColdReported(steadyNow());
  http::async_write(m_Socket, m_Response,
                    [Self = shared_from_this()](error_code Code, std::size_t) {
                      if (Code || !Self->m_Response.keep_alive())
                        return Self->close();
                      Self->read();
                    });
}

} // namespace ragwortdrift::tools
