#include "ragwortdrift/fleet/entry_control.hpp"

#include "ragwortdrift/base/hash.hpp"
#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/fleet/list_updates.hpp"
#include "ragwortdrift/fleet/state_updates.hpp"

#include <algorithm>
#include <random>

namespace ragwortdrift {

namespace {

/// Maximum number of core VMs watched at once. All core VMs of the current
/// deployments are watched, since any one of them may be the only one that is
/// still reachable; with more of them each takes fewer connections.
constexpr std::size_t MaxWatches = 10;
/// A restarted core VM is available again within a second.
constexpr std::chrono::milliseconds WatchRetryDelay{250};
/// Delay for an address that only the settings name while core VMs are
/// connected. Its VM may be gone for good, or return and join again.
constexpr std::chrono::seconds UnnamedRetryDelay{1};
/// Observations that arrive later than this are of no use.
constexpr std::chrono::milliseconds ObservationTimeout{500};
/// Peer calls need a deadline; a watch that reaches it is opened again.
constexpr std::chrono::hours WatchDeadline{1};
/// Interval between checks for a stale list.
constexpr std::chrono::milliseconds ListCheckInterval{500};
/// An entry VM that has just started reads the list itself if no core VM has
/// sent it within this time after the first state. A new leader reads the list
/// as soon as it sends states.
constexpr std::chrono::milliseconds FirstListTimeout{150};
/// Delay before switching to a core VM with newer content. The current source
/// normally has it within a heartbeat of the replicated log, 75 ms.
constexpr std::chrono::milliseconds SourceSwitchDelay{150};
/// For this long after its start an entry VM switches without delay, since its
/// source may only have been the first to respond and may have an outdated
/// state.
constexpr std::chrono::seconds StartupPeriod{2};
/// An entry VM that receives no update of the list for this long reads it
/// itself. Core VMs report every 500 ms and elect a new leader within a second.
constexpr std::chrono::milliseconds ListStalenessLimit{2500};
/// Minimum interval between direct reads of the list. Connections show at once
/// that a leaf is gone, so reads only discover new leafs and leafs about to
/// leave, which keep serving for seconds.
constexpr std::chrono::milliseconds DirectReadInterval{4000};
/// Share of the rate limit of the list server for all entry VMs that read it
/// directly; the rest is reserved for the leader, its regular reader.
constexpr double DirectReadRateShare = 0.5;

/// Core VMs append a revision at slightly different times, within a message
/// between them.
constexpr std::chrono::milliseconds AcceptanceTimeTolerance{50};

/// Returns a number that no other life of this process has.
std::uint64_t makeLife() {
  std::random_device Device;
  return std::uniform_int_distribution<std::uint64_t>()(Device);
}

} // namespace

EntryControl::EntryControl(boost::asio::io_context &Io, FleetSettings Settings,
                           LeafListFormat Format, RouteConfigReader Reader,
                           EntryUpdates Updates, BootClock Clock)
    : m_Settings(std::move(Settings)), m_BootClock(std::move(Clock)),
      m_Driver(Io, m_Timers),
      m_PeerClient(Io, m_Timers, m_Settings.m_Key, m_Settings.m_Vm),
      m_ListReader(Io, m_Settings.m_LeafList, std::move(Format)),
      m_ConfigReader(std::move(Reader)), m_Updates(std::move(Updates)),
      m_Selection(stableHash(m_Settings.m_Vm.m_Value), MaxWatches),
      m_Life(makeLife()) {}

EntryControl::~EntryControl() = default;

void EntryControl::start() {
  m_Driver.start();
  m_StartedAt = m_Timers.now();
  m_ListConfirmedAt = m_Timers.now();
  m_ListRequestedAt = m_Timers.now();
  setCores(m_Settings.m_Cores);
  m_Periodic.push_back(
      m_Timers.every(ListCheckInterval, [this] { readListIfStale(); }));
  startConfirmation();
}

void EntryControl::setCores(const std::vector<Endpoint> &Cores) {
  std::set<std::string> Addresses;
  for (const Endpoint &Core : Cores)
    Addresses.insert(formatEndpoint(Core));
  m_Selection.setConfigured(std::move(Addresses));
  updateWatches();
}

void EntryControl::sendObservations(std::vector<LeafObservation> Observations) {
  const auto Target = parseEndpoint(m_Source);
  if (!Target)
    return;
  auto Call = std::make_shared<PeerCall>();
  *Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/observed",
      encode(ObservationReport{false, std::move(Observations)}),
      ObservationTimeout, [](const std::string &) {},
      [Call](const Result<Done, PeerError> &) mutable { Call.reset(); });
}

