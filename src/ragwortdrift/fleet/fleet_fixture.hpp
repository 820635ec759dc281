#ifndef RAGWORTDRIFT_FLEET_FLEET_FIXTURE_HPP
#define RAGWORTDRIFT_FLEET_FLEET_FIXTURE_HPP

#include "ragwortdrift/fleet/core_node.hpp"
#include "ragwortdrift/fleet/entry_control.hpp"
#include "ragwortdrift/net/http_server.hpp"
#include "ragwortdrift/testing/loopback.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>

namespace ragwortdrift::testing {

using namespace std::chrono_literals;
namespace asio = boost::asio;

/// Test format: a page is one line with the token of the next page, a space,
/// and ids separated by commas. An id may have the form SERVICE/VERSION/NUMBER.
inline LeafListFormat makeLineFormat() {
  LeafListFormat Format;
  Format.m_MakeTarget = [](const std::string &Token) { return "/" + Token; };
  Format.m_ParsePage =
      [](std::string_view Body) -> Result<LeafListPage, ListError> {
    const auto Space = Body.find(' ');
    if (Space == std::string_view::npos)
      return ListError{ListErrorCode::BadPage, "no space"};
    LeafListPage Page;
    Page.m_NextToken = Body.substr(0, Space);
    std::string_view Ids = Body.substr(Space + 1);
    while (!Ids.empty()) {
      const auto End = std::min(Ids.find(','), Ids.size());
      ListedLeaf Leaf;
      Leaf.m_Id = LeafId{std::string(Ids.substr(0, End))};
      const std::string &Id = Leaf.m_Id.m_Value;
      if (const auto Slash = Id.find('/'); Slash != std::string::npos) {
        Leaf.m_Service = ServiceName{Id.substr(0, Slash)};
        Leaf.m_Version =
            Id.substr(Slash + 1, Id.find('/', Slash + 1) - Slash - 1);
      }
      Page.m_Leafs.push_back(Leaf);
      Ids.remove_prefix(std::min(End + 1, Ids.size()));
    }
    return Page;
  };
  return Format;
}

/// Test format: the text of a configuration begins with its version.
inline Result<RouteConfig, std::vector<ConfigError>>
parseVersionConfig(std::string_view Text) {
  RouteConfig Config;
  Config.m_Version = std::stoull(std::string(Text));
  return Config;
}

/// Core VMs on loopback that run on one thread, each with its own data folder,
/// and a server of the leaf list.
struct TestFleet {
  explicit TestFleet(std::size_t InitialVoters, std::size_t LaterCores = 0)
      : m_InitialVoters(InitialVoters),
        m_ListServer(
            m_Io, {}, [this](const std::shared_ptr<HttpExchange> &Exchange) {
              ++m_ListCalls;
              if (m_ListPages.contains(
                      std::string(Exchange->request().target())))
                Exchange->respond(jsonResponse(
                    200,
                    m_ListPages[std::string(Exchange->request().target())]));
              else if (!m_ListIsUnresponsive)
                Exchange->respond(jsonResponse(429, "{}"));
              else
                m_UnansweredRequests.push_back(Exchange);
            }) {
    cr_assert(isOk(m_ListServer.listen("127.0.0.1", 0)));
    m_Folder = std::filesystem::temp_directory_path() /
               ("rd-fleet-" + std::to_string(::getpid()) + "-" +
                std::to_string(m_ListServer.port()));
    std::filesystem::create_directories(m_Folder);
    // The system may choose the port of an endpoint that is not yet in use
    // again.
    while (m_Peers.size() < InitialVoters + LaterCores)
      if (const Endpoint Peer = freeEndpoint(m_Io);
          std::ranges::find(m_Peers, Peer) == m_Peers.end())
        m_Peers.push_back(Peer);
    m_Nodes.resize(m_Peers.size());
  }
  ~TestFleet() {
    m_Nodes.clear();
    std::error_code Ignored;
    std::filesystem::remove_all(m_Folder, Ignored);
  }

  FleetSettings settings(std::size_t Index, bool FormCluster) const {
    FleetSettings Settings;
    Settings.m_Vm = VmId{"vm-" + std::to_string(Index)};
    for (std::size_t I = 0; I < m_InitialVoters; ++I)
      Settings.m_Cores.push_back(m_Peers[I]);
    Settings.m_Peers = m_Peers.at(Index);
    Settings.m_Folder = folder(Index);
    Settings.m_FormCluster = FormCluster;
    Settings.m_LeafList = {"127.0.0.1", m_ListServer.port()};
    Settings.m_LeafListRate = 1000;
    return Settings;
  }
  std::filesystem::path folder(std::size_t Index) const {
    return m_Folder / std::to_string(Index);
  }
  void start(std::size_t Index, bool FormCluster) {
    start(Index, FormCluster, m_Io);
  }
  void start(std::size_t Index, bool FormCluster, asio::io_context &Io) {
    m_Nodes[Index] = std::make_unique<CoreNode>(
        Io, settings(Index, FormCluster), makeLineFormat());
    cr_assert(isOk(m_Nodes[Index]->start()));
  }
  /// Stops a VM as SIGTERM does.
  void stop(std::size_t Index, Duration Limit = FleetSettings().m_StopTime) {
    bool IsReady = false;
    m_Nodes[Index]->beginStop([&] { IsReady = true; });
    cr_assert(runUntil([&] { return IsReady; }, Limit));
    m_Nodes[Index].reset();
  }
  void runFor(Duration Time) {
    runUntil([] { return false; }, Time);
  }
  void startInitialVoters() {
    for (std::size_t I = 0; I < m_InitialVoters; ++I)
      start(I, true);
  }

