#include "ragwortdrift/node/leaf_owner.hpp"

#include "owned_leaf.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// How often connections are opened ahead and leafs without lease are dropped.
constexpr std::chrono::milliseconds UpkeepInterval{100};

const Service *findService(const ControlView &View, const ServiceName &Name) {
  const auto Found = View.m_Catalog->m_Services.find(Name);
  return Found == View.m_Catalog->m_Services.end() ? nullptr
                                                   : Found->second.get();
}

const Leaf *findLeafInfo(const Service &Of, const LeafId &Id) {
  const auto Found = std::find_if(Of.m_Leafs.begin(), Of.m_Leafs.end(),
                                  [&](const Leaf &L) { return L.m_Id == Id; });
  return Found == Of.m_Leafs.end() ? nullptr : &*Found;
}

HttpRequest leafRequest(const RelayRequest &Request, const GroupName &Group) {
  HttpRequest Out{http::verb::post, "/search", 11};
  Out.set(http::field::host, "leaf");
  Out.set("Rd-Group", Group.m_Value);
  Out.set("Rd-Request-Id", Request.m_RequestId);
  if (Request.m_Snapshot)
    Out.set("Rd-Snapshot", std::to_string(Request.m_Snapshot->m_Value));
  if (Request.m_Key)
    Out.set("Idempotency-Key", Request.m_Key->m_Value);
  Out.body() = Request.m_Body;
  return Out;
}

} // namespace

void LeafOwner::Relay::cancel() {
  for (const auto &[Item, Cancel] : std::exchange(m_Cancel, {}))
    Cancel();
}

void LeafOwner::Relay::cancel(std::uint32_t Item) {
  auto Node = m_Cancel.extract(Item);
  if (!Node.empty())
    Node.mapped()();
}

LeafOwner::LeafOwner(boost::asio::io_context &Io, TimerService &Timers,
                     const LeafChart &Chart, FailureDomain Domain)
    : m_Io(Io), m_Timers(Timers), m_Chart(Chart), m_Domain(std::move(Domain)),
      m_Upkeep(Timers.every(UpkeepInterval, [this] {
        for (const auto &[Id, Owned] : m_Leafs)
          Owned->keepWarm();
      })) {}

LeafOwner::~LeafOwner() = default;

void LeafOwner::update(std::shared_ptr<const ControlView> View) {
  const bool NewCatalog = !m_View || m_View->m_Catalog != View->m_Catalog;
  m_View = std::move(View);
  if (!NewCatalog || !m_View->m_Catalog)
    return;
  const bool DomainOut = m_View->m_Catalog->m_DomainsOut.contains(m_Domain);
  std::unordered_map<LeafId, std::shared_ptr<OwnedLeaf>> Kept;
  for (const auto &[Name, Of] : m_View->m_Catalog->m_Services)
    for (const Leaf &Info : Of->m_Leafs) {
      const auto Found = m_Leafs.find(Info.m_Id);
      if (Found == m_Leafs.end())
        continue;
      Found->second->setLimits(*Of);
      Found->second->setOrderedOut(DomainOut || Info.m_Draining);
      Kept.insert(*Found);
    }
  m_Leafs = std::move(Kept);
}

RelayStatus LeafOwner::checkPartition(const RelayRequest &Request) const {
  if (!m_View || !m_View->m_Catalog)
    return RelayStatus::NotOwner;
  const auto Lease = m_View->m_Leases.find(Request.m_Partition);
  if (Lease == m_View->m_Leases.end() || Lease->second <= m_Timers.now())
    return RelayStatus::NotOwner;
  // A VM that cannot confirm its configuration may have missed that its domain
  // was taken out. It then serves only its own domain, which has nobody else.
  if (Request.m_EntryDomain != m_Domain &&
      m_View->m_FreshUntil <= m_Timers.now())
    return RelayStatus::StaleConfiguration;
  return m_View->m_Catalog->m_DomainsOut.contains(m_Domain)
             ? RelayStatus::LeafOut
             : RelayStatus::Answered;
}

