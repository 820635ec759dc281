#include "ragwortdrift/fleet/core_node.hpp"
#include "ragwortdrift/testing/loopback.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <cstdarg>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

using namespace ragwortdrift;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Folder whose disk is full, or empty.
std::string FullFolder;
unsigned FullWrites = 0;

bool isFull(const char *Path) {
  return !FullFolder.empty() && std::string_view(Path).starts_with(FullFolder);
}

bool isFull(int Fd) {
  if (FullFolder.empty())
    return false;
  char Path[4096] = {};
  const std::string Link = "/proc/self/fd/" + std::to_string(Fd);
  return ::readlink(Link.c_str(), Path, sizeof(Path) - 1) > 0 && isFull(Path);
}

} // namespace

/// Replaces the function of the C library in this program: a full disk takes
/// a part of some writes and creates no files.
extern "C" ssize_t write(int Fd, const void *Data, std::size_t Size) {
  if (isFull(Fd)) {
    if (FullWrites++ % 2 == 0 || Size < 2) {
      errno = ENOSPC;
      return -1;
    }
    Size /= 2;
  }
  return ::syscall(SYS_write, Fd, Data, Size);
}

extern "C" int open(const char *Path, int Flags, ...) {
  va_list Arguments;
  va_start(Arguments, Flags);
  const unsigned Mode =
      (Flags & O_CREAT) != 0 ? va_arg(Arguments, unsigned) : 0;
  va_end(Arguments);
  struct stat Info {};
  if ((Flags & O_CREAT) != 0 && isFull(Path) && ::stat(Path, &Info) != 0) {
    errno = ENOSPC;
    return -1;
  }
  return static_cast<int>(::syscall(SYS_openat, AT_FDCWD, Path, Flags, Mode));
}

