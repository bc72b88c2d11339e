// Places for all tasks of a gang at once. Pure: machines are numbers here.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace elmstall::sched {

/// A machine that a gang's tasks could run on.
struct GangSite {
  std::size_t machine = 0;  ///< the caller's number for it
  std::string zone;
  std::size_t free_slots = 0;   ///< tasks that there is room for now
  std::size_t extra_slots = 0;  ///< and that lesser work could make room for
  bool avoid = false;           ///< an earlier attempt got nowhere there
  bool cached = false;          ///< has the image, or is fetching it
  bool fetching = false;        ///< fetches another one, which would share its network
  bool inviting = false;        ///< other work may start there soon, and fetch as well
  double waste = 0;             ///< what others lose if the gang takes it
  double extra_cost = 0;        ///< seconds of work lost by making room
};

/// What is to be placed.
struct GangRequest {
  std::size_t tasks = 0;
  bool together = false;       ///< all in one zone
  std::size_t zone_limit = 0;  ///< tasks in one zone at most, 0: any number
};

/// So many tasks on one machine.
struct GangShare {
  std::size_t site = 0;  ///< position among the sites
  std::size_t tasks = 0;
  /// Of these, tasks for which room has to be made.
  std::size_t displacing = 0;
};

/// A place for every task, or nothing. Room that is free goes before room that
/// has to be made; then machines with the image, those whose network is free to
/// fetch it, and those that others have the least use for.
[[nodiscard]] std::optional<std::vector<GangShare>> place_gang(const std::vector<GangSite>& sites,
                                                               const GangRequest& request,
                                                               bool displace);

/// The zone with the most room, free or not, for a gang that must stay together.
[[nodiscard]] std::string zone_with_most_room(const std::vector<GangSite>& sites);

}  // namespace elmstall::sched
