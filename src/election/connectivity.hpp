/// @file
/// Reachability of the leader, the state store and the controllers of the same zone.
#pragma once

#include <string>

namespace elmstall::election {

/// Reachability as seen by this node at one moment, derived from the messages and replies of the
/// last seconds.
struct Connectivity {
  bool leader_reachable = false;  ///< the leader has sent a message recently, or is this node
  bool state_reachable = false;   ///< the state store has replied recently
  /// Name of a reachable controller of this node's zone that does not receive the leader's
  /// heartbeats either, which shows that the whole zone is partitioned. Set only while this node
  /// reaches neither the leader nor the state store; empty otherwise.
  std::string cut_off_zone_peer;
};

}  // namespace elmstall::election
