#include "placement/queued_task_starter.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include "placement/eligibility.hpp"

namespace elmstall::placement {

namespace {

/// Machines of one kind can run the same tasks, as far as their room allows.
struct MachineKind {
  std::string group;
  bool spot = false;
  bool operator<(const MachineKind& other) const {
    return std::tie(group, spot) < std::tie(other.group, other.spot);
  }
};

/// Amounts of room, per kind of machine, for which no task to start was found in this round.
using RoomsWithoutTask = std::map<MachineKind, std::vector<sched::Amount>>;

/// Whether a search for a task must fail, since it failed for at least as much room before.
bool search_must_fail(const state::Machine& machine,
                      const std::vector<sched::Amount>& rooms_without_task) {
  return std::any_of(rooms_without_task.begin(), rooms_without_task.end(),
                     [&](const sched::Amount& room) { return machine.room().fits(room); });
}

}  // namespace

void QueuedTaskStarter::start(state::Task& task, state::Machine& machine) {
  queues_.dequeue(task);
  model_.assign(task, machine);
}

std::vector<sched::QueuedTask> QueuedTaskStarter::tasks_in_queue_order() const {
  std::vector<sched::QueuedTask> entries;
  for (const auto& [name, group] : queues_.groups())
    group.for_each([&](const sched::QueuedTask& entry) { entries.push_back(entry); });
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.before(b); });
  return entries;
}

void QueuedTaskStarter::start_where_cached(double now) {
  const auto entries = tasks_in_queue_order();
  if (entries.empty()) return;
  std::map<std::uint32_t, std::vector<state::Machine*>> machines_by_image;
  for (auto* machine : machines_.in_filling_order()) {
    ++machines_examined_;
    for (const auto image : machine->images) machines_by_image[image].push_back(machine);
  }
  for (const auto& entry : entries) {
    auto* task = model_.task(entry.id);
    if (task == nullptr) continue;
    const auto found = machines_by_image.find(task->job->image);
    if (found == machines_by_image.end()) continue;
    auto& machines = found->second;
    const auto machine = std::find_if(
        machines.begin(), machines.end(),
        [&](const state::Machine* candidate) { return may_start(model_, *task, *candidate, now); });
    if (machine != machines.end()) {
      start(*task, **machine);
      continue;
    }
    // Machines that have become full are not examined again for the tasks that follow.
    std::erase_if(machines, [&](const state::Machine* candidate) {
      return !model_.least_need().fits(candidate->room());
    });
  }
}

bool QueuedTaskStarter::start_next(state::Machine& machine, double now) {
  const auto entry = queues_.next_for(machine, [&](sched::TaskId id) {
    const auto* task = model_.task(id);
    return task != nullptr && may_start(model_, *task, machine, now);
  });
  if (!entry) return false;
  start(*model_.task(entry->id), machine);
  return true;
}

void QueuedTaskStarter::start_on_machines_with_room(double now) {
  if (queues_.empty()) return;
  RoomsWithoutTask rooms_without_task;
  for (auto* machine : machines_.in_filling_order()) {
    ++machines_examined_;
    auto& rooms = rooms_without_task[{group_name(*machine), machine->spot}];
    while (!search_must_fail(*machine, rooms)) {
      if (start_next(*machine, now)) continue;
      rooms.push_back(machine->room());
      break;
    }
  }
}

}  // namespace elmstall::placement
