// The leading controller's view of the deployment. It exists from an election
// until the end of that term and coordinates the units that decide: it rebuilds
// their state from the records, hands them heartbeats and changes of records, and
// lets them decide, commit and command once per batch.
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

class Leader {
 public:
  struct Context {
    const config::Settings& settings;
    runtime::EventLoop& event_loop;
    runtime::CommandQueue& queue;
    store::StateStore& store;
    clients::Cloud& cloud;
    clients::WorkerRpc& worker_rpc;
    const store::Mirror& mirror;
    const election::ReadIndex& read_index;
    /// What another controller has said of its copy of the records.
    reconcile::LeaseExpiry::PeerStates peer_read_state;
    /// Whether every controller is heard and none reaches the state store.
    election::LeaderLease::CommonOutage common_outage;
    /// Called when a commit shows that the term is over.
    std::function<void()> deposed;
  };

  /// `confirmed_at`: when the request that won the term was sent.
  Leader(Context context, std::uint64_t term, std::uint64_t term_revision, double confirmed_at);

  void set_machine_types(const std::vector<wire::MachineType>& machine_types);
  void on_heartbeat(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond);
  /// Another controller has recorded that this job is cancelled.
  void on_cancellation(const std::string& job_id);
  /// These records have changed.
  void on_change(const std::vector<store::Key>& keys);
  /// A request that proved the term to be current was sent at this time.
  void confirm(double sent_at) { lease_.confirm(sent_at); }
  /// Periodic work, every `constants::kTickInterval`.
  void tick();
  /// To be called after each batch of the command queue.
  void after_batch();

  [[nodiscard]] std::uint64_t term() const { return term_; }
  /// The term's lowest fencing token.
  [[nodiscard]] std::uint64_t token() const { return fencing_.term_token(); }
  /// Whether this node may still act for the controllers (docs/design.md, rule 5).
  [[nodiscard]] bool leader_lease_valid() const { return lease_.valid(); }
  [[nodiscard]] state::Model& model() { return model_; }
  [[nodiscard]] const placement::Planner& planner() const { return planner_; }

 private:
  [[nodiscard]] state::GroupCommit::Events commit_events();
  /// The heartbeat crossed the newer reply to a command RPC, so the worker still
  /// waits for its own reply.
  [[nodiscard]] bool crossed_command_rpc(const state::Machine& machine,
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
  bool may_start_logged_ = true;  ///< what the log last said of it
  /// Something happened that scheduling has to look at. Users' polls and the state
  /// store's replies are not of that kind.
  bool decision_due_ = true;
  double next_decision_ = state::kNever;
  runtime::CoalescingTimer decision_timer_;
};

}  // namespace elmstall::controller
