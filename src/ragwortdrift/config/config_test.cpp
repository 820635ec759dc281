#include "ragwortdrift/config/catalog.hpp"
#include "ragwortdrift/config/manifest.hpp"
#include "ragwortdrift/config/settings.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <numeric>

using namespace ragwortdrift;

namespace {

using Errors = std::vector<ConfigError>;

/// Formats each error as "line section/key code".
std::string summary(const Errors &List) {
  std::string Out;
  for (const ConfigError &Error : List)
    Out += std::to_string(Error.m_Line) + " " + Error.m_Section + "/" +
           Error.m_Key + " " + std::string(nameOf(Error.m_Code)) + "\n";
  return Out;
}

struct ErrorCase {
  const char *m_Name;
  std::string m_Text;
  std::string m_Expected;
};

const std::string Service = "slots = 2\nconnections = 25\n";
const std::string Valid = "[manifest]\nname = m\n[domain d]\n[service s]\n"
                          "kind = fanout\n" +
                          Service +
                          "[leaf l]\nservice = s\ngroup = g\ndomain = d\n"
                          "address = 127.0.0.1:9000\n";
// Lines of Valid: 1 manifest, 3 domain, 4 service, 8 leaf, 12 address.

const ErrorCase ManifestErrors[] = {
    {"empty text", "", "0 manifest/name missing_key\n"},
    {"unknown section", Valid + "[shard x]\n", "13 shard x/ unknown_section\n"},
    {"section kind that a manifest cannot contain",
     Valid + "[vm v]\ndisk = yes\n", "13 vm v/ unknown_section\n"},
    {"section without a name", Valid + "[leaf]\n",
     "13 leaf/ bad_value\n13 leaf/service missing_key\n13 leaf/group "
     "missing_key\n13 leaf/domain missing_key\n13 leaf/address missing_key\n"},
    {"name with a slash", Valid + "[domain a/b]\n",
     "13 domain a/b/ bad_value\n"},
    {"name on a section that occurs once", Valid + "[limits x]\n",
     "13 limits x/ bad_value\n"},
    {"unknown key", Valid + "weight = 3\n", "13 leaf l/weight unknown_key\n"},
    {"repeated key", Valid + "group = h\n", "13 leaf l/group duplicate\n"},
    {"repeated section", Valid + "[domain  d]\n", "13 domain d/ duplicate\n"},
    {"errors in a repeated section", Valid + "[domain d]\nregion = !\n",
     "13 domain d/ duplicate\n14 domain d/region bad_value\n"},
    {"line without a value", Valid + "[domain e]\nregion\n",
     "14 domain e/region syntax\n"},
    {"header without an end", Valid + "[domain e\nregion = r\n",
     "13 / syntax\n"},
    {"key before any section", "a = b\n" + Valid, "1 /a syntax\n"},
    {"control character", Valid + "[customer c]\na = b\x01\n",
     "14 customer c/ syntax\n"},
    {"number followed by text", Valid + "[limits]\nmax_in_flight = 20x\n",
     "14 limits/max_in_flight bad_value\n"},
    {"fraction instead of an integer",
     Valid + "[limits]\nmax_in_flight = 2.5\n",
     "14 limits/max_in_flight bad_value\n"},
    {"number below its range", Valid + "[limits]\nclaim_retention_h = 0\n",
     "14 limits/claim_retention_h out_of_range\n"},
    {"number above its range", Valid + "[limits]\nhedge_ratio = 1.01\n",
     "14 limits/hedge_ratio out_of_range\n"},
    {"number beyond any type", Valid + "[limits]\nmax_body_bytes = 9e99\n",
     "14 limits/max_body_bytes bad_value\n"},
    {"not a number", Valid + "[limits]\nhedge_ratio = nan\n",
     "14 limits/hedge_ratio bad_value\n"},
    {"port out of range",
     Valid + "[leaf m]\nservice = s\ngroup = g\ndomain = d\n"
             "address = 127.0.0.1:65536\n",
     "17 leaf m/address bad_value\n"},
    {"same address twice",
     Valid + "[leaf m]\nservice = s\ngroup = g\ndomain = d\n"
             "address = 127.0.0.1:9000\n",
     "17 leaf m/address duplicate\n"},
    {"undefined references",
     Valid + "[leaf m]\nservice = t\ngroup = g\ndomain = e\n"
             "address = 127.0.0.1:9001\n",
     "14 leaf m/service unknown_reference\n16 leaf m/domain "
     "unknown_reference\n"},
    {"service without leafs", Valid + "[service t]\nkind = single\n" + Service,
     "13 service t/ empty\n"},
    {"unknown kind of service",
     "[manifest]\nname = m\n[service s]\nkind = both\n" + Service,
     "3 service s/ empty\n4 service s/kind bad_value\n"},
    {"errors in file order",
     "[limits]\nhedge_ratio = x\n[domain d]\ncolour = red\n[odd]\n",
     "2 limits/hedge_ratio bad_value\n4 domain d/colour unknown_key\n"
     "5 odd/ unknown_section\n0 manifest/name missing_key\n"},
};

const std::string Key(64, 'a');
const std::string ValidSettings =
    "[vm]\nid = vm1\ndomain = d\n[listen]\ncaller = 127.0.0.1:1\n"
    "admin = 127.0.0.1:2\ncontrol = 127.0.0.1:3\nrelay = 127.0.0.1:4\n"
    "[peers]\nkey = " +
    Key + "\n";
// Lines: 1 vm, 4 listen, 9 peers, 10 key.

const ErrorCase SettingsErrors[] = {
    {"empty text", "",
     "0 vm/id missing_key\n0 vm/domain missing_key\n0 listen/caller "
     "missing_key\n0 listen/admin missing_key\n0 listen/control "
     "missing_key\n0 listen/relay missing_key\n0 peers/key missing_key\n"},
    {"missing key is reported at its section",
     "[vm]\nid = vm1\n" + ValidSettings.substr(ValidSettings.find("[listen]")),
     "1 vm/domain missing_key\n"},
    {"repeated section", ValidSettings + "[vm]\n", "11 vm/ duplicate\n"},
    {"unknown section", ValidSettings + "[tls]\n", "11 tls/ unknown_section\n"},
    {"unknown key", ValidSettings + "salt = x\n",
     "11 peers/salt unknown_key\n"},
    {"seed without a port", ValidSettings + "seeds = 127.0.0.1:1, 127.0.0.1\n",
     "11 peers/seeds bad_value\n"},
    {"seed list with a trailing comma",
     ValidSettings + "seeds = 127.0.0.1:1,\n", "11 peers/seeds bad_value\n"},
    {"threads out of range", ValidSettings + "[traffic]\nthreads = 65\n",
     "12 traffic/threads out_of_range\n"},
    {"threads with text", ValidSettings + "[traffic]\nthreads = 2 \"\n",
     "12 traffic/threads bad_value\n"},
    {"unknown level", ValidSettings + "[log]\nlevel = trace\n",
     "12 log/level bad_value\n"},
    {"voter without an id",
     ValidSettings + "[storage]\nfolder = f\n[consensus]\nbootstrap = "
                     "127.0.0.1:3\n",
     "14 consensus/bootstrap bad_value\n"},
    {"voter twice",
     ValidSettings + "[storage]\nfolder = f\n[consensus]\nbootstrap = "
                     "a@127.0.0.1:3,a@127.0.0.1:4\n",
     "14 consensus/bootstrap duplicate\n"},
    {"voters without a data folder",
     ValidSettings + "[consensus]\nbootstrap = a@127.0.0.1:3\n",
     "0 storage/folder missing_key\n"},
    {"listen address twice, short key and host name",
     "[vm]\nid = vm1\ndomain = d\n[listen]\ncaller = 127.0.0.1:1\n"
     "admin = localhost:2\ncontrol = 127.0.0.1:1\nrelay = 127.0.0.1:4\n"
     "[peers]\nkey = aa\n",
     "6 listen/admin bad_value\n7 listen/control duplicate\n"
     "10 peers/key bad_value\n"},
    {"key with an invalid digit",
     ValidSettings.substr(0, ValidSettings.size() - 2) + "g\n",
     "10 peers/key bad_value\n"},
};

struct EndpointCase {
  const char *m_Text;
  const char *m_Formatted;
};
const EndpointCase Endpoints[] = {
    {"127.0.0.1:80", "127.0.0.1:80"},
    {"[::1]:80", "[::1]:80"},
    {"[0::1]:80", "[::1]:80"},
    {"::1:80", nullptr},
    {"127.0.0.1:0", nullptr},
    {"127.0.0.1:+80", nullptr},
    {"[127.0.0.1]:80", nullptr},
    {"127.0.0.1", nullptr},
    {"", nullptr},
};

struct SliceCase {
  const char *m_Name;
  std::vector<int> m_GroupSizes;
  std::vector<int> m_SliceSizes;
};
const SliceCase Slices[] = {
    {"single slice", std::vector<int>(15, 1), {15}},
    {"exactly full", std::vector<int>(31, 1), {31}},
    {"one too many", std::vector<int>(32, 1), {31, 1}},
    {"a group is not split", std::vector<int>(16, 2), {30, 2}},
    {"a group larger than a slice", {1, 40, 3}, {1, 31, 12}},
};

} // namespace

