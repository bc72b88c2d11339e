#include "placement/queue_position.hpp"

#include "config/constants.hpp"
#include "placement/preemption.hpp"

namespace elmstall::placement {

std::optional<double> completion_objective_s(const config::Settings& settings,
                                             const state::Job& job) {
  if (job.spec.due_s) return job.spec.due_s;
  for (const auto& objective : settings.objectives) {
    if (objective.kind == "finished" && objective.job_class == job.spec.job_class &&
        objective.within_s > 0)
      return objective.within_s;
  }
  return std::nullopt;
}

QueuePosition queue_position(const config::Settings& settings, const RunTimeEstimates& estimates,
                             const state::Job& job, double now) {
  QueuePosition position;
  position.precedence = precedence(job);
  position.run_time_s = estimates.run_time(job.spec.job_class, job.spec.expect_s);
  const auto objective_s = completion_objective_s(settings, job);
  position.due = job.submitted + objective_s.value_or(constants::kDefaultCompletionObjective);
  const double waited_s = now - job.submitted;
  if (!job.begun && waited_s > constants::kStarvationThreshold) {
    // A job that has not begun for so long goes first within its precedence, however large it is.
    // Otherwise jobs that were submitted later could starve it.
    position.due = job.submitted - constants::kDefaultCompletionObjective;
    return position;
  }
  if (!objective_s) return position;
  // A job that can no longer meet its due time goes after those that still can. Its due time is
  // extended by shares of its objective until it can be met.
  while (position.tier < constants::kMaxTier && now + position.run_time_s > position.due) {
    ++position.tier;
    position.due += *objective_s * constants::kTierStep;
  }
  position.due += settings.tuning.remaining_work_weight * position.run_time_s *
                  (job.spec.tasks - job.finished_tasks);
  return position;
}

}  // namespace elmstall::placement
