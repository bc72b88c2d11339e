// Rents and returns machines.
#pragma once

#include "clients/cloud.hpp"
#include "placement/planner.hpp"
#include "sched/arrivals.hpp"
#include "sched/scaling_plan.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

class FleetAutoscaler {
 public:
  /// `term`: in the first nobody can have rented anything before us.
  FleetAutoscaler(const config::Settings& settings, runtime::EventLoop& event_loop,
                  runtime::CommandQueue& queue, clients::Cloud& cloud, state::Model& model,
                  placement::RunTimeEstimates& estimates, std::uint64_t term,
                  std::function<void(state::Machine&)> machine_lost);

  void tick();
  /// Has the cloud delete the machine, which proves its tasks gone.
  void terminate(state::Machine& machine);

 private:
  struct PoolState {
    int pending = 0;  ///< machines asked for, without an answer yet
    double blocked_until = state::kNever;
    double pause = constants::kNoCapacityPause;
  };
  using PoolKey = std::tuple<std::string, std::string, bool>;
  /// A rental under way, or one that must be repeated.
  struct Request {
    PoolKey pool;
    std::string name;
    int count = 0;
  };

  void send_terminations();
  void read_list(const std::string& since);
  void finish_list();
  /// How many machines reported once, and how many of them are silent now.
  struct Silence {
    std::size_t heard = 0;
    std::size_t silent = 0;
    /// One silent machine is most likely dead. When many fall silent at once it
    /// is the network, and deleting them would turn a cut into a loss.
    [[nodiscard]] bool partitioned() const { return silent * 3 > heard && silent > 1; }
  };
  struct FleetHealth {
    std::vector<state::Machine*> silent;
    std::vector<state::Machine*> unresponsive;
    Silence all;
    /// A cut may take one zone alone, however few of all machines it holds.
    std::map<std::string, Silence> zones;
  };
  void review_machines(double now);
  void review_heard(state::Machine& machine, FleetHealth& health, double now);
  void review_booting(state::Machine& machine, double now);
  void terminate_unresponsive(const FleetHealth& health, double now);
  void terminate_silent(const FleetHealth& health, double now);
  void plan(double now);
  void scale_in(const wire::MachineType& machine_type, const std::vector<sched::Pool>& pools,
                const sched::Demand& demand, double now);
  void scale_out(const PoolKey& key, int count);
  void send_provision_request(const Request& request);
  void on_provisioned(const Request& request, const clients::ProvisionResult& result);
  [[nodiscard]] std::vector<sched::Pool> pools_of(const wire::MachineType& machine_type,
                                                  double now) const;
  /// Work that waits for machines of one zone: bound there by its job, a gang
  /// that needs them together, or spread work that may have no more elsewhere.
  struct Bound {
    double machines = 0;
    bool spot = true;  ///< all of it may use spot machines
  };
  /// Where spread work may still go that has its most in another zone.
  [[nodiscard]] static std::optional<std::string> zone_left_open(
      const state::Job& job, const std::vector<std::string>& zones);
  /// The zones that what waits of the job must run in; none: any.
  [[nodiscard]] std::vector<std::string> zones_needed(const state::Job& job,
                                                      const std::vector<std::string>& zones) const;
  /// Machines that the tasks which wait would fill.
  [[nodiscard]] static double machines_for_waiting(const state::Job& job,
                                                   const sched::Amount& whole);
  [[nodiscard]] std::map<std::string, Bound> bound_to_zones(const wire::MachineType& machine_type,
                                                            double now) const;
  void scale_out_for_zones(const wire::MachineType& machine_type,
                           const std::vector<sched::Pool>& pools, double now);
  [[nodiscard]] sched::Demand demand_of(const wire::MachineType& machine_type, double now);
  /// Its aim leaves no time to boot a machine for it.
  [[nodiscard]] bool urgent(const state::Job& job, const wire::MachineType& machine_type) const;
  [[nodiscard]] double ending_soon(const state::Job& job, double within_s, double now) const;

  const config::Settings& settings_;
  runtime::EventLoop& loop_;
  clients::Cloud& cloud_;
  state::Model& model_;
  placement::RunTimeEstimates& estimates_;
  std::uint64_t term_;
  std::function<void(state::Machine&)> machine_lost_;
  runtime::CommandScope scope_;
  std::map<PoolKey, PoolState> pools_;
  std::map<std::string, sched::ArrivalRate> arrivals_;
  std::uint64_t counted_ = 0;  ///< serial of the newest job in `arrivals_`
  std::uint64_t next_request_ = 1;
  double started_ = 0;
  double next_plan_ = state::kNever;
  int stranded_ = 0;  ///< machines that work bound to a zone lacks and can't get there
  /// Work bound to them waits, for spot machines too or not: what it may use is
  /// not returned there.
  std::map<std::string, Bound> wanted_zones_;
  double allowance_ = 0;  ///< requests that may be sent now
  double next_list_ = state::kNever;
  bool terminating_ = false;  ///< a request is under way
  double next_termination_ = state::kNever;
  bool listing_ = false;
  bool ever_listed_ = false;
  std::vector<wire::CloudMachine> listed_;
};

}  // namespace elmstall::autoscaler
