#include "ragwortdrift/tools/leaf/leaf_host.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace ragwortdrift;
using namespace ragwortdrift::tools;

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitListen = 4;

options::options_description describeOptions() {
  options::options_description All(
      "ragwortdrift-leaf: stand-in leafs for tests and experiments");
  auto Add = All.add_options();
  Add("help", "print this help text");
  Add("config", options::value<std::string>(),
      "INI file with a section [leaf NAME] for each leaf, and [defaults]");
  Add("manifest", options::value<std::string>(),
      "serve the leafs of this manifest");
  Add("domain", options::value<std::string>()->default_value(""),
      "with --manifest: only the leafs of this failure domain");
  Add("set", options::value<std::string>()->default_value("{}"),
      "with --manifest: JSON object of options for all leafs");
  Add("control", options::value<std::string>()->default_value(""),
      "ip:port of the control endpoint");
  Add("threads", options::value<unsigned>()->default_value(2),
      "number of threads that serve the leafs");
  Add("seed", options::value<std::uint64_t>()->default_value(1),
      "seed of the random service times");
  Add("records", options::value<std::string>()->default_value(""),
      "append a JSON line for each request whose execution starts");
  return All;
}

Result<std::vector<LeafOptions>, OptionError>
readLeafs(const options::variables_map &Values) {
  if (Values.contains("config"))
    return readLeafFile(Values["config"].as<std::string>());
  boost::system::error_code Code;
  const auto Set = boost::json::parse(Values["set"].as<std::string>(), Code);
  if (Code || !Set.is_object())
    return OptionError{OptionErrorCode::BadValue, "", "set",
                       "expected a JSON object"};
  return readManifestLeafs(Values["manifest"].as<std::string>(),
                           Values["domain"].as<std::string>(), Set.as_object());
}

int run(const options::variables_map &Values) {
  auto Leafs = readLeafs(Values);
  if (!isOk(Leafs)) {
    std::cerr << "settings: " << describe(errorOf(Leafs)) << "\n";
    return ExitSettings;
  }
  LeafHost Host(Values["threads"].as<unsigned>(),
                Values["seed"].as<std::uint64_t>(),
                Values["records"].as<std::string>());
  auto Started = Host.start(valueOf(std::move(Leafs)),
                            Values["control"].as<std::string>());
  if (!isOk(Started)) {
    std::cerr << "listen: " << describe(errorOf(Started)) << "\n";
    return ExitListen;
  }
  std::cerr << "serving leafs=" << Host.size() << "\n";
  boost::asio::io_context Io;
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([](const boost::system::error_code &, int) {});
  Io.run();
  Host.stop();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  const auto All = describeOptions();
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Argc, Argv, All), Values);
    options::notify(Values);
  } catch (const options::error &Error) {
    std::cerr << Error.what() << "\n";
    return ExitUsage;
  }
  if (Values.contains("help")) {
    std::cout << All;
    return 0;
  }
  if (Values.contains("config") == Values.contains("manifest")) {
    std::cerr << "one of --config and --manifest is required\n";
    return ExitUsage;
  }
  return run(Values);
}
