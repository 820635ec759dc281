#include "ragwortdrift/tools/load/leaf_control.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <limits>

namespace ragwortdrift::tools {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds FetchTimeout{10};

/// Sends a GET request and returns the body of the response or the error.
Result<std::string, error_code>
fetch(const boost::asio::ip::tcp::endpoint &Address, const std::string &Path) {
  boost::asio::io_context Io(1);
  boost::beast::tcp_stream Stream(Io);
  http::request<http::string_body> Request{http::verb::get, Path, 11};
  Request.set(http::field::host, "leaf");
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  boost::beast::flat_buffer Buffer;
  error_code Outcome;
  Stream.expires_after(FetchTimeout);
  Stream.async_connect(Address, [&](error_code Code) {
    Outcome = Code;
    if (Code)
      return;
    http::async_write(Stream, Request, [&](error_code WriteCode, std::size_t) {
      Outcome = WriteCode;
      if (WriteCode)
        return;
      http::async_read(
          Stream, Buffer, Parser,
          [&](error_code ReadCode, std::size_t) { Outcome = ReadCode; });
    });
  });
  Io.run();
  if (Outcome)
    return Outcome;
  return Parser.get().body();
}

} // namespace

Result<boost::json::array, OptionError>
fetchLeafs(const std::vector<boost::asio::ip::tcp::endpoint> &Controls,
           const std::string &Path) {
  boost::json::array All;
  for (const auto &Address : Controls) {
    auto Body = fetch(Address, Path);
    const OptionError Failure{OptionErrorCode::Unreadable, "leaf-control",
                              Address.address().to_string() + ":" +
                                  std::to_string(Address.port()),
                              isOk(Body) ? "response has no array of leafs"
                                         : errorOf(Body).message()};
    if (!isOk(Body))
      return Failure;
    error_code Code;
    auto Parsed = boost::json::parse(valueOf(Body), Code);
    if (Code || !Parsed.is_object() ||
        !Parsed.as_object().if_contains("leafs") ||
        !Parsed.as_object().at("leafs").is_array())
      return Failure;
    for (auto &Leaf : Parsed.as_object().at("leafs").as_array())
      All.push_back(std::move(Leaf));
  }
  return All;
}

} // namespace ragwortdrift::tools