  template <class Condition>
  bool runUntil(Condition IsMet, Duration Limit = 8s) {
    const auto Deadline = std::chrono::steady_clock::now() + Limit;
    // The condition is not evaluated again once it holds, since it may make a
    // call.
    while (!IsMet()) {
      if (std::chrono::steady_clock::now() >= Deadline)
        return false;
      m_Io.run_one_for(5ms);
      if (m_PausableIo)
        m_PausableIo->poll();
    }
    return true;
  }
  Result<RoutingCommandOutcome, CoreError> submit(std::size_t Index,
                                                  RoutingCommand Command) {
    std::optional<Result<RoutingCommandOutcome, CoreError>> Reply;
    m_Nodes[Index]->submit(
        std::move(Command),
        [&](Result<RoutingCommandOutcome, CoreError> CommandResult) {
          Reply.emplace(std::move(CommandResult));
        });
    cr_assert(runUntil([&] { return Reply.has_value(); }, 3s));
    return *Reply;
  }
  /// Resends a command until its outcome is known, as operators do. A copy that
  /// changes nothing means that the command was accepted if the outcome of an
  /// earlier copy is unknown and the state then holds the command.
  RoutingCommandOutcome submitUntilDecided(std::size_t Index,
                                           const RoutingCommand &Command) {
    bool MayBeCommitted = false;
    for (int Attempt = 0; Attempt < 100; ++Attempt) {
      const auto CommandResult = submit(Index, Command);
      if (isOk(CommandResult))
        return MayBeCommitted && isInForce(Index, Command) &&
                       valueOf(CommandResult) ==
                           RoutingCommandOutcome::Unchanged
                   ? RoutingCommandOutcome::Accepted
                   : valueOf(CommandResult);
      MayBeCommitted = MayBeCommitted || errorOf(CommandResult).m_Code ==
                                             CoreErrorCode::UnknownOutcome;
      runUntil([] { return false; }, 50ms);
    }
    cr_assert_fail("the outcome is still unknown after 100 attempts");
    return {};
  }
  /// Changes a failure domain as a patient operator does; see
  /// submitUntilDecided().
  RoutingCommandOutcome setDomainOut(std::size_t Index,
                                     const FailureDomain &Domain, bool Out) {
    bool MayBeCommitted = false;
    for (int Attempt = 0; Attempt < 100; ++Attempt) {
      std::optional<Result<RoutingCommandOutcome, CoreError>> Reply;
      m_Nodes[Index]->setDomainOut(
          Domain, Out, [] { return true; },
          [&](const Result<RoutingCommandOutcome, CoreError> &CommandResult) {
            Reply.emplace(CommandResult);
          });
      cr_assert(runUntil([&] { return Reply.has_value(); }, 4s));
      if (isOk(*Reply))
        return MayBeCommitted && isInForce(Index, SetDomainOut{Domain, Out}) &&
                       valueOf(*Reply) == RoutingCommandOutcome::Unchanged
                   ? RoutingCommandOutcome::Accepted
                   : valueOf(*Reply);
      MayBeCommitted = MayBeCommitted ||
                       errorOf(*Reply).m_Code == CoreErrorCode::UnknownOutcome;
      runUntil([] { return false; }, 50ms);
    }
    cr_assert_fail("the outcome is still unknown after 100 attempts");
    return {};
  }
  Result<RoutingState, CoreError> read(std::size_t Index) {
    std::optional<Result<RoutingState, CoreError>> Reply;
    m_Nodes[Index]->read([&](Result<RoutingState, CoreError> ReadResult) {
      Reply.emplace(std::move(ReadResult));
    });
    cr_assert(runUntil([&] { return Reply.has_value(); }, 4s));
    return std::move(*Reply);
  }
  /// Reads until a majority confirms the state, as operators do.
  RoutingState readUntilConfirmed(std::size_t Index) {
    for (int Attempt = 0; Attempt < 100; ++Attempt) {
      auto State = read(Index);
      if (isOk(State))
        return valueOf(std::move(State));
      runUntil([] { return false; }, 50ms);
    }
    cr_assert_fail("no state was confirmed in 100 attempts");
    return {};
  }
  /// Returns true if the state that a majority confirms holds what a command
  /// sets.
  bool isInForce(std::size_t Index, const RoutingCommand &Command) {
    const RoutingState State = readUntilConfirmed(Index);
    if (const auto *Config = std::get_if<SetConfig>(&Command))
      return State.m_Config == Config->m_Config;
    const auto *Change = std::get_if<SetDomainOut>(&Command);
    return Change &&
           State.m_DomainsOut.contains(Change->m_Domain) == Change->m_Out;
  }
  static RoutingCommand config(std::uint64_t Version,
                               const std::string &Text = {}) {
    return SetConfig{{Version, Text.empty() ? std::to_string(Version) : Text}};
  }
  double gaugeValue(std::size_t Index, const char *Name) {
    for (const MetricSample &Sample : m_Nodes[Index]->metrics())
      if (Sample.m_Name == Name)
        return std::get<Gauge>(Sample.m_Value).value();
    return 0;
  }
  bool isVoter(std::size_t Index) {
    return gaugeValue(Index, "ragwortdrift_log_is_voter") == 1;
  }
  double voterCount(std::size_t Index) {
    return gaugeValue(Index, "ragwortdrift_log_voters");
  }
  std::optional<std::size_t> leaderIndex() {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      if (m_Nodes[I] && gaugeValue(I, "ragwortdrift_log_leads") == 1)
        return I;
    return std::nullopt;
  }

