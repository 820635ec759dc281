#include "ragwortdrift/routing/route_table.hpp"
#include "ragwortdrift/routing/routing_state.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <random>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

Route route(const char *Name, const char *Host, const char *Prefix,
            std::vector<WeightedService> Services) {
  Route Out;
  Out.m_Name = Name;
  Out.m_Host = Host;
  Out.m_PathPrefix = Prefix;
  Out.m_Timeout = 500ms;
  Out.m_Services = std::move(Services);
  return Out;
}

WeightedService weighted(const char *Name, double Weight = 1) {
  return {ServiceName{Name}, Weight};
}

RouteConfig validConfig() {
  RouteConfig Out;
  Out.m_Version = 1;
  for (const char *Name : {"a", "b"})
    Out.m_Services.push_back({ServiceName{Name}, "/healthz", 10, 0ms, 0});
  Out.m_Routes = {
      route("one", "x.example", "/p/", {weighted("a")}),
      route("two", "x.example", "/p/q/", {weighted("a", 1), weighted("b", 3)}),
      route("three", "y.example", "/", {weighted("b")})};
  return Out;
}

struct ErrorCase {
  const char *m_Name;
  void (*m_Change)(RouteConfig &);
  ConfigErrorCode m_Code;
  const char *m_Section;
  const char *m_Key;
};

const ErrorCase ErrorCases[] = {
    {"unknown service",
     [](RouteConfig &C) { C.m_Routes[0].m_Services = {weighted("none")}; },
     ConfigErrorCode::UnknownReference, "one", "services"},
    {"no service", [](RouteConfig &C) { C.m_Routes[0].m_Services.clear(); },
     ConfigErrorCode::MissingKey, "one", "services"},
    {"same host and prefix",
     [](RouteConfig &C) { C.m_Routes[1].m_PathPrefix = "/p/"; },
     ConfigErrorCode::Duplicate, "two", "path prefix"},
    {"weights of 0",
     [](RouteConfig &C) {
       C.m_Routes[1].m_Services = {weighted("a", 0), weighted("b", 0)};
     },
     ConfigErrorCode::OutOfRange, "two", "weight"},
    {"negative weight",
     [](RouteConfig &C) { C.m_Routes[1].m_Services[0].m_Weight = -1; },
     ConfigErrorCode::OutOfRange, "two", "weight"},
    {"timeout of 0", [](RouteConfig &C) { C.m_Routes[2].m_Timeout = 0ms; },
     ConfigErrorCode::OutOfRange, "three", "timeout"},
    {"prefix without slash",
     [](RouteConfig &C) { C.m_Routes[2].m_PathPrefix = "/r"; },
     ConfigErrorCode::BadValue, "three", "path prefix"},
    {"coverage above 1",
     [](RouteConfig &C) { C.m_Routes[0].m_MinCoverage = 1.5; },
     ConfigErrorCode::OutOfRange, "one", "coverage"},
    {"duplicate service",
     [](RouteConfig &C) { C.m_Services.push_back(C.m_Services[0]); },
     ConfigErrorCode::Duplicate, "a", "name"},
};

struct LookupCase {
  const char *m_Host;
  const char *m_Path;
  const char *m_Route;
};
const LookupCase LookupCases[] = {
    {"x.example", "/p/1", "one"},        {"x.example", "/p/q/1", "two"},
    {"X.Example:8080", "/p/", "one"},    {"x.example", "/p/q?x=/p/q/r", "one"},
    {"x.example", "/p", nullptr},        {"x.example", "/other/", nullptr},
    {"y.example", "/anything", "three"}, {"z.example", "/p/1", nullptr},
};

struct WeightCase {
  const char *m_Name;
  std::vector<double> m_Weights;
};
const WeightCase WeightCases[] = {{"equal", {1, 1}},
                                  {"uneven", {1, 9}},
                                  {"one weight of 0", {3, 0, 2}},
                                  {"fractions", {0.25, 0.5, 0.125, 0.125}}};

struct ShardCase {
  const char *m_Name;
  std::vector<const char *> m_Entries;
  double m_MinCoverage;
  std::vector<const char *> m_Shards;
  std::size_t m_Required;
};
const ShardCase ShardCases[] = {
    {"each shard once", {"b", "a"}, 1, {"b", "a"}, 2},
    {"one shard five times", {"a", "a", "a", "a", "a"}, 0.5, {"a"}, 1},
    {"first shard again at the end",
     {"a", "b", "c", "d", "a"},
     0.8,
     {"a", "b", "c", "d"},
     4},
    {"repeats would raise the number",
     {"a", "b", "c", "c", "c"},
     0.6,
     {"a", "b", "c"},
     2},
    {"repeats would lower the share",
     {"a", "b", "b", "b", "c"},
     0.75,
     {"a", "b", "c"},
     3},
};

} // namespace

