// The controller that holds the groups: rebuilt from the records at every
// takeover, gone when the term is.
#pragma once

#include "autoscaler/fleet_autoscaler.hpp"
#include "clients/worker_rpc.hpp"
#include "dispatch/command_composer.hpp"
#include "election/read_index.hpp"
#include "net/http_server.hpp"
#include "placement/gang_coordinator.hpp"
#include "placement/planner.hpp"
#include "reconcile/lease_expiry.hpp"

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
    std::function<reconcile::PeerReadState(const std::string& peer)> read_state;
    /// Every other controller is heard and says that the state service does
    /// not answer it either: nobody confirms anything.
    std::function<bool()> outage;
    std::function<void()> deposed;
  };

  /// `confirmed`: when the request that won the term was sent.
  Leader(Context context, std::uint64_t term, std::uint64_t term_revision, double confirmed);

  void set_machine_types(const std::vector<wire::MachineType>& machine_types);
  void on_heartbeat(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond);
  /// Another controller has recorded that this job is cancelled.
  void on_cancellation(const std::string& job_id);
  void on_change(const std::vector<store::Key>& keys);
  /// A request that proved the term to be current was sent at this time.
  void confirm(double sent) { confirmed_ = std::max(confirmed_, sent); }
  void tick();
  void after_batch();
  [[nodiscard]] std::uint64_t term() const { return term_; }
  [[nodiscard]] std::uint64_t token() const { return term_ << constants::kTokenFenceBits; }
  /// May this node still act for the controllers.
  [[nodiscard]] bool leader_lease_valid() const;
  [[nodiscard]] state::Model& model() { return model_; }
  [[nodiscard]] const placement::Planner& planner() const { return planner_; }

 private:
  void rebuild();
  void restore_block(state::Job& job, std::uint32_t number, const store::Mirror::Block& stored);
  void add_job(const std::string& id, const store::JobRecord& record);
  void cancel(state::Job& job);
  void finalize_jobs();
  void unassign_all(state::Machine& machine, const char* why);
  void record_machine(state::Machine& machine, const store::Mirror::Machine* stored);

  [[nodiscard]] std::uint64_t token(const state::Machine& machine) const {
    return token() + machine.fence;
  }
  [[nodiscard]] static bool is_newer(const state::Machine& machine,
                                     const wire::WorkerHeartbeat& heartbeat);
  void reply(state::Machine& machine, const net::Responder& respond, double now);
  void raise_fence(state::Machine& machine);
  void check_responsiveness(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                            double now);
  void deliver_commands();
  void start_command_rpc(state::Machine& machine, const std::vector<wire::WorkerCommand>& commands);
  void on_command_result(const std::string& id, bool stated, const clients::CommandResult& result);
  void synchronize_machines(double now);
  /// `own`: it came as a heartbeat, not as the reply to direct commands.
  void read_heartbeat(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat, bool own,
                      double now);
  void read_task(state::Machine& machine, const wire::TaskStatus& heartbeat, double now);
  void task_ended(state::Task& task, state::Machine& machine, const wire::TaskStatus& heartbeat,
                  double now);
  void task_failed(state::Task& task, state::Machine& machine, double now);
  void absent_tasks(state::Machine& machine);
  void handle_interruption_notice(state::Machine& machine, double now);
  /// Nobody can have confirmed a cancellation that this node has not heard of,
  /// but for the last few seconds.
  [[nodiscard]] bool may_start() const;

  Context context_;
  std::uint64_t term_;
  double started_;
  double confirmed_;
  state::GroupCommit group_commit_;
  state::Model model_;
  placement::RunTimeEstimates estimates_;
  placement::GangCoordinator gangs_;
  dispatch::CommandComposer command_composer_;
  placement::Planner planner_;
  autoscaler::FleetAutoscaler autoscaler_;
  reconcile::LeaseExpiry expiry_;
  std::size_t rpcs_in_flight_ = 0;  ///< in flight
  bool commands_due_ = true;
  bool starting_ = true;  ///< as last told in the log
  /// Something happened that scheduling has to look at; users' polls and the
  /// answers of the state service are not of that kind.
  bool decide_ = true;
  double next_decide_ = state::kNever;
  runtime::CommandScope scope_;
  runtime::CoalescingTimer wake_;  ///< for the batch in which the next decision may be made
};

}  // namespace elmstall::controller
