#ifndef RAGWORTDRIFT_NET_HOP_BY_HOP_HPP
#define RAGWORTDRIFT_NET_HOP_BY_HOP_HPP

#include <boost/beast/http/field.hpp>

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

} // namespace ragwortdrift

#endif