// Guards against applying an invalid configuration, and against a refusal that
// does not locate the error.
TABLE_TEST(route_config, reports_location_of_each_error, ErrorCases) {
  cr_assert(validateRouteConfig(validConfig()).empty());
  RouteConfig Config = validConfig();
  Row.m_Change(Config);
  const auto Errors = validateRouteConfig(Config);
  cr_assert(std::any_of(Errors.begin(), Errors.end(),
                        [&](const ConfigError &Error) {
                          return Error.m_Code == Row.m_Code &&
                                 Error.m_Section == Row.m_Section &&
                                 Error.m_Key == Row.m_Key;
                        }),
            "%s", Row.m_Name);
}

// Guards against a request that is handled by the route of a shorter prefix or
// of another host.
TABLE_TEST(route_table, finds_route_with_longest_prefix, LookupCases) {
  const RouteTable Table(validConfig());
  const Route *Found = Table.find(Row.m_Host, Row.m_Path);
  cr_assert_eq(Found == nullptr, Row.m_Route == nullptr, "%s", Row.m_Path);
  if (Found)
    cr_assert_eq(Found->m_Name, Row.m_Route, "%s", Row.m_Path);
}

// Guards against a search that asks a shard twice because the configuration
// names it twice, and against coverage by the number of names (review/12).
TABLE_TEST(route_table, holds_each_shard_of_search_once, ShardCases) {
  RouteConfig Config = validConfig();
  Route &Search = Config.m_Routes[0];
  Search.m_Kind = RouteKind::Search;
  Search.m_MinCoverage = Row.m_MinCoverage;
  Search.m_Services.clear();
  for (const char *Name : Row.m_Entries)
    Search.m_Services.push_back(weighted(Name));
  std::vector<WeightedService> Expected;
  for (const char *Name : Row.m_Shards)
    Expected.push_back(weighted(Name));
  const RouteTable Table(Config);
  const Route *Found = Table.find("x.example", "/p/1");
  cr_assert(Found && Found->m_Services == Expected, "%s", Row.m_Name);
  cr_assert_eq(requiredResponses(*Found), Row.m_Required, "%s", Row.m_Name);
}

// Guards against a share that shrinks because the weights of a service that is
// named twice are not added.
Test(route_table, keeps_all_weights_of_service) {
  RouteConfig Config = validConfig();
  const std::vector<WeightedService> Weights = {
      weighted("a", 1), weighted("b", 1), weighted("a", 2)};
  Config.m_Routes[0].m_Services = Weights;
  const RouteTable Table(Config);
  cr_assert(Table.find("x.example", "/p/1")->m_Services == Weights);
}

// Guards against shares that are met only in the long-term average.
TABLE_TEST(weighted_round_robin, meets_weights_at_any_time, WeightCases) {
  std::vector<WeightedService> Services;
  double Total = 0;
  for (const double Weight : Row.m_Weights) {
    Services.push_back(weighted("s", Weight));
    Total += Weight;
  }
  WeightedRoundRobin RoundRobin;
  std::vector<int> Counts(Services.size());
  for (int Round = 1; Round <= 1000; ++Round) {
    ++Counts[RoundRobin.next(Services)];
    for (std::size_t I = 0; I < Services.size(); ++I)
      cr_assert_lt(std::abs(Counts[I] - Round * Row.m_Weights[I] / Total), 2,
                   "%s, round %d", Row.m_Name, Round);
  }
}

// Guards against a late copy of a command that undoes a later one.
Test(routing_state, late_copy_does_not_undo_later_command) {
  RoutingState State;
  const FailureDomain Domain{"north"}, OtherDomain{"south"};
  const auto Change = [&](const FailureDomain &Changed, bool Out) {
    return ChangeDomainOut{Changed, Out, lastChange(State, Changed)};
  };
  cr_assert_eq(applyCommand(State, Change(Domain, true)),
               RoutingCommandOutcome::Accepted);
  const ChangeDomainOut Return = Change(Domain, false);
  // A change of another domain, or of the configuration, does not matter.
  applyCommand(State, Change(OtherDomain, true));
  applyCommand(State, SetConfig{{1, "text"}});
  cr_assert_eq(applyCommand(State, Return), RoutingCommandOutcome::Accepted);
  cr_assert_eq(applyCommand(State, Change(Domain, true)),
               RoutingCommandOutcome::Accepted);
  const RoutingState Expected = State;
  cr_assert_eq(applyCommand(State, Return), RoutingCommandOutcome::Outdated);
  cr_assert(State == Expected);
}