void EntryControl::scheduleWatchUpdate() {
  if (m_Selection.needsUpdate() && !m_WatchUpdateTimer)
    m_WatchUpdateTimer = m_Timers.after(Duration{0}, [this] {
      m_WatchUpdateTimer.reset();
      updateWatches();
    });
}

void EntryControl::updateWatches() {
  const CoreSelection::Changes Changes = m_Selection.update(m_Source);
  for (const std::string &Address : Changes.m_Forgotten) {
    logEvent(LogSeverity::Info, "core.forgotten", {{"core", Address}});
    m_Watches.erase(Address);
  }
  for (const std::string &Address : Changes.m_Closed) {
    logEvent(LogSeverity::Info, "core.closed",
             {{"core", Address}, {"limit", MaxWatches}});
    m_Watches.erase(Address);
  }
  for (const std::string &Address : Changes.m_Opened)
    openWatch(Address);
  if (const auto Counts = m_Selection.counts();
      std::exchange(m_CoreCounts, Counts) != Counts)
    m_Updates.m_CoreCounts(Counts);
}

void EntryControl::openWatch(const std::string &Address) {
  const auto Target = parseEndpoint(Address);
  if (!Target) {
    logEvent(LogSeverity::Warning, "core.bad_address", {{"core", Address}});
    return;
  }
  Watch &CoreWatch = m_Watches[Address];
  const WatchRequest Request{
      Address == m_Source ? WatchKind::Content : WatchKind::VersionsOnly,
      std::exchange(CoreWatch.m_NeedsWholeState, false) ? 0 : m_Revision,
      std::exchange(CoreWatch.m_NeedsWholeList, false) ? ListVersion{}
                                                       : m_ListVersion};
  CoreWatch.m_StateUpdate.reset();
  CoreWatch.m_ListUpdate.reset();
  CoreWatch.m_Clock = {};
  CoreWatch.m_OpenedAt = m_BootClock();
  CoreWatch.m_Call = m_PeerClient.open(
      Target->m_Ip, Target->m_Port, "/watch", encode(Request), WatchDeadline,
      [this, Address](const std::string &Message) {
        onMessage(Address, Message);
      },
      [this, Address](const Result<Done, PeerError> &EndResult) {
        onWatchEnd(Address, EndResult);
      });
}

void EntryControl::onWatchEnd(const std::string &Address,
                              const Result<Done, PeerError> &EndResult) {
  const auto Position = m_Watches.find(Address);
  if (Position == m_Watches.end())
    return;
  const bool WasConnected = m_Selection.recordEnd(Address);
  const Duration Delay = m_Selection.isExpectedToRun(Address)
                             ? Duration{WatchRetryDelay}
                             : Duration{UnnamedRetryDelay};
  Position->second.m_Retry =
      m_Timers.after(Delay, [this, Address] { openWatch(Address); });
  scheduleWatchUpdate();
  if (!WasConnected)
    return;
  logEvent(LogSeverity::Warning, "core.lost",
           {{"core", Address},
            {"cause", isOk(EndResult) ? std::string_view("ended")
                                      : nameOf(errorOf(EndResult).m_Code)}});
  if (Address != m_Source)
    return;
  m_Source.clear();
  for (const auto &[OtherAddress, CoreWatch] : m_Watches)
    if (m_Selection.isConnected(OtherAddress)) {
      setSource(OtherAddress);
      return;
    }
}

