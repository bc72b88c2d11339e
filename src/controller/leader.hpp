/// @file
/// The state and the work of the leading controller. It exists from an election until the end of
/// that term and coordinates the units that make decisions: it rebuilds their state from the
/// records, passes heartbeats and changes of records to them, and after each batch runs the
/// decisions, the commit and the delivery of commands. Runs on the controller's event loop; times
/// are seconds of its steady clock.
#pragma once

#include "autoscaler/fleet_autoscaler.hpp"
#include "dispatch/command_composer.hpp"
#include "dispatch/command_dispatcher.hpp"
#include "election/leader_lease.hpp"
#include "election/read_index.hpp"
#include "net/http_server.hpp"
#include "placement/gang_coordinator.hpp"
#include "placement/planner.hpp"
#include "reconcile/fencing.hpp"
#include "reconcile/heartbeat_reader.hpp"
#include "reconcile/job_lifecycle.hpp"
#include "reconcile/lease_expiry.hpp"
#include "reconcile/responsiveness.hpp"
#include "runtime/coalescing_timer.hpp"

namespace elmstall::controller {

/// One leadership. It is destroyed when the node steps down.
class Leader {
 public:
  /// What the leader works with. The references have to outlive it.
  struct Context {
    const config::Settings& settings;       ///< settings of this controller
    runtime::EventLoop& event_loop;         ///< clock and timers
    runtime::CommandQueue& queue;           ///< runs the callbacks, one after the other
    store::StateStore& store;               ///< client of the state store
    clients::Cloud& cloud;                  ///< lists, provisions and terminates machines
    clients::WorkerRpc& worker_rpc;         ///< sends command RPCs to workers
    const store::Mirror& mirror;            ///< local replica of the records
    const election::ReadIndex& read_index;  ///< shows how recent the mirror is
    /// Returns what another controller has reported of its copy of the records.
    reconcile::LeaseExpiry::PeerStates peer_read_state;
    /// Returns whether every controller is reachable and none reaches the state store.
    election::LeaderLease::CommonOutage common_outage;
    /// Called when a commit shows that the term is over.
    std::function<void()> term_ended;
  };

  /// Rebuilds the model from the mirror. `term_revision`: modification revision of the record
  /// `term`, a precondition of every commit. `confirmed_at`: when the request that won the term
  /// was sent.
  Leader(Context context, std::uint64_t term, std::uint64_t term_revision, double confirmed_at);

  /// Passes on the machine types that the cloud offers.
  void set_machine_types(const std::vector<wire::MachineType>& machine_types);
  /// Reads a worker's heartbeat and replies to it. Without a valid leader lease it is refused with
  /// 503 (rule 5).
  void on_heartbeat(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond);
  /// To be called when another controller reports that it has recorded the job as cancelled.
  void on_cancellation(const std::string& job_id);
  /// To be called when the mirror has changed; `keys` are those of the changed records.
  void on_change(const std::vector<store::Key>& keys);
  /// Prolongs the leader lease: a request sent at `sent_at` has proved the term current.
  void confirm(double sent_at) { lease_.confirm(sent_at); }
  /// Does the periodic work; to be called every `constants::kTickInterval`.
  void tick();
  /// To be called after each batch of the command queue.
  void after_batch();

  /// Number of this leadership.
  [[nodiscard]] std::uint64_t term() const { return term_; }
  /// The term's lowest fencing token.
  [[nodiscard]] std::uint64_t token() const { return fencing_.term_token(); }
  /// Whether this node may still act as the leader (docs/design.md, rule 5).
  [[nodiscard]] bool leader_lease_valid() const { return lease_.valid(); }
  /// The leader's model of jobs, tasks and machines.
  [[nodiscard]] state::Model& model() { return model_; }
  /// The planner, for tests and metrics.
  [[nodiscard]] const placement::Planner& planner() const { return planner_; }

 private:
  [[nodiscard]] state::GroupCommit::Events commit_events();
  /// Whether the heartbeat was overtaken by the newer reply to a command RPC, so that the worker
  /// still waits for the reply to the heartbeat.
  [[nodiscard]] bool overtaken_by_rpc_reply(const state::Machine& machine,
                                            const wire::WorkerHeartbeat& heartbeat) const;
  void remove_all_tasks(state::Machine& machine, std::string_view reason);
  void decide_if_due();
  void log_whether_tasks_may_start();

  Context context_;
  std::uint64_t term_;
  election::LeaderLease lease_;
  state::GroupCommit group_commit_;
  state::Model model_;
  placement::RunTimeEstimates estimates_;
  placement::GangCoordinator gangs_;
  placement::Planner planner_;
  autoscaler::FleetAutoscaler autoscaler_;
  reconcile::LeaseExpiry lease_expiry_;
  reconcile::Fencing fencing_;
  reconcile::Responsiveness responsiveness_;
  reconcile::JobLifecycle jobs_;
  reconcile::HeartbeatReader heartbeat_reader_;
  dispatch::CommandComposer command_composer_;
  dispatch::CommandDispatcher dispatcher_;
  bool may_start_logged_ = true;  ///< value in the last log line on it
  /// Set when something has happened that may lead to new decisions. Users' polls and replies of
  /// the state store do not.
  bool decision_due_ = true;
  double next_decision_ = state::kNever;
  runtime::CoalescingTimer decision_timer_;
};

}  // namespace elmstall::controller
