#include "ragwortdrift/fleet/leaf_list_reader.hpp"

#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/config/settings.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// Pages are small, the server is close, and the list is read again every
/// second.
constexpr std::chrono::milliseconds PageTimeout{700};
/// A round trip takes some milliseconds; a hanging connection attempt is
/// retried by the next read.
constexpr std::chrono::milliseconds ConnectTimeout{400};
/// Bounds of one read, for a server whose pages never end. The largest site
/// planned has 130,000 leafs of about 200 bytes each.
constexpr std::size_t MaxPages = 10'000;
constexpr std::size_t MaxLeafs = 200'000;
constexpr std::size_t MaxBytes = std::size_t{64} * 1024 * 1024;
/// Ids of entries that cannot be read. A list with more is not believed; each
/// is compared with every leaf that is missing.
constexpr std::size_t MaxUnreadableIds = 100;

} // namespace

LeafListReader::LeafListReader(boost::asio::io_context &Io, Endpoint Address,
                               LeafListFormat Format)
    : m_Io(Io), m_Address(std::move(Address)), m_Format(std::move(Format)) {}

LeafListReader::~LeafListReader() {
  if (m_Connection)
    m_Connection->close();
}

void LeafListReader::read(Callback OnRead) {
  if (m_Callback)
    return;
  m_Callback = std::move(OnRead);
  m_Leafs.clear();
  m_Ids.clear();
  m_PageCount = 0;
  m_Bytes = 0;
  m_Skipped = 0;
  m_Unreadable = 0;
  m_UnreadableIds.clear();
  requestPage({});
}

void LeafListReader::requestPage(const std::string &Token) {
  if (m_Connection && m_Connection->usable()) {
    sendPageRequest(Token);
    return;
  }
  m_Connection = std::make_shared<HttpClientConnection>(m_Io);
  m_Connection->connect(m_Address.m_Ip, m_Address.m_Port, ConnectTimeout,
                        [this, Alive = std::weak_ptr(m_Alive),
                         Token](const Result<Done, HttpError> &ConnectResult) {
                          if (Alive.expired())
                            return;
                          if (isOk(ConnectResult))
                            sendPageRequest(Token);
                          else
                            finishRead(
                                ListError{ListErrorCode::Unreachable,
                                          errorOf(ConnectResult).m_Detail});
                        });
}

void LeafListReader::sendPageRequest(const std::string &Token) {
  HttpRequest Request{http::verb::get, m_Format.m_MakeTarget(Token), 11};
  Request.set(http::field::host, formatEndpoint(m_Address));
  ++m_CallCount;
  m_Connection->send(std::move(Request), PageTimeout,
                     [this, Alive = std::weak_ptr(m_Alive)](
                         const Result<HttpResponse, HttpError> &RequestResult) {
                       if (!Alive.expired())
                         onPageResponse(RequestResult);
                     });
}

void LeafListReader::onPageResponse(
    const Result<HttpResponse, HttpError> &RequestResult) {
  if (!isOk(RequestResult))
    return finishRead(
        ListError{ListErrorCode::Unreachable,
                  std::string(nameOf(errorOf(RequestResult).m_Code))});
  const HttpResponse &Response = valueOf(RequestResult);
  if (Response.result_int() != 200)
    return finishRead(ListError{ListErrorCode::Refused,
                                std::to_string(Response.result_int())});
  auto ParseResult = m_Format.m_ParsePage(Response.body());
  if (!isOk(ParseResult))
    return finishRead(errorOf(ParseResult));
  LeafListPage &Page = valueOf(ParseResult);
  for (ListedLeaf &Leaf : Page.m_Leafs)
    if (m_Ids.insert(Leaf.m_Id).second)
      m_Leafs.push_back(std::move(Leaf));
    else
      ++m_Skipped;
  m_Skipped += Page.m_Skipped;
  m_Unreadable += Page.m_Unreadable;
  std::ranges::move(Page.m_UnreadableIds, std::back_inserter(m_UnreadableIds));
  m_Bytes += Response.body().size();
  if (m_Bytes > MaxBytes || m_Leafs.size() > MaxLeafs)
    return finishRead(ListError{ListErrorCode::BadPage, "list too large"});
  if (m_UnreadableIds.size() > MaxUnreadableIds)
    return finishRead(ListError{ListErrorCode::BadPage, "list unreadable"});
  if (Page.m_NextToken.empty()) {
    if (m_Skipped > 0)
      logEvent(LogSeverity::Warning, "leaf_list.entries_skipped",
               {{"count", m_Skipped},
                {"unreadable", m_Unreadable},
                {"leafs", m_Leafs.size()}});
    if (m_Leafs.empty() && m_Unreadable > 0)
      return finishRead(
          ListError{ListErrorCode::BadPage, "no entry can be read"});
    return finishRead(std::move(m_Leafs));
  }
  if (++m_PageCount >= MaxPages)
    return finishRead(ListError{ListErrorCode::BadPage, "page limit exceeded"});
  requestPage(Page.m_NextToken);
}

void LeafListReader::keepUnreadable(const LeafList &Earlier,
                                    LeafList &List) const {
  if (m_UnreadableIds.empty())
    return;
  std::set<LeafId> Ids;
  for (const ListedLeaf &Leaf : List)
    Ids.insert(Leaf.m_Id);
  std::size_t KeptCount = 0;
  for (const ListedLeaf &Leaf : Earlier) {
    const auto MayBe = [&](const PartialLeafId &Id) {
      return Id.mayBe(Leaf.m_Id);
    };
    if (Ids.contains(Leaf.m_Id) || std::ranges::none_of(m_UnreadableIds, MayBe))
      continue;
    List.push_back(Leaf);
    ++KeptCount;
  }
  if (KeptCount > 0)
    logEvent(LogSeverity::Warning, "leaf_list.unreadable_kept",
             {{"leafs", KeptCount}, {"entries", m_UnreadableIds.size()}});
}

void LeafListReader::finishRead(Result<LeafList, ListError> ReadResult) {
  if (!isOk(ReadResult))
    logEvent(LogSeverity::Warning, "leaf_list.read_failed",
             {{"error", errorOf(ReadResult).m_Code},
              {"detail", errorOf(ReadResult).m_Detail}});
  // A failed read leaves a part of the list.
  m_Leafs = {};
  m_Ids.clear();
  if (auto OnRead = std::exchange(m_Callback, nullptr))
    OnRead(std::move(ReadResult));
}

} // namespace ragwortdrift
