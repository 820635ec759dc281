#include "request_reader.hpp"

#include "ragwortdrift/testing/table.hpp"

#include <cstdio>
#include <cstring>
#include <random>

using namespace ragwortdrift;

namespace {

/// First seed of each block. Each block runs in a process of its own.
const std::uint64_t SeedBlocks[] = {1,    1251, 2501, 3751,
                                    5001, 6251, 7501, 8751};
constexpr std::uint64_t BlockSize = 1250;

constexpr MessageLimits Limits{4096, 4096};
const std::string Body = "POST /inner HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: 3\r\n\r\nabc";

/// Draws messages whose body is Body, if they have an end at all.
class MessageSource {
public:
  explicit MessageSource(std::uint64_t Seed) : m_Engine(Seed) {}

  std::size_t draw(std::size_t Bound) { return m_Engine() % Bound; }

  std::string message(const std::string &FirstLine) {
    std::vector<std::string> Fields;
    for (std::size_t Count = draw(4); Count > 0; --Count)
      Fields.push_back(framingField());
    Fields.push_back("A: b\r\n");
    std::ranges::shuffle(Fields, m_Engine);
    std::string Text = FirstLine;
    for (const std::string &Field : Fields)
      Text += Field;
    return Text + "\r\n" + (draw(2) == 0 ? Body : chunks());
  }

private:
  template <std::size_t Size>
  std::string oneOf(const char *const (&Choices)[Size]) {
    return Choices[draw(Size)];
  }

  std::string framingField() {
    if (draw(3) == 0)
      return oneOf({"Content-Length", "content-length", "Content-Length "}) +
             ":" + oneOf({" ", "", "\t", "\r\n ", "\r", "\n"}) + length() +
             "\r\n";
    return oneOf({"Transfer-Encoding", "transfer-encoding",
                  "Transfer-Encoding ", "Transfer_Encoding"}) +
           ":" + oneOf({" ", "", "\t", "\r\n ", "\x0b", "\x01"}) + codings() +
           "\r\n";
  }

  std::string length() {
    const std::string Right = std::to_string(Body.size());
    return draw(2) == 0
               ? Right
               : oneOf({"+", "-", "0x", " 1 ", "1,", "9e9,", "\x01"}) + Right;
  }

  std::string codings() {
    std::string Text;
    for (std::size_t Count = draw(3) + 1; Count > 0; --Count) {
      Text += oneOf({"chunked", "Chunked", "chunked", "gzip", "identity", "",
                     "xchunked", "chunked;a=b", "\"chunked\"", "chun ked"});
      Text += Count > 1 ? oneOf({",", ", ", " , ", " ", ";"}) : "";
    }
    return Text;
  }

  /// Returns Body in chunks, with extensions.
  std::string chunks() {
    std::string Text;
    for (std::size_t Begin = 0; Begin < Body.size();) {
      const std::size_t Size = std::min(1 + draw(40), Body.size() - Begin);
      char Digits[8];
      std::snprintf(Digits, sizeof Digits, "%zx", Size);
      Text += Digits + oneOf({"", "", ";a=b", ";a=\"b\""}) + "\r\n" +
              Body.substr(Begin, Size) + "\r\n";
      Begin += Size;
    }
    return Text + "0\r\n" + oneOf({"", "B: c\r\n"}) + "\r\n";
  }

  std::mt19937_64 m_Engine;
};

struct Parsed {
  std::vector<std::string> m_Bodies;
  bool m_HasOtherTarget = false;
  /// The bytes ended before the message, or were refused.
  bool m_HasEnded = false;
};

/// Parses bytes that arrive in parts until an error.
template <class Parser>
Parsed parseAll(Parser &Reader, MessageSource &Source,
                const std::string &Bytes) {
  Parsed Out;
  Reader.begin(Limits);
  for (std::size_t Begin = 0; Begin < Bytes.size();) {
    const auto Space = Reader.prepare();
    const std::size_t Size =
        std::min({Source.draw(60) + 1, Bytes.size() - Begin, Space.size()});
    std::memcpy(Space.data(), Bytes.data() + Begin, Size);
    Reader.commit(Size);
    Begin += Size;
    for (;;) {
      if (Reader.parse()) {
        Out.m_HasEnded = true;
        return Out;
      }
      if (!Reader.isDone())
        break;
      const auto Message = Reader.release();
      Out.m_Bodies.push_back(Message.body());
      if constexpr (requires { Message.target(); })
        Out.m_HasOtherTarget |= Message.target() != "/outer";
      Reader.begin(Limits);
      if (Reader.unparsedBytes() == 0)
        break;
    }
  }
  return Out;
}

} // namespace

// Guards against bytes of a body that are taken for a request, and a request
// with another body than was sent.
TABLE_TEST(framing_fuzz, body_is_no_request, SeedBlocks) {
  std::size_t Accepted = 0;
  for (std::uint64_t Seed = Row; Seed < Row + BlockSize; ++Seed) {
    MessageSource Source(Seed);
    // Without any framing field the request has no body.
    const std::string Bytes = Source.message(
        "POST /outer HTTP/1." + std::to_string(1 - Source.draw(8) / 7) +
        "\r\n" +
        (Source.draw(2) == 0
             ? "Transfer-Encoding: chunked\r\n"
             : "Content-Length: " + std::to_string(Body.size()) + "\r\n"));
    RequestReader Reader;
    const Parsed Out = parseAll(Reader, Source, Bytes);
    const auto Number = static_cast<unsigned long long>(Seed);
    cr_assert_not(Out.m_HasOtherTarget, "seed %llu: %s", Number, Bytes.c_str());
    cr_assert_leq(Out.m_Bodies.size(), 1U, "seed %llu", Number);
    Accepted += Out.m_Bodies.size();
  }
  // Both outcomes are played.
  cr_assert_gt(Accepted, BlockSize / 100);
  cr_assert_lt(Accepted, BlockSize);
}

// Guards against a response that is taken for complete with a part of its body,
// or together with bytes that belong to none.
TABLE_TEST(framing_fuzz, response_is_whole_or_none, SeedBlocks) {
  std::size_t Accepted = 0;
  for (std::uint64_t Seed = Row; Seed < Row + BlockSize; ++Seed) {
    MessageSource Source(Seed);
    const std::string Bytes = Source.message("HTTP/1.1 200 OK\r\n");
    MessageParser<false> Reader;
    const Parsed Out = parseAll(Reader, Source, Bytes);
    const auto Number = static_cast<unsigned long long>(Seed);
    cr_assert_leq(Out.m_Bodies.size(), 1U, "seed %llu: %s", Number,
                  Bytes.c_str());
    Accepted += Out.m_Bodies.size();
  }
  cr_assert_gt(Accepted, BlockSize / 100);
  cr_assert_lt(Accepted, BlockSize);
}
