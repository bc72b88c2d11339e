#include "placement/planner.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"
#include "placement/preemption.hpp"

namespace elmstall::placement {

std::optional<double> completion_objective_s(const config::Settings& settings,
                                             const state::Job& job) {
  if (job.spec.due_s) return job.spec.due_s;
  for (const auto& aim : settings.objectives) {
    if (aim.kind == "finished" && aim.job_class == job.spec.job_class && aim.within_s > 0)
      return aim.within_s;
  }
  return std::nullopt;
}

bool Planner::usable(const state::Machine& machine, double now, const config::Settings& settings) {
  return machine.synchronized && !machine.unresponsive && machine.recorded() &&
         !machine.terminating && !machine.quarantined && !machine.interruption_at &&
         !machine.has_unknown_jobs && now - machine.last_heartbeat < settings.silent_after_s();
}

bool Planner::may_run(const state::Job& job, const state::Machine& machine) {
  return state::Model::allowed(job, machine) && job.need.fits(machine.capacity);
}

bool Planner::startable(const state::Task& task, const state::Machine& machine, double now) const {
  const auto& job = *task.job;
  return task.phase == state::Phase::pending && task.not_before <= now && job.failed_until <= now &&
         !job.cancelled && state::Model::allowed(job, machine) && job.need.fits(machine.room()) &&
         state::Model::within_quota(job) && model_.recordable(task);
}

sched::Eligible Planner::eligible() {
  return [this](sched::TaskId id, const std::string& worker) {
    const auto* job = model_.job_of(id);
    const auto* machine = model_.find_machine(worker);
    return job != nullptr && machine != nullptr && may_run(*job, *machine);
  };
}

void Planner::dequeue(state::Task& task) {
  if (!std::exchange(task.listed, false)) return;
  for (auto& [name, group] : groups_) {
    if (group.remove(task.id)) break;
  }
}

void Planner::update_worker(state::Machine& machine, double now) {
  ++steps_;
  if (!usable(machine, now, settings_)) return remove_worker(machine);
  const auto room = machine.room();
  const auto note = [&machine](state::MachineSet& set, bool belongs) {
    if (belongs) {
      set.insert(&machine);
    } else {
      set.erase(&machine);
    }
  };
  note(machines_with_room_, model_.least_need().fits(room));
  const auto& least_of_gangs = model_.least_gang_need();
  note(machines_with_room_for_gangs_, least_of_gangs && least_of_gangs->fits(room));
  const auto in_transit = static_cast<std::size_t>(
      std::count_if(machine.tasks.begin(), machine.tasks.end(), [](const state::Task* task) {
        return task->phase == state::Phase::assigned && !task->in_last_heartbeat;
      }));
  // Machines of a group are alike; the slots follow from the task at hand.
  const double used_share = machine.used.share_of(machine.capacity);
  const double per_task =
      machine.tasks.empty() ? 0.5 : used_share / static_cast<double>(machine.tasks.size());
  const double slots = per_task > 0 ? std::floor(1.0 / per_task + 1e-6) : 1;
  const bool has_room = room.cpus > 0 && used_share + per_task <= 1 + 1e-6;
  groups_[group_name(machine)].set_worker(machine.id, in_transit, slots, has_room);
}

void Planner::update_workers(double now) {
  // What changed is looked at in every round; what only time changes, like a
  // machine's silence, once a second.
  if (now >= next_review_) {
    next_review_ = now + constants::kReviewInterval;
    model_.refresh_least_need();
    for (const auto& [id, machine] : model_.machines()) model_.mark_dirty(*machine);
    const auto may = eligible();
    for (auto& [name, group] : groups_) group.settle_inbox(may);
  }
  for (auto* machine : model_.take_dirty()) update_worker(*machine, now);
}

void Planner::remove_worker(state::Machine& machine) {
  machines_with_room_.erase(&machine);
  machines_with_room_for_gangs_.erase(&machine);
  if (const auto found = groups_.find(group_name(machine)); found != groups_.end())
    found->second.remove_worker(machine.id);
}

Planner::QueuePosition Planner::queue_position(const state::Job& job, double now) const {
  QueuePosition place{precedence(job), 0, 0,
                      estimates_.run_time(job.spec.job_class, job.spec.expect_s)};
  const auto aim = completion_objective_s(settings_, job);
  place.due = job.submitted + aim.value_or(constants::kNoAim);
  const double waited = now - job.submitted;
  if (!job.begun && waited > constants::kBeginWithin) {
    // However large or late: nobody waits for ever behind what came later.
    place.due = job.submitted - constants::kNoAim;
    return place;
  }
  if (!aim) return place;
  // What can't be in time any more lets pass what still can, and has the
  // next half of its aim as its new one.
  while (place.tier < constants::kMaxTier && now + place.work_s > place.due) {
    ++place.tier;
    place.due += *aim * constants::kTierStep;
  }
  place.due += settings_.tuning.small_first * place.work_s * (job.spec.tasks - job.finished_tasks);
  return place;
}

void Planner::reorder(double now) {
  if (now < next_reorder_) return;
  next_reorder_ = now + constants::kReorderInterval;
  // All tasks of a job stand alike.
  std::map<std::uint64_t, QueuePosition> known;
  const auto may = eligible();
  for (auto& [name, group] : groups_) {
    if (group.queued() == 0) continue;
    group.reorder([&](sched::Queued& entry) {
      const auto* job = model_.job_of(entry.id);
      if (job == nullptr) return;
      auto found = known.find(job->serial);
      if (found == known.end()) found = known.emplace(job->serial, queue_position(*job, now)).first;
      const auto& place = found->second;
      entry = {entry.id, place.precedence, place.tier, place.due, place.work_s};
    });
    moves_ += group.balance(settings_.tuning.threshold_tasks, may);
  }
}

void Planner::enlist(const state::Job& job, const std::vector<state::Task*>& tasks, double now) {
  if (tasks.empty()) return;
  std::vector<sched::Queued> block;
  const auto place = queue_position(job, now);
  for (auto* task : tasks) {
    task->listed = true;
    block.push_back({task->id, place.precedence, place.tier, place.due, place.work_s});
  }
  // The block goes to the group with the lowest mean wait that may run it.
  sched::Group* best = nullptr;
  const auto may = eligible();
  for (auto& [name, group] : groups_) {
    if (best != nullptr && group.mean() >= best->mean()) continue;
    const bool fits =
        std::any_of(group.workers().begin(), group.workers().end(),
                    [&](const auto& worker) { return may(block.front().id, worker.first); });
    if (fits) best = &group;
  }
  if (best == nullptr) {
    // No machine may run it yet: it waits outside until one comes.
    for (auto* task : tasks) task->listed = false;
    return;
  }
  best->push_block(block, may);
}

Planner::Listed Planner::list_block(state::Job& job, state::Block& block, double now) {
  Listed listed;
  std::vector<state::Task*> fresh;
  for (auto& task : block.tasks) {
    if (task.phase != state::Phase::pending) continue;
    ++listed.waiting;
    if (task.listed) continue;
    if (task.not_before <= now) {
      fresh.push_back(&task);
    } else {
      listed.whole = false;
    }
  }
  enlist(job, fresh, now);
  const auto outside = [](const state::Task* task) { return !task->listed; };
  if (std::any_of(fresh.begin(), fresh.end(), outside)) listed.whole = false;
  return listed;
}

bool Planner::list_job(state::Job& job, double now) {
  std::size_t waiting = 0;
  bool whole = true;
  const auto list = [&](state::Block& block) {
    const auto listed = list_block(job, block, now);
    waiting += listed.waiting;
    whole = whole && listed.whole;
  };
  for (const auto& [number, block] : job.blocks) list(*block);
  // Blocks of a large job appear as they are needed.
  while (waiting < constants::kWindowTasks && job.next_block < job.block_count) {
    const auto number = job.next_block++;
    if (!job.blocks.contains(number)) list(model_.load_block(job, number, nullptr));
  }
  return whole && job.next_block >= job.block_count;
}

void Planner::queue_blocks(double now) {
  auto& open = model_.open();
  for (auto it = open.begin(); it != open.end();) {
    auto& job = **it;
    const bool over = job.cancelled || job.all_done();
    const bool settled = over || (!direct(job) && list_job(job, now));
    it = settled ? open.erase(it) : std::next(it);
  }
}

void Planner::settle_planned(double now) {
  const auto planned = model_.planned();
  for (auto* task : planned) {
    if (task->job->is_gang()) continue;
    auto& machine = *task->machine;
    if (!usable(machine, now, settings_)) {
      model_.unplan(*task);
      continue;
    }
    sched::Amount taken = machine.unrecorded_use;
    for (const auto* other : machine.tasks) {
      if (other->phase == state::Phase::assigned) taken += other->job->need;
    }
    if (!task->job->need.fits(machine.capacity - taken)) continue;
    model_.unplan(*task);
    if (state::Model::allowed(*task->job, machine) && state::Model::within_quota(*task->job))
      model_.assign(*task, machine, now);
  }
}

double Planner::score(const state::Job& job, const state::Machine& machine) const {
  const auto* machine_type = model_.machine_type(machine.type);
  const double rate = machine_type == nullptr || machine_type->fetch_gb_per_s <= 0
                          ? 1
                          : machine_type->fetch_gb_per_s;
  double points = machine.caches(job.image) ? 0 : -job.spec.image_gb / rate;
  const auto found = job.per_zone.find(machine.zone);
  points -= found == job.per_zone.end()
                ? 0
                : 4.0 * found->second;  // spread, worth some seconds of fetching
  points += 2.0 * machine.used.share_of(machine.capacity);  // fill machines: empty ones can go
  return points;
}

state::Machine* Planner::best_room(const state::Job& job) const {
  state::Machine* best = nullptr;
  double best_score = 0;
  for (auto* machine : machines_with_room_) {
    if (!job.need.fits(machine->room()) || !state::Model::allowed(job, *machine)) continue;
    const double points = score(job, *machine);
    if (best != nullptr && points <= best_score) continue;
    best = machine;
    best_score = points;
  }
  return best;
}

std::optional<Planner::Candidate> Planner::best_displacing(const state::Job& job,
                                                           double now) const {
  std::optional<Candidate> best;
  for (const auto& [id, machine] : model_.machines()) {
    if (!usable(*machine, now, settings_) || !may_run(job, *machine)) continue;
    auto chosen = victims(job, *machine, job.need, now);
    if (!chosen) continue;
    Candidate candidate{machine.get(), score(job, *machine), std::move(*chosen)};
    for (const auto* task : candidate.victims) candidate.score -= lost_work(*task, now) * 0.2;
    if (!best || candidate.score > best->score) best = std::move(candidate);
  }
  return best;
}

std::optional<Planner::Candidate> Planner::displace(state::Job& job, double now) {
  // A search walks through all machines: not often for one job, and few in
  // one round.
  if (now < job.searched_at + constants::kDisplaceInterval ||
      searches_ >= constants::kDisplaceSearches || !anything_lesser(settings_, model_, job))
    return std::nullopt;
  ++searches_;
  auto place = best_displacing(job, now);
  if (!place) job.searched_at = now;
  return place;
}

void Planner::choose_zone(state::Job& job, double now) {
  if (!job.spec.together || !job.per_zone.empty() || job.spec.zone) return;
  std::map<std::string, double> free;
  for (const auto& [id, machine] : model_.machines()) {
    if (!usable(*machine, now, settings_) || (machine->spot && !job.spec.spot) ||
        !job.need.fits(machine->capacity))
      continue;
    sched::Amount room = machine->room();
    for (const auto* task : machine->tasks) {
      if (may_stop(job, *task)) room += task->job->need;
    }
    while (job.need.fits(room)) {
      room -= job.need;
      free[machine->zone] += 1;
    }
  }
  const auto best = std::max_element(
      free.begin(), free.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  if (best != free.end()) job.zone_choice = best->first;
}

bool Planner::place_service(state::Job& job, double now) {
  bool left = false;
  for (std::uint32_t number = 0; number < job.block_count; ++number) {
    for (auto& task : model_.load_block(job, number, nullptr).tasks) {
      if (task.phase != state::Phase::pending) continue;
      left = true;
      if (task.not_before > now || !model_.recordable(task)) continue;
      if (!state::Model::within_quota(job)) return true;
      if (auto* machine = best_room(job)) {
        model_.assign(task, *machine, now);
        continue;
      }
      const auto place = displace(job, now);
      if (!place) return true;
      for (auto* victim : place->victims)
        stop_task(model_, *victim, true, now, now + constants::kPreemptPause);
      model_.plan(task, *place->machine);
    }
  }
  return left;
}

void Planner::place_direct(double now) {
  std::vector<state::Job*> waiting;
  for (auto* job : model_.open()) {
    if (direct(*job) && !job->cancelled && job->failed_until <= now && !job->all_done())
      waiting.push_back(job);
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const state::Job* a, const state::Job* b) {
    const int x = precedence(*a);
    const int y = precedence(*b);
    return x != y ? x > y : a->submitted < b->submitted;
  });
  for (auto* job : waiting) {
    if (job->is_gang()) {
      if (!gangs_.advance(*job, machines_with_room_for_gangs_, now)) model_.open().erase(job);
      continue;
    }
    choose_zone(*job, now);
    if (!place_service(*job, now)) model_.open().erase(job);
  }
}

bool Planner::start_on(state::Machine& machine, double now) {
  const auto may = [&](sched::TaskId id) {
    const auto* task = model_.task(id);
    return task != nullptr && startable(*task, machine, now);
  };
  const auto own = group_name(machine);
  auto found = groups_[own].next(machine.id, may);
  // The machine's own group has nothing for it: the longest list of the others.
  if (!found) {
    std::vector<const sched::Group*> others;
    for (const auto& [name, group] : groups_) {
      if (name != own && group.queued() > 0) others.push_back(&group);
    }
    std::stable_sort(others.begin(), others.end(),
                     [](const auto* a, const auto* b) { return a->mean() > b->mean(); });
    for (const auto* group : others) {
      found = group->lend(may);
      if (found) break;
    }
  }
  if (!found) return false;
  take(*model_.task(found->id), machine, now);
  return true;
}

void Planner::take(state::Task& task, state::Machine& machine, double now) {
  dequeue(task);
  model_.assign(task, machine, now);
}

std::vector<state::Machine*> Planner::by_fullness() const {
  std::vector<state::Machine*> machines(machines_with_room_.begin(), machines_with_room_.end());
  // Spot machines first: ordinary room is what services need. Then the fuller
  // ones, so that others become empty and can go.
  std::stable_sort(machines.begin(), machines.end(),
                   [](const state::Machine* a, const state::Machine* b) {
                     if (a->spot != b->spot) return a->spot;
                     return a->tasks.size() > b->tasks.size();
                   });
  return machines;
}

void Planner::start_cached(double now) {
  // Fetching an image takes as long as a good part of a task: where a machine
  // with room holds it already, the task starts there, whosever list it is in.
  std::vector<sched::Queued> queue;
  for (const auto& [name, group] : groups_) {
    group.each([&](const sched::Queued& entry) { queue.push_back(entry); });
  }
  if (queue.empty()) return;
  std::map<std::uint32_t, std::vector<state::Machine*>> holders;
  for (auto* machine : by_fullness()) {
    ++steps_;
    for (const auto image : machine->images) holders[image].push_back(machine);
  }
  std::sort(queue.begin(), queue.end(), [](const auto& a, const auto& b) { return a.before(b); });
  for (const auto& entry : queue) {
    auto* task = model_.task(entry.id);
    if (task == nullptr) continue;
    const auto found = holders.find(task->job->image);
    if (found == holders.end()) continue;
    auto& machines = found->second;
    const auto place = std::find_if(
        machines.begin(), machines.end(),
        [&](const state::Machine* machine) { return startable(*task, *machine, now); });
    if (place == machines.end()) {
      // What has no room for this one hardly has any for the next.
      std::erase_if(machines, [&](const state::Machine* machine) {
        return !model_.least_need().fits(machine->room());
      });
      continue;
    }
    take(*task, **place, now);
  }
}

void Planner::start_heads(double now) {
  const bool queued = std::any_of(groups_.begin(), groups_.end(),
                                  [](const auto& entry) { return entry.second.queued() > 0; });
  if (!queued) return;
  Misses misses;
  for (auto* machine : by_fullness()) {
    ++steps_;
    auto& missed = misses[{group_name(*machine), machine->spot}];
    const auto hopeless = [&](const state::Machine& one) {
      return std::any_of(missed.begin(), missed.end(),
                         [&](const sched::Amount& room) { return one.room().fits(room); });
    };
    while (!hopeless(*machine)) {
      if (start_on(*machine, now)) continue;
      missed.push_back(machine->room());
      break;
    }
  }
}

void Planner::relieve_guarantees(double now) {
  // Guaranteed or higher-priority tasks that still wait may displace others.
  std::map<std::uint64_t, sched::Queued> heads;  // the first of each job
  for (const auto& [name, group] : groups_) {
    group.each([&](const sched::Queued& entry) {
      const auto* job = model_.job_of(entry.id);
      if (job == nullptr || now < job->searched_at + constants::kDisplaceInterval ||
          !anything_lesser(settings_, model_, *job))
        return;
      const auto found = heads.try_emplace(job->serial, entry);
      if (entry.before(found.first->second)) found.first->second = entry;
    });
  }
  std::vector<sched::Queued> order;
  order.reserve(heads.size());
  for (const auto& [serial, head] : heads) order.push_back(head);
  std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.before(b); });
  for (const auto& head : order) {
    if (searches_ >= constants::kDisplaceSearches) return;
    auto* task = model_.task(head.id);
    if (task == nullptr || task->phase != state::Phase::pending || task->not_before > now ||
        task->job->failed_until > now)
      continue;
    auto& job = *task->job;
    if (!guaranteed(job) && job.spec.priority == wire::Priority::idle) continue;
    if (!state::Model::within_quota(job)) continue;
    const auto place = displace(job, now);
    if (!place) continue;
    dequeue(*task);
    for (auto* victim : place->victims)
      stop_task(model_, *victim, true, now, now + constants::kPreemptPause);
    model_.plan(*task, *place->machine);
  }
}

void Planner::decide(double now) {
  searches_ = 0;
  gangs_.begin_round();
  update_workers(now);
  settle_planned(now);
  place_direct(now);
  queue_blocks(now);
  reorder(now);
  start_cached(now);
  start_heads(now);
  relieve_guarantees(now);
  // What was decided changes rooms and lists at once.
  update_workers(now);
}

}  // namespace elmstall::placement
