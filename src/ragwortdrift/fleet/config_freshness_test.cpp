#include "ragwortdrift/fleet/entry_control.hpp"
#include "ragwortdrift/net/peer_server.hpp"
#include "ragwortdrift/testing/loopback.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A core VM whose reports the test supplies.
struct FakeCore {
  FakeCore(asio::io_context &Io, TimerService &Timers, Endpoint Address)
      : m_Address(std::move(Address)),
        m_Server(Io, Timers, {}, VmId{formatEndpoint(m_Address)}) {
    m_Server.handle("/watch", [this](const PeerRequest &Request,
                                     std::shared_ptr<ResponseStream> Stream) {
      const auto Watch = decode<WatchRequest>(Request.m_Body);
      m_Kind = valueOf(Watch).m_Kind;
      m_Stream = std::move(Stream);
      report();
    });
    cr_assert(isOk(m_Server.listen(m_Address.m_Ip, m_Address.m_Port)));
  }
  /// Sends the current report, with the state if the watcher requested it.
  void report() {
    if (!m_Stream)
      return;
    m_Report.m_SentAt = bootNow().m_SinceStart;
    const std::uint64_t Revision = m_Report.m_Revision;
    if (m_Kind == WatchKind::Content && m_SendsState)
      m_Stream->send(encode(WatchMessage(
          StateUpdate{Revision, {}, 0, Revision, std::to_string(Revision)})));
    m_Stream->send(encode(WatchMessage(m_Report)));
  }

  Endpoint m_Address;
  PeerServer m_Server;
  WatchKind m_Kind{};
  std::shared_ptr<ResponseStream> m_Stream;
  CoreReport m_Report;
  bool m_SendsState = true;
};

/// Format of a list that cannot be read. The address of its server is free when
/// it is chosen, but another server may have taken it since.
LeafListFormat unreadableList() {
  LeafListFormat Format;
  Format.m_MakeTarget = [](const std::string &) { return std::string("/"); };
  Format.m_ParsePage = [](std::string_view) -> Result<LeafListPage, ListError> {
    return ListError{ListErrorCode::BadPage, "no list"};
  };
  return Format;
}

/// The control state of an entry VM that watches two fake core VMs. The text of
/// a configuration is its version; version 9 cannot be read.
struct FreshnessFixture {
  explicit FreshnessFixture(bool IsStrict = false) : m_Driver(m_Io, m_Timers) {
    m_Driver.start();
    FleetSettings Settings;
    Settings.m_StrictWithdrawal = IsStrict;
    Settings.m_Vm = VmId{"entry"};
    Settings.m_ConfigPropagation = 3s;
    Settings.m_LeafListRate = 1000;
    Settings.m_LeafList = testing::freeEndpoint(m_Io);
    for (auto &Core : m_Cores) {
      Core = std::make_unique<FakeCore>(m_Io, m_Timers,
                                        testing::freeEndpoint(m_Io));
      Core->m_Report.m_Revision = 1;
      Core->m_Report.m_IsUpToDate = true;
      Settings.m_Cores.push_back(Core->m_Address);
    }
    EntryUpdates Updates;
    Updates.m_Routes = [this](const std::shared_ptr<const RouteTable> &Routes,
                              TimePoint AcceptedAt) {
      m_Version = Routes->config().m_Version;
      m_Age = m_Timers.now() - AcceptedAt;
    };
    Updates.m_DomainsOut = [](const std::set<FailureDomain> &) {};
    Updates.m_Leafs = [](const LeafList &) {};
    Updates.m_Estimates = [](const std::vector<LeafEstimate> &) {};
    Updates.m_EntryCount = [](std::size_t) {};
    Updates.m_RoutesConfirmed = [this](std::optional<TimePoint> Time) {
      m_ConfirmedAt = Time;
    };
    Updates.m_AccountsConfirmed = [this](TimePoint Time) {
      m_AccountsConfirmedAt = Time;
    };
    m_Entry = std::make_unique<EntryControl>(
        m_Io, Settings, unreadableList(),
        [](std::string_view Text)
            -> Result<RouteConfig, std::vector<ConfigError>> {
          if (Text == "9")
            return std::vector<ConfigError>{{}};
          RouteConfig Config;
          Config.m_Version = std::stoull(std::string(Text));
          return Config;
        },
        std::move(Updates));
    m_Entry->start();
    cr_assert(runUntil([&] {
      return m_Version == 1 && m_Cores[0]->m_Stream && m_Cores[1]->m_Stream;
    }));
    run(50ms);
  }

  template <class Condition>
  bool runUntil(Condition IsMet, Duration Limit = 3s) {
    const auto Deadline = std::chrono::steady_clock::now() + Limit;
    while (!IsMet()) {
      if (std::chrono::steady_clock::now() >= Deadline)
        return false;
      m_Io.run_one_for(5ms);
    }
    return true;
  }
  void run(Duration Time) {
    runUntil([] { return false; }, Time);
  }
  /// Returns the core VM that the entry VM requests the state from, or the
  /// other one.
  FakeCore &core(bool IsSource) {
    return *m_Cores[(m_Cores[0]->m_Kind == WatchKind::Content) == IsSource ? 0
                                                                           : 1];
  }

