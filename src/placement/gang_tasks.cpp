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

std::vector<state::Task*> load_gang_tasks(state::Model& model, state::Job& job) {
  for (std::uint32_t number = 0; number < job.block_count; ++number)
    (void)model.load_block(job, number, nullptr);
  return gang_tasks_in_memory(job);
}

std::vector<state::Task*> load_pending_gang_tasks(state::Model& model, state::Job& job) {
  auto tasks = load_gang_tasks(model, job);
  std::erase_if(tasks, [](const state::Task* task) { return !task->is_pending(); });
  return tasks;
}

void unplan_tasks(state::Model& model, const std::vector<state::Task*>& tasks) {
  for (auto* task : tasks) {
    if (task->is_planned()) model.unplan(*task);
  }
}

}  // namespace elmstall::placement
