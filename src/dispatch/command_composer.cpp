#include "dispatch/command_composer.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::dispatch {

namespace k = constants;
using wire::TaskState;
using wire::Verb;

namespace {

bool is_attempt_of(const state::TaskAttempt& exited, const state::Task& task) {
  return exited.index == task.index && exited.job == task.job->id;
}

/// Whether the task is to be started on its machine and was not seen there yet.
bool awaits_run(const state::Task& task) {
  return task.may_be_on_machine() && !task.is_stopping() && !task.in_last_heartbeat() &&
         !task.completion_reported() && !task.job->cancelled;
}

}  // namespace

std::vector<wire::WorkerCommand> CommandComposer::cancellations(const state::Machine& machine) {
  Commands commands;
  for (const auto* task : machine.tasks) {
    if (commands.size() >= k::kMaxCommands) break;
    const bool may_be_there =
        task->may_be_on_machine() && task->is_stopping() && task->job->cancelled;
    if (may_be_there)
      commands.push_back({Verb::stop, task->job->id, task->index, task->attempt(), 0});
  }
  return commands;
}

bool CommandComposer::result_recorded(const state::TaskAttempt& exited) const {
  // An attempt is cleared only after the result that the worker reported is recorded, because a
  // worker would start a cleared attempt anew (rule 4).
  const auto* job = model_.job(exited.job);
  if (job == nullptr) return true;
  if (group_commit_.finishing(exited.job)) return false;
  const auto block = job->blocks.find(exited.index / store::block_size(settings_.state.value_kb));
  return block == job->blocks.end() || block->second->record->clean();
}

void CommandComposer::add_clears(const state::Machine& machine, Commands& commands) const {
  if (!reconcile::Fencing::may_clear(machine)) return;
  for (const auto& exited : machine.exited) {
    if (commands.size() >= k::kMaxCommands) return;
    if (result_recorded(exited))
      commands.push_back({Verb::clear, exited.job, exited.index, exited.attempt, 0});
  }
}

void CommandComposer::add_stop(state::Task& task, double now, Commands& commands) {
  // The stop command is not repeated while a task writes its checkpoint, unless the checkpoint is
  // of no use. A task may be reported as running while it waits until all tasks of its gang have
  // written theirs.
  if (task.grace_period_s() > 0) {
    if (task.reported_state() == TaskState::checkpointing ||
        now < task.stop_sent_at() + k::kStopRepeat)
      return;
    task.mark_stop_sent(now);
  }
  commands.push_back({Verb::stop, task.job->id, task.index, task.attempt(), task.grace_period_s()});
}

bool CommandComposer::run_due(const state::Task& task, const state::Machine& machine) {
  if (task.in_last_heartbeat() || task.completion_reported()) return false;
  if (task.block->record->written < task.required_version()) return false;
  if (task.job->is_gang() && !gangs_.may_run(task)) return false;
  if (task.attempt_reused() && !reconcile::Fencing::may_run_again(machine)) return false;
  return std::none_of(
      machine.exited.begin(), machine.exited.end(),
      [&](const state::TaskAttempt& exited) { return blocks_run(exited, task, machine); });
}

bool CommandComposer::blocks_run(const state::TaskAttempt& exited, const state::Task& task,
                                 const state::Machine& machine) const {
  if (!is_attempt_of(exited, task)) return false;
  // A copy of a message that clears and runs the same attempt would run it once more.
  if (exited.attempt == task.attempt()) return true;
  return !result_recorded(exited) || !reconcile::Fencing::may_clear(machine);
}

bool CommandComposer::run_awaits_clear(const state::Machine& machine) const {
  if (machine.exited.empty()) return false;
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const state::Task* task) {
    return awaits_run(*task) && std::any_of(machine.exited.begin(), machine.exited.end(),
                                            [&](const state::TaskAttempt& exited) {
                                              return is_attempt_of(exited, *task) &&
                                                     result_recorded(exited);
                                            });
  });
}

bool CommandComposer::reused_attempt_awaits_run(const state::Machine& machine) {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [](const state::Task* task) {
    return task->attempt_reused() && awaits_run(*task);
  });
}

std::size_t CommandComposer::listed_tasks(const state::Machine& machine) {
  const auto recorded =
      std::count_if(machine.tasks.begin(), machine.tasks.end(),
                    [](const state::Task* task) { return task->in_last_heartbeat(); });
  return static_cast<std::size_t>(recorded) + machine.unrecorded_tasks.size() +
         machine.exited.size();
}

std::vector<wire::WorkerCommand> CommandComposer::compose(state::Machine& machine, double now,
                                                          bool may_start_tasks) {
  Commands commands = cancellations(machine);
  for (const auto& unrecorded : machine.unrecorded_tasks) {
    if (commands.size() >= k::kMaxCommands) break;
    commands.push_back({Verb::stop, unrecorded.job, unrecorded.index, unrecorded.attempt, 0});
  }
  add_clears(machine, commands);
  auto listed = static_cast<double>(listed_tasks(machine));
  for (auto* task : machine.tasks) {
    if (commands.size() >= k::kMaxCommands) break;
    if (!task->may_be_on_machine() || task->job->cancelled) continue;
    if (task->is_stopping()) {
      add_stop(*task, now, commands);
    } else if (may_start_tasks && listed < k::kMaxTasksPerMachine && run_due(*task, machine)) {
      commands.push_back({Verb::run, task->job->id, task->index, task->attempt(), 0});
      task->mark_run_sent();
      ++listed;
    }
  }
  return commands;
}

}  // namespace elmstall::dispatch
