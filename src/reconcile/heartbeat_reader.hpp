/// @file
/// Reconciles the state that workers report with the records.
///
/// A heartbeat lists every task on its machine. Tasks that the records assign to the machine are
/// tracked until they exit. Others are "unrecorded": they occupy resources and count towards
/// their team's usage until they are stopped. A task that is missing from a heartbeat is known to
/// be gone only if the machine is synchronized (docs/design.md, rules 3 and 7). Runs on the
/// controller's event loop; times are seconds of its steady clock.
#pragma once

#include <functional>

#include "config/settings.hpp"
#include "placement/gang_coordinator.hpp"
#include "placement/planner.hpp"
#include "placement/run_time_estimates.hpp"
#include "reconcile/fencing.hpp"
#include "reconcile/lease_expiry.hpp"
#include "reconcile/task_failures.hpp"
#include "state/model.hpp"

namespace elmstall::reconcile {

/// How the leader received a worker's status.
enum class HeartbeatSource : std::uint8_t {
  worker,         ///< sent by the worker on its own, so it can reach a controller
  command_reply,  ///< the reply to a command RPC: proves only that this controller reaches it
};

/// Applies the heartbeats of all machines to the leader's model.
class HeartbeatReader {
 public:
  /// Dependencies of the reader. The references have to outlive it.
  struct Context {
    state::Model& model;                     ///< the leader's model of jobs and machines
    placement::Planner& planner;             ///< owner of the queues of tasks
    placement::GangCoordinator& gangs;       ///< starts and ends gangs as a whole
    placement::RunTimeEstimates& estimates;  ///< updated with the run times of completed tasks
    Fencing& fencing;                        ///< fencing tokens of this term
    LeaseExpiry& lease_expiry;               ///< cancels the retirement of machines
    /// Called after each heartbeat, because scheduling decisions and commands may have become
    /// due.
    std::function<void()> model_changed;
  };

  /// Keeps the context; reads nothing yet.
  explicit HeartbeatReader(Context context)
      : context_(std::move(context)), failures_(context_.model) {}

  /// Whether the heartbeat is newer than every heartbeat read from this machine so far.
  /// Delayed duplicates contain an outdated task list.
  [[nodiscard]] static bool is_newer(const state::Machine& machine,
                                     const wire::WorkerHeartbeat& heartbeat);

  /// Updates the model from a heartbeat, which must be newer (`is_newer`). `now`: when
  /// it was received.
  void read(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source,
            double now);

 private:
  void record_if_new(state::Machine& machine);
  /// Updates contact times, epoch and synchronization, but not the tasks.
  void update_machine(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                      HeartbeatSource source, double now);
  void read_task(state::Machine& machine, const wire::TaskStatus& status, double now);
  void read_unrecorded_task(state::Machine& machine, state::Job* job,
                            const wire::TaskStatus& status, double now);
  /// Logs the unrecorded tasks that are not among `known`, those of the heartbeat before.
  static void log_unrecorded_tasks(const state::Machine& machine,
                                   const wire::WorkerHeartbeat& heartbeat,
                                   const std::vector<state::TaskAttempt>& known);
  void on_exit(state::Task& task, state::Machine& machine, const wire::TaskStatus& status,
               double now);
  /// Reads an exit from a machine whose epoch is not known in this term.
  void on_unconfirmed_exit(state::Task& task, const wire::TaskStatus& status, double now);
  void on_done(state::Task& task, double now);
  void unassign_absent_tasks(state::Machine& machine);
  void stop_for_interruption(state::Machine& machine, double now);

  Context context_;
  TaskFailures failures_;
};

}  // namespace elmstall::reconcile
