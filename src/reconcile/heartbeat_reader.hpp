/// @file
/// Reconciles what a worker reports with what the records say.
///
/// A heartbeat lists every task on its machine. Tasks that the records place there
/// are followed to their end. Others are "unrecorded": they take room and count for
/// their team until they are stopped. That a heartbeat does not list a task proves only for a
/// synchronized machine that the task is not there (docs/design.md, rules 3 and 7). Runs on the
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

/// How the status of a worker came to the leader.
enum class HeartbeatSource : std::uint8_t {
  worker,         ///< sent by the worker on its own, so it can reach a controller
  command_reply,  ///< the reply to a command RPC, which proves only the way there
};

/// Applies the heartbeats of all machines to the leader's model.
class HeartbeatReader {
 public:
  /// What the reader works with. The references have to outlive it.
  struct Context {
    state::Model& model;                     ///< the leader's model of jobs and machines
    placement::Planner& planner;             ///< owner of the queues of tasks
    placement::GangCoordinator& gangs;       ///< starts and ends gangs as a whole
    placement::RunTimeEstimates& estimates;  ///< learns from the run times of completed tasks
    Fencing& fencing;                        ///< fencing tokens of this term
    LeaseExpiry& lease_expiry;               ///< is told that a machine was heard of
    /// Called after each heartbeat, because there may be new decisions to make and commands to
    /// send.
    std::function<void()> model_changed;
  };

  /// Keeps the context; reads nothing yet.
  explicit HeartbeatReader(Context context)
      : context_(std::move(context)), failures_(context_.model) {}

  /// Whether the heartbeat is newer than everything read of this machine so far.
  /// Copies may arrive late, and their task list is as old as they are.
  [[nodiscard]] static bool is_newer(const state::Machine& machine,
                                     const wire::WorkerHeartbeat& heartbeat);

  /// Brings the model up to date with a heartbeat, which must be newer (`is_newer`). `now`: when
  /// it was received.
  void read(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source,
            double now);

 private:
  void record_if_new(state::Machine& machine);
  /// Contact, epoch and synchronization, without the tasks.
  void update_machine(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                      HeartbeatSource source, double now);
  void read_task(state::Machine& machine, const wire::TaskStatus& status, double now);
  void read_unrecorded_task(state::Machine& machine, state::Job* job,
                            const wire::TaskStatus& status, double now);
  void on_exit(state::Task& task, state::Machine& machine, const wire::TaskStatus& status,
               double now);
  void on_done(state::Task& task, double now);
  void unassign_absent_tasks(state::Machine& machine);
  void stop_for_interruption(state::Machine& machine, double now);

  Context context_;
  TaskFailures failures_;
};

}  // namespace elmstall::reconcile