namespace {

struct DiskCase {
  const char *m_Name;
  std::size_t m_Voters;
  /// Core VMs that wait for the place of a voter.
  std::size_t m_Spares;
  /// Number of VMs whose disks fill up, one after another.
  std::size_t m_FullDisks;
  Duration m_FullTime;
  /// Time between two full disks.
  Duration m_Pause;
  std::size_t m_PayloadBytes;
  /// True if each disk that fills up is that of the leader.
  bool m_IsLeader;
  /// True if the process on the full disk restarts.
  bool m_Restarts;
};
const DiskCase DiskCases[] = {
    {"three voters", 3, 0, 3, 3s, 500ms, 10, false, false},
    {"three voters, no pause", 3, 0, 3, 1500ms, 0ms, 10, false, false},
    {"leaders of three voters", 3, 0, 3, 3s, 500ms, 10, true, false},
    {"restarts of three voters", 3, 0, 3, 2s, 500ms, 10, false, true},
    {"restarts of three leaders", 3, 0, 3, 2s, 500ms, 10, true, true},
    {"snapshots of three voters", 3, 0, 3, 3s, 300ms, 400'000, false, false},
    {"five voters", 5, 0, 5, 3500ms, 500ms, 10, false, false},
    {"leaders of five voters", 5, 0, 5, 3500ms, 100ms, 10, true, false},
    {"snapshots and restarts of five leaders", 5, 0, 5, 2s, 100ms, 400'000,
     true, true},
    {"voters and a spare", 5, 1, 6, 3500ms, 500ms, 10, false, false},
    {"leaders and a spare", 5, 1, 6, 3500ms, 100ms, 10, true, false},
    {"voters out for long", 5, 0, 2, 14s, 500ms, 10, false, false},
};

/// Core VMs on loopback whose disks can be full.
struct DiskFleet {
  DiskFleet(std::size_t Voters, std::size_t Spares) : m_Voters(Voters) {
    m_Folder = std::filesystem::temp_directory_path() /
               ("rd-disk-" + std::to_string(::getpid()));
    // The system may choose the port of an endpoint that is not yet in use
    // again.
    while (m_Peers.size() < Voters + Spares)
      if (const Endpoint Peer = testing::freeEndpoint(m_Io);
          std::ranges::find(m_Peers, Peer) == m_Peers.end())
        m_Peers.push_back(Peer);
    m_Nodes.resize(m_Peers.size());
    for (std::size_t I = 0; I < m_Peers.size(); ++I)
      cr_assert(start(I));
  }
  ~DiskFleet() {
    FullFolder.clear();
    m_Nodes.clear();
    std::error_code Ignored;
    std::filesystem::remove_all(m_Folder, Ignored);
  }

  std::string folder(std::size_t Index) const {
    return (m_Folder / std::to_string(Index)).string();
  }
  bool start(std::size_t Index) {
    FleetSettings Settings;
    Settings.m_Vm = VmId{"vm-" + std::to_string(Index)};
    Settings.m_Cores = {m_Peers.begin(),
                        m_Peers.begin() + static_cast<long>(m_Voters)};
    Settings.m_Peers = m_Peers[Index];
    Settings.m_Folder = folder(Index);
    Settings.m_FormCluster = Index < m_Voters;
    Settings.m_LeafList = testing::freeEndpoint(m_Io);
    Settings.m_LeafListRate = 1;
    LeafListFormat Format;
    Format.m_MakeTarget = [](const std::string &) { return "/"; };
    Format.m_ParsePage =
        [](std::string_view) -> Result<LeafListPage, ListError> {
      return ListError{ListErrorCode::BadPage, {}};
    };
    m_Nodes[Index] = std::make_unique<CoreNode>(m_Io, Settings, Format);
    if (isOk(m_Nodes[Index]->start()))
      return true;
    m_Nodes[Index].reset();
    return false;
  }

  template <class Condition> bool runUntil(Condition IsMet, Duration Limit) {
    const auto End = std::chrono::steady_clock::now() + Limit;
    while (!IsMet()) {
      if (std::chrono::steady_clock::now() >= End)
        return false;
      m_Io.restart();
      m_Io.run_one_for(5ms);
    }
    return true;
  }
  double gauge(std::size_t Index, const char *Name) {
    if (m_Nodes[Index])
      for (const MetricSample &Sample : m_Nodes[Index]->metrics())
        if (Sample.m_Name == Name)
          return std::get<Gauge>(Sample.m_Value).value();
    return -1;
  }
  std::size_t leader(std::size_t Default) {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      if (gauge(I, "ragwortdrift_log_leads") == 1)
        return I;
    return Default;
  }
  /// Sends a change to a VM and returns true if it is acknowledged. The bound
  /// on the answer holds for each change.
  bool change(std::size_t Index) {
    if (!m_Nodes[Index])
      return false;
    std::optional<bool> Accepted;
    const std::string Text(m_PayloadBytes, 'x');
    m_Nodes[Index]->submit(
        SetConfig{{++m_Version, Text}},
        [&](const Result<RoutingCommandOutcome, CoreError> &Outcome) {
          Accepted = isOk(Outcome);
        });
    cr_assert(runUntil([&] { return Accepted.has_value(); }, 4s),
              "a change at VM %zu was not answered", Index);
    return *Accepted;
  }

  asio::io_context m_Io;
  std::size_t m_Voters;
  std::filesystem::path m_Folder;
  std::vector<Endpoint> m_Peers;
  std::vector<std::unique_ptr<CoreNode>> m_Nodes;
  std::size_t m_PayloadBytes = 10;
  std::uint64_t m_Version = 0;
};

} // namespace

// Guards against voters that do not return after their disks were full one
// after another, so that the last ones are no majority.
TABLE_TEST(full_disk, accepts_changes_after_all_have_room, DiskCases) {
  DiskFleet Fleet(Row.m_Voters, Row.m_Spares);
  const std::size_t Vms = Row.m_Voters + Row.m_Spares;
  Fleet.m_PayloadBytes = Row.m_PayloadBytes;
  cr_assert(Fleet.runUntil([&] { return Fleet.change(0); }, 10s));
  int Accepted = 0;
  for (std::size_t I = 0; I < Row.m_FullDisks; ++I) {
    const std::size_t Full = Row.m_IsLeader ? Fleet.leader(I) : I;
    FullFolder = Fleet.folder(Full);
    const auto FullUntil = std::chrono::steady_clock::now() + Row.m_FullTime;
    if (Row.m_Restarts)
      Fleet.m_Nodes[Full].reset();
    for (std::size_t Target = 0; std::chrono::steady_clock::now() < FullUntil;
         ++Target) {
      if (!Fleet.m_Nodes[Full])
        (void)Fleet.start(Full);
      Accepted += Fleet.change(Target % Vms) ? 1 : 0;
      Fleet.runUntil([] { return false; }, 10ms);
    }
    FullFolder.clear();
    if (!Fleet.m_Nodes[Full])
      cr_assert(Fleet.start(Full), "%s", Row.m_Name);
    Fleet.runUntil([] { return false; }, Row.m_Pause);
  }
  // Joins and elections take a few seconds.
  const auto End = std::chrono::steady_clock::now() + 5s;
  for (std::size_t I = 0; I < Vms; ++I)
    cr_assert(Fleet.runUntil([&] { return Fleet.change(I); },
                             std::chrono::duration_cast<Duration>(
                                 End - std::chrono::steady_clock::now())),
              "%s: VM %zu accepts no change", Row.m_Name, I);
  // Each voter has the newest version, and its store takes writes.
  const auto HasAllVoters = [&] {
    std::size_t Current = 0;
    for (std::size_t I = 0; I < Vms; ++I)
      Current += Fleet.gauge(I, "ragwortdrift_log_voters") ==
                     static_cast<double>(Row.m_Voters) &&
                 Fleet.gauge(I, "ragwortdrift_config_version") ==
                     static_cast<double>(Fleet.m_Version) &&
                 Fleet.gauge(I, "ragwortdrift_store_usable") == 1;
    return Current >= Row.m_Voters;
  };
  cr_assert(Fleet.runUntil(HasAllVoters, 6s),
            "%s: fewer than %zu voters have version %llu", Row.m_Name,
            Row.m_Voters, static_cast<unsigned long long>(Fleet.m_Version));
  cr_assert_gt(Accepted, 10, "%s: %d changes accepted meanwhile", Row.m_Name,
               Accepted);
}
