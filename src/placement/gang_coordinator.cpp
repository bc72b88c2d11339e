#include "placement/gang_coordinator.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "config/constants.hpp"
#include "placement/planner.hpp"
#include "placement/preemption.hpp"

namespace elmstall::placement {

namespace k = constants;
using State = state::Gang::State;
using wire::EndCause;
using wire::TaskState;

namespace {

void change_state(state::Job& job, State state, double now) {
  auto& gang = job.gang;
  if (gang.state == state) return;
  if (!state::may_follow(gang.state, state))
    spdlog::error("gang {}: {} does not follow {}", job.id, to_text(state), to_text(gang.state));
  spdlog::info("gang {}: {}, was {}", job.id, to_text(state), to_text(gang.state));
  gang.state = state;
  gang.since = now;
}

std::vector<state::Task*> tasks_in_memory(const state::Job& job) {
  std::vector<state::Task*> tasks;
  for (const auto& [number, block] : job.blocks) {
    for (auto& task : block->tasks) tasks.push_back(&task);
  }
  return tasks;
}

/// Ends a task without time to save.
void end_task(state::Model& model, state::Task& task) {
  if (task.phase == state::Phase::planned) return model.unplan(task);
  if (task.phase != state::Phase::assigned) return;
  if (!task.run_sent) return model.unassign(task);  // it never left us
  task.stopping = true;
  task.grace_period_s = 0;
  model.attention().insert(task.machine);
}

/// The machine will hear and carry out a stop within a moment, and lives long
/// enough to save.
bool can_checkpoint(const state::Task& task, double silent_after_s, double now) {
  const auto& machine = *task.machine;
  const double checkpoint_s = task.job->spec.checkpoint_s;
  const bool leaves = machine.interruption_at &&
                      *machine.interruption_at - now < checkpoint_s + k::kGangCheckpointMargin;
  return machine.synchronized && !machine.unresponsive && !leaves &&
         now - machine.last_heartbeat < silent_after_s;
}

}  // namespace

void stop_gang(state::Model& model, state::Job& job, bool save, double now, double not_before) {
  auto& gang = job.gang;
  const auto tasks = tasks_in_memory(job);
  for (auto* task : tasks) task->not_before = std::max(task->not_before, not_before);
  switch (gang.state) {
    case State::claiming:
      for (auto* task : tasks) end_task(model, *task);
      return change_state(job, State::waiting, now);
    case State::starting:
    case State::running:
      break;
    default:
      return;  // on no machine, or on its way there
  }
  const double silent_after_s = model.settings().silent_after_s();
  const bool orderly =
      save && gang.state == State::running && job.spec.checkpoint_every_s > 0 &&
      std::all_of(tasks.begin(), tasks.end(), [&](const state::Task* task) {
        return task->phase == state::Phase::assigned && can_checkpoint(*task, silent_after_s, now);
      });
  if (!orderly) {
    for (auto* task : tasks) end_task(model, *task);
    return change_state(job, State::ending, now);
  }
  for (auto* task : tasks) {
    task->stopping = true;
    task->grace_period_s = job.spec.checkpoint_s;
    model.attention().insert(task->machine);
  }
  change_state(job, State::stopping, now);
}

std::vector<state::Task*> GangCoordinator::tasks_of(state::Job& job) const {
  for (std::uint32_t number = 0; number < job.block_count; ++number)
    (void)model_.load_block(job, number, nullptr);
  return tasks_in_memory(job);
}

std::vector<state::Task*> GangCoordinator::pending_of(state::Job& job) const {
  auto tasks = tasks_of(job);
  std::erase_if(tasks,
                [](const state::Task* task) { return task->phase != state::Phase::pending; });
  return tasks;
}

// --- takeover and heartbeats ------------------------------------------------------------

void GangCoordinator::recover(state::Job& job, double now) const {
  auto& gang = job.gang;
  const auto tasks = tasks_in_memory(job);
  for (const auto* task : tasks) gang.attempt = std::max(gang.attempt, task->attempt);
  const auto assigned = [](const state::Task* task) {
    return task->phase == state::Phase::assigned;
  };
  if (std::none_of(tasks.begin(), tasks.end(), assigned)) return;
  // Whether it has begun will be seen in the heartbeats. A task that waits by then
  // began to do so at some time before now.
  gang.state = State::starting;
  gang.since = now;
  gang.gathering_since = now - settings_.gang_wait_s / 2;
}

void GangCoordinator::on_state(state::Task& task, TaskState state, double now) {
  auto& job = *task.job;
  auto& gang = job.gang;
  if (task.attempt != gang.attempt || job.cancelled) return;
  if (state == TaskState::gathering) {
    gang.gathering_since = std::min(gang.gathering_since, now);
  } else if (state == TaskState::running && !gang.broken) {
    gang.broken = true;
    model_.open().insert(&job);
  } else if (state == TaskState::checkpointing && !task.stopping) {
    // A former leader stops it: the others must hear of it in time.
    if (gang.state == State::starting) change_state(job, State::running, now);
    stop_gang(model_, job, true, now, state::kNever);
  }
}

void GangCoordinator::on_exit(state::Task& task, EndCause cause, double now) {
  auto& job = *task.job;
  auto& gang = job.gang;
  const bool refused =
      cause == EndCause::no_room || cause == EndCause::in_use || cause == EndCause::unknown;
  if (refused || cause == EndCause::error) gang.avoided.insert(task.machine->id);
  if (refused) {
    // The rest may still wait for a replacement.
    task.not_before = std::max(task.not_before, now + k::kGangRefusedPause);
  } else {
    gang.broken = true;
  }
  if (cause == EndCause::incomplete) {
    // Whoever has no image yet made the others wait for nothing.
    for (const auto* other : tasks_in_memory(job)) {
      if (other->phase == state::Phase::assigned && other->state == TaskState::fetching)
        gang.avoided.insert(other->machine->id);
    }
  }
  model_.unassign(task);
}

void GangCoordinator::on_done(state::Job& job, double now) {
  if (!job.cancelled && job.gang.state != State::done) complete(job, now);
}

void GangCoordinator::on_late_done(state::Job& job, double now) {
  auto& gang = job.gang;
  if (job.cancelled || gang.state == State::done || gang.completed) return;
  gang.completed = true;
  spdlog::info("gang {} is complete by an earlier attempt", job.id);
  if (gang.state == State::starting || gang.state == State::running)
    return end_attempt(job, "an earlier one completed", now);
  if (job.on_machines == 0 || gang.state == State::claiming) complete(job, now);
}

void GangCoordinator::complete(state::Job& job, double now) {
  for (const auto* task : tasks_of(job)) {
    if (task->running_since == state::kNever) continue;
    estimates_.learn(job.spec.job_class, job.spec.expect_s, now - task->running_since);
    break;  // they all ran for the same time
  }
  // A block forgets its tasks with the last of them.
  for (const auto& [number, block] : job.blocks) {
    for (std::size_t left = block->tasks.size(), i = 0; i < left; ++i) {
      auto& task = block->tasks[i];
      if (task.phase == state::Phase::planned) model_.unplan(task);
      if (task.phase != state::Phase::done) model_.complete(task);
    }
  }
  change_state(job, State::done, now);
}

// --- one step ------------------------------------------------------------------------------

bool GangCoordinator::advance(state::Job& job, const state::MachineSet& with_room, double now) {
  auto& gang = job.gang;
  switch (gang.state) {
    case State::waiting:
      place(job, with_room, now);
      return true;
    case State::claiming:
      settle_claim(job, with_room, now);
      return true;
    case State::starting:
      watch_start(job, with_room, now);
      return gang.state != State::running;
    case State::running:
      if (!pending_of(job).empty()) end_attempt(job, "a task is gone", now);
      return gang.state != State::running;
    case State::stopping:
    case State::ending:
      if (job.on_machines == 0) finish_attempt(job, now);
      // A task's end brings it back.
      return gang.state == State::waiting;
    case State::done:
      return false;
  }
  return true;
}

bool GangCoordinator::may_run(const state::Task& task) {
  auto& gang = task.job->gang;
  if (gang.state != State::starting || task.attempt != gang.attempt) return false;
  if (gang.committed) return true;
  const auto tasks = tasks_of(*task.job);
  gang.committed = std::all_of(tasks.begin(), tasks.end(), [&](const state::Task* other) {
    return other->phase == state::Phase::assigned && other->attempt == gang.attempt &&
           other->block->record->written >= other->required_version;
  });
  return gang.committed;
}

// --- placement -------------------------------------------------------------------------------

bool GangCoordinator::within_quota(const state::Job& job, std::size_t tasks) {
  if (job.team == nullptr) return false;
  const auto count = static_cast<double>(tasks);
  return sched::within_limit_count(*job.team, *job.team_usage, job.need, count) >= count;
}

std::optional<sched::GangSite> GangCoordinator::site_of(const state::Job& job,
                                                        const state::Machine& machine) const {
  if (!state::Model::allowed_kind(job, machine)) return std::nullopt;
  sched::GangSite site;
  site.zone = machine.zone;
  const auto room = machine.room();
  site.free_slots = sched::slots_in(room, job.need);
  site.avoid = job.gang.avoided.contains(machine.id);
  site.cached = machine.caches(job.image);
  site.fetching =
      std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const state::Task* task) {
        return task->phase == state::Phase::assigned && task->state == TaskState::fetching &&
               task->job->image != job.image;
      });
  // What arrays and services could use is left to them, and whole machines are
  // best left whole.
  const auto taken = std::min<std::size_t>(site.free_slots, job.spec.tasks);
  const auto left = room - job.need * static_cast<double>(taken);
  const auto slots = [&](const sched::Amount& amount) {
    constexpr std::size_t most = 1000;
    return static_cast<double>(std::min(most, sched::slots_in(amount, model_.least_need())));
  };
  site.inviting = slots(left) > 0;
  site.waste = slots(room) - slots(left) + (machine.tasks.empty() ? 0.5 : 0);
  return site;
}

