#include "reconcile/lease_expiry.hpp"

#include <algorithm>

namespace elmstall::reconcile {
namespace {

/// Whether a controller of this zone may be the machine's zone delegate. Controllers are delegates
/// for machines of their own zone only. A controller without a zone in the settings may be in any.
bool may_be_delegate(const std::string& zone, const state::Machine& machine) {
  return zone.empty() || zone == machine.zone;
}

}  // namespace

double LeaseExpiry::inherited_until() const {
  // The former leader may have replied to heartbeats until its leader lease ran out. Its last
  // reply may have renewed a worker lease, which then lasts for its full length.
  return started_at_ + settings_.leader_lease_s() + settings_.lease_expired_after_s();
}

void LeaseExpiry::update_delegations(double now) {
  if (mirror_.delegations().empty() && !any_delegated_) return;
  any_delegated_ = !mirror_.delegations().empty();
  for (auto& [id, machine] : model_.machines()) {
    const bool delegated = std::any_of(
        mirror_.delegations().begin(), mirror_.delegations().end(),
        [&zone = machine->zone](const auto& delegation) { return delegation.second.zone == zone; });
    // This also holds when the delegation has just ended: the delegate may have replied until now.
    if (delegated || machine->delegated) machine->delegated_at = now;
    machine->delegated = delegated;
    if (delegated) cancel_retirement(*machine);
  }
}

void LeaseExpiry::retire(state::Machine& machine) {
  machine.retired = true;
  // The absence of delegations is a precondition of the retirement (rule 6). A controller that
  // becomes a delegate of the machine's zone later sees the retirement in the records, and an
  // existing delegation makes the transaction fail. Delegates of other zones do not reply to this
  // machine, so they are no precondition: while a zone is cut off, its delegation would otherwise
  // block all other changes that are written in the same transaction.
  const auto require_absent = [&](const std::string& node, const std::string& zone) {
    if (may_be_delegate(zone, machine))
      machine.record->absent_keys.push_back(store::delegation_key(node));
  };
  machine.record->absent_keys.clear();
  require_absent(settings_.node, settings_.zone);
  for (const auto& peer : settings_.peers) require_absent(peer.name, peer.zone);
  group_commit_.mark_dirty(*machine.record);
}

void LeaseExpiry::cancel_retirement(state::Machine& machine) {
  if (!machine.retired || machine.record == nullptr) return;
  machine.retired = false;
  machine.retired_at = state::kNever;
  machine.record->absent_keys.clear();
  group_commit_.mark_dirty(*machine.record);
}

bool LeaseExpiry::other_renewals_ruled_out(const state::Machine& machine, double now) const {
  const double lease = settings_.lease_expired_after_s();
  // A controller that proved its records current just before the retirement was written may have
  // replied as an unrecorded delegate until its leader lease ran out. After that and one worker
  // lease more, no controller can have kept the machine's lease alive.
  if (now >= machine.retired_at + settings_.leader_lease_s() + lease) return true;
  return std::all_of(settings_.peers.begin(), settings_.peers.end(), [&](const config::Peer& peer) {
    if (!may_be_delegate(peer.zone, machine)) return true;
    // The wait is shorter if the controller reports that its mirror contains the retirement, and
    // a lease has passed since it last replied on its own.
    const auto read_state = read_state_(peer.name);
    return read_state.revision >= machine.record->revision && now >= read_state.replied_at + lease;
  });
}

void LeaseExpiry::expire(double now) {
  const double lease = settings_.lease_expired_after_s();
  for (auto& [id, machine] : model_.machines()) {
    if (machine->tasks.empty()) continue;
    // An epoch may have begun just before its heartbeat was received, and command RPCs start
    // tasks in an epoch to which no reply was sent. Therefore the last contact counts as well as
    // the last reply.
    const double latest_renewal =
        std::max({machine->last_reply, machine->last_contact, machine->delegated_at});
    const double latest_lease_end = std::max(machine->inherited_until, latest_renewal + lease);
    if (latest_lease_end == state::kNever || machine->delegated || machine->record == nullptr)
      continue;
    if (!machine->retired) {
      // The machine is retired before its lease ends, so that the retirement has reached the
      // mirrors of all controllers that might reply to it by then.
      const double silent_since = std::max(latest_renewal, started_at_);
      if (now >= std::min(latest_lease_end, silent_since + settings_.heartbeat_timeout_s()))
        retire(*machine);
      continue;
    }
    // Go on only when the retirement is committed and the mirror has reached its revision.
    if (!machine->record->clean() || mirror_.revision() < machine->record->revision) continue;
    if (machine->retired_at == state::kNever) machine->retired_at = now;
    if (now < latest_lease_end || !other_renewals_ruled_out(*machine, now)) continue;
    expired_(*machine);
    machine->synchronized = false;
  }
}

}  // namespace elmstall::reconcile
