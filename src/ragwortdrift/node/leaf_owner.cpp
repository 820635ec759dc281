#include "ragwortdrift/node/leaf_owner.hpp"

#include "owned_leaf.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// Interval at which connections to leafs are opened ahead of requests.
constexpr std::chrono::milliseconds MaintenanceInterval{100};

const Service *findService(const ControlView &View, const ServiceName &Name) {
  const auto Entry = View.m_Catalog->m_Services.find(Name);
  return Entry == View.m_Catalog->m_Services.end() ? nullptr
                                                   : Entry->second.get();
}

const Leaf *findListedLeaf(const Service &Svc, const LeafId &Id) {
  const auto Entry = std::find_if(Svc.m_Leafs.begin(), Svc.m_Leafs.end(),
                                  [&](const Leaf &L) { return L.m_Id == Id; });
  return Entry == Svc.m_Leafs.end() ? nullptr : &*Entry;
}

HttpRequest makeLeafRequest(const RelayRequest &Request,
                            const GroupName &Group) {
  HttpRequest Result{http::verb::post, "/search", 11};
  Result.set(http::field::host, "leaf");
  Result.set("Rd-Group", Group.m_Value);
  Result.set("Rd-Request-Id", Request.m_RequestId);
  if (Request.m_Snapshot)
    Result.set("Rd-Snapshot", std::to_string(Request.m_Snapshot->m_Value));
  if (Request.m_Key)
    Result.set("Idempotency-Key", Request.m_Key->m_Value);
  Result.body() = Request.m_Body;
  return Result;
}

} // namespace

void LeafOwner::Relay::cancel() {
  for (const auto &[Item, CancelFunction] :
       std::exchange(m_CancelFunctions, {}))
    CancelFunction();
}

void LeafOwner::Relay::cancel(std::uint32_t Item) {
  auto Node = m_CancelFunctions.extract(Item);
  if (!Node.empty())
    Node.mapped()();
}

LeafOwner::LeafOwner(boost::asio::io_context &Io, TimerService &Timers,
                     const LeafChart &Chart, FailureDomain Domain)
    : m_Io(Io), m_Timers(Timers), m_Chart(Chart), m_Domain(std::move(Domain)),
      m_MaintenanceTimer(Timers.every(MaintenanceInterval, [this] {
        for (const auto &[Id, Target] : m_Leafs)
          Target->preconnect();
      })) {}

LeafOwner::~LeafOwner() = default;

void LeafOwner::update(std::shared_ptr<const ControlView> View) {
  const bool CatalogChanged = !m_View || m_View->m_Catalog != View->m_Catalog;
  m_View = std::move(View);
  if (!CatalogChanged || !m_View->m_Catalog)
    return;
  const bool DomainOut = m_View->m_Catalog->m_DomainsOut.contains(m_Domain);
  std::unordered_map<LeafId, std::shared_ptr<OwnedLeaf>> RemainingLeafs;
  for (const auto &[Name, Svc] : m_View->m_Catalog->m_Services)
    for (const Leaf &Info : Svc->m_Leafs) {
      const auto Entry = m_Leafs.find(Info.m_Id);
      if (Entry == m_Leafs.end())
        continue;
      Entry->second->setLimits(*Svc);
      Entry->second->setTakenOut(DomainOut || Info.m_Draining);
      RemainingLeafs.insert(*Entry);
    }
  m_Leafs = std::move(RemainingLeafs);
}

RelayStatus LeafOwner::checkPartition(const RelayRequest &Request) const {
  if (!m_View || !m_View->m_Catalog)
    return RelayStatus::NotOwner;
  const auto Lease = m_View->m_Leases.find(Request.m_Partition);
  if (Lease == m_View->m_Leases.end() || Lease->second <= m_Timers.now())
    return RelayStatus::NotOwner;
  // A VM that cannot confirm its configuration may have missed that its domain
  // was taken out. It then serves only entry VMs of its own domain, which have
  // no other owner for these leafs.
  if (Request.m_EntryDomain != m_Domain &&
      m_View->m_FreshUntil <= m_Timers.now())
    return RelayStatus::StaleConfiguration;
  return m_View->m_Catalog->m_DomainsOut.contains(m_Domain)
             ? RelayStatus::LeafOut
             : RelayStatus::Answered;
}