GangCoordinator::Sites GangCoordinator::free_sites(const state::Job& job,
                                                   const state::MachineSet& with_room) const {
  Sites found;
  for (auto* machine : with_room) {
    auto site = site_of(job, *machine);
    if (!site || site->free_slots == 0) continue;
    site->machine = found.machines.size();
    found.machines.push_back(machine);
    found.sites.push_back(std::move(*site));
  }
  return found;
}

GangCoordinator::Sites GangCoordinator::displaceable_sites(const state::Job& job,
                                                           double now) const {
  Sites found;
  for (const auto& [id, machine] : model_.machines()) {
    if (!Planner::usable(*machine, now, settings_)) continue;
    auto site = site_of(job, *machine);
    if (!site) continue;
    sched::Amount room = machine->room();
    double cost = 0;
    for (const auto* task : machine->tasks) {
      if (!may_stop(job, *task)) continue;
      room += task->job->need;
      cost += lost_work(*task, now);
    }
    const auto all = sched::slots_in(room, job.need);
    if (all == 0) continue;
    site->extra_slots = all - std::min(all, site->free_slots);
    site->extra_cost = site->extra_slots == 0 ? 0 : cost / static_cast<double>(site->extra_slots);
    site->machine = found.machines.size();
    found.machines.push_back(machine.get());
    found.sites.push_back(std::move(*site));
  }
  return found;
}

