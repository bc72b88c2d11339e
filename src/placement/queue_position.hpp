/// @file
/// The position of a job's tasks in the queues. Tasks of higher precedence go first; within one
/// precedence those that can still meet their completion objective, and among these the ones with
/// the earliest due time. Runs on the controller's event loop and changes nothing.
#pragma once

#include <optional>

#include "config/settings.hpp"
#include "placement/run_time_estimates.hpp"
#include "sched/group.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Sort key that all queued tasks of one job share.
struct QueuePosition {
  int precedence = 0;     ///< priority and guarantee; higher goes first
  int tier = 0;           ///< how often the due time had to be extended; lower goes first
  double due = 0;         ///< seconds of the steady clock; earlier goes first
  double run_time_s = 0;  ///< expected run time of one task, in seconds

  /// The queue entry of one of the job's tasks.
  [[nodiscard]] sched::QueuedTask entry(sched::TaskId task) const {
    return {task, precedence, tier, due, run_time_s};
  }
};

/// Seconds from submission within which the job should be complete: what its owner requested, or
/// else the service-level objective for its class. Empty if neither exists.
[[nodiscard]] std::optional<double> completion_objective_s(const config::Settings& settings,
                                                           const state::Job& job);

/// The present position of the job's tasks. `now` is in seconds of the steady clock.
[[nodiscard]] QueuePosition queue_position(const config::Settings& settings,
                                           const RunTimeEstimates& estimates, const state::Job& job,
                                           double now);

}  // namespace elmstall::placement
