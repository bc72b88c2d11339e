#include "placement/gang_attempts.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>

#include "config/constants.hpp"
#include "placement/gang_tasks.hpp"
#include "placement/task_stop.hpp"

namespace elmstall::placement {

using GangState = state::Gang::State;
using wire::TaskState;

namespace {

/// Ratio. Time allowed for a fetch to the time it takes at the machine type's full rate: other
/// traffic may share the machine's network.
constexpr double kFetchTimeAllowance = 2.0;
/// Seconds. No part of a replacement's time is spent on fetching.
constexpr double kNoFetch = 0;

bool is_lost(const state::Task* task) { return task->is_pending(); }

bool is_running(const state::Task* task) { return task->may_be_on_machine() && task->has_run(); }

}  // namespace

void GangAttempts::start(state::Job& job, const std::vector<state::Task*>& tasks,
                         const GangPlaces& places, double now) {
  auto& gang = job.gang;
  std::uint64_t last_attempt = gang.attempt;
  for (const auto* task : tasks) last_attempt = std::max(last_attempt, task->attempt());
  gang.attempt = last_attempt + 1;
  gang.committed = false;
  gang.replacement_disabled = false;
  gang.gathering_since = std::numeric_limits<double>::infinity();
  gang.lost_since = std::numeric_limits<double>::infinity();
  put_tasks_in_places(job, tasks, places, [&](state::Task& task, state::Machine& machine) {
    model_.assign(task, machine, gang.attempt);
  });
  change_gang_state(job, GangState::starting, now);
  spdlog::info("gang {} starts attempt {} on {} machines", job.id, gang.attempt, places.size());
}

bool GangAttempts::is_committed(state::Job& job) {
  auto& gang = job.gang;
  if (gang.committed) return true;
  // After a takeover, blocks that the former leader did not record are not in memory.
  if (!load_gang(model_, job)) return false;
  // All tasks are checked until they are committed; from then on the result is cached.
  const auto tasks = gang_tasks_in_memory(job);
  gang.committed = std::all_of(tasks.begin(), tasks.end(), [&](const state::Task* task) {
    return task->may_be_on_machine() && task->attempt() == gang.attempt &&
           task->block->record->written >= task->required_version();
  });
  return gang.committed;
}

void GangAttempts::advance_start(state::Job& job, const state::MachineSet& with_room, double now) {
  if (!load_gang(model_, job)) return end(job, "no memory for all its tasks", now);
  const auto tasks = gang_tasks_in_memory(job);
  if (std::all_of(tasks.begin(), tasks.end(), is_running))
    return change_gang_state(job, GangState::running, now);
  if (std::none_of(tasks.begin(), tasks.end(), is_lost)) return;
  if (job.on_machines == 0) return end(job, "all its tasks were lost", now);
  // No task is replaced in a gang whose tasks have begun to run, or are being stopped. Its
  // remaining tasks are ended to make room for the next attempt.
  if (job.gang.replacement_disabled) return end(job, "a task was lost", now);
  if (others_still_waiting(job)) return replace_lost_tasks(job, with_room, now);
  if (!time_for_replacement(job, kNoFetch, now)) end(job, "lost tasks not replaceable", now);
}

// --- replacement of lost tasks ---------------------------------------------------------------

bool GangAttempts::others_still_waiting(const state::Job& job) {
  // A heartbeat shows an earlier state. Therefore each of the other tasks must have been reported
  // as waiting in a heartbeat that was sent after the machine received the command to run it.
  const auto tasks = gang_tasks_in_memory(job);
  return std::all_of(tasks.begin(), tasks.end(), [](const state::Task* task) {
    if (!task->may_be_on_machine() || !task->run_sent()) return true;
    const bool waits = task->reported_state() == TaskState::fetching ||
                       task->reported_state() == TaskState::gathering;
    return task->in_last_heartbeat() && waits && task->machine()->synchronized;
  });
}

bool GangAttempts::time_for_replacement(const state::Job& job, double fetch_s, double now) const {
  const double others_wait_until = job.gang.gathering_since + settings_.gang_wait_s;
  return now + fetch_s + constants::kGangReplaceMargin < others_wait_until;
}

double GangAttempts::fetch_time_s(const state::Job& job, const state::Machine& machine) const {
  if (machine.caches(job.image)) return 0;
  const auto* type = model_.machine_type(machine.type);
  const double rate = type == nullptr ? 0 : type->fetch_gb_per_s;
  return rate > 0 ? kFetchTimeAllowance * job.spec.image_gb / rate : 0;
}

state::Machine* GangAttempts::machine_for_replacement(const state::Job& job,
                                                      const state::MachineSet& with_room,
                                                      double now) const {
  state::Machine* best = nullptr;
  for (auto* machine : with_room) {
    const bool suitable = job.need.fits(machine->room()) && state::Model::allowed(job, *machine) &&
                          !job.gang.avoided_machines.contains(machine->id) &&
                          state::Model::within_quota(job) &&
                          time_for_replacement(job, fetch_time_s(job, *machine), now);
    if (!suitable) continue;
    if (best == nullptr || (machine->caches(job.image) && !best->caches(job.image))) best = machine;
  }
  return best;
}

void GangAttempts::replace_lost_tasks(state::Job& job, const state::MachineSet& with_room,
                                      double now) {
  auto& gang = job.gang;
  if (now < gang.placement_tried_at + constants::kGangRetryInterval) return;
  gang.placement_tried_at = now;
  const auto lost_tasks = pending_gang_tasks(job);
  if (!time_for_replacement(job, kNoFetch, now)) return end(job, "too late to replace", now);
  // While no task waits for the others yet, nothing else bounds how long they keep their places.
  gang.lost_since = std::min(gang.lost_since, now);
  if (now >= gang.lost_since + settings_.gang_wait_s)
    return end(job, "no place for a lost task", now);
  for (auto* task : lost_tasks) {
    if (task->not_before() > now) return;
    auto* machine = machine_for_replacement(job, with_room, now);
    if (machine == nullptr) return;
    spdlog::info("gang {}: task {} is replaced on machine {}", job.id, task->index, machine->id);
    model_.assign(*task, *machine, gang.attempt);
  }
  gang.lost_since = std::numeric_limits<double>::infinity();
}

// --- end of an attempt -----------------------------------------------------------------------

void GangAttempts::end(state::Job& job, const char* reason, double now) {
  spdlog::info("gang {} ends attempt {}: {}", job.id, job.gang.attempt, reason);
  change_gang_state(job, GangState::ending, now);
  for (auto* task : gang_tasks_in_memory(job)) end_gang_task(model_, *task);
  if (job.on_machines == 0) finish(job, now);
}

void GangAttempts::finish(state::Job& job, double now) {
  auto& gang = job.gang;
  if (gang.completed) return complete(job, now);
  gang.committed = false;
  gang.replacement_disabled = false;
  gang.placement_tried_at = state::kNever;
  change_gang_state(job, GangState::waiting, now);
}

void GangAttempts::complete(state::Job& job, double now) {
  for (const auto* task : gang_tasks_in_memory(job)) {
    if (!task->has_run()) continue;
    estimates_.learn(job.spec.job_class, job.spec.expect_s, now - task->running_since());
    break;  // All tasks of a gang run for the same time, so one of them is enough.
  }
  // Blocks that are not in memory are loaded one by one: each takes little once it is complete.
  for (std::uint32_t number = 0; number < job.block_count; ++number)
    complete_block(model_.load_block(job, number, nullptr));
  change_gang_state(job, GangState::done, now);
}

void GangAttempts::complete_block(state::Block& block) {
  // The model empties a block's list of tasks when the last of them completes, which ends the
  // loop. So the tasks are reached by their position and the size is read each time.
  std::size_t position = 0;
  while (position < block.tasks.size()) {
    auto& task = block.tasks[position++];
    if (task.is_planned()) model_.unplan(task);
    if (!task.is_done()) model_.complete(task);
  }
}

}  // namespace elmstall::placement
