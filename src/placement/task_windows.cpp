#include "placement/task_windows.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "config/constants.hpp"
#include "placement/eligibility.hpp"
#include "placement/queue_position.hpp"

namespace elmstall::placement {

namespace {

using state::TaskBudget;

/// One machine of each kind: those of one type and zone, spot or ordinary, can run the same jobs.
using MachinesByKind = std::map<std::pair<std::string, bool>, const state::Machine*>;

MachinesByKind machines_by_kind(state::Model& model, const config::Settings& settings, double now) {
  MachinesByKind kinds;
  for (const auto& [id, machine] : model.machines()) {
    if (is_usable(*machine, now, settings))
      kinds.try_emplace({group_name(*machine), machine->spot}, machine.get());
  }
  return kinds;
}

bool startable(const state::Job& job, const MachinesByKind& kinds, double now) {
  if (job.failed_until > now || !state::Model::within_quota(job)) return false;
  return std::any_of(kinds.begin(), kinds.end(),
                     [&](const auto& kind) { return may_ever_run(job, *kind.second); });
}

std::size_t wanted_tasks(const state::Job& job) {
  return std::min<std::size_t>(constants::kWindowTasks, job.waiting_tasks());
}

/// What this many tasks of one job cost of the budget.
std::size_t cost(std::size_t tasks, std::size_t block_tasks) {
  const auto blocks = (tasks + block_tasks - 1) / block_tasks;
  return tasks + blocks * TaskBudget::cost_of_block(0);
}

}  // namespace

bool TaskWindows::Waiting::before(const Waiting& other) const {
  if (startable != other.startable) return startable;
  return order.before(other.order);
}

std::vector<state::Job*> TaskWindows::waiting_jobs() const {
  std::vector<state::Job*> jobs;
  for (const auto& [id, job] : model_.jobs()) {
    if (!job->cancelled && !is_placed_directly(*job) && job->waiting_tasks() > 0)
      jobs.push_back(job.get());
  }
  return jobs;
}

std::size_t TaskWindows::capacity(std::size_t block_tasks) const {
  const auto limit = model_.task_budget().limit();
  const auto left = limit - std::min(limit, cost(model_.on_machines(), block_tasks));
  const auto most = static_cast<double>(limit) * constants::kWaitingTasksShare;
  return std::min(left, static_cast<std::size_t>(most));
}

std::vector<TaskWindows::Waiting> TaskWindows::ranked(const std::vector<state::Job*>& jobs,
                                                      double now) const {
  const auto kinds = machines_by_kind(model_, settings_, now);
  std::vector<Waiting> ranked;
  ranked.reserve(jobs.size());
  for (auto* job : jobs) {
    const auto position = queue_position(settings_, estimates_, *job, now);
    ranked.push_back({job, startable(*job, kinds, now), position.entry(job->serial), 0});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Waiting& a, const Waiting& b) { return a.before(b); });
  return ranked;
}

void TaskWindows::divide(std::vector<Waiting>& jobs, std::size_t block_tasks,
                         std::size_t capacity) {
  for (const auto limit : {block_tasks, constants::kWindowTasks}) {
    for (auto& waiting : jobs) {
      const auto tasks = std::min(limit, wanted_tasks(*waiting.job));
      if (tasks <= waiting.window) continue;
      const auto additional = cost(tasks, block_tasks) - cost(waiting.window, block_tasks);
      if (additional > capacity) return;
      capacity -= additional;
      waiting.window = tasks;
    }
  }
}

std::vector<state::Job*> TaskWindows::update(double now) {
  std::vector<state::Job*> smaller;
  if (now < next_update_) return smaller;
  next_update_ = now + constants::kReorderInterval;
  const std::size_t block_tasks = store::block_size(settings_.state.value_kb);
  const auto jobs = waiting_jobs();
  std::size_t total = 0;
  for (const auto* job : jobs) total += cost(wanted_tasks(*job), block_tasks);
  const auto available = capacity(block_tasks);
  if (total <= available) {
    for (auto* job : jobs) job->window = constants::kWindowTasks;
    return smaller;
  }
  auto waiting = ranked(jobs, now);
  divide(waiting, block_tasks, available);
  for (const auto& [job, is_startable, order, window] : waiting) {
    if (window < job->window) smaller.push_back(job);
    job->window = window;
  }
  return smaller;
}

}  // namespace elmstall::placement
