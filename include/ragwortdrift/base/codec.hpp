#ifndef RAGWORTDRIFT_BASE_CODEC_HPP
#define RAGWORTDRIFT_BASE_CODEC_HPP

#include "ragwortdrift/base/enum_names.hpp"
#include "ragwortdrift/base/result.hpp"
#include "ragwortdrift/base/time.hpp"

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace ragwortdrift {

enum class CodecErrorCode {
  Truncated,
  LengthOutOfRange,
  TrailingBytes,
  BadValue
};
template <> struct EnumNames<CodecErrorCode> {
  static constexpr std::array Entries{
      EnumName<CodecErrorCode>{CodecErrorCode::Truncated, "truncated"},
      EnumName<CodecErrorCode>{CodecErrorCode::LengthOutOfRange,
                               "length_out_of_range"},
      EnumName<CodecErrorCode>{CodecErrorCode::TrailingBytes, "trailing_bytes"},
      EnumName<CodecErrorCode>{CodecErrorCode::BadValue, "bad_value"}};
};

/// The reason for a decoding failure and the byte offset at which it occurred.
struct CodecError {
  CodecErrorCode m_Code{};
  std::size_t m_Offset = 0;
};

namespace detail {

struct CodecException : cereal::Exception {
  explicit CodecException(CodecError Error)
      : cereal::Exception("codec"), m_Error(Error) {}
  CodecError m_Error;
};

/// A cereal archive that appends little-endian values to a string.
class ByteOutputArchive
    : public cereal::OutputArchive<ByteOutputArchive,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit ByteOutputArchive(std::string &Out)
      : OutputArchive(this), m_Out(Out) {}
  void saveBytes(const void *Data, std::size_t Size) {
    m_Out.append(static_cast<const char *>(Data), Size);
  }

private:
  std::string &m_Out;
};

/// A cereal archive that checks every length against the remaining bytes, so
/// that a corrupt or malicious length cannot cause a large allocation.
class ByteInputArchive
    : public cereal::InputArchive<ByteInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit ByteInputArchive(std::string_view In)
      : InputArchive(this), m_In(In) {}
  void loadBytes(void *Data, std::size_t Size) {
    if (Size > m_In.size() - m_Offset)
      throw CodecException({CodecErrorCode::Truncated, m_Offset});
    std::memcpy(Data, m_In.data() + m_Offset, Size);
    m_Offset += Size;
  }
  void checkLength(std::size_t Length) const {
    if (Length > m_In.size() - m_Offset)
      throw CodecException({CodecErrorCode::LengthOutOfRange, m_Offset});
  }
  std::size_t offset() const { return m_Offset; }
  std::size_t left() const { return m_In.size() - m_Offset; }

private:
  std::string_view m_In;
  std::size_t m_Offset = 0;
};

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> save(ByteOutputArchive &Ar,
                                               const T &Value) {
  Ar.saveBytes(&Value, sizeof(Value));
}
template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> load(ByteInputArchive &Ar, T &Value) {
  if constexpr (std::is_same_v<T, bool>) {
    unsigned char Byte = 0;
    Ar.loadBytes(&Byte, 1);
    Value = Byte != 0;
  } else {
    Ar.loadBytes(&Value, sizeof(Value));
  }
}
template <class T>
void serialize(ByteOutputArchive &Ar, cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}
template <class T>
void serialize(ByteInputArchive &Ar, cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}
template <class T>
void save(ByteOutputArchive &Ar, const cereal::SizeTag<T> &Tag) {
  Ar(static_cast<std::uint32_t>(Tag.size));
}
template <class T> void load(ByteInputArchive &Ar, cereal::SizeTag<T> &Tag) {
  std::uint32_t Size = 0;
  Ar(Size);
  Ar.checkLength(Size);
  Tag.size = Size;
}
template <class T>
void save(ByteOutputArchive &Ar, const cereal::BinaryData<T> &Data) {
  Ar.saveBytes(Data.data, static_cast<std::size_t>(Data.size));
}
template <class T>
void load(ByteInputArchive &Ar, cereal::BinaryData<T> &Data) {
  Ar.loadBytes(Data.data, static_cast<std::size_t>(Data.size));
}

} // namespace detail

/// Encodes a value to bytes. Its type provides cereal's serialize function;
/// chrono, string, vector, map, set, optional, variant and pair members are
/// supported.
template <class T> std::string encode(const T &Value) {
  std::string Out;
  detail::ByteOutputArchive Ar(Out);
  Ar(Value);
  return Out;
}

/// Decodes one value that must take up all of Bytes. Returns an error instead
/// of throwing. Lengths are checked against the size of the input before
/// anything is allocated for them.
template <class T> Result<T, CodecError> decode(std::string_view Bytes) {
  detail::ByteInputArchive Ar(Bytes);
  try {
    T Value{};
    Ar(Value);
    if (Ar.left() != 0)
      return CodecError{CodecErrorCode::TrailingBytes, Ar.offset()};
    return Value;
  } catch (const detail::CodecException &E) {
    return E.m_Error;
  } catch (const std::exception &) {
    return CodecError{CodecErrorCode::BadValue, Ar.offset()};
  }
}

template <class Archive> void serialize(Archive &Ar, TimePoint &Time) {
  Ar(Time.m_SinceStart);
}

} // namespace ragwortdrift

CEREAL_REGISTER_ARCHIVE(ragwortdrift::detail::ByteOutputArchive)
CEREAL_REGISTER_ARCHIVE(ragwortdrift::detail::ByteInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(ragwortdrift::detail::ByteInputArchive,
                            ragwortdrift::detail::ByteOutputArchive)

#endif
