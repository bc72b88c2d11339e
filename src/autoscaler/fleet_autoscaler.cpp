#include "autoscaler/fleet_autoscaler.hpp"

#include <utility>

#include "autoscaler/pool_survey.hpp"
#include "config/constants.hpp"

namespace elmstall::autoscaler {

namespace k = constants;

namespace {

/// Ratio. After a takeover this many times the list's lag passes before machines are provisioned:
/// the list then contains the machines that the former leader provisioned last (rule 9).
constexpr double kTakeoverListLags = 2;

}  // namespace

FleetAutoscaler::FleetAutoscaler(const config::Settings& settings, runtime::EventLoop& event_loop,
                                 runtime::CommandQueue& queue, clients::Cloud& cloud,
                                 state::Model& model, placement::RunTimeEstimates& estimates,
                                 std::uint64_t term,
                                 const std::function<void(state::Machine&)>& machine_lost)
    : settings_(settings),
      loop_(event_loop),
      model_(model),
      term_start_{term, event_loop.now()},
      machine_list_(event_loop, queue, cloud, model, machine_lost),
      terminations_(event_loop, queue, cloud, model, machine_lost),
      health_review_(settings, model, machine_list_, terminations_, term_start_.at),
      provisioning_(settings, event_loop, queue, cloud, model, term),
      zone_planner_(settings, model),
      demand_estimator_(settings, model, estimates, term_start_),
      scale_in_(settings, model, terminations_) {}

void FleetAutoscaler::tick() {
  const double now = loop_.now();
  machine_list_.read_if_due(now);
  if (now >= next_plan_at_) {
    next_plan_at_ = now + k::kAutoscaleInterval;
    health_review_.review(now);
    plan(now);
  }
  terminations_.send_if_due(loop_.now());
}

void FleetAutoscaler::terminate(state::Machine& machine) { terminations_.mark(machine); }

bool FleetAutoscaler::fleet_fully_known(double now) const {
  if (!machine_list_.read_once()) return false;
  // Machines that a former leader provisioned a moment ago show up in the list only after its
  // lag. Provisioning before that would duplicate them.
  const double wait = term_start_.first_term() ? 0 : kTakeoverListLags * settings_.list_lag_s;
  return now >= term_start_.at + wait;
}

void FleetAutoscaler::plan(double now) {
  provisioning_.begin_round();
  if (!fleet_fully_known(now)) return;
  for (const auto& machine_type : model_.machine_types()) plan_machine_type(machine_type, now);
}

void FleetAutoscaler::plan_machine_type(const wire::MachineType& machine_type, double now) {
  const auto pools = survey_pools(machine_type, settings_, model_, provisioning_, now);
  // Work that is bound to zones goes first: the fleet's total may suffice although machines are
  // missing in one zone.
  auto zone_plan = zone_planner_.plan(machine_type, pools, now);
  for (const auto& scale_out : zone_plan.scale_outs)
    provisioning_.scale_out(scale_out.pool, scale_out.machines);
  const auto demand = demand_estimator_.estimate(machine_type, now);
  for (const auto& addition : sched::plan_scale_out(pools, demand))
    provisioning_.scale_out(key_of(pools[addition.pool]), addition.count);
  scale_in_.run(machine_type, pools, demand, std::move(zone_plan), now);
}

}  // namespace elmstall::autoscaler
