#include "ragwortdrift/routing/text_delta.hpp"
#include "ragwortdrift/testing/table.hpp"

#include <algorithm>
#include <random>

using namespace ragwortdrift;

namespace {

constexpr std::size_t MaxBytes = std::size_t{1} << 20;

/// Text like a configuration of about 400 KiB, in routes of 110 bytes.
std::vector<std::string> manyRoutes() {
  std::vector<std::string> Routes;
  Routes.reserve(3700);
  for (int I = 0; I < 3700; ++I)
    Routes.push_back(R"({"name": "route-)" + std::to_string(I) +
                     R"(", "host": "www.example", "prefix": "/p/)" +
                     std::to_string(I * 7919 % 10007) +
                     R"(/", "services": ["search"], "time_limit": 500}, )");
  return Routes;
}

std::string join(const std::vector<std::string> &Routes) {
  std::string Text;
  for (const std::string &Route : Routes)
    Text += Route;
  return Text;
}

std::string randomBytes(std::size_t Size) {
  std::mt19937_64 Engine(1);
  std::string Bytes(Size, ' ');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Engine());
  return Bytes;
}

struct DeltaCase {
  const char *m_Name;
  std::string (*m_Base)();
  void (*m_Change)(std::string &);
  std::size_t m_MaxEncodedBytes;
};
std::string routesText() { return "{\"version\": 99, " + join(manyRoutes()); }
std::string randomText() { return randomBytes(400'000); }
const DeltaCase DeltaCases[] = {
    {"equal", routesText, [](std::string &) {}, 64},
    {"empty base", [] { return std::string(); },
     [](std::string &Text) { Text = "{}"; }, 64},
    {"empty result", routesText, [](std::string &Text) { Text.clear(); }, 64},
    {"version and one value", routesText,
     [](std::string &Text) {
       Text.replace(Text.find("99"), 2, "100");
       Text.replace(Text.rfind("500", 200'000), 3, "2500");
     },
     256},
    {"route added and route removed", routesText,
     [](std::string &Text) {
       Text.erase(250'000, 110);
       Text.insert(Text.find("{\"name\": \"route-40\""),
                   R"({"name": "new", "prefix": "/new/"}, )");
     },
     256},
    {"ten values", routesText,
     [](std::string &Text) {
       for (std::size_t I = 0; I < 10; ++I)
         Text.replace(Text.find("time_limit", 30'000 * (I + 1)) + 13, 2, "71");
     },
     1024},
    {"routes in reverse order", routesText,
     [](std::string &Text) {
       auto Routes = manyRoutes();
       std::ranges::reverse(Routes);
       Text = join(Routes);
     },
     300'000},
    {"bytes without structure", randomText,
     [](std::string &Text) {
       Text.insert(1000, "x");
       Text.erase(300'000, 7);
     },
     256},
    {"one value repeated", [] { return std::string(400'000, 'a'); },
     [](std::string &Text) { Text[200'000] = 'b'; }, 256},
    {"nothing in common", routesText,
     [](std::string &Text) { Text = randomBytes(100'000); }, 101'000},
};

struct MalformedCase {
  const char *m_Name;
  void (*m_Change)(TextDelta &);
  TextDeltaErrorCode m_Error;
};
const MalformedCase MalformedCases[] = {
    {"other base", [](TextDelta &Delta) { ++Delta.m_BaseHash; },
     TextDeltaErrorCode::OtherBase},
    {"announced size above the limit",
     [](TextDelta &Delta) { Delta.m_Size = MaxBytes + 1; },
     TextDeltaErrorCode::TooLarge},
    {"announced size too small", [](TextDelta &Delta) { --Delta.m_Size; },
     TextDeltaErrorCode::WrongSize},
    {"announced size too large", [](TextDelta &Delta) { ++Delta.m_Size; },
     TextDeltaErrorCode::WrongSize},
    {"offset behind the base",
     [](TextDelta &Delta) { Delta.m_Edits[0].m_Offset = 0xffffffff; },
     TextDeltaErrorCode::CopyOutOfRange},
    {"length behind the base",
     [](TextDelta &Delta) { Delta.m_Edits[0].m_Length = 0xffffffff; },
     TextDeltaErrorCode::CopyOutOfRange},
    {"copies that multiply the base",
     [](TextDelta &Delta) {
       Delta.m_Edits.resize(100'000, {0, 300'000, {}});
     },
     TextDeltaErrorCode::WrongSize},
    {"other content",
     [](TextDelta &Delta) { Delta.m_Edits[0].m_Inserted[0] ^= 1; },
     TextDeltaErrorCode::WrongHash},
};

} // namespace

// Guards against a wrong result, and against deltas that grow with the text
// instead of the change.
TABLE_TEST(text_delta, yields_next_text_by_few_bytes, DeltaCases) {
  const std::string Base = Row.m_Base();
  std::string Next = Base;
  Row.m_Change(Next);
  const TextDelta Delta = makeTextDelta(Base, Next);
  const auto Decoded = decode<TextDelta>(encode(Delta));
  cr_assert(isOk(Decoded) && valueOf(Decoded) == Delta, "%s", Row.m_Name);
  const auto Applied = applyTextDelta(Base, Delta, MaxBytes);
  cr_assert(isOk(Applied) && valueOf(Applied) == Next, "%s", Row.m_Name);
  cr_assert_leq(encode(Delta).size(), Row.m_MaxEncodedBytes, "%s: %zu bytes",
                Row.m_Name, encode(Delta).size());
}

// Guards against a delta of a faulty peer that makes a VM read beyond a text,
// allocate without limit or accept a wrong text.
TABLE_TEST(text_delta, refuses_malformed_delta, MalformedCases) {
  const std::string Base = routesText();
  std::string Next = Base;
  Next.replace(Next.find("99"), 2, "100");
  TextDelta Delta = makeTextDelta(Base, Next);
  Row.m_Change(Delta);
  const auto Applied = applyTextDelta(Base, Delta, MaxBytes);
  cr_assert(!isOk(Applied) && errorOf(Applied) == Row.m_Error, "%s",
            Row.m_Name);
}

// Guards against edits at random places, of any kind, that yield a wrong text.
Test(text_delta, yields_next_text_after_random_edits) {
  std::mt19937_64 Engine(2);
  for (int Round = 0; Round < 300; ++Round) {
    std::string Base = routesText().substr(0, 20'000 + Engine() % 20'000);
    std::string Next = Base;
    for (std::uint64_t Edits = Engine() % 20; Edits > 0; --Edits) {
      const std::size_t Begin = Engine() % (Next.size() + 1);
      const std::size_t Size = Engine() % 700;
      switch (Engine() % 3) {
      case 0:
        Next.erase(Begin, Size);
        break;
      case 1:
        Next.insert(Begin, Next.substr(Engine() % (Next.size() + 1), Size));
        break;
      default:
        Next.insert(Begin, randomBytes(Size));
      }
    }
    const auto Applied =
        applyTextDelta(Base, makeTextDelta(Base, Next), MaxBytes);
    cr_assert(isOk(Applied) && valueOf(Applied) == Next, "round %d", Round);
  }
}
