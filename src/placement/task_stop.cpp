#include "placement/task_stop.hpp"

#include <algorithm>

#include "config/constants.hpp"
#include "placement/gang_tasks.hpp"

namespace elmstall::placement {

namespace {

using GangState = state::Gang::State;

/// Whether the task's machine will receive a stop command soon enough, and will run long enough
/// after that, for a checkpoint to be written.
bool can_write_checkpoint(const state::Task& task, double heartbeat_timeout_s, double now) {
  const auto& machine = *task.machine();
  const double time_needed_s = task.job->spec.checkpoint_s + constants::kGangCheckpointMargin;
  const bool interrupted_too_soon =
      machine.interruption_at && *machine.interruption_at - now < time_needed_s;
  return machine.synchronized && !machine.unresponsive && !interrupted_too_soon &&
         now - machine.last_heartbeat < heartbeat_timeout_s;
}

/// Whether every task of the gang can write a checkpoint. One that can't makes those of the others
/// worthless, because a gang resumes from a checkpoint of all its tasks.
bool can_checkpoint_gang(const state::Model& model, const state::Job& job,
                         const std::vector<state::Task*>& tasks, double now) {
  if (job.gang.state != GangState::running || job.spec.checkpoint_every_s <= 0) return false;
  const double heartbeat_timeout_s = model.settings().heartbeat_timeout_s();
  return std::all_of(tasks.begin(), tasks.end(), [&](const state::Task* task) {
    return task->may_be_on_machine() && can_write_checkpoint(*task, heartbeat_timeout_s, now);
  });
}

void request_stop(state::Model& model, state::Task& task, double grace_period_s) {
  task.begin_stop(grace_period_s);
  model.machines_to_command().insert(task.machine());
}

}  // namespace

void stop_task(state::Model& model, state::Task& task, StopMode mode, double now,
               double not_before) {
  if (task.job->is_gang() && !task.job->cancelled)
    return stop_gang(model, *task.job, mode, now, not_before);
  task.postpone(not_before);
  if (task.is_planned()) return model.unplan(task);
  if (!task.may_be_on_machine() || task.is_stopping()) return;
  // Without a command to run it the task can't be on the machine (rule 1).
  if (!task.run_sent()) return model.unassign(task);
  const auto& spec = task.job->spec;
  const bool checkpoint_is_useful = mode == StopMode::with_checkpoint &&
                                    spec.checkpoint_every_s > 0 &&
                                    task.reported_state() == wire::TaskState::running;
  request_stop(model, task, checkpoint_is_useful ? spec.checkpoint_s : 0);
}

void end_gang_task(state::Model& model, state::Task& task) {
  if (task.is_planned()) return model.unplan(task);
  if (!task.may_be_on_machine()) return;
  // Without a command to run it the task can't be on the machine (rule 1).
  if (!task.run_sent()) return model.unassign(task);
  request_stop(model, task, 0);
}

void stop_gang(state::Model& model, state::Job& job, StopMode mode, double now, double not_before) {
  const auto tasks = gang_tasks_in_memory(job);
  for (auto* task : tasks) task->postpone(not_before);
  switch (job.gang.state) {
    case GangState::claiming:
      for (auto* task : tasks) end_gang_task(model, *task);
      return change_gang_state(job, GangState::waiting, now);
    case GangState::starting:
    case GangState::running:
      break;
    default:
      return;  // The gang is on no machine, or is being stopped already.
  }
  if (mode == StopMode::with_checkpoint && can_checkpoint_gang(model, job, tasks, now)) {
    for (auto* task : tasks) request_stop(model, *task, job.spec.checkpoint_s);
    return change_gang_state(job, GangState::stopping, now);
  }
  for (auto* task : tasks) end_gang_task(model, *task);
  change_gang_state(job, GangState::ending, now);
}

}  // namespace elmstall::placement
