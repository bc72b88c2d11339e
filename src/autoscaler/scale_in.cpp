#include "autoscaler/scale_in.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "autoscaler/boot_time.hpp"
#include "config/constants.hpp"

namespace elmstall::autoscaler {

namespace k = constants;

ScaleIn::ScaleIn(const config::Settings& settings, state::Model& model, Terminations& terminations)
    : settings_(settings), model_(model), terminations_(terminations) {}

void ScaleIn::run(const wire::MachineType& machine_type, const std::vector<sched::Pool>& pools,
                  const sched::Demand& demand, ZonePlan zone_plan, double now) {
  auto surplus = sched::surplus(pools, demand);
  const double idle_timeout = idle_timeout_s(machine_type);
  for (auto& [id, machine] : model_.machines()) {
    if (machine->type != machine_type.name || !machine->synchronized || machine->terminating)
      continue;
    if (!update_idle_since(*machine, now)) continue;
    int& surplus_of_kind = machine->spot ? surplus.spot : surplus.ordinary;
    // Work that waits for machines of another zone does not need this one, and the cloud may have
    // no capacity there until idle machines elsewhere are deleted.
    int& returnable = surplus_of_kind > 0 ? surplus_of_kind : zone_plan.unobtainable_machines;
    if (reserve_for_zone(*machine, zone_plan)) continue;
    if (returnable <= 0 || now - machine->idle_since < idle_timeout) continue;
    --returnable;
    spdlog::info("machine {} is idle; deleting it", machine->id);
    terminations_.mark(*machine);
  }
}

double ScaleIn::idle_timeout_s(const wire::MachineType& machine_type) const {
  // In a large fleet random changes of demand even out, so idle machines are kept for less time.
  const double fleet_size = std::max<double>(1, static_cast<double>(model_.machines().size()));
  const double scale =
      std::clamp(std::sqrt(k::kIdleShareFleetSize / fleet_size), k::kIdleScaleMin, 1.0);
  return settings_.tuning.idle_share * scale * boot_time_s(machine_type);
}

bool ScaleIn::update_idle_since(state::Machine& machine, double now) {
  if (!machine.tasks.empty() || machine.has_unknown_jobs) {
    machine.idle_since = state::kNever;
    return false;
  }
  if (machine.idle_since == state::kNever) machine.idle_since = now;
  return true;
}

bool ScaleIn::reserve_for_zone(const state::Machine& machine, ZonePlan& zone_plan) {
  const auto found = zone_plan.demand.find(machine.zone);
  if (found == zone_plan.demand.end()) return false;
  auto& demand = found->second;
  if (demand.machines <= 0 || (machine.spot && !demand.spot_allowed)) return false;
  // Only as many machines as the work needs are kept. A gang that needs machines in two zones
  // would otherwise keep all machines of one zone, and the other zone would get none.
  demand.machines -= 1;
  return true;
}

}  // namespace elmstall::autoscaler
