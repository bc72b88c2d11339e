// The lists of one group of same-type machines: per worker a queue of tasks
// that wait there, anticipated waits z, and moves between lists by equation
// (1). Pure and clock-free.
//
// Sums are kept as lists change, so that the mean, z and the longest list are
// known without walking the group: what a decision costs does not grow with
// the number of workers that it does not concern.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sched/balance.hpp"

namespace elmstall::sched {

using TaskId = std::uint64_t;

/// A task that waits in a list.
struct Queued {
  TaskId id = 0;
  int precedence = 0;  ///< higher goes first
  int tier = 0;        ///< then the lower: 0 can still be in time
  double due = 0;      ///< then the earlier
  double work_s = 0;   ///< anticipated run time
  [[nodiscard]] bool before(const Queued& other) const;
};

struct Worker {
  std::vector<Queued> list;  ///< in order
  std::size_t in_transit = 0;
  double slots = 1;  ///< tasks of the usual size that run at once
  bool room = false;
  /// Tasks that wait there or are on their way, per slot.
  [[nodiscard]] double load() const {
    return static_cast<double>(list.size() + in_transit) / slots;
  }
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
  /// Commands every list anew after `update` has changed its tasks.
  void reorder(const std::function<void(Queued&)>& update);

  [[nodiscard]] double task_time() const;
  /// Mean z of the group; without workers, the wait its inbox stands for.
  [[nodiscard]] double mean() const;
  [[nodiscard]] double z(const Worker& worker) const { return worker.load() * task_time(); }

  /// One round of equation (1). Returns the number of tasks moved.
  std::size_t balance(double threshold_tasks, const Eligible& eligible);

  /// The first task of the worker's list that can start, or, when its list is
  /// empty, the first startable one of the longest list.
  [[nodiscard]] std::optional<Queued> next(const std::string& worker,
                                           const std::function<bool(TaskId)>& startable) const;
  /// The first startable task of the longest list, for a worker of another group.
  [[nodiscard]] std::optional<Queued> lend(const std::function<bool(TaskId)>& startable) const;

  [[nodiscard]] std::size_t queued() const { return queued_; }
  /// Visits all tasks that wait.
  void each(const std::function<void(const Queued&)>& visit) const;

 private:
  using Workers = std::map<std::string, Worker>;
  /// Longest first, then by name: two runs must decide alike.
  struct Longer {
    bool operator()(const Workers::value_type* a, const Workers::value_type* b) const;
  };

  static void insert(std::vector<Queued>& list, const Queued& task);
  /// Every change of a worker goes through this, which keeps the sums right.
  void change(Workers::value_type& worker, const std::function<void(Worker&)>& apply);
  void count(const Queued& task, int sign);
  [[nodiscard]] std::optional<Queued> longest(const Workers::value_type* except,
                                              const std::function<bool(TaskId)>& startable) const;

  Workers workers_;
  std::vector<Queued> inbox_;
  std::set<Workers::value_type*, Longer> waiting_;  ///< workers with a list
  std::map<TaskId, Workers::value_type*> where_;    ///< null: in the inbox
  double load_ = 0;                                 ///< sum over the workers
  double work_ = 0;                                 ///< sum over all that wait
  std::size_t queued_ = 0;
};

}  // namespace elmstall::sched
