#include "ragwortdrift/fleet/core_selection.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>
#include <tuple>

namespace ragwortdrift {

bool CoreSelection::recordReport(const std::string &Sender,
                                 const FailureDomain &Domain,
                                 const std::vector<std::string> &Named,
                                 TimePoint Now) {
  Core &Reporter = m_Cores[Sender];
  Reporter.m_Domain = Domain;
  const bool IsNew =
      std::exchange(Reporter.m_State, State::Connected) != State::Connected;
  if (m_Named.record(Named, Now) || IsNew)
    m_NeedsUpdate = true;
  return IsNew;
}

bool CoreSelection::recordEnd(const std::string &Address) {
  const auto Position = m_Cores.find(Address);
  if (Position == m_Cores.end())
    return false;
  const State Former = std::exchange(Position->second.m_State, State::Silent);
  if (Former != State::Silent)
    m_NeedsUpdate = true;
  return Former == State::Connected;
}

CoreSelection::Changes CoreSelection::update(const std::string &Source) {
  m_NeedsUpdate = false;
  Changes Result;
  std::set<std::string> Known = m_Configured;
  m_Named.appendTo(Known);
  for (const std::string &Address : Known)
    m_Cores.try_emplace(Address);
  std::erase_if(m_Cores, [&](const auto &Entry) {
    const auto &[Address, Candidate] = Entry;
    const bool IsForgotten =
        Candidate.m_State != State::Connected && !Known.contains(Address);
    if (IsForgotten)
      Result.m_Forgotten.push_back(Address);
    return IsForgotten;
  });
  closeSurplus(Source, Result);
  openIdle(Result);
  return Result;
}

void CoreSelection::closeSurplus(const std::string &Source, Changes &Result) {
  while (count(State::Connected) > m_MaxConnected) {
    const DomainCounts Domains = connectedDomains();
    const auto Key = [&](const auto &Entry) {
      const auto &[Address, Candidate] = Entry;
      const bool MayClose =
          Candidate.m_State == State::Connected && Address != Source;
      return std::tuple(MayClose, MayClose ? Domains.at(Candidate.m_Domain) : 0,
                        rank(Address));
    };
    const auto Surplus = std::ranges::max_element(m_Cores, {}, Key);
    Surplus->second.m_State = State::Idle;
    Result.m_Closed.push_back(Surplus->first);
  }
}

void CoreSelection::openIdle(Changes &Result) {
  const DomainCounts Domains = connectedDomains();
  const auto IsCovered = [&](const Core &Candidate) {
    return Domains.contains(Candidate.m_Domain);
  };
  std::size_t Connecting = count(State::Connecting);
  const std::size_t Connected = count(State::Connected);
  const bool HasSurplusInDomain = std::ranges::any_of(
      Domains, [](const auto &Entry) { return Entry.second > 1; });
  for (;;) {
    const bool HasPlace = Connected + Connecting < m_MaxConnected;
    // Its failure domain is known, or found out, by connecting to it; then one
    // of a domain that is watched more than once is closed.
    const bool MayReplace = HasSurplusInDomain && Connecting == 0;
    const auto Key = [&](const auto &Entry) {
      const auto &[Address, Candidate] = Entry;
      return std::tuple(Candidate.m_State != State::Idle, IsCovered(Candidate),
                        rank(Address));
    };
    const auto Next = std::ranges::min_element(m_Cores, {}, Key);
    if (Next == m_Cores.end() || Next->second.m_State != State::Idle ||
        (!HasPlace && (!MayReplace || IsCovered(Next->second))))
      return;
    Next->second.m_State = State::Connecting;
    Result.m_Opened.push_back(Next->first);
    ++Connecting;
  }
}

bool CoreSelection::isConnected(const std::string &Address) const {
  const auto Position = m_Cores.find(Address);
  return Position != m_Cores.end() &&
         Position->second.m_State == State::Connected;
}

bool CoreSelection::isExpectedToRun(const std::string &Address) const {
  return m_Named.contains(Address) || count(State::Connected) == 0;
}

CoreSelection::Counts CoreSelection::counts() const {
  return {m_Cores.size(), count(State::Connected)};
}

std::size_t CoreSelection::count(State Sought) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(m_Cores, [&](const auto &Entry) {
        return Entry.second.m_State == Sought;
      }));
}

CoreSelection::DomainCounts CoreSelection::connectedDomains() const {
  DomainCounts Domains;
  for (const auto &[Address, Candidate] : m_Cores)
    if (Candidate.m_State == State::Connected)
      ++Domains[Candidate.m_Domain];
  return Domains;
}

std::uint64_t CoreSelection::rank(const std::string &Address) const {
  return stableHash(Address, m_Seed);
}

} // namespace ragwortdrift
