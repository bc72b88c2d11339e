#include "placement/gang_claims.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <string>

#include "config/constants.hpp"
#include "placement/eligibility.hpp"
#include "placement/gang_tasks.hpp"
#include "placement/preemption.hpp"

namespace elmstall::placement {

using GangState = state::Gang::State;

void GangClaims::begin_round() {
  budget_.reset();
  if (reservation_ == kNoReservation) return;
  auto* job = model_.job_by_serial(reservation_);
  if (job == nullptr || job->gang.state != GangState::claiming) {
    reservation_ = kNoReservation;
    return;
  }
  unplan_tasks(model_, gang_tasks_in_memory(*job));
}

void GangClaims::release_reservation(const state::Job& job) {
  if (has_reservation(job)) reservation_ = kNoReservation;
}

void GangClaims::advance(state::Job& job, const state::MachineSet& with_room, double now) {
  const auto tasks = gang_tasks_in_memory(job);
  const double longest_s =
      has_reservation(job) ? constants::kGangReserveMax : constants::kGangClaimMax;
  if (lost_place(job, tasks, now) || now > job.gang.since + longest_s)
    return release_claim(job, now);
  if (has_reservation(job)) return extend_reservation(job, with_room, now);
  if (places_are_free(tasks)) start_on_claimed_places(job, tasks, now);
}

bool GangClaims::lost_place(const state::Job& job, const std::vector<state::Task*>& tasks,
                            double now) const {
  return std::any_of(tasks.begin(), tasks.end(), [&](const state::Task* task) {
    if (task->is_planned()) return !is_usable(*task->machine(), now, settings_);
    // Only a reservation may have tasks without a place.
    return !has_reservation(job);
  });
}

void GangClaims::release_claim(state::Job& job, double now) {
  unplan_tasks(model_, gang_tasks_in_memory(job));
  auto& gang = job.gang;
  if (has_reservation(job)) {
    reservation_ = kNoReservation;
    gang.claim_after = now + constants::kGangReserveMax;
  }
  gang.zone_chosen_at = state::kNever;
  change_gang_state(job, GangState::waiting, now);
}

// --- claims by preemption --------------------------------------------------------------------

bool GangClaims::claim_by_preemption(state::Job& job, std::size_t task_count, double now) {
  if (!budget_.try_consume(settings_, model_, job, now)) return false;
  job.searched_at = now;
  const auto places =
      place_gang_by_preemption(job, task_count, candidate_finder_.preemptible_candidates(job, now));
  if (!places) return false;
  std::vector<state::Task*> victims;
  for (const auto& place : *places) {
    const auto need = job.need * static_cast<double>(place.tasks);
    const auto chosen = choose_victims(job, *place.machine, need, now);
    if (!chosen) return false;
    victims.insert(victims.end(), chosen->begin(), chosen->end());
  }
  if (!load_gang(model_, job)) return false;
  const double restart_after = now + constants::kPreemptPause;
  for (auto* victim : victims)
    stop_task(model_, *victim, StopMode::with_checkpoint, now, restart_after);
  put_tasks_in_places(
      job, pending_gang_tasks(job), *places,
      [&](state::Task& task, state::Machine& machine) { model_.plan(task, machine); });
  change_gang_state(job, GangState::claiming, now);
  spdlog::info("gang {} preempts {} tasks", job.id, victims.size());
  return true;
}

bool GangClaims::places_are_free(const std::vector<state::Task*>& tasks) {
  std::map<const state::Machine*, sched::Amount> need_by_machine;
  for (const auto* task : tasks) need_by_machine[task->machine()] += task->job->need;
  return std::all_of(need_by_machine.begin(), need_by_machine.end(), [](const auto& entry) {
    const auto& [machine, need] = entry;
    return need.fits(machine->capacity - use_without_planned(*machine));
  });
}

void GangClaims::start_on_claimed_places(state::Job& job, const std::vector<state::Task*>& tasks,
                                         double now) {
  GangPlaces places;
  for (const auto* task : tasks) places.push_back({task->machine(), 1});
  unplan_tasks(model_, tasks);
  attempts_.start(job, tasks, places, now);
}

// --- the reservation -------------------------------------------------------------------------

void GangClaims::reserve(state::Job& job, std::size_t task_count, const GangCandidates& candidates,
                         double now) {
  if (reservation_ != kNoReservation || now < job.submitted + constants::kGangReserveAfter ||
      now < job.gang.claim_after || candidates.machines.empty())
    return;
  // Room that is kept for a gang which all machines together can't hold is of no use to anyone.
  if (!candidate_finder_.machines_suffice(job, task_count)) return;
  reservation_ = job.serial;
  change_gang_state(job, GangState::claiming, now);
  spdlog::info("gang {} of {} tasks reserves the free room", job.id, task_count);
}

void GangClaims::extend_reservation(state::Job& job, const state::MachineSet& with_room,
                                    double now) {
  const auto candidates = candidate_finder_.free_candidates(job, with_room);
  const std::size_t task_count = job.waiting_tasks();
  if (gang_within_quota(job, task_count)) {
    const auto places = place_gang_in_free_room(job, task_count, candidates);
    if (places && load_gang(model_, job)) {
      release_reservation(job);
      return attempts_.start(job, pending_gang_tasks(job), *places, now);
    }
  }
  choose_gang_zone(settings_, job, candidates, now);
  plan_reserved_places(job, candidates);
}

void GangClaims::plan_reserved_places(state::Job& job, const GangCandidates& candidates) {
  const auto tasks = load_pending_gang_tasks(model_, job, candidates.free_slots());
  const auto required_zone = job.spec.together ? job.zone_choice : std::string();
  auto next = tasks.begin();
  for (std::size_t i = 0; i < candidates.machines.size() && next != tasks.end(); ++i) {
    auto& machine = *candidates.machines[i];
    if (!required_zone.empty() && machine.zone != required_zone) continue;
    const auto slots = candidates.descriptions[i].free_slots;
    for (std::size_t taken = 0; taken < slots && next != tasks.end(); ++taken) {
      const auto in_zone = job.per_zone.find(machine.zone);
      const bool zone_is_full =
          in_zone != job.per_zone.end() && in_zone->second >= job.zone_limit();
      if (zone_is_full || !state::Model::within_quota(job)) break;
      model_.plan(**next++, machine);
    }
  }
}

}  // namespace elmstall::placement
