#include "autoscaler/demand_estimator.hpp"

#include <algorithm>

#include "autoscaler/boot_time.hpp"
#include "autoscaler/task_packing.hpp"
#include "config/constants.hpp"
#include "placement/planner.hpp"

namespace elmstall::autoscaler {

namespace k = constants;

DemandEstimator::DemandEstimator(const config::Settings& settings, state::Model& model,
                                 const placement::RunTimeEstimates& estimates, TermStart term_start)
    : settings_(settings), model_(model), estimates_(estimates), term_start_(term_start) {}

sched::Demand DemandEstimator::estimate(const wire::MachineType& machine_type, double now) {
  auto& arrivals =
      arrivals_.try_emplace(machine_type.name, k::kArrivalRateWindow, now).first->second;
  sched::Demand demand;
  TeamDemand team_demand;
  double machines_freed = 0;
  std::uint64_t newest_serial = newest_counted_serial_;
  for (const auto& [id, job] : model_.jobs()) {
    if (!needs_machine_type(*job, machine_type, now)) continue;
    const auto* team = settings_.team(job->spec.team);
    if (team == nullptr) continue;
    const auto packed = tasks_per_machine(job->need, machine_type);
    if (!packed) continue;
    const double machines_per_task = 1.0 / *packed;
    if (job->spec.spot)
      machines_freed += machines_per_task * tasks_ending_soon(*job, boot_time_s(machine_type), now);
    newest_serial = std::max(newest_serial, job->serial);
    if (counts_as_arrival(*job, machine_type))
      arrivals.add(now, machines_per_task * std::min<double>(job->spec.tasks, k::kWindowTasks));
    const double tasks = tasks_within_limit(*job, *team, team_demand);
    (job->spec.spot ? demand.flexible : demand.ordinary) += machines_per_task * tasks;
  }
  newest_counted_serial_ = newest_serial;
  const double change = expected_change(machine_type, arrivals, machines_freed, now);
  demand.flexible = std::max(0.0, demand.flexible + settings_.tuning.forecast_share * change);
  demand.headroom =
      settings_.tuning.headroom_machines + settings_.tuning.headroom_share * demand.ordinary;
  return demand;
}

bool DemandEstimator::needs_machine_type(const state::Job& job,
                                         const wire::MachineType& machine_type, double now) {
  if (job.cancelled || job.failed_until > now || job.all_done()) return false;
  return job.spec.types.allows(machine_type.name);
}

double DemandEstimator::tasks_within_limit(const state::Job& job, const config::Team& team,
                                           TeamDemand& team_demand) {
  auto& demand = team_demand[job.spec.team];
  const double tasks =
      sched::max_tasks_within_limit(team, demand, job.need, job.spec.tasks - job.finished_tasks);
  demand += job.need * tasks;
  return tasks;
}

bool DemandEstimator::counts_as_arrival(const state::Job& job,
                                        const wire::MachineType& machine_type) const {
  // Jobs taken over from a former leader did not arrive just now, and right after a takeover users
  // repeat submissions that were refused before. Neither represents the usual arrival rate.
  return job.spec.spot && urgent(job, machine_type) && job.serial > newest_counted_serial_ &&
         job.submitted > term_start_.at + k::kArrivalIgnoredAfterTakeover;
}

bool DemandEstimator::urgent(const state::Job& job, const wire::MachineType& machine_type) const {
  const auto objective_s = placement::completion_objective_s(settings_, job);
  if (!objective_s) return false;
  const double fetch_s =
      machine_type.fetch_gb_per_s > 0 ? job.spec.image_gb / machine_type.fetch_gb_per_s : 0;
  const double run_s = estimates_.run_time(job.spec.job_class, job.spec.expect_s);
  const double slack_s = *objective_s - run_s - fetch_s;
  return slack_s < k::kUrgentBootTimes * boot_time_s(machine_type);
}

double DemandEstimator::tasks_ending_soon(const state::Job& job, double within_s,
                                          double now) const {
  double count = 0;
  const double run_s = estimates_.run_time(job.spec.job_class, job.spec.expect_s);
  for (const auto& [number, block] : job.blocks) {
    for (const auto& task : block->tasks) {
      if (!task.may_be_on_machine()) continue;
      const double ran_s = task.has_run() ? now - task.running_since() : 0;
      if (run_s - ran_s < within_s) count += 1;
    }
  }
  return count;
}

double DemandEstimator::expected_change(const wire::MachineType& machine_type,
                                        sched::ArrivalRate& arrivals, double machines_freed,
                                        double now) const {
  // After a takeover the arrival rate is not known at first. Work that ends must then not be
  // subtracted either, because the work that replaces it is not counted.
  const bool rate_known =
      term_start_.first_term() ||
      now > term_start_.at + k::kArrivalIgnoredAfterTakeover + k::kArrivalRateMinWindow;
  if (!rate_known) return 0;
  return arrivals.per_second(now) * boot_time_s(machine_type) - machines_freed;
}

}  // namespace elmstall::autoscaler