  asio::io_context m_Io;
  TimerService m_Timers;
  AsioTimerDriver m_Driver;
  std::array<std::unique_ptr<FakeCore>, 2> m_Cores;
  std::uint64_t m_Version = 0;
  /// Age of the configuration when it was received.
  Duration m_Age{0};
  std::optional<TimePoint> m_ConfirmedAt = TimePoint{};
  std::optional<TimePoint> m_AccountsConfirmedAt;
  std::unique_ptr<EntryControl> m_Entry;
};

struct ConfirmCase {
  const char *m_Name;
  std::uint64_t m_SourceRevision;
  bool m_SourceIsUpToDate;
  std::uint64_t m_OtherRevision;
  bool m_IsConfirmed;
  /// True if the entry VM knows that there is a newer configuration.
  bool m_IsOutdated;
};
const ConfirmCase ConfirmCases[] = {
    {"both agree", 1, true, 1, true, false},
    {"other core VM can tell no state", 1, true, 0, true, false},
    {"source has newer state", 2, true, 1, true, false},
    {"source has lost the leader", 1, false, 1, false, false},
    {"source can tell no state", 0, false, 1, false, false},
    {"other core VM has newer state", 1, true, 2, false, true},
    {"newer configuration cannot be read", 9, true, 1, false, true},
};

struct AgeCase {
  const char *m_Name;
  std::optional<Duration> m_OtherAge;
  std::optional<Duration> m_SourceAge;
  /// The state arrives this much later than the report of the other core VM.
  Duration m_Delay;
  Duration m_MinAge;
};
const AgeCase AgeCases[] = {
    {"arrives at once", 0ms, 0ms, 0ms, 0ms},
    {"arrives late", 0ms, 0ms, 300ms, 300ms},
    {"source applied it late", 700ms, 0ms, 0ms, 700ms},
    {"other core VM applied it late", 0ms, 700ms, 0ms, 700ms},
    {"other core VM has restarted", std::nullopt, 0ms, 0ms, 0ms},
    {"both have restarted", std::nullopt, std::nullopt, 0ms, 3000ms},
};

} // namespace

// Guards against a configuration that is held beyond its propagation time
// because it was received late.
TABLE_TEST(config_freshness, measures_age_from_acceptance, AgeCases) {
  FreshnessFixture F;
  // The entry VM may change its source while it waits.
  FakeCore &Source = F.core(true), &Other = F.core(false);
  Source.m_SendsState = Other.m_SendsState = false;
  Other.m_Report.m_Revision = 2;
  Other.m_Report.m_RevisionAge = Row.m_OtherAge;
  Other.report();
  F.run(50ms + Row.m_Delay);
  Source.m_SendsState = Other.m_SendsState = true;
  Source.m_Report.m_Revision = 2;
  Source.m_Report.m_RevisionAge = Row.m_SourceAge;
  Source.report();
  Other.report();
  cr_assert(F.runUntil([&] { return F.m_Version == 2; }));
  cr_assert_geq(F.m_Age.count(), Row.m_MinAge.count(), "%s", Row.m_Name);
  cr_assert_leq(F.m_Age.count(), (Row.m_MinAge + Duration{250ms}).count(), "%s",
                Row.m_Name);
}

// Guards against an entry VM that takes its configuration for the newest one
// although no core VM can know, or one knows better.
TABLE_TEST(config_freshness, confirms_only_newest_config, ConfirmCases) {
  FreshnessFixture F;
  cr_assert(F.m_ConfirmedAt > TimePoint{});
  F.core(false).m_SendsState = false;
  F.core(false).m_Report.m_Revision = Row.m_OtherRevision;
  F.core(false).m_Report.m_IsUpToDate = false;
  F.core(false).report();
  F.run(50ms);
  F.m_ConfirmedAt = TimePoint{};
  F.core(true).m_Report.m_Revision = Row.m_SourceRevision;
  F.core(true).m_Report.m_IsUpToDate = Row.m_SourceIsUpToDate;
  F.core(true).report();
  F.run(50ms);
  cr_assert_eq(F.m_ConfirmedAt > TimePoint{}, Row.m_IsConfirmed, "%s",
               Row.m_Name);
  cr_assert_eq(!F.m_ConfirmedAt, Row.m_IsOutdated, "%s", Row.m_Name);
}

