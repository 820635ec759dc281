#include "ragwortdrift/membership/lease_table.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

constexpr std::size_t MaxDomainGrantors = 5;

} // namespace

std::vector<VmId> grantorsOf(const Catalog &Config,
                             const FailureDomain &Domain) {
  std::vector<VmId> InDomain, OtherVms;
  for (const auto &[Id, Info] : Config.m_Vms)
    (Info.m_Domain == Domain ? InDomain : OtherVms).push_back(Id);
  const std::string Key = "grantors/" + Domain.m_Value;
  InDomain = rendezvousOrder(Key, std::move(InDomain));
  if (InDomain.size() > MaxDomainGrantors)
    InDomain.resize(MaxDomainGrantors);
  if (!InDomain.empty() && InDomain.size() % 2 == 0 && !OtherVms.empty())
    InDomain.push_back(rendezvousOrder(Key, std::move(OtherVms)).front());
  return InDomain;
}

std::vector<VmId> rankedCandidates(const Partition &Target,
                                   std::vector<VmId> Alive) {
  return rendezvousOrder(Target.m_Key, std::move(Alive));
}

LeaseTable::LeaseTable(TimerService &Timers, VmId Self, LeaseOptions Options)
    : m_Timers(Timers), m_Self(std::move(Self)), m_Options(Options),
      m_StartupQuietUntil(Timers.now() + Options.m_LeaseDuration) {}

void LeaseTable::setCatalog(std::shared_ptr<const Catalog> Config) {
  std::map<FailureDomain, DomainGrantors> NewGrantors;
  for (const auto &[Id, Info] : Config->m_Vms) {
    const auto [It, IsInserted] = NewGrantors.try_emplace(Info.m_Domain);
    if (!IsInserted)
      continue;
    DomainGrantors &Grantors = It->second;
    Grantors.m_Grantors = grantorsOf(*Config, Info.m_Domain);
    const auto Previous = m_DomainGrantors.find(Info.m_Domain);
    // The first catalog after the start needs no quiet period of its own: the
    // one after the start covers all leases granted before a restart.
    if (Previous != m_DomainGrantors.end() &&
        Previous->second.m_Grantors == Grantors.m_Grantors)
      Grantors.m_QuietUntil = Previous->second.m_QuietUntil;
    else if (m_Catalog)
      Grantors.m_QuietUntil =
          m_Timers.now() + m_Options.m_GrantorChangeQuietPeriod;
  }
  m_PartitionDomains.clear();
  for (const auto &[Name, Entry] : Config->m_Services)
    for (const Partition &Item : Entry->m_Partitions) {
      const auto GrantorsIt = NewGrantors.find(Item.m_Domain);
      if (GrantorsIt != NewGrantors.end() &&
          std::ranges::find(GrantorsIt->second.m_Grantors, m_Self) !=
              GrantorsIt->second.m_Grantors.end())
        m_PartitionDomains[Item.m_Key] = Item.m_Domain;
    }
  m_DomainGrantors = std::move(NewGrantors);
  m_Catalog = std::move(Config);
  std::erase_if(m_LastRequests, [&](const auto &Item) {
    return !m_Catalog->m_Vms.contains(Item.first);
  });
}

LeaseResponseItem LeaseTable::claim(const VmId &Sender,
                                    Incarnation SenderIncarnation,
                                    const std::string &Partition) {
  const auto Domain = m_PartitionDomains.find(Partition);
  const auto VmIt = m_Catalog->m_Vms.find(Sender);
  if (Domain == m_PartitionDomains.end() || VmIt == m_Catalog->m_Vms.end() ||
      VmIt->second.m_Domain != Domain->second)
    return {Partition, LeaseResult::NotGrantor, {}};
  const TimePoint Now = m_Timers.now();
  const auto It = m_Grants.find(Partition);
  const bool IsActive = It != m_Grants.end() && Now < It->second.m_Expiry;
  const bool IsHolder = IsActive && It->second.m_Holder == Sender &&
                        It->second.m_Incarnation == SenderIncarnation;
  if (IsActive && !IsHolder)
    return {Partition, LeaseResult::HeldByOther, It->second.m_Holder};
  if (!IsHolder && (Now < m_StartupQuietUntil ||
                    Now < m_DomainGrantors.at(Domain->second).m_QuietUntil))
    return {Partition, LeaseResult::QuietPeriod, {}};
  m_Grants[Partition] = {Sender, SenderIncarnation,
                         Now + m_Options.m_LeaseDuration};
  return {Partition, LeaseResult::Granted, {}};
}

Result<std::optional<std::string>, CodecError>
LeaseTable::receive(const VmId &Sender, std::string_view Bytes) {
  const auto Decoded = decode<LeaseRequest>(Bytes);
  if (!isOk(Decoded))
    return errorOf(Decoded);
  const LeaseRequest &Request = valueOf(Decoded);
  // Without a catalog the sender and its partitions are unknown.
  if (!m_Catalog || !m_Catalog->m_Vms.contains(Sender))
    return std::optional<std::string>();
  LastRequest &Last = m_LastRequests[Sender];
  if (std::pair(Request.m_Incarnation, Request.m_Sequence) <
      std::pair(Last.m_Incarnation, Last.m_Sequence))
    return std::optional<std::string>();
  Last = {Request.m_Incarnation, Request.m_Sequence};
  LeaseResponse Response{Request.m_Incarnation, Request.m_Sequence, {}};
  Response.m_Items.reserve(Request.m_Items.size());
  for (const LeaseRequestItem &Item : Request.m_Items) {
    if (Item.m_Action == LeaseAction::Claim) {
      Response.m_Items.push_back(
          claim(Sender, Request.m_Incarnation, Item.m_Partition));
      continue;
    }
    const auto It = m_Grants.find(Item.m_Partition);
    if (It != m_Grants.end() && It->second.m_Holder == Sender &&
        It->second.m_Incarnation == Request.m_Incarnation)
      m_Grants.erase(It);
    Response.m_Items.push_back({Item.m_Partition, LeaseResult::Released, {}});
  }
  return std::optional(encode(Response));
}

std::optional<VmId> LeaseTable::holderOf(const std::string &Partition) const {
  const auto It = m_Grants.find(Partition);
  if (It == m_Grants.end() || m_Timers.now() >= It->second.m_Expiry)
    return std::nullopt;
  return It->second.m_Holder;
}

} // namespace ragwortdrift
