#ifndef RAGWORTDRIFT_ROLLOUTS_SERVICE_VERSIONS_HPP
#define RAGWORTDRIFT_ROLLOUTS_SERVICE_VERSIONS_HPP

#include "ragwortdrift/routing/rollout.hpp"

#include <optional>

namespace ragwortdrift {

/// Requests that the leafs of a version may get.
enum class VersionUse : std::uint8_t {
  Free,
  /// Only a request that has a token.
  Limited,
  None
};

/// A leaf of a service in the leaf list.
struct ListedVersion {
  /// Empty if the list does not state it. Such a leaf is in use.
  std::string m_Version;
  /// False if the leaf is draining.
  bool m_IsReady = true;
  /// Start time in Unix milliseconds, 0 if unknown.
  std::uint64_t m_StartedAt = 0;
};

/// Determines the versions of a service that may get requests. A version that
/// appears beside the established one gets none until an order names it, since
/// the leaf list may be ahead of the order.
class ServiceVersions {
public:
  /// Applies the leaf list and the latest roll-out of the service, if there was
  /// one.
  void update(const std::vector<ListedVersion> &Leafs, const Rollout *Latest);
  VersionUse use(const std::string &Version) const;
  /// The version in use without an order; empty if none is listed.
  const std::string &established() const { return m_Established; }

private:
  bool isRejected(const std::string &Version) const;

  std::string m_Established;
  std::optional<Rollout> m_Latest;
  /// True if a leaf of the target version is listed and not draining.
  bool m_IsTargetReady = false;
};

} // namespace ragwortdrift

#endif
