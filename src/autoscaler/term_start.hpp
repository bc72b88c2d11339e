/// @file
/// When and with which term the present leader began.
#pragma once

#include <cstdint>

namespace elmstall::autoscaler {

/// The beginning of this leader's term.
struct TermStart {
  std::uint64_t term = 0;  ///< number of the term; terms count from 1
  double at = 0;           ///< seconds on the event loop's steady clock

  /// In the first term no former leader can have provisioned machines or accepted jobs, so
  /// nothing has to be waited for.
  [[nodiscard]] bool first_term() const { return term <= 1; }
};

}  // namespace elmstall::autoscaler