// Guards against a core VM that cannot read the snapshot of an earlier release,
// and against commands in its log that have no effect.
Test(routing_state, reads_state_of_earlier_release) {
  const std::set<FailureDomain> Out{FailureDomain{"north"}};
  const std::string Bytes = encode(std::uint64_t{5}) +
                            encode(ConfigText{3, "text"}) + encode(Out) +
                            encode(std::uint32_t{2});
  auto Decoded = decodeState(Bytes);
  cr_assert(isOk(Decoded));
  RoutingState &State = valueOf(Decoded);
  cr_assert(State == RoutingState({5, {3, "text"}, Out, 2, {}, {}}));
  cr_assert_eq(applyCommand(State, SetDomainOut{FailureDomain{"north"}, false}),
               RoutingCommandOutcome::Accepted);
  cr_assert_eq(lastChange(State, FailureDomain{"north"}), 6U);
  const auto Restored = decodeState(encode(State));
  cr_assert(isOk(Restored) && valueOf(Restored) == State);
  cr_assert_not(isOk(decodeState(Bytes.substr(1))));
}

// Guards against a core VM that cannot read the snapshot of the release before
// roll-outs.
Test(routing_state, reads_state_without_rollouts) {
  const std::map<FailureDomain, std::uint64_t> Changes{
      {FailureDomain{"north"}, 4}};
  const std::string Bytes = encode(std::uint64_t{5}) +
                            encode(ConfigText{3, "text"}) +
                            encode(std::set<FailureDomain>{}) +
                            encode(std::uint32_t{2}) + encode(Changes);
  const auto Decoded = decodeState(Bytes);
  cr_assert(isOk(Decoded));
  cr_assert(valueOf(Decoded) ==
            RoutingState({5, {3, "text"}, {}, 2, Changes, {}}));
}

// Guards against a command that is refused when it is resubmitted, against a
// state that reverts, and against different content under an existing version.
// The model applies the same commands sequentially.
Test(routing_state, commands_agree_with_sequential_model) {
  for (unsigned Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937 Random(Seed);
    RoutingState State;
    ConfigText CurrentConfig;
    std::set<FailureDomain> Out;
    std::uint32_t MaxEntryCount = 0;
    for (int Step = 0; Step < 100; ++Step) {
      const std::uint64_t Revision = State.m_Revision;
      if (Random() % 8 == 0) {
        const auto Count = static_cast<std::uint32_t>(Random() % 20);
        const auto Outcome = applyCommand(State, RaiseEntryCount{Count});
        cr_assert_eq(Outcome, Count > MaxEntryCount
                                  ? RoutingCommandOutcome::Accepted
                                  : RoutingCommandOutcome::Unchanged);
        MaxEntryCount = std::max(MaxEntryCount, Count);
      } else if (Random() % 3 == 0) {
        const FailureDomain Domain{std::string(1, char('a' + Random() % 3))};
        const bool TakeOut = Random() % 2 == 0;
        const bool Changes = Out.contains(Domain) != TakeOut;
        const auto Outcome = applyCommand(State, SetDomainOut{Domain, TakeOut});
        cr_assert_eq(Outcome, Changes ? RoutingCommandOutcome::Accepted
                                      : RoutingCommandOutcome::Unchanged);
        TakeOut ? (void)Out.insert(Domain) : (void)Out.erase(Domain);
      } else {
        const ConfigText Submitted{1 + Random() % 40,
                                   Random() % 2 == 0 ? "left" : "right"};
        const auto Outcome = applyCommand(State, SetConfig{Submitted});
        if (Submitted.m_Version > CurrentConfig.m_Version) {
          cr_assert_eq(Outcome, RoutingCommandOutcome::Accepted);
          CurrentConfig = Submitted;
        } else if (Submitted.m_Version == CurrentConfig.m_Version) {
          cr_assert_eq(Outcome, Submitted == CurrentConfig
                                    ? RoutingCommandOutcome::Unchanged
                                    : RoutingCommandOutcome::OtherContent);
        } else {
          cr_assert_eq(Outcome, RoutingCommandOutcome::Unchanged);
        }
      }
      cr_assert(State.m_Config == CurrentConfig, "seed %u, step %d", Seed,
                Step);
      cr_assert(State.m_DomainsOut == Out, "seed %u, step %d", Seed, Step);
      cr_assert_eq(State.m_EntryCount, MaxEntryCount);
      cr_assert_geq(State.m_Revision, Revision);
      const auto Restored = decode<RoutingState>(encode(State));
      cr_assert(isOk(Restored) && valueOf(Restored) == State);
    }
  }
}
