#ifndef RAGWORTDRIFT_DISPATCH_LEAF_LIST_HPP
#define RAGWORTDRIFT_DISPATCH_LEAF_LIST_HPP

#include "ragwortdrift/base/codec.hpp"
#include "ragwortdrift/base/ids.hpp"
#include "ragwortdrift/config/catalog.hpp"

#include <cstdint>
#include <vector>

namespace ragwortdrift {

enum class ListedState : std::uint8_t { Ready, Draining };
template <> struct EnumNames<ListedState> {
  static constexpr std::array Entries{
      EnumName<ListedState>{ListedState::Ready, "ready"},
      EnumName<ListedState>{ListedState::Draining, "draining"}};
};

/// An entry of the leaf list. The list lags behind the leafs.
struct ListedLeaf {
  LeafId m_Id;
  ServiceName m_Service;
  Endpoint m_Address;
  FailureDomain m_Domain;
  ListedState m_State = ListedState::Ready;
  /// Version of its software, empty if unknown.
  std::string m_Version;
  /// Warm-up time left when the list was made.
  Duration m_RemainingWarmUp{0};
  /// Start time in Unix milliseconds, 0 if unknown. Distinguishes a
  /// restarted leaf from its predecessor with the same id.
  std::uint64_t m_StartedAt = 0;

  friend bool operator==(const ListedLeaf &, const ListedLeaf &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Id, m_Service, m_Address, m_Domain, m_State, m_RemainingWarmUp,
       m_StartedAt, m_Version);
  }
};

using LeafList = std::vector<ListedLeaf>;

} // namespace ragwortdrift

#endif
