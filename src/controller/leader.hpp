// The controller that holds the groups: rebuilt from the records at every
// takeover, gone when the term is.
#pragma once

#include "autoscaler/fleet_autoscaler.hpp"
#include "clients/workers.hpp"
#include "dispatch/order_composer.hpp"
#include "election/read_index.hpp"
#include "net/http_server.hpp"
#include "placement/gang_coordinator.hpp"
#include "placement/planner.hpp"
#include "reconcile/host_expiry.hpp"

namespace elmstall::controller {

class Leader {
 public:
  struct Context {
    const config::Settings& settings;
    runtime::EventLoop& event_loop;
    runtime::CommandQueue& queue;
    store::Store& store;
    clients::Cloud& cloud;
    clients::Workers& workers;
    const store::Mirror& mirror;
    const election::ReadIndex& read_index;
    std::function<reconcile::PeerReadState(const std::string& peer)> read_state;
    /// Every other controller is heard and says that the state service does
    /// not answer it either: nobody confirms anything.
    std::function<bool()> outage;
    std::function<void()> deposed;
  };

  /// `confirmed`: when the request that won the term was sent.
  Leader(Context context, std::uint64_t term, std::uint64_t term_stamp, double confirmed);

  void set_machine_types(const std::vector<wire::MachineType>& machine_types);
  void on_report(const wire::Report& report, const net::Responder& respond);
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
  void adopt_block(state::Job& job, std::uint32_t number, const store::Mirror::Block& stored);
  void add_job(const std::string& id, const store::JobRecord& record);
  void cancel(state::Job& job);
  void finalize_jobs();
  void release_host_tasks(state::Host& host, const char* why);
  void record_host(state::Host& host, const store::Mirror::Host* stored);

  [[nodiscard]] std::uint64_t token(const state::Host& host) const { return token() + host.fence; }
  [[nodiscard]] static bool is_newer(const state::Host& host, const wire::Report& report);
  void answer(state::Host& host, const net::Responder& respond, double now);
  void raise_fence(state::Host& host);
  void check_responsiveness(state::Host& host, const wire::Report& report, double now);
  void give_orders();
  void exchange(state::Host& host, const std::vector<wire::Order>& orders);
  void on_exchange(const std::string& id, bool stated, const clients::OrdersResult& result);
  void synchronize_hosts(double now);
  /// `own`: it came as a report, not as the reply to direct orders.
  void read_report(state::Host& host, const wire::Report& report, bool own, double now);
  void read_task(state::Host& host, const wire::TaskReport& report, double now);
  void task_ended(state::Task& task, state::Host& host, const wire::TaskReport& report, double now);
  void task_failed(state::Task& task, state::Host& host, double now);
  void absent_tasks(state::Host& host);
  void handle_recall(state::Host& host, double now);
  /// Nobody can have confirmed a cancellation that this node has not heard of,
  /// but for the last few seconds.
  [[nodiscard]] bool may_start() const;

  Context context_;
  std::uint64_t term_;
  double started_;
  double confirmed_;
  state::GroupCommit group_commit_;
  state::Model model_;
  placement::Estimates estimates_;
  placement::GangCoordinator gangs_;
  dispatch::OrderComposer orders_;
  placement::Planner planner_;
  autoscaler::FleetAutoscaler fleet_;
  reconcile::HostExpiry expiry_;
  std::size_t exchanges_ = 0;  ///< in flight
  bool orders_due_ = true;
  bool starting_ = true;  ///< as last told in the log
  /// Something happened that scheduling has to look at; users' polls and the
  /// answers of the state service are not of that kind.
  bool decide_ = true;
  double next_decide_ = state::kNever;
  runtime::CommandScope scope_;
  runtime::CoalescingTimer wake_;  ///< for the batch in which the next decision may be made
};

}  // namespace elmstall::controller