std::shared_ptr<OwnedLeaf> LeafOwner::findLeaf(const RelayRequest &Request,
                                               const RelayItem &Item) {
  const Service *Of = findService(*m_View, Request.m_Service);
  const Leaf *Info = Of ? findLeafInfo(*Of, Item.m_Leaf) : nullptr;
  if (!Info || Info->m_Draining ||
      Of->m_Partitions[Info->m_Partition].m_Key != Request.m_Partition)
    return nullptr;
  auto &Owned = m_Leafs[Item.m_Leaf];
  if (!Owned) {
    auto &Shared = m_Services[Of->m_Name];
    if (!Shared)
      Shared = std::make_shared<OwnedService>(Of->m_ServiceTime);
    Owned = std::make_shared<OwnedLeaf>(m_Io, m_Timers, m_Chart, *Of, *Info,
                                        Shared);
  }
  if (!Item.m_WarmBootId.empty())
    Owned->setKnownWarm(Item.m_WarmBootId);
  return Owned;
}

void LeafOwner::refuse(const std::shared_ptr<Relay> &Handle,
                       const std::string &Partition, std::uint32_t Item,
                       RelayStatus Status, const OnAnswer &Fn) {
  Handle->m_Cancel.emplace(Item, [] {});
  RelayAnswer Refused;
  Refused.m_Item = Item;
  Refused.m_Status = Status;
  if (Status == RelayStatus::NotOwner && m_View) {
    const auto Holder = m_View->m_Owners.find(Partition);
    if (Holder != m_View->m_Owners.end())
      Refused.m_Holder = Holder->second;
  }
  boost::asio::post(m_Io, [Weak = std::weak_ptr(Handle), Fn, Refused] {
    const auto Open = Weak.lock();
    if (Open && Open->m_Cancel.erase(Refused.m_Item))
      Fn(Refused);
  });
}

void LeafOwner::startItem(const std::shared_ptr<Relay> &Handle,
                          const RelayRequest &Request, const RelayItem &Item,
                          const OnAnswer &Fn) {
  const std::shared_ptr<OwnedLeaf> Target = findLeaf(Request, Item);
  if (!Target) {
    refuse(Handle, Request.m_Partition, Item.m_Item, RelayStatus::LeafOut, Fn);
    return;
  }
  const Service &Of = *findService(*m_View, Request.m_Service);
  auto Work = std::make_unique<OwnedLeaf::Work>();
  Work->m_Answer.m_Item = Item.m_Item;
  Work->m_Deadline = m_Timers.now() + Request.m_TimeLeft;
  Work->m_Repeatable = !Request.m_Key;
  Work->m_LastReplica = Item.m_LastReplica;
  Work->m_Request =
      leafRequest(Request, findLeafInfo(Of, Item.m_Leaf)->m_Group);
  Work->m_Fn = [this, Weak = std::weak_ptr(Handle), Fn](RelayAnswer Answer) {
    // Posted, because a refusal by the gate comes within submit().
    boost::asio::post(m_Io, [Weak, Fn, Answer = std::move(Answer)]() mutable {
      const auto Open = Weak.lock();
      if (Open && Open->m_Cancel.erase(Answer.m_Item))
        Fn(std::move(Answer));
    });
  };
  const GateTicket Ticket = Target->submit(std::move(Work));
  Handle->m_Cancel.emplace(Item.m_Item, [Leaf = std::weak_ptr(Target), Ticket] {
    if (const auto Owned = Leaf.lock())
      Owned->cancel(Ticket);
  });
}

std::shared_ptr<LeafOwner::Relay> LeafOwner::start(const RelayRequest &Request,
                                                   const OnAnswer &Fn) {
  auto Handle = std::make_shared<Relay>();
  const RelayStatus Allowed = checkPartition(Request);
  for (const RelayItem &Item : Request.m_Items) {
    if (Allowed == RelayStatus::Answered)
      startItem(Handle, Request, Item, Fn);
    else
      refuse(Handle, Request.m_Partition, Item.m_Item, Allowed, Fn);
  }
  return Handle;
}

std::size_t LeafOwner::inFlight(const std::string &Partition) const {
  std::size_t Sum = 0;
  for (const auto &[Id, Owned] : m_Leafs)
    if (Owned->partition() == Partition)
      Sum += Owned->inFlight();
  return Sum;
}

std::size_t LeafOwner::inFlight() const {
  std::size_t Sum = 0;
  for (const auto &[Id, Owned] : m_Leafs)
    Sum += Owned->inFlight();
  return Sum;
}

} // namespace ragwortdrift
