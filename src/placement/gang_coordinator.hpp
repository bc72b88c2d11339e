/// @file
/// The coordinator starts, stops and ends gangs: jobs whose tasks all run at the same time or not
/// at all. Nothing else stops, moves or starts a single task of a gang, except that a cancellation
/// stops the tasks of any job. gang_candidates.hpp finds places, gang_claims.hpp holds them until
/// an attempt starts, and gang_attempts.hpp runs the attempts. Runs on the controller's event
/// loop; times are seconds of its steady clock.
#pragma once

#include "placement/gang_attempts.hpp"
#include "placement/gang_candidates.hpp"
#include "placement/gang_claims.hpp"
#include "placement/run_time_estimates.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Drives the state machine of each gang (`state::Gang::State`). It refers to its own members, so
/// it can't be copied or moved.
class GangCoordinator {
 public:
  /// All arguments have to outlive the coordinator.
  GangCoordinator(const config::Settings& settings, state::Model& model,
                  RunTimeEstimates& estimates)
      : settings_(settings),
        model_(model),
        candidate_finder_(settings, model),
        attempts_(settings, model, estimates),
        claims_(settings, model, candidate_finder_, attempts_) {}
  GangCoordinator(const GangCoordinator&) = delete;
  GangCoordinator& operator=(const GangCoordinator&) = delete;
  GangCoordinator(GangCoordinator&&) = delete;
  GangCoordinator& operator=(GangCoordinator&&) = delete;
  ~GangCoordinator() = default;

  /// Derives the gang's state from its restored tasks, after a takeover.
  void recover(state::Job& job, double now) const;

  /// Handles the state of a gang's task that a heartbeat has reported.
  void on_task_state(state::Task& task, wire::TaskState state, double now);
  /// Handles the end of a task, for this cause. It is certainly no longer on its machine.
  void on_exit(state::Task& task, wire::EndCause cause, double now);
  /// Handles the completion of a task of the current attempt, which completes the whole gang: at
  /// once, if the epochs of all its machines are known in this term.
  void on_done(state::Job& job, double now);
  /// Handles the completion of a task in an earlier attempt, or in what may be an earlier epoch of
  /// its machine. The result counts, so the gang is complete as soon as the current attempt has
  /// ended.
  void on_past_completion(state::Job& job, double now);

  /// Starts a new round of decisions.
  void begin_round() { claims_.begin_round(); }
  /// Advances the gang by one step. `with_room`: the usable machines with room for the smallest
  /// task of a gang. Returns false when there is nothing to do until one of its tasks changes.
  bool advance(state::Job& job, const state::MachineSet& with_room, double now);

  /// Whether a command to run the task may be sent: the assignments of all tasks of its attempt
  /// are committed (rule 1).
  [[nodiscard]] bool may_run(const state::Task& task);

 private:
  /// Starts a waiting gang if there is room for all its tasks, or prepares for that.
  void place(state::Job& job, const state::MachineSet& with_room, double now);
  /// Avoids, from now on, machines that were still fetching when the wait of the others timed out.
  static void avoid_slow_machines(state::Job& job);

  const config::Settings& settings_;
  state::Model& model_;
  GangCandidateFinder candidate_finder_;
  GangAttempts attempts_;
  GangClaims claims_;
};

}  // namespace elmstall::placement