sched::GangRequest GangCoordinator::request_of(const state::Job& job, std::size_t tasks) {
  sched::GangRequest request;
  request.tasks = tasks;
  request.together = job.spec.together;
  request.zone_limit = job.spec.spread ? sched::spread_limit(job.spec.tasks) : 0;
  return request;
}

void GangCoordinator::place(state::Job& job, const state::MachineSet& with_room, double now) {
  auto& gang = job.gang;
  if (now < gang.tried_at + k::kGangRetryInterval) return;
  const auto tasks = pending_of(job);
  const bool free = std::all_of(tasks.begin(), tasks.end(),
                                [&](const state::Task* task) { return task->not_before <= now; });
  if (!free || !within_quota(job, tasks.size())) return;
  gang.tried_at = now;
  const auto sites = free_sites(job, with_room);
  if (const auto shares = sched::place_gang(sites.sites, request_of(job, tasks.size()), false))
    return start(job, tasks, sites, *shares, now);
  if (displace(job, tasks, now)) return;
  choose_zone(job, sites, now);
  reserve(job, tasks, sites, now);
}

void GangCoordinator::start(state::Job& job, const std::vector<state::Task*>& tasks,
                            const Sites& sites, const std::vector<sched::GangShare>& shares,
                            double now) {
  auto& gang = job.gang;
  std::uint64_t attempt = gang.attempt;
  for (const auto* task : tasks) attempt = std::max(attempt, task->attempt);
  gang.attempt = attempt + 1;
  gang.committed = gang.broken = false;
  gang.gathering_since = std::numeric_limits<double>::infinity();
  auto next = tasks.begin();
  for (const auto& share : shares) {
    auto& machine = *sites.machines[share.site];
    if (job.spec.together) job.zone_choice = machine.zone;
    for (std::size_t i = 0; i < share.tasks; ++i)
      model_.assign(**next++, machine, gang.attempt, now);
  }
  if (reserving_ == job.serial) reserving_ = 0;
  change_state(job, State::starting, now);
  spdlog::info("gang {} starts attempt {} on {} machines", job.id, gang.attempt, shares.size());
}

