/// @file
/// Status of the other controllers according to their heartbeats. Runs on the controller's
/// event loop.
#pragma once

#include <map>
#include <string>

#include "config/settings.hpp"
#include "peer/messages.hpp"
#include "reconcile/lease_expiry.hpp"
#include "runtime/event_loop.hpp"

namespace elmstall::controller {

/// The latest heartbeat of each other controller, and what follows from all of them.
class PeerMonitor {
 public:
  /// Every peer counts as reachable at first. Both references have to outlive this object.
  PeerMonitor(const config::Settings& settings, const runtime::EventLoop& event_loop);

  /// Takes in a heartbeat of another controller.
  void on_heartbeat(const peer::Heartbeat& heartbeat);

  /// Whether a heartbeat of the peer arrived within the last `constants::kPeerTimeout` seconds.
  [[nodiscard]] bool reachable(const std::string& peer) const;
  /// Whether every peer is reachable, and each reports that it does not reach the state store.
  [[nodiscard]] bool all_without_state_store() const;
  /// Whether at least one peer is reachable, and no reachable peer reaches the state store.
  [[nodiscard]] bool reachable_peers_without_state_store() const;
  /// Name of a reachable peer of this node's zone that does not receive the leader's heartbeats;
  /// empty if there is none.
  [[nodiscard]] std::string zone_peer_without_leader() const;
  /// What the peer has reported of its copy of the records.
  [[nodiscard]] reconcile::PeerReadState read_state(const std::string& peer) const;

 private:
  struct Peer {
    double last_heartbeat = 0;
    bool state_reachable = true;
    bool leader_reachable = true;
    reconcile::PeerReadState read_state;
  };
  [[nodiscard]] bool is_recent(const Peer& peer) const;

  const config::Settings& settings_;
  const runtime::EventLoop& loop_;
  std::map<std::string, Peer> peers_;  ///< by name
};

}  // namespace elmstall::controller
