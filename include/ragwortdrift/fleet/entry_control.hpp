#ifndef RAGWORTDRIFT_FLEET_ENTRY_CONTROL_HPP
#define RAGWORTDRIFT_FLEET_ENTRY_CONTROL_HPP

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/base/boot_clock.hpp"
#include "ragwortdrift/fleet/confirmations.hpp"
#include "ragwortdrift/fleet/content_source.hpp"
#include "ragwortdrift/fleet/core_selection.hpp"
#include "ragwortdrift/fleet/fleet_settings.hpp"
#include "ragwortdrift/fleet/leaf_list_reader.hpp"
#include "ragwortdrift/fleet/messages.hpp"
#include "ragwortdrift/fleet/remote_clock.hpp"
#include "ragwortdrift/net/peer_client.hpp"
#include "ragwortdrift/routing/route_table.hpp"

namespace ragwortdrift {

/// Parses the text of a routing configuration. Supplied by the platform
/// adapter.
using RouteConfigReader =
    std::function<Result<RouteConfig, std::vector<ConfigError>>(
        std::string_view Text)>;

/// Callbacks by which the control state of an entry VM updates its traffic
/// side. Called on the control thread.
struct EntryUpdates {
  /// Called with a configuration and a time by which it had been accepted, and
  /// again if that time turns out to be earlier.
  std::function<void(std::shared_ptr<const RouteTable>, TimePoint)> m_Routes;
  std::function<void(std::set<FailureDomain>)> m_DomainsOut;
  std::function<void(LeafList)> m_Leafs;
  std::function<void(std::vector<LeafEstimate>)> m_Estimates;
  std::function<void(std::size_t)> m_EntryCount;
  /// Called with a time at which the configuration received last was the newest
  /// one, or without a time if there is a newer one.
  std::function<void(std::optional<TimePoint>)> m_RoutesConfirmed =
      [](std::optional<TimePoint>) {};
  /// Called, if the settings ask for strict withdrawal of keys, with ever later
  /// times on the clock of bootNow(). The configuration received last contains
  /// every command that was acknowledged before: a majority confirmed it at
  /// this time or later.
  std::function<void(TimePoint)> m_AccountsConfirmed = [](TimePoint) {};
  /// Called with the roll-outs of each new state.
  std::function<void(Rollouts)> m_Rollouts = [](const Rollouts &) {};
  /// Called when the roll-outs received last are confirmed to be the latest.
  std::function<void()> m_RolloutsConfirmed = [] {};
  std::function<void(std::vector<CrashRecord>)> m_Crashes =
      [](const std::vector<CrashRecord> &) {};
  std::function<void(LimitReply)> m_LimitReply = [](const LimitReply &) {};
  /// Called when the number of core VMs that are known or connected changes.
  std::function<void(CoreSelection::Counts)> m_CoreCounts =
      [](CoreSelection::Counts) {};
};

/// The control state of an entry VM. It watches the core VMs, adopts the newest
/// state that any of them has applied and never reverts to an older one. A
/// single core VM, preferably of the local failure domain, sends it the state
/// and the leaf list; the others only report their versions. If no core VM
/// has a recent list, the entry VM reads the list itself.
class EntryControl {
public:
  EntryControl(boost::asio::io_context &Io, FleetSettings Settings,
               LeafListFormat Format, RouteConfigReader Reader,
               EntryUpdates Updates, BootClock Clock = bootNow);
  ~EntryControl();
  EntryControl(const EntryControl &) = delete;
  EntryControl &operator=(const EntryControl &) = delete;

  void start();
  /// Replaces the peer addresses of core VMs from the settings.
  void setCores(const std::vector<Endpoint> &Cores);
  /// Sends observations of leafs to the core VM that is the current source.
  void sendObservations(std::vector<LeafObservation> Observations);
  /// Sends what the traffic side has learned of requests that crash leafs to
  /// the current source, and later to every core VM that connects again, since
  /// it may have lost its memory.
  void sendCrashes(const std::vector<CrashRecord> &Records);
  /// Sends a request to the allocator of shared limits. The request ends
  /// without a reply if none arrives in time.
  void sendLimitRequest(LimitRequest Request);

  /// Sends the counts of open roll-outs to the current source, which passes
  /// them on to the leader.
  void sendRolloutReport(const RolloutReport &Report);

private:
  /// A request to the allocator that is under way.
  struct LimitExchange {
    std::string m_Bytes;
    TimePoint m_Deadline;
    /// Address of the core VM that was asked last.
    std::string m_Core;
    std::optional<LimitAnswer> m_Answer;
    /// A core VM that did not allocate has named the leader.
    bool m_FollowedHint = false;
    PeerCall m_Call;
    TimerService::Subscription m_Retry;
  };
  struct Watch {
    PeerCall m_Call;
    TimerService::Subscription m_Retry;
    /// Boot time at which the watch was requested. The clock of the core VM is
    /// unknown until the first report.
    TimePoint m_OpenedAt;
    RemoteClock m_Clock;
    ContentVersion m_Version;
    /// Updates that take effect with the next report.
    std::optional<StateUpdate> m_StateUpdate;
    std::optional<ListUpdate> m_ListUpdate;
    /// An update was not applicable; the next request asks for all content.
    bool m_NeedsWholeState = false;
    bool m_NeedsWholeList = false;
  };