void EntryControl::onMessage(const std::string &Sender,
                             const std::string &Message) {
  auto DecodeResult = decode<WatchMessage>(Message);
  if (!isOk(DecodeResult)) {
    logEvent(LogSeverity::Warning, "core.bad_report", {{"core", Sender}});
    return;
  }
  WatchMessage &Decoded = valueOf(DecodeResult);
  if (auto *Report = std::get_if<CoreReport>(&Decoded))
    return onReport(Sender, std::move(*Report));
  if (const auto *Update = std::get_if<CrashUpdate>(&Decoded))
    return takeCrashes(Update->m_Records);
  const auto Position = m_Watches.find(Sender);
  if (Position == m_Watches.end())
    return;
  if (auto *Update = std::get_if<StateUpdate>(&Decoded))
    Position->second.m_StateUpdate = std::move(*Update);
  else
    appendUpdate(Position->second.m_ListUpdate,
                 std::get<ListUpdate>(std::move(Decoded)));
}

void EntryControl::takeUpdates(const std::string &Sender, Watch &CoreWatch) {
  auto State = std::exchange(CoreWatch.m_StateUpdate, std::nullopt);
  if (State && State->m_Revision > m_Revision) {
    const std::uint64_t Revision = State->m_Revision;
    const auto Applied = applyUpdate(m_Config, std::move(*State));
    if (isOk(Applied)) {
      applyState(Sender, valueOf(Applied));
    } else {
      logEvent(LogSeverity::Warning, "state.delta_refused",
               {{"core", Sender},
                {"revision", Revision},
                {"held", m_Revision},
                {"error", errorOf(Applied)}});
      CoreWatch.m_NeedsWholeState = true;
    }
  }
  auto List = std::exchange(CoreWatch.m_ListUpdate, std::nullopt);
  if (List && List->m_Version > m_ListVersion) {
    const ListVersion Version = List->m_Version;
    const bool IsDelta = List->m_IsDelta;
    auto Applied = applyUpdate(m_Leafs, std::move(*List));
    if (Applied) {
      m_HasList = true;
      m_ListVersion = Version;
      m_Leafs = std::move(*Applied);
      m_Updates.m_Leafs(m_Leafs);
    } else {
      logEvent(LogSeverity::Warning, "leaf_list.update_refused",
               {{"core", Sender}, {"delta", IsDelta}});
      CoreWatch.m_NeedsWholeList = IsDelta;
    }
  }
  // Opening the watch again closes the one that is delivering this report, so
  // it is deferred.
  if (CoreWatch.m_NeedsWholeState || CoreWatch.m_NeedsWholeList)
    CoreWatch.m_Retry =
        m_Timers.after(Duration{0}, [this, Sender] { openWatch(Sender); });
}

void EntryControl::onReport(const std::string &Sender, CoreReport Report) {
  const auto Position = m_Watches.find(Sender);
  if (Position == m_Watches.end())
    return;
  Watch &CoreWatch = Position->second;
  CoreWatch.m_Version = {Report.m_Domain, Report.m_Revision,
                         Report.m_ListVersion};
  relateClocks(Sender, CoreWatch, Report);
  const TimePoint SentAt = sendingTime(CoreWatch, Report);
  if (m_Selection.recordReport(Sender, Report.m_Domain, Report.m_Cores,
                               m_Timers.now())) {
    logEvent(LogSeverity::Info, "core.connected",
             {{"core", Sender}, {"revision", Report.m_Revision}});
    offerCrashes(Sender,
                 m_Crashes.latest(MaxCrashRecordsPerMessage, m_Timers.now()));
  }
  m_NewestRevision = std::max(m_NewestRevision, Report.m_Revision);
  recordNewerRevision(Report, SentAt);
  takeUpdates(Sender, CoreWatch);
  updateAcceptanceTime(Report, SentAt);
  confirmRoutes(Report, SentAt);
  confirmAccounts(CoreWatch, Report);
  confirmRollouts(Report);
  if (Report.m_Estimates)
    m_Updates.m_Estimates(std::move(*Report.m_Estimates));
  if (Report.m_ListAge && Report.m_ListVersion == m_ListVersion)
    m_ListConfirmedAt =
        std::max(m_ListConfirmedAt, m_Timers.now() - *Report.m_ListAge);
  // Core VMs may have seen different sets of entry VMs.
  raiseEntryCount(Report.m_EntryCount);
  considerSource(Sender);
  scheduleWatchUpdate();
}

