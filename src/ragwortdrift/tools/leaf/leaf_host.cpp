#include "ragwortdrift/tools/leaf/leaf_host.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <future>

namespace ragwortdrift::tools {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// A control client that sends nothing for this long is disconnected.
constexpr std::chrono::seconds ControlTimeout{5};

/// Runs Work on the thread of Io. The std::packaged_task is held by a lambda
/// because asio::post would otherwise consume its future.
template <class Fn> auto runOn(boost::asio::io_context &Io, Fn Work) {
  auto Task =
      std::make_shared<std::packaged_task<decltype(Work())()>>(std::move(Work));
  auto Future = Task->get_future();
  boost::asio::post(Io, [Task] { (*Task)(); });
  return Future;
}

boost::json::object errorBody(const OptionError &Error) {
  return {{"error", nameOf(Error.m_Code)}, {"detail", describe(Error)}};
}

} // namespace

LeafHost::LeafHost(unsigned Threads, std::uint64_t Seed,
                   const std::string &RecordPath)
    : m_Seed(Seed) {
  if (!RecordPath.empty())
    m_RecordFile = std::make_unique<RecordFile>(RecordPath);
  for (unsigned I = 0; I < std::max(1U, Threads); ++I)
    m_Threads.push_back(std::make_unique<Thread>());
}

Result<Done, OptionError> LeafHost::start(std::vector<LeafOptions> Leafs,
                                          const std::string &ControlAddress) {
  m_Leafs.reserve(Leafs.size());
  for (LeafOptions &Options : Leafs) {
    Thread &Owner = *m_Threads[m_Leafs.size() % m_Threads.size()];
    HostedLeaf NewLeaf{&Owner, nullptr, Options.m_Name, Options.m_Service,
                       Options.m_Domain};
    NewLeaf.m_Server = std::make_unique<LeafServer>(
        Owner.m_Io, std::move(Options), m_Seed + m_Leafs.size(),
        m_RecordFile.get());
    auto ListenResult = NewLeaf.m_Server->listen();
    if (!isOk(ListenResult))
      return ListenResult;
    m_Leafs.push_back(std::move(NewLeaf));
  }
  if (!ControlAddress.empty()) {
    auto Address = parseAddress(ControlAddress);
    if (!isOk(Address))
      return errorOf(Address);
    try {
      m_ControlAcceptor = std::make_unique<boost::asio::ip::tcp::acceptor>(
          m_ControlIo, valueOf(Address), true);
    } catch (const boost::system::system_error &Error) {
      return OptionError{OptionErrorCode::BadValue, "", "control",
                         Error.what()};
    }
    serveControl();
    m_ControlThread = std::thread([this] { m_ControlIo.run(); });
  }
  for (const auto &Owner : m_Threads)
    Owner->m_Thread = std::thread([&Io = Owner->m_Io] { Io.run(); });
  return Done{};
}

void LeafHost::stop() {
  if (std::exchange(m_Stopped, true))
    return;
  m_ControlIo.stop();
  if (m_ControlThread.joinable())
    m_ControlThread.join();
  for (const auto &Owner : m_Threads) {
    Owner->m_Io.stop();
    if (Owner->m_Thread.joinable())
      Owner->m_Thread.join();
  }
}

std::vector<LeafHost::HostedLeaf *>
LeafHost::select(std::string_view Selector) {
  std::vector<HostedLeaf *> Selection;
  for (HostedLeaf &Candidate : m_Leafs) {
    const bool Matches = Selector == "all" || Selector == Candidate.m_Name ||
                         (Selector.starts_with("domain/") &&
                          Selector.substr(7) == Candidate.m_Domain) ||
                         (Selector.starts_with("service/") &&
                          Selector.substr(8) == Candidate.m_Service);
    if (Matches)
      Selection.push_back(&Candidate);
  }
  return Selection;
}

