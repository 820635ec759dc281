#ifndef RAGWORTDRIFT_POLICY_REPAIR_LIMIT_HPP
#define RAGWORTDRIFT_POLICY_REPAIR_LIMIT_HPP

#include "ragwortdrift/base/time.hpp"

#include <cstddef>
#include <optional>

namespace ragwortdrift {

/// Bounds how many responses a search may lack and still get repeats.
///
/// It answers the load of leafs that refuse more than the repeats of their
/// service can make up for. Tokens spent evenly then complete almost no search,
/// since a search that lacks several responses needs all of them. Given to the
/// searches that lack least, the same tokens complete most of these, and the
/// others end early, so that their callers can try again. The bound follows
/// what was completed: it falls below what a search lacked that got too few
/// tokens, and rises with time and with searches that were completed.
class RepairLimit {
public:
  /// Records a search that waited for tokens, and the most responses that it
  /// lacked at a time.
  void onIncomplete(TimePoint Now, std::ptrdiff_t Lacked);
  void onCompleted(TimePoint Now, std::ptrdiff_t Lacked);
  /// Returns true if a search that lacks this many responses, beyond those that
  /// may be missing, should not get repeats now.
  bool exceeds(TimePoint Now, std::ptrdiff_t Lacking) const;

private:
  double limit(TimePoint Now) const;

  /// The limit as of m_UpdatedAt; absent before the first search that was
  /// not completed.
  std::optional<double> m_Limit;
  TimePoint m_UpdatedAt;
};

} // namespace ragwortdrift

#endif
