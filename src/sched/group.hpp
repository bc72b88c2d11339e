/// @file
/// The queues of one group of workers, that is of machines of one type and zone. Each worker has a
/// queue of tasks, and tasks move between the queues by equation (1) of the paper
/// (see sched/balance.hpp for its symbols). Pure: no clock, no randomness, no I/O.
///
/// Sums over the queues are updated as the queues change. The mean wait, the anticipated wait z
/// of a worker and the longest queue are therefore known without iterating over the group, and the
/// cost of a decision does not grow with the number of workers that it does not concern.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sched/balance.hpp"

namespace elmstall::sched {

/// The caller's number for a task.
using TaskId = std::uint64_t;

/// A task in a queue. Queues are ordered by precedence, tier, due time and id.
struct QueuedTask {
  TaskId id = 0;       ///< must be unique in the group
  int precedence = 0;  ///< tasks with a higher precedence go first
  int tier = 0;        ///< tasks with a lower tier go first; 0 while the task can still be in time
  double due = 0;      ///< seconds on the caller's clock; tasks that are due earlier go first
  double run_time_s = 0;  ///< anticipated run time in seconds

  /// Whether this task goes before the other one. Of otherwise equal tasks the lower id does.
  [[nodiscard]] bool before(const QueuedTask& other) const;
};

/// A worker with its queue of tasks.
struct Worker {
  std::vector<QueuedTask> queue;  ///< in the order in which the tasks are to start
  std::size_t in_transit = 0;  ///< tasks that are assigned to it and not yet seen in its heartbeats
  double slots = 1;            ///< tasks of the usual size that run at once
  bool has_room = false;       ///< whether another task could start now

  /// Tasks that are queued for the worker or in transit to it, per slot.
  [[nodiscard]] double load() const {
    return static_cast<double>(queue.size() + in_transit) / slots;
  }
};

/// Returns whether a worker may run a task, now or later.
using Eligible = std::function<bool(TaskId, const std::string& worker)>;

/// A group's queues: one per worker, and a shared one for the tasks that no worker could run when
/// they arrived. A task may be queued only once. Workers are identified by their names.
class Group {
 public:
  /// Adds a worker, or updates what is known of it. Its queue is not changed.
  void set_worker(const std::string& name, std::size_t in_transit, double slots, bool has_room);
  /// Removes a worker. The tasks of its queue move to the shared queue.
  void remove_worker(const std::string& name);
  /// All workers of the group, by name.
  [[nodiscard]] const std::map<std::string, Worker>& workers() const { return workers_; }
  /// The tasks that are in no worker's queue, in queue order.
  [[nodiscard]] const std::vector<QueuedTask>& shared_queue() const { return shared_queue_; }

  /// Adds a block of tasks to the queue of one worker, the one with the lowest z that is eligible
  /// for all of them, or else to the shared queue. In the paper, too, a block goes to one node and
  /// balancing spreads its tasks later.
  void push_block(const std::vector<QueuedTask>& block, const Eligible& eligible);
  /// Moves tasks from the shared queue to the queues of workers that have joined meanwhile.
  void distribute_shared_queue(const Eligible& eligible);
  /// Removes a task from its queue. False if it is in none.
  bool remove(TaskId id);
  /// Calls `update` for every task, which may change all of it but its id, and sorts all queues.
  void reorder(const std::function<void(QueuedTask&)>& update);

  /// Mean anticipated run time of the queued tasks in seconds; `constants::kDefaultTaskTime` if
  /// there are none.
  [[nodiscard]] double mean_run_time() const;
  /// Mean z of the group, in seconds, including the tasks of the shared queue. For a group without
  /// workers, the time that one worker would need for the shared queue and one more task.
  [[nodiscard]] double mean_wait() const;
  /// The anticipated wait of a worker in seconds.
  [[nodiscard]] double anticipated_wait(const Worker& worker) const {
    return worker.load() * mean_run_time();
  }

  /// Moves tasks between queues by one round of equation (1), with a threshold in tasks. Returns
  /// the number of tasks that were moved.
  std::size_t balance(double threshold_tasks, const Eligible& eligible);

  /// The task that the worker should start next: the first startable one of its own queue, or
  /// else of the longest queue that has one, or else of the shared queue. Nothing for an unknown
  /// worker, or if no task can start. The task stays in its queue.
  [[nodiscard]] std::optional<QueuedTask> next(const std::string& worker,
                                               const std::function<bool(TaskId)>& startable) const;
  /// The task that a worker of another group should start next: the first startable one of the
  /// longest queue that has one, or else of the shared queue. The task stays in its queue.
  [[nodiscard]] std::optional<QueuedTask> next_for_other_group(
      const std::function<bool(TaskId)>& startable) const;

  /// Number of tasks in all queues, including the shared one.
  [[nodiscard]] std::size_t queued_count() const { return queued_count_; }
  /// Calls `visit` for every queued task. `visit` must not change the group.
  void for_each(const std::function<void(const QueuedTask&)>& visit) const;

 private:
  using Workers = std::map<std::string, Worker>;
  using Startable = std::function<bool(TaskId)>;

  /// Orders workers by the length of their queues, longest first, and then by name, so that equal
  /// groups always come to equal decisions.
  struct LongestQueueFirst {
    bool operator()(const Workers::value_type* a, const Workers::value_type* b) const;
  };

  /// Inserts a task at its position in an ordered queue.
  static void insert_in_order(std::vector<QueuedTask>& queue, const QueuedTask& task);
  /// Applies a change to a worker. Every change must be made through this function, which keeps
  /// `total_load_` and `workers_with_tasks_` up to date.
  void change_worker(Workers::value_type& worker, const std::function<void(Worker&)>& change);
  /// Keep `total_run_time_s_` and `queued_count_` up to date when a task joins or leaves the group.
  void add_to_totals(const QueuedTask& task);
  void subtract_from_totals(const QueuedTask& task);
  /// The worker with the lowest z that is eligible for all tasks of a block, or null.
  [[nodiscard]] Workers::value_type* least_loaded_worker_for(const std::vector<QueuedTask>& block,
                                                             const Eligible& eligible);
  /// Moves up to `limit` tasks that `receiver` may run from one queue to the other. Returns how
  /// many.
  std::size_t move_tasks(Workers::value_type& sender, Workers::value_type& receiver,
                         std::size_t limit, const Eligible& eligible);
  /// The first startable task of the longest queue that has one, or else of the shared queue. The
  /// queue of the worker `excluded`, which may be null, is left out.
  [[nodiscard]] std::optional<QueuedTask> first_of_longest_queue(
      const Workers::value_type* excluded, const Startable& startable) const;

  Workers workers_;  ///< by name
  std::vector<QueuedTask> shared_queue_;
  std::set<Workers::value_type*, LongestQueueFirst> workers_with_tasks_;
  std::map<TaskId, Workers::value_type*> worker_of_task_;  ///< null for a task in the shared queue
  double total_load_ = 0;                                  ///< sum of the workers' loads
  double total_run_time_s_ = 0;  ///< sum of `run_time_s` of all queued tasks
  std::size_t queued_count_ = 0;
};

}  // namespace elmstall::sched
