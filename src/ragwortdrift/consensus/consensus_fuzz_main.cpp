#include "ragwortdrift/testing/consensus_fuzz.hpp"

#include <boost/program_options.hpp>

#include <atomic>
#include <mutex>
#include <thread>

namespace {

using namespace ragwortdrift;

struct FuzzOptions {
  std::uint64_t m_FirstSeed = 0;
  std::uint64_t m_LastSeed = 0;
  std::chrono::seconds m_FaultDuration{20};
  unsigned m_Jobs = 1;
  bool m_Trace = false;
  FuzzProfile m_Profile = FuzzProfile::Mixed;
};

/// Runs all seeds and returns the number of failed ones.
std::uint64_t runAll(const FuzzOptions &Options) {
  std::atomic<std::uint64_t> NextSeed = Options.m_FirstSeed;
  std::atomic<std::uint64_t> FailedSeeds = 0;
  std::atomic<std::uint64_t> AcknowledgedProposals = 0;
  std::mutex Output;
  std::map<std::string, std::uint64_t> Events;
  auto RunSeeds = [&] {
    for (std::uint64_t Seed = NextSeed++; Seed <= Options.m_LastSeed;
         Seed = NextSeed++) {
      try {
        ConsensusFuzz Fuzz(Seed, Options.m_Trace, Options.m_Profile);
        AcknowledgedProposals += Fuzz.run(Options.m_FaultDuration);
        std::scoped_lock Lock(Output);
        for (const auto &[Name, Count] : Fuzz.events())
          Events[Name] += Count;
      } catch (const InvariantViolation &Failure) {
        ++FailedSeeds;
        std::scoped_lock Lock(Output);
        std::cout << "seed " << Seed << ": " << Failure.what() << "\n";
      }
    }
  };
  std::vector<std::thread> Threads;
  for (unsigned I = 0; I < Options.m_Jobs; ++I)
    Threads.emplace_back(RunSeeds);
  for (std::thread &Thread : Threads)
    Thread.join();
  std::cout << Options.m_LastSeed - Options.m_FirstSeed + 1 - FailedSeeds
            << " seeds passed, " << FailedSeeds << " failed, "
            << AcknowledgedProposals << " proposals acknowledged\n";
  for (const auto &[Name, Count] : Events)
    std::cout << Name << ": " << Count << "\n";
  return FailedSeeds;
}

} // namespace

int main(int Argc, char **Argv) {
  namespace po = boost::program_options;
  FuzzOptions Options;
  std::string Seeds;
  std::string Profile;
  unsigned Seconds = 20;
  po::options_description Description(
      "consensus_fuzz: random faults against the "
      "replicated log, in virtual time");
  // clang-format off
  Description.add_options()
    ("help", "print this help")
    ("seeds", po::value(&Seeds)->required(), "range of seeds A..B, inclusive")
    ("seconds", po::value(&Seconds)->default_value(20), "virtual seconds with faults per seed")
    ("jobs", po::value(&Options.m_Jobs)->default_value(4), "number of threads")
    ("profile", po::value(&Profile)->default_value("mixed"), "fault profile: mixed, churn or replacement")
    ("trace", po::bool_switch(&Options.m_Trace), "trace faults and membership changes");
  // clang-format on
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(Argc, Argv, Description), Values);
    if (Values.count("help")) {
      std::cout << Description;
      return 0;
    }
    po::notify(Values);
    auto ParsedProfile = parseEnum<FuzzProfile>(Profile);
    if (!ParsedProfile)
      throw po::validation_error(po::validation_error::invalid_option_value,
                                 "profile", Profile);
    Options.m_Profile = *ParsedProfile;
    std::size_t Dots = Seeds.find("..");
    Options.m_FirstSeed = std::stoull(Seeds);
    Options.m_LastSeed = Dots == std::string::npos
                             ? Options.m_FirstSeed
                             : std::stoull(Seeds.substr(Dots + 2));
  } catch (const std::exception &Error) {
    std::cerr << "consensus_fuzz: " << Error.what() << "\n" << Description;
    return 2;
  }
  Options.m_FaultDuration = std::chrono::seconds(Seconds);
  return runAll(Options) == 0 ? 0 : 1;
}
