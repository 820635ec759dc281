#include "ragwortdrift/fleet/entry_control.hpp"

#include "ragwortdrift/base/log.hpp"

#include <algorithm>

namespace ragwortdrift {

namespace {

/// Core VMs that are watched at once. Each may be the only one that is not cut
/// off, and there are few.
constexpr std::size_t MaxWatches = 5;
/// A core VM that restarts is back within a second.
constexpr std::chrono::milliseconds WatchRetry{250};
/// Observations of leafs that are older are of no use.
constexpr std::chrono::milliseconds ObservationTimeout{500};
/// A watch is opened anew after this, since a call needs a deadline.
constexpr std::chrono::hours WatchTime{1};
/// How late the silence of the list is noticed beyond ListSilence.
constexpr std::chrono::milliseconds ListCheckInterval{500};
/// An entry VM that has just started reads the list itself if no core VM has
/// sent it within this after the first state. A new leader reads the list as
/// soon as it sends states.
constexpr std::chrono::milliseconds FirstListWait{150};
/// A core VM that has newer content than this VM holds sends it after this. Its
/// usual source has it within a heartbeat of the replicated log, 75 ms.
constexpr std::chrono::milliseconds SourceWait{150};
/// For this long after its start an entry VM does not wait for its source: it
/// may have been the first to answer and have an old state.
constexpr std::chrono::seconds NewTime{2};
/// Without news of the list for this long an entry VM reads it itself. Core
/// VMs report every 500 ms, and elect a new leader within a second.
constexpr std::chrono::milliseconds ListSilence{2500};
/// Leafs that are gone show on their connections at once, so the list is read
/// only for new ones and for those about to leave, which serve on for seconds.
constexpr std::chrono::milliseconds OwnListInterval{4000};
/// Share of the list's rate for all entry VMs that read it themselves; the
/// regular reader has the rest.
constexpr double OwnListRateShare = 0.5;

} // namespace

EntryControl::EntryControl(boost::asio::io_context &Io, FleetSettings Settings,
                           LeafListFormat Format, RouteConfigReader Reader,
                           EntryUpdates Updates)
    : m_Settings(std::move(Settings)), m_Driver(Io, m_Timers),
      m_PeerClient(Io, m_Timers, m_Settings.m_Key, m_Settings.m_Vm),
      m_List(Io, m_Settings.m_LeafList, std::move(Format)),
      m_Reader(std::move(Reader)), m_Updates(std::move(Updates)) {}

EntryControl::~EntryControl() = default;

void EntryControl::start() {
  m_Driver.start();
  m_StartedAt = m_Timers.now();
  m_ListConfirmedAt = m_Timers.now();
  m_ListAskedAt = m_Timers.now();
  setCores(m_Settings.m_Cores);
  m_Periodic.push_back(
      m_Timers.every(ListCheckInterval, [this] { checkList(); }));
}

void EntryControl::setCores(const std::vector<Endpoint> &Cores) {
  for (const Endpoint &Core : Cores)
    m_Cores.insert(formatEndpoint(Core));
  watchMore();
}

void EntryControl::tellObservations(std::vector<LeafObservation> Observed) {
  const auto To = parseEndpoint(m_Source);
  if (!To)
    return;
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      To->m_Ip, To->m_Port, "/observed",
      encode(ObservationReport{false, std::move(Observed)}), ObservationTimeout,
      [](const std::string &) {},
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

void EntryControl::watchMore() {
  for (const std::string &Core : m_Cores) {
    if (m_Watches.contains(Core))
      continue;
    if (m_Watches.size() >= MaxWatches) {
      // A core VM that does not answer makes room for another one.
      const auto Dead =
          std::find_if(m_Watches.begin(), m_Watches.end(),
                       [](const auto &W) { return !W.second.m_Connected; });
      if (Dead == m_Watches.end())
        return;
      m_Cores.erase(Dead->first);
      m_Watches.erase(Dead);
      watchMore();
      return;
    }
    openWatch(Core);
  }
}

void EntryControl::openWatch(const std::string &Address) {
  const auto To = parseEndpoint(Address);
  if (!To) {
    logEvent(LogSeverity::Warning, "core.bad_address", {{"core", Address}});
    return;
  }
  const WatchRequest Request{Address == m_Source ? WatchKind::Content
                                                 : WatchKind::Stamps,
                             m_Revision, m_ListStamp};
  Watch &Link = m_Watches[Address];
  Link.m_Call = m_PeerClient.open(
      To->m_Ip, To->m_Port, "/watch", encode(Request), WatchTime,
      [this, Address](const std::string &Message) {
        auto Report = decode<CoreReport>(Message);
        if (!isOk(Report)) {
          logEvent(LogSeverity::Warning, "core.bad_report",
                   {{"core", Address}});
          return;
        }
        onReport(Address, valueOf(std::move(Report)));
      },
      [this, Address](const Result<Done, PeerError> &Ended) {
        onWatchEnd(Address, Ended);
      });
}

void EntryControl::onWatchEnd(const std::string &Address,
                              const Result<Done, PeerError> &Ended) {
  const auto Found = m_Watches.find(Address);
  if (Found == m_Watches.end())
    return;
  Found->second.m_Retry =
      m_Timers.after(WatchRetry, [this, Address] { openWatch(Address); });
  if (!std::exchange(Found->second.m_Connected, false))
    return;
  logEvent(LogSeverity::Warning, "core.lost",
           {{"core", Address},
            {"cause", isOk(Ended) ? std::string_view("ended")
                                  : nameOf(errorOf(Ended).m_Code)}});
  if (Address != m_Source)
    return;
  m_Source.clear();
  for (const auto &[Other, Link] : m_Watches)
    if (Link.m_Connected) {
      setSource(Other);
      return;
    }
}

void EntryControl::onReport(const std::string &From, CoreReport Report) {
  const auto Found = m_Watches.find(From);
  if (Found == m_Watches.end())
    return;
  Watch &Link = Found->second;
  Link.m_Content = {Report.m_Domain, Report.m_Revision, Report.m_List};
  if (!std::exchange(Link.m_Connected, true))
    logEvent(LogSeverity::Info, "core.connected",
             {{"core", From}, {"revision", Report.m_Revision}});
  if (Report.m_State)
    takeState(From, *Report.m_State);
  if (Report.m_Leafs && Report.m_List > m_ListStamp) {
    m_HasList = true;
    m_ListStamp = Report.m_List;
    m_Updates.m_Leafs(std::move(*Report.m_Leafs));
  }
  if (Report.m_Estimates)
    m_Updates.m_Estimates(std::move(*Report.m_Estimates));
  if (Report.m_ListAge && Report.m_List == m_ListStamp)
    m_ListConfirmedAt =
        std::max(m_ListConfirmedAt, m_Timers.now() - *Report.m_ListAge);
  // Different core VMs may have seen different entry VMs.
  takeEntryCount(Report.m_EntryCount);
  const std::size_t Known = m_Cores.size();
  m_Cores.insert(Report.m_Cores.begin(), Report.m_Cores.end());
  considerSource(From);
  if (m_Cores.size() != Known)
    watchMore();
}

ContentVersion EntryControl::held() const {
  return {m_Settings.m_Domain, m_Revision, m_ListStamp};
}

SourceChange EntryControl::reviewSource(const Watch &Link) const {
  const auto Source = m_Watches.find(m_Source);
  const bool IsNew = !m_HasList || m_Timers.now() - m_StartedAt < NewTime;
  return ragwortdrift::reviewSource(
      Link.m_Content,
      Source == m_Watches.end() ? nullptr : &Source->second.m_Content, held(),
      IsNew);
}

void EntryControl::considerSource(const std::string &Address) {
  if (Address == m_Source || m_SourceTimer)
    return;
  const SourceChange Change = reviewSource(m_Watches[Address]);
  if (Change == SourceChange::Keep)
    return;
  // Not within a report, since the change ends its watch.
  const Duration Delay =
      Change == SourceChange::Now ? Duration{0} : Duration{SourceWait};
  m_SourceTimer = m_Timers.after(Delay, [this, Address] {
    m_SourceTimer.reset();
    const auto Found = m_Watches.find(Address);
    if (Found != m_Watches.end() && Found->second.m_Connected &&
        reviewSource(Found->second) != SourceChange::Keep)
      setSource(Address);
  });
}

void EntryControl::setSource(const std::string &Address) {
  const std::string Former = std::exchange(m_Source, Address);
  logEvent(LogSeverity::Info, "core.source",
           {{"core", Address},
            {"former", Former},
            {"revision", m_Revision},
            {"its_revision", m_Watches[Address].m_Content.m_Revision}});
  if (m_Watches.contains(Former))
    openWatch(Former);
  openWatch(Address);
}

void EntryControl::takeEntryCount(std::size_t Count) {
  if (Count <= m_EntryCount)
    return;
  m_EntryCount = Count;
  m_Updates.m_EntryCount(Count);
}

void EntryControl::takeState(const std::string &From,
                             const RoutingState &State) {
  if (State.m_Revision <= m_Revision)
    return;
  if (m_Revision == 0)
    m_FirstListTimer = m_Timers.after(FirstListWait, [this] {
      if (!m_HasList)
        readList();
    });
  m_Revision = State.m_Revision;
  takeEntryCount(State.m_EntryCount);
  m_Updates.m_DomainsOut(State.m_DomainsOut);
  logEvent(LogSeverity::Info, "state.taken",
           {{"core", From},
            {"revision", m_Revision},
            {"version", State.m_Config.m_Version},
            {"domains_out", State.m_DomainsOut.size()}});
  if (State.m_Config.m_Version <= m_Version)
    return;
  auto Config = m_Reader(State.m_Config.m_Text);
  if (!isOk(Config)) {
    logEvent(LogSeverity::Error, "config.unreadable",
             {{"version", State.m_Config.m_Version},
              {"fault", describe(errorOf(Config).front())}});
    return;
  }
  m_Version = State.m_Config.m_Version;
  m_Updates.m_Routes(
      std::make_shared<const RouteTable>(valueOf(std::move(Config))));
}

void EntryControl::checkList() {
  const TimePoint Now = m_Timers.now();
  const double Calls = static_cast<double>(m_CallsOfLastRead * m_EntryCount);
  const Duration ByRate(static_cast<Duration::rep>(
      1e6 * Calls / (m_Settings.m_LeafListRate * OwnListRateShare)));
  if (Now - m_ListConfirmedAt < ListSilence ||
      Now - m_ListAskedAt < std::max<Duration>(OwnListInterval, ByRate))
    return;
  readList();
}

void EntryControl::readList() {
  if (m_List.reading())
    return;
  m_ListAskedAt = m_Timers.now();
  const std::uint64_t Before = m_List.calls();
  m_List.read([this, Before](Result<LeafList, ListError> Outcome) {
    m_CallsOfLastRead = std::max<std::uint64_t>(m_List.calls() - Before, 1);
    if (!isOk(Outcome))
      return;
    m_HasList = true;
    logEvent(LogSeverity::Info, "leaf_list.read_here",
             {{"leafs", valueOf(Outcome).size()}});
    m_Updates.m_Leafs(valueOf(std::move(Outcome)));
  });
}

} // namespace ragwortdrift
