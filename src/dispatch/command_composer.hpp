/// @file
/// Derives the commands for a machine from the leader's model. Runs on the controller's event loop;
/// times are seconds of its steady clock.
#pragma once

#include <vector>

#include "placement/gang_coordinator.hpp"
#include "reconcile/fencing.hpp"
#include "state/model.hpp"

namespace elmstall::dispatch {

/// Composes the commands that are due for a machine.
class CommandComposer {
 public:
  /// All arguments have to outlive the composer.
  CommandComposer(const config::Settings& settings, state::Model& model,
                  const state::GroupCommit& group_commit, placement::GangCoordinator& gangs)
      : settings_(settings), model_(model), group_commit_(group_commit), gangs_(gangs) {}

  /// All commands that are due for the machine, `constants::kMaxCommands` at most. Commands that
  /// start tasks are among them only if `may_start_tasks` is true, and commands that clear attempts
  /// only if the machine's fence permits it (rule 4). Records in the model what is sent.
  [[nodiscard]] std::vector<wire::WorkerCommand> compose(state::Machine& machine, double now,
                                                         bool may_start_tasks);
  /// Whether a task waits until an attempt of it that has exited on the machine is cleared there.
  [[nodiscard]] bool run_awaits_clear(const state::Machine& machine) const;
  /// Whether a task waits that has its attempt number for the second time. The worker must have
  /// forgotten the first run before the command is sent, in a message of its own (rule 4).
  [[nodiscard]] static bool reused_attempt_awaits_run(const state::Machine& machine);
  /// Commands that stop the tasks of cancelled jobs on the machine. Every reply that renews the
  /// machine's lease must contain them (rule 8).
  [[nodiscard]] static std::vector<wire::WorkerCommand> cancellations(
      const state::Machine& machine);

 private:
  using Commands = std::vector<wire::WorkerCommand>;

  void add_clears(const state::Machine& machine, Commands& commands) const;
  static void add_stop(state::Task& task, double now, Commands& commands);
  /// The number of tasks that the machine's last heartbeat lists.
  [[nodiscard]] static std::size_t listed_tasks(const state::Machine& machine);
  /// Whether a command to run the task may be sent to the machine now (rule 1).
  [[nodiscard]] bool run_due(const state::Task& task, const state::Machine& machine);
  /// Whether what the worker reported of the attempt is recorded (rule 4).
  [[nodiscard]] bool result_recorded(const state::TaskAttempt& exited) const;
  /// Whether the worker refuses the task because of this attempt, and will do so when it has
  /// executed the commands that precede the run in the same message.
  [[nodiscard]] bool blocks_run(const state::TaskAttempt& exited, const state::Task& task,
                                const state::Machine& machine) const;

  const config::Settings& settings_;
  state::Model& model_;
  const state::GroupCommit& group_commit_;
  placement::GangCoordinator& gangs_;
};

}  // namespace elmstall::dispatch