  /// Opens and closes watches as m_Selection decides. Not called while a watch
  /// delivers a report, since it may close that one.
  void updateWatches();
  void scheduleWatchUpdate();
  void openWatch(const std::string &Address);
  void onWatchEnd(const std::string &Address,
                  const Result<Done, PeerError> &EndResult);
  void onMessage(const std::string &Sender, const std::string &Message);
  void onReport(const std::string &Sender, CoreReport Report);
  void takeUpdates(const std::string &Sender, Watch &CoreWatch);
  ContentVersion localVersion() const;
  SourceDecision evaluateSource(const Watch &CoreWatch) const;
  /// Switches to a core VM that has newer content than the current source, or
  /// equally new content and the same failure domain as this VM.
  void considerSource(const std::string &Address);
  void setSource(const std::string &Address);
  void raiseEntryCount(std::size_t Count);
  void applyState(const std::string &Sender, const RoutingState &State);
  /// Records when a revision that was not received yet had been accepted.
  void recordNewerRevision(const CoreReport &Report, TimePoint SentAt);
  /// Returns a time by which a revision after the local one, up to a given one,
  /// had been accepted.
  TimePoint acceptanceTime(std::uint64_t Revision) const;
  /// Tells the traffic side if the local configuration had been accepted
  /// earlier than was known.
  void updateAcceptanceTime(const CoreReport &Report, TimePoint SentAt);
  /// Confirms the local configuration if the report shows that there is no
  /// newer one, and revokes that if there is.
  void confirmRoutes(const CoreReport &Report, TimePoint SentAt);

  // Clocks of the core VMs and confirmation of accounts.
  void startConfirmation();
  /// Asks a core VM for the time of its clock, for the watch that was opened at
  /// a time.
  void readClock(const std::string &Address, TimePoint OpenedAt);
  /// Relates the clock of the core VM that sent the report to the local one.
  void relateClocks(const std::string &Address, Watch &CoreWatch,
                    const CoreReport &Report);
  /// Returns about when the report was sent, on the clock of the timers.
  TimePoint sendingTime(const Watch &CoreWatch, const CoreReport &Report) const;
  /// Tells the traffic side up to when the local configuration is confirmed.
  void confirmAccounts(const Watch &CoreWatch, const CoreReport &Report);
  void logConfirmation();

  /// Tells the traffic side of changed roll-outs.
  void applyRollouts(const Rollouts &Current);
  /// Confirms the roll-outs if the report shows that there is no newer state.
  void confirmRollouts(const CoreReport &Report);
  void takeCrashes(const std::vector<CrashRecord> &Records);
  void offerCrashes(const std::string &Address,
                    std::vector<CrashRecord> Records);
  /// Sends a request to the VM that allocates, as far as known.
  void askAllocator(std::uint64_t ExchangeId);
  void onLimitExchangeEnd(std::uint64_t ExchangeId,
                          const Result<Done, PeerError> &EndResult);
  /// Returns a connected core VM to ask for the allocator, a different one
  /// after each failure.
  std::string allocatorCandidate() const;
  void readListIfStale();
  void readList();

  FleetSettings m_Settings;
  TimerService m_Timers;
  BootClock m_BootClock;
  AsioTimerDriver m_Driver;
  PeerClient m_PeerClient;
  LeafListReader m_ListReader;
  RouteConfigReader m_ConfigReader;
  EntryUpdates m_Updates;
  std::map<std::string, Watch> m_Watches;
  CoreSelection m_Selection;
  CoreSelection::Counts m_CoreCounts;
  TimerService::Subscription m_WatchUpdateTimer;
  /// Address of the core VM that sends the content, empty while none is
  /// connected.
  std::string m_Source;
  /// Runs while a switch to another core VM is pending.
  TimerService::Subscription m_SourceTimer;
  std::uint64_t m_Revision = 0;
  /// The configuration of m_Revision, the base of the next delta.
  ConfigText m_Config;
  /// Times by which revisions after m_Revision had been accepted, as far as
  /// core VMs know them.
  std::map<std::uint64_t, TimePoint> m_AcceptedAt;
  /// Highest revision that any core VM has reported.
  std::uint64_t m_NewestRevision = 0;
  std::uint64_t m_ConfigVersion = 0;
  std::shared_ptr<const RouteTable> m_Routes;
  TimePoint m_RoutesAcceptedAt;
  bool m_ConfigIsUnreadable = false;
  Confirmations m_Confirmations;
  std::optional<TimePoint> m_AccountsConfirmedAt;
  bool m_ConfirmationIsLate = false;
  std::size_t m_EntryCount = 1;
  ListVersion m_ListVersion;
  /// The list of m_ListVersion, the base of the next delta; lists that this VM
  /// reads itself have no version.
  LeafList m_Leafs;
  Rollouts m_Rollouts;
  TimePoint m_StartedAt;
  /// Last time at which the local list was confirmed to be the newest.
  TimePoint m_ListConfirmedAt;
  TimePoint m_ListRequestedAt;
  std::uint64_t m_LastReadCallCount = 1;
  bool m_HasList = false;
  TimerService::Subscription m_FirstListTimer;
  CrashSuspects m_Crashes;
  /// Tells the lives of this process apart.
  std::uint64_t m_Life = 0;
  /// Address of the core VM that allocates, empty if unknown.
  std::string m_Allocator;
  /// Core VMs that did not know the allocator, counted to ask another one next.
  std::size_t m_AllocatorMisses = 0;
  std::map<std::uint64_t, LimitExchange> m_LimitExchanges;
  std::uint64_t m_NextLimitExchange = 0;
  std::vector<TimerService::Subscription> m_Periodic;
};

} // namespace ragwortdrift

#endif
