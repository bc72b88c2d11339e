#include "sched/group.hpp"

#include <algorithm>
#include <limits>

#include "config/constants.hpp"

namespace elmstall::sched {

bool Queued::before(const Queued& other) const {
  if (rank != other.rank) return rank > other.rank;
  if (tier != other.tier) return tier < other.tier;
  if (due != other.due) return due < other.due;
  return id < other.id;
}

void Group::insert(std::vector<Queued>& list, const Queued& task) {
  list.insert(std::upper_bound(list.begin(), list.end(), task, [](const Queued& a, const Queued& b) { return a.before(b); }), task);
}

void Group::set_worker(const std::string& name, std::size_t in_transit, double slots, bool room) {
  auto& worker = workers_[name];
  worker.in_transit = in_transit;
  worker.slots = std::max(slots, 1.0);
  worker.room = room;
}

void Group::remove_worker(const std::string& name) {
  const auto found = workers_.find(name);
  if (found == workers_.end()) return;
  for (const auto& task : found->second.list) insert(inbox_, task);
  workers_.erase(found);
}

void Group::push_block(const std::vector<Queued>& block, const Eligible& eligible) {
  Worker* best = nullptr;
  for (auto& [name, worker] : workers_) {
    const bool fits = std::all_of(block.begin(), block.end(), [&, n = &name](const Queued& task) { return eligible(task.id, *n); });
    if (fits && (best == nullptr || z(worker) < z(*best))) best = &worker;
  }
  auto& list = best == nullptr ? inbox_ : best->list;
  for (const auto& task : block) insert(list, task);
}

void Group::settle_inbox(const Eligible& eligible) {
  std::vector<Queued> left;
  for (const auto& task : inbox_) {
    Worker* best = nullptr;
    for (auto& [name, worker] : workers_) {
      if (eligible(task.id, name) && (best == nullptr || z(worker) < z(*best))) best = &worker;
    }
    if (best == nullptr) left.push_back(task);
    else insert(best->list, task);
  }
  inbox_ = std::move(left);
}

bool Group::remove(TaskId id) {
  const auto drop = [id](std::vector<Queued>& list) {
    const auto found = std::find_if(list.begin(), list.end(), [id](const Queued& task) { return task.id == id; });
    if (found == list.end()) return false;
    list.erase(found);
    return true;
  };
  if (drop(inbox_)) return true;
  return std::any_of(workers_.begin(), workers_.end(), [&](auto& entry) { return drop(entry.second.list); });
}

void Group::reorder(const std::function<void(Queued&)>& update) {
  const auto sort = [&](std::vector<Queued>& list) {
    for (auto& task : list) update(task);
    std::stable_sort(list.begin(), list.end(), [](const Queued& a, const Queued& b) { return a.before(b); });
  };
  sort(inbox_);
  for (auto& [name, worker] : workers_) sort(worker.list);
}

double Group::task_time() const {
  double total = 0;
  std::size_t count = 0;
  const auto add = [&](const std::vector<Queued>& list) {
    for (const auto& task : list) total += task.work_s;
    count += list.size();
  };
  add(inbox_);
  for (const auto& [name, worker] : workers_) add(worker.list);
  return count == 0 ? constants::kDefaultTaskTime : std::max(total / static_cast<double>(count), 1e-3);
}

double Group::z(const Worker& worker) const {
  return static_cast<double>(worker.list.size() + worker.in_transit) * task_time() / worker.slots;
}

double Group::mean() const {
  if (workers_.empty()) return static_cast<double>(inbox_.size() + 1) * task_time();
  double total = static_cast<double>(inbox_.size()) * task_time();
  for (const auto& [name, worker] : workers_) total += z(worker);
  return total / static_cast<double>(workers_.size());
}

std::size_t Group::balance(double threshold_tasks, const Eligible& eligible) {
  std::vector<WorkerLoad> loads;
  std::vector<std::pair<const std::string*, Worker*>> order;
  const double unit = task_time();
  for (auto& [name, worker] : workers_) {
    loads.push_back({z(worker), unit / worker.slots, worker.room});
    order.emplace_back(&name, &worker);
  }
  std::size_t moved = 0;
  for (const auto& transfer : balance_round(std::move(loads), threshold_tasks)) {
    auto& from = order[transfer.from].second->list;
    auto& to = order[transfer.to].second->list;
    // From the tail: what stands in front starts soonest where it is.
    std::size_t left = transfer.tasks;
    for (std::size_t at = from.size(); at-- > 0 && left > 0;) {
      if (!eligible(from[at].id, *order[transfer.to].first)) continue;
      const Queued task = from[at];
      from.erase(from.begin() + static_cast<std::ptrdiff_t>(at));
      insert(to, task);
      --left;
      ++moved;
    }
  }
  return moved;
}

std::optional<Queued> Group::next(const std::string& worker, const std::function<bool(TaskId)>& startable) const {
  const auto first = [&](const std::vector<Queued>& list) -> std::optional<Queued> {
    const auto found = std::find_if(list.begin(), list.end(), [&](const Queued& task) { return startable(task.id); });
    if (found == list.end()) return std::nullopt;
    return *found;
  };
  const auto own = workers_.find(worker);
  if (own == workers_.end()) return std::nullopt;
  if (auto task = first(own->second.list)) return task;
  // Nothing of its own can start: an idle worker takes the longest list's
  // head, or the next one that this worker may run.
  std::vector<const Worker*> longest;
  for (const auto& [name, other] : workers_) {
    if (name != worker && !other.list.empty()) longest.push_back(&other);
  }
  std::stable_sort(longest.begin(), longest.end(), [](const Worker* a, const Worker* b) { return a->list.size() > b->list.size(); });
  for (const auto* other : longest) {
    if (auto task = first(other->list)) return task;
  }
  return first(inbox_);
}

std::size_t Group::queued() const {
  std::size_t total = inbox_.size();
  for (const auto& [name, worker] : workers_) total += worker.list.size();
  return total;
}

}  // namespace elmstall::sched
