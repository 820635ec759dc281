#include "ragwortdrift/policy/crash_suspects.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Leaf runs that must have crashed before a request is condemned. One or two
/// may coincide with crashes that another request has caused.
constexpr std::size_t CondemningCrashes = 3;
/// Crashes among them with the request as the only suspect sent to the leaf. A
/// crash of many leafs at once takes several leafs of one search, but hardly
/// also the leaf of its next attempt.
constexpr std::size_t CondemningTrials = 1;
/// Time for which a condemned request is refused by all VMs, for the first
/// time. A wrongly condemned one is refused for about this long in a large
/// deployment.
constexpr std::chrono::seconds FirstHoldTime{20};
/// Factor by which the time grows with each crash of a trial.
constexpr int HoldGrowth = 4;
/// Bounds the growth, at about five minutes.
constexpr std::size_t MaxGrowthSteps = 2;
/// VMs send a condemned request again at different times, spread over this
/// multiple of the hold time. The first one to do so either clears it or starts
/// the next hold time on all VMs.
constexpr int SpreadFactor = 4;
/// Time after its latest crash for which a suspect that is not condemned is
/// remembered. Callers send a failed request again within seconds.
constexpr std::chrono::seconds SuspectLifetime{60};

} // namespace

std::size_t CrashSuspects::trialCount(const Entry &Item) {
  return static_cast<std::size_t>(
      std::count_if(Item.m_Crashes.begin(), Item.m_Crashes.end(),
                    [](const auto &Crash) { return Crash.second; }));
}

bool CrashSuspects::isCondemned(const Entry &Item) {
  return !Item.m_Answered && Item.m_Crashes.size() >= CondemningCrashes &&
         trialCount(Item) >= CondemningTrials;
}

Duration CrashSuspects::holdTime(const Entry &Item) {
  Duration Time = FirstHoldTime;
  const std::size_t Steps =
      std::min(trialCount(Item) - CondemningTrials, MaxGrowthSteps);
  for (std::size_t I = 0; I < Steps; ++I)
    Time *= HoldGrowth;
  return Time;
}

Duration CrashSuspects::lifetime(const Entry &Item) {
  return isCondemned(Item)
             ? (1 + SpreadFactor) * holdTime(Item) + Duration(SuspectLifetime)
             : Duration(SuspectLifetime);
}

TimePoint CrashSuspects::refusedUntil(RequestFingerprint Fingerprint,
                                      const Entry &Item) const {
  constexpr std::uint64_t Steps = 1024;
  const std::uint64_t Position =
      stableHash(m_Self.m_Value, Fingerprint.m_Value + trialCount(Item)) %
      Steps;
  const Duration Hold = holdTime(Item);
  return Item.m_CrashedAt + Hold +
         Hold * SpreadFactor * static_cast<Duration::rep>(Position) /
             static_cast<Duration::rep>(Steps);
}

const CrashSuspects::Entry *CrashSuspects::find(RequestFingerprint Fingerprint,
                                                TimePoint Now) const {
  const auto Found = m_Records.find(Fingerprint);
  return Found != m_Records.end() &&
                 Now - Found->second.m_CrashedAt < lifetime(Found->second)
             ? &Found->second
             : nullptr;
}

CrashVerdict CrashSuspects::verdict(RequestFingerprint Fingerprint,
                                    TimePoint Now) const {
  const Entry *Item = find(Fingerprint, Now);
  if (!Item || Item->m_Answered)
    return CrashVerdict::Clear;
  return isCondemned(*Item) && Now < refusedUntil(Fingerprint, *Item)
             ? CrashVerdict::Condemned
             : CrashVerdict::Suspect;
}

Duration CrashSuspects::refusedFor(RequestFingerprint Fingerprint,
                                   TimePoint Now) const {
  const Entry *Item = find(Fingerprint, Now);
  return Item && isCondemned(*Item)
             ? std::max(refusedUntil(Fingerprint, *Item) - Now, Duration{0})
             : Duration{0};
}

void CrashSuspects::onCrash(RequestFingerprint Fingerprint, LeafRun Leaf,
                            bool IsTrial, TimePoint Now) {
  evict(Now);
  Entry &Item = m_Records[Fingerprint];
  Item.m_Crashes[Leaf] |= IsTrial;
  limitCrashes(Item);
  Item.m_CrashedAt = Now;
  Item.m_Changed = true;
  evict(Now);
}

