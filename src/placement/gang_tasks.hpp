/// @file
/// Functions shared by all units that handle gangs: listing tasks and changing the gang's state.
/// Runs on the controller's event loop; times are seconds of its steady clock.
#pragma once

#include <vector>

#include "state/model.hpp"

namespace elmstall::placement {

/// Enters the new state and logs the change. A change that the state machine does not allow is
/// logged as an error and made nevertheless.
void change_gang_state(state::Job& job, state::Gang::State state, double now);

/// The gang's tasks whose blocks are in memory, by block and index.
[[nodiscard]] std::vector<state::Task*> gang_tasks_in_memory(const state::Job& job);
/// All tasks of the gang; loads its blocks into memory.
[[nodiscard]] std::vector<state::Task*> load_gang_tasks(state::Model& model, state::Job& job);
/// All tasks of the gang that are on no machine and planned for none.
[[nodiscard]] std::vector<state::Task*> load_pending_gang_tasks(state::Model& model,
                                                                state::Job& job);

/// Gives up the places of those tasks that are planned.
void unplan_tasks(state::Model& model, const std::vector<state::Task*>& tasks);

}  // namespace elmstall::placement