// Guards against errors in a manifest that are accepted, reported without their
// position, or hidden by an earlier error.
TABLE_TEST(manifest, reports_each_error, ManifestErrors) {
  const auto Parsed = parseManifest(Row.m_Text);
  cr_assert(!isOk(Parsed), "%s", Row.m_Name);
  const std::string Actual = summary(errorOf(Parsed));
  cr_assert(Actual == Row.m_Expected, "%s:\n%s", Row.m_Name, Actual.c_str());
}

// Guards against sections or line numbers that are lost at the boundaries of
// the batches in which a large file is parsed.
Test(manifest, reads_a_large_file) {
  std::string Text = Valid;
  for (int I = 0; I < 1000; ++I)
    Text += "[customer c" + std::to_string(I) + "]\na = " + std::to_string(I) +
            "\n";
  const auto Parsed = parseManifest(Text);
  cr_assert(isOk(Parsed));
  for (int I = 0; I < 1000; ++I)
    cr_assert(valueOf(Parsed)
                  .at({SectionKind::Customer, "c" + std::to_string(I)})
                  .at("a") == std::to_string(I));
  // The valid text has 12 lines and each customer two.
  const auto Faulty = parseManifest(Text + "[odd]\n");
  cr_assert(!isOk(Faulty) && errorOf(Faulty).front().m_Line == 2013);
}

