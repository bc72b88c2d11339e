#include "placement/preemption.hpp"

#include <algorithm>

#include "placement/gang_coordinator.hpp"

namespace elmstall::placement {

using wire::TaskState;

bool guaranteed(const state::Job& job) {
  return job.team != nullptr && sched::within_guarantee(*job.team, *job.team_usage + job.need);
}

int precedence(const state::Job& job) {
  return static_cast<int>(job.spec.priority) * 2 + (guaranteed(job) ? 1 : 0);
}

bool may_stop(const state::Job& job, const state::Task& victim) {
  const auto& other = *victim.job;
  if (victim.phase != state::Phase::assigned || victim.stopping) return false;
  const bool higher = other.spec.priority > job.spec.priority;
  const bool lower = other.spec.priority < job.spec.priority;
  if (other.spec.team == job.spec.team) return lower;
  // Guarantees go before priorities, here as there: were one work stopped for
  // its priority and the other for its guarantee, the two would displace each
  // other for ever.
  const bool kept =
      other.team != nullptr && sched::within_guarantee(*other.team, *other.team_usage);
  const bool owed = guaranteed(job);
  if (kept != owed) return owed && (!higher || !other.is_service());
  return lower;
}

double lost_work(const state::Task& victim, double now) {
  if (victim.running_since == state::kNever) return 0;
  const auto& spec = victim.job->spec;
  const double lost = spec.checkpoint_every_s > 0 ? spec.checkpoint_s : now - victim.running_since;
  return victim.job->is_gang() ? lost * spec.tasks : lost;
}

std::optional<std::vector<state::Task*>> victims(const state::Job& job,
                                                 const state::Machine& machine,
                                                 const sched::Amount& need, double now) {
  std::vector<state::Task*> candidates;
  for (auto* task : machine.tasks) {
    if (may_stop(job, *task)) candidates.push_back(task);
  }
  std::sort(candidates.begin(), candidates.end(), [&](const state::Task* a, const state::Task* b) {
    const double x = lost_work(*a, now);
    const double y = lost_work(*b, now);
    return x != y ? x < y : a->id < b->id;
  });
  auto room = machine.room();
  std::vector<state::Task*> chosen;
  for (auto* task : candidates) {
    if (need.fits(room)) break;
    room += task->job->need;
    chosen.push_back(task);
  }
  if (!need.fits(room)) return std::nullopt;
  return chosen;
}

bool anything_lesser(const config::Settings& settings, const state::Model& model,
                     const state::Job& job) {
  for (int priority = 0; priority < static_cast<int>(job.spec.priority); ++priority) {
    if (model.on_machines(static_cast<wire::Priority>(priority)) > 0) return true;
  }
  if (!guaranteed(job)) return false;
  return std::any_of(settings.teams.begin(), settings.teams.end(), [&](const config::Team& team) {
    return team.name != job.spec.team && !sched::within_guarantee(team, model.usage(team.name));
  });
}

void stop_task(state::Model& model, state::Task& task, bool save, double now, double not_before) {
  if (task.job->is_gang() && !task.job->cancelled)
    return stop_gang(model, *task.job, save, now, not_before);
  task.not_before = std::max(task.not_before, not_before);
  if (task.phase == state::Phase::planned) return model.unplan(task);
  if (task.phase != state::Phase::assigned || task.stopping) return;
  if (!task.run_sent) return model.unassign(task);  // it never left us
  task.stopping = true;
  model.attention().insert(task.machine);
  const auto& spec = task.job->spec;
  const bool worth = save && spec.checkpoint_every_s > 0 && task.state == TaskState::running;
  task.grace_period_s = worth ? spec.checkpoint_s : 0;
}

}  // namespace elmstall::placement
