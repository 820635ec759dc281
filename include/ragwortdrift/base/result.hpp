#ifndef RAGWORTDRIFT_BASE_RESULT_HPP
#define RAGWORTDRIFT_BASE_RESULT_HPP

#include <utility>
#include <variant>

namespace ragwortdrift {

/// The outcome of an operation that can fail: the value, or a typed error. The
/// two types must differ.
template <class T, class E> using Result = std::variant<T, E>;

/// The value type of an operation that returns no value on success.
struct Done {
  friend bool operator==(const Done &, const Done &) = default;
};

template <class T, class E> bool isOk(const Result<T, E> &R) {
  return R.index() == 0;
}

/// The value of a successful result. Throws std::bad_variant_access on an
/// error.
template <class T, class E> const T &valueOf(const Result<T, E> &R) {
  return std::get<0>(R);
}
template <class T, class E> T &valueOf(Result<T, E> &R) {
  return std::get<0>(R);
}
template <class T, class E> T valueOf(Result<T, E> &&R) {
  return std::get<0>(std::move(R));
}

/// The error of a failed result. Throws std::bad_variant_access on a value.
template <class T, class E> const E &errorOf(const Result<T, E> &R) {
  return std::get<1>(R);
}

} // namespace ragwortdrift

#endif