std::shared_ptr<OwnedLeaf> LeafOwner::findLeaf(const RelayRequest &Request,
                                               const RelayItem &Item) {
  const Service *Svc = findService(*m_View, Request.m_Service);
  const Leaf *Info = Svc ? findListedLeaf(*Svc, Item.m_Leaf) : nullptr;
  if (!Info || Info->m_Draining ||
      Svc->m_Partitions[Info->m_Partition].m_Key != Request.m_Partition)
    return nullptr;
  auto &Target = m_Leafs[Item.m_Leaf];
  if (!Target) {
    auto &OwnedSvc = m_Services[Svc->m_Name];
    if (!OwnedSvc)
      OwnedSvc = std::make_shared<OwnedService>(Svc->m_ServiceTime);
    Target = std::make_shared<OwnedLeaf>(m_Io, m_Timers, m_Chart, *Svc, *Info,
                                         OwnedSvc);
  }
  if (!Item.m_WarmBootId.empty())
    Target->setWarmProcess(Item.m_WarmBootId);
  return Target;
}

void LeafOwner::refuse(const std::shared_ptr<Relay> &Handle,
                       const std::string &Partition, std::uint32_t Item,
                       RelayStatus Status, const OnResponse &Callback) {
  Handle->m_CancelFunctions.emplace(Item, [] {});
  RelayResponse Response;
  Response.m_Item = Item;
  Response.m_Status = Status;
  if (Status == RelayStatus::NotOwner && m_View) {
    const auto Owner = m_View->m_Owners.find(Partition);
    if (Owner != m_View->m_Owners.end())
      Response.m_LeaseHolder = Owner->second;
  }
  boost::asio::post(m_Io, [Weak = std::weak_ptr(Handle), Callback, Response] {
    const auto Relay = Weak.lock();
    if (Relay && Relay->m_CancelFunctions.erase(Response.m_Item))
      Callback(Response);
  });
}

void LeafOwner::startItem(const std::shared_ptr<Relay> &Handle,
                          const RelayRequest &Request, const RelayItem &Item,
                          const OnResponse &Callback) {
  const std::shared_ptr<OwnedLeaf> Target = findLeaf(Request, Item);
  if (!Target) {
    refuse(Handle, Request.m_Partition, Item.m_Item, RelayStatus::LeafOut,
           Callback);
    return;
  }
  const Service &Svc = *findService(*m_View, Request.m_Service);
  auto LeafRequest = std::make_unique<OwnedLeaf::LeafRequest>();
  LeafRequest->m_Response.m_Item = Item.m_Item;
  LeafRequest->m_Deadline = m_Timers.now() + Request.m_TimeLeft;
  LeafRequest->m_Idempotent = !Request.m_Key;
  LeafRequest->m_LastReplica = Item.m_LastReplica;
  LeafRequest->m_Request =
      makeLeafRequest(Request, findListedLeaf(Svc, Item.m_Leaf)->m_Group);
  LeafRequest->m_Callback = [this, Weak = std::weak_ptr(Handle),
                             Callback](RelayResponse Response) {
    // Posted, because the gate may refuse before submit() returns.
    boost::asio::post(
        m_Io, [Weak, Callback, Response = std::move(Response)]() mutable {
          const auto Relay = Weak.lock();
          if (Relay && Relay->m_CancelFunctions.erase(Response.m_Item))
            Callback(std::move(Response));
        });
  };
  const GateTicket Ticket = Target->submit(std::move(LeafRequest));
  Handle->m_CancelFunctions.emplace(Item.m_Item,
                                    [Leaf = std::weak_ptr(Target), Ticket] {
                                      if (const auto Target = Leaf.lock())
                                        Target->cancel(Ticket);
                                    });
}

std::shared_ptr<LeafOwner::Relay> LeafOwner::start(const RelayRequest &Request,
                                                   const OnResponse &Callback) {
  auto Handle = std::make_shared<Relay>();
  const RelayStatus PartitionStatus = checkPartition(Request);
  for (const RelayItem &Item : Request.m_Items) {
    if (PartitionStatus == RelayStatus::Answered)
      startItem(Handle, Request, Item, Callback);
    else
      refuse(Handle, Request.m_Partition, Item.m_Item, PartitionStatus,
             Callback);
  }
  return Handle;
}

std::size_t LeafOwner::inFlight(const std::string &Partition) const {
  std::size_t Sum = 0;
  for (const auto &[Id, Target] : m_Leafs)
    if (Target->partition() == Partition)
      Sum += Target->inFlight();
  return Sum;
}

std::size_t LeafOwner::inFlight() const {
  std::size_t Sum = 0;
  for (const auto &[Id, Target] : m_Leafs)
    Sum += Target->inFlight();
  return Sum;
}

} // namespace ragwortdrift
