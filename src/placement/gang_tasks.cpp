#include "placement/gang_tasks.hpp"

#include <spdlog/spdlog.h>

namespace elmstall::placement {

void change_gang_state(state::Job& job, state::Gang::State state, double now) {
  auto& gang = job.gang;
  if (gang.state == state) return;
  if (!state::is_valid_transition(gang.state, state))
    spdlog::error("gang {}: {} does not follow {}", job.id, to_text(state), to_text(gang.state));
  spdlog::info("gang {}: {}, was {}", job.id, to_text(state), to_text(gang.state));
  gang.state = state;
  gang.since = now;
}

std::vector<state::Task*> gang_tasks_in_memory(const state::Job& job) {
  std::vector<state::Task*> tasks;
  for (const auto& [number, block] : job.blocks) {
    for (auto& task : block->tasks) tasks.push_back(&task);
  }
  return tasks;
}

bool load_gang(state::Model& model, state::Job& job) {
  const bool in_memory = job.blocks.size() == job.block_count;
  if (in_memory) return true;
  if (!model.may_load_job(job)) {
    spdlog::debug("gang {}: {} tasks are too many to be kept in memory now", job.id,
                  job.spec.tasks);
    return false;
  }
  for (std::uint32_t number = 0; number < job.block_count; ++number)
    (void)model.load_block(job, number, nullptr);
  return true;
}

std::vector<state::Task*> pending_gang_tasks(const state::Job& job) {
  auto tasks = gang_tasks_in_memory(job);
  std::erase_if(tasks, [](const state::Task* task) { return !task->is_pending(); });
  return tasks;
}

std::vector<state::Task*> load_pending_gang_tasks(state::Model& model, state::Job& job,
                                                  std::size_t count) {
  std::vector<state::Task*> pending;
  for (std::uint32_t number = 0; number < job.block_count && pending.size() < count; ++number) {
    if (!model.may_load_block(job, number)) break;
    for (auto& task : model.load_block(job, number, nullptr).tasks) {
      if (task.is_pending() && pending.size() < count) pending.push_back(&task);
    }
  }
  return pending;
}

void unload_gang(state::Model& model, state::Job& job) {
  for (const auto number : job.untouched_blocks()) model.unload_block(job, number);
}

void unplan_tasks(state::Model& model, const std::vector<state::Task*>& tasks) {
  for (auto* task : tasks) {
    if (task->is_planned()) model.unplan(*task);
  }
}

}  // namespace elmstall::placement
