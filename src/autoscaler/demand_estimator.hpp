/// @file
/// Estimates how many machines of a type the jobs will need one boot time from now.
///
/// A machine that is provisioned now can serve only the demand of one boot time later. The demand
/// of flexible work is therefore the present work, plus the work that arrives within a boot time at
/// the recent arrival rate, less the work that will have ended by then ("Fleet size" in
/// docs/design.md).
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "autoscaler/term_start.hpp"
#include "placement/run_time_estimates.hpp"
#include "sched/arrivals.hpp"
#include "sched/scaling_plan.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

/// Estimates the demand for each machine type. Runs on the controller's event loop.
class DemandEstimator {
 public:
  /// `term_start`: when the present leadership began. The references have to outlive this object.
  DemandEstimator(const config::Settings& settings, state::Model& model,
                  const placement::RunTimeEstimates& estimates, TermStart term_start);

  /// The demand for one machine type, in machines. Adds new jobs to the arrival rate of the type.
  /// A job is new if it is younger than every job that earlier calls have examined, for whatever
  /// machine type: a job that could run on several types counts for the first only.
  /// `now`: seconds on the event loop's steady clock.
  [[nodiscard]] sched::Demand estimate(const wire::MachineType& machine_type, double now);

 private:
  /// The teams' demand so far, which their hard limits are compared with.
  using TeamDemand = std::map<std::string, sched::Amount>;

  /// Whether the job needs machines now, and may use this type.
  [[nodiscard]] static bool needs_machine_type(const state::Job& job,
                                               const wire::MachineType& machine_type, double now);
  /// How many of the job's unfinished tasks its team's hard limit allows to run beside the rest
  /// of the team's demand. Adds them to that demand.
  [[nodiscard]] static double tasks_within_limit(const state::Job& job, const config::Team& team,
                                                 TeamDemand& team_demand);
  /// Whether the job counts as new demand that machines are provisioned for ahead of time.
  [[nodiscard]] bool counts_as_arrival(const state::Job& job,
                                       const wire::MachineType& machine_type) const;
  /// Whether the job's completion objective leaves no time to boot a machine for it.
  [[nodiscard]] bool urgent(const state::Job& job, const wire::MachineType& machine_type) const;
  /// The number of the job's tasks that are likely to end within `within_s` seconds.
  [[nodiscard]] double tasks_ending_soon(const state::Job& job, double within_s, double now) const;
  /// The likely change of flexible demand, in machines, until a machine requested now is up.
  [[nodiscard]] double expected_change(const wire::MachineType& machine_type,
                                       sched::ArrivalRate& arrivals, double machines_freed,
                                       double now) const;

  const config::Settings& settings_;
  state::Model& model_;
  const placement::RunTimeEstimates& estimates_;
  TermStart term_start_;
  std::map<std::string, sched::ArrivalRate> arrivals_;  ///< by machine type, in machines
  std::uint64_t newest_counted_serial_ = 0;  ///< of the jobs that earlier calls have examined
};

}  // namespace elmstall::autoscaler
