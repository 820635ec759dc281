#include "ragwortdrift/node/query_engine.hpp"

#include "query_run.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Below this number of open requests, all of them may be at slow leafs.
constexpr std::size_t MinOpenRequests = 3;
/// Time for which an unresponsive owner receives no requests.
constexpr std::chrono::milliseconds SuspectTime{500};

} // namespace

void QueryEngine::Handle::cancel() {
  if (auto Run = m_Run.lock())
    Run->cancel();
}

QueryEngine::QueryEngine(TimerService &Timers, FailureDomain Domain,
                         std::uint64_t Seed, QueryEnvironment Environment)
    : m_Timers(Timers), m_Domain(std::move(Domain)), m_Seed(Seed),
      m_Environment(std::move(Environment)), m_NextRelayId(Seed) {}

QueryEngine::~QueryEngine() = default;

void QueryEngine::update(std::shared_ptr<const ControlView> View) {
  const bool CatalogChanged = !m_View || m_View->m_Catalog != View->m_Catalog;
  const bool OwnersChanged = !m_View || m_View->m_Owners != View->m_Owners;
  m_View = std::move(View);
  if (!m_View->m_Catalog)
    return;
  if (OwnersChanged)
    m_LearnedOwners.clear();
  for (auto &[Name, Routing] : m_Routing) {
    const auto Svc = m_View->m_Catalog->m_Services.find(Name);
    if (Svc == m_View->m_Catalog->m_Services.end())
      continue;
    if (CatalogChanged) {
      Routing->m_Service = Svc->second;
      Routing->m_Replicas.update(Svc->second, m_View->m_Catalog->m_DomainsOut);
      Routing->m_Snapshots.update(Svc->second);
      Routing->m_Admission.setMax(m_View->m_Catalog->m_Limits.m_MaxInFlight);
      Routing->m_Budget.setRatio(m_View->m_Catalog->m_Limits.m_HedgeRatio);
    }
    // Also brings back owners whose SuspectTime has passed.
    updateOwners(*Routing);
  }
}

void QueryEngine::updateOwners(ServiceRouting &Routing) const {
  const auto &Partitions = Routing.m_Service->m_Partitions;
  for (std::uint32_t Index = 0; Index < Partitions.size(); ++Index) {
    const auto Owner = ownerOf(Partitions[Index].m_Key);
    Routing.m_Replicas.setOwner(
        Index,
        Owner ? std::optional(stableHash(Owner->m_Value)) : std::nullopt);
  }
}

ServiceRouting &
QueryEngine::routing(const std::shared_ptr<const Service> &Svc) {
  auto &Routing = m_Routing[Svc->m_Name];
  if (!Routing) {
    const Catalog &Current = *m_View->m_Catalog;
    Routing = std::make_unique<ServiceRouting>(
        Svc, m_Domain, m_Seed ^ stableHash(Svc->m_Name.m_Value),
        Current.m_Limits);
    Routing->m_Replicas.update(Svc, Current.m_DomainsOut);
    updateOwners(*Routing);
  }
  return *Routing;
}

std::optional<VmId> QueryEngine::ownerOf(const std::string &Partition) const {
  const auto Learned = m_LearnedOwners.find(Partition);
  const auto Published = m_View->m_Owners.find(Partition);
  if (Learned == m_LearnedOwners.end() && Published == m_View->m_Owners.end())
    return std::nullopt;
  const VmId &Owner =
      Learned != m_LearnedOwners.end() ? Learned->second : Published->second;
  const auto Activity = m_OwnerActivity.find(Owner);
  if (Activity != m_OwnerActivity.end() &&
      Activity->second.m_SuspectUntil > m_Timers.now())
    return std::nullopt;
  return Owner;
}

void QueryEngine::recordSent(const VmId &Owner, std::size_t Items) {
  OwnerActivity &Activity = m_OwnerActivity[Owner];
  if (Activity.m_OpenRequests == 0)
    Activity.m_LastProgress = m_Timers.now();
  Activity.m_OpenRequests += Items;
}

void QueryEngine::recordResponse(const VmId &Owner) {
  if (Owner.m_Value.empty())
    return;
  OwnerActivity &Activity = m_OwnerActivity[Owner];
  Activity.m_LastProgress = Activity.m_LastResponse = m_Timers.now();
  if (Activity.m_OpenRequests > 0)
    --Activity.m_OpenRequests;
  if (Activity.m_SuspectUntil <= m_Timers.now())
    return;
  Activity.m_SuspectUntil = TimePoint{};
  updateOwnersOfAllServices();
}

void QueryEngine::recordClosed(const VmId &Owner) {
  if (Owner.m_Value.empty())
    return;
  OwnerActivity &Activity = m_OwnerActivity[Owner];
  if (Activity.m_OpenRequests > 0)
    --Activity.m_OpenRequests;
}

bool QueryEngine::isUnresponsive(const VmId &Owner, Duration Timeout) const {
  const auto Activity = m_OwnerActivity.find(Owner);
  return Activity != m_OwnerActivity.end() &&
         Activity->second.m_OpenRequests >= MinOpenRequests &&
         m_Timers.now() - Activity->second.m_LastProgress >= Timeout;
}

