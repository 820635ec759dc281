#ifndef RAGWORTDRIFT_FLEET_ENTRY_CONTROL_HPP
#define RAGWORTDRIFT_FLEET_ENTRY_CONTROL_HPP

#include "ragwortdrift/base/asio_timer_driver.hpp"
#include "ragwortdrift/fleet/content_source.hpp"
#include "ragwortdrift/fleet/fleet_settings.hpp"
#include "ragwortdrift/fleet/leaf_list_reader.hpp"
#include "ragwortdrift/fleet/messages.hpp"
#include "ragwortdrift/net/peer_client.hpp"
#include "ragwortdrift/routing/route_table.hpp"

namespace ragwortdrift {

/// Reads a routing configuration from its text; an adapter gives it.
using RouteConfigReader =
    std::function<Result<RouteConfig, std::vector<ConfigError>>(
        std::string_view Text)>;

/// What an entry VM's control state tells its traffic thread. Called on the
/// control thread.
struct EntryUpdates {
  std::function<void(std::shared_ptr<const RouteTable>)> m_Routes;
  std::function<void(std::set<FailureDomain>)> m_DomainsOut;
  std::function<void(LeafList)> m_Leafs;
  std::function<void(std::vector<LeafEstimate>)> m_Estimates;
  std::function<void(std::size_t)> m_EntryCount;
};

/// The control state of an entry VM. It watches the core VMs, takes the newest
/// state that any of them has applied and never goes back. One core VM, of its
/// own failure domain if possible, sends it the state and the list of leafs;
/// the others only tell which are the newest. When no core VM knows a recent
/// list, it reads the list itself.
class EntryControl {
public:
  EntryControl(boost::asio::io_context &Io, FleetSettings Settings,
               LeafListFormat Format, RouteConfigReader Reader,
               EntryUpdates Updates);
  ~EntryControl();
  EntryControl(const EntryControl &) = delete;
  EntryControl &operator=(const EntryControl &) = delete;

  void start();
  /// Other core VMs to watch.
  void setCores(const std::vector<Endpoint> &Cores);
  /// Tells the core what this VM observed of leafs.
  void tellObservations(std::vector<LeafObservation> Observed);

private:
  struct Watch {
    PeerCall m_Call;
    TimerService::Subscription m_Retry;
    bool m_Connected = false;
    ContentVersion m_Content;
  };

  void watchMore();
  void openWatch(const std::string &Address);
  void onWatchEnd(const std::string &Address,
                  const Result<Done, PeerError> &Ended);
  void onReport(const std::string &From, CoreReport Report);
  ContentVersion held() const;
  SourceChange reviewSource(const Watch &Link) const;
  /// Takes the content from a core VM that has newer content than the one that
  /// sends it, or is nearer.
  void considerSource(const std::string &Address);
  void setSource(const std::string &Address);
  void takeEntryCount(std::size_t Count);
  void takeState(const std::string &From, const RoutingState &State);
  void checkList();
  void readList();

  FleetSettings m_Settings;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
  PeerClient m_PeerClient;
  LeafListReader m_List;
  RouteConfigReader m_Reader;
  EntryUpdates m_Updates;
  std::map<std::string, Watch> m_Watches;
  std::set<std::string> m_Cores;
  /// The core VM that sends the content, empty while none is connected.
  std::string m_Source;
  /// Running while another core VM has newer content.
  TimerService::Subscription m_SourceTimer;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_Version = 0;
  std::size_t m_EntryCount = 1;
  ListStamp m_ListStamp;
  TimePoint m_StartedAt;
  /// When the list that is held was last known to be the newest.
  TimePoint m_ListConfirmedAt;
  TimePoint m_ListAskedAt;
  std::uint64_t m_CallsOfLastRead = 1;
  bool m_HasList = false;
  TimerService::Subscription m_FirstListTimer;
  std::vector<TimerService::Subscription> m_Periodic;
};

} // namespace ragwortdrift

#endif
