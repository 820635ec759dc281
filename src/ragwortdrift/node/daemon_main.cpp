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
    std::cerr << Path << ": cannot read the file\n";
    return std::nullopt;
  }
  auto ParseResult = parseSettings(*Text);
  if (isOk(ParseResult))
    return valueOf(std::move(ParseResult));
  for (const ConfigError &Error : errorOf(ParseResult))
    std::cerr << Path << ": " << describe(Error) << '\n';
  return std::nullopt;
}

Incarnation nextIncarnation(const Settings &DaemonSettings) {
  const auto Now = static_cast<std::uint64_t>(wallClockNow().count());
  if (!DaemonSettings.m_IncarnationFile)
    return Incarnation{Now};
  std::uint64_t Last = 0;
  if (const auto Text = readFile(DaemonSettings.m_IncarnationFile->string()))
    Last = std::strtoull(Text->c_str(), nullptr, 10);
  // The wall clock may have moved back since the last start.
  const std::uint64_t Next = std::max(Last + 1, Now);
  std::ofstream(*DaemonSettings.m_IncarnationFile) << Next << '\n';
  return Incarnation{Next};
}

std::string describeStartError(const StartError &Error) {
  if (const auto *StorageError = std::get_if<StoreError>(&Error))
    return "data folder: " + std::string(nameOf(StorageError->m_Code)) + " " +
           StorageError->m_File + " at offset " +
           std::to_string(StorageError->m_Offset);
  if (const auto *ListenError = std::get_if<HttpError>(&Error))
    return std::string(nameOf(ListenError->m_Code)) + " " +
           ListenError->m_Detail;
  return "peer listener: " +
         std::string(nameOf(std::get<NetError>(Error).m_Code));
}

int runDaemon(const Settings &DaemonSettings) {
  const auto Chart = LeafChart::load(DaemonSettings.m_ChartFolder / "leaf.ini");
  if (!isOk(Chart)) {
    for (const ChartError &Error : errorOf(Chart))
      std::cerr << (DaemonSettings.m_ChartFolder / "leaf.ini").string() << ": "
                << describe(Error) << '\n';
    return BadSettings;
  }
  const auto LogResult =
      startLogging({static_cast<LogSeverity>(DaemonSettings.m_LogLevel),
                    DaemonSettings.m_LogFormat == LogFormat::Json,
                    DaemonSettings.m_LogFile});
  if (!isOk(LogResult)) {
    std::cerr << errorOf(LogResult).m_File.string()
              << ": cannot open the log file\n";
    return StartFailed;
  }
  ControlNode Control(DaemonSettings, nextIncarnation(DaemonSettings));
  std::vector<std::unique_ptr<TrafficThread>> Threads;
  std::vector<TrafficThread *> ThreadPointers;
  for (unsigned Index = 0; Index < DaemonSettings.m_TrafficThreads; ++Index) {
    Threads.push_back(std::make_unique<TrafficThread>(
        DaemonSettings, Index, valueOf(Chart), Control.claims()));
    ThreadPointers.push_back(Threads.back().get());
  }
  Control.setTraffic(ThreadPointers);
  for (const auto &Thread : Threads) {
    Thread->setSiblings(ThreadPointers);
    const auto ListenResult = Thread->listenForCallers();
    if (!isOk(ListenResult)) {
      std::cerr << describeStartError(errorOf(ListenResult)) << '\n';
      return StartFailed;
    }
  }
  const auto RelayResult = Threads.front()->listenForRelays();
  if (!isOk(RelayResult)) {
    std::cerr << describeStartError(errorOf(RelayResult)) << '\n';
    return StartFailed;
  }
  const auto StartResult = Control.start();
  if (!isOk(StartResult)) {
    std::cerr << describeStartError(errorOf(StartResult)) << '\n';
    return StartFailed;
  }
  for (const auto &Thread : Threads)
    Thread->start();
  boost::asio::io_context SignalIo;
  boost::asio::signal_set Signals(SignalIo, SIGTERM, SIGINT);
  std::function<void()> WaitForSignal = [&] {
    Signals.async_wait([&](const boost::system::error_code &Error, int) {
      if (Error)
        return;
      Control.beginStop();
      WaitForSignal();
    });
  };
  WaitForSignal();
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
  options::options_description Options("ragwortdriftd options");
  Options.add_options()("help", "show this text")(
      "version", "show the version")("config", options::value<std::string>(),
                                     "run with the settings of FILE")(
      "check-config", options::value<std::string>(),
      "check the settings of FILE and exit");
  options::variables_map Arguments;
  try {
    options::store(options::parse_command_line(Argc, Argv, Options), Arguments);
  } catch (const options::error &Error) {
    std::cerr << "ragwortdriftd: " << Error.what() << '\n';
    return Usage;
  }
  if (Arguments.contains("help")) {
    std::cout << Options;
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
