/// @file
/// Layout of fencing tokens. The protocol leaves it to the controllers: workers only compare
/// tokens. The high bits hold the term, so that a later leader's tokens are always higher. The low
/// bits hold the machine's fence, a counter that the leader keeps for each machine (docs/design.md,
/// rules 2 and 3).
#pragma once

#include <cstdint>

#include "config/constants.hpp"

namespace elmstall::wire {

/// The highest value of a machine's fence within one term.
inline constexpr std::uint32_t kMaxFence = (1U << constants::kTokenFenceBits) - 1;

/// The term in which the token was issued.
[[nodiscard]] constexpr std::uint64_t term_of_token(std::uint64_t token) {
  return token >> constants::kTokenFenceBits;
}

/// The lowest token of the term, valid for a machine whose fence was never raised.
[[nodiscard]] constexpr std::uint64_t first_token_of_term(std::uint64_t term) {
  return term << constants::kTokenFenceBits;
}

}  // namespace elmstall::wire
