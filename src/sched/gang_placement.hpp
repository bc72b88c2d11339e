/// @file
/// Placement of gangs: finds machines for all tasks of a gang at once, or for none.
/// Pure: no clock, no randomness, no I/O. Machines are identified by numbers of the caller.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace elmstall::sched {

/// A machine that a gang's tasks could run on. A slot is room for one task of the gang.
struct GangCandidate {
  std::size_t machine = 0;            ///< the caller's number for the machine
  std::string zone;                   ///< name of the zone in which the machine is
  std::size_t free_slots = 0;         ///< slots that are free now
  std::size_t preemptible_slots = 0;  ///< further slots that preemption would free
  bool avoid = false;                 ///< an earlier attempt of the gang failed to start here
  bool cached = false;                ///< the machine has the gang's image, or is fetching it
  bool fetching = false;  ///< the machine is fetching another image, which slows a fetch
  /// The machine would have room left for other tasks. These may start soon, and the fetches of
  /// their images would slow the fetch of the gang's image.
  bool has_room_for_others = false;
  /// Slots for other tasks that would be lost if the gang took this room; half a slot is added for
  /// a machine that is empty so far.
  double waste = 0;
  double preemption_cost_s = 0;  ///< seconds of work that preemption would lose for each such slot
};

/// The tasks that are to be placed.
struct GangRequest {
  std::size_t tasks = 0;       ///< number of tasks of the gang
  bool together = false;       ///< all tasks must be in one zone
  std::size_t zone_limit = 0;  ///< largest number of tasks in one zone; 0: no limit
};

/// The tasks that are placed on one machine.
struct GangShare {
  std::size_t candidate = 0;   ///< index among the candidates
  std::size_t tasks = 0;       ///< all tasks on this machine
  std::size_t preempting = 0;  ///< those of them for which others must be preempted
};

/// Whether room may be made for a gang by preempting other tasks.
enum class Preemption : std::uint8_t {
  forbidden,  ///< free slots only
  allowed,    ///< preemptible slots too, where free slots do not suffice
};

/// Returns machines for all tasks, or nothing if there is not room for all.
///
/// Machines that are not to be avoided are preferred; then those that have the image, those that
/// can fetch it fastest, and those where other tasks lose the fewest slots. Of several zones for a
/// gang that must stay together, the one is chosen that requires the least preemption.
[[nodiscard]] std::optional<std::vector<GangShare>> place_gang(
    const std::vector<GangCandidate>& candidates, const GangRequest& request,
    Preemption preemption);

/// The zone with the most slots, free and preemptible ones together; empty without candidates. Used
/// for a gang that must stay together and can't be placed yet.
[[nodiscard]] std::string zone_with_most_room(const std::vector<GangCandidate>& candidates);

}  // namespace elmstall::sched
