#include "ragwortdrift/limits/token_holder.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// A limit keeps a token ahead for this long after its last use: longer than
/// the interval between two requests of an active caller.
constexpr std::chrono::seconds ActiveTime{2};
/// Tokens kept ahead of need for an active limit.
constexpr std::uint32_t AheadTokens = 1;
/// A token that ends within this time is renewed: requests to the allocator
/// that are not urgent are sent each 250 ms.
constexpr std::chrono::milliseconds RenewalTime{250};
/// A request without a reply after this long is lost, and its needs are asked
/// for again. A reply takes a few milliseconds.
constexpr std::chrono::milliseconds ReplyTimeout{150};
/// Interval at which contributions are sent. They add up to a few tokens a
/// second for a service.
constexpr std::chrono::seconds ContributionInterval{1};
/// The allocator counts as unreachable after this long without a reply.
constexpr std::chrono::milliseconds ContactTimeout{600};

} // namespace

void TokenHolder::removeExpired(TimePoint Now, std::vector<Lease> &Leases) {
  std::erase_if(Leases, [&](const Lease &Item) {
    return Item.m_Expiry <= Now || Item.m_Tokens == 0;
  });
}

std::optional<TimePoint> TokenHolder::takeEarliest(TimePoint Now,
                                                   std::vector<Lease> &Leases) {
  removeExpired(Now, Leases);
  const auto First = std::min_element(
      Leases.begin(), Leases.end(),
      [](const Lease &A, const Lease &B) { return A.m_Expiry < B.m_Expiry; });
  if (First == Leases.end())
    return std::nullopt;
  --First->m_Tokens;
  return First->m_Expiry;
}

void TokenHolder::addLease(std::vector<Lease> &Leases, TimePoint Expiry,
                           std::uint32_t Tokens) {
  const auto Same =
      std::find_if(Leases.begin(), Leases.end(),
                   [&](const Lease &Item) { return Item.m_Expiry == Expiry; });
  if (Same != Leases.end())
    Same->m_Tokens += Tokens;
  else
    Leases.push_back({Expiry, Tokens});
}

TokenHolder::Limit &TokenHolder::limit(const LimitId &Id,
                                       const LimitTerms &Terms) {
  Limit &Item = m_Limits[Id];
  // A request may still use an older configuration.
  if (Terms.m_Version >= Item.m_Terms.m_Version)
    Item.m_Terms = Terms;
  return Item;
}

bool TokenHolder::tryTake(TimePoint Now, const LimitId &Id,
                          const LimitTerms &Terms) {
  Limit &Item = limit(Id, Terms);
  Item.m_UsedAt = Now;
  const auto Expiry = takeEarliest(Now, Item.m_Leases);
  if (!Expiry)
    return false;
  removeExpired(Now, Item.m_Taken);
  addLease(Item.m_Taken, *Expiry, 1);
  return true;
}

void TokenHolder::giveBack(TimePoint Now, const LimitId &Id) {
  const auto Found = m_Limits.find(Id);
  if (Found == m_Limits.end())
    return;
  if (const auto Expiry = takeEarliest(Now, Found->second.m_Taken))
    addLease(Found->second.m_Leases, *Expiry, 1);
}

void TokenHolder::need(TimePoint Now, const LimitId &Id,
                       const LimitTerms &Terms) {
  Limit &Item = limit(Id, Terms);
  Item.m_UsedAt = Now;
  ++Item.m_Needed;
}

void TokenHolder::needAhead(const LimitId &Id, const LimitTerms &Terms) {
  limit(Id, Terms).m_WantsAhead = true;
}

void TokenHolder::cancelNeed(const LimitId &Id) {
  const auto Found = m_Limits.find(Id);
  if (Found != m_Limits.end() && Found->second.m_Needed > 0)
    --Found->second.m_Needed;
}

std::uint32_t TokenHolder::needed(const LimitId &Id) const {
  const auto Found = m_Limits.find(Id);
  return Found == m_Limits.end() ? 0 : Found->second.m_Needed;
}

void TokenHolder::contribute(const LimitId &Id, const LimitTerms &Terms,
                             double Tokens) {
  limit(Id, Terms).m_Contribution += Tokens;
}

bool TokenHolder::isUrgent() const {
  return std::any_of(m_Limits.begin(), m_Limits.end(), [](const auto &Entry) {
    return Entry.second.m_Needed > Entry.second.m_Asked;
  });
}

void TokenHolder::expireRequests(TimePoint Now) {
  std::erase_if(m_Open, [&](const auto &Entry) {
    if (Now - Entry.second.m_SentAt < ReplyTimeout)
      return false;
    for (const AskedTokens &Item : Entry.second.m_Asked) {
      const auto Found = m_Limits.find(Item.m_Id);
      if (Found == m_Limits.end())
        continue;
      Found->second.m_Asked -= std::min(Found->second.m_Asked, Item.m_Needed);
      if (Item.m_Ahead > 0)
        Found->second.m_IsAheadAsked = false;
    }
    return true;
  });
}

