#include "ragwortdrift/node/leaf_owner.hpp"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

#include <algorithm>
#include <charconv>
#include <deque>

namespace ragwortdrift {

namespace http = boost::beast::http;

namespace {

/// Requests that may wait at the owner for each slot of a leaf.
constexpr std::size_t QueuePerSlot = 2;

std::uint64_t numberOr(std::string_view Text, std::uint64_t Default) {
  std::uint64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc{} ? Value : Default;
}

std::string_view headerOf(const HttpResponse &Response, const char *Name) {
  const auto Value = Response[Name];
  return {Value.data(), Value.size()};
}

std::vector<SnapshotVersion> parseVersions(std::string_view Text) {
  std::vector<SnapshotVersion> Versions;
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    if (const std::uint64_t Version = numberOr(Text.substr(0, Comma), 0))
      Versions.emplace_back(Version);
    Text = Comma == std::string_view::npos ? std::string_view{}
                                           : Text.substr(Comma + 1);
  }
  return Versions;
}

double parseLoad(std::string_view Text) {
  double Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

LeafStatus statusOf(const HttpResponse &Response) {
  const unsigned Status = Response.result_int();
  if (Status == 409)
    return LeafStatus::VersionNotOffered;
  if (headerOf(Response, "Rd-Not-Run") == "1")
    return headerOf(Response, "Rd-Leaving") == "1" ? LeafStatus::Draining
                                                   : LeafStatus::Shed;
  return Status >= 200 && Status < 500 ? LeafStatus::Answered
                                       : LeafStatus::MayHaveRun;
}

void readAnswer(HttpResponse Response, LeafAnswer &Answer) {
  Answer.m_HttpStatus = static_cast<std::uint16_t>(Response.result_int());
  Answer.m_Status = statusOf(Response);
  Answer.m_Snapshot =
      SnapshotVersion{numberOr(headerOf(Response, "Rd-Snapshot"), 0)};
  Answer.m_Offered = parseVersions(headerOf(Response, "Rd-Snapshots"));
  Answer.m_Load = parseLoad(headerOf(Response, "Rd-Load"));
  Answer.m_Cold = headerOf(Response, "Rd-Cold") == "1";
  Answer.m_Leaving = headerOf(Response, "Rd-Leaving") == "1";
  Answer.m_Body = std::move(Response.body());
}

LeafStatus statusOf(const HttpError &Error) {
  return Error.m_MaybeSent ? LeafStatus::MayHaveRun : LeafStatus::ConnectFailed;
}

} // namespace

/// One leaf under this owner.
class OwnedLeaf : public std::enable_shared_from_this<OwnedLeaf> {
public:
  struct Work {
    HttpRequest m_Request;
    TimePoint m_Deadline;
    TimePoint m_Queued;
    LeafAnswer m_Answer;
    LeafOwner::OnAnswer m_Fn;
    std::shared_ptr<LeafConnections::Call> m_Call;
    bool m_Cancelled = false;
  };

  OwnedLeaf(boost::asio::io_context &Io, TimerService &Timers,
            const Service &Of, const Leaf &Info)
      : m_Timers(Timers), m_Slots(Of.m_Slots),
        m_Connections(std::make_shared<LeafConnections>(Io, Info.m_Address,
                                                        Of.m_Connections)) {
    m_Connections->warm(Of.m_Slots);
  }

  void submit(const std::shared_ptr<Work> &Item) {
    Item->m_Queued = m_Timers.now();
    if (m_Running < m_Slots) {
      send(Item);
    } else if (m_Queue.size() < m_Slots * QueuePerSlot) {
      m_Queue.push_back(Item);
    } else {
      refuse(*Item, LeafStatus::QueueFull);
    }
  }

  void cancel(const std::shared_ptr<Work> &Item) {
    Item->m_Cancelled = true;
    if (Item->m_Call) {
      Item->m_Call->cancel();
      ended(Item);
    } else {
      std::erase(m_Queue, Item);
    }
  }

  std::size_t inFlight() const { return m_Running + m_Queue.size(); }

private:
  void refuse(Work &Item, LeafStatus Status) {
    Item.m_Answer.m_Status = Status;
    Item.m_Fn(std::move(Item.m_Answer));
  }

  void send(const std::shared_ptr<Work> &Item) {
    const TimePoint Now = m_Timers.now();
    if (Now >= Item->m_Deadline) {
      refuse(*Item, LeafStatus::DeadlineBeforeSend);
      return;
    }
    ++m_Running;
    const Duration TimeLeft = Item->m_Deadline - Now;
    Item->m_Answer.m_QueueTime = Now - Item->m_Queued;
    Item->m_Request.set("Rd-Deadline-Ms", std::to_string(std::max<std::int64_t>(
                                              1, TimeLeft.count() / 1000)));
    Item->m_Call =
        m_Connections->start(std::move(Item->m_Request), TimeLeft,
                             [Self = shared_from_this(), Item,
                              Now](Result<HttpResponse, HttpError> R) {
                               Self->answered(Item, Now, std::move(R));
                             });
  }

