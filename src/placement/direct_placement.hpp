/// @file
/// Places the jobs that do not wait in the queues: services, arrays whose tasks must stay together
/// in one zone, and gangs, which are handed to the GangCoordinator. Runs on the controller's event
/// loop; times are seconds of its steady clock.
#pragma once

#include <vector>

#include "placement/gang_coordinator.hpp"
#include "placement/machine_index.hpp"
#include "placement/preemption_search.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Places the tasks of such jobs at once where there is room, or else by preemption.
class DirectPlacement {
 public:
  /// All arguments have to outlive this object.
  DirectPlacement(const config::Settings& settings, state::Model& model,
                  const MachineIndex& machines, PreemptionSearch& preemption,
                  GangCoordinator& gangs)
      : settings_(settings),
        model_(model),
        machines_(machines),
        preemption_(preemption),
        gangs_(gangs) {}

  /// Advances all jobs of these kinds in Model::jobs_with_unqueued_tasks() by one step, by
  /// precedence and then by age. Jobs with nothing left to place are removed from that set. The
  /// work of one call is bounded: large jobs are placed in several.
  void place_jobs(double now);
  /// How many times a machine was examined so far as a place for one task.
  [[nodiscard]] std::size_t machines_examined() const { return machines_examined_; }

 private:
  /// Whether the placement of a job is complete. The job is then no longer one of
  /// Model::jobs_with_unqueued_tasks().
  enum class Progress : std::uint8_t { incomplete, complete };

  [[nodiscard]] std::vector<state::Job*> jobs_by_precedence(double now);
  [[nodiscard]] Progress place(state::Job& job, double now);
  [[nodiscard]] Progress place_tasks(state::Job& job, double now);
  /// Whether so much of the task budget is in use that blocks without a started task are unloaded.
  [[nodiscard]] bool tasks_are_many() const;
  /// Assigns one task to a machine, or makes room for it; false if neither is possible now.
  bool place_task(state::Task& task, double now);
  /// The machine with the best score among those with room for the job's next task, or null.
  [[nodiscard]] state::Machine* best_machine_with_room(const state::Job& job);
  /// Chooses the zone with the most room for a job whose tasks must stay together.
  void choose_zone(state::Job& job, double now);

  const config::Settings& settings_;
  state::Model& model_;
  const MachineIndex& machines_;
  PreemptionSearch& preemption_;
  GangCoordinator& gangs_;
  std::size_t machines_examined_ = 0;
};

}  // namespace elmstall::placement
