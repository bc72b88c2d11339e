/// @file
/// Predicates that the whole placement package uses: which machines may receive work at all, and
/// which jobs and tasks may be matched with which machines. All functions are free of side effects
/// and run on the controller's event loop; times are seconds of its steady clock.
#pragma once

#include <string>

#include "sched/resources.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// Whether new tasks may be assigned to the machine now: it is synchronized (rule 3), responsive,
/// recorded (rule 7), neither quarantined nor about to be terminated or interrupted, free of
/// tasks of unknown jobs, and has sent a heartbeat recently.
[[nodiscard]] bool is_usable(const state::Machine& machine, double now,
                             const config::Settings& settings);

/// Whether the job's tasks may ever run on the machine, given the placement rules and the
/// machine's total capacity; the room that is free at present does not count.
[[nodiscard]] bool may_ever_run(const state::Job& job, const state::Machine& machine);

/// Whether the task may be assigned to the machine now, in the room that is free there.
[[nodiscard]] bool may_start(const state::Model& model, const state::Task& task,
                             const state::Machine& machine, double now);

/// Whether the job's tasks are placed directly (services, gangs, and arrays that must stay in one
/// zone) instead of waiting in the queues.
[[nodiscard]] bool is_placed_directly(const state::Job& job);

/// Name of the group of like machines (same type, same zone) that the machine belongs to.
[[nodiscard]] std::string group_name(const state::Machine& machine);

/// What is taken on the machine without its planned tasks: the needs of the tasks assigned to it
/// and the use by unrecorded tasks (rule 7).
[[nodiscard]] sched::Amount use_without_planned(const state::Machine& machine);

}  // namespace elmstall::placement
