#include "reconcile/lease_expiry.hpp"

#include <algorithm>

namespace elmstall::reconcile {
namespace {

/// A controller answers machines of its own zone only; one whose zone the
/// settings don't tell may be of any.
bool may_be_delegate(const std::string& zone, const state::Machine& machine) {
  return zone.empty() || zone == machine.zone;
}

}  // namespace

double LeaseExpiry::inherited_until() const {
  // Whoever led before may have answered heartbeats until its leader lease ran
  // out, and what it answered last keeps a lease alive that much longer.
  return started_ + settings_.leader_lease_s() + settings_.lease_over_s();
}

void LeaseExpiry::update_delegations(double now) {
  if (mirror_.delegations().empty() && !any_delegated_) return;
  any_delegated_ = !mirror_.delegations().empty();
  for (auto& [id, machine] : model_.machines()) {
    const bool delegated = std::any_of(
        mirror_.delegations().begin(), mirror_.delegations().end(),
        [&zone = machine->zone](const auto& delegation) { return delegation.second.zone == zone; });
    // Also in the moment it ends: until now it may have answered.
    if (delegated || machine->delegated) machine->delegated_at = now;
    machine->delegated = delegated;
    if (delegated) revive(*machine);
  }
}

void LeaseExpiry::retire(state::Machine& machine) {
  machine.retired = true;
  // Nobody may become a zone delegate of its zone without seeing this, and whoever
  // is one already makes it fail. Others don't answer this machine, so their
  // delegations must not: what is refused once for a whole zone's cut would hold up
  // everything else that is to be recorded.
  const auto exclude = [&](const std::string& node, const std::string& zone) {
    if (may_be_delegate(zone, machine))
      machine.record->absent.push_back(store::delegation_key(node));
  };
  machine.record->absent.clear();
  exclude(settings_.node, settings_.zone);
  for (const auto& peer : settings_.peers) exclude(peer.name, peer.zone);
  group_commit_.mark_dirty(*machine.record);
}

void LeaseExpiry::revive(state::Machine& machine) {
  if (!machine.retired || machine.record == nullptr) return;
  machine.retired = false;
  machine.retired_at = state::kNever;
  machine.record->absent.clear();
  group_commit_.mark_dirty(*machine.record);
}

bool LeaseExpiry::excluded(const state::Machine& machine, double now) const {
  const double lease = settings_.lease_over_s();
  // Whoever proved its records current before the retirement was written may
  // have acted as an unrecorded delegate without a record until its leader lease ran out.
  if (now >= machine.retired_at + settings_.leader_lease_s() + lease) return true;
  return std::all_of(settings_.peers.begin(), settings_.peers.end(), [&](const config::Peer& peer) {
    if (!may_be_delegate(peer.zone, machine)) return true;
    // Sooner if it says so: it knows of the retirement, and what it answered
    // before that has run out.
    const auto read_state = read_state_(peer.name);
    return read_state.revision >= machine.record->revision && now >= read_state.replied_at + lease;
  });
}

void LeaseExpiry::expire(double now) {
  const double lease = settings_.lease_over_s();
  for (auto& [id, machine] : model_.machines()) {
    if (machine->tasks.empty()) continue;
    // A epoch may have begun just before we heard of it, and direct commands
    // start tasks in one that was never answered: hearing counts as well.
    const double last_touched =
        std::max({machine->last_reply, machine->last_contact, machine->delegated_at});
    const double alive_until = std::max(machine->inherited_until, last_touched + lease);
    if (alive_until == state::kNever || machine->delegated || machine->record == nullptr) continue;
    if (!machine->retired) {
      // Ahead of the lease's end, so that all who might answer it know by then.
      const double silent_since = std::max(last_touched, started_);
      if (now >= std::min(alive_until, silent_since + settings_.silent_after_s())) retire(*machine);
      continue;
    }
    // Written, and the mirror has passed that point without a zone delegate.
    if (!machine->record->clean() || mirror_.revision() < machine->record->revision) continue;
    if (machine->retired_at == state::kNever) machine->retired_at = now;
    if (now < alive_until || !excluded(*machine, now)) continue;
    expired_(*machine);
    machine->synchronized = false;
  }
}

}  // namespace elmstall::reconcile
