#include "placement/job_queues.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"
#include "placement/eligibility.hpp"

namespace elmstall::placement {

sched::Eligible JobQueues::eligibility() {
  return [this](sched::TaskId task, const std::string& worker) {
    const auto* job = model_.job_of(task);
    const auto* machine = model_.find_machine(worker);
    return job != nullptr && machine != nullptr && may_ever_run(*job, *machine);
  };
}

sched::Group& JobQueues::group_of(const state::Machine& machine) {
  return groups_[group_name(machine)];
}

void JobQueues::remove_worker(const state::Machine& machine) {
  const auto found = groups_.find(group_name(machine));
  if (found != groups_.end()) found->second.remove_worker(machine.id);
}

void JobQueues::distribute_shared_queues() {
  const auto eligible = eligibility();
  for (auto& [name, group] : groups_) group.distribute_shared_queue(eligible);
}

// --- entering and leaving the queues ---------------------------------------------------------

sched::Group* JobQueues::shortest_group_for(sched::TaskId task) {
  const auto eligible = eligibility();
  sched::Group* shortest = nullptr;
  for (auto& [name, group] : groups_) {
    if (shortest != nullptr && group.mean_wait() >= shortest->mean_wait()) continue;
    const auto& workers = group.workers();
    const bool has_machine = std::any_of(workers.begin(), workers.end(), [&](const auto& worker) {
      return eligible(task, worker.first);
    });
    if (has_machine) shortest = &group;
  }
  return shortest;
}

void JobQueues::push(const state::Job& job, const std::vector<state::Task*>& tasks, double now) {
  if (tasks.empty()) return;
  auto* group = shortest_group_for(tasks.front()->id);
  // While no machine may run the tasks they stay outside the queues and are tried again later.
  if (group == nullptr) return;
  const auto position = queue_position(settings_, estimates_, job, now);
  std::vector<sched::QueuedTask> entries;
  for (auto* task : tasks) {
    task->set_queued(true);
    entries.push_back(position.entry(task->id));
  }
  group->push_block(entries, eligibility());
}

JobQueues::EnqueueResult JobQueues::enqueue_block(state::Job& job, state::Block& block,
                                                  double now) {
  EnqueueResult result;
  std::vector<state::Task*> unqueued;
  for (auto& task : block.tasks) {
    if (!task.is_pending()) continue;
    ++result.pending;
    if (task.queued()) continue;
    if (task.not_before() <= now) {
      unqueued.push_back(&task);
    } else {
      result.complete = false;
    }
  }
  push(job, unqueued, now);
  const bool some_left = std::any_of(unqueued.begin(), unqueued.end(),
                                     [](const state::Task* task) { return !task->queued(); });
  if (some_left) result.complete = false;
  return result;
}

bool JobQueues::enqueue_job(state::Job& job, double now) {
  EnqueueResult total;
  const auto add_block = [&](state::Block& block) {
    const auto enqueued = enqueue_block(job, block, now);
    total.pending += enqueued.pending;
    total.complete = total.complete && enqueued.complete;
  };
  for (const auto& [number, block] : job.blocks) add_block(*block);
  // The blocks of a large job are loaded into memory only as they are needed.
  while (total.pending < job.window && job.next_block < job.block_count &&
         model_.may_load_block(job, job.next_block)) {
    const auto number = job.next_block++;
    if (!job.blocks.contains(number)) add_block(model_.load_block(job, number, nullptr));
  }
  return total.complete && job.next_block >= job.block_count;
}

void JobQueues::update_windows(double now) {
  for (auto* job : windows_.update(now)) unload_blocks(*job);
}

void JobQueues::unload_blocks(state::Job& job) {
  std::size_t waiting = 0;
  for (const auto& [number, block] : job.blocks) {
    waiting += static_cast<std::size_t>(
        std::count_if(block->tasks.begin(), block->tasks.end(),
                      [](const state::Task& task) { return task.is_pending(); }));
  }
  auto untouched = job.untouched_blocks();
  while (!untouched.empty()) {
    auto& block = *job.blocks.at(untouched.back());
    // A block that the window has room for would be loaded again at once.
    if (waiting < job.window + block.tasks.size()) return;
    waiting -= block.tasks.size();
    for (auto& task : block.tasks) dequeue(task);
    model_.unload_block(job, untouched.back());
    untouched.pop_back();
    model_.jobs_with_unqueued_tasks().insert(&job);
  }
}

void JobQueues::enqueue_jobs(double now) {
  auto& jobs = model_.jobs_with_unqueued_tasks();
  for (auto it = jobs.begin(); it != jobs.end();) {
    auto& job = **it;
    const bool over = job.cancelled || job.all_done();
    const bool nothing_left = over || (!is_placed_directly(job) && enqueue_job(job, now));
    it = nothing_left ? jobs.erase(it) : std::next(it);
  }
}

void JobQueues::dequeue(state::Task& task) {
  if (!task.queued()) return;
  task.set_queued(false);
  for (auto& [name, group] : groups_) {
    if (group.remove(task.id)) break;
  }
}

// --- order -----------------------------------------------------------------------------------

void JobQueues::reorder_and_balance(double now) {
  if (now < next_reorder_) return;
  next_reorder_ = now + constants::kReorderInterval;
  // All tasks of a job have the same position, so it is computed once per job, by serial number.
  std::map<std::uint64_t, QueuePosition> positions;
  const auto update_entry = [&](sched::QueuedTask& entry) {
    const auto* job = model_.job_of(entry.id);
    if (job == nullptr) return;
    auto found = positions.find(job->serial);
    if (found == positions.end()) {
      const auto position = queue_position(settings_, estimates_, *job, now);
      found = positions.emplace(job->serial, position).first;
    }
    entry = found->second.entry(entry.id);
  };
  const auto eligible = eligibility();
  for (auto& [name, group] : groups_) {
    if (group.queued_count() == 0) continue;
    group.reorder(update_entry);
    moved_tasks_ += group.balance(settings_.tuning.threshold_tasks, eligible);
  }
}

// --- reading ---------------------------------------------------------------------------------

std::optional<sched::QueuedTask> JobQueues::next_for(const state::Machine& machine,
                                                     const TaskFilter& may_take) {
  const auto own_name = group_name(machine);
  if (auto own_task = groups_[own_name].next(machine.id, may_take)) return own_task;
  std::vector<const sched::Group*> others;
  for (const auto& [name, group] : groups_) {
    if (name != own_name && group.queued_count() > 0) others.push_back(&group);
  }
  std::stable_sort(others.begin(), others.end(),
                   [](const auto* a, const auto* b) { return a->mean_wait() > b->mean_wait(); });
  for (const auto* group : others) {
    if (auto other_task = group->next_for_other_group(may_take)) return other_task;
  }
  return std::nullopt;
}

bool JobQueues::empty() const {
  return std::none_of(groups_.begin(), groups_.end(),
                      [](const auto& entry) { return entry.second.queued_count() > 0; });
}

}  // namespace elmstall::placement
