/// @file
/// Finds machines for all tasks of a gang at once: describes the candidate machines and passes
/// them to the pure placement algorithm in sched/gang_placement.hpp. Runs on the
/// controller's event loop; times are seconds of its steady clock.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "sched/gang_placement.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Machines on which tasks of a gang could run. Both vectors have the same length and order.
struct GangCandidates {
  std::vector<state::Machine*> machines;  ///< the machines themselves; never null
  std::vector<sched::GangCandidate>
      descriptions;  ///< their descriptions, for the placement algorithm

  /// Appends a machine and its description, which keeps both vectors in the same order.
  void add(state::Machine& machine, sched::GangCandidate candidate);
  /// Number of the gang's tasks for which the machines together have free room.
  [[nodiscard]] std::size_t free_slots() const;
};

/// A machine and the number of the gang's tasks that go there.
struct GangPlace {
  state::Machine* machine = nullptr;  ///< where the tasks go; never null in a place that was found
  std::size_t tasks = 0;              ///< number of the gang's tasks for this machine
};
/// Places for several tasks of one gang; each machine occurs once at most.
using GangPlaces = std::vector<GangPlace>;

/// Describes machines as candidates for the tasks of a gang.
class GangCandidateFinder {
 public:
  /// All arguments have to outlive this object.
  GangCandidateFinder(const config::Settings& settings, state::Model& model)
      : settings_(settings), model_(model) {}

  /// The machines with free room for at least one task, out of `with_room`.
  [[nodiscard]] GangCandidates free_candidates(const state::Job& job,
                                               const state::MachineSet& with_room) const;
  /// All usable machines with room for at least one task, counting the room that preemption could
  /// make there.
  [[nodiscard]] GangCandidates preemptible_candidates(const state::Job& job, double now) const;
  /// Whether all machines, those that still boot included, could hold this many tasks of the gang
  /// if nothing else ran there.
  [[nodiscard]] bool machines_suffice(const state::Job& job, std::size_t task_count) const;

 private:
  /// The machine as a candidate, without the room that preemption could make; empty if the gang may
  /// not run on this kind of machine.
  [[nodiscard]] std::optional<sched::GangCandidate> describe(const state::Job& job,
                                                             const state::Machine& machine) const;
  /// How many of the smallest other tasks there is room for.
  [[nodiscard]] double slots_of_smallest_task(const sched::Amount& room) const;

  const config::Settings& settings_;
  state::Model& model_;
};

/// Places for `task_count` tasks of the gang in free room; empty if there is not enough.
[[nodiscard]] std::optional<GangPlaces> place_gang_in_free_room(const state::Job& job,
                                                                std::size_t task_count,
                                                                const GangCandidates& candidates);
/// Places for `task_count` tasks of the gang in free room and in room that preemption has to make;
/// empty if there is not enough.
[[nodiscard]] std::optional<GangPlaces> place_gang_by_preemption(const state::Job& job,
                                                                 std::size_t task_count,
                                                                 const GangCandidates& candidates);

/// Calls `put` for each task, in order, with the machine of its place. A gang whose tasks must
/// stay together is bound to the zone of these places.
void put_tasks_in_places(state::Job& job, const std::vector<state::Task*>& tasks,
                         const GangPlaces& places,
                         const std::function<void(state::Task&, state::Machine&)>& put);

/// Whether `task_count` tasks of the gang fit into its team's quota together.
[[nodiscard]] bool gang_within_quota(const state::Job& job, std::size_t task_count);

/// Chooses the zone for which machines are provisioned, for a gang whose tasks must stay together:
/// the one with the most room. The choice is kept for `constants::kGangZoneTimeout`.
void choose_gang_zone(const config::Settings& settings, state::Job& job,
                      const GangCandidates& candidates, double now);

}  // namespace elmstall::placement