ContentVersion EntryControl::localVersion() const {
  return {m_Settings.m_Domain, m_Revision, m_ListVersion};
}

SourceDecision EntryControl::evaluateSource(const Watch &CoreWatch) const {
  const auto Source = m_Watches.find(m_Source);
  const bool IsStarting =
      !m_HasList || m_Timers.now() - m_StartedAt < StartupPeriod;
  return ragwortdrift::evaluateSource(
      CoreWatch.m_Version,
      Source == m_Watches.end() ? nullptr : &Source->second.m_Version,
      localVersion(), IsStarting);
}

void EntryControl::considerSource(const std::string &Address) {
  if (Address == m_Source || m_SourceTimer)
    return;
  const SourceDecision Decision = evaluateSource(m_Watches[Address]);
  if (Decision == SourceDecision::Keep)
    return;
  // Switching closes the watch that is delivering this report, so it is
  // deferred.
  const Duration Delay = Decision == SourceDecision::SwitchNow
                             ? Duration{0}
                             : Duration{SourceSwitchDelay};
  m_SourceTimer = m_Timers.after(Delay, [this, Address] {
    m_SourceTimer.reset();
    const auto Position = m_Watches.find(Address);
    if (Position != m_Watches.end() && m_Selection.isConnected(Address) &&
        evaluateSource(Position->second) != SourceDecision::Keep)
      setSource(Address);
  });
}

void EntryControl::setSource(const std::string &Address) {
  const std::string PreviousSource = std::exchange(m_Source, Address);
  logEvent(LogSeverity::Info, "core.source",
           {{"core", Address},
            {"former", PreviousSource},
            {"revision", m_Revision},
            {"its_revision", m_Watches[Address].m_Version.m_Revision}});
  if (m_Watches.contains(PreviousSource))
    openWatch(PreviousSource);
  openWatch(Address);
}

void EntryControl::raiseEntryCount(std::size_t Count) {
  if (Count <= m_EntryCount)
    return;
  m_EntryCount = Count;
  m_Updates.m_EntryCount(Count);
}

void EntryControl::applyState(const std::string &Sender,
                              const RoutingState &State) {
  if (State.m_Revision <= m_Revision)
    return;
  if (m_Revision == 0)
    m_FirstListTimer = m_Timers.after(FirstListTimeout, [this] {
      if (!m_HasList)
        readList();
    });
  const TimePoint AcceptedAt = acceptanceTime(State.m_Revision);
  m_Revision = State.m_Revision;
  m_Config = State.m_Config;
  m_AcceptedAt.erase(m_AcceptedAt.begin(),
                     m_AcceptedAt.upper_bound(m_Revision));
  raiseEntryCount(State.m_EntryCount);
  m_Updates.m_DomainsOut(State.m_DomainsOut);
  applyRollouts(State.m_Rollouts);
  logEvent(LogSeverity::Info, "state.taken",
           {{"core", Sender},
            {"revision", m_Revision},
            {"version", State.m_Config.m_Version},
            {"domains_out", State.m_DomainsOut.size()}});
  if (State.m_Config.m_Version <= m_ConfigVersion)
    return;
  auto Config = m_ConfigReader(State.m_Config.m_Text);
  m_ConfigIsUnreadable = !isOk(Config);
  if (m_ConfigIsUnreadable) {
    logEvent(LogSeverity::Error, "config.unreadable",
             {{"version", State.m_Config.m_Version},
              {"fault", describe(errorOf(Config).front())}});
    return;
  }
  m_ConfigVersion = State.m_Config.m_Version;
  m_Routes = std::make_shared<const RouteTable>(valueOf(std::move(Config)));
  m_RoutesAcceptedAt = AcceptedAt;
  m_Updates.m_Routes(m_Routes, AcceptedAt);
}