bool GangCoordinator::displace(state::Job& job, const std::vector<state::Task*>& tasks,
                               double now) {
  if (now < job.searched_at + k::kDisplaceInterval || searches_ >= k::kDisplaceSearches ||
      !anything_lesser(settings_, model_, job))
    return false;
  ++searches_;
  job.searched_at = now;
  const auto sites = displaceable_sites(job, now);
  const auto shares = sched::place_gang(sites.sites, request_of(job, tasks.size()), true);
  if (!shares) return false;
  std::vector<state::Task*> stopped;
  for (const auto& share : *shares) {
    const auto chosen =
        victims(job, *sites.machines[share.site], job.need * static_cast<double>(share.tasks), now);
    if (!chosen) return false;
    stopped.insert(stopped.end(), chosen->begin(), chosen->end());
  }
  for (auto* victim : stopped) stop_task(model_, *victim, true, now, now + k::kPreemptPause);
  auto next = tasks.begin();
  for (const auto& share : *shares) {
    auto& machine = *sites.machines[share.site];
    if (job.spec.together) job.zone_choice = machine.zone;
    for (std::size_t i = 0; i < share.tasks; ++i) model_.plan(**next++, machine);
  }
  change_state(job, State::claiming, now);
  spdlog::info("gang {} takes the room of {} lesser tasks", job.id, stopped.size());
  return true;
}

void GangCoordinator::choose_zone(state::Job& job, const Sites& sites, double now) const {
  // Machines are rented for the zone that the gang is most likely to fit in;
  // not for another one after each look.
  if (!job.spec.together || job.spec.zone) return;
  auto& gang = job.gang;
  if (!job.zone_choice.empty() && now < gang.zone_chosen_at + k::kGangZonePatience) return;
  auto zone = sched::zone_with_most_room(sites.sites);
  if (zone.empty()) zone = settings_.zones[job.serial % settings_.zones.size()];
  job.zone_choice = std::move(zone);
  gang.zone_chosen_at = now;
}

void GangCoordinator::reserve(state::Job& job, const std::vector<state::Task*>& tasks,
                              const Sites& sites, double now) {
  auto& gang = job.gang;
  if (reserving_ != 0 || now < job.submitted + k::kGangReserveAfter || now < gang.claim_after ||
      sites.machines.empty())
    return;
  reserving_ = job.serial;
  change_state(job, State::claiming, now);
  spdlog::info("gang {} of {} tasks keeps what room there is", job.id, tasks.size());
}

