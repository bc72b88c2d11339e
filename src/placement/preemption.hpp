// Which work may be stopped to make room for other work, and what that costs.
#pragma once

#include <optional>
#include <vector>

#include "state/model.hpp"

namespace elmstall::placement {

/// The job's next task lies within its team's guarantee.
[[nodiscard]] bool guaranteed(const state::Job& job);
/// Priority first, then guaranteed work; higher goes first.
[[nodiscard]] int precedence(const state::Job& job);
/// Whether this task may be stopped for the job's sake.
[[nodiscard]] bool may_stop(const state::Job& job, const state::Task& victim);
/// Seconds of work that are lost by stopping it; of a gang, by all its tasks.
[[nodiscard]] double lost_work(const state::Task& victim, double now);
/// The cheapest tasks whose end leaves room for `need` on the machine; none if
/// there is no such set.
[[nodiscard]] std::optional<std::vector<state::Task*>> victims(const state::Job& job,
                                                               const state::Machine& machine,
                                                               const sched::Amount& need,
                                                               double now);
/// Some work runs that the job might displace.
[[nodiscard]] bool anything_lesser(const config::Settings& settings, const state::Model& model,
                                   const state::Job& job);

/// Stops a task, with time to save where that keeps work; it is not started
/// again before `not_before`. A gang is stopped whole.
void stop_task(state::Model& model, state::Task& task, bool save, double now,
               double not_before = state::kNever);

}  // namespace elmstall::placement
