#include "reconcile/host_expiry.hpp"

#include <algorithm>

namespace elmstall::reconcile {
namespace {

/// A controller answers machines of its own zone only; one whose zone the
/// settings don't tell may be of any.
bool may_be_delegate(const std::string& zone, const state::Host& host) {
  return zone.empty() || zone == host.zone;
}

}  // namespace

double HostExpiry::inherited_until() const {
  // Whoever led before may have answered reports until its leader lease ran
  // out, and what it answered last keeps a lease alive that much longer.
  return started_ + settings_.leader_lease_s() + settings_.lease_over_s();
}

void HostExpiry::update_delegations(double now) {
  if (mirror_.delegations().empty() && !any_delegated_) return;
  any_delegated_ = !mirror_.delegations().empty();
  for (auto& [id, host] : model_.hosts()) {
    const bool delegated = std::any_of(
        mirror_.delegations().begin(), mirror_.delegations().end(),
        [&zone = host->zone](const auto& delegation) { return delegation.second.first == zone; });
    // Also in the moment it ends: until now it may have answered.
    if (delegated || host->delegated) host->delegated_at = now;
    host->delegated = delegated;
    if (delegated) revive(*host);
  }
}

void HostExpiry::retire(state::Host& host) {
  host.retired = true;
  // Nobody may become a zone delegate of its zone without seeing this, and whoever
  // is one already makes it fail. Others don't answer this machine, so their
  // delegations must not: what is refused once for a whole zone's cut would hold up
  // everything else that is to be recorded.
  const auto exclude = [&](const std::string& node, const std::string& zone) {
    if (may_be_delegate(zone, host)) host.record->absent.push_back(store::delegation_key(node));
  };
  host.record->absent.clear();
  exclude(settings_.node, settings_.zone);
  for (const auto& peer : settings_.peers) exclude(peer.name, peer.zone);
  group_commit_.mark_dirty(*host.record);
}

void HostExpiry::revive(state::Host& host) {
  if (!host.retired || host.record == nullptr) return;
  host.retired = false;
  host.retired_at = state::kNever;
  host.record->absent.clear();
  group_commit_.mark_dirty(*host.record);
}

bool HostExpiry::excluded(const state::Host& host, double now) const {
  const double lease = settings_.lease_over_s();
  // Whoever proved its records current before the retirement was written may
  // have acted as an unrecorded delegate without a record until its leader lease ran out.
  if (now >= host.retired_at + settings_.leader_lease_s() + lease) return true;
  return std::all_of(settings_.peers.begin(), settings_.peers.end(), [&](const config::Peer& peer) {
    if (!may_be_delegate(peer.zone, host)) return true;
    // Sooner if it says so: it knows of the retirement, and what it answered
    // before that has run out.
    const auto read_state = read_state_(peer.name);
    return read_state.revision >= host.record->revision && now >= read_state.answered_at + lease;
  });
}

void HostExpiry::expire(double now) {
  const double lease = settings_.lease_over_s();
  for (auto& [id, host] : model_.hosts()) {
    if (host->tasks.empty()) continue;
    // A session may have begun just before we heard of it, and direct orders
    // start tasks in one that was never answered: hearing counts as well.
    const double last_touched =
        std::max({host->last_answer, host->last_contact, host->delegated_at});
    const double alive_until = std::max(host->inherited_until, last_touched + lease);
    if (alive_until == state::kNever || host->delegated || host->record == nullptr) continue;
    if (!host->retired) {
      // Ahead of the lease's end, so that all who might answer it know by then.
      const double silent_since = std::max(last_touched, started_);
      if (now >= std::min(alive_until, silent_since + settings_.silent_after_s())) retire(*host);
      continue;
    }
    // Written, and the mirror has passed that point without a zone delegate.
    if (!host->record->clean() || mirror_.revision() < host->record->revision) continue;
    if (host->retired_at == state::kNever) host->retired_at = now;
    if (now < alive_until || !excluded(*host, now)) continue;
    expired_(*host);
    host->synchronized = false;
  }
}

}  // namespace elmstall::reconcile
