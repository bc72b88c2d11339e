#include "reconcile/machine_loss.hpp"

#include <spdlog/spdlog.h>

namespace elmstall::reconcile {

void remove_all_tasks(state::Model& model, placement::Planner& planner, state::Machine& machine,
                      std::string_view reason) {
  planner.remove_worker(machine);
  model.mark_dirty(machine);
  if (!machine.tasks.empty()) {
    spdlog::info("machine {}: removed {} tasks ({})", machine.id, machine.tasks.size(), reason);
  }
  const auto tasks = machine.tasks;  // unassigning changes the machine's own set
  for (auto* task : tasks) {
    if (task->is_planned()) {
      model.unplan(*task);
    } else {
      model.unassign(*task);
    }
  }
  state::Model::clear_heartbeat_content(machine);
}

}  // namespace elmstall::reconcile
