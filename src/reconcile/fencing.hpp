/// @file
/// Fencing tokens of one term.
///
/// A token consists of the term and, in its low bits, a fence count for one machine. A worker
/// refuses commands whose token is lower than the highest it has received. Raising the fence of a
/// machine therefore voids all commands that were sent to it before (docs/design.md, rule 3). Runs
/// on the controller's event loop.
#pragma once

#include <cstdint>

#include "state/model.hpp"

namespace elmstall::reconcile {

/// Computes the tokens of this leader's messages, and raises the fences of machines.
class Fencing {
 public:
  /// `term`: the leader's term. `model` has to outlive this object.
  Fencing(std::uint64_t term, state::Model& model) : term_(term), model_(model) {}

  /// The term's lowest token.
  [[nodiscard]] std::uint64_t term_token() const;
  /// The token that messages to this machine carry now.
  [[nodiscard]] std::uint64_t token(const state::Machine& machine) const;
  /// Raises the machine's fence, which voids all commands sent to it so far. The machine counts
  /// as synchronized again once a heartbeat carries the new token (rule 3).
  void raise(state::Machine& machine);

 private:
  std::uint64_t term_;
  state::Model& model_;
};

}  // namespace elmstall::reconcile
