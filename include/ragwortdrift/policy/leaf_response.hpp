#ifndef RAGWORTDRIFT_POLICY_LEAF_RESPONSE_HPP
#define RAGWORTDRIFT_POLICY_LEAF_RESPONSE_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/time.hpp"

#include <cstdint>
#include <string_view>

namespace ragwortdrift {

/// Index of a leaf in Service::m_Leafs and of a group in Service::m_Groups.
using LeafIndex = std::uint32_t;
using GroupIndex = std::uint32_t;

/// Outcome of a request sent to a leaf.
enum class LeafResponseKind {
  /// Complete response, including a 409 because of the snapshot.
  Answered,
  /// 503 with Rd-Not-Run: 1; the leaf did not execute the request.
  Shed,
  /// Refused or broken connection, 5xx or a malformed response.
  Failed,
  /// No response by the deadline, or the connection was closed as
  /// unresponsive.
  Lost,
  /// Cancelled by the entry VM, which closed the connection.
  Cancelled
};
template <> struct EnumNames<LeafResponseKind> {
  static constexpr std::array Entries{
      EnumName<LeafResponseKind>{LeafResponseKind::Answered, "answered"},
      EnumName<LeafResponseKind>{LeafResponseKind::Shed, "shed"},
      EnumName<LeafResponseKind>{LeafResponseKind::Failed, "failed"},
      EnumName<LeafResponseKind>{LeafResponseKind::Lost, "lost"},
      EnumName<LeafResponseKind>{LeafResponseKind::Cancelled, "cancelled"}};
};

/// Result of one leaf request, with the state reported in the response's
/// headers.
struct LeafResponse {
  LeafResponseKind m_Kind = LeafResponseKind::Answered;
  /// Time from the first byte sent to the end of the request.
  Duration m_Latency{0};
  /// Value of Rd-Boot-Id; empty if the response had none.
  std::string_view m_BootId;
  /// The response had Rd-Cold: 1.
  bool m_Cold = false;
  /// The response had Rd-Leaving: 1.
  bool m_Leaving = false;
};

} // namespace ragwortdrift

#endif