// Guards against a daemon that starts with invalid settings, and so with a
// value that the operator did not intend.
TABLE_TEST(settings, reports_each_error, SettingsErrors) {
  const auto Parsed = parseSettings(Row.m_Text);
  cr_assert(!isOk(Parsed), "%s", Row.m_Name);
  const std::string Actual = summary(errorOf(Parsed));
  cr_assert(Actual == Row.m_Expected, "%s:\n%s", Row.m_Name, Actual.c_str());
}

// Guards against a key whose value is stored in the wrong member.
Test(settings, reads_every_key) {
  const auto Parsed = parseSettings(
      ValidSettings +
      "seeds = 127.0.0.1:3, [::1]:4\n[storage]\nfolder = /data\n"
      "[consensus]\nbootstrap = vm1@127.0.0.1:3, vm2@127.0.0.1:5\n"
      "[traffic]\nthreads = 64\n[log]\nlevel = warning\nformat = json\n"
      "file = /log\n[charts]\nfolder = /charts\n");
  cr_assert(isOk(Parsed));
  const Settings &S = valueOf(Parsed);
  cr_assert(S.m_Vm == VmId{"vm1"} && S.m_Domain == FailureDomain{"d"});
  cr_assert(S.m_Caller.m_Port == 1 && S.m_Admin.m_Port == 2 &&
            S.m_Control.m_Port == 3 && S.m_Relay.m_Port == 4);
  cr_assert(S.m_Seeds.size() == 2 && S.m_Seeds[1].m_Ip == "::1");
  cr_assert(S.m_Key.front() == 0xaa && S.m_Key.back() == 0xaa);
  cr_assert(S.m_Folder == "/data" && S.m_LogFile == "/log" &&
            S.m_ChartFolder == "/charts");
  cr_assert(S.m_Bootstrap.size() == 2 && S.m_Bootstrap[1].m_Id == VmId{"vm2"} &&
            S.m_Bootstrap[1].m_Control.m_Port == 5);
  cr_assert(S.m_TrafficThreads == 64 && S.m_LogLevel == LogLevel::Warning &&
            S.m_LogFormat == LogFormat::Json);
}