void EntryControl::recordNewerRevision(const CoreReport &Report,
                                       TimePoint SentAt) {
  if (Report.m_Revision <= m_Revision || !Report.m_RevisionAge)
    return;
  const TimePoint AcceptedAt = SentAt - *Report.m_RevisionAge;
  TimePoint &Earliest =
      m_AcceptedAt.try_emplace(Report.m_Revision, AcceptedAt).first->second;
  Earliest = std::min(Earliest, AcceptedAt);
}

TimePoint EntryControl::acceptanceTime(std::uint64_t Revision) const {
  // A state whose age is unknown may have had to be in force before.
  TimePoint Earliest = m_Timers.now();
  const auto End = m_AcceptedAt.upper_bound(Revision);
  if (End == m_AcceptedAt.begin())
    return Earliest - m_Settings.m_ConfigPropagation;
  for (auto Position = m_AcceptedAt.begin(); Position != End; ++Position)
    Earliest = std::min(Earliest, Position->second);
  return Earliest;
}

void EntryControl::updateAcceptanceTime(const CoreReport &Report,
                                        TimePoint SentAt) {
  if (!m_Routes || Report.m_Revision != m_Revision || !Report.m_RevisionAge)
    return;
  const TimePoint AcceptedAt = SentAt - *Report.m_RevisionAge;
  if (m_RoutesAcceptedAt - AcceptedAt < AcceptanceTimeTolerance)
    return;
  m_RoutesAcceptedAt = AcceptedAt;
  m_Updates.m_Routes(m_Routes, AcceptedAt);
}

void EntryControl::confirmRoutes(const CoreReport &Report, TimePoint SentAt) {
  // A core VM whose messages from the leader are late seems up to date, but
  // others then report newer revisions.
  if (m_NewestRevision > m_Revision || m_ConfigIsUnreadable)
    m_Updates.m_RoutesConfirmed(std::nullopt);
  else if (Report.m_IsUpToDate && Report.m_Revision == m_Revision)
    m_Updates.m_RoutesConfirmed(SentAt -
                                Report.m_ConfirmedAge.value_or(Duration{0}));
}

void EntryControl::readListIfStale() {
  const TimePoint Now = m_Timers.now();
  const double CallCount =
      static_cast<double>(m_LastReadCallCount * m_EntryCount);
  const Duration RateLimitDelay(static_cast<Duration::rep>(
      1e6 * CallCount / (m_Settings.m_LeafListRate * DirectReadRateShare)));
  if (Now - m_ListConfirmedAt < ListStalenessLimit ||
      Now - m_ListRequestedAt <
          std::max<Duration>(DirectReadInterval, RateLimitDelay))
    return;
  readList();
}

void EntryControl::readList() {
  if (m_ListReader.isReading())
    return;
  m_ListRequestedAt = m_Timers.now();
  const std::uint64_t CallCountBefore = m_ListReader.callCount();
  m_ListReader.read([this,
                     CallCountBefore](Result<LeafList, ListError> ReadResult) {
    m_LastReadCallCount =
        std::max<std::uint64_t>(m_ListReader.callCount() - CallCountBefore, 1);
    if (!isOk(ReadResult))
      return;
    m_HasList = true;
    m_ListReader.keepUnreadable(m_Leafs, valueOf(ReadResult));
    logEvent(LogSeverity::Info, "leaf_list.read_here",
             {{"leafs", valueOf(ReadResult).size()}});
    m_Updates.m_Leafs(valueOf(std::move(ReadResult)));
  });
}

} // namespace ragwortdrift