  void answered(const std::shared_ptr<Work> &Item, TimePoint Sent,
                Result<HttpResponse, HttpError> Outcome) {
    LeafAnswer &Answer = Item->m_Answer;
    Answer.m_LeafTime = m_Timers.now() - Sent;
    if (isOk(Outcome))
      readAnswer(valueOf(std::move(Outcome)), Answer);
    else
      Answer.m_Status = statusOf(errorOf(Outcome));
    ended(Item);
    if (!Item->m_Cancelled)
      Item->m_Fn(std::move(Answer));
  }

  void ended(const std::shared_ptr<Work> &Item) {
    Item->m_Call = nullptr;
    --m_Running;
    while (m_Running < m_Slots && !m_Queue.empty()) {
      auto Next = std::move(m_Queue.front());
      m_Queue.pop_front();
      send(Next);
    }
  }

  TimerService &m_Timers;
  std::size_t m_Slots;
  std::shared_ptr<LeafConnections> m_Connections;
  std::size_t m_Running = 0;
  std::deque<std::shared_ptr<Work>> m_Queue;
};

void LeafOwner::Relay::cancel() {
  for (const auto &Cancel : std::exchange(m_Cancel, {}))
    Cancel();
}

LeafOwner::LeafOwner(boost::asio::io_context &Io, TimerService &Timers,
                     FailureDomain Domain)
    : m_Io(Io), m_Timers(Timers), m_Domain(std::move(Domain)) {}

LeafOwner::~LeafOwner() = default;

void LeafOwner::update(std::shared_ptr<const ControlView> View) {
  m_View = std::move(View);
}

LeafStatus LeafOwner::checkPartition(const RelayRequest &Request) const {
  if (!m_View || !m_View->m_Catalog)
    return LeafStatus::NotOwner;
  const auto Lease = m_View->m_Leases.find(Request.m_Partition);
  if (Lease == m_View->m_Leases.end() || Lease->second <= m_Timers.now())
    return LeafStatus::NotOwner;
  // A VM that cannot confirm its configuration may have missed that its domain
  // was taken out. It serves its own domain only, which has nobody else.
  if (Request.m_EntryDomain != m_Domain &&
      m_View->m_FreshUntil <= m_Timers.now())
    return LeafStatus::StaleConfiguration;
  if (m_View->m_Catalog->m_DomainsOut.contains(m_Domain))
    return LeafStatus::LeafOut;
  return LeafStatus::Answered;
}

OwnedLeaf *LeafOwner::findLeaf(const RelayRequest &Request, const LeafId &Id) {
  const auto Found = m_View->m_Catalog->m_Services.find(Request.m_Service);
  if (Found == m_View->m_Catalog->m_Services.end())
    return nullptr;
  const Service &Of = *Found->second;
  const auto Info = std::find_if(Of.m_Leafs.begin(), Of.m_Leafs.end(),
                                 [&](const Leaf &L) { return L.m_Id == Id; });
  if (Info == Of.m_Leafs.end() ||
      Of.m_Partitions[Info->m_Partition].m_Key != Request.m_Partition ||
      Info->m_Draining)
    return nullptr;
  auto &Owned = m_Leafs[Id];
  if (!Owned)
    Owned = std::make_shared<OwnedLeaf>(m_Io, m_Timers, Of, *Info);
  return Owned.get();
}

std::shared_ptr<LeafOwner::Relay> LeafOwner::start(const RelayRequest &Request,
                                                   OnAnswer Fn) {
  auto Handle = std::make_shared<Relay>();
  const LeafStatus Allowed = checkPartition(Request);
  for (const RelayItem &Item : Request.m_Items) {
    OwnedLeaf *Target = Allowed == LeafStatus::Answered
                            ? findLeaf(Request, Item.m_Leaf)
                            : nullptr;
    if (!Target) {
      LeafAnswer Refused;
      Refused.m_Item = Item.m_Item;
      Refused.m_Status =
          Allowed == LeafStatus::Answered ? LeafStatus::LeafOut : Allowed;
      Fn(std::move(Refused));
      continue;
    }
    auto Work = std::make_shared<OwnedLeaf::Work>();
    Work->m_Answer.m_Item = Item.m_Item;
    Work->m_Deadline = m_Timers.now() + Request.m_TimeLeft;
    Work->m_Fn = Fn;
    Work->m_Request = HttpRequest{http::verb::post, "/search", 11};
    Work->m_Request.set(http::field::host, "leaf");
    Work->m_Request.set("Rd-Request-Id", Request.m_RequestId);
    if (Request.m_Snapshot)
      Work->m_Request.set("Rd-Snapshot",
                          std::to_string(Request.m_Snapshot->m_Value));
    if (Request.m_Key)
      Work->m_Request.set("Idempotency-Key", Request.m_Key->m_Value);
    Work->m_Request.body() = Request.m_Body;
    Handle->m_Cancel.push_back(
        [Leaf = Target->weak_from_this(), Weak = std::weak_ptr(Work)] {
          const auto Owned = Leaf.lock();
          const auto Open = Weak.lock();
          if (Owned && Open)
            Owned->cancel(Open);
        });
    Target->submit(Work);
  }
  return Handle;
}

std::size_t LeafOwner::inFlight() const {
  std::size_t Sum = 0;
  for (const auto &[Id, Owned] : m_Leafs)
    Sum += Owned->inFlight();
  return Sum;
}

} // namespace ragwortdrift
