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

/// A leaf as the list of leafs shows it. The list lags.
struct ListedLeaf {
  LeafId m_Id;
  ServiceName m_Service;
  Endpoint m_Address;
  FailureDomain m_Domain;
  ListedState m_State = ListedState::Ready;
  /// How much longer it is cold, at the time of the list.
  Duration m_ColdFor{0};
  /// Unix milliseconds of its start; a leaf may start again under its id. 0
  /// when not known.
  std::uint64_t m_StartedAt = 0;

  friend bool operator==(const ListedLeaf &, const ListedLeaf &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Id, m_Service, m_Address, m_Domain, m_State, m_ColdFor, m_StartedAt);
  }
};

using LeafList = std::vector<ListedLeaf>;

} // namespace ragwortdrift

#endif
