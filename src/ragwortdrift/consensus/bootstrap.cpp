#include "ragwortdrift/consensus/bootstrap.hpp"

#include <algorithm>

namespace ragwortdrift {

Bootstrap::Bootstrap(MemberKey Self, std::vector<InitialVoter> Voters,
                     std::mt19937_64 &Engine)
    : m_Self(std::move(Self)), m_Voters(std::move(Voters)), m_Engine(Engine) {
  restart();
}

bool Bootstrap::isCoordinator() const {
  auto First = std::min_element(
      m_Voters.begin(), m_Voters.end(),
      [](const auto &A, const auto &B) { return A.m_Vm < B.m_Vm; });
  return First != m_Voters.end() && First->m_Vm == m_Self.m_Vm;
}

void Bootstrap::restart() {
  m_Nonce = m_Engine();
  m_Binding = false;
  m_ReportedStores = {{m_Self.m_Vm, m_Self.m_Store}};
  m_BoundStores = m_ReportedStores;
}

std::vector<OutgoingMessage> Bootstrap::queries() {
  if (!m_Binding && m_ReportedStores.size() == m_Voters.size()) {
    m_Binding = true;
    m_Nonce = m_Engine();
  }
  const auto &Responses = m_Binding ? m_BoundStores : m_ReportedStores;
  std::string LocalAddress;
  for (const InitialVoter &Voter : m_Voters)
    if (Voter.m_Vm == m_Self.m_Vm)
      LocalAddress = Voter.m_Address;
  std::vector<OutgoingMessage> Messages;
  for (const InitialVoter &Voter : m_Voters)
    if (!Responses.count(Voter.m_Vm))
      Messages.push_back(
          {Voter.m_Address, Message{ClusterId(m_Self.m_Store.m_Value), m_Self,
                                    LocalAddress, MemberKey{Voter.m_Vm, {}}, 0,
                                    StoreQuery{m_Nonce, m_Binding}}});
  return Messages;
}

void Bootstrap::onResponse(const Message &Msg, const StoreResponse &Body) {
  if (Body.m_Nonce != m_Nonce)
    return;
  const VmId &Vm = Msg.m_From.m_Vm;
  auto First = m_ReportedStores.find(Vm);
  bool StoreChanged =
      m_Binding && (!Body.m_Bound || First == m_ReportedStores.end() ||
                    First->second != Msg.m_From.m_Store);
  if (Body.m_HasLog || StoreChanged)
    return restart();
  (m_Binding ? m_BoundStores : m_ReportedStores)[Vm] = Msg.m_From.m_Store;
}

bool Bootstrap::isPhaseComplete() const {
  return (m_Binding ? m_BoundStores : m_ReportedStores).size() ==
         m_Voters.size();
}

std::optional<Membership> Bootstrap::result() const {
  if (m_BoundStores.size() != m_Voters.size())
    return std::nullopt;
  Membership First;
  for (const InitialVoter &Voter : m_Voters)
    First.m_Voters.push_back(
        {MemberKey{Voter.m_Vm, m_BoundStores.at(Voter.m_Vm)}, Voter.m_Address});
  return First;
}

} // namespace ragwortdrift
