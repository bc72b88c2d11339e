// A group of same-type machines in one zone, with a list per worker.
// Pure: time and eligibility come from outside.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sched/balance.hpp"

namespace elmstall::sched {

using TaskId = std::uint64_t;

/// A task that waits in a list.
struct Queued {
  TaskId id = 0;
  int rank = 0;      ///< higher goes first
  int tier = 0;      ///< then the lower: 0 can still be in time
  double due = 0;    ///< then the earlier
  double work_s = 0; ///< anticipated run time
  [[nodiscard]] bool before(const Queued& other) const;
};

struct Worker {
  std::vector<Queued> list;  ///< in order
  std::size_t in_transit = 0;
  double slots = 1;  ///< tasks of the usual size that run at once
  bool room = false;
};

/// May this worker ever run this task.
using Eligible = std::function<bool(TaskId, const std::string& worker)>;

class Group {
 public:
  /// Adds the worker or updates what is known of it.
  void set_worker(const std::string& name, std::size_t in_transit, double slots, bool room);
  /// Its list goes back to the inbox.
  void remove_worker(const std::string& name);
  [[nodiscard]] const std::map<std::string, Worker>& workers() const { return workers_; }
  [[nodiscard]] const std::vector<Queued>& inbox() const { return inbox_; }

  /// A block goes whole to the worker with the lowest z that may run it, as
  /// the paper's blocks go to one node; balancing spreads it.
  void push_block(const std::vector<Queued>& block, const Eligible& eligible);
  /// Gives inbox tasks to workers that have come meanwhile.
  void settle_inbox(const Eligible& eligible);
  bool remove(TaskId id);
  /// Orders every list anew after `update` has changed its tasks.
  void reorder(const std::function<void(Queued&)>& update);

  [[nodiscard]] double task_time() const;
  /// Mean z of the group; without workers, the wait its inbox stands for.
  [[nodiscard]] double mean() const;
  [[nodiscard]] double z(const Worker& worker) const;

  /// One round of equation (1). Returns the number of tasks moved.
  std::size_t balance(double threshold_tasks, const Eligible& eligible);

  /// The first task of the worker's list that can start, or, when its list is
  /// empty, the first startable one of the longest list.
  [[nodiscard]] std::optional<Queued> next(const std::string& worker, const std::function<bool(TaskId)>& startable) const;

  [[nodiscard]] std::size_t queued() const;

 private:
  static void insert(std::vector<Queued>& list, const Queued& task);
  std::map<std::string, Worker> workers_;
  std::vector<Queued> inbox_;
};

}  // namespace elmstall::sched
