/// @file
/// The queues of the groups of like machines: pending tasks of flexible jobs enter them block by
/// block, are kept in order, and are balanced between machines by equation (1) of docs/design.md.
/// Tasks that are placed directly (services, gangs, arrays that stay together) are never queued.
/// Runs on the controller's event loop; times are seconds of its steady clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "placement/queue_position.hpp"
#include "placement/run_time_estimates.hpp"
#include "placement/task_windows.hpp"
#include "sched/group.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Owner of all queues.
class JobQueues {
 public:
  /// Returns whether a queued task may be taken.
  using TaskFilter = std::function<bool(sched::TaskId)>;

  /// All arguments have to outlive this object.
  JobQueues(const config::Settings& settings, state::Model& model,
            const RunTimeEstimates& estimates)
      : settings_(settings),
        model_(model),
        estimates_(estimates),
        windows_(settings, model, estimates) {}

  /// The group that the machine belongs to; it is created when there is none.
  [[nodiscard]] sched::Group& group_of(const state::Machine& machine);
  /// Removes the machine's queue; its tasks return to the shared queue of the group.
  void remove_worker(const state::Machine& machine);
  /// Moves tasks that had no eligible machine to the queues of machines added since then.
  void distribute_shared_queues();

  /// Divides the memory for waiting tasks among the jobs, once per `constants::kReorderInterval`,
  /// and unloads blocks of jobs that have more than their share.
  void update_windows(double now);
  /// Puts the pending tasks of all jobs in Model::jobs_with_unqueued_tasks() into the queues. Jobs
  /// with nothing left to put there are removed from that set.
  void enqueue_jobs(double now);
  /// Takes the task out of its queue, if it is in one.
  void dequeue(state::Task& task);
  /// Sorts all queues anew and balances each group, once per `constants::kReorderInterval`.
  void reorder_and_balance(double now);

  /// The task that the machine should start next: one of its own group, or else of the other
  /// group with the longest mean wait. The task stays in its queue.
  [[nodiscard]] std::optional<sched::QueuedTask> next_for(const state::Machine& machine,
                                                          const TaskFilter& may_take);
  /// Whether no task is queued in any group.
  [[nodiscard]] bool empty() const;

  /// The queues of all groups, by the name of the group.
  [[nodiscard]] const std::map<std::string, sched::Group>& groups() const { return groups_; }
  /// Tasks that balancing has moved between machines so far.
  [[nodiscard]] std::size_t moved_tasks() const { return moved_tasks_; }

 private:
  /// Result of putting a block or a job into the queues.
  struct EnqueueResult {
    std::size_t pending = 0;  ///< pending tasks, whether they are queued or not
    bool complete = true;     ///< all of them are queued
  };

  /// Whether a machine, given by its name, may ever run a task.
  [[nodiscard]] sched::Eligible eligibility();
  /// Unloads untouched blocks of the job that its window has no room for.
  void unload_blocks(state::Job& job);
  EnqueueResult enqueue_block(state::Job& job, state::Block& block, double now);
  /// Returns true when all pending tasks of the job are queued.
  bool enqueue_job(state::Job& job, double now);
  void push(const state::Job& job, const std::vector<state::Task*>& tasks, double now);
  /// The group with the lowest mean wait that has a machine for the task; null if there is none.
  [[nodiscard]] sched::Group* shortest_group_for(sched::TaskId task);

  const config::Settings& settings_;
  state::Model& model_;
  const RunTimeEstimates& estimates_;
  TaskWindows windows_;
  std::map<std::string, sched::Group> groups_;
  std::size_t moved_tasks_ = 0;
  double next_reorder_ = state::kNever;
};

}  // namespace elmstall::placement