// Guards against a confirmation, and an age of a configuration, that are
// measured from the receipt of a report that was long under way.
Test(config_freshness, measures_report_age_from_its_sending) {
  FreshnessFixture F;
  F.m_Entry.reset();
  asio::io_context EntryIo;
  FleetSettings Settings;
  Settings.m_Vm = VmId{"late"};
  Settings.m_ConfigPropagation = 3s;
  Settings.m_LeafListRate = 1000;
  Settings.m_LeafList = testing::freeEndpoint(F.m_Io);
  Settings.m_Cores = {F.m_Cores[0]->m_Address};
  F.m_Cores[0]->m_Report.m_RevisionAge = 0ms;
  TimePoint ConfirmedAt, AcceptedAt;
  EntryUpdates Updates;
  Updates.m_Routes = [&](const std::shared_ptr<const RouteTable> &,
                         TimePoint Time) { AcceptedAt = Time; };
  Updates.m_DomainsOut = [](const std::set<FailureDomain> &) {};
  Updates.m_Leafs = [](const LeafList &) {};
  Updates.m_Estimates = [](const std::vector<LeafEstimate> &) {};
  Updates.m_EntryCount = [](std::size_t) {};
  Updates.m_RoutesConfirmed = [&](std::optional<TimePoint> Time) {
    ConfirmedAt = Time.value_or(TimePoint{});
  };
  EntryControl Late(
      EntryIo, Settings, unreadableList(),
      [](std::string_view Text)
          -> Result<RouteConfig, std::vector<ConfigError>> {
        RouteConfig Config;
        Config.m_Version = std::stoull(std::string(Text));
        return Config;
      },
      std::move(Updates));
  Late.start();
  cr_assert(F.runUntil([&] {
    EntryIo.poll();
    return ConfirmedAt > TimePoint{};
  }));
  for (int I = 0; I < 20; ++I) {
    F.run(10ms);
    EntryIo.poll();
  }
  // The VM does not read while a report is under way; a later configuration is
  // accepted elsewhere meanwhile.
  F.m_Cores[0]->m_Report.m_Revision = 2;
  const TimePoint SentAt = F.m_Timers.now();
  F.m_Cores[0]->report();
  F.run(1200ms);
  ConfirmedAt = AcceptedAt = {};
  for (int I = 0; I < 20 && ConfirmedAt == TimePoint{}; ++I) {
    EntryIo.poll();
    EntryIo.run_one_for(5ms);
  }
  cr_assert(ConfirmedAt > TimePoint{});
  cr_expect_leq((AcceptedAt - SentAt).count(), 300'000,
                "accepted after %lld us",
                static_cast<long long>((AcceptedAt - SentAt).count()));
  cr_assert_leq((ConfirmedAt - SentAt).count(), 300'000,
                "confirmed after %lld us",
                static_cast<long long>((ConfirmedAt - SentAt).count()));
}

// Guards against a configuration that is held by the age that its source knows,
// although another core VM reports a higher one after the state has arrived.
Test(config_freshness, takes_higher_age_after_state) {
  FreshnessFixture F;
  FakeCore &Source = F.core(true), &Other = F.core(false);
  Source.m_Report.m_Revision = Other.m_Report.m_Revision = 2;
  Source.m_Report.m_RevisionAge = 0ms;
  Source.report();
  cr_assert(F.runUntil([&] { return F.m_Version == 2; }));
  F.m_Age = 0ms;
  Other.m_SendsState = false;
  Other.m_Report.m_RevisionAge = 2500ms;
  Other.report();
  F.run(50ms);
  cr_assert_geq(F.m_Age.count(), Duration{2400ms}.count());
}

// Guards against accounts that are confirmed although a newer state is known
// but has not arrived, or cannot be read.
Test(config_freshness, confirms_accounts_of_received_state) {
  FreshnessFixture F(/*IsStrict=*/true);
  cr_assert_not(F.m_AccountsConfirmedAt.has_value());
  FakeCore &Source = F.core(true), &Other = F.core(false);
  const auto Report = [&](FakeCore &Core, std::uint64_t Revision) {
    const TimePoint Time = bootNow();
    Core.m_Report.m_Revision = Revision;
    Core.m_Report.m_ConfirmedAge = 100ms;
    Core.report();
    F.run(50ms);
    return Time;
  };
  // Either core VM may confirm what is held.
  const TimePoint First = Report(Other, 1);
  cr_assert(F.m_AccountsConfirmedAt.has_value());
  cr_assert_leq((*F.m_AccountsConfirmedAt - First).count(),
                -Duration{90ms}.count());
  Source.m_SendsState = Other.m_SendsState = false;
  const auto Before = F.m_AccountsConfirmedAt;
  Report(Other, 2);
  cr_assert(F.m_AccountsConfirmedAt == Before);
  // The core VM is behind and its confirmation older than the newer state.
  const TimePoint Third = Report(Source, 1);
  cr_assert_gt((*F.m_AccountsConfirmedAt - *Before).count(), 0);
  cr_assert(*F.m_AccountsConfirmedAt <= Third);
  Source.m_SendsState = Other.m_SendsState = true;
  const TimePoint Fourth = Report(Source, 2);
  Report(Other, 2);
  cr_assert_eq(F.m_Version, 2U);
  cr_assert_geq((*F.m_AccountsConfirmedAt - Fourth).count(),
                -Duration{200ms}.count());
  Report(Source, 9);
  const auto Held = F.m_AccountsConfirmedAt;
  Report(Source, 9);
  cr_assert_eq(F.m_Version, 2U);
  cr_assert(F.m_AccountsConfirmedAt == Held);
}