void GangCoordinator::begin_round() {
  searches_ = 0;
  if (reserving_ == 0) return;
  auto* job = model_.job_by_serial(reserving_);
  if (job == nullptr || job->gang.state != State::claiming) {
    reserving_ = 0;
    return;
  }
  // Work that goes before it takes its pick first; what is left is kept anew.
  unplan(tasks_of(*job));
}

void GangCoordinator::unplan(const std::vector<state::Task*>& tasks) {
  for (auto* task : tasks) {
    if (task->phase == state::Phase::planned) model_.unplan(*task);
  }
}

bool GangCoordinator::claim_has_room(const std::vector<state::Task*>& tasks) {
  std::map<const state::Machine*, sched::Amount> wanted;
  for (const auto* task : tasks) wanted[task->machine] += task->job->need;
  return std::all_of(wanted.begin(), wanted.end(), [](const auto& entry) {
    const auto& machine = *entry.first;
    sched::Amount taken = machine.unrecorded_use;
    for (const auto* task : machine.tasks) {
      if (task->phase == state::Phase::assigned) taken += task->job->need;
    }
    return entry.second.fits(machine.capacity - taken);
  });
}

void GangCoordinator::settle_claim(state::Job& job, const state::MachineSet& with_room,
                                   double now) {
  const bool reserving = reserving_ == job.serial;
  const double most = reserving ? k::kGangReserveMax : k::kGangClaimMax;
  const auto tasks = tasks_of(job);
  // A machine that is given up takes the places on it along.
  const bool lost = std::any_of(tasks.begin(), tasks.end(), [&](const state::Task* task) {
    return task->phase == state::Phase::planned ? !Planner::usable(*task->machine, now, settings_)
                                                : !reserving;
  });
  if (lost || now > job.gang.since + most) return give_up_claim(job, now);
  if (reserving) return widen_reservation(job, tasks, with_room, now);
  if (!claim_has_room(tasks)) return;
  Sites sites;
  std::vector<sched::GangShare> shares;
  for (auto* task : tasks) {
    shares.push_back({sites.machines.size(), 1, 0});
    sites.machines.push_back(task->machine);
  }
  unplan(tasks);
  start(job, tasks, sites, shares, now);
}

void GangCoordinator::widen_reservation(state::Job& job, const std::vector<state::Task*>& tasks,
                                        const state::MachineSet& with_room, double now) {
  const auto sites = free_sites(job, with_room);
  if (within_quota(job, tasks.size())) {
    if (const auto shares = sched::place_gang(sites.sites, request_of(job, tasks.size()), false))
      return start(job, tasks, sites, *shares, now);
  }
  choose_zone(job, sites, now);
  keep_places(job, tasks, sites);
}

void GangCoordinator::keep_places(state::Job& job, const std::vector<state::Task*>& tasks,
                                  const Sites& sites) {
  const auto zone = job.spec.together ? job.zone_choice : std::string();
  const auto limit = job.spec.spread ? sched::spread_limit(job.spec.tasks) : job.spec.tasks;
  auto next = tasks.begin();
  for (std::size_t i = 0; i < sites.machines.size() && next != tasks.end(); ++i) {
    auto& machine = *sites.machines[i];
    if (!zone.empty() && machine.zone != zone) continue;
    const auto slots = sites.sites[i].free_slots;
    for (std::size_t taken = 0; taken < slots && next != tasks.end(); ++taken) {
      const auto there = job.per_zone.find(machine.zone);
      const bool full = there != job.per_zone.end() && there->second >= limit;
      if (full || !state::Model::within_quota(job)) break;
      model_.plan(**next++, machine);
    }
  }
}

void GangCoordinator::give_up_claim(state::Job& job, double now) {
  unplan(tasks_of(job));
  auto& gang = job.gang;
  if (reserving_ == job.serial) {
    reserving_ = 0;
    gang.claim_after = now + k::kGangReserveMax;
  }
  gang.zone_chosen_at = state::kNever;
  change_state(job, State::waiting, now);
}

