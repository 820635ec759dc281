#ifndef RAGWORTDRIFT_FLEET_LEAF_LIST_READER_HPP
#define RAGWORTDRIFT_FLEET_LEAF_LIST_READER_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/dispatch/leaf_list.hpp"
#include "ragwortdrift/net/http_client.hpp"

namespace ragwortdrift {

/// The id of an entry that cannot be read, as far as it can be told.
struct PartialLeafId {
  std::string m_Beginning;
  bool m_IsWhole = false;

  bool mayBe(const LeafId &Id) const {
    return m_IsWhole ? Id.m_Value == m_Beginning
                     : Id.m_Value.starts_with(m_Beginning);
  }
};

/// One page of the leaf list.
struct LeafListPage {
  LeafList m_Leafs;
  /// Token of the next page, empty on the last one.
  std::string m_NextToken;
  /// Number of entries skipped because they do not describe a usable leaf.
  std::size_t m_Skipped = 0;
  /// Number of skipped entries that cannot even be parsed, and the ids of leafs
  /// that they may describe.
  std::size_t m_Unreadable = 0;
  std::vector<PartialLeafId> m_UnreadableIds;
};

enum class ListErrorCode { Unreachable, Refused, BadPage };
template <> struct EnumNames<ListErrorCode> {
  using Row = EnumName<ListErrorCode>;
  static constexpr std::array Entries{
      Row{ListErrorCode::Unreachable, "unreachable"},
      Row{ListErrorCode::Refused, "refused"},
      Row{ListErrorCode::BadPage, "bad_page"}};
};

struct ListError {
  ListErrorCode m_Code{};
  std::string m_Detail;
};

/// Format in which a deployment serves its leaf list. Supplied by the platform
/// adapter.
struct LeafListFormat {
  /// Request target of the page with this token; an empty token denotes the
  /// first page.
  std::function<std::string(const std::string &Token)> m_MakeTarget;
  std::function<Result<LeafListPage, ListError>(std::string_view Body)>
      m_ParsePage;
};

/// Reads the whole leaf list, page by page, over one persistent connection.
class LeafListReader {
public:
  using Callback = std::function<void(Result<LeafList, ListError>)>;

  LeafListReader(boost::asio::io_context &Io, Endpoint Address,
                 LeafListFormat Format);
  ~LeafListReader();

  /// Reads the list, or does nothing if a read is in progress. A page that
  /// fails makes the whole read fail, since leafs missing from a partial list
  /// would count as gone. So does a list of which no entry can be read.
  void read(Callback OnRead);
  bool isReading() const { return m_Callback != nullptr; }
  /// Adds the leafs of an earlier list that are missing from the one that was
  /// read last although an entry that could not be read may describe them.
  void keepUnreadable(const LeafList &Earlier, LeafList &List) const;
  std::uint64_t callCount() const { return m_CallCount; }

private:
  void requestPage(const std::string &Token);
  void sendPageRequest(const std::string &Token);
  void onPageResponse(const Result<HttpResponse, HttpError> &RequestResult);
  void finishRead(Result<LeafList, ListError> ReadResult);

  boost::asio::io_context &m_Io;
  Endpoint m_Address;
  LeafListFormat m_Format;
  std::shared_ptr<HttpClientConnection> m_Connection;
  LeafList m_Leafs;
  /// Ids in m_Leafs. Of several entries with the same id the first one counts.
  std::set<LeafId> m_Ids;
  std::size_t m_PageCount = 0;
  std::size_t m_Bytes = 0;
  std::size_t m_Skipped = 0;
  std::size_t m_Unreadable = 0;
  std::vector<PartialLeafId> m_UnreadableIds;
  std::uint64_t m_CallCount = 0;
  Callback m_Callback;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace ragwortdrift

#endif
