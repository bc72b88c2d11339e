/// @file
/// The attempts of gangs: starting one, replacing tasks that are lost while it starts, ending it,
/// and completing it. All tasks of one attempt share its number. Runs on the controller's event
/// loop; times are seconds of its steady clock.
#pragma once

#include <vector>

#include "placement/gang_candidates.hpp"
#include "placement/run_time_estimates.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Starts, supervises and ends attempts.
class GangAttempts {
 public:
  /// All arguments have to outlive this object.
  GangAttempts(const config::Settings& settings, state::Model& model, RunTimeEstimates& estimates)
      : settings_(settings), model_(model), estimates_(estimates) {}

  /// Begins a new attempt: assigns the tasks, which have to be all tasks of the gang, to the
  /// places.
  void start(state::Job& job, const std::vector<state::Task*>& tasks, const GangPlaces& places,
             double now);
  /// Advances an attempt in state `starting`: it is running once all its tasks run; lost tasks are
  /// replaced, or else the attempt ends.
  void advance_start(state::Job& job, const state::MachineSet& with_room, double now);
  /// Whether commands to run the attempt's tasks may be sent: the assignments of all of them are
  /// committed (rule 1).
  [[nodiscard]] bool is_committed(state::Job& job);
  /// Ends all tasks of the attempt without time for a checkpoint. `reason` goes to the log.
  void end(state::Job& job, const char* reason, double now);
  /// To be called when no task is on a machine any more. The gang waits for its next attempt, or
  /// is complete if it completed before.
  void finish(state::Job& job, double now);
  /// Records all tasks as completed. A task of a gang completes only together with all others.
  void complete(state::Job& job, double now);

 private:
  /// Records all tasks of one block as completed.
  void complete_block(state::Block& block);
  /// Whether lost tasks may be assigned anew under the same attempt.
  [[nodiscard]] static bool others_still_waiting(const state::Job& job);
  /// Whether a replacement that needs `fetch_s` seconds for the image can join the other tasks
  /// before their wait times out.
  [[nodiscard]] bool time_for_replacement(const state::Job& job, double fetch_s, double now) const;
  /// Seconds to allow for fetching the job's image on the machine.
  [[nodiscard]] double fetch_time_s(const state::Job& job, const state::Machine& machine) const;
  void replace_lost_tasks(state::Job& job, const state::MachineSet& with_room, double now);
  /// The machine for a replacement, preferably one that holds the image; null if there is none.
  [[nodiscard]] state::Machine* machine_for_replacement(const state::Job& job,
                                                        const state::MachineSet& with_room,
                                                        double now) const;

  const config::Settings& settings_;
  state::Model& model_;
  RunTimeEstimates& estimates_;
};

}  // namespace elmstall::placement