// --- an attempt --------------------------------------------------------------------------------

void GangCoordinator::watch_start(state::Job& job, const state::MachineSet& with_room, double now) {
  const auto tasks = tasks_of(job);
  const auto running = [](const state::Task* task) {
    return task->phase == state::Phase::assigned && task->running_since != state::kNever;
  };
  if (std::all_of(tasks.begin(), tasks.end(), running))
    return change_state(job, State::running, now);
  const bool lost = std::any_of(tasks.begin(), tasks.end(), [](const state::Task* task) {
    return task->phase == state::Phase::pending;
  });
  if (!lost) return;
  if (job.on_machines == 0) return end_attempt(job, "all its tasks are gone", now);
  // A gang that has begun answers a loss by itself, and so does one that was
  // told to end; what is left of it makes room for the next attempt.
  if (job.gang.broken) return end_attempt(job, "a task is gone", now);
  if (replaceable(job)) return replace(job, with_room, now);
  if (!time_for_replacement(job, nullptr, now)) end_attempt(job, "it can't be completed", now);
}

bool GangCoordinator::replaceable(state::Job& job) const {
  // Heartbeats are late: all the others must have been seen to wait, by a heartbeat
  // that shows what was ordered before it.
  const auto tasks = tasks_of(job);
  return std::all_of(tasks.begin(), tasks.end(), [](const state::Task* task) {
    if (task->phase != state::Phase::assigned || !task->run_sent) return true;
    const bool waits = task->state == TaskState::fetching || task->state == TaskState::gathering;
    return task->in_last_heartbeat && waits && task->machine->synchronized;
  });
}

bool GangCoordinator::time_for_replacement(const state::Job& job, const state::Machine* machine,
                                           double now) const {
  double fetch_s = 0;
  if (machine != nullptr && !machine->caches(job.image)) {
    const auto* type = model_.machine_type(machine->type);
    const double rate = type == nullptr ? 0 : type->fetch_gb_per_s;
    fetch_s = rate > 0 ? 2 * job.spec.image_gb / rate : 0;
  }
  return now + fetch_s + k::kGangReplaceMargin < job.gang.gathering_since + settings_.gang_wait_s;
}

void GangCoordinator::replace(state::Job& job, const state::MachineSet& with_room, double now) {
  auto& gang = job.gang;
  if (now < gang.tried_at + k::kGangRetryInterval) return;
  gang.tried_at = now;
  const auto lost = pending_of(job);
  if (!time_for_replacement(job, nullptr, now)) return end_attempt(job, "time is short", now);
  for (auto* task : lost) {
    if (task->not_before > now) return;
    state::Machine* best = nullptr;
    for (auto* machine : with_room) {
      // Where an attempt has been it must not be started again.
      const bool fits = job.need.fits(machine->room()) && state::Model::allowed(job, *machine) &&
                        !gang.avoided.contains(machine->id) && state::Model::within_quota(job) &&
                        time_for_replacement(job, machine, now);
      if (fits && (best == nullptr || (machine->caches(job.image) && !best->caches(job.image))))
        best = machine;
    }
    if (best == nullptr) return;
    spdlog::info("gang {}: task {} starts again on machine {}", job.id, task->index, best->id);
    model_.assign(*task, *best, gang.attempt, now);
  }
}

void GangCoordinator::end_attempt(state::Job& job, const char* why, double now) {
  spdlog::info("gang {} ends attempt {}: {}", job.id, job.gang.attempt, why);
  change_state(job, State::ending, now);
  for (auto* task : tasks_of(job)) end_task(model_, *task);
  if (job.on_machines == 0) finish_attempt(job, now);
}

void GangCoordinator::finish_attempt(state::Job& job, double now) {
  auto& gang = job.gang;
  if (gang.completed) return complete(job, now);
  gang.committed = gang.broken = false;
  gang.tried_at = state::kNever;
  change_state(job, State::waiting, now);
}

}  // namespace elmstall::placement