  asio::io_context m_Io;
  /// Runs together with m_Io if set, so that a test can suspend a VM.
  asio::io_context *m_PausableIo = nullptr;
  std::size_t m_InitialVoters;
  HttpServer m_ListServer;
  std::map<std::string, std::string> m_ListPages{{"/", " a,b"}};
  bool m_ListIsUnresponsive = false;
  std::vector<std::shared_ptr<HttpExchange>> m_UnansweredRequests;
  int m_ListCalls = 0;
  std::filesystem::path m_Folder;
  std::vector<Endpoint> m_Peers;
  std::vector<std::unique_ptr<CoreNode>> m_Nodes;
};

/// The control state of an entry VM, recording all updates for its traffic
/// side.
struct TestEntry {
  explicit TestEntry(TestFleet &Fleet, const char *Name = "entry")
      : TestEntry(Fleet, settings(Fleet, Name)) {}
  TestEntry(TestFleet &Fleet, const FleetSettings &Settings)
      : TestEntry(Settings, Fleet.m_Io) {}
  TestEntry(const FleetSettings &Settings, asio::io_context &Io)
      : m_Control(
            Io, Settings, makeLineFormat(),
            [this](std::string_view Text) {
              m_ConfigText = Text;
              return parseVersionConfig(Text);
            },
            updates()) {
    m_Control.start();
  }
  static FleetSettings settings(const TestFleet &Fleet, const char *Name) {
    FleetSettings Settings = Fleet.settings(0, false);
    Settings.m_Vm = VmId{Name};
    return Settings;
  }
  EntryUpdates updates() {
    EntryUpdates Updates;
    Updates.m_Routes = [this](const std::shared_ptr<const RouteTable> &Routes,
                              TimePoint) {
      m_Versions.push_back(Routes->config().m_Version);
    };
    Updates.m_DomainsOut = [this](std::set<FailureDomain> Domains) {
      m_DomainsOut = std::move(Domains);
    };
    Updates.m_Leafs = [this](const LeafList &List) {
      m_LeafLists.push_back(List);
    };
    Updates.m_Estimates = [this](std::vector<LeafEstimate> Estimates) {
      m_Estimates = std::move(Estimates);
    };
    Updates.m_EntryCount = [this](std::size_t Count) { m_EntryCount = Count; };
    Updates.m_Rollouts = [this](Rollouts Current) {
      m_Rollouts = std::move(Current);
    };
    Updates.m_RolloutsConfirmed = [this] { ++m_RolloutConfirmations; };
    Updates.m_Crashes = [this](const std::vector<CrashRecord> &Records) {
      m_Crashes.insert(m_Crashes.end(), Records.begin(), Records.end());
    };
    Updates.m_LimitReply = [this](LimitReply Reply) {
      m_LimitReplies.push_back(std::move(Reply));
    };
    return Updates;
  }

  std::string m_ConfigText;
  std::vector<std::uint64_t> m_Versions;
  std::set<FailureDomain> m_DomainsOut;
  std::size_t m_EntryCount = 0;
  std::vector<LeafList> m_LeafLists;
  std::vector<LeafEstimate> m_Estimates;
  std::vector<CrashRecord> m_Crashes;
  std::vector<LimitReply> m_LimitReplies;
  Rollouts m_Rollouts;
  int m_RolloutConfirmations = 0;
  EntryControl m_Control;
};

} // namespace ragwortdrift::testing

#endif
