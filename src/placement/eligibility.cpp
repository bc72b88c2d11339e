#include "placement/eligibility.hpp"

namespace elmstall::placement {

bool is_usable(const state::Machine& machine, double now, const config::Settings& settings) {
  return machine.synchronized && !machine.unresponsive && machine.recorded() &&
         !machine.terminating && !machine.quarantined && !machine.interruption_at &&
         !machine.has_unknown_jobs && !machine.fences_running_out() &&
         now - machine.last_heartbeat < settings.heartbeat_timeout_s();
}

bool may_ever_run(const state::Job& job, const state::Machine& machine) {
  return state::Model::allowed(job, machine) && job.need.fits(machine.capacity);
}

bool may_start(const state::Model& model, const state::Task& task, const state::Machine& machine,
               double now) {
  const auto& job = *task.job;
  return task.is_pending() && task.not_before() <= now && job.failed_until <= now &&
         !job.cancelled && state::Model::allowed(job, machine) && job.need.fits(machine.room()) &&
         state::Model::within_quota(job) && model.recordable(task);
}

bool is_placed_directly(const state::Job& job) {
  return job.is_service() || job.is_gang() || job.spec.together;
}

std::string group_name(const state::Machine& machine) { return machine.type + "/" + machine.zone; }

sched::Amount use_without_planned(const state::Machine& machine) {
  sched::Amount use = machine.unrecorded_use;
  for (const auto* task : machine.tasks) {
    if (task->may_be_on_machine()) use += task->job->need;
  }
  return use;
}

}  // namespace elmstall::placement
