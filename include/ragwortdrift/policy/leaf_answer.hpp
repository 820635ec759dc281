#ifndef RAGWORTDRIFT_POLICY_LEAF_ANSWER_HPP
#define RAGWORTDRIFT_POLICY_LEAF_ANSWER_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/time.hpp"

#include <cstdint>
#include <string_view>

namespace ragwortdrift {

/// Index of a leaf in Service::m_Leafs and of a group in Service::m_Groups.
using LeafIndex = std::uint32_t;
using GroupIndex = std::uint32_t;

/// How a request that was sent to a leaf ended.
enum class LeafAnswerKind {
  /// A whole answer, also a 409 about the snapshot.
  Answered,
  /// 503 with Rd-Not-Run: 1.
  Shed,
  /// Refused or broken connection, 5xx or a malformed answer.
  Failed,
  /// No answer until the deadline, or a silent connection.
  Lost,
  /// The entry VM no longer wants the answer; the connection was closed.
  Cancelled
};
template <> struct EnumNames<LeafAnswerKind> {
  static constexpr std::array Entries{
      EnumName<LeafAnswerKind>{LeafAnswerKind::Answered, "answered"},
      EnumName<LeafAnswerKind>{LeafAnswerKind::Shed, "shed"},
      EnumName<LeafAnswerKind>{LeafAnswerKind::Failed, "failed"},
      EnumName<LeafAnswerKind>{LeafAnswerKind::Lost, "lost"},
      EnumName<LeafAnswerKind>{LeafAnswerKind::Cancelled, "cancelled"}};
};

/// The end of one request at a leaf, with what the answer's headers said.
struct LeafAnswer {
  LeafAnswerKind m_Kind = LeafAnswerKind::Answered;
  /// Time from the first byte sent to the end.
  Duration m_Latency{0};
  /// Rd-Boot-Id; empty when the answer had none.
  std::string_view m_BootId;
  /// Rd-Cold: 1.
  bool m_Cold = false;
  /// Rd-Leaving: 1.
  bool m_Leaving = false;
};

} // namespace ragwortdrift

#endif
