#include "placement/gang_coordinator.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"
#include "placement/gang_tasks.hpp"
#include "placement/task_stop.hpp"

namespace elmstall::placement {

using GangState = state::Gang::State;
using wire::EndCause;
using wire::TaskState;

namespace {

/// Share of `gang_wait_s`, the time for which tasks wait for each other, that is assumed to have
/// elapsed at a takeover. The time at which they began to wait is not recorded.
constexpr double kAssumedElapsedWaitShare = 0.5;

/// Whether the epochs of all machines that may have tasks of the gang are known in this term.
bool on_known_epochs_only(const state::Job& job) {
  const auto tasks = gang_tasks_in_memory(job);
  return std::none_of(tasks.begin(), tasks.end(), [](const state::Task* task) {
    return task->may_be_on_machine() && !task->machine()->epoch_known;
  });
}

/// Whether the machine refused the task, so that it never began there.
bool is_refusal(EndCause cause) {
  return cause == EndCause::no_room || cause == EndCause::in_use || cause == EndCause::unknown;
}

}  // namespace

// --- takeover and heartbeats -----------------------------------------------------------------

void GangCoordinator::recover(state::Job& job, double now) const {
  auto& gang = job.gang;
  const auto tasks = gang_tasks_in_memory(job);
  for (const auto* task : tasks) gang.attempt = std::max(gang.attempt, task->attempt());
  const bool on_machines = std::any_of(tasks.begin(), tasks.end(), [](const state::Task* task) {
    return task->may_be_on_machine();
  });
  if (!on_machines) return;
  // The heartbeats will show whether the tasks run already. Those that still wait for the others
  // began to do so at an unknown time before the takeover.
  gang.state = GangState::starting;
  gang.since = now;
  gang.gathering_since = now - settings_.gang_wait_s * kAssumedElapsedWaitShare;
}

void GangCoordinator::on_task_state(state::Task& task, TaskState state, double now) {
  auto& job = *task.job;
  auto& gang = job.gang;
  if (task.attempt() != gang.attempt || job.cancelled) return;
  if (state == TaskState::gathering) {
    gang.gathering_since = std::min(gang.gathering_since, now);
  } else if (state == TaskState::running && !gang.replacement_disabled) {
    gang.replacement_disabled = true;
    model_.jobs_with_unqueued_tasks().insert(&job);
  } else if (state == TaskState::checkpointing && !task.is_stopping()) {
    // A former leader has sent this task a stop command. The other tasks must receive one in time
    // to write their checkpoints, too.
    if (gang.state == GangState::starting) change_gang_state(job, GangState::running, now);
    stop_gang(model_, job, StopMode::with_checkpoint, now, state::kNever);
  }
}

void GangCoordinator::avoid_slow_machines(state::Job& job) {
  for (const auto* task : gang_tasks_in_memory(job)) {
    if (task->may_be_on_machine() && task->reported_state() == TaskState::fetching)
      job.gang.avoided_machines.insert(task->machine()->id);
  }
}

void GangCoordinator::on_exit(state::Task& task, EndCause cause, double now) {
  auto& job = *task.job;
  auto& gang = job.gang;
  const bool refused = is_refusal(cause);
  if (refused || cause == EndCause::error) gang.avoided_machines.insert(task.machine()->id);
  if (refused) {
    // The other tasks may still be waiting, so a replacement can complete the attempt.
    task.postpone(now + constants::kGangRefusedPause);
  } else {
    gang.replacement_disabled = true;
  }
  if (cause == EndCause::incomplete) avoid_slow_machines(job);
  model_.unassign(task);
}

void GangCoordinator::on_done(state::Job& job, double now) {
  if (job.cancelled || job.gang.state == GangState::done) return;
  // A task on a machine that was not synchronized since the takeover may run there again (rule 3).
  if (!on_known_epochs_only(job)) return on_past_completion(job, now);
  attempts_.complete(job, now);
}

void GangCoordinator::on_past_completion(state::Job& job, double now) {
  auto& gang = job.gang;
  if (job.cancelled || gang.state == GangState::done || gang.completed) return;
  gang.completed = true;
  spdlog::info("gang {}: it completed before", job.id);
  if (gang.state == GangState::starting || gang.state == GangState::running)
    return attempts_.end(job, "it completed before", now);
  if (job.on_machines == 0 || gang.state == GangState::claiming) attempts_.complete(job, now);
}

// --- decisions -------------------------------------------------------------------------------

bool GangCoordinator::advance(state::Job& job, const state::MachineSet& with_room, double now) {
  const auto& gang = job.gang;
  switch (gang.state) {
    case GangState::waiting:
      place(job, with_room, now);
      return true;
    case GangState::claiming:
      claims_.advance(job, with_room, now);
      return true;
    case GangState::starting:
      attempts_.advance_start(job, with_room, now);
      return gang.state != GangState::running;
    case GangState::running:
      if (!pending_gang_tasks(job).empty()) attempts_.end(job, "a task was lost", now);
      return gang.state != GangState::running;
    case GangState::stopping:
    case GangState::ending:
      if (job.on_machines == 0) attempts_.finish(job, now);
      // While tasks are left on machines, the end of each of them adds the job to
      // Model::jobs_with_unqueued_tasks() again.
      return gang.state == GangState::waiting;
    case GangState::done:
      return false;
  }
  return true;
}

void GangCoordinator::place(state::Job& job, const state::MachineSet& with_room, double now) {
  auto& gang = job.gang;
  if (now < gang.placement_tried_at + constants::kGangRetryInterval) return;
  unload_gang(model_, job);  // a claim may have loaded blocks that it did not use
  // Only a task in memory may have to wait: others were never started.
  const auto in_memory = pending_gang_tasks(job);
  const bool may_start_now =
      std::all_of(in_memory.begin(), in_memory.end(),
                  [&](const state::Task* task) { return task->not_before() <= now; });
  const std::size_t task_count = job.waiting_tasks();
  if (!may_start_now || !gang_within_quota(job, task_count)) return;
  gang.placement_tried_at = now;
  const auto candidates = candidate_finder_.free_candidates(job, with_room);
  if (const auto places = place_gang_in_free_room(job, task_count, candidates)) {
    if (!load_gang(model_, job)) return;
    claims_.release_reservation(job);
    return attempts_.start(job, pending_gang_tasks(job), *places, now);
  }
  if (claims_.claim_by_preemption(job, task_count, now)) return;
  choose_gang_zone(settings_, job, candidates, now);
  claims_.reserve(job, task_count, candidates, now);
}

bool GangCoordinator::may_run(const state::Task& task) {
  const auto& gang = task.job->gang;
  if (gang.state != GangState::starting || task.attempt() != gang.attempt) return false;
  return attempts_.is_committed(*task.job);
}

}  // namespace elmstall::placement
