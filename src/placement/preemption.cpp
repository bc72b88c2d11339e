#include "placement/preemption.hpp"

#include <algorithm>

namespace elmstall::placement {

bool is_guaranteed(const state::Job& job) {
  return job.team != nullptr && sched::within_guarantee(*job.team, *job.team_usage + job.need);
}

int precedence(const state::Job& job) {
  return static_cast<int>(job.spec.priority) * 2 + (is_guaranteed(job) ? 1 : 0);
}

bool may_preempt(const state::Job& job, const state::Task& victim) {
  const auto& other = *victim.job;
  if (!victim.may_be_on_machine() || victim.is_stopping()) return false;
  const bool victim_has_higher_priority = other.spec.priority > job.spec.priority;
  const bool victim_has_lower_priority = other.spec.priority < job.spec.priority;
  if (other.spec.team == job.spec.team) return victim_has_lower_priority;
  // Between teams the guarantee is compared before the priority, in this direction and in the
  // opposite one. If one job could preempt by its priority and the other by its guarantee, the two
  // would preempt each other without end.
  const bool victim_is_guaranteed =
      other.team != nullptr && sched::within_guarantee(*other.team, *other.team_usage);
  const bool job_is_guaranteed = is_guaranteed(job);
  if (victim_is_guaranteed != job_is_guaranteed)
    return job_is_guaranteed && (!victim_has_higher_priority || !other.is_service());
  return victim_has_lower_priority;
}

double lost_work_s(const state::Task& victim, double now) {
  if (!victim.has_run()) return 0;
  const auto& spec = victim.job->spec;
  const double lost_s =
      spec.checkpoint_every_s > 0 ? spec.checkpoint_s : now - victim.running_since();
  return victim.job->is_gang() ? lost_s * spec.tasks : lost_s;
}

std::optional<std::vector<state::Task*>> choose_victims(const state::Job& job,
                                                        const state::Machine& machine,
                                                        const sched::Amount& need, double now) {
  std::vector<state::Task*> candidates;
  for (auto* task : machine.tasks) {
    if (may_preempt(job, *task)) candidates.push_back(task);
  }
  std::sort(candidates.begin(), candidates.end(), [&](const state::Task* a, const state::Task* b) {
    const double lost_a = lost_work_s(*a, now);
    const double lost_b = lost_work_s(*b, now);
    return lost_a != lost_b ? lost_a < lost_b : a->id < b->id;
  });
  auto room = machine.room();
  std::vector<state::Task*> victims;
  for (auto* task : candidates) {
    if (need.fits(room)) break;
    room += task->job->need;
    victims.push_back(task);
  }
  if (!need.fits(room)) return std::nullopt;
  return victims;
}

bool has_preemptible_work(const config::Settings& settings, const state::Model& model,
                          const state::Job& job) {
  for (int priority = 0; priority < static_cast<int>(job.spec.priority); ++priority) {
    if (model.on_machines(static_cast<wire::Priority>(priority)) > 0) return true;
  }
  if (!is_guaranteed(job)) return false;
  return std::any_of(settings.teams.begin(), settings.teams.end(), [&](const config::Team& team) {
    return team.name != job.spec.team && !sched::within_guarantee(team, model.usage(team.name));
  });
}

}  // namespace elmstall::placement
