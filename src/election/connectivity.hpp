// What a node sees of the controllers and the state store around it.
#pragma once

#include <string>

namespace elmstall::election {

struct Connectivity {
  bool leader_heard = false;
  bool state_reachable = false;
  /// Set when neither of them is reached: another controller of this node's zone
  /// that is heard and does not hear the leader either, so that the whole zone is
  /// known to be cut off.
  std::string cut_off_neighbour;
};

}  // namespace elmstall::election
