#include "autoscaler/pool_survey.hpp"

#include <algorithm>

#include "autoscaler/task_packing.hpp"

namespace elmstall::autoscaler {

namespace {

/// The pool with what is known from its provision requests; its machines are counted later.
sched::Pool pool_without_machines(const wire::MachineType& machine_type, const PoolKey& key,
                                  const Provisioning& provisioning, double now) {
  sched::Pool pool;
  pool.type = key.machine_type;
  pool.zone = key.zone;
  pool.spot = key.spot;
  pool.price = key.spot ? machine_type.spot_price : machine_type.price;
  pool.booting = provisioning.pending_machines(key);
  pool.blocked = provisioning.backing_off(key, now);
  return pool;
}

bool is_schedulable(const state::Machine& machine) {
  return !machine.terminating && !machine.quarantined && !machine.interruption_at &&
         !machine.fences_running_out() && !machine.reported_failed;
}

void count_machine(std::vector<sched::Pool>& pools, const state::Machine& machine,
                   double heartbeat_timeout_s, double now) {
  const auto pool = std::find_if(pools.begin(), pools.end(), [&](const sched::Pool& other) {
    return other.spot == machine.spot && other.zone == machine.zone;
  });
  if (pool == pools.end()) return;
  if (!machine.heartbeat_received) {
    ++pool->booting;
  } else if (machine.silent_for(now) < heartbeat_timeout_s) {
    ++pool->alive;
  }
}

}  // namespace

std::vector<sched::Pool> survey_pools(const wire::MachineType& machine_type,
                                      const config::Settings& settings, state::Model& model,
                                      const Provisioning& provisioning, double now) {
  std::vector<sched::Pool> pools;
  for (const auto& zone : machine_type.zones_or(settings.zones)) {
    for (const bool spot : {false, true}) {
      const PoolKey key{machine_type.name, zone, spot};
      pools.push_back(pool_without_machines(machine_type, key, provisioning, now));
    }
  }
  for (const auto& [id, machine] : model.machines()) {
    if (machine->type == machine_type.name && is_schedulable(*machine))
      count_machine(pools, *machine, settings.heartbeat_timeout_s(), now);
  }
  return pools;
}

}  // namespace elmstall::autoscaler
