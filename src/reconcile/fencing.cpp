#include "reconcile/fencing.hpp"

#include "wire/fencing_token.hpp"

namespace elmstall::reconcile {

std::uint64_t Fencing::term_token() const { return wire::first_token_of_term(term_); }

std::uint64_t Fencing::token(const state::Machine& machine) const {
  return term_token() + machine.fence;
}

void Fencing::raise(state::Machine& machine) {
  // The token must stay below the tokens of the next term.
  const bool exhausted = machine.fence == wire::kMaxFence;
  if (exhausted) return;
  ++machine.fence;
  machine.synchronized = false;
  model_.mark_dirty(machine);
}

}  // namespace elmstall::reconcile
