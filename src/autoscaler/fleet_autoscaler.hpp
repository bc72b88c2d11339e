/// @file
/// Keeps the fleet at the size that the jobs need: scales out (provisions machines), scales in
/// (returns idle ones), and replaces machines that have failed.
#pragma once

#include <cstdint>
#include <functional>

#include "autoscaler/demand_estimator.hpp"
#include "autoscaler/health_review.hpp"
#include "autoscaler/machine_list.hpp"
#include "autoscaler/provisioning.hpp"
#include "autoscaler/scale_in.hpp"
#include "autoscaler/term_start.hpp"
#include "autoscaler/terminations.hpp"
#include "autoscaler/zone_planner.hpp"
#include "clients/cloud.hpp"
#include "placement/planner.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

/// Part of the leader; runs on the controller's event loop. Each step has a class of its own; this
/// class owns them and calls them in order.
class FleetAutoscaler {
 public:
  /// `term`: the leader's term. In the first one no former leader can have provisioned machines.
  /// `machine_lost`: called with a machine whose tasks are certainly gone, because the cloud lists
  /// it as failed or has confirmed its deletion (rule 6).
  FleetAutoscaler(const config::Settings& settings, runtime::EventLoop& event_loop,
                  runtime::CommandQueue& queue, clients::Cloud& cloud, state::Model& model,
                  placement::RunTimeEstimates& estimates, std::uint64_t term,
                  const std::function<void(state::Machine&)>& machine_lost);

  /// Does the steps that are due: reads the cloud's list, reviews the machines' health, plans the
  /// size of the fleet, and sends deletions. To be called every few hundred milliseconds.
  void tick();

  /// Has the cloud delete the machine. Once the cloud has confirmed the deletion, the machine's
  /// tasks are certainly gone (rule 6).
  void terminate(state::Machine& machine);

 private:
  /// Plans the size of the fleet, for one machine type after the other.
  void plan(double now);
  void plan_machine_type(const wire::MachineType& machine_type, double now);
  /// Whether the model contains every machine that former leaders have provisioned.
  [[nodiscard]] bool fleet_fully_known(double now) const;

  const config::Settings& settings_;
  runtime::EventLoop& loop_;
  state::Model& model_;
  TermStart term_start_;
  MachineList machine_list_;
  Terminations terminations_;
  HealthReview health_review_;
  Provisioning provisioning_;
  ZonePlanner zone_planner_;
  DemandEstimator demand_estimator_;
  ScaleIn scale_in_;
  double next_plan_at_ = state::kNever;
};

}  // namespace elmstall::autoscaler
