// Which work may be stopped to make room for other work, and what that costs.
#pragma once

#include <optional>
#include <vector>

#include "engine/model.hpp"

namespace elmstall::engine {

/// The job's next task lies within its team's guarantee.
[[nodiscard]] bool guaranteed(const Job& job);
/// Priority first, then guaranteed work; higher goes first.
[[nodiscard]] int precedence(const Job& job);
/// Whether this task may be stopped for the job's sake.
[[nodiscard]] bool may_stop(const Job& job, const Task& victim);
/// Seconds of work that are lost by stopping it; of a gang, by all its tasks.
[[nodiscard]] double lost_work(const Task& victim, double now);
/// The cheapest tasks whose end leaves room for `need` on the machine; none if
/// there is no such set.
[[nodiscard]] std::optional<std::vector<Task*>> victims(const Job& job, const Host& host,
                                                        const sched::Amount& need, double now);
/// Some work runs that the job might displace.
[[nodiscard]] bool anything_lesser(const config::Settings& settings, const Model& model,
                                   const Job& job);

/// Stops a task, with time to save where that keeps work; it is not started
/// again before `not_before`. A gang is stopped whole.
void stop_task(Model& model, Task& task, bool save, double now, double not_before = kNever);

}  // namespace elmstall::engine
