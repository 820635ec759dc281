#include "ragwortdrift/fleet/core_directory.hpp"

#include "ragwortdrift/testing/table.hpp"

#include <criterion/criterion.h>

using namespace ragwortdrift;
using namespace std::chrono_literals;

namespace {

using Addresses = std::vector<std::string>;

/// What happens to the directory of the VM "self" a second after the step
/// before it.
struct Step {
  enum class Kind { Members, Join, Reply, Pause };
  Kind m_Kind;
  Addresses m_Addresses;
  /// Of this VM for Members, of the sender for Reply.
  bool m_FollowsLeader = true;
  /// Repetitions, a second apart.
  int m_Times = 1;
};
using enum Step::Kind;

struct DirectoryCase {
  const char *m_Name;
  std::vector<Step> m_Steps;
  Addresses m_Current;
  Addresses m_All;
};
const DirectoryCase DirectoryCases[] = {
    {"settings are contacted, not named", {}, {}, {"seed"}},
    {"members replace former ones",
     {{Members, {"a", "b", "self"}}, {Members, {"b", "c", "self"}}},
     {"b", "c"},
     {"b", "c", "seed"}},
    {"a VM that waits to join is named",
     {{Members, {"a", "self"}}, {Join, {"n"}}},
     {"a", "n"},
     {"a", "n", "seed"}},
    {"a VM that stopped waiting is forgotten",
     {{Members, {"a", "self"}}, {Join, {"n"}}, {Pause, {}, true, 6}},
     {"a"},
     {"a", "seed"}},
    {"a VM that waits learns those that run",
     {{Reply, {"a", "b"}}},
     {"a", "b"},
     {"a", "b", "seed"}},
    {"a removed member drops its former log",
     {{Members, {"old-1", "old-2", "self"}, false}, {Reply, {"a", "b"}}},
     {"a", "b"},
     {"a", "b", "old-1", "old-2", "seed"}},
    {"a member without a leader keeps its log",
     {{Members, {"a", "b", "self"}, false}, {Reply, {"gone"}, false}},
     {"a", "b"},
     {"a", "b", "gone", "seed"}},
    {"addresses of VMs without a leader are not passed on",
     {{Reply, {"a"}}, {Reply, {"gone"}, false}},
     {"a"},
     {"a", "gone", "seed"}},
    {"an address that is not named any more is forgotten",
     {{Reply, {"a", "gone"}}, {Reply, {"a"}, true, 11}},
     {"a"},
     {"a", "seed"}},
    {"addresses are kept while nobody replies",
     {{Reply, {"a", "b"}}, {Pause, {}, true, 600}, {Reply, {"b"}}},
     {"a", "b"},
     {"a", "b", "seed"}},
    {"what others named ends with a leader",
     {{Reply, {"a", "gone"}}, {Members, {"a", "self"}}},
     {"a"},
     {"a", "seed"}},
};

} // namespace

// Guards against addresses of removed core VMs that core VMs keep naming to
// each other and to entry VMs for good (review/8).
TABLE_TEST(core_directory, knows_running_core_vms, DirectoryCases) {
  CoreDirectory Directory("self");
  Directory.setConfigured({"seed", "self"});
  TimePoint Now{1h};
  for (const Step &Next : Row.m_Steps)
    for (int I = 0; I < Next.m_Times; ++I) {
      Now = Now + 1s;
      if (Next.m_Kind == Members)
        Directory.setMembers({Next.m_Addresses.begin(), Next.m_Addresses.end()},
                             Next.m_FollowsLeader);
      else if (Next.m_Kind == Join)
        Directory.recordJoinRequest(Next.m_Addresses.front(), Now);
      else if (Next.m_Kind == Reply)
        Directory.recordJoinReply(Next.m_Addresses, Next.m_FollowsLeader, Now);
    }
  cr_assert(Directory.current(Now) == Row.m_Current, "%s", Row.m_Name);
  cr_assert(Directory.all(Now) == Row.m_All, "%s", Row.m_Name);
}
