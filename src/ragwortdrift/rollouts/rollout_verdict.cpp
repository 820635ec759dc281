#include "ragwortdrift/rollouts/rollout_verdict.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>

namespace ragwortdrift {

namespace {

/// Probability below which a number of bad answers is no chance. The verdict is
/// renewed several times a second, which the first figure allows for.
constexpr double EarlyChance = 1e-4;
constexpr double FinalChance = 4e-3;
/// The same for the answers of all but the worst failure domain, which only
/// have to confirm that the fault is not limited to it.
/// Slow answers are common among sound leafs, failures are not.
constexpr double ConfirmingFailures = 0.03;
constexpr double ConfirmingSlowness = 0.002;
/// Fewest bad answers that count as a sign, and of those the ones outside of
/// the worst failure domain.
constexpr double MinBadAnswers = 3;
constexpr double MinConfirmingAnswers = 2;
/// Part of the failures that the worst failure domain may have near the end, if
/// they are too few to confirm each other: three of four.
constexpr double MaxWorstShare = 0.75;
/// Shares of failed and of slow answers that a sound version may have even if
/// the others show none.
constexpr double MinFailureShare = 0.002;
constexpr double MinSlowShare = 0.02;
/// The latter while the other leafs answer nothing, since the load of the
/// target then differs from theirs.
constexpr double MinSlowShareAlone = 0.1;
/// Weight of the whole time, in answers, in the share of a period.
constexpr double PriorAnswers = 20;
/// Answers without the sign of a fault that make a version good: a share of one
/// in twenty would have shown with 95%.
constexpr std::uint32_t MinGoodAnswers = 60;

enum class Sign { Failures, Slowness };

double badOf(const AnswerCounts &Counts, Sign Kind) {
  return Kind == Sign::Failures ? Counts.m_Failures : Counts.m_Slow;
}

/// Probability of at least Count events if Mean are expected.
double poissonTail(double Count, double Mean) {
  double Term = std::exp(-Mean), Sum = 0;
  for (int I = 0; I < Count; ++I) {
    Sum += Term;
    Term *= Mean / (I + 1);
  }
  return std::max(1 - Sum, 0.0);
}

/// A part of a service whose trouble is not that of its version: a failure
/// domain, or a leaf if all answers come from one domain.
using Unit = std::string;

/// Returns the unit of each leaf of one version.
std::map<LeafId, Unit> unitsOf(const std::vector<AnswerSample> &Samples,
                               bool IsTarget) {
  std::set<FailureDomain> Domains;
  for (const AnswerSample &Item : Samples)
    if (Item.m_Leaf.m_IsTarget == IsTarget && Item.m_Leaf.m_Counts.m_Answers)
      Domains.insert(Item.m_Leaf.m_Domain);
  std::map<LeafId, Unit> Units;
  for (const AnswerSample &Item : Samples)
    if (Item.m_Leaf.m_IsTarget == IsTarget && Item.m_Leaf.m_Counts.m_Answers)
      Units[Item.m_Leaf.m_Leaf] = Domains.size() > 1
                                      ? Item.m_Leaf.m_Domain.m_Value
                                      : Item.m_Leaf.m_Leaf.m_Value;
  return Units;
}

/// Returns the unit with the highest share of bad answers, if there are several
/// units and any bad answers.
std::optional<Unit> worstUnit(const std::vector<AnswerSample> &Samples,
                              const std::map<LeafId, Unit> &Units,
                              bool IsTarget, Sign Kind) {
  std::map<Unit, AnswerCounts> Sums;
  for (const AnswerSample &Item : Samples)
    if (Item.m_Leaf.m_IsTarget == IsTarget && Item.m_Leaf.m_Counts.m_Answers)
      Sums[Units.at(Item.m_Leaf.m_Leaf)] += Item.m_Leaf.m_Counts;
  const auto Share = [&](const auto &Entry) {
    return badOf(Entry.second, Kind) / Entry.second.m_Answers;
  };
  const auto Worst = std::ranges::max_element(Sums, {}, Share);
  if (Sums.size() < 2 || Share(*Worst) == 0)
    return std::nullopt;
  return Worst->first;
}

/// Bad answers of the target version beside those expected from the others.
struct Comparison {
  double m_Answers = 0;
  double m_Bad = 0;
  double m_Expected = 0;

  double chance() const { return poissonTail(m_Bad, m_Expected); }
};

/// Compares the answers of all routes, or of one, leaving out a unit of the
/// target.
class Comparer {
public:
  Comparer(const std::vector<AnswerSample> &Samples, Sign Kind)
      : m_Samples(Samples), m_Kind(Kind), m_TargetUnits(unitsOf(Samples, true)),
        m_WorstTarget(worstUnit(Samples, m_TargetUnits, true, Kind)) {
    const auto OtherUnits = unitsOf(Samples, false);
    const auto WorstOther = worstUnit(Samples, OtherUnits, false, Kind);
    for (const AnswerSample &Item : Samples) {
      const LeafAnswers &Leaf = Item.m_Leaf;
      if (Leaf.m_IsTarget || !Leaf.m_Counts.m_Answers ||
          (WorstOther && OtherUnits.at(Leaf.m_Leaf) == *WorstOther))
        continue;
      m_Routes[Leaf.m_Route] += Leaf.m_Counts;
      m_Periods[{Item.m_Period, Leaf.m_Route}] += Leaf.m_Counts;
    }
  }

