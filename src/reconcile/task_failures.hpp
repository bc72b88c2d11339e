/// @file
/// Attributes task failures to the machine or to the job, whichever is the likely cause. Runs on
/// the controller's event loop.
#pragma once

#include "state/model.hpp"

namespace elmstall::reconcile {

/// Counts failures by machine and by job, and reacts when they repeat.
class TaskFailures {
 public:
  /// `model` has to outlive this object.
  explicit TaskFailures(state::Model& model) : model_(model) {}

  /// Handles a task that exited with `error`. The task is retried with a growing backoff. A
  /// machine on which tasks of several jobs failed is quarantined. A job that failed on several
  /// machines is assumed to be the cause, and backs off as a whole. `now`: seconds of the steady
  /// clock.
  void on_failure(state::Task& task, state::Machine& machine, double now);

 private:
  void back_off_job(state::Job& job, double now);
  static void quarantine_if_repeated(state::Machine& machine);

  state::Model& model_;
};

}  // namespace elmstall::reconcile
