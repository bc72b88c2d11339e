#include "support/waiting_jobs.hpp"

#include <algorithm>

#include "support/world.hpp"

namespace elmstall::test {

namespace {

sched::Amount demand_of(const wire::JobSpec& job) { return {job.cpus, job.gpus, job.memory_gb}; }

/// The machine can be reached and shows no fault.
bool usable(const FakeWorker& worker) {
  return !worker.dead() && !worker.cut && !worker.responses_dropped && !worker.heartbeats_dropped &&
         !worker.hung() && worker.has_sent_heartbeat();
}

/// The job's rules on zones and spot machines let another of its tasks run there.
bool allowed_on(const World& world, const wire::JobSpec& job, const FakeWorker& worker) {
  if (worker.spot() && !job.spot) return false;
  if (job.zone && *job.zone != worker.zone()) return false;
  const auto in_zone = world.rules.tasks_in_zone(job.id, worker.zone());
  if (job.together && in_zone != world.rules.tasks_on_machines(job.id)) return false;
  return !job.spread || in_zone + 1 <= sched::spread_limit(job.tasks);
}

bool has_capacity(const World& world, const wire::JobSpec& job, const FakeWorker& worker) {
  const auto& type = world.machine_types.front();
  const sched::Amount whole{type.cpus, type.gpus, type.memory_gb};
  return demand_of(job).fits(whole - world.rules.used_on(worker.id()) - worker.fetching());
}

bool below_team_limit(const World& world, const wire::JobSpec& job) {
  return sched::within_limit(*world.settings.team(job.team),
                             world.rules.used_by(job.team) + demand_of(job));
}

bool has_waiting_tasks(const World& world, const wire::JobSpec& job) {
  const auto known = world.rules.tasks_on_machines(job.id) + world.rules.completed_tasks(job.id);
  return !world.rules.final_state_reported(job.id) && known < job.tasks;
}

}  // namespace

std::vector<std::string> jobs_waiting_despite_capacity(const World& world) {
  std::vector<std::string> waiting;
  for (const auto& id : world.rules.accepted_jobs()) {
    const auto& job = *world.spec(id);
    if (!has_waiting_tasks(world, job) || job.kind == wire::JobKind::gang ||
        !below_team_limit(world, job))
      continue;
    const bool room =
        std::any_of(world.workers.begin(), world.workers.end(), [&](const auto& entry) {
          const auto& worker = *entry.second;
          return usable(worker) && allowed_on(world, job, worker) &&
                 has_capacity(world, job, worker);
        });
    if (room) waiting.push_back(id);
  }
  return waiting;
}

}  // namespace elmstall::test