  bool hasSeveralUnits() const {
    std::set<Unit> Units;
    for (const auto &[Leaf, Name] : m_TargetUnits)
      Units.insert(Name);
    return Units.size() > 1;
  }

  Sign kind() const { return m_Kind; }
  double confirmingChance() const {
    return m_Kind == Sign::Failures ? ConfirmingFailures : ConfirmingSlowness;
  }

  Comparison compare(const std::string *Route, bool WithoutWorst) const {
    Comparison Sum;
    for (const AnswerSample &Item : m_Samples) {
      const LeafAnswers &Leaf = Item.m_Leaf;
      if (!Leaf.m_IsTarget || !Leaf.m_Counts.m_Answers ||
          (Route && Leaf.m_Route != *Route) ||
          (WithoutWorst && m_WorstTarget &&
           m_TargetUnits.at(Leaf.m_Leaf) == *m_WorstTarget))
        continue;
      Sum.m_Answers += Leaf.m_Counts.m_Answers;
      Sum.m_Bad += badOf(Leaf.m_Counts, m_Kind);
      Sum.m_Expected +=
          Leaf.m_Counts.m_Answers * expectedShare(Item.m_Period, Leaf.m_Route);
    }
    return Sum;
  }

private:
  double expectedShare(std::int64_t Period, const std::string &Route) const {
    const auto Find = [](const auto &Map, const auto &Key) {
      const auto Found = Map.find(Key);
      return Found == Map.end() ? AnswerCounts{} : Found->second;
    };
    const AnswerCounts Total = Find(m_Routes, Route);
    const AnswerCounts Local = Find(m_Periods, std::pair(Period, Route));
    const double Prior = badOf(Total, m_Kind) / std::max(Total.m_Answers, 1U);
    const double Share = (badOf(Local, m_Kind) + Prior * PriorAnswers) /
                         (Local.m_Answers + PriorAnswers);
    const double Min = m_Kind == Sign::Failures ? MinFailureShare
                       : Local.m_Answers == 0   ? MinSlowShareAlone
                                                : MinSlowShare;
    return std::max(Share, Min);
  }

  const std::vector<AnswerSample> &m_Samples;
  Sign m_Kind;
  std::map<LeafId, Unit> m_TargetUnits;
  std::optional<Unit> m_WorstTarget;
  std::map<std::string, AnswerCounts> m_Routes;
  std::map<std::pair<std::int64_t, std::string>, AnswerCounts> m_Periods;
};

bool isSign(const Comparer &Data, const std::string *Route,
            const JudgeOptions &Options) {
  const Comparison All = Data.compare(Route, false);
  if (All.m_Bad < MinBadAnswers ||
      All.chance() > (Options.m_IsFinal ? FinalChance : EarlyChance))
    return false;
  // A single leaf of several may be in trouble by itself. The only leaf of a
  // version cannot be told from it.
  if (!Data.hasSeveralUnits())
    return Options.m_TargetLeafs <= 1;
  const Comparison Remainder = Data.compare(Route, true);
  if (Options.m_IsFinal && Data.kind() == Sign::Failures &&
      Remainder.m_Bad > 0 &&
      All.m_Bad - Remainder.m_Bad <= MaxWorstShare * All.m_Bad)
    return true;
  return Remainder.m_Bad >= MinConfirmingAnswers &&
         Remainder.chance() <= Data.confirmingChance();
}

std::string describe(const Comparer &Data, const std::string *Route,
                     std::string_view Kind) {
  const Comparison Found = Data.compare(Route, false);
  std::string Text = std::to_string(std::lround(Found.m_Bad)) + " of " +
                     std::to_string(std::lround(Found.m_Answers)) + " answers ";
  Text += Kind;
  if (Route)
    Text += " on route " + *Route;
  std::array<char, 32> Expected{};
  const auto End =
      std::to_chars(Expected.data(), Expected.data() + Expected.size(),
                    Found.m_Expected, std::chars_format::fixed, 2);
  return Text + ", expected " + std::string(Expected.data(), End.ptr);
}

} // namespace

Judgement judgeRollout(const std::vector<AnswerSample> &Samples,
                       const JudgeOptions &Options) {
  Judgement Out;
  std::set<std::string> Routes;
  for (const AnswerSample &Item : Samples) {
    (Item.m_Leaf.m_IsTarget ? Out.m_Target : Out.m_Others) +=
        Item.m_Leaf.m_Counts;
    if (Item.m_Leaf.m_IsTarget)
      Routes.insert(Item.m_Leaf.m_Route);
  }
  std::vector<const std::string *> Scopes{nullptr};
  for (const std::string &Route : Routes)
    Scopes.push_back(&Route);
  for (const auto &[Kind, Name] : {std::pair(Sign::Failures, "failed"),
                                   std::pair(Sign::Slowness, "were slow")}) {
    const Comparer Data(Samples, Kind);
    for (const std::string *Route : Scopes)
      if (isSign(Data, Route, Options)) {
        Out.m_Verdict = RolloutVerdict::Bad;
        Out.m_Cause = describe(Data, Route, Name);
        return Out;
      }
  }
  if (Out.m_Target.m_Answers >= MinGoodAnswers)
    Out.m_Verdict = RolloutVerdict::Good;
  return Out;
}

} // namespace ragwortdrift
