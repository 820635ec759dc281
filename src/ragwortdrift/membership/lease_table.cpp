#include "ragwortdrift/membership/lease_table.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

constexpr std::size_t MaxDomainGrantors = 5;

} // namespace

std::vector<VmId> grantorsOf(const Catalog &Config,
                             const FailureDomain &Domain) {
  std::vector<VmId> Inside, Outside;
  for (const auto &[Id, Machine] : Config.m_Vms)
    (Machine.m_Domain == Domain ? Inside : Outside).push_back(Id);
  const std::string Key = "grantors/" + Domain.m_Value;
  Inside = rendezvousOrder(Key, std::move(Inside));
  if (Inside.size() > MaxDomainGrantors)
    Inside.resize(MaxDomainGrantors);
  if (!Inside.empty() && Inside.size() % 2 == 0 && !Outside.empty())
    Inside.push_back(rendezvousOrder(Key, std::move(Outside)).front());
  return Inside;
}

std::vector<VmId> rankedCandidates(const Partition &Owned,
                                   std::vector<VmId> Alive) {
  return rendezvousOrder(Owned.m_Key, std::move(Alive));
}

LeaseTable::LeaseTable(TimerService &Timers, VmId Self, LeaseOptions Options)
    : m_Timers(Timers), m_Self(std::move(Self)), m_Options(Options),
      m_SilentUntil(Timers.now() + Options.m_Period) {}

void LeaseTable::setCatalog(std::shared_ptr<const Catalog> Config) {
  std::map<FailureDomain, DomainRole> Roles;
  for (const auto &[Id, Machine] : Config->m_Vms) {
    const auto [It, IsNew] = Roles.try_emplace(Machine.m_Domain);
    if (!IsNew)
      continue;
    DomainRole &Role = It->second;
    Role.m_Grantors = grantorsOf(*Config, Machine.m_Domain);
    const auto Old = m_Roles.find(Machine.m_Domain);
    // The first catalog after the start needs only the silence of the start,
    // which covers all leases that this VM may have forgotten.
    if (Old != m_Roles.end() && Old->second.m_Grantors == Role.m_Grantors)
      Role.m_QuietUntil = Old->second.m_QuietUntil;
    else if (m_Catalog)
      Role.m_QuietUntil = m_Timers.now() + m_Options.m_SetChangeQuiet;
  }
  m_Domains.clear();
  for (const auto &[Name, Entry] : Config->m_Services)
    for (const Partition &Owned : Entry->m_Partitions) {
      const auto Role = Roles.find(Owned.m_Domain);
      if (Role != Roles.end() &&
          std::ranges::find(Role->second.m_Grantors, m_Self) !=
              Role->second.m_Grantors.end())
        m_Domains[Owned.m_Key] = Owned.m_Domain;
    }
  m_Roles = std::move(Roles);
  m_Catalog = std::move(Config);
  std::erase_if(m_Senders, [&](const auto &Known) {
    return !m_Catalog->m_Vms.contains(Known.first);
  });
}

LeaseAnswer LeaseTable::claim(const VmId &From, Incarnation Inc,
                              const std::string &Partition) {
  const auto Domain = m_Domains.find(Partition);
  const auto Machine = m_Catalog->m_Vms.find(From);
  if (Domain == m_Domains.end() || Machine == m_Catalog->m_Vms.end() ||
      Machine->second.m_Domain != Domain->second)
    return {Partition, LeaseVerdict::NotGrantor, {}};
  const TimePoint Now = m_Timers.now();
  const auto It = m_Grants.find(Partition);
  const bool InForce = It != m_Grants.end() && Now < It->second.m_Until;
  const bool OnRecord =
      InForce && It->second.m_Holder == From && It->second.m_Incarnation == Inc;
  if (InForce && !OnRecord)
    return {Partition, LeaseVerdict::HeldByOther, It->second.m_Holder};
  if (!OnRecord &&
      (Now < m_SilentUntil || Now < m_Roles.at(Domain->second).m_QuietUntil))
    return {Partition, LeaseVerdict::Silent, {}};
  m_Grants[Partition] = {From, Inc, Now + m_Options.m_Period};
  return {Partition, LeaseVerdict::Granted, {}};
}

Result<std::optional<std::string>, CodecError>
LeaseTable::receive(const VmId &From, std::string_view Bytes) {
  const auto Decoded = decode<LeaseRequest>(Bytes);
  if (!isOk(Decoded))
    return errorOf(Decoded);
  const LeaseRequest &Request = valueOf(Decoded);
  // Without a catalog the sender and its partitions are unknown.
  if (!m_Catalog || !m_Catalog->m_Vms.contains(From))
    return std::optional<std::string>();
  Sender &Last = m_Senders[From];
  if (std::pair(Request.m_Incarnation, Request.m_Round) <
      std::pair(Last.m_Incarnation, Last.m_Round))
    return std::optional<std::string>();
  Last = {Request.m_Incarnation, Request.m_Round};
  LeaseResponse Response{Request.m_Incarnation, Request.m_Round, {}};
  Response.m_Answers.reserve(Request.m_Asks.size());
  for (const LeaseAsk &Ask : Request.m_Asks) {
    if (Ask.m_Action == LeaseAction::Claim) {
      Response.m_Answers.push_back(
          claim(From, Request.m_Incarnation, Ask.m_Partition));
      continue;
    }
    const auto It = m_Grants.find(Ask.m_Partition);
    if (It != m_Grants.end() && It->second.m_Holder == From &&
        It->second.m_Incarnation == Request.m_Incarnation)
      m_Grants.erase(It);
    Response.m_Answers.push_back({Ask.m_Partition, LeaseVerdict::Released, {}});
  }
  return std::optional(encode(Response));
}

std::optional<VmId> LeaseTable::holderOf(const std::string &Partition) const {
  const auto It = m_Grants.find(Partition);
  if (It == m_Grants.end() || m_Timers.now() >= It->second.m_Until)
    return std::nullopt;
  return It->second.m_Holder;
}

} // namespace ragwortdrift
