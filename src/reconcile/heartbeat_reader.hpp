// Reconciles what a worker reports with what the records say.
//
// A heartbeat lists every task on its machine. Tasks that the records place there
// are followed to their end; others are "unrecorded": they take room and count for
// their team until they are stopped. What a heartbeat does not list is known to be
// gone only when the machine is synchronized (docs/design.md, rules 3 and 7).
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

class HeartbeatReader {
 public:
  struct Context {
    state::Model& model;
    placement::Planner& planner;
    placement::GangCoordinator& gangs;
    placement::RunTimeEstimates& estimates;
    Fencing& fencing;
    LeaseExpiry& lease_expiry;
    /// Called after each heartbeat: there may be something to decide and to command.
    std::function<void()> model_changed;
  };

  explicit HeartbeatReader(Context context)
      : context_(std::move(context)), failures_(context_.model) {}

  /// Whether the heartbeat is newer than everything read of this machine so far.
  /// Copies may arrive late, and their task list is as old as they are.
  [[nodiscard]] static bool is_newer(const state::Machine& machine,
                                     const wire::WorkerHeartbeat& heartbeat);

  /// Brings the model up to date. The heartbeat must be newer (`is_newer`).
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
