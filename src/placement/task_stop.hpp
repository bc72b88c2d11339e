/// @file
/// Stopping tasks, and gangs as a whole. The functions change the model only; the commands to the
/// machines are composed from it later. Runs on the controller's event loop; times are seconds of
/// its steady clock.
#pragma once

#include "state/model.hpp"

namespace elmstall::placement {

/// Whether a task that is stopped gets time to write a checkpoint.
enum class StopMode : std::uint8_t {
  immediate,        ///< no time is given; work since the last checkpoint is lost
  with_checkpoint,  ///< time is given where a checkpoint preserves work
};

/// Stops the task and does not start it again before `not_before`. A task that is merely planned,
/// or whose start was never sent, becomes pending at once. If it belongs to a gang that is not
/// cancelled, the whole gang is stopped.
void stop_task(state::Model& model, state::Task& task, StopMode mode, double now,
               double not_before = state::kNever);

/// Stops all tasks of the gang and does not start it again before `not_before`. Its tasks get time
/// for a checkpoint only if every one of them can write one; otherwise the gang falls back to its
/// last checkpoint.
void stop_gang(state::Model& model, state::Job& job, StopMode mode, double now, double not_before);

/// Ends the task of a gang without time for a checkpoint.
void end_gang_task(state::Model& model, state::Task& task);

}  // namespace elmstall::placement
