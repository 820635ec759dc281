#include "ragwortdrift/dispatch/active_request.hpp"
#include "ragwortdrift/net/http_server.hpp"

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// Retry-After while the accounts or the allocator of quotas are not confirmed
/// or reached: another VM probably serves at once.
constexpr std::chrono::milliseconds UnconfirmedRetryAfter{100};
/// Callers that are denied a token return spread over this period.
constexpr std::chrono::milliseconds DeniedReturnSpread{100};

} // namespace

std::optional<Dispatcher::Refusal> Dispatcher::checkAccountsAge() const {
  if (m_Options.m_MaxAccountsAge == Duration::max() ||
      (m_AccountsConfirmedAt &&
       leaseNow() - *m_AccountsConfirmedAt <= m_Options.m_MaxAccountsAge))
    return std::nullopt;
  return Refusal{
      notExecutedResponse("the accounts are not confirmed to be the newest",
                          UnconfirmedRetryAfter),
      "unconfirmed_accounts"};
}

std::optional<Dispatcher::Refusal>
Dispatcher::checkAccount(const HttpRequest &Request, Admission &Out) const {
  Out.m_Priority = Out.m_Route->m_Priority;
  Out.m_NeedsConfirmedAccounts =
      routes()->accounts() && !Out.m_Route->m_IsPublic;
  if (Out.m_NeedsConfirmedAccounts)
    if (auto Refused = checkAccountsAge())
      return Refused;
  const std::string &Field = m_Protocol.m_AccountKey;
  // Several keys identify nobody.
  const auto Key = Request.count(Field) == 1 ? Request[Field] : "";
  const std::string_view Path{Request.target().data(), Request.target().size()};
  KeyFinding Found =
      findKey(*routes(), m_ConfigSwitch.held().get(), *Out.m_Route, Path,
              {Key.data(), Key.size()}, m_Options.m_Quota);
  if (Found.m_Verdict == KeyVerdict::Changing)
    return Refusal{
        notExecutedResponse("a change of the accounts is not in force here yet",
                            m_ConfigSwitch.heldUntil() - m_Timers.now()),
        "changing_key"};
  if (Found.m_Verdict == KeyVerdict::Unknown && !areRoutesConfirmed())
    return Refusal{notExecutedResponse("the key may not be in force here yet",
                                       UnconfirmedRetryAfter),
                   "unconfirmed_key"};
  if (Found.m_Verdict == KeyVerdict::Unknown)
    return Refusal{
        jsonResponse(401, R"({"error":"unknown_key","not_run":true})"),
        "unknown_key"};
  Out.m_Account = Found.m_Account;
  Out.m_Quota = Found.m_Quota;
  if (Out.m_Account)
    Out.m_Priority = Out.m_Account->m_Priority.value_or(Out.m_Priority);
  return std::nullopt;
}

bool ActiveRequest::admit() {
  enterFlight();
  if (!m_QuotaTerms) {
    start();
    return true;
  }
  m_HasQuotaToken = m_Owner.m_AccountGate.tryTake(m_QuotaId, *m_QuotaTerms);
  if (m_HasQuotaToken) {
    start();
    return true;
  }
  if (!m_Owner.m_AccountGate.isConnected()) {
    onQuota(AccountGate::Outcome::Unanswered, Duration{0});
    return false;
  }
  m_QuotaWait = m_Owner.m_AccountGate.wait(
      m_QuotaId, *m_QuotaTerms,
      [Weak = weak_from_this()](AccountGate::Outcome Outcome,
                                Duration RetryAfter) {
        if (const auto Self = Weak.lock())
          Self->onQuota(Outcome, RetryAfter);
      });
  return true;
}

void ActiveRequest::onQuota(AccountGate::Outcome Outcome, Duration RetryAfter) {
  m_QuotaWait.reset();
  switch (Outcome) {
  case AccountGate::Outcome::Granted:
    m_HasQuotaToken = true;
    if (auto Refused = m_NeedsConfirmedAccounts ? m_Owner.checkAccountsAge()
                                                : std::nullopt)
      refuse(std::move(*Refused));
    else
      start();
    return;
  case AccountGate::Outcome::Denied: {
    std::uniform_int_distribution<Duration::rep> Spread(
        0, Duration(DeniedReturnSpread).count());
    refuse(
        {quotaExceededResponse(RetryAfter + Duration(Spread(m_Owner.m_Engine))),
         "over_quota"});
    return;
  }
  case AccountGate::Outcome::Unanswered:
    refuse({notExecutedResponse("the quota of the account cannot be checked",
                                UnconfirmedRetryAfter),
            "unchecked_quota"});
  }
}

void ActiveRequest::refuse(Dispatcher::Refusal Refused) {
  const auto Self = shared_from_this();
  m_Self.reset();
  m_Owner.logRefusal(m_RequestTemplate, Refused, m_Account);
  const auto OnResponse = std::exchange(m_OnResponse, nullptr);
  leaveFlight();
  OnResponse(std::move(Refused.m_Response));
}

void ActiveRequest::releaseQuota() {
  if (m_QuotaWait)
    m_Owner.m_AccountGate.cancel(m_QuotaId, *m_QuotaWait);
  m_QuotaWait.reset();
  if (std::exchange(m_HasQuotaToken, false) && noneExecuted())
    m_Owner.m_AccountGate.giveBack(m_QuotaId);
}

} // namespace ragwortdrift