std::pair<unsigned, boost::json::value>
LeafHost::applyControl(std::string_view Selector, std::string_view Body) {
  error_code Code;
  const auto Message = boost::json::parse(Body, Code);
  if (Code || !Message.is_object())
    return {400, {{"error", "expected a JSON object"}}};
  const auto Selection = select(Selector);
  if (Selection.empty())
    return {404, {{"error", "no such leaf"}}};
  std::vector<std::future<Result<Done, OptionError>>> Outcomes;
  Outcomes.reserve(Selection.size());
  for (HostedLeaf *Leaf : Selection)
    Outcomes.push_back(runOn(Leaf->m_Thread->m_Io, [Leaf, &Message] {
      return Leaf->m_Server->control(Message.as_object());
    }));
  std::optional<OptionError> Failure;
  for (auto &Outcome : Outcomes)
    if (const auto ApplyResult = Outcome.get(); !isOk(ApplyResult))
      Failure = errorOf(ApplyResult);
  if (Failure)
    return {400, errorBody(*Failure)};
  return {200, {{"leafs", Selection.size()}}};
}

std::pair<unsigned, boost::json::value>
LeafHost::handleControl(std::string_view Method, std::string_view Target,
                        std::string_view Body) {
  constexpr std::string_view ControlPath = "/control/";
  constexpr std::string_view RecordsPath = "/records/";
  if (Method == "POST" && Target.starts_with(ControlPath))
    return applyControl(Target.substr(ControlPath.size()), Body);
  if (Method != "GET" || !Target.starts_with(RecordsPath))
    return {404, {{"error", "not found"}}};
  const auto Name = Target.substr(RecordsPath.size());
  if (Name == "summary") {
    boost::json::array Leafs;
    for (HostedLeaf &Leaf : m_Leafs)
      Leafs.push_back(runOn(Leaf.m_Thread->m_Io, [&Leaf] {
                        return Leaf.m_Server->summary();
                      }).get());
    return {200, boost::json::object{{"leafs", std::move(Leafs)}}};
  }
  const auto Selection = select(Name);
  if (Selection.empty())
    return {404, {{"error", "no such leaf"}}};
  boost::json::array Leafs;
  for (HostedLeaf *Leaf : Selection)
    Leafs.push_back(runOn(Leaf->m_Thread->m_Io, [Leaf] {
                      boost::json::object Response = Leaf->m_Server->summary();
                      Response["records"] = Leaf->m_Server->records();
                      return Response;
                    }).get());
  return {200, boost::json::object{{"leafs", std::move(Leafs)}}};
}

void LeafHost::serveControl() {
  m_ControlAcceptor->async_accept(
      [this](error_code Code, boost::asio::ip::tcp::socket Socket) {
        if (!Code)
          serveControlConnection(std::move(Socket));
        serveControl();
      });
}

/// Serves one request and closes the connection.
void LeafHost::serveControlConnection(boost::asio::ip::tcp::socket Socket) {
  struct Exchange {
    boost::beast::tcp_stream m_Stream;
    boost::beast::flat_buffer m_Buffer;
    http::request<http::string_body> m_Request;
    http::response<http::string_body> m_Response;
  };
  auto State = std::make_shared<Exchange>(
      Exchange{boost::beast::tcp_stream(std::move(Socket)), {}, {}, {}});
  State->m_Stream.expires_after(ControlTimeout);
  http::async_read(
      State->m_Stream, State->m_Buffer, State->m_Request,
      [this, State](error_code Code, std::size_t) {
        if (Code)
          return;
        const auto &Request = State->m_Request;
        auto [Status, Body] = handleControl(Request.method_string(),
                                            Request.target(), Request.body());
        State->m_Response = {static_cast<http::status>(Status),
                             Request.version()};
        State->m_Response.keep_alive(false);
        State->m_Response.set(http::field::content_type, "application/json");
        State->m_Response.body() = boost::json::serialize(Body);
        State->m_Response.prepare_payload();
        State->m_Stream.expires_after(ControlTimeout);
        http::async_write(State->m_Stream, State->m_Response,
                          [State](error_code, std::size_t) {
                            error_code Ignored;
                            State->m_Stream.socket().shutdown(
                                boost::asio::ip::tcp::socket::shutdown_send,
                                Ignored);
                          });
      });
}

} // namespace ragwortdrift::tools
