#include "autoscaler/task_packing.hpp"

#include <cmath>

namespace elmstall::autoscaler {

sched::Amount capacity_of(const wire::MachineType& machine_type) {
  return sched::capacity_of_machine(machine_type.cpus, machine_type.gpus, machine_type.memory_gb);
}

std::optional<double> tasks_per_machine(const sched::Amount& task_need,
                                        const wire::MachineType& machine_type) {
  const double share_of_machine = task_need.share_of(capacity_of(machine_type));
  if (share_of_machine > 1 + sched::Amount::kSlack) return std::nullopt;
  return std::floor(1.0 / share_of_machine + sched::Amount::kSlack);
}

}  // namespace elmstall::autoscaler
