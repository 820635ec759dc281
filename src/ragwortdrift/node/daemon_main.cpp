#include "ragwortdrift/base/log.hpp"
#include "ragwortdrift/base/read_file.hpp"
#include "ragwortdrift/node/control_node.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

namespace options = boost::program_options;
using namespace ragwortdrift;

namespace {

enum ExitCode { Success = 0, BadSettings = 1, Usage = 2, StartFailed = 3 };

std::optional<Settings> readSettings(const std::string &Path) {
  const auto Text = readFile(Path);
  if (!Text) {
    std::cerr << Path << ": cannot be read\n";
    return std::nullopt;
  }
  auto Parsed = parseSettings(*Text);
  if (isOk(Parsed))
    return valueOf(std::move(Parsed));
  for (const ConfigError &Fault : errorOf(Parsed))
    std::cerr << Path << ": " << describe(Fault) << '\n';
  return std::nullopt;
}

Incarnation nextIncarnation(const Settings &DaemonSettings) {
  const auto Now = static_cast<std::uint64_t>(wallClockNow().count());
  if (!DaemonSettings.m_IncarnationFile)
    return Incarnation{Now};
  std::uint64_t Last = 0;
  if (const auto Text = readFile(DaemonSettings.m_IncarnationFile->string()))
    Last = std::strtoull(Text->c_str(), nullptr, 10);
  // The wall clock may have gone back since the last start.
  const std::uint64_t Next = std::max(Last + 1, Now);
  std::ofstream(*DaemonSettings.m_IncarnationFile) << Next << '\n';
  return Incarnation{Next};
}

std::string describeStart(const StartError &Error) {
  if (const auto *Store = std::get_if<StoreError>(&Error))
    return "data folder: " + std::string(nameOf(Store->m_Code)) + " " +
           Store->m_File + " at offset " + std::to_string(Store->m_Offset);
  if (const auto *Http = std::get_if<HttpError>(&Error))
    return std::string(nameOf(Http->m_Code)) + " " + Http->m_Detail;
  return "peer listener: " +
         std::string(nameOf(std::get<NetError>(Error).m_Code));
}

int runDaemon(const Settings &DaemonSettings) {
  const auto Chart = LeafChart::load(DaemonSettings.m_ChartFolder / "leaf.ini");
  if (!isOk(Chart)) {
    for (const ChartError &Fault : errorOf(Chart))
      std::cerr << (DaemonSettings.m_ChartFolder / "leaf.ini").string() << ": "
                << describe(Fault) << '\n';
    return BadSettings;
  }
  const auto Logging =
      startLogging({static_cast<LogSeverity>(DaemonSettings.m_LogLevel),
                    DaemonSettings.m_LogFormat == LogFormat::Json,
                    DaemonSettings.m_LogFile});
  if (!isOk(Logging)) {
    std::cerr << errorOf(Logging).m_File.string() << ": cannot be opened\n";
    return StartFailed;
  }
  ControlNode Control(DaemonSettings, nextIncarnation(DaemonSettings));
  std::vector<std::unique_ptr<TrafficThread>> Threads;
  std::vector<TrafficThread *> Pointers;
  for (unsigned Index = 0; Index < DaemonSettings.m_TrafficThreads; ++Index) {
    Threads.push_back(std::make_unique<TrafficThread>(
        DaemonSettings, Index, valueOf(Chart), Control.claims()));
    Pointers.push_back(Threads.back().get());
  }
  Control.setTraffic(Pointers);
  for (const auto &Thread : Threads) {
    Thread->setSiblings(Pointers);
    const auto Listening = Thread->listenForCallers();
    if (!isOk(Listening)) {
      std::cerr << describeStart(errorOf(Listening)) << '\n';
      return StartFailed;
    }
  }
  const auto Relays = Threads.front()->listenForRelays();
  if (!isOk(Relays)) {
    std::cerr << describeStart(errorOf(Relays)) << '\n';
    return StartFailed;
  }
  const auto Started = Control.start();
  if (!isOk(Started)) {
    std::cerr << describeStart(errorOf(Started)) << '\n';
    return StartFailed;
  }
  for (const auto &Thread : Threads)
    Thread->start();
  boost::asio::io_context SignalIo;
  boost::asio::signal_set Signals(SignalIo, SIGTERM, SIGINT);
  std::function<void()> Wait = [&] {
    Signals.async_wait([&](const boost::system::error_code &Error, int) {
      if (Error)
        return;
      Control.beginStop();
      Wait();
    });
  };
  Wait();
  std::thread SignalThread([&] { SignalIo.run(); });
  logEvent(LogSeverity::Info, "daemon.started",
           {{"vm", DaemonSettings.m_Vm}, {"domain", DaemonSettings.m_Domain}});
  Control.run();
  SignalIo.stop();
  SignalThread.join();
  for (const auto &Thread : Threads)
    Thread->stop();
  logEvent(LogSeverity::Info, "daemon.stopped", {{"vm", DaemonSettings.m_Vm}});
  return Success;
}

} // namespace

int main(int Argc, char **Argv) {
  options::options_description Known("ragwortdriftd options");
  Known.add_options()("help", "show this text")("version", "show the version")(
      "config", options::value<std::string>(), "run with the settings of FILE")(
      "check-config", options::value<std::string>(),
      "check the settings of FILE and exit");
  options::variables_map Arguments;
  try {
    options::store(options::parse_command_line(Argc, Argv, Known), Arguments);
  } catch (const options::error &Error) {
    std::cerr << "ragwortdriftd: " << Error.what() << '\n';
    return Usage;
  }
  if (Arguments.contains("help")) {
    std::cout << Known;
    return Success;
  }
  if (Arguments.contains("version")) {
    std::cout << "ragwortdriftd " RAGWORTDRIFT_VERSION "\n";
    return Success;
  }
  if (Arguments.contains("check-config"))
    return readSettings(Arguments["check-config"].as<std::string>())
               ? Success
               : BadSettings;
  if (!Arguments.contains("config")) {
    std::cerr << "ragwortdriftd: --config FILE is required\n";
    return Usage;
  }
  const auto DaemonSettings =
      readSettings(Arguments["config"].as<std::string>());
  return DaemonSettings ? runDaemon(*DaemonSettings) : BadSettings;
}
