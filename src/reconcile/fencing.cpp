#include "reconcile/fencing.hpp"

#include "config/constants.hpp"

namespace elmstall::reconcile {

std::uint64_t Fencing::term_token() const { return term_ << constants::kTokenFenceBits; }

std::uint64_t Fencing::token(const state::Machine& machine) const {
  return term_token() + machine.fence;
}

void Fencing::raise(state::Machine& machine) {
  // A fence must never reach the tokens of the next term.
  const bool exhausted = machine.fence + 1 >= 1U << constants::kTokenFenceBits;
  if (exhausted) return;
  ++machine.fence;
  machine.synchronized = false;
  model_.mark_dirty(machine);
}

}  // namespace elmstall::reconcile
