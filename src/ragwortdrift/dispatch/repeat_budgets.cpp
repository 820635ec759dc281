#include "ragwortdrift/dispatch/repeat_budgets.hpp"

#include <algorithm>
#include <utility>

namespace ragwortdrift {

namespace {

/// Share of the common slack that all known VMs together may save up. The rest
/// is reserved for VMs that the others have not discovered yet.
constexpr double SlackShare = 0.8;
/// Portion of its slack share that a VM has when it starts. Before a restart it
/// may have spent its tokens in the same window, so the rest is added gradually
/// during the second window after the start.
constexpr double InitialSlackShare = 0.5;
/// Share of the common retry ratio that first requests earn as tokens. The rest
/// covers retries that reach a leaf in a later window than the requests that
/// earned them.
constexpr double EarnedRatioShare = 0.95;

/// Tokens that a VM which lends saves up for itself: the hedge or retry of a
/// single late shard needs no answer of the allocator.
constexpr double OwnTokens = 1;
/// Lease time of a token: longer than a search waits for it and for a leaf that
/// may take it, short against the window.
constexpr std::chrono::milliseconds LentTime{500};
/// Time until a contribution is with the allocator. Holders contribute once a
/// second.
constexpr std::chrono::seconds ContributionDelay{1};
/// Contributions that wait for longer than this, as after a pause of the
/// process, are covered by requests of an earlier window.
constexpr std::chrono::seconds MaxContributionAge{2};
/// Share of the slack with which a new allocator starts, and that which is kept
/// for traffic that rises and falls within the delay of contributions.
constexpr double InitialLentShare = 0.02;
constexpr double TrafficReserveShare = 0.1;
/// Slack to lend below which lending has no use.
constexpr double MinLentSlack = 2;

} // namespace

void RepeatBudgets::setEntryCount(TimePoint Now, std::size_t Count) {
  const bool DidLend = lends();
  m_EntryCount = std::max<std::size_t>(Count, 1);
  for (auto &[Service, Item] : m_Budgets) {
    Item.m_Tokens.setBurst(burst());
    Item.m_Tokens.setRatio(earnedRatio());
    // Tokens that others may have been lent in this window are not earned
    // again.
    if (lends() || DidLend)
      Item.m_EarnedShare = 1;
    if (!lends())
      Item.m_Surplus = 0;
    if (!DidLend)
      Item.m_LastRequestAt = Now;
  }
}

double RepeatBudgets::slackShare() const {
  return SlackShare * m_Bounds.m_Slack / static_cast<double>(m_EntryCount);
}

double RepeatBudgets::lentSlack() const {
  return (1 - TrafficReserveShare - 2 * InitialLentShare) * m_Bounds.m_Slack -
         OwnTokens * static_cast<double>(m_EntryCount);
}

bool RepeatBudgets::lends() const {
  return slackShare() < m_Bounds.m_LendBelow && lentSlack() >= MinLentSlack;
}

double RepeatBudgets::burst() const {
  return lends() ? OwnTokens : std::max(1.0, slackShare());
}

double RepeatBudgets::earnedRatio() const {
  if (!lends())
    return EarnedRatioShare * m_Bounds.m_Ratio;
  const double Window = toMillis(m_Bounds.m_Window);
  return m_Bounds.m_Ratio * Window /
         (Window + toMillis(LentTime) + toMillis(ContributionDelay));
}

LimitTerms RepeatBudgets::lentTerms() const {
  LimitTerms Terms;
  Terms.m_Version = m_EntryCount;
  Terms.m_Capacity = lentSlack() / 2;
  Terms.m_InitialTokens = InitialLentShare * m_Bounds.m_Slack;
  Terms.m_LeaseTime = LentTime;
  return Terms;
}

RepeatBudgets::Budget &RepeatBudgets::budget(TimePoint Now,
                                             const ServiceName &Service) {
  const auto [Entry, IsNew] = m_Budgets.try_emplace(
      Service, Budget{HedgeBudget(earnedRatio(), burst()), 0, 0, {}, Now});
  Budget &Item = Entry->second;
  if (IsNew && lends()) {
    Item.m_EarnedShare = 1;
    // An earlier life of this VM may have spent the token in this window.
    if (m_Bounds.m_IsFirstStart || Now - m_StartedAt >= m_Bounds.m_Window)
      Item.m_Tokens.addTokens(OwnTokens);
  }
  // After two windows only requests earn tokens. The saved slack may then be
  // spent at once, and no window contains it more than once.
  const double Windows =
      toMillis(Now - m_StartedAt) / toMillis(m_Bounds.m_Window);
  const double EarnedShare =
      InitialSlackShare +
      (1 - InitialSlackShare) * std::clamp(Windows - 1, 0.0, 1.0);
  if (EarnedShare > Item.m_EarnedShare) {
    Item.m_Tokens.addTokens(burst() * (EarnedShare - Item.m_EarnedShare));
    Item.m_EarnedShare = EarnedShare;
  }
  return Item;
}

void RepeatBudgets::onFirstRequest(TimePoint Now, const ServiceName &Service) {
  Budget &Item = budget(Now, Service);
  if (!lends()) {
    Item.m_Tokens.onFirstRequest();
    return;
  }
  const Duration Elapsed = std::clamp<Duration>(
      Now - Item.m_LastRequestAt, Duration{0}, MaxContributionAge);
  Item.m_LastRequestAt = Now;
  const double TimeShare =
      toMillis(Elapsed) / toMillis(m_Bounds.m_Window + 2 * LentTime);
  const double Earned = earnedRatio() + lentSlack() / 2 * TimeShare /
                                            static_cast<double>(m_EntryCount);
  const double Missing = std::max(OwnTokens * (1 - Item.m_Tokens.level()), 0.0);
  Item.m_Tokens.addTokens(Earned);
  if (Earned <= Missing)
    return;
  if (Item.m_Surplus == 0 || Now - Item.m_SurplusSince > MaxContributionAge) {
    Item.m_Surplus = 0;
    Item.m_SurplusSince = Now;
  }
  Item.m_Surplus += Earned - Missing;
}

std::vector<RepeatBudgets::Contribution>
RepeatBudgets::takeContributions(TimePoint Now) {
  std::vector<Contribution> Out;
  for (auto &[Service, Item] : m_Budgets) {
    const double Surplus = std::exchange(Item.m_Surplus, 0);
    if (Surplus > 0 && Now - Item.m_SurplusSince <= MaxContributionAge)
      Out.push_back({Service, Surplus});
  }
  return Out;
}

bool RepeatBudgets::tryAcquire(TimePoint Now, const ServiceName &Service) {
  return budget(Now, Service).m_Tokens.tryAcquire();
}

double RepeatBudgets::level(TimePoint Now, const ServiceName &Service) {
  return budget(Now, Service).m_Tokens.level();
}

} // namespace ragwortdrift
