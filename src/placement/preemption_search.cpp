#include "placement/preemption_search.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "config/constants.hpp"
#include "placement/eligibility.hpp"
#include "placement/machine_score.hpp"
#include "placement/preemption.hpp"

namespace elmstall::placement {

namespace {

/// Points per second of work that preemption loses: a second of lost work counts a fifth of a
/// second of waiting for an image, which is one point (see machine_score.hpp).
constexpr double kLostWorkPenalty = 0.2;

}  // namespace

std::optional<PreemptionPlan> PreemptionSearch::best_plan(const state::Job& job, double now) const {
  std::optional<PreemptionPlan> best;
  for (const auto& [id, machine] : model_.machines()) {
    if (!is_usable(*machine, now, settings_) || !may_ever_run(job, *machine)) continue;
    auto victims = choose_victims(job, *machine, job.need, now);
    if (!victims) continue;
    PreemptionPlan plan{machine.get(), machine_score(model_, job, *machine), std::move(*victims)};
    for (const auto* victim : plan.victims)
      plan.score -= lost_work_s(*victim, now) * kLostWorkPenalty;
    if (!best || plan.score > best->score) best = std::move(plan);
  }
  return best;
}

std::optional<PreemptionPlan> PreemptionSearch::find(state::Job& job, double now) {
  if (!budget_.try_consume(settings_, model_, job, now)) return std::nullopt;
  auto plan = best_plan(job, now);
  if (!plan) job.searched_at = now;
  return plan;
}

void PreemptionSearch::carry_out(const PreemptionPlan& plan, state::Task& task, double now) {
  const double restart_after = now + constants::kPreemptPause;
  for (auto* victim : plan.victims)
    stop_task(model_, *victim, StopMode::with_checkpoint, now, restart_after);
  model_.plan(task, *plan.machine);
}

void PreemptionSearch::assign_planned(double now) {
  // The loop changes the set of planned tasks, so it iterates over a copy.
  const auto planned = model_.planned();
  for (auto* task : planned) {
    const auto& job = *task->job;
    if (job.is_gang()) continue;
    auto& machine = *task->machine();
    if (!is_usable(machine, now, settings_)) {
      model_.unplan(*task);
      continue;
    }
    if (!job.need.fits(machine.capacity - use_without_planned(machine))) continue;
    model_.unplan(*task);
    if (state::Model::allowed(job, machine) && state::Model::within_quota(job))
      model_.assign(*task, machine);
  }
}

std::vector<sched::QueuedTask> PreemptionSearch::first_tasks_of_due_jobs(double now) {
  std::map<std::uint64_t, sched::QueuedTask> first_by_job;  // by the job's serial number
  const auto visit = [&](const sched::QueuedTask& entry) {
    const auto* job = model_.job_of(entry.id);
    if (job == nullptr || !preemption_search_is_due(settings_, model_, *job, now)) return;
    auto& first = first_by_job.try_emplace(job->serial, entry).first->second;
    if (entry.before(first)) first = entry;
  };
  for (const auto& [name, group] : queues_.groups()) group.for_each(visit);
  std::vector<sched::QueuedTask> entries;
  entries.reserve(first_by_job.size());
  for (const auto& [serial, entry] : first_by_job) entries.push_back(entry);
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.before(b); });
  return entries;
}

void PreemptionSearch::preempt_for_queued_task(state::Task& task, double now) {
  auto& job = *task.job;
  if (!task.is_pending() || task.not_before() > now || job.failed_until > now) return;
  if (!is_guaranteed(job) && job.spec.priority == wire::Priority::idle) return;
  if (!state::Model::within_quota(job)) return;
  const auto plan = find(job, now);
  if (!plan) return;
  queues_.dequeue(task);
  carry_out(*plan, task, now);
}

void PreemptionSearch::preempt_for_queued(double now) {
  for (const auto& entry : first_tasks_of_due_jobs(now)) {
    if (budget_.exhausted()) return;
    auto* task = model_.task(entry.id);
    if (task != nullptr) preempt_for_queued_task(*task, now);
  }
}

}  // namespace elmstall::placement
