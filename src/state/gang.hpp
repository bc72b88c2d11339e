/// @file
/// The state of a gang: a job whose tasks all run at the same time or not at all.
///
/// All tasks of a gang share one state. The state belongs to the gang's current attempt, which
/// is one start of all its tasks under one attempt number.
///
/// placement::GangCoordinator and placement::stop_gang make all transitions:
/// - waiting -> starting: there is room for all tasks, which are assigned under a new attempt.
/// - waiting -> claiming: other tasks are being preempted to make room for all tasks; or the gang
///   has waited long, and keeps the free places that there are.
/// - claiming -> starting: there is room for all tasks now.
/// - claiming -> waiting: the claim took too long, one of its machines can't be used any more,
///   or the gang is stopped.
/// - starting -> running: every task was seen to run, or one was seen to save a checkpoint.
/// - starting -> ending: tasks are lost and can't be replaced within this attempt, the gang is
///   stopped, or a task of an earlier attempt turns out to have completed.
/// - running -> stopping: the gang is stopped by preemption or for an interruption notice, and
///   every task can save a checkpoint in time.
/// - running -> ending: a task is lost, the gang is stopped and can't save a checkpoint, or a
///   task of an earlier attempt turns out to have completed.
/// - stopping -> waiting and ending -> waiting: no task of the attempt is or may be on a
///   machine (rule 6).
/// - any state but done -> done: a task completed, and with it all of them.
///
/// After a takeover, a gang with at least one assigned task begins in `starting`; any other
/// gang begins in `waiting` (rule 10). The tasks of a cancelled gang are stopped one by one
/// like those of any other job, and the gang's state is not advanced any more. See "Gangs" in
/// docs/design.md for why this breaks no rule.
///
/// All times are in seconds, by the clock of the event loop, on which all of this runs.
#pragma once

#include <cstdint>
#include <limits>
#include <set>
#include <string>

namespace elmstall::state {

/// The state of a gang's current attempt, kept by the leader for each job that is a gang. Only
/// GangCoordinator and stop_gang change it.
struct Gang {
  /// The states; the transitions between them are listed at the top of this file.
  enum class State : std::uint8_t {
    waiting,   ///< no task is on a machine
    claiming,  ///< places are kept for some or all tasks; no assignment is recorded
    starting,  ///< every task was given a machine, and not all have been seen to run
    running,   ///< every task has been seen to run
    stopping,  ///< the tasks are to save a checkpoint and exit
    ending,    ///< the attempt has failed, and its remaining tasks are being stopped
    done,      ///< all tasks are completed
  };

  State state = State::waiting;  ///< the present state
  /// When the gang entered that state.
  double since = -std::numeric_limits<double>::infinity();
  /// Attempt number of the current attempt, or of the last one while the gang is waiting.
  std::uint64_t attempt = 0;
  /// All assignments of the current attempt are in the state store, so `run` may be sent
  /// (rule 1). Once true it stays true until the attempt is over.
  bool committed = false;
  /// A task of the current attempt has begun to run, has failed, or has stopped waiting for the
  /// others. From then on a lost task is not replaced within this attempt.
  bool replacement_disabled = false;
  /// The earliest time at which a task of the current attempt may have begun to wait for the
  /// others. Workers let a task wait for `gang_wait_s`. Infinity: none is known to wait.
  double gathering_since = std::numeric_limits<double>::infinity();
  /// Since when a task of the current attempt is lost and not replaced. Infinity: none is.
  double lost_since = std::numeric_limits<double>::infinity();
  /// A task completed in an earlier attempt, or in what may be an earlier epoch of its machine, so
  /// the whole gang is complete. The tasks of the current attempt must be ended before the gang is
  /// done.
  bool completed = false;
  /// Identifiers of machines that refused a task of this gang, on which one failed, or which
  /// did not get its image while the other tasks waited.
  std::set<std::string> avoided_machines;
  /// When places were last searched for, for the whole gang or for a replacement.
  double placement_tried_at = -std::numeric_limits<double>::infinity();
  /// When the zone was last chosen for which machines are rented. Applies to gangs whose tasks
  /// must all be in one zone.
  double zone_chosen_at = -std::numeric_limits<double>::infinity();
  /// The gang must not claim free places before this time, because an earlier claim of it took
  /// too long.
  double claim_after = -std::numeric_limits<double>::infinity();
};

/// Whether the gang may change from the one state to the other. Besides the transitions listed
/// above this permits starting -> stopping and stopping -> ending, which nothing makes today.
[[nodiscard]] bool is_valid_transition(Gang::State from, Gang::State to);
/// The name of the state, for log lines.
[[nodiscard]] const char* to_text(Gang::State state);

}  // namespace elmstall::state
