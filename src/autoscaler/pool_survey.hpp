/// @file
/// Counts the machines of each pool, as the input of the fleet size decisions.
#pragma once

#include <vector>

#include "autoscaler/pool_key.hpp"
#include "autoscaler/provisioning.hpp"
#include "sched/scaling_plan.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

/// The pools of one machine type, in the order of the zones in the settings and, within a zone,
/// ordinary before spot. Machines that get no more tasks are not counted: those that are
/// terminating, quarantined, failed, about to be interrupted, or silent.
/// `now`: seconds on the event loop's steady clock.
[[nodiscard]] std::vector<sched::Pool> survey_pools(const wire::MachineType& machine_type,
                                                    const config::Settings& settings,
                                                    state::Model& model,
                                                    const Provisioning& provisioning, double now);

/// The key of a surveyed pool.
[[nodiscard]] inline PoolKey key_of(const sched::Pool& pool) {
  return {pool.type, pool.zone, pool.spot};
}

}  // namespace elmstall::autoscaler
