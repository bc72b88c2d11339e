#include "autoscaler/terminations.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "config/constants.hpp"

namespace elmstall::autoscaler {

namespace k = constants;

Terminations::Terminations(runtime::EventLoop& event_loop, runtime::CommandQueue& queue,
                           clients::Cloud& cloud, state::Model& model,
                           std::function<void(state::Machine&)> machine_lost)
    : loop_(event_loop),
      cloud_(cloud),
      model_(model),
      machine_lost_(std::move(machine_lost)),
      scope_(queue) {}

void Terminations::mark(state::Machine& machine) {
  machine.terminating = true;
  model_.mark_dirty(machine);
}

void Terminations::send_if_due(double now) {
  if (in_flight_ || now < next_request_at_) return;
  const auto machine_ids = next_batch();
  if (machine_ids.empty()) return;
  in_flight_ = true;
  for (const auto& id : machine_ids) {
    const auto* machine = model_.find_machine(id);
    spdlog::debug("deletion: machine={} tasks={} last_heard={:.2f}s ago", id, machine->tasks.size(),
                  now - machine->last_contact);
  }
  next_request_at_ = now + k::kTerminationInterval;
  cloud_.terminate(machine_ids, scope_.wrap([this, machine_ids](bool confirmed) {
    on_reply(machine_ids, confirmed);
  }));
}

std::vector<std::string> Terminations::next_batch() const {
  std::vector<std::string> machine_ids;
  for (const auto& [id, machine] : model_.machines()) {
    if (machine->terminating && machine_ids.size() < k::kMaxTerminationsPerRequest)
      machine_ids.push_back(id);
  }
  return machine_ids;
}

void Terminations::on_reply(const std::vector<std::string>& machine_ids, bool confirmed) {
  in_flight_ = false;
  if (!confirmed) {
    // The machines stay marked, so a later batch contains them again.
    next_request_at_ = loop_.now() + k::kAutoscaleInterval;
    return;
  }
  for (const auto& id : machine_ids) remove_deleted(id);
}

void Terminations::remove_deleted(const std::string& machine_id) {
  auto* machine = model_.find_machine(machine_id);
  if (machine == nullptr) return;
  spdlog::info("machine {} deleted", machine_id);
  machine_lost_(*machine);
  model_.remove_machine(machine_id);
}

}  // namespace elmstall::autoscaler
