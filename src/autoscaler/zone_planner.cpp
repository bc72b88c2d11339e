#include "autoscaler/zone_planner.hpp"

#include <algorithm>
#include <cmath>

#include "autoscaler/pool_survey.hpp"
#include "autoscaler/task_packing.hpp"
#include "config/constants.hpp"
#include "placement/planner.hpp"

namespace elmstall::autoscaler {

namespace k = constants;

namespace {

/// Machines. Smaller shortages are ignored, because sums of shares of machines have rounding
/// errors.
constexpr double kRoundingSlack = 1e-6;

/// The first pool of the zone that the demand may use and that may have capacity.
const sched::Pool* usable_pool(const std::vector<sched::Pool>& pools, const std::string& zone,
                               const ZoneDemand& demand) {
  const auto found = std::find_if(pools.begin(), pools.end(), [&](const sched::Pool& pool) {
    return pool.zone == zone && !pool.blocked && (demand.spot_allowed || !pool.spot);
  });
  return found == pools.end() ? nullptr : &*found;
}

/// The number of the job's tasks that are or may be on machines of the zone.
std::size_t tasks_in_zone(const state::Job& job, const std::string& zone) {
  const auto found = job.per_zone.find(zone);
  return found == job.per_zone.end() ? 0 : found->second;
}

}  // namespace

ZonePlanner::ZonePlanner(const config::Settings& settings, state::Model& model)
    : settings_(settings), model_(model) {}

ZonePlan ZonePlanner::plan(const wire::MachineType& machine_type,
                           const std::vector<sched::Pool>& pools, double now) const {
  ZonePlan plan;
  plan.demand = demand_by_zone(machine_type, now);
  for (const auto& [zone, demand] : plan.demand) {
    const double available = free_machines(machine_type, pools, zone, demand, now);
    const double shortage = std::min(demand.machines - available, k::kMaxMachinesPlanned);
    const auto missing = static_cast<int>(std::ceil(shortage - kRoundingSlack));
    if (missing <= 0) continue;
    if (const auto* pool = usable_pool(pools, zone, demand); pool != nullptr) {
      plan.scale_outs.push_back({key_of(*pool), missing});
    } else {
      plan.unobtainable_machines += missing;
    }
  }
  return plan;
}

std::map<std::string, ZoneDemand> ZonePlanner::demand_by_zone(const wire::MachineType& machine_type,
                                                              double now) const {
  const auto& zones = machine_type.zones_or(settings_.zones);
  std::map<std::string, ZoneDemand> demand;
  for (const auto& [id, job] : model_.jobs()) {
    // The tasks of a job that was just submitted may still fit on existing machines.
    const bool just_submitted = now - job->submitted < k::kZoneMaxWait;
    if (job->cancelled || job->failed_until > now || just_submitted) continue;
    const auto required = required_zones(*job, zones);
    if (required.empty()) continue;
    const double machines = machines_for_waiting_tasks(*job, machine_type);
    if (machines <= 0) continue;
    for (const auto& zone : required) {
      auto& entry = demand[zone];
      entry.machines += std::ceil(machines / static_cast<double>(required.size()));
      entry.spot_allowed = entry.spot_allowed && job->spec.spot;
    }
  }
  return demand;
}

std::vector<std::string> ZonePlanner::required_zones(const state::Job& job,
                                                     const std::vector<std::string>& zones) const {
  const auto& spec = job.spec;
  if (spec.zone) return {*spec.zone};
  // At most half of a spread gang may be in one zone, so it needs machines in several at once.
  const bool spread_gang = job.is_gang() && spec.spread;
  const auto open_zone = spread_gang ? std::nullopt : zone_with_spread_room(job, zones);
  if (open_zone) return {*open_zone};
  if (spec.together && !job.per_zone.empty()) return {job.per_zone.begin()->first};
  if (spec.together && !job.zone_choice.empty()) return {job.zone_choice};
  if (spec.together) return {settings_.zones.front()};
  return spread_gang ? settings_.zones : std::vector<std::string>{};
}

std::optional<std::string> ZonePlanner::zone_with_spread_room(
    const state::Job& job, const std::vector<std::string>& zones) {
  if (!job.spec.spread) return std::nullopt;
  const auto is_full = [&](const std::string& zone) {
    return tasks_in_zone(job, zone) >= sched::spread_limit(job.spec.tasks);
  };
  if (std::none_of(zones.begin(), zones.end(), is_full)) return std::nullopt;
  const auto least_used = std::min_element(
      zones.begin(), zones.end(),
      [&](const auto& a, const auto& b) { return tasks_in_zone(job, a) < tasks_in_zone(job, b); });
  return is_full(*least_used) ? std::nullopt : std::optional(*least_used);
}

double ZonePlanner::machines_for_waiting_tasks(const state::Job& job,
                                               const wire::MachineType& machine_type) {
  const auto packed = tasks_per_machine(job.need, machine_type);
  if (!packed) return 0;
  // A gang needs room for all its tasks at once. Of other large jobs one window counts at a time.
  const std::uint32_t waiting = job.is_gang()
                                    ? job.waiting_tasks()
                                    : std::min<std::uint32_t>(job.waiting_tasks(), k::kWindowTasks);
  return std::ceil(waiting / *packed);
}

double ZonePlanner::free_machines(const wire::MachineType& machine_type,
                                  const std::vector<sched::Pool>& pools, const std::string& zone,
                                  const ZoneDemand& demand, double now) const {
  double available = 0;
  for (const auto& pool : pools) {
    if (pool.zone == zone) available += pool.booting;
  }
  const auto capacity = capacity_of(machine_type);
  for (const auto& [id, machine] : model_.machines()) {
    const bool suitable = machine->type == machine_type.name && machine->zone == zone &&
                          (demand.spot_allowed || !machine->spot);
    if (suitable && placement::Planner::usable(*machine, now, settings_))
      available += std::max(0.0, 1 - machine->used.share_of(capacity));
  }
  return available;
}

}  // namespace elmstall::autoscaler
