#ifndef RAGWORTDRIFT_DISPATCH_END_TO_END_FIELDS_HPP
#define RAGWORTDRIFT_DISPATCH_END_TO_END_FIELDS_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace ragwortdrift {

/// Returns true for header fields that apply to a single connection only.
inline bool isHopByHop(boost::beast::http::field Name) {
  switch (Name) {
  case boost::beast::http::field::connection:
  case boost::beast::http::field::keep_alive:
  case boost::beast::http::field::proxy_authenticate:
  case boost::beast::http::field::proxy_authorization:
  case boost::beast::http::field::proxy_connection:
  case boost::beast::http::field::te:
  case boost::beast::http::field::trailer:
  case boost::beast::http::field::transfer_encoding:
  case boost::beast::http::field::upgrade:
  case boost::beast::http::field::content_length:
  case boost::beast::http::field::expect:
    return true;
  default:
    return false;
  }
}

/// Copies the end-to-end header fields of a message.
template <class Message>
void copyFields(const Message &Source, Message &Target) {
  const auto Connection = Source[boost::beast::http::field::connection];
  for (const auto &Field : Source) {
    if (isHopByHop(Field.name()) ||
        (!Connection.empty() &&
         boost::beast::http::token_list{Connection}.exists(
             Field.name_string())))
      continue;
    Target.insert(Field.name_string(), Field.value());
  }
}

} // namespace ragwortdrift

#endif
