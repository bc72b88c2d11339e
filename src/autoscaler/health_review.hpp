/// @file
/// Selects the faulty machines that have to be deleted: they have failed, are quarantined, sent no
/// first heartbeat in time, stopped sending heartbeats (silent), or show no effect of commands
/// (unresponsive).
///
/// A single machine that becomes silent has most likely failed. When many become silent at once,
/// the cause is most likely a network partition, and deleting them would lose all their work. So
/// the review counts the affected machines before it marks any of them.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "autoscaler/machine_list.hpp"
#include "autoscaler/terminations.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

/// Reviews the health of all machines. Runs on the controller's event loop.
class HealthReview {
 public:
  /// `takeover_at`: when this leader's term began, in seconds on the event loop's steady clock.
  HealthReview(const config::Settings& settings, state::Model& model,
               const MachineList& machine_list, Terminations& terminations, double takeover_at);

  /// Checks every machine and marks those for deletion that have to be replaced.
  /// `now`: seconds on the event loop's steady clock.
  void review(double now);

 private:
  /// Counts of the machines that have sent a heartbeat in this term.
  struct HeartbeatCounts {
    std::size_t total = 0;   ///< have sent at least one heartbeat
    std::size_t silent = 0;  ///< of those, have sent none for too long
    [[nodiscard]] bool partitioned() const;
  };
  /// What one review has found so far.
  struct Findings {
    std::vector<state::Machine*> silent;
    std::vector<state::Machine*> unresponsive;
    HeartbeatCounts fleet;
    /// A partition may cut off one zone alone, however small its share of the fleet is.
    std::map<std::string, HeartbeatCounts> zones;
  };

  void review_running(state::Machine& machine, Findings& findings, double now);
  void review_booting(state::Machine& machine, double now);
  void terminate_unresponsive(const Findings& findings, double now);
  void terminate_silent(const Findings& findings, double now);

  const config::Settings& settings_;
  state::Model& model_;
  const MachineList& machine_list_;
  Terminations& terminations_;
  double takeover_at_;
};

}  // namespace elmstall::autoscaler
