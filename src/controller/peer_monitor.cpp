#include "controller/peer_monitor.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::controller {

namespace k = constants;

PeerMonitor::PeerMonitor(const config::Settings& settings, const runtime::EventLoop& event_loop)
    : settings_(settings), loop_(event_loop) {
  // Every peer counts as reachable until it has had time to send a heartbeat. Otherwise a restarted
  // node would become the delegate of its zone for no reason.
  for (const auto& peer : settings.peers) peers_[peer.name].last_heartbeat = event_loop.now();
}

void PeerMonitor::on_heartbeat(const peer::Heartbeat& heartbeat) {
  const double now = loop_.now();
  auto& peer = peers_[heartbeat.node];
  peer.last_heartbeat = now;
  peer.state_reachable = heartbeat.state_reachable;
  peer.leader_reachable = heartbeat.leader_reachable;
  // The message may have been delayed. The peer's last reply was then earlier than the time
  // computed here by counting back from now, which is the safe direction (docs/design.md, rule 6).
  auto& read_state = peer.read_state;
  const double replied_at = now - heartbeat.last_reply_age_s * (1 - k::kMaxClockDrift);
  read_state.revision = std::max(read_state.revision, heartbeat.revision);
  read_state.replied_at = std::max(read_state.replied_at, replied_at);
}

bool PeerMonitor::is_recent(const Peer& peer) const {
  return loop_.now() - peer.last_heartbeat < k::kPeerTimeout;
}

bool PeerMonitor::reachable(const std::string& peer) const {
  const auto found = peers_.find(peer);
  return found != peers_.end() && is_recent(found->second);
}

bool PeerMonitor::all_without_state_store() const {
  return std::all_of(settings_.peers.begin(), settings_.peers.end(), [&](const config::Peer& peer) {
    return reachable(peer.name) && !peers_.at(peer.name).state_reachable;
  });
}

bool PeerMonitor::reachable_peers_without_state_store() const {
  bool any_reachable = false;
  for (const auto& [name, peer] : peers_) {
    if (!is_recent(peer)) continue;
    if (peer.state_reachable) return false;
    any_reachable = true;
  }
  return any_reachable;
}

std::string PeerMonitor::zone_peer_without_leader() const {
  std::string zone_peer;
  for (const auto& peer : settings_.peers) {
    if (peer.zone == settings_.zone && reachable(peer.name) &&
        !peers_.at(peer.name).leader_reachable)
      zone_peer = peer.name;
  }
  return zone_peer;
}

reconcile::PeerReadState PeerMonitor::read_state(const std::string& peer) const {
  const auto found = peers_.find(peer);
  return found == peers_.end() ? reconcile::PeerReadState{} : found->second.read_state;
}

}  // namespace elmstall::controller
