#ifndef RAGWORTDRIFT_DISPATCH_END_TO_END_FIELDS_HPP
#define RAGWORTDRIFT_DISPATCH_END_TO_END_FIELDS_HPP

#include "ragwortdrift/net/hop_by_hop.hpp"
#include "ragwortdrift/net/http_types.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace ragwortdrift {

/// Returns true if the sender's Connection field names a field of the message,
/// which then applies to this connection only.
template <class Message>
bool isNamedByConnection(const Message &Source,
                         boost::beast::string_view FieldName) {
  const auto Connection = Source[boost::beast::http::field::connection];
  return !Connection.empty() &&
         boost::beast::http::token_list{Connection}.exists(FieldName);
}

/// Copies the end-to-end header fields of a message.
template <class Message>
void copyFields(const Message &Source, Message &Target) {
  for (const auto &Field : Source)
    if (!isHopByHop(Field.name()) &&
        !isNamedByConnection(Source, Field.name_string()))
      Target.insert(Field.name_string(), Field.value());
  if constexpr (requires { Source.m_LargeFields; })
    for (const LargeField &Field : Source.m_LargeFields)
      if (!isNamedByConnection(Source, Field.m_Name))
        Target.m_LargeFields.push_back(Field);
}

} // namespace ragwortdrift

#endif
