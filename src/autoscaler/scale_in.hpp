/// @file
/// Deletes idle machines that the fleet does not need any more.
#pragma once

#include <vector>

#include "autoscaler/terminations.hpp"
#include "autoscaler/zone_planner.hpp"
#include "sched/scaling_plan.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

/// Marks surplus idle machines for deletion. Runs on the controller's event loop.
class ScaleIn {
 public:
  /// All arguments have to outlive this object.
  ScaleIn(const config::Settings& settings, state::Model& model, Terminations& terminations);

  /// Marks idle machines of the type for deletion: as many as the pools have beyond the demand,
  /// and beyond that as many as zone-bound work lacks in zones without capacity.
  /// Machines that zone-bound work waits for are kept. `now`: seconds on the event loop's steady
  /// clock.
  void run(const wire::MachineType& machine_type, const std::vector<sched::Pool>& pools,
           const sched::Demand& demand, ZonePlan zone_plan, double now);

 private:
  /// Seconds for which an idle machine of the type is kept.
  [[nodiscard]] double idle_timeout_s(const wire::MachineType& machine_type) const;
  /// Updates the machine's `idle_since`. Returns whether the machine is idle.
  static bool update_idle_since(state::Machine& machine, double now);
  /// Keeps the machine for work that waits for its zone, unless that work has enough already.
  /// Returns whether it is kept.
  static bool reserve_for_zone(const state::Machine& machine, ZonePlan& zone_plan);

  const config::Settings& settings_;
  state::Model& model_;
  Terminations& terminations_;
};

}  // namespace elmstall::autoscaler
