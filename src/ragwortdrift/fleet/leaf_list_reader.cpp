#include "ragwortdrift/fleet/leaf_list_reader.hpp"

#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/config/settings.hpp"

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// A page is small and its server close; the list is read again each second.
constexpr std::chrono::milliseconds PageTimeout{700};
/// A round trip takes some milliseconds; a connection that hangs is tried anew.
constexpr std::chrono::milliseconds ConnectTimeout{400};
/// Bounds a list whose tokens never end.
constexpr std::size_t MaxPages = 10'000;

} // namespace

LeafListReader::LeafListReader(boost::asio::io_context &Io, Endpoint Address,
                               LeafListFormat Format)
    : m_Io(Io), m_Address(std::move(Address)), m_Format(std::move(Format)) {}

LeafListReader::~LeafListReader() {
  if (m_Connection)
    m_Connection->close();
}

void LeafListReader::read(Callback Fn) {
  if (m_Fn)
    return;
  m_Fn = std::move(Fn);
  m_Leafs.clear();
  m_Pages = 0;
  m_Skipped = 0;
  request({});
}

void LeafListReader::request(const std::string &Token) {
  if (m_Connection && m_Connection->usable()) {
    sendRequest(Token);
    return;
  }
  m_Connection = std::make_shared<HttpClientConnection>(m_Io);
  m_Connection->connect(m_Address.m_Ip, m_Address.m_Port, ConnectTimeout,
                        [this, Alive = std::weak_ptr(m_Alive),
                         Token](const Result<Done, HttpError> &Connected) {
                          if (Alive.expired())
                            return;
                          if (isOk(Connected))
                            sendRequest(Token);
                          else
                            finish(ListError{ListErrorCode::Unreachable,
                                             errorOf(Connected).m_Detail});
                        });
}

void LeafListReader::sendRequest(const std::string &Token) {
  HttpRequest Request{http::verb::get, m_Format.m_Target(Token), 11};
  Request.set(http::field::host, formatEndpoint(m_Address));
  ++m_Calls;
  m_Connection->send(std::move(Request), PageTimeout,
                     [this, Alive = std::weak_ptr(m_Alive)](
                         const Result<HttpResponse, HttpError> &Outcome) {
                       if (!Alive.expired())
                         onAnswer(Outcome);
                     });
}

void LeafListReader::onAnswer(const Result<HttpResponse, HttpError> &Outcome) {
  if (!isOk(Outcome))
    return finish(ListError{ListErrorCode::Unreachable,
                            std::string(nameOf(errorOf(Outcome).m_Code))});
  const HttpResponse &Response = valueOf(Outcome);
  if (Response.result_int() != 200)
    return finish(ListError{ListErrorCode::Refused,
                            std::to_string(Response.result_int())});
  auto Page = m_Format.m_Read(Response.body());
  if (!isOk(Page))
    return finish(errorOf(Page));
  LeafListPage &Read = valueOf(Page);
  m_Leafs.insert(m_Leafs.end(), Read.m_Leafs.begin(), Read.m_Leafs.end());
  m_Skipped += Read.m_Skipped;
  if (Read.m_NextToken.empty()) {
    if (m_Skipped > 0)
      logEvent(LogSeverity::Warning, "leaf_list.entries_skipped",
               {{"count", m_Skipped}, {"leafs", m_Leafs.size()}});
    return finish(std::move(m_Leafs));
  }
  if (++m_Pages >= MaxPages)
    return finish(ListError{ListErrorCode::BadPage, "too many pages"});
  request(Read.m_NextToken);
}

void LeafListReader::finish(Result<LeafList, ListError> Outcome) {
  if (!isOk(Outcome))
    logEvent(LogSeverity::Warning, "leaf_list.read_failed",
             {{"error", errorOf(Outcome).m_Code},
              {"detail", errorOf(Outcome).m_Detail}});
  if (auto Fn = std::exchange(m_Fn, nullptr))
    Fn(std::move(Outcome));
}

} // namespace ragwortdrift
