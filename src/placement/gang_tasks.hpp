/// @file
/// Functions shared by all units that handle gangs: listing tasks and changing the gang's state.
/// Runs on the controller's event loop; times are seconds of its steady clock.
#pragma once

#include <cstddef>
#include <vector>

#include "state/model.hpp"

namespace elmstall::placement {

/// Enters the new state and logs the change. A change that the state machine does not allow is
/// logged as an error and made nevertheless.
void change_gang_state(state::Job& job, state::Gang::State state, double now);

/// The gang's tasks whose blocks are in memory, by block and index. While the gang waits these need
/// not be all: blocks that were never used are loaded when there are places for their tasks.
[[nodiscard]] std::vector<state::Task*> gang_tasks_in_memory(const state::Job& job);
/// Loads all blocks of the gang into memory. False if the task budget does not permit it; nothing
/// is loaded then.
[[nodiscard]] bool load_gang(state::Model& model, state::Job& job);
/// The gang's tasks in memory that are on no machine and planned for none.
[[nodiscard]] std::vector<state::Task*> pending_gang_tasks(const state::Job& job);
/// Up to `count` tasks of the gang that are on no machine and planned for none. Loads blocks for
/// them, as far as the task budget permits.
[[nodiscard]] std::vector<state::Task*> load_pending_gang_tasks(state::Model& model,
                                                                state::Job& job, std::size_t count);
/// Takes the blocks of the gang out of memory that were never used. Its tasks there must not be
/// referred to any more.
void unload_gang(state::Model& model, state::Job& job);

/// Gives up the places of those tasks that are planned.
void unplan_tasks(state::Model& model, const std::vector<state::Task*>& tasks);

}  // namespace elmstall::placement
