#include "ragwortdrift/membership/config_follower.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Wait before the next parent is tried after a failure that came at once.
constexpr Duration RetryDelay{100'000};

} // namespace

std::vector<VmId> configParents(const FailureDomain &Domain, const VmId &Self,
                                std::vector<VmId> Members,
                                std::vector<VmId> Voters) {
  if (std::ranges::find(Members, Self) == Members.end())
    Members.push_back(Self);
  const std::vector<VmId> Order =
      rendezvousOrder("config/" + Domain.m_Value, std::move(Members));
  auto Place =
      static_cast<std::size_t>(std::ranges::find(Order, Self) - Order.begin());
  std::vector<VmId> Parents;
  while (Place != 0) {
    Place = (Place - 1) / ConfigTreeWidth;
    Parents.push_back(Order[Place]);
  }
  std::erase(Voters, Self);
  // Each VM orders the voters in its own way, which spreads their load.
  for (VmId &Voter : rendezvousOrder(Self.m_Value, std::move(Voters)))
    if (std::ranges::find(Parents, Voter) == Parents.end())
      Parents.push_back(std::move(Voter));
  return Parents;
}

ConfigFollower::ConfigFollower(TimerService &Timers, VmId Self,
                               FailureDomain Domain, ConfigSource &Held,
                               Pull PullFn, OnChange ChangeFn,
                               ConfigFollowerOptions Options)
    : m_Timers(Timers), m_Self(std::move(Self)), m_Domain(std::move(Domain)),
      m_Held(Held), m_Pull(std::move(PullFn)), m_OnChange(std::move(ChangeFn)),
      m_Options(Options) {}

void ConfigFollower::setMembers(std::vector<VmId> Members,
                                std::vector<VmId> Voters) {
  auto Parents =
      configParents(m_Domain, m_Self, std::move(Members), std::move(Voters));
  if (Parents == m_Parents)
    return;
  m_Parents = std::move(Parents);
  m_Index = 0;
  // A pull in progress at the old parent goes on if it is still the preferred
  // one.
  if (m_Parents.empty()) {
    m_Pulling = false;
    m_Timer.reset();
  } else if (!m_Pulling || m_Parent != m_Parents.front()) {
    pullNow();
  }
}

void ConfigFollower::pullNow() {
  if (m_Parents.empty())
    return;
  if (m_Index != 0 && m_Timers.now() >= m_ReturnAt)
    m_Index = 0;
  m_Parent = m_Parents[m_Index];
  m_PulledAt = m_Timers.now();
  m_Pulling = true;
  m_Partial.clear();
  m_Parts = 0;
  awaitAnswer();
  m_Pull(m_Parent, encode(ConfigPull{++m_Sequence, m_Held.revision()}));
}

void ConfigFollower::awaitAnswer() {
  m_Timer = m_Timers.after(m_Options.m_Silence, [this] {
    nextParent();
    pullNow();
  });
}

void ConfigFollower::pullSoon(Duration Delay) {
  m_Pulling = false;
  m_Timer = m_Timers.after(std::max(Delay, Duration{0}), [this] { pullNow(); });
}

void ConfigFollower::nextParent() {
  if (m_Parents.empty())
    return;
  m_Index = (m_Index + 1) % m_Parents.size();
  m_ReturnAt = m_Timers.now() + m_Options.m_Return;
}

void ConfigFollower::pullFailed(const VmId &Parent) {
  if (!m_Pulling || Parent != m_Parent)
    return;
  nextParent();
  pullSoon(RetryDelay);
}

Result<Done, CodecError> ConfigFollower::receive(const VmId &From,
                                                 std::string_view Bytes) {
  auto Decoded = decode<ConfigAnswer>(Bytes);
  if (!isOk(Decoded))
    return errorOf(Decoded);
  ConfigAnswer &Answer = valueOf(Decoded);
  if (!m_Pulling || From != m_Parent || Answer.m_Sequence != m_Sequence)
    return Done{};
  if (Answer.m_Kind == ConfigAnswerKind::Full) {
    // A missing part must not lead to a document that is taken for whole.
    if (Answer.m_Part != m_Parts) {
      pullSoon(RetryDelay);
      return Done{};
    }
    ++m_Parts;
    for (auto &[Key, Value] : Answer.m_Sections)
      m_Partial.insert_or_assign(std::move(Key), std::move(Value));
    if (Answer.m_More) {
      awaitAnswer();
      return Done{};
    }
  }
  adopt(Answer);
  return Done{};
}

void ConfigFollower::adopt(const ConfigAnswer &Answer) {
  if (Answer.m_Kind == ConfigAnswerKind::Busy) {
    nextParent();
    return pullSoon(RetryDelay);
  }
  std::vector<Delta> Applied;
  bool Changed = false;
  if (Answer.m_Kind == ConfigAnswerKind::Full) {
    Changed = m_Held.install(Answer.m_Revision, std::move(m_Partial));
    m_Partial.clear();
  } else if (Answer.m_Kind == ConfigAnswerKind::Deltas) {
    for (const Delta &Change : Answer.m_Deltas)
      if (m_Held.apply(Change))
        Applied.push_back(Change);
    Changed = !Applied.empty();
  }
  takeAge(Answer);
  m_Held.answerWaiting();
  if (Changed)
    m_OnChange(m_Held.revision(), m_Held.document(), Applied);
  if (!Changed && Answer.m_Kind != ConfigAnswerKind::NoChange) {
    // The answer was of no use, so the same pull would only repeat it.
    nextParent();
    return pullSoon(RetryDelay);
  }
  // A parent that is cut off from the leader answers, but its news is old.
  const auto Age = m_Held.age();
  if ((!Age || *Age > m_Options.m_StaleAfter) && m_Parents.size() > 1 &&
      (!Answer.m_Age || *Answer.m_Age > m_Options.m_StaleAfter))
    nextParent();
  pullSoon(m_PulledAt + m_Options.m_MinGap - m_Timers.now());
}

void ConfigFollower::takeAge(const ConfigAnswer &Answer) {
  if (!Answer.m_Age || m_Held.revision() < Answer.m_Revision)
    return;
  // The round trip is counted in full, since neither clock knows the share of
  // one direction.
  const Duration OnTheWay =
      std::max(Duration{0}, m_Timers.now() - m_PulledAt - Answer.m_Waited);
  m_Held.confirm(*Answer.m_Age + OnTheWay);
}

bool ConfigFollower::isStale() const {
  const auto Age = m_Held.age();
  return !Age || *Age > m_Options.m_StaleAfter;
}

} // namespace ragwortdrift
