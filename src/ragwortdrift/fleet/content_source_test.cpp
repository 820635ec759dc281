#include "ragwortdrift/fleet/content_source.hpp"
#include "ragwortdrift/testing/table.hpp"

using namespace ragwortdrift;

namespace {

const FailureDomain LocalDomain{"near"};
const FailureDomain RemoteDomain{"far"};

struct SourceCase {
  const char *m_Name;
  ContentVersion m_Candidate;
  std::optional<ContentVersion> m_Current;
  ContentVersion m_Local;
  bool m_IsStarting;
  SourceDecision m_Decision;
};
const SourceCase SourceCases[] = {
    {"first core VM",
     {RemoteDomain, 0, {}},
     {},
     {LocalDomain, 0, {}},
     true,
     SourceDecision::SwitchNow},
    {"same content",
     {RemoteDomain, 5, {1, 1}},
     {{RemoteDomain, 5, {1, 1}}},
     {LocalDomain, 5, {1, 1}},
     false,
     SourceDecision::Keep},
    {"local failure domain",
     {LocalDomain, 5, {1, 1}},
     {{RemoteDomain, 5, {1, 1}}},
     {LocalDomain, 5, {1, 1}},
     false,
     SourceDecision::SwitchNow},
    {"both in local failure domain",
     {LocalDomain, 5, {1, 1}},
     {{LocalDomain, 5, {1, 1}}},
     {LocalDomain, 5, {1, 1}},
     false,
     SourceDecision::Keep},
    {"newer state",
     {RemoteDomain, 6, {1, 1}},
     {{LocalDomain, 5, {1, 1}}},
     {LocalDomain, 5, {1, 1}},
     false,
     SourceDecision::SwitchAfterDelay},
    {"newer list",
     {RemoteDomain, 5, {2, 1}},
     {{LocalDomain, 5, {1, 9}}},
     {LocalDomain, 5, {1, 9}},
     false,
     SourceDecision::SwitchAfterDelay},
    {"newer state just after the start",
     {RemoteDomain, 6, {1, 1}},
     {{LocalDomain, 5, {1, 1}}},
     {LocalDomain, 5, {1, 1}},
     true,
     SourceDecision::SwitchNow},
    {"newer state that the source has too",
     {RemoteDomain, 6, {1, 1}},
     {{LocalDomain, 6, {1, 1}}},
     {LocalDomain, 5, {1, 1}},
     false,
     SourceDecision::Keep},
    // The newer content of the current source is on its way.
    {"local failure domain but behind the source",
     {LocalDomain, 2, {1, 1}},
     {{RemoteDomain, 18, {1, 1}}},
     {LocalDomain, 2, {1, 1}},
     false,
     SourceDecision::Keep},
    {"local failure domain but behind the entry VM",
     {LocalDomain, 2, {1, 1}},
     {{RemoteDomain, 2, {1, 1}}},
     {LocalDomain, 5, {1, 1}},
     false,
     SourceDecision::Keep},
};

} // namespace

// Guards against an entry VM that keeps an outdated state although another core
// VM has a newer one, and against one that switches back and forth between two
// core VMs and receives the content of neither.
TABLE_TEST(content_source, follows_newest_content, SourceCases) {
  const SourceDecision Decision =
      evaluateSource(Row.m_Candidate, Row.m_Current ? &*Row.m_Current : nullptr,
                     Row.m_Local, Row.m_IsStarting);
  cr_assert(Decision == Row.m_Decision, "%s", Row.m_Name);
}
