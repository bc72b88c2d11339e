#include "reconcile/fencing.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "wire/fencing_token.hpp"

namespace elmstall::reconcile {

namespace {

bool contains(const std::vector<wire::WorkerCommand>& commands, wire::Verb verb) {
  return std::any_of(commands.begin(), commands.end(),
                     [verb](const wire::WorkerCommand& command) { return command.verb == verb; });
}

}  // namespace

std::uint64_t Fencing::term_token() const { return wire::first_token_of_term(term_); }

std::uint64_t Fencing::token(const state::Machine& machine) const {
  return term_token() + machine.fence;
}

std::uint64_t Fencing::synchronizing_token(const state::Machine& machine) const {
  return term_token() + machine.synchronizing_fence;
}

void Fencing::raise(state::Machine& machine) {
  // One more than the last fence is a token of the next term, which no heartbeat shows in this one.
  machine.synchronizing_fence = machine.fence + 1;
  machine.synchronized = false;
  advance(machine);
  model_.mark_dirty(machine);
}

void Fencing::advance(state::Machine& machine) {
  if (machine.fence == wire::kMaxFence) return;
  const bool was_running_out = machine.fences_running_out();
  ++machine.fence;
  if (was_running_out || !machine.fences_running_out()) return;
  spdlog::warn("machine {} has few fencing tokens left in term {}: it gets no new tasks",
               machine.id, term_);
  model_.mark_dirty(machine);
}

bool Fencing::may_clear(const state::Machine& machine) {
  return !machine.run_fence || machine.fence > *machine.run_fence;
}

void Fencing::prepare_clear(state::Machine& machine) {
  if (!may_clear(machine)) advance(machine);
}

bool Fencing::may_run_again(const state::Machine& machine) {
  return !machine.clear_fence || machine.fence > *machine.clear_fence;
}

void Fencing::prepare_run_again(state::Machine& machine) {
  if (!may_run_again(machine)) advance(machine);
}

void Fencing::note_rpc(state::Machine& machine, const std::vector<wire::WorkerCommand>& commands) {
  if (contains(commands, wire::Verb::run)) machine.run_fence = machine.fence;
  note_reply(machine, commands);
}

void Fencing::note_reply(state::Machine& machine,
                         const std::vector<wire::WorkerCommand>& commands) {
  // A copy of a reply does not exist: a worker takes one reply to a heartbeat and drops late ones.
  // So only what a reply clears matters for later messages.
  if (contains(commands, wire::Verb::clear)) machine.clear_fence = machine.fence;
}

}  // namespace elmstall::reconcile
