#include "ragwortdrift/membership/config_follower.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Delay before the next pull after one that failed immediately.
constexpr Duration RetryDelay{100'000};

} // namespace

std::vector<VmId> configParents(const FailureDomain &Domain, const VmId &Self,
                                std::vector<VmId> Members,
                                std::vector<VmId> Voters) {
  if (std::ranges::find(Members, Self) == Members.end())
    Members.push_back(Self);
  const std::vector<VmId> Order =
      rendezvousOrder("config/" + Domain.m_Value, std::move(Members));
  auto Position =
      static_cast<std::size_t>(std::ranges::find(Order, Self) - Order.begin());
  std::vector<VmId> Parents;
  while (Position != 0) {
    Position = (Position - 1) / ConfigTreeFanout;
    Parents.push_back(Order[Position]);
  }
  std::erase(Voters, Self);
  // Each VM has its own order of the voters, which spreads the load among them.
  for (VmId &Voter : rendezvousOrder(Self.m_Value, std::move(Voters)))
    if (std::ranges::find(Parents, Voter) == Parents.end())
      Parents.push_back(std::move(Voter));
  return Parents;
}

ConfigFollower::ConfigFollower(TimerService &Timers, VmId Self,
                               FailureDomain Domain, ConfigSource &Source,
                               PullCallback OnPull, ChangeCallback OnChange,
                               ConfigFollowerOptions Options)
    : m_Timers(Timers), m_Self(std::move(Self)), m_Domain(std::move(Domain)),
      m_Source(Source), m_Pull(std::move(OnPull)),
      m_OnChange(std::move(OnChange)), m_Options(Options) {}

void ConfigFollower::setMembers(std::vector<VmId> Members,
                                std::vector<VmId> Voters) {
  auto Parents =
      configParents(m_Domain, m_Self, std::move(Members), std::move(Voters));
  if (Parents == m_Parents)
    return;
  m_Parents = std::move(Parents);
  m_ParentIndex = 0;
  // A pull in progress continues if its parent is still the preferred one.
  if (m_Parents.empty()) {
    m_Pulling = false;
    m_Timer.reset();
  } else if (!m_Pulling || m_Parent != m_Parents.front()) {
    startPull();
  }
}

void ConfigFollower::startPull() {
  if (m_Parents.empty())
    return;
  if (m_ParentIndex != 0 && m_Timers.now() >= m_PreferredParentRetryAt)
    m_ParentIndex = 0;
  m_Parent = m_Parents[m_ParentIndex];
  m_PullStart = m_Timers.now();
  m_Pulling = true;
  m_PartialDocument.clear();
  m_ReceivedParts = 0;
  startResponseTimer();
  m_Pull(m_Parent,
         encode(ConfigPullRequest{++m_Sequence, m_Source.revision()}));
}

void ConfigFollower::startResponseTimer() {
  m_Timer = m_Timers.after(m_Options.m_ParentTimeout, [this] {
    selectNextParent();
    startPull();
  });
}

void ConfigFollower::schedulePull(Duration Delay) {
  m_Pulling = false;
  m_Timer =
      m_Timers.after(std::max(Delay, Duration{0}), [this] { startPull(); });
}

void ConfigFollower::selectNextParent() {
  if (m_Parents.empty())
    return;
  m_ParentIndex = (m_ParentIndex + 1) % m_Parents.size();
  m_PreferredParentRetryAt = m_Timers.now() + m_Options.m_PreferredParentRetry;
}

void ConfigFollower::pullFailed(const VmId &Parent) {
  if (!m_Pulling || Parent != m_Parent)
    return;
  selectNextParent();
  schedulePull(RetryDelay);
}

Result<Done, CodecError> ConfigFollower::receive(const VmId &Sender,
                                                 std::string_view Bytes) {
  auto Decoded = decode<ConfigPullResponse>(Bytes);
  if (!isOk(Decoded))
    return errorOf(Decoded);
  ConfigPullResponse &Response = valueOf(Decoded);
  if (!m_Pulling || Sender != m_Parent || Response.m_Sequence != m_Sequence)
    return Done{};
  if (Response.m_Kind == ConfigPullResponseKind::Full) {
    // A document with a missing message must not be taken for complete.
    if (Response.m_PartIndex != m_ReceivedParts) {
      schedulePull(RetryDelay);
      return Done{};
    }
    ++m_ReceivedParts;
    for (auto &[Key, Value] : Response.m_Sections)
      m_PartialDocument.insert_or_assign(std::move(Key), std::move(Value));
    if (Response.m_HasMore) {
      startResponseTimer();
      return Done{};
    }
  }
  applyResponse(Response);
  return Done{};
}

void ConfigFollower::applyResponse(const ConfigPullResponse &Response) {
  if (Response.m_Kind == ConfigPullResponseKind::Busy) {
    selectNextParent();
    return schedulePull(RetryDelay);
  }
  std::vector<Delta> AppliedDeltas;
  bool Changed = false;
  if (Response.m_Kind == ConfigPullResponseKind::Full) {
    Changed =
        m_Source.install(Response.m_Revision, std::move(m_PartialDocument));
    m_PartialDocument.clear();
  } else if (Response.m_Kind == ConfigPullResponseKind::Deltas) {
    for (const Delta &Change : Response.m_Deltas)
      if (m_Source.apply(Change))
        AppliedDeltas.push_back(Change);
    Changed = !AppliedDeltas.empty();
  }
  updateAge(Response);
  m_Source.respondToPendingPulls();
  if (Changed)
    m_OnChange(m_Source.revision(), m_Source.document(), AppliedDeltas);
  if (!Changed && Response.m_Kind != ConfigPullResponseKind::NoChange) {
    // The response brought no newer revision, and the same parent would only
    // repeat it.
    selectNextParent();
    return schedulePull(RetryDelay);
  }
  // A parent that is disconnected from the leader still responds, but its
  // revision may be outdated.
  const auto Age = m_Source.age();
  if ((!Age || *Age > m_Options.m_StaleAfter) && m_Parents.size() > 1 &&
      (!Response.m_Age || *Response.m_Age > m_Options.m_StaleAfter))
    selectNextParent();
  schedulePull(m_PullStart + m_Options.m_MinPullInterval - m_Timers.now());
}

void ConfigFollower::updateAge(const ConfigPullResponse &Response) {
  if (!Response.m_Age || m_Source.revision() < Response.m_Revision)
    return;
  // The full round-trip time is added, since the share of one direction is
  // unknown.
  const Duration RoundTrip =
      std::max(Duration{0}, m_Timers.now() - m_PullStart - Response.m_HoldTime);
  m_Source.confirm(*Response.m_Age + RoundTrip);
}

bool ConfigFollower::isStale() const {
  const auto Age = m_Source.age();
  return !Age || *Age > m_Options.m_StaleAfter;
}

} // namespace ragwortdrift
