#include "ragwortdrift/tools/load/leaf_control.hpp"
#include "ragwortdrift/tools/load/load_worker.hpp"

#include <boost/program_options.hpp>

#include <atomic>
#include <iostream>
#include <thread>

namespace {

namespace options = boost::program_options;
using namespace ragwortdrift;
using namespace ragwortdrift::tools;
using namespace std::chrono_literals;

constexpr int ExitViolations = 1;
constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitRecords = 4;

/// Time within which the leaf requests of the last queries complete.
constexpr auto SettleTime = 300ms;

options::options_description describeOptions(LoadPlan &Plan) {
  options::options_description All(
      "ragwortdrift-load: open-loop load on entry VMs, with checks\n"
      "Exit codes: 0 no violation, 1 violations, 2 usage, 3 settings, 4 the "
      "records of the leafs cannot be read");
  auto Add = All.add_options();
  Add("help", "print this help text");
  Add("manifest", options::value<std::string>(), "manifest file (required)");
  Add("entry", options::value<std::vector<std::string>>()->composing(),
      "entry VM, ip:port or ip:port@admin-ip:port; may be repeated");
  Add("leaf-control", options::value<std::vector<std::string>>()->composing(),
      "control endpoint of a stand-in process; may be repeated");
  Add("mix", options::value<std::string>()->default_value(""),
      "service=weight[:search|booking],...; default all fan-out services");
  Add("rate", options::value(&Plan.m_Rate)->default_value(Plan.m_Rate),
      "queries/s of all threads");
  Add("seconds", options::value(&Plan.m_Seconds)->default_value(Plan.m_Seconds),
      "duration of the run in seconds");
  Add("seed", options::value(&Plan.m_Seed)->default_value(Plan.m_Seed),
      "seed of arrivals and random choices");
  Add("threads", options::value(&Plan.m_Threads)->default_value(Plan.m_Threads),
      "number of threads that simulate callers");
  Add("plain", options::bool_switch(&Plan.m_Plain),
      "baseline: query a random replica of each group directly, one attempt");
  Add("caller-delay-ms",
      options::value(&Plan.m_CallerDelayMs)
          ->default_value(Plan.m_CallerDelayMs),
      "one-way delay of callers (1 Argani, 3 Railrover)");
  Add("deadline-ms",
      options::value(&Plan.m_DeadlineMs)->default_value(Plan.m_DeadlineMs),
      "deadline; 0 selects that of the service");
  Add("min-coverage",
      options::value(&Plan.m_MinCoverage)->default_value(Plan.m_MinCoverage),
      "minimum coverage, 0 to 1");
  Add("snapshot", options::value<std::uint64_t>(), "index version to request");
  Add("priority",
      options::value(&Plan.m_Priority)->default_value(Plan.m_Priority),
      "low, normal or high");
  Add("resends",
      options::value(&Plan.m_MaxRetries)->default_value(Plan.m_MaxRetries),
      "maximum number of retries of a booking");
  Add("abandon",
      options::value(&Plan.m_AbandonFraction)
          ->default_value(Plan.m_AbandonFraction),
      "fraction of booking attempts whose caller closes early");
  Add("double-send",
      options::value(&Plan.m_DoubleSendFraction)
          ->default_value(Plan.m_DoubleSendFraction),
      "fraction of bookings sent to two entry VMs at once");
  Add("id-prefix",
      options::value(&Plan.m_IdPrefix)->default_value(Plan.m_IdPrefix),
      "prefix of request ids; must differ between runs on the same leafs");
  Add("body-bytes",
      options::value(&Plan.m_BodyBytes)->default_value(Plan.m_BodyBytes),
      "size of request bodies");
  Add("progress",
      options::value(&Plan.m_ProgressSeconds)
          ->default_value(Plan.m_ProgressSeconds),
      "seconds between progress lines; 0 for none");
  Add("histogram", options::bool_switch(&Plan.m_ReportHistogram),
      "add the latency histogram to the report, as pairs of midpoint in "
      "microseconds and count");
  return All;
}

/// Sets the members of Plan whose options need further parsing.
Result<Done, OptionError> readPlan(const options::variables_map &Values,
                                   LoadPlan &Plan) {
  auto Manifest = readManifestView(Values["manifest"].as<std::string>());
  if (!isOk(Manifest))
    return errorOf(Manifest);
  Plan.m_Manifest = valueOf(std::move(Manifest));
  auto Mix = parseMix(Values["mix"].as<std::string>(), Plan.m_Manifest);
  if (!isOk(Mix))
    return errorOf(Mix);
  Plan.m_Mix = valueOf(std::move(Mix));
  if (Values.contains("entry"))
    for (const auto &Text : Values["entry"].as<std::vector<std::string>>()) {
      auto Entry = parseEntry(Text);
      if (!isOk(Entry))
        return errorOf(Entry);
      Plan.m_Entries.push_back(valueOf(Entry));
    }
  if (Values.contains("leaf-control"))
    for (const auto &Text :
         Values["leaf-control"].as<std::vector<std::string>>()) {
      auto Address = parseAddress(Text);
      if (!isOk(Address))
        return errorOf(Address);
      Plan.m_LeafControls.push_back(valueOf(Address));
    }
  if (Values.contains("snapshot"))
    Plan.m_Snapshot = Values["snapshot"].as<std::uint64_t>();
  if (Plan.m_Entries.empty() && !Plan.m_Plain)
    return OptionError{OptionErrorCode::MissingKey, "", "entry",
                       "required without --plain"};
  if (Plan.m_Mix.empty() || !(Plan.m_Rate > 0) || !(Plan.m_Seconds > 0) ||
      Plan.m_Threads == 0)
    return OptionError{OptionErrorCode::BadValue, "", "rate/seconds/threads",
                       "expected values above 0 and at least one service"};
  return Done{};
}

using Workers = std::vector<std::unique_ptr<LoadWorker>>;

void printProgress(const Workers &All, double Elapsed) {
  LoadStats Sum;
  Histogram Interval;
  for (const auto &Worker : All) {
    Sum.merge(Worker->stats());
    Interval.merge(Worker->takeIntervalLatency());
  }
  const auto Quantile = [&](double Q) {
    return toMillis(Interval.quantile(Q));
  };
  std::uint64_t Faults = 0;
  for (const auto &[Kind, Count] : Sum.m_Faults)
    Faults += Count;
  const boost::json::object Line{{"t_s", Elapsed},
                                 {"queries", Sum.m_Queries},
                                 {"answered", Sum.m_Answered},
                                 {"refused", Sum.m_Refused},
                                 {"cut", Sum.m_ConnectionsClosed},
                                 {"faults", Faults},
                                 {"interval_answered", Interval.count()},
                                 {"interval_p50_ms", Quantile(0.5)},
                                 {"interval_p99_ms", Quantile(0.99)},
                                 {"coverage_sum", Sum.m_CoverageSum}};
  std::cout << boost::json::serialize(Line) << "\n" << std::flush;
}

LoadStats runWorkers(const LoadPlan &Plan) {
  Workers All;
  for (unsigned I = 0; I < Plan.m_Threads; ++I)
    All.push_back(std::make_unique<LoadWorker>(Plan, I));
  std::atomic<unsigned> Running = Plan.m_Threads;
  std::vector<std::jthread> Threads;
  for (const auto &Worker : All)
    Threads.emplace_back([&Worker, &Running] {
      Worker->run();
      --Running;
    });
  constexpr auto PollInterval = 50ms;
  double Elapsed = 0;
  double NextProgress = Plan.m_ProgressSeconds;
  while (Running > 0) {
    std::this_thread::sleep_for(PollInterval);
    Elapsed += std::chrono::duration<double>(PollInterval).count();
    if (Plan.m_ProgressSeconds <= 0 || Elapsed < NextProgress)
      continue;
    printProgress(All, Elapsed);
    NextProgress += Plan.m_ProgressSeconds;
  }
  Threads.clear();
  LoadStats Sum;
  for (const auto &Worker : All)
    Sum.merge(Worker->stats());
  return Sum;
}

/// Returns the number of requests that arrived at leafs of the services in the
/// mix. Leafs of other services may receive requests from other callers at the
/// same time.
std::uint64_t countArrived(const LoadPlan &Plan,
                           const boost::json::array &Leafs) {
  std::uint64_t Sum = 0;
  for (const auto &Leaf : Leafs)
    for (const MixEntry &Entry : Plan.m_Mix)
      if (Leaf.at("service").as_string() == Entry.m_Service->m_Name)
        Sum += Leaf.at("arrived").to_number<std::uint64_t>();
  return Sum;
}

int run(const LoadPlan &Plan) {
  const auto RecordsBefore =
      fetchLeafs(Plan.m_LeafControls, "/records/summary");
  if (!isOk(RecordsBefore)) {
    std::cerr << describe(errorOf(RecordsBefore)) << "\n";
    return ExitRecords;
  }
  const LoadStats Stats = runWorkers(Plan);
  std::this_thread::sleep_for(SettleTime);
  const auto RecordsAfter = fetchLeafs(Plan.m_LeafControls, "/records/all");
  if (!isOk(RecordsAfter)) {
    std::cerr << describe(errorOf(RecordsAfter)) << "\n";
    return ExitRecords;
  }
  RecordCheck Records;
  if (!Plan.m_LeafControls.empty())
    Records = checkRecords(Stats.m_Ledger, valueOf(RecordsAfter),
                           Plan.m_IdPrefix + "-");
  const std::uint64_t LeafRequests = countArrived(Plan, valueOf(RecordsAfter)) -
                                     countArrived(Plan, valueOf(RecordsBefore));
  auto Report = toJson(Stats, Records, LeafRequests, Plan.m_Seconds);
  Report["records_checked"] = !Plan.m_LeafControls.empty();
  if (Plan.m_ReportHistogram) {
    boost::json::array Buckets;
    for (const auto &[Micros, Count] : Stats.m_Latency.buckets())
      Buckets.push_back(boost::json::array{Micros, Count});
    Report["histogram_us"] = std::move(Buckets);
  }
  std::cout << boost::json::serialize(Report) << "\n";
  return Report.at("violations").to_number<std::uint64_t>() > 0 ? ExitViolations
                                                                : 0;
}

} // namespace

int main(int Argc, char **Argv) {
  LoadPlan Plan;
  const auto All = describeOptions(Plan);
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Argc, Argv, All), Values);
    if (Values.contains("help")) {
      std::cout << All;
      return 0;
    }
    options::notify(Values);
  } catch (const options::error &Error) {
    std::cerr << Error.what() << "\n";
    return ExitUsage;
  }
  if (!Values.contains("manifest")) {
    std::cerr << "--manifest is required\n";
    return ExitUsage;
  }
  const auto PlanResult = readPlan(Values, Plan);
  if (!isOk(PlanResult)) {
    std::cerr << describe(errorOf(PlanResult)) << "\n";
    return ExitSettings;
  }
  return run(Plan);
}
