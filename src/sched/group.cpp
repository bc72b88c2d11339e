#include "sched/group.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::sched {
namespace {

/// Seconds. Smallest mean run time that is used, so that z is never 0 for queued tasks.
constexpr double kMinMeanRunTime = 1e-3;

std::optional<QueuedTask> first_startable(const std::vector<QueuedTask>& queue,
                                          const std::function<bool(TaskId)>& startable) {
  const auto found = std::find_if(queue.begin(), queue.end(),
                                  [&](const QueuedTask& task) { return startable(task.id); });
  if (found == queue.end()) return std::nullopt;
  return *found;
}

}  // namespace

bool QueuedTask::before(const QueuedTask& other) const {
  if (precedence != other.precedence) return precedence > other.precedence;
  if (tier != other.tier) return tier < other.tier;
  if (due != other.due) return due < other.due;
  return id < other.id;
}

bool Group::LongestQueueFirst::operator()(const Workers::value_type* a,
                                          const Workers::value_type* b) const {
  const auto length_a = a->second.queue.size();
  const auto length_b = b->second.queue.size();
  return length_a != length_b ? length_a > length_b : a->first < b->first;
}

void Group::insert_in_order(std::vector<QueuedTask>& queue, const QueuedTask& task) {
  queue.insert(
      std::upper_bound(queue.begin(), queue.end(), task,
                       [](const QueuedTask& a, const QueuedTask& b) { return a.before(b); }),
      task);
}

void Group::add_to_totals(const QueuedTask& task) {
  total_run_time_s_ += task.run_time_s;
  ++queued_count_;
}

void Group::subtract_from_totals(const QueuedTask& task) {
  total_run_time_s_ -= task.run_time_s;
  --queued_count_;
  // Rounding errors add up in a sum that is changed many times. An empty group has an exact sum.
  if (queued_count_ == 0) total_run_time_s_ = 0;
}

void Group::change_worker(Workers::value_type& worker, const std::function<void(Worker&)>& change) {
  // The set is ordered by the length of the queues, so the worker must be erased before its queue
  // changes.
  workers_with_tasks_.erase(&worker);
  total_load_ -= worker.second.load();
  change(worker.second);
  total_load_ += worker.second.load();
  if (!worker.second.queue.empty()) workers_with_tasks_.insert(&worker);
}

void Group::set_worker(const std::string& name, std::size_t in_transit, double slots,
                       bool has_room) {
  auto& entry = *workers_.try_emplace(name).first;
  change_worker(entry, [&](Worker& worker) {
    worker.in_transit = in_transit;
    worker.slots = std::max(slots, 1.0);
    worker.has_room = has_room;
  });
}

void Group::remove_worker(const std::string& name) {
  const auto found = workers_.find(name);
  if (found == workers_.end()) return;
  for (const auto& task : found->second.queue) {
    insert_in_order(shared_queue_, task);
    worker_of_task_[task.id] = nullptr;
  }
  change_worker(*found, [](Worker& worker) { worker = {}; });
  workers_.erase(found);
  // Rounding errors add up in this sum too (see subtract_from_totals). Without workers it is set to
  // 0.
  if (workers_.empty()) total_load_ = 0;
}

Group::Workers::value_type* Group::least_loaded_worker_for(const std::vector<QueuedTask>& block,
                                                           const Eligible& eligible) {
  Workers::value_type* best = nullptr;
  for (auto& worker : workers_) {
    if (best != nullptr && worker.second.load() >= best->second.load()) continue;
    const bool may_run_all = std::all_of(block.begin(), block.end(), [&](const QueuedTask& task) {
      return eligible(task.id, worker.first);
    });
    if (may_run_all) best = &worker;
  }
  return best;
}

void Group::push_block(const std::vector<QueuedTask>& block, const Eligible& eligible) {
  auto* const receiver = least_loaded_worker_for(block, eligible);
  const auto add_to = [&](std::vector<QueuedTask>& queue) {
    for (const auto& task : block) {
      insert_in_order(queue, task);
      worker_of_task_[task.id] = receiver;
      add_to_totals(task);
    }
  };
  if (receiver == nullptr) {
    add_to(shared_queue_);
  } else {
    change_worker(*receiver, [&](Worker& worker) { add_to(worker.queue); });
  }
}

void Group::distribute_shared_queue(const Eligible& eligible) {
  auto tasks = std::move(shared_queue_);
  shared_queue_.clear();
  for (const auto& task : tasks) {
    subtract_from_totals(task);
    push_block({task}, eligible);
  }
}

