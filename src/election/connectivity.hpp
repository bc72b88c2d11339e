/// @file
/// How well a controller is connected to the leader, to the state store and to its neighbours.
#pragma once

#include <string>

namespace elmstall::election {

/// Connections of this node at one moment, as far as messages and replies of the last seconds
/// show them.
struct Connectivity {
  bool leader_reachable = false;  ///< the leader has sent a message recently, or is this node
  bool state_reachable = false;   ///< the state store has replied recently
  /// Name of another controller of this node's zone that is heard and does not hear the leader
  /// either, which shows that the whole zone is cut off. Set only while this node reaches neither
  /// the leader nor the state store; empty otherwise.
  std::string cut_off_zone_peer;
};

}  // namespace elmstall::election