bool CrashSuspects::onAnswer(RequestFingerprint Fingerprint) {
  const auto Found = m_Records.find(Fingerprint);
  if (Found == m_Records.end() || Found->second.m_Answered)
    return false;
  Found->second.m_Answered = true;
  Found->second.m_Changed = true;
  return true;
}

std::vector<CrashRecord>
CrashSuspects::merge(const std::vector<CrashRecord> &Records, TimePoint Now) {
  evict(Now);
  std::vector<CrashRecord> News;
  for (const CrashRecord &Record : Records) {
    // An evicted or malformed record is not stored again.
    if (Record.m_Crashes.empty() || Record.m_Age < Duration{0})
      continue;
    const TimePoint CrashedAt = Now - Record.m_Age;
    const auto Known = m_Records.find(Record.m_Fingerprint);
    Entry Item = Known == m_Records.end() ? Entry{} : Known->second;
    const auto CrashesBefore = Item.m_Crashes;
    const bool AnsweredBefore = Item.m_Answered;
    for (const auto &[Leaf, IsTrial] : Record.m_Crashes)
      Item.m_Crashes[Leaf] |= IsTrial;
    limitCrashes(Item);
    Item.m_Answered |= Record.m_Answered;
    // The time of an old crash is not moved by the delay of a message.
    if (Item.m_Crashes != CrashesBefore || Known == m_Records.end())
      Item.m_CrashedAt = CrashesBefore.empty()
                             ? CrashedAt
                             : std::max(Item.m_CrashedAt, CrashedAt);
    else if (Item.m_Answered == AnsweredBefore)
      continue;
    if (Now - Item.m_CrashedAt >= lifetime(Item))
      continue;
    m_Records[Record.m_Fingerprint] = Item;
    News.push_back(toRecord(Record.m_Fingerprint, Item, Now));
  }
  evict(Now);
  return News;
}

std::vector<CrashRecord> CrashSuspects::takeChanges(TimePoint Now) {
  std::vector<CrashRecord> Out;
  for (auto &[Fingerprint, Item] : m_Records)
    if (std::exchange(Item.m_Changed, false))
      Out.push_back(toRecord(Fingerprint, Item, Now));
  return Out;
}

std::vector<CrashRecord> CrashSuspects::latest(std::size_t Limit,
                                               TimePoint Now) const {
  std::vector<CrashRecord> Out;
  for (const auto &[Fingerprint, Item] : m_Records)
    if (find(Fingerprint, Now))
      Out.push_back(toRecord(Fingerprint, Item, Now));
  std::stable_sort(Out.begin(), Out.end(),
                   [](const CrashRecord &A, const CrashRecord &B) {
                     return A.m_Age < B.m_Age;
                   });
  Out.resize(std::min(Out.size(), Limit));
  return Out;
}

CrashRecord CrashSuspects::toRecord(RequestFingerprint Fingerprint,
                                    const Entry &Item, TimePoint Now) {
  return {Fingerprint, Item.m_Crashes, Item.m_Answered, Now - Item.m_CrashedAt};
}

void CrashSuspects::limitCrashes(Entry &Item) {
  // Drops by key, so that the order of merging does not matter; crashes of
  // trials are the evidence that counts and are kept before others.
  while (Item.m_Crashes.size() > MaxCrashes) {
    auto Dropped =
        std::find_if(Item.m_Crashes.rbegin(), Item.m_Crashes.rend(),
                     [](const auto &Crash) { return !Crash.second; });
    Item.m_Crashes.erase(Dropped == Item.m_Crashes.rend()
                             ? std::prev(Item.m_Crashes.end())
                             : std::prev(Dropped.base()));
  }
}

void CrashSuspects::evict(TimePoint Now) {
  std::erase_if(m_Records, [&](const auto &Item) {
    return Now - Item.second.m_CrashedAt >= lifetime(Item.second);
  });
  while (m_Records.size() > MaxRecords)
    m_Records.erase(std::min_element(
        m_Records.begin(), m_Records.end(), [](const auto &A, const auto &B) {
          return A.second.m_CrashedAt < B.second.m_CrashedAt;
        }));
}

} // namespace ragwortdrift