bool Group::remove(TaskId id) {
  const auto found = worker_of_task_.find(id);
  if (found == worker_of_task_.end()) return false;
  const auto remove_from = [&](std::vector<QueuedTask>& queue) {
    const auto position = std::find_if(queue.begin(), queue.end(),
                                       [id](const QueuedTask& task) { return task.id == id; });
    subtract_from_totals(*position);
    queue.erase(position);
  };
  if (found->second == nullptr) {
    remove_from(shared_queue_);
  } else {
    change_worker(*found->second, [&](Worker& worker) { remove_from(worker.queue); });
  }
  worker_of_task_.erase(found);
  return true;
}

void Group::reorder(const std::function<void(QueuedTask&)>& update) {
  total_run_time_s_ = 0;
  const auto sort = [&](std::vector<QueuedTask>& queue) {
    for (auto& task : queue) {
      update(task);
      total_run_time_s_ += task.run_time_s;
    }
    std::stable_sort(queue.begin(), queue.end(),
                     [](const QueuedTask& a, const QueuedTask& b) { return a.before(b); });
  };
  sort(shared_queue_);
  // The queues are sorted in place without `change_worker`, because neither their lengths nor the
  // loads of the workers change.
  for (auto* worker : workers_with_tasks_) sort(worker->second.queue);
}

double Group::mean_run_time() const {
  if (queued_count_ == 0) return constants::kDefaultTaskTime;
  return std::max(total_run_time_s_ / static_cast<double>(queued_count_), kMinMeanRunTime);
}

double Group::mean_wait() const {
  const auto shared_tasks = static_cast<double>(shared_queue_.size());
  if (workers_.empty()) return (shared_tasks + 1) * mean_run_time();
  return (shared_tasks + total_load_) * mean_run_time() / static_cast<double>(workers_.size());
}

std::size_t Group::balance(double threshold_tasks, const Eligible& eligible) {
  const bool all_in_shared_queue = queued_count_ == shared_queue_.size();
  if (all_in_shared_queue) return 0;
  std::vector<WorkerLoad> loads;
  std::vector<Workers::value_type*> worker_at;  // by index in `loads`
  const double run_time_s = mean_run_time();
  for (auto& worker : workers_) {
    const double wait_per_task_s = run_time_s / worker.second.slots;
    loads.push_back({anticipated_wait(worker.second), wait_per_task_s, worker.second.has_room});
    worker_at.push_back(&worker);
  }
  std::size_t moved = 0;
  for (const auto& transfer : balance_round(std::move(loads), threshold_tasks)) {
    auto& sender = *worker_at[transfer.from];
    auto& receiver = *worker_at[transfer.to];
    moved += move_tasks(sender, receiver, transfer.tasks, eligible);
  }
  return moved;
}

std::size_t Group::move_tasks(Workers::value_type& sender, Workers::value_type& receiver,
                              std::size_t limit, const Eligible& eligible) {
  std::vector<QueuedTask> moving;
  change_worker(sender, [&](Worker& worker) {
    // Tasks are taken from the back of the queue, because those at its front are the next to start
    // where they are.
    for (std::size_t i = worker.queue.size(); i-- > 0 && moving.size() < limit;) {
      if (!eligible(worker.queue[i].id, receiver.first)) continue;
      moving.push_back(worker.queue[i]);
      worker.queue.erase(worker.queue.begin() + static_cast<std::ptrdiff_t>(i));
    }
  });
  change_worker(receiver, [&](Worker& worker) {
    for (const auto& task : moving) {
      insert_in_order(worker.queue, task);
      worker_of_task_[task.id] = &receiver;
    }
  });
  return moving.size();
}

std::optional<QueuedTask> Group::first_of_longest_queue(const Workers::value_type* excluded,
                                                        const Startable& startable) const {
  for (const auto* worker : workers_with_tasks_) {
    if (worker == excluded) continue;
    if (auto task = first_startable(worker->second.queue, startable)) return task;
  }
  return first_startable(shared_queue_, startable);
}

std::optional<QueuedTask> Group::next(const std::string& worker,
                                      const std::function<bool(TaskId)>& startable) const {
  const auto own = workers_.find(worker);
  if (own == workers_.end()) return std::nullopt;
  if (auto task = first_startable(own->second.queue, startable)) return task;
  // An idle worker steals from the longest queue.
  return first_of_longest_queue(&*own, startable);
}

std::optional<QueuedTask> Group::next_for_other_group(
    const std::function<bool(TaskId)>& startable) const {
  return first_of_longest_queue(nullptr, startable);
}

void Group::for_each(const std::function<void(const QueuedTask&)>& visit) const {
  for (const auto& task : shared_queue_) visit(task);
  for (const auto* worker : workers_with_tasks_) {
    for (const auto& task : worker->second.queue) visit(task);
  }
}

}  // namespace elmstall::sched
