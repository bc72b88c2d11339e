#include "placement/machine_index.hpp"

#include <algorithm>
#include <cmath>

#include "config/constants.hpp"
#include "placement/eligibility.hpp"

namespace elmstall::placement {

namespace {

/// Share of a machine that one task is assumed to take while the machine runs none: two tasks per
/// machine are usual.
constexpr double kAssumedTaskShare = 0.5;
/// Share of a machine. Tolerance for rounding errors in sums of shares.
constexpr double kShareTolerance = 1e-6;

/// Makes the set contain the machine if the condition holds, and not contain it otherwise.
void include_if(bool condition, state::MachineSet& set, state::Machine& machine) {
  if (condition) {
    set.insert(&machine);
  } else {
    set.erase(&machine);
  }
}

/// Tasks that were assigned to the machine and have not yet appeared in one of its heartbeats.
std::size_t tasks_in_transit(const state::Machine& machine) {
  const auto count =
      std::count_if(machine.tasks.begin(), machine.tasks.end(), [](const state::Task* task) {
        return task->may_be_on_machine() && !task->in_last_heartbeat();
      });
  return static_cast<std::size_t>(count);
}

}  // namespace

void MachineIndex::update(double now) {
  // Some conditions, such as the age of a machine's last heartbeat, change with time alone.
  // Therefore all machines are examined periodically, besides those that have changed.
  if (now >= next_review_) {
    next_review_ = now + constants::kReviewInterval;
    model_.refresh_least_need();
    for (const auto& [id, machine] : model_.machines()) model_.mark_dirty(*machine);
    queues_.distribute_shared_queues();
  }
  for (auto* machine : model_.take_dirty()) update_machine(*machine, now);
}

void MachineIndex::update_machine(state::Machine& machine, double now) {
  ++machines_examined_;
  if (!is_usable(machine, now, settings_)) return remove(machine);
  const auto room = machine.room();
  const bool fits_smallest = model_.least_need().fits(room);
  const auto& least_gang_need = model_.least_gang_need();
  const bool fits_smallest_of_gangs = least_gang_need && least_gang_need->fits(room);
  include_if(fits_smallest, with_room_, machine);
  include_if(fits_smallest_of_gangs, with_room_for_gangs_, machine);
  update_worker(machine);
}

void MachineIndex::update_worker(const state::Machine& machine) {
  // The number of slots is derived from the mean size of the tasks that run there now.
  const double used_share = machine.used.share_of(machine.capacity);
  const double task_share = machine.tasks.empty()
                                ? kAssumedTaskShare
                                : used_share / static_cast<double>(machine.tasks.size());
  const double slots = task_share > 0 ? std::floor(1.0 / task_share + kShareTolerance) : 1;
  const bool has_room = machine.room().cpus > 0 && used_share + task_share <= 1 + kShareTolerance;
  queues_.group_of(machine).set_worker(machine.id, tasks_in_transit(machine), slots, has_room);
}

void MachineIndex::remove(state::Machine& machine) {
  with_room_.erase(&machine);
  with_room_for_gangs_.erase(&machine);
  queues_.remove_worker(machine);
}

std::vector<state::Machine*> MachineIndex::in_filling_order() const {
  std::vector<state::Machine*> machines(with_room_.begin(), with_room_.end());
  // Spot machines come first, because services need the room of ordinary ones. Then come the
  // fuller machines, so that others become empty and can be terminated.
  std::stable_sort(machines.begin(), machines.end(),
                   [](const state::Machine* a, const state::Machine* b) {
                     if (a->spot != b->spot) return a->spot;
                     return a->tasks.size() > b->tasks.size();
                   });
  return machines;
}

}  // namespace elmstall::placement
