/// @file
/// The order of precedence between jobs: which work may be preempted (stopped to make room for
/// other work), and what that costs. Guarantees go before priorities between teams; within a team
/// priorities alone count (docs/design.md, "Preemption"). All functions are free of side effects
/// and run on the controller's event loop; times are seconds of its steady clock.
#pragma once

#include <optional>
#include <vector>

// Callers outside the package get `stop_task` through this header.
#include "placement/task_stop.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Whether the job's next task lies within the guarantee of its team.
[[nodiscard]] bool is_guaranteed(const state::Job& job);

/// Rank of the job: by priority, and within one priority guaranteed work first. Higher goes first.
[[nodiscard]] int precedence(const state::Job& job);

/// Whether the task may be stopped to make room for the job.
[[nodiscard]] bool may_preempt(const state::Job& job, const state::Task& victim);

/// Seconds of work that are lost when the task is stopped. A gang is stopped whole, so for a task
/// of a gang the work of all its tasks counts.
[[nodiscard]] double lost_work_s(const state::Task& victim, double now);

/// The tasks on the machine that lose the least work and whose end leaves room for `need`. No
/// value if the job may not preempt enough there.
[[nodiscard]] std::optional<std::vector<state::Task*>> choose_victims(const state::Job& job,
                                                                      const state::Machine& machine,
                                                                      const sched::Amount& need,
                                                                      double now);

/// Whether any work that the job might preempt is on machines: a cheap test that comes before a
/// search through all machines. It may be true although no search succeeds.
[[nodiscard]] bool has_preemptible_work(const config::Settings& settings, const state::Model& model,
                                        const state::Job& job);

}  // namespace elmstall::placement
