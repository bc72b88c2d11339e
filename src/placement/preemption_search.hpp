/// @file
/// Makes room for one task of a job by preempting other work: finds the best machine, stops the
/// victims there, and plans the task on the machine until the room is free. Gangs have a search of
/// their own, see gang_claims.hpp. Runs on the controller's event loop; times are seconds of its
/// steady clock.
#pragma once

#include <optional>
#include <vector>

#include "placement/job_queues.hpp"
#include "placement/preemption_search_budget.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// A machine, and the tasks on it that have to be stopped to make room.
struct PreemptionPlan {
  state::Machine* machine = nullptr;  ///< never null in a plan that a search returns
  double score = 0;                   ///< higher is better, see `machine_score`
  std::vector<state::Task*> victims;  ///< the tasks to stop
};

/// Preemption for services, arrays that stay together, and queued tasks.
class PreemptionSearch {
 public:
  /// All arguments have to outlive this object.
  PreemptionSearch(const config::Settings& settings, state::Model& model, JobQueues& queues)
      : settings_(settings), model_(model), queues_(queues) {}

  /// Starts a new round of decisions, with a new budget of searches.
  void begin_round() { budget_.reset(); }
  /// The best machine on which preemption makes room for the job's next task. Empty if there is
  /// none, or if no search may be made now.
  [[nodiscard]] std::optional<PreemptionPlan> find(state::Job& job, double now);
  /// Stops the victims and keeps the machine for the task.
  void carry_out(const PreemptionPlan& plan, state::Task& task, double now);
  /// Assigns the tasks planned before for which the room has become free. Tasks whose machine is
  /// no longer usable become pending again. Gangs are left out.
  void assign_planned(double now);
  /// Preempts other work for queued tasks of guaranteed or higher-priority jobs.
  void preempt_for_queued(double now);

 private:
  /// The best plan among all machines; iterates over all of them.
  [[nodiscard]] std::optional<PreemptionPlan> best_plan(const state::Job& job, double now) const;
  /// The first task of each job for which a search is due, in queue order.
  [[nodiscard]] std::vector<sched::QueuedTask> first_tasks_of_due_jobs(double now);
  void preempt_for_queued_task(state::Task& task, double now);

  const config::Settings& settings_;
  state::Model& model_;
  JobQueues& queues_;
  PreemptionSearchBudget budget_;
};

}  // namespace elmstall::placement
