#include "placement/gang_candidates.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "config/constants.hpp"
#include "placement/eligibility.hpp"
#include "placement/preemption.hpp"

namespace elmstall::placement {

namespace {

/// Slots. Limit of the slots counted on one machine, because the smallest task may need hardly
/// any resources.
constexpr std::size_t kMaxCountedSlots = 1000;
/// Slots. Waste of putting the first task on an empty machine. At half a slot it matters only
/// between machines that are otherwise alike.
constexpr double kEmptyMachineWaste = 0.5;

/// Whether a task of another image is fetching it there, which would slow down a fetch for the job.
bool fetches_other_image(const state::Job& job, const state::Machine& machine) {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const state::Task* task) {
    return task->may_be_on_machine() && task->reported_state() == wire::TaskState::fetching &&
           task->job->image != job.image;
  });
}

sched::GangRequest make_request(const state::Job& job, std::size_t task_count) {
  sched::GangRequest request;
  request.tasks = task_count;
  request.together = job.spec.together;
  request.zone_limit = job.spec.spread ? sched::spread_limit(job.spec.tasks) : 0;
  return request;
}

std::optional<GangPlaces> to_places(const GangCandidates& candidates,
                                    const std::optional<std::vector<sched::GangShare>>& shares) {
  if (!shares) return std::nullopt;
  GangPlaces places;
  for (const auto& share : *shares)
    places.push_back({candidates.machines[share.candidate], share.tasks});
  return places;
}

}  // namespace

void GangCandidates::add(state::Machine& machine, sched::GangCandidate candidate) {
  candidate.machine = machines.size();
  machines.push_back(&machine);
  descriptions.push_back(std::move(candidate));
}

std::size_t GangCandidates::free_slots() const {
  std::size_t slots = 0;
  for (const auto& description : descriptions) slots += description.free_slots;
  return slots;
}

double GangCandidateFinder::slots_of_smallest_task(const sched::Amount& room) const {
  const auto slots = sched::slots_in(room, model_.least_need());
  return static_cast<double>(std::min(kMaxCountedSlots, slots));
}

std::optional<sched::GangCandidate> GangCandidateFinder::describe(
    const state::Job& job, const state::Machine& machine) const {
  if (!state::Model::allowed_kind(job, machine)) return std::nullopt;
  sched::GangCandidate candidate;
  candidate.zone = machine.zone;
  const auto room = machine.room();
  candidate.free_slots = sched::slots_in(room, job.need);
  candidate.avoid = job.gang.avoided_machines.contains(machine.id);
  candidate.cached = machine.caches(job.image);
  candidate.fetching = fetches_other_image(job, machine);
  // Gangs should avoid room that arrays and services could use, and should not start on empty
  // machines. Therefore the slots that such work would lose count as waste.
  const auto taken = std::min<std::size_t>(candidate.free_slots, job.spec.tasks);
  const auto room_left = room - job.need * static_cast<double>(taken);
  const double slots_left = slots_of_smallest_task(room_left);
  candidate.has_room_for_others = slots_left > 0;
  candidate.waste =
      slots_of_smallest_task(room) - slots_left + (machine.tasks.empty() ? kEmptyMachineWaste : 0);
  return candidate;
}

GangCandidates GangCandidateFinder::free_candidates(const state::Job& job,
                                                    const state::MachineSet& with_room) const {
  GangCandidates found;
  for (auto* machine : with_room) {
    auto candidate = describe(job, *machine);
    if (candidate && candidate->free_slots > 0) found.add(*machine, std::move(*candidate));
  }
  return found;
}

GangCandidates GangCandidateFinder::preemptible_candidates(const state::Job& job,
                                                           double now) const {
  GangCandidates found;
  for (const auto& [id, machine] : model_.machines()) {
    if (!is_usable(*machine, now, settings_)) continue;
    auto candidate = describe(job, *machine);
    if (!candidate) continue;
    sched::Amount room = machine->room();
    // The work of a whole gang is lost with any of its tasks. A gang with several tasks on this
    // machine is counted once for each of them here, which overstates the cost.
    double lost_s = 0;
    for (const auto* task : machine->tasks) {
      if (!may_preempt(job, *task)) continue;
      room += task->job->need;
      lost_s += lost_work_s(*task, now);
    }
    const auto all_slots = sched::slots_in(room, job.need);
    if (all_slots == 0) continue;
    candidate->preemptible_slots = all_slots - std::min(all_slots, candidate->free_slots);
    candidate->preemption_cost_s = candidate->preemptible_slots == 0
                                       ? 0
                                       : lost_s / static_cast<double>(candidate->preemptible_slots);
    found.add(*machine, std::move(*candidate));
  }
  return found;
}

bool GangCandidateFinder::machines_suffice(const state::Job& job, std::size_t task_count) const {
  std::map<std::string, std::size_t> slots_by_zone;
  for (const auto& [id, machine] : model_.machines()) {
    if (!machine->terminating && state::Model::allowed_kind(job, *machine))
      slots_by_zone[machine->zone] += sched::slots_in(machine->capacity, job.need);
  }
  std::size_t slots = 0;
  for (const auto& [zone, in_zone] : slots_by_zone) {
    const auto usable = std::min(in_zone, job.zone_limit());
    slots = job.spec.together ? std::max(slots, usable) : slots + usable;
  }
  return slots >= task_count;
}

std::optional<GangPlaces> place_gang_in_free_room(const state::Job& job, std::size_t task_count,
                                                  const GangCandidates& candidates) {
  return to_places(candidates,
                   sched::place_gang(candidates.descriptions, make_request(job, task_count),
                                     sched::Preemption::forbidden));
}

std::optional<GangPlaces> place_gang_by_preemption(const state::Job& job, std::size_t task_count,
                                                   const GangCandidates& candidates) {
  return to_places(candidates,
                   sched::place_gang(candidates.descriptions, make_request(job, task_count),
                                     sched::Preemption::allowed));
}

void put_tasks_in_places(state::Job& job, const std::vector<state::Task*>& tasks,
                         const GangPlaces& places,
                         const std::function<void(state::Task&, state::Machine&)>& put) {
  auto next = tasks.begin();
  for (const auto& place : places) {
    if (job.spec.together) job.zone_choice = place.machine->zone;
    for (std::size_t i = 0; i < place.tasks; ++i) put(**next++, *place.machine);
  }
}

bool gang_within_quota(const state::Job& job, std::size_t task_count) {
  if (job.team == nullptr) return false;
  const auto count = static_cast<double>(task_count);
  return sched::max_tasks_within_limit(*job.team, *job.team_usage, job.need, count) >= count;
}

void choose_gang_zone(const config::Settings& settings, state::Job& job,
                      const GangCandidates& candidates, double now) {
  if (!job.spec.together || job.spec.zone) return;
  auto& gang = job.gang;
  // A new choice in each round would provision some machines in every zone and enough in none.
  if (!job.zone_choice.empty() && now < gang.zone_chosen_at + constants::kGangZoneTimeout) return;
  auto zone = sched::zone_with_most_room(candidates.descriptions);
  if (zone.empty()) zone = settings.zones[job.serial % settings.zones.size()];
  job.zone_choice = std::move(zone);
  gang.zone_chosen_at = now;
}

}  // namespace elmstall::placement