void TokenHolder::evictIdle(TimePoint Now) {
  std::erase_if(m_Limits, [&](const auto &Entry) {
    const Limit &Item = Entry.second;
    return Now - Item.m_UsedAt > ActiveTime && Item.m_Needed == 0 &&
           Item.m_Asked == 0 && !Item.m_WantsAhead && !Item.m_IsAheadAsked &&
           Item.m_Contribution == 0 && held(Now, Entry.first) == 0;
  });
}

std::optional<LimitRequest> TokenHolder::takeRequest(TimePoint Now) {
  expireRequests(Now);
  evictIdle(Now);
  LimitRequest Request;
  OpenRequest Open;
  Open.m_SentAt = Now;
  const bool Contributes = Now - m_LastContributionAt >= ContributionInterval;
  for (auto &[Id, Item] : m_Limits) {
    LimitClaim Claim;
    Claim.m_Needed = Item.m_Needed - std::min(Item.m_Needed, Item.m_Asked);
    const bool KeepsAhead =
        Item.m_Terms.m_RatePerSecond > 0 && Now - Item.m_UsedAt < ActiveTime;
    if (KeepsAhead && !Item.m_IsAheadAsked &&
        held(Now + RenewalTime, Id) < AheadTokens)
      Claim.m_Ahead = AheadTokens;
    if (std::exchange(Item.m_WantsAhead, false) && !Item.m_IsAheadAsked)
      Claim.m_Ahead = AheadTokens;
    const bool HasContribution = Contributes && Item.m_Contribution > 0;
    if (Claim.m_Needed == 0 && Claim.m_Ahead == 0 && !HasContribution)
      continue;
    Claim.m_Id = Id;
    Claim.m_Terms = Item.m_Terms;
    Claim.m_Contributed =
        static_cast<float>(std::exchange(Item.m_Contribution, 0));
    if (Claim.m_Needed > 0 || Claim.m_Ahead > 0)
      Open.m_Asked.push_back(
          {Id, Claim.m_Needed, Claim.m_Ahead, Item.m_Terms.m_LeaseTime});
    Item.m_Asked += Claim.m_Needed;
    Item.m_IsAheadAsked = Item.m_IsAheadAsked || Claim.m_Ahead > 0;
    Request.m_Claims.push_back(std::move(Claim));
  }
  if (Request.m_Claims.empty())
    return std::nullopt;
  if (Contributes)
    m_LastContributionAt = Now;
  Request.m_Sequence = ++m_LastSequence;
  // A request that was lost long ago says nothing of the present.
  if (!m_UnansweredSince || Now - m_LastSentAt > ContactTimeout)
    m_UnansweredSince = Now;
  m_LastSentAt = Now;
  m_Open.emplace(Request.m_Sequence, std::move(Open));
  return Request;
}

std::vector<TokenHolder::Denial> TokenHolder::onReply(const LimitReply &Reply) {
  std::vector<Denial> Denials;
  if (Reply.m_Grants.empty())
    return Denials;
  const auto Open = m_Open.extract(Reply.m_Sequence);
  if (Open.empty())
    return Denials;
  m_UnansweredSince.reset();
  const OpenRequest &Sent = Open.mapped();
  for (const AskedTokens &Item : Sent.m_Asked) {
    const auto Found = m_Limits.find(Item.m_Id);
    if (Found == m_Limits.end())
      continue;
    Limit &Target = Found->second;
    Target.m_Asked -= std::min(Target.m_Asked, Item.m_Needed);
    if (Item.m_Ahead > 0)
      Target.m_IsAheadAsked = false;
    const auto Grant =
        std::find_if(Reply.m_Grants.begin(), Reply.m_Grants.end(),
                     [&](const LimitGrant &G) { return G.m_Id == Item.m_Id; });
    if (Grant == Reply.m_Grants.end())
      continue;
    // The lease began when the token was asked for.
    if (Grant->m_Granted > 0)
      addLease(Target.m_Leases, Sent.m_SentAt + Item.m_LeaseTime,
               Grant->m_Granted);
    // Some of the needs may have been withdrawn since.
    const std::uint32_t Waiting = std::min(Item.m_Needed, Target.m_Needed);
    const std::uint32_t Missing = Waiting - std::min(Waiting, Grant->m_Granted);
    Target.m_Needed -= Waiting;
    if (Missing > 0)
      Denials.push_back({Item.m_Id, Missing, Grant->m_RetryAfter});
  }
  return Denials;
}

bool TokenHolder::isConnected(TimePoint Now) const {
  return !m_UnansweredSince || Now - *m_UnansweredSince < ContactTimeout;
}

std::uint32_t TokenHolder::held(TimePoint Now, const LimitId &Id) const {
  const auto Found = m_Limits.find(Id);
  std::uint32_t Count = 0;
  if (Found != m_Limits.end())
    for (const Lease &Item : Found->second.m_Leases)
      Count += Item.m_Expiry > Now ? Item.m_Tokens : 0;
  return Count;
}

} // namespace ragwortdrift
