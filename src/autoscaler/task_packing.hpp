/// @file
/// How tasks of one size pack onto machines of one type. Pure functions.
#pragma once

#include <optional>

#include "sched/resources.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

/// The resources of an empty machine of this type.
[[nodiscard]] sched::Amount capacity_of(const wire::MachineType& machine_type);

/// The number of tasks that fit together on one empty machine, as a whole number that is at most
/// constants::kMaxTasksPerMachine; std::nullopt when not even one task fits.
[[nodiscard]] std::optional<double> tasks_per_machine(const sched::Amount& task_need,
                                                      const wire::MachineType& machine_type);

}  // namespace elmstall::autoscaler
