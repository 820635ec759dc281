#ifndef RAGWORTDRIFT_FLEET_LEAF_LIST_READER_HPP
#define RAGWORTDRIFT_FLEET_LEAF_LIST_READER_HPP

#include "ragwortdrift/base/timer_service.hpp"
#include "ragwortdrift/dispatch/leaf_list.hpp"
#include "ragwortdrift/net/http_client.hpp"

namespace ragwortdrift {

/// One page of the list of leafs.
struct LeafListPage {
  LeafList m_Leafs;
  /// Token of the following page, empty on the last one.
  std::string m_NextToken;
  /// Entries that name no leaf to use.
  std::size_t m_Skipped = 0;
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

/// How the list of a deployment is asked for and read; an adapter gives it.
struct LeafListFormat {
  /// Target of the request for the page with this token.
  std::function<std::string(const std::string &Token)> m_Target;
  std::function<Result<LeafListPage, ListError>(std::string_view Body)> m_Read;
};

/// Reads the whole list of leafs, page by page, over one kept connection.
class LeafListReader {
public:
  using Callback = std::function<void(Result<LeafList, ListError>)>;

  LeafListReader(boost::asio::io_context &Io, Endpoint Address,
                 LeafListFormat Format);
  ~LeafListReader();

  /// Reads the list unless a read is in progress. A page that fails fails the
  /// whole read, since a part of the list would show leafs as gone.
  void read(Callback Fn);
  bool reading() const { return m_Fn != nullptr; }
  std::uint64_t calls() const { return m_Calls; }

private:
  void request(const std::string &Token);
  void sendRequest(const std::string &Token);
  void onAnswer(const Result<HttpResponse, HttpError> &Outcome);
  void finish(Result<LeafList, ListError> Outcome);

  boost::asio::io_context &m_Io;
  Endpoint m_Address;
  LeafListFormat m_Format;
  std::shared_ptr<HttpClientConnection> m_Connection;
  LeafList m_Leafs;
  std::size_t m_Pages = 0;
  std::size_t m_Skipped = 0;
  std::uint64_t m_Calls = 0;
  Callback m_Fn;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace ragwortdrift

#endif
