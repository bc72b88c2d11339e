/// @file
/// Plans machines for work that may run in certain zones only.
///
/// The size of the fleet follows the sum of all demand, but a machine in one zone is of no use to
/// work that may only run in another. The planner finds the zones where such work waits, and
/// how many machines are missing there.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "autoscaler/pool_key.hpp"
#include "sched/scaling_plan.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

/// Waiting work that may run in one zone only: its job names the zone, it is a gang that needs
/// its machines together, or it is spread work that may have no more tasks elsewhere.
struct ZoneDemand {
  double machines = 0;       ///< machines that the work would fill; may be a fraction
  bool spot_allowed = true;  ///< all of the work may use spot machines
};

/// Demand and missing machines of the work that is bound to zones, for one machine type.
struct ZonePlan {
  std::map<std::string, ZoneDemand> demand;  ///< by zone, of the zones where work waits
  std::vector<PoolScaleOut> scale_outs;      ///< missing machines that can be provisioned
  int unobtainable_machines = 0;  ///< missing machines of which every pool is without capacity
};

/// Finds missing machines by zone. Runs on the controller's event loop; keeps no state between
/// calls.
class ZonePlanner {
 public:
  /// All arguments have to outlive this object.
  ZonePlanner(const config::Settings& settings, state::Model& model);

  /// `pools`: the surveyed pools of the machine type.
  /// `now`: seconds on the event loop's steady clock.
  [[nodiscard]] ZonePlan plan(const wire::MachineType& machine_type,
                              const std::vector<sched::Pool>& pools, double now) const;

 private:
  /// The waiting work of each zone that work is bound to.
  [[nodiscard]] std::map<std::string, ZoneDemand> demand_by_zone(
      const wire::MachineType& machine_type, double now) const;
  /// The zones that the waiting tasks of the job must run in. Empty: any zone will do.
  [[nodiscard]] std::vector<std::string> required_zones(
      const state::Job& job, const std::vector<std::string>& zones) const;
  /// The zone that a spread job's next tasks should go to, once some zone holds as many of its
  /// tasks as one zone may. std::nullopt: no zone is full yet, or all are.
  [[nodiscard]] static std::optional<std::string> zone_with_spread_room(
      const state::Job& job, const std::vector<std::string>& zones);
  /// Machines that the job's waiting tasks would fill; 0 if no task fits on the machine type.
  [[nodiscard]] static double machines_for_waiting_tasks(const state::Job& job,
                                                         const wire::MachineType& machine_type);
  /// Machines' worth of free room in the zone that the demand may use, machines that are booting
  /// included.
  [[nodiscard]] double free_machines(const wire::MachineType& machine_type,
                                     const std::vector<sched::Pool>& pools, const std::string& zone,
                                     const ZoneDemand& demand, double now) const;

  const config::Settings& settings_;
  state::Model& model_;
};

}  // namespace elmstall::autoscaler