// Guards against malformed addresses that are accepted, and against addresses
// that change when they are formatted.
TABLE_TEST(settings, parses_endpoints_strictly, Endpoints) {
  const auto Parsed = parseEndpoint(Row.m_Text);
  cr_assert_eq(Parsed.has_value(), Row.m_Formatted != nullptr, "%s",
               Row.m_Text);
  if (Parsed)
    cr_assert(formatEndpoint(*Parsed) == Row.m_Formatted, "%s", Row.m_Text);
}

// Guards against values of a service that are lost or have the wrong unit.
Test(catalog, resolves_values_and_defaults) {
  const auto Parsed = parseManifest(
      Valid + "[limits]\nclaim_retention_h = 48\nhedge_ratio = 0.1\n"
              "[service t]\nkind = single\nslots = 6\nconnections = 50\n"
              "connection_cost_ms = 6\nservice_ms = 2.5\ndeadline_ms = 500\n"
              "cold_fraction = 0.2\n[leaf m]\nservice = t\ngroup = g\n"
              "domain = d\naddress = 127.0.0.1:9001\n");
  cr_assert(isOk(Parsed));
  Document Doc = valueOf(Parsed);
  Doc[{SectionKind::LeafCommand, "m"}] = {{"state", "drain"}};
  Doc[{SectionKind::DomainCommand, "d"}] = {{"state", "out"}};
  Doc[{SectionKind::Vm, "v"}] = {{"domain", "d"},
                                 {"control", "127.0.0.1:1"},
                                 {"relay", "127.0.0.1:2"},
                                 {"admin", "127.0.0.1:3"},
                                 {"disk", "yes"}};
  const auto Current = buildCatalog(Revision{3}, Doc);
  const auto &S = *Current->m_Services.at(ServiceName{"s"});
  const auto &T = *Current->m_Services.at(ServiceName{"t"});
  cr_assert(S.m_Rate == 400 && S.m_Deadline == Duration(240'000));
  cr_assert(T.m_Rate == 2400 && T.m_ServiceTime == Duration(2500) &&
            T.m_ConnectionCost == Duration(6000) &&
            T.m_Deadline == Duration(500'000) && T.m_ColdFraction == 0.2);
  cr_assert(T.m_Leafs.at(0).m_Draining && !S.m_Leafs.at(0).m_Draining);
  cr_assert(Current->m_DomainsOut.contains(FailureDomain{"d"}));
  cr_assert(Current->m_Vms.at(VmId{"v"}).m_HasDisk);
  cr_assert(Current->m_Limits.m_ClaimRetention == std::chrono::hours(48) &&
            Current->m_Limits.m_HedgeRatio == 0.1);
}

// Guards against a partition with more leafs than its owner has connections
// for, and against a leaf that belongs to no partition or to two.
TABLE_TEST(catalog, limits_partition_size, Slices) {
  Document Doc;
  Doc[{SectionKind::Service, "s"}] = {{"kind", "fanout"}};
  int Leafs = 0;
  for (std::size_t G = 0; G < Row.m_GroupSizes.size(); ++G)
    for (int I = 0; I < Row.m_GroupSizes[G]; ++I)
      Doc[{SectionKind::Leaf, "l" + std::to_string(Leafs++)}] = {
          {"service", "s"},
          {"group", "g" + std::to_string(10 + G)},
          {"domain", "d"},
          {"address", "127.0.0.1:" + std::to_string(1000 + Leafs)}};
  const auto Current = buildCatalog(Revision{1}, Doc);
  const auto &S = *Current->m_Services.at(ServiceName{"s"});
  std::vector<int> Sizes;
  std::set<std::uint32_t> LeafIndices;
  for (std::uint32_t P = 0; P < S.m_Partitions.size(); ++P) {
    Sizes.push_back(static_cast<int>(S.m_Partitions[P].m_Leafs.size()));
    cr_assert(S.m_Partitions[P].m_Key == "s/d/" + std::to_string(P));
    for (const std::uint32_t Index : S.m_Partitions[P].m_Leafs) {
      cr_assert(LeafIndices.insert(Index).second, "%s", Row.m_Name);
      cr_assert_eq(S.m_Leafs.at(Index).m_Partition, P, "%s", Row.m_Name);
    }
  }
  cr_assert(Sizes == Row.m_SliceSizes, "%s", Row.m_Name);
  cr_assert_eq(LeafIndices.size(), S.m_Leafs.size(), "%s", Row.m_Name);
}
