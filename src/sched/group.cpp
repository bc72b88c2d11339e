#include "sched/group.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::sched {
namespace {

/// Seconds. Smallest mean run time that is used, so that z is never 0 for queued tasks.
constexpr double kLeastTaskTime = 1e-3;

std::optional<Queued> first_startable(const std::vector<Queued>& list,
                                      const std::function<bool(TaskId)>& startable) {
  const auto found = std::find_if(list.begin(), list.end(),
                                  [&](const Queued& task) { return startable(task.id); });
  if (found == list.end()) return std::nullopt;
  return *found;
}

}  // namespace

bool Queued::before(const Queued& other) const {
  if (precedence != other.precedence) return precedence > other.precedence;
  if (tier != other.tier) return tier < other.tier;
  if (due != other.due) return due < other.due;
  return id < other.id;
}

bool Group::LongestListFirst::operator()(const Workers::value_type* a,
                                         const Workers::value_type* b) const {
  const auto length_a = a->second.list.size();
  const auto length_b = b->second.list.size();
  return length_a != length_b ? length_a > length_b : a->first < b->first;
}

void Group::insert_in_order(std::vector<Queued>& list, const Queued& task) {
  list.insert(std::upper_bound(list.begin(), list.end(), task,
                               [](const Queued& a, const Queued& b) { return a.before(b); }),
              task);
}

void Group::count_in(const Queued& task) {
  total_work_s_ += task.work_s;
  ++queued_;
}

void Group::count_out(const Queued& task) {
  total_work_s_ -= task.work_s;
  --queued_;
  // Rounding errors add up in a sum that is changed many times. An empty group has an exact sum.
  if (queued_ == 0) total_work_s_ = 0;
}

void Group::change_worker(Workers::value_type& worker, const std::function<void(Worker&)>& change) {
  // The set is ordered by the length of the lists, so the worker must leave it before its list
  // changes.
  workers_with_tasks_.erase(&worker);
  total_load_ -= worker.second.load();
  change(worker.second);
  total_load_ += worker.second.load();
  if (!worker.second.list.empty()) workers_with_tasks_.insert(&worker);
}

void Group::set_worker(const std::string& name, std::size_t in_transit, double slots, bool room) {
  auto& entry = *workers_.try_emplace(name).first;
  change_worker(entry, [&](Worker& worker) {
    worker.in_transit = in_transit;
    worker.slots = std::max(slots, 1.0);
    worker.room = room;
  });
}

void Group::remove_worker(const std::string& name) {
  const auto found = workers_.find(name);
  if (found == workers_.end()) return;
  for (const auto& task : found->second.list) {
    insert_in_order(inbox_, task);
    worker_of_task_[task.id] = nullptr;
  }
  change_worker(*found, [](Worker& worker) { worker = {}; });
  workers_.erase(found);
  // Rounding errors add up in this sum too (see count_out). Without workers it is set to 0.
  if (workers_.empty()) total_load_ = 0;
}

Group::Workers::value_type* Group::least_loaded_worker_for(const std::vector<Queued>& block,
                                                           const Eligible& eligible) {
  Workers::value_type* best = nullptr;
  for (auto& worker : workers_) {
    if (best != nullptr && worker.second.load() >= best->second.load()) continue;
    const bool may_run_all = std::all_of(block.begin(), block.end(), [&](const Queued& task) {
      return eligible(task.id, worker.first);
    });
    if (may_run_all) best = &worker;
  }
  return best;
}

void Group::push_block(const std::vector<Queued>& block, const Eligible& eligible) {
  auto* const receiver = least_loaded_worker_for(block, eligible);
  const auto add_to = [&](std::vector<Queued>& list) {
    for (const auto& task : block) {
      insert_in_order(list, task);
      worker_of_task_[task.id] = receiver;
      count_in(task);
    }
  };
  if (receiver == nullptr) {
    add_to(inbox_);
  } else {
    change_worker(*receiver, [&](Worker& worker) { add_to(worker.list); });
  }
}

void Group::settle_inbox(const Eligible& eligible) {
  auto tasks = std::move(inbox_);
  inbox_.clear();
  for (const auto& task : tasks) {
    count_out(task);
    push_block({task}, eligible);
  }
}

