#include "sched/group.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::sched {

bool Queued::before(const Queued& other) const {
  if (precedence != other.precedence) return precedence > other.precedence;
  if (tier != other.tier) return tier < other.tier;
  if (due != other.due) return due < other.due;
  return id < other.id;
}

bool Group::Longer::operator()(const Workers::value_type* a, const Workers::value_type* b) const {
  const auto x = a->second.list.size();
  const auto y = b->second.list.size();
  return x != y ? x > y : a->first < b->first;
}

void Group::insert(std::vector<Queued>& list, const Queued& task) {
  list.insert(std::upper_bound(list.begin(), list.end(), task,
                               [](const Queued& a, const Queued& b) { return a.before(b); }),
              task);
}

void Group::count(const Queued& task, int sign) {
  work_ += sign * task.work_s;
  queued_ += static_cast<std::size_t>(sign);
  // Sums of many small numbers drift; nothing is left of an empty one.
  if (queued_ == 0) work_ = 0;
}

void Group::change(Workers::value_type& worker, const std::function<void(Worker&)>& apply) {
  waiting_.erase(&worker);
  load_ -= worker.second.load();
  apply(worker.second);
  load_ += worker.second.load();
  if (!worker.second.list.empty()) waiting_.insert(&worker);
}

void Group::set_worker(const std::string& name, std::size_t in_transit, double slots, bool room) {
  change(*workers_.try_emplace(name).first, [&](Worker& worker) {
    worker.in_transit = in_transit;
    worker.slots = std::max(slots, 1.0);
    worker.room = room;
  });
}

void Group::remove_worker(const std::string& name) {
  const auto found = workers_.find(name);
  if (found == workers_.end()) return;
  for (const auto& task : found->second.list) {
    insert(inbox_, task);
    where_[task.id] = nullptr;
  }
  change(*found, [](Worker& worker) { worker = {}; });
  workers_.erase(found);
  if (workers_.empty()) load_ = 0;
}

void Group::push_block(const std::vector<Queued>& block, const Eligible& eligible) {
  Workers::value_type* best = nullptr;
  for (auto& worker : workers_) {
    if (best != nullptr && worker.second.load() >= best->second.load()) continue;
    const bool fits = std::all_of(block.begin(), block.end(), [&](const Queued& task) {
      return eligible(task.id, worker.first);
    });
    if (fits) best = &worker;
  }
  const auto put = [&](std::vector<Queued>& list) {
    for (const auto& task : block) {
      insert(list, task);
      where_[task.id] = best;
      count(task, 1);
    }
  };
  if (best == nullptr) {
    put(inbox_);
  } else {
    change(*best, [&](Worker& worker) { put(worker.list); });
  }
}

void Group::settle_inbox(const Eligible& eligible) {
  auto tasks = std::move(inbox_);
  inbox_.clear();
  for (const auto& task : tasks) {
    count(task, -1);
    push_block({task}, eligible);
  }
}

bool Group::remove(TaskId id) {
  const auto found = where_.find(id);
  if (found == where_.end()) return false;
  const auto drop = [&](std::vector<Queued>& list) {
    const auto at =
        std::find_if(list.begin(), list.end(), [id](const Queued& task) { return task.id == id; });
    count(*at, -1);
    list.erase(at);
  };
  if (found->second == nullptr) {
    drop(inbox_);
  } else {
    change(*found->second, [&](Worker& worker) { drop(worker.list); });
  }
  where_.erase(found);
  return true;
}

void Group::reorder(const std::function<void(Queued&)>& update) {
  work_ = 0;
  const auto sort = [&](std::vector<Queued>& list) {
    for (auto& task : list) {
      update(task);
      work_ += task.work_s;
    }
    std::stable_sort(list.begin(), list.end(),
                     [](const Queued& a, const Queued& b) { return a.before(b); });
  };
  sort(inbox_);
  for (auto* worker : waiting_) sort(worker->second.list);
}

double Group::task_time() const {
  return queued_ == 0 ? constants::kDefaultTaskTime
                      : std::max(work_ / static_cast<double>(queued_), 1e-3);
}

double Group::mean() const {
  if (workers_.empty()) return static_cast<double>(inbox_.size() + 1) * task_time();
  return (static_cast<double>(inbox_.size()) + load_) * task_time() /
         static_cast<double>(workers_.size());
}

std::size_t Group::balance(double threshold_tasks, const Eligible& eligible) {
  if (queued_ == inbox_.size()) return 0;
  std::vector<WorkerLoad> loads;
  std::vector<Workers::value_type*> order;
  const double unit = task_time();
  for (auto& worker : workers_) {
    loads.push_back({z(worker.second), unit / worker.second.slots, worker.second.room});
    order.push_back(&worker);
  }
  std::size_t moved = 0;
  for (const auto& transfer : balance_round(std::move(loads), threshold_tasks)) {
    auto& to = *order[transfer.to];
    // From the tail: what acts as an unrecorded delegate front starts soonest where it is.
    std::vector<Queued> taken;
    change(*order[transfer.from], [&](Worker& from) {
      for (std::size_t at = from.list.size(); at-- > 0 && taken.size() < transfer.tasks;) {
        if (!eligible(from.list[at].id, to.first)) continue;
        taken.push_back(from.list[at]);
        from.list.erase(from.list.begin() + static_cast<std::ptrdiff_t>(at));
      }
    });
    change(to, [&](Worker& worker) {
      for (const auto& task : taken) {
        insert(worker.list, task);
        where_[task.id] = &to;
      }
    });
    moved += taken.size();
  }
  return moved;
}

namespace {

std::optional<Queued> first(const std::vector<Queued>& list,
                            const std::function<bool(TaskId)>& startable) {
  const auto found = std::find_if(list.begin(), list.end(),
                                  [&](const Queued& task) { return startable(task.id); });
  if (found == list.end()) return std::nullopt;
  return *found;
}

}  // namespace

std::optional<Queued> Group::longest(const Workers::value_type* except,
                                     const std::function<bool(TaskId)>& startable) const {
  for (const auto* other : waiting_) {
    if (other == except) continue;
    if (auto task = first(other->second.list, startable)) return task;
  }
  return first(inbox_, startable);
}

std::optional<Queued> Group::next(const std::string& worker,
                                  const std::function<bool(TaskId)>& startable) const {
  const auto own = workers_.find(worker);
  if (own == workers_.end()) return std::nullopt;
  if (auto task = first(own->second.list, startable)) return task;
  // Nothing of its own can start: an idle worker takes the longest list's
  // head, or the next one that this worker may run.
  return longest(&*own, startable);
}

std::optional<Queued> Group::lend(const std::function<bool(TaskId)>& startable) const {
  return longest(nullptr, startable);
}

void Group::each(const std::function<void(const Queued&)>& visit) const {
  for (const auto& task : inbox_) visit(task);
  for (const auto* worker : waiting_) {
    for (const auto& task : worker->second.list) visit(task);
  }
}

}  // namespace elmstall::sched
