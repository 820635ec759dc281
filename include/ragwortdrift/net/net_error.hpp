#ifndef RAGWORTDRIFT_NET_NET_ERROR_HPP
#define RAGWORTDRIFT_NET_NET_ERROR_HPP

#include "ragwortdrift/base/enum_names.hpp"

#include <cstdint>
#include <string>
#include <system_error>

namespace ragwortdrift {

enum class NetErrorCode { BadAddress, OpenFailed, BindFailed, ListenFailed };
template <> struct EnumNames<NetErrorCode> {
  static constexpr std::array Entries{
      EnumName<NetErrorCode>{NetErrorCode::BadAddress, "bad_address"},
      EnumName<NetErrorCode>{NetErrorCode::OpenFailed, "open_failed"},
      EnumName<NetErrorCode>{NetErrorCode::BindFailed, "bind_failed"},
      EnumName<NetErrorCode>{NetErrorCode::ListenFailed, "listen_failed"}};
};

/// Error from opening a listening socket; m_System is the cause.
struct NetError {
  NetErrorCode m_Code{};
  std::string m_Ip;
  std::uint16_t m_Port = 0;
  std::error_code m_System;
};

} // namespace ragwortdrift

#endif
