#include "ragwortdrift/routing/route_table.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>

using namespace ragwortdrift;

namespace {

std::vector<ClientAccount> validAccounts() {
  return {{"alpha", {"key-a1", "key-a2"}, 0, 48, 10},
          {"beta", {"key-b"}, {}, 0, 0},
          {"no keys", {}, {}, 0, 0}};
}

struct FaultCase {
  const char *m_Name;
  void (*m_Change)(std::vector<ClientAccount> &);
  ConfigErrorCode m_Code;
  const char *m_Section;
  const char *m_Key;
};

const FaultCase FaultCases[] = {
    {"shared key", [](auto &A) { A[2].m_Keys = {"key-a2"}; },
     ConfigErrorCode::Duplicate, "no keys", "keys"},
    {"empty key", [](auto &A) { A[1].m_Keys.push_back(""); },
     ConfigErrorCode::BadValue, "beta", "keys"},
    {"key that ends a header field",
     [](auto &A) { A[1].m_Keys.push_back("key\r\nX: y"); },
     ConfigErrorCode::BadValue, "beta", "keys"},
    {"key with a space at its end",
     [](auto &A) { A[1].m_Keys.push_back("key "); }, ConfigErrorCode::BadValue,
     "beta", "keys"},
    {"key above the size of a header",
     [](auto &A) { A[1].m_Keys.push_back(std::string(70'000, 'k')); },
     ConfigErrorCode::BadValue, "beta", "keys"},
    {"same name", [](auto &A) { A[1].m_Name = "alpha"; },
     ConfigErrorCode::Duplicate, "alpha", "name"},
    {"empty name", [](auto &A) { A[1].m_Name = ""; }, ConfigErrorCode::BadValue,
     "account 2", "name"},
    {"name that ends a header field",
     [](auto &A) { A[1].m_Name = "beta\r\nX: y"; }, ConfigErrorCode::BadValue,
     "account 2", "name"},
    {"negative priority", [](auto &A) { A[0].m_Priority = -1; },
     ConfigErrorCode::OutOfRange, "alpha", "priority"},
    {"negative rate", [](auto &A) { A[0].m_RatePerSecond = -1; },
     ConfigErrorCode::OutOfRange, "alpha", "rate"},
    {"infinite rate", [](auto &A) { A[0].m_RatePerSecond = INFINITY; },
     ConfigErrorCode::OutOfRange, "alpha", "rate"},
    {"negative burst", [](auto &A) { A[0].m_Burst = -0.5; },
     ConfigErrorCode::OutOfRange, "alpha", "burst"},
};

struct LookupCase {
  const char *m_Key;
  const char *m_Account;
};
const LookupCase LookupCases[] = {
    {"key-a1", "alpha"}, {"key-a2", "alpha"},  {"key-b", "beta"},
    {"key-", nullptr},   {"key-a1 ", nullptr}, {"KEY-A1", nullptr},
    {"", nullptr},
};

} // namespace

// Guards against two accounts that share a key, against texts that change the
// header of a request, and against errors without their place or with a key.
TABLE_TEST(account_config, reports_place_of_each_fault, FaultCases) {
  RouteConfig Config;
  Config.m_Accounts = validAccounts();
  cr_assert(validateRouteConfig(Config).empty());
  Row.m_Change(*Config.m_Accounts);
  const auto Errors = validateRouteConfig(Config);
  cr_assert_eq(Errors.size(), 1U, "%s", Row.m_Name);
  cr_assert(Errors[0].m_Code == Row.m_Code, "%s", Row.m_Name);
  cr_assert_eq(Errors[0].m_Section, Row.m_Section, "%s", Row.m_Name);
  cr_assert_eq(Errors[0].m_Key, Row.m_Key, "%s", Row.m_Name);
  cr_assert_eq(describe(Errors[0]).find("key-"), std::string::npos);
}

// Guards against a list of faults that ends with the first one.
Test(account_config, reports_all_faults) {
  RouteConfig Config;
  Config.m_Accounts = validAccounts();
  for (const FaultCase &Case : {FaultCases[0], FaultCases[1], FaultCases[8]})
    Case.m_Change(*Config.m_Accounts);
  cr_assert_eq(validateRouteConfig(Config).size(), 3U);
}

// Guards against a key that finds another account, or one by a part of the key.
TABLE_TEST(account_table, finds_account_by_whole_key, LookupCases) {
  const AccountTable Table(validAccounts());
  const ClientAccount *Found = Table.find(Row.m_Key);
  cr_assert_eq(Found != nullptr, Row.m_Account != nullptr, "%s", Row.m_Key);
  if (Found) {
    cr_assert_eq(Found->m_Name, Row.m_Account);
    cr_assert(Found->m_Keys.empty());
  }
}

// Guards against a refusal of an account that lists a key twice, and against a
// second entry of that key.
Test(account_table, takes_repeated_key_of_account_for_one) {
  RouteConfig Config;
  Config.m_Accounts = validAccounts();
  (*Config.m_Accounts)[0].m_Keys.assign(4, "key-a1");
  cr_assert(validateRouteConfig(Config).empty());
  const AccountTable Table(*Config.m_Accounts);
  cr_assert_eq(Table.find("key-a1")->m_Name, "alpha");
  cr_assert_null(Table.find("key-a2"));
}

// Guards against a search that does not end, and against keys that are kept in
// the configuration beside their digests.
Test(account_table, holds_no_keys_in_route_table) {
  cr_assert_null(AccountTable({}).find("key-a1"));
  RouteConfig Config;
  cr_assert_null(RouteTable(Config).accounts());
  Config.m_Accounts.emplace();
  cr_assert_not_null(RouteTable(Config).accounts());
  Config.m_Accounts = validAccounts();
  const RouteTable Table(Config);
  cr_assert_eq(Table.accounts()->find("key-b")->m_Name, "beta");
  cr_assert_not(Table.config().m_Accounts.has_value());
}

// Guards against a table that outgrows an entry VM at the planned 100,000 keys,
// and prints the figures of CAPACITY.md.
Test(account_table, holds_planned_number_of_keys) {
  constexpr std::size_t KeyCount = 100'000;
  std::vector<ClientAccount> Accounts(KeyCount / 2);
  const auto KeyOf = [](std::size_t I) {
    return "a-key-of-20-bytes-" + std::to_string(100'000 + I);
  };
  for (std::size_t I = 0; I < KeyCount; ++I) {
    Accounts[I / 2].m_Name = "account-" + std::to_string(I / 2);
    Accounts[I / 2].m_Keys.push_back(KeyOf(I));
  }
  const auto Start = std::chrono::steady_clock::now();
  const AccountTable Table(std::move(Accounts));
  const auto Built = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < KeyCount; ++I)
    cr_assert_eq(Table.find(KeyOf(I))->m_Name,
                 "account-" + std::to_string(I / 2));
  const auto Found = std::chrono::steady_clock::now();
  cr_assert_leq(Table.digestBytes(), 32 * KeyCount);
  using Micros = std::chrono::duration<double, std::micro>;
  std::printf("100,000 keys: %zu bytes, built in %.0f us, lookup %.2f us\n",
              Table.digestBytes(), Micros(Built - Start).count(),
              Micros(Found - Built).count() / KeyCount);
}
