// Who is to blame for a failed task: its machine or its job.
#pragma once

#include "state/model.hpp"

namespace elmstall::reconcile {

class TaskFailures {
 public:
  explicit TaskFailures(state::Model& model) : model_(model) {}

  /// The task exited with `error`. It is retried with a growing backoff. A machine
  /// on which tasks of several jobs failed is quarantined; a job that failed on
  /// several machines is blamed itself and backs off as a whole.
  void on_failure(state::Task& task, state::Machine& machine, double now);

 private:
  void blame_job(state::Job& job, double now);
  static void quarantine_if_repeated(state::Machine& machine);

  state::Model& model_;
};

}  // namespace elmstall::reconcile
