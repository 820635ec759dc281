#include "ragwortdrift/node/query_engine.hpp"

#include "query_run.hpp"

#include "ragwortdrift/base/hash.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Fewer open requests may all be stragglers.
constexpr std::size_t MinOpenForSilence = 3;
/// How long a silent owner gets no requests; then it is tried again.
constexpr std::chrono::milliseconds SuspectTime{500};

} // namespace

void QueryEngine::Handle::cancel() {
  if (auto Run = m_Run.lock())
    Run->cancel();
}

QueryEngine::QueryEngine(TimerService &Timers, FailureDomain Domain,
                         std::uint64_t Seed, QueryEnvironment Environment)
    : m_Timers(Timers), m_Domain(std::move(Domain)), m_Seed(Seed),
      m_Environment(std::move(Environment)), m_NextRelay(Seed) {}

QueryEngine::~QueryEngine() = default;

void QueryEngine::update(std::shared_ptr<const ControlView> View) {
  const bool NewCatalog = !m_View || m_View->m_Catalog != View->m_Catalog;
  const bool NewOwners = !m_View || m_View->m_Owners != View->m_Owners;
  m_View = std::move(View);
  if (!m_View->m_Catalog)
    return;
  if (NewOwners)
    m_LearntOwners.clear();
  for (auto &[Name, Routing] : m_Routing) {
    const auto Found = m_View->m_Catalog->m_Services.find(Name);
    if (Found == m_View->m_Catalog->m_Services.end())
      continue;
    if (NewCatalog) {
      Routing->m_Service = Found->second;
      Routing->m_Replicas.update(Found->second,
                                 m_View->m_Catalog->m_DomainsOut);
      Routing->m_Snapshots.update(Found->second);
      Routing->m_Admission.setMax(m_View->m_Catalog->m_Limits.m_MaxInFlight);
      Routing->m_Budget.setRatio(m_View->m_Catalog->m_Limits.m_HedgeRatio);
    }
    // Also ends the suspicion of owners whose time is over.
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

ServiceRouting &QueryEngine::routing(const std::shared_ptr<const Service> &Of) {
  auto &Routing = m_Routing[Of->m_Name];
  if (!Routing) {
    const Catalog &Current = *m_View->m_Catalog;
    Routing = std::make_unique<ServiceRouting>(
        Of, m_Domain, m_Seed ^ stableHash(Of->m_Name.m_Value),
        Current.m_Limits);
    Routing->m_Replicas.update(Of, Current.m_DomainsOut);
    updateOwners(*Routing);
  }
  return *Routing;
}

std::optional<VmId> QueryEngine::ownerOf(const std::string &Partition) const {
  const auto Learnt = m_LearntOwners.find(Partition);
  const auto Known = m_View->m_Owners.find(Partition);
  if (Learnt == m_LearntOwners.end() && Known == m_View->m_Owners.end())
    return std::nullopt;
  const VmId &Owner =
      Learnt != m_LearntOwners.end() ? Learnt->second : Known->second;
  const auto Watch = m_Watches.find(Owner);
  if (Watch != m_Watches.end() && Watch->second.m_SuspectUntil > m_Timers.now())
    return std::nullopt;
  return Owner;
}

void QueryEngine::noteSent(const VmId &Owner, std::size_t Items) {
  OwnerWatch &Watch = m_Watches[Owner];
  if (Watch.m_Open == 0)
    Watch.m_LastSign = m_Timers.now();
  Watch.m_Open += Items;
}

void QueryEngine::noteAnswer(const VmId &Owner) {
  if (Owner.m_Value.empty())
    return;
  OwnerWatch &Watch = m_Watches[Owner];
  Watch.m_LastSign = Watch.m_LastAnswer = m_Timers.now();
  if (Watch.m_Open > 0)
    --Watch.m_Open;
  if (Watch.m_SuspectUntil <= m_Timers.now())
    return;
  Watch.m_SuspectUntil = TimePoint{};
  updateAllOwners();
}

void QueryEngine::noteClosed(const VmId &Owner) {
  if (Owner.m_Value.empty())
    return;
  OwnerWatch &Watch = m_Watches[Owner];
  if (Watch.m_Open > 0)
    --Watch.m_Open;
}

bool QueryEngine::silent(const VmId &Owner, Duration Limit) const {
  const auto Watch = m_Watches.find(Owner);
  return Watch != m_Watches.end() &&
         Watch->second.m_Open >= MinOpenForSilence &&
         m_Timers.now() - Watch->second.m_LastSign >= Limit;
}

bool QueryEngine::noteSilence(const VmId &Owner, Duration Limit) {
  if (!silent(Owner, Limit))
    return false;
  // When nobody answers, this VM itself was held up or is cut off, and passing
  // all owners over would leave nobody to ask.
  const TimePoint Recent = m_Timers.now() - 2 * Limit;
  const bool HeardOther =
      std::any_of(m_Watches.begin(), m_Watches.end(), [&](const auto &Each) {
        return Each.first != Owner && Each.second.m_LastAnswer > Recent;
      });
  if (!HeardOther)
    return false;
  OwnerWatch &Watch = m_Watches[Owner];
  if (Watch.m_SuspectUntil <= m_Timers.now()) {
    Watch.m_SuspectUntil = m_Timers.now() + SuspectTime;
    updateAllOwners();
  }
  return true;
}

void QueryEngine::updateAllOwners() {
  for (auto &[Name, Routing] : m_Routing)
    updateOwners(*Routing);
}

void QueryEngine::learnOwner(const std::string &Partition, const VmId &Owner) {
  m_LearntOwners[Partition] = Owner;
}

void QueryEngine::forgetOwner(const std::string &Partition, const VmId &Owner) {
  const auto Learnt = m_LearntOwners.find(Partition);
  if (Learnt != m_LearntOwners.end() && Learnt->second == Owner)
    m_LearntOwners.erase(Learnt);
}

std::optional<Refusal> QueryEngine::check(const QueryRequest &Request) const {
  if (!m_View || !m_View->m_Catalog ||
      m_View->m_Catalog->m_Revision == Revision{0})
    return Refusal{QueryRefusalCode::NoConfiguration, true,
                   "no configuration was received yet"};
  const Catalog &Current = *m_View->m_Catalog;
  const auto Found = Current.m_Services.find(Request.m_Service);
  if (Found == Current.m_Services.end())
    return Refusal{QueryRefusalCode::UnknownService, true,
                   "service " + Request.m_Service.m_Value +
                       " is not in the manifest"};
  if (Request.m_Body.size() > Current.m_Limits.m_MaxBodyBytes)
    return Refusal{QueryRefusalCode::TooLarge, true,
                   "the body exceeds " +
                       std::to_string(Current.m_Limits.m_MaxBodyBytes) +
                       " bytes"};
  if (Request.m_Booking && Found->second->m_Kind != ServiceKind::Single)
    return Refusal{QueryRefusalCode::BadRequest, true,
                   "a request that is not repeatable needs a service of kind "
                   "single"};
  return std::nullopt;
}

QueryEngine::Handle QueryEngine::start(QueryRequest Request, OnOutcome Fn) {
  ++m_Counts.m_Queries;
  if (auto Why = check(Request)) {
    ++m_Counts.m_Refused;
    Fn(std::move(*Why));
    return {};
  }
  ServiceRouting &Routing =
      routing(m_View->m_Catalog->m_Services.at(Request.m_Service));
  const auto Admitted =
      Routing.m_Admission.tryEnter(m_Timers.now(), Request.m_Priority);
  if (!isOk(Admitted)) {
    ++m_Counts.m_Refused;
    const AdmissionRefusal &Full = errorOf(Admitted);
    Fn(Refusal{QueryRefusalCode::Overloaded, true,
               std::to_string(Full.m_InFlight) +
                   " queries are in flight, the limit is " +
                   std::to_string(Full.m_Limit)});
    return {};
  }
  if (Request.m_RequestId.empty())
    Request.m_RequestId =
        std::to_string(m_Seed) + "-" + std::to_string(++m_NextRequestId);
  auto Run = std::make_shared<QueryRun>(*this, Routing, std::move(Request),
                                        std::move(Fn));
  Handle Result;
  Result.m_Run = Run;
  launch(Run);
  return Result;
}

void QueryEngine::startBooking(QueryRequest Request, OnOutcome Fn) {
  ++m_Counts.m_Queries;
  if (auto Why = check(Request)) {
    ++m_Counts.m_Refused;
    Fn(std::move(*Why));
    return;
  }
  ServiceRouting &Routing =
      routing(m_View->m_Catalog->m_Services.at(Request.m_Service));
  if (Request.m_RequestId.empty())
    Request.m_RequestId =
        std::to_string(m_Seed) + "-" + std::to_string(++m_NextRequestId);
  launch(std::make_shared<QueryRun>(*this, Routing, std::move(Request),
                                    std::move(Fn)));
}

void QueryEngine::launch(const std::shared_ptr<QueryRun> &Run) {
  m_Runs.emplace(Run.get(), Run);
  Run->start();
}

} // namespace ragwortdrift
