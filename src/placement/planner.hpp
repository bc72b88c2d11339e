/// @file
/// The planner decides which task goes to which machine, once for each batch of events. It only
/// runs the steps of a decision in their order; each step has a unit of its own in this folder.
/// Runs on the controller's event loop; times are seconds of its steady clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "placement/direct_placement.hpp"
#include "placement/gang_coordinator.hpp"
#include "placement/job_queues.hpp"
#include "placement/machine_index.hpp"
#include "placement/preemption_search.hpp"
#include "placement/queue_position.hpp"
#include "placement/queued_task_starter.hpp"
#include "placement/run_time_estimates.hpp"
#include "sched/group.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Owner of the queues and of everything that is needed for decisions. It refers to its own
/// members, so it can't be copied or moved.
class Planner {
 public:
  /// All arguments have to outlive the planner.
  Planner(const config::Settings& settings, state::Model& model, RunTimeEstimates& estimates,
          GangCoordinator& gangs);
  Planner(const Planner&) = delete;
  Planner& operator=(const Planner&) = delete;
  Planner(Planner&&) = delete;
  Planner& operator=(Planner&&) = delete;
  ~Planner() = default;

  /// Makes one round of decisions. The model records them; the commands to the machines are
  /// composed from the model later.
  void decide(double now);
  /// Takes the task out of the queues, if it is in one.
  void dequeue(state::Task& task) { queues_.dequeue(task); }
  /// To be called when the machine may receive no more tasks, and before it leaves the model.
  void remove_worker(state::Machine& machine) { machines_.remove(machine); }
  /// Whether tasks may be assigned to the machine now, see `is_usable`.
  [[nodiscard]] static bool usable(const state::Machine& machine, double now,
                                   const config::Settings& settings);
  /// The queues of all groups, by the name of the group.
  [[nodiscard]] const std::map<std::string, sched::Group>& groups() const {
    return queues_.groups();
  }
  /// Tasks that equation (1) has moved between machines so far.
  [[nodiscard]] std::size_t moved_tasks() const { return queues_.moved_tasks(); }
  /// Machines examined so far: the cost of decisions, for tests and metrics.
  [[nodiscard]] std::size_t machines_examined() const {
    return machines_.machines_examined() + starter_.machines_examined() +
           direct_placement_.machines_examined();
  }

 private:
  GangCoordinator& gangs_;
  JobQueues queues_;
  MachineIndex machines_;
  PreemptionSearch preemption_;
  DirectPlacement direct_placement_;
  QueuedTaskStarter starter_;
};

}  // namespace elmstall::placement
