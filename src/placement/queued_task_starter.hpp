/// @file
/// Assigns queued tasks to machines that have room: first where the task's image is cached, then
/// to every machine with room the task that is next in the queues. Runs on the controller's event
/// loop; times are seconds of its steady clock.
#pragma once

#include <cstddef>
#include <vector>

#include "placement/job_queues.hpp"
#include "placement/machine_index.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Starts tasks from the queues.
class QueuedTaskStarter {
 public:
  /// All arguments have to outlive this object.
  QueuedTaskStarter(state::Model& model, JobQueues& queues, const MachineIndex& machines)
      : model_(model), queues_(queues), machines_(machines) {}

  /// Assigns queued tasks, in queue order, to machines that hold their image, whichever queue the
  /// tasks are in: fetching an image takes a large part of the time that a task runs.
  void start_where_cached(double now);
  /// Fills every machine with room from the queues.
  void start_on_machines_with_room(double now);
  /// Machines examined so far: the cost of decisions, for tests and metrics.
  [[nodiscard]] std::size_t machines_examined() const { return machines_examined_; }

 private:
  [[nodiscard]] std::vector<sched::QueuedTask> tasks_in_queue_order() const;
  /// Starts one task on the machine; false if none may start there.
  bool start_next(state::Machine& machine, double now);
  void start(state::Task& task, state::Machine& machine);

  state::Model& model_;
  JobQueues& queues_;
  const MachineIndex& machines_;
  std::size_t machines_examined_ = 0;
};

}  // namespace elmstall::placement
