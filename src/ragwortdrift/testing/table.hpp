#ifndef RAGWORTDRIFT_TESTING_TABLE_HPP
#define RAGWORTDRIFT_TESTING_TABLE_HPP

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstddef>
#include <iterator>

/// Defines a parameterized Criterion test over the rows of a static array. The
/// test body accesses the current row as `Row`. Criterion runs each row in a
/// separate process and passes only the index of the row, so rows may have any
/// type.
#define TABLE_TEST(Suite, Name, Rows)                                          \
  static void Suite##Name##Check(                                              \
      const std::remove_cvref_t<decltype((Rows)[0])> &Row);                    \
  ParameterizedTestParameters(Suite, Name) {                                   \
    static std::size_t Indices[std::size(Rows)];                               \
    for (std::size_t I = 0; I < std::size(Rows); ++I)                          \
      Indices[I] = I;                                                          \
    return cr_make_param_array(std::size_t, Indices, std::size(Rows));         \
  }                                                                            \
  ParameterizedTest(std::size_t *Index, Suite, Name) {                         \
    Suite##Name##Check((Rows)[*Index]);                                        \
  }                                                                            \
  static void Suite##Name##Check(                                              \
      [[maybe_unused]] const std::remove_cvref_t<decltype((Rows)[0])> &Row)

#endif