bool QueryEngine::suspectIfUnresponsive(const VmId &Owner, Duration Timeout) {
  if (!isUnresponsive(Owner, Timeout))
    return false;
  // If no owner responds, this VM itself was delayed or is disconnected.
  // Suspecting all owners would leave none to send to.
  const TimePoint Recent = m_Timers.now() - 2 * Timeout;
  const bool OtherResponded = std::any_of(
      m_OwnerActivity.begin(), m_OwnerActivity.end(), [&](const auto &Entry) {
        return Entry.first != Owner && Entry.second.m_LastResponse > Recent;
      });
  if (!OtherResponded)
    return false;
  OwnerActivity &Activity = m_OwnerActivity[Owner];
  if (Activity.m_SuspectUntil <= m_Timers.now()) {
    Activity.m_SuspectUntil = m_Timers.now() + SuspectTime;
    updateOwnersOfAllServices();
  }
  return true;
}

void QueryEngine::updateOwnersOfAllServices() {
  for (auto &[Name, Routing] : m_Routing)
    updateOwners(*Routing);
}

void QueryEngine::setLearnedOwner(const std::string &Partition,
                                  const VmId &Owner) {
  m_LearnedOwners[Partition] = Owner;
}

void QueryEngine::removeLearnedOwner(const std::string &Partition,
                                     const VmId &Owner) {
  const auto Learned = m_LearnedOwners.find(Partition);
  if (Learned != m_LearnedOwners.end() && Learned->second == Owner)
    m_LearnedOwners.erase(Learned);
}

std::optional<Refusal> QueryEngine::check(const QueryRequest &Request) const {
  if (!m_View || !m_View->m_Catalog ||
      m_View->m_Catalog->m_Revision == Revision{0})
    return Refusal{QueryRefusalCode::NoConfiguration, true,
                   "no configuration has been received yet"};
  const Catalog &Current = *m_View->m_Catalog;
  const auto Svc = Current.m_Services.find(Request.m_Service);
  if (Svc == Current.m_Services.end())
    return Refusal{QueryRefusalCode::UnknownService, true,
                   "service " + Request.m_Service.m_Value +
                       " is not in the manifest"};
  if (Request.m_Body.size() > Current.m_Limits.m_MaxBodyBytes)
    return Refusal{QueryRefusalCode::TooLarge, true,
                   "the request body exceeds " +
                       std::to_string(Current.m_Limits.m_MaxBodyBytes) +
                       " bytes"};
  if (Request.m_Booking && Svc->second->m_Kind != ServiceKind::Single)
    return Refusal{QueryRefusalCode::BadRequest, true,
                   "a request with Rd-Repeatable: no needs a service of kind "
                   "single"};
  return std::nullopt;
}

QueryEngine::Handle QueryEngine::start(QueryRequest Request,
                                       OnOutcome Callback) {
  ++m_Counts.m_Queries;
  if (auto Reason = check(Request)) {
    ++m_Counts.m_Refused;
    Callback(std::move(*Reason));
    return {};
  }
  ServiceRouting &Routing =
      routing(m_View->m_Catalog->m_Services.at(Request.m_Service));
  const auto Admission =
      Routing.m_Admission.tryAdmit(m_Timers.now(), Request.m_Priority);
  if (!isOk(Admission)) {
    ++m_Counts.m_Refused;
    const AdmissionRefusal &Overload = errorOf(Admission);
    Callback(Refusal{QueryRefusalCode::Overloaded, true,
                     std::to_string(Overload.m_InFlight) +
                         " queries are in flight, the limit is " +
                         std::to_string(Overload.m_Limit)});
    return {};
  }
  if (Request.m_RequestId.empty())
    Request.m_RequestId =
        std::to_string(m_Seed) + "-" + std::to_string(++m_NextRequestId);
  auto Run = std::make_shared<QueryRun>(*this, Routing, std::move(Request),
                                        std::move(Callback));
  Handle Result;
  Result.m_Run = Run;
  launch(Run);
  return Result;
}

void QueryEngine::startBooking(QueryRequest Request, OnOutcome Callback) {
  ++m_Counts.m_Queries;
  if (auto Reason = check(Request)) {
    ++m_Counts.m_Refused;
    Callback(std::move(*Reason));
    return;
  }
  ServiceRouting &Routing =
      routing(m_View->m_Catalog->m_Services.at(Request.m_Service));
  if (Request.m_RequestId.empty())
    Request.m_RequestId =
        std::to_string(m_Seed) + "-" + std::to_string(++m_NextRequestId);
  launch(std::make_shared<QueryRun>(*this, Routing, std::move(Request),
                                    std::move(Callback)));
}

void QueryEngine::launch(const std::shared_ptr<QueryRun> &Run) {
  m_Runs.emplace(Run.get(), Run);
  Run->start();
}

} // namespace ragwortdrift
