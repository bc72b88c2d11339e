/// @file
/// Removal of the tasks of a machine on which none can still run. Runs on the controller's event
/// loop.
#pragma once

#include <string_view>

#include "placement/planner.hpp"
#include "state/model.hpp"

namespace elmstall::reconcile {

/// Unassigns all tasks of the machine, in the model and in the records. To be called
/// only when rule 6 of docs/design.md says that none of them can still run there.
/// `reason` is for the log.
void remove_all_tasks(state::Model& model, placement::Planner& planner, state::Machine& machine,
                      std::string_view reason);

}  // namespace elmstall::reconcile