bool Group::remove(TaskId id) {
  const auto found = worker_of_task_.find(id);
  if (found == worker_of_task_.end()) return false;
  const auto remove_from = [&](std::vector<Queued>& list) {
    const auto position =
        std::find_if(list.begin(), list.end(), [id](const Queued& task) { return task.id == id; });
    count_out(*position);
    list.erase(position);
  };
  if (found->second == nullptr) {
    remove_from(inbox_);
  } else {
    change_worker(*found->second, [&](Worker& worker) { remove_from(worker.list); });
  }
  worker_of_task_.erase(found);
  return true;
}

void Group::reorder(const std::function<void(Queued&)>& update) {
  total_work_s_ = 0;
  const auto sort = [&](std::vector<Queued>& list) {
    for (auto& task : list) {
      update(task);
      total_work_s_ += task.work_s;
    }
    std::stable_sort(list.begin(), list.end(),
                     [](const Queued& a, const Queued& b) { return a.before(b); });
  };
  sort(inbox_);
  // The lists are sorted in place, which is no change that `change_worker` would have to count:
  // their lengths stay as they are.
  for (auto* worker : workers_with_tasks_) sort(worker->second.list);
}

double Group::task_time() const {
  if (queued_ == 0) return constants::kDefaultTaskTime;
  return std::max(total_work_s_ / static_cast<double>(queued_), kLeastTaskTime);
}

double Group::mean() const {
  const auto inbox = static_cast<double>(inbox_.size());
  if (workers_.empty()) return (inbox + 1) * task_time();
  return (inbox + total_load_) * task_time() / static_cast<double>(workers_.size());
}

std::size_t Group::balance(double threshold_tasks, const Eligible& eligible) {
  const bool all_in_inbox = queued_ == inbox_.size();
  if (all_in_inbox) return 0;
  std::vector<WorkerLoad> loads;
  std::vector<Workers::value_type*> worker_at;  // by index in `loads`
  const double group_task_time = task_time();
  for (auto& worker : workers_) {
    const double task_time_per_slot = group_task_time / worker.second.slots;
    loads.push_back({z(worker.second), task_time_per_slot, worker.second.room});
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
  std::vector<Queued> moving;
  change_worker(sender, [&](Worker& worker) {
    // Tasks are taken from the end of the list, because those at its front start soonest where
    // they are.
    for (std::size_t i = worker.list.size(); i-- > 0 && moving.size() < limit;) {
      if (!eligible(worker.list[i].id, receiver.first)) continue;
      moving.push_back(worker.list[i]);
      worker.list.erase(worker.list.begin() + static_cast<std::ptrdiff_t>(i));
    }
  });
  change_worker(receiver, [&](Worker& worker) {
    for (const auto& task : moving) {
      insert_in_order(worker.list, task);
      worker_of_task_[task.id] = &receiver;
    }
  });
  return moving.size();
}

std::optional<Queued> Group::first_of_longest_list(const Workers::value_type* excluded,
                                                   const Startable& startable) const {
  for (const auto* worker : workers_with_tasks_) {
    if (worker == excluded) continue;
    if (auto task = first_startable(worker->second.list, startable)) return task;
  }
  return first_startable(inbox_, startable);
}

std::optional<Queued> Group::next(const std::string& worker,
                                  const std::function<bool(TaskId)>& startable) const {
  const auto own = workers_.find(worker);
  if (own == workers_.end()) return std::nullopt;
  if (auto task = first_startable(own->second.list, startable)) return task;
  // An idle worker relieves the worker with the longest list.
  return first_of_longest_list(&*own, startable);
}

std::optional<Queued> Group::lend(const std::function<bool(TaskId)>& startable) const {
  return first_of_longest_list(nullptr, startable);
}

void Group::each(const std::function<void(const Queued&)>& visit) const {
  for (const auto& task : inbox_) visit(task);
  for (const auto* worker : workers_with_tasks_) {
    for (const auto& task : worker->second.list) visit(task);
  }
}

}  // namespace elmstall::sched
