#include "engine/planner.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::engine {

using wire::TaskState;

void stop_task(Model& model, Task& task, bool save, double not_before) {
  task.not_before = std::max(task.not_before, not_before);
  if (task.phase == Phase::planned) return model.unplan(task);
  if (task.phase != Phase::assigned || task.stopping) return;
  if (!task.offered) return model.release(task);  // it never left us
  task.stopping = true;
  const auto& spec = task.job->spec;
  const bool worth = save && spec.checkpoint_every_s > 0 && task.state == TaskState::running;
  task.wind_down_s = worth ? spec.save_s : 0;
}

std::optional<double> aim_s(const config::Settings& settings, const Job& job) {
  if (job.spec.due_s) return job.spec.due_s;
  for (const auto& aim : settings.objectives) {
    if (aim.kind == "finished" && aim.lane == job.spec.lane && aim.within_s > 0) return aim.within_s;
  }
  return std::nullopt;
}

bool Planner::usable(const Host& host, double now, const config::Settings& settings) {
  return host.synced && host.recorded() && !host.releasing && !host.quarantined && !host.recall_at && !host.foreign &&
         now - host.last_report < settings.silent_after_s();
}

bool Planner::may_run(const Job& job, const Host& host) const {
  return model_.allowed(job, host) && job.need.fits(host.capacity);
}

bool Planner::startable(const Task& task, const Host& host, double now) const {
  const auto& job = *task.job;
  return task.phase == Phase::pending && task.not_before <= now && job.failed_until <= now && !job.cancelled &&
         model_.allowed(job, host) && job.need.fits(host.room()) && model_.within_quota(job);
}

sched::Eligible Planner::eligible() {
  return [this](sched::TaskId id, const std::string& worker) {
    const auto* job = model_.job_of(id);
    const auto* host = model_.find_host(worker);
    return job != nullptr && host != nullptr && may_run(*job, *host);
  };
}

bool Planner::guaranteed(const Job& job) const {
  const auto* team = settings_.team(job.spec.team);
  return team != nullptr && sched::within_guarantee(*team, model_.usage(job.spec.team) + job.need);
}

int Planner::rank(const Job& job) const {
  // Priority first, then guaranteed work, then (in the lists) the deadline.
  return static_cast<int>(job.spec.priority) * 2 + (guaranteed(job) ? 1 : 0);
}

void Planner::forget(const Task& task) {
  if (!task.listed) return;
  for (auto& [name, group] : groups_) {
    if (group.remove(task.id)) break;
  }
}

void Planner::update_workers(double now) {
  for (auto& [name, group] : groups_) {
    std::vector<std::string> lost;
    for (const auto& [worker, state] : group.workers()) {
      const auto* host = model_.find_host(worker);
      if (host == nullptr || !usable(*host, now, settings_)) lost.push_back(worker);
    }
    for (const auto& worker : lost) group.remove_worker(worker);
  }
  for (const auto& [id, host] : model_.hosts()) {
    if (!usable(*host, now, settings_)) continue;
    std::size_t in_transit = 0;
    for (const auto* task : host->tasks) {
      if (task->phase == Phase::assigned && !task->seen) ++in_transit;
    }
    // Machines of a group are alike; the slots follow from the task at hand.
    const auto room = host->room();
    const double used_share = host->used.share_of(host->capacity);
    const double per_task = host->tasks.empty() ? 0.5 : used_share / static_cast<double>(host->tasks.size());
    const double slots = per_task > 0 ? std::floor(1.0 / per_task + 1e-6) : 1;
    const bool has_room = room.cpus > 0 && used_share + per_task <= 1 + 1e-6;
    groups_[group_name(*host)].set_worker(id, in_transit, slots, has_room);
  }
  const auto may = eligible();
  for (auto& [name, group] : groups_) group.settle_inbox(may);
}

void Planner::refresh(sched::Queued& entry, const Job& job, double now) const {
  entry.rank = rank(job);
  entry.work_s = estimates_.run_time(job.spec.lane, job.spec.expect_s);
  entry.tier = 0;
  const auto aim = aim_s(settings_, job);
  entry.due = job.submitted + aim.value_or(constants::kNoAim);
  if (!aim) return;
  // What can't be in time any more lets pass what still can, and has the
  // next half of its aim as its new one.
  while (entry.tier < constants::kMaxTier && now + entry.work_s > entry.due) {
    ++entry.tier;
    entry.due += *aim * constants::kTierStep;
  }
  entry.due += settings_.tuning.small_first * entry.work_s * (job.spec.tasks - job.finished_tasks);
}

void Planner::reorder(double now) {
  if (now < next_reorder_) return;
  next_reorder_ = now + constants::kReorderEvery;
  for (auto& [name, group] : groups_) {
    group.reorder([&](sched::Queued& entry) {
      if (const auto* job = model_.job_of(entry.id)) refresh(entry, *job, now);
    });
  }
}

void Planner::enlist(Job& job, std::vector<Task*> tasks, double now) {
  if (tasks.empty()) return;
  std::vector<sched::Queued> block;
  for (auto* task : tasks) {
    task->listed = true;
    sched::Queued entry;
    entry.id = task->id;
    refresh(entry, job, now);
    block.push_back(entry);
  }
  // The block goes to the group with the lowest mean wait that may run it.
  sched::Group* best = nullptr;
  const auto may = eligible();
  for (auto& [name, group] : groups_) {
    const bool fits = std::any_of(group.workers().begin(), group.workers().end(),
                                  [&](const auto& worker) { return may(block.front().id, worker.first); });
    if (fits && (best == nullptr || group.mean() < best->mean())) best = &group;
  }
  if (best == nullptr) {
    // No machine may run it yet: it waits outside until one comes.
    for (auto* task : tasks) task->listed = false;
    return;
  }
  best->push_block(block, may);
}

void Planner::queue_blocks(double now) {
  for (auto& [id, job] : model_.jobs()) {
    if (job->cancelled || direct(*job)) continue;
    std::size_t waiting = 0;
    for (const auto& [number, block] : job->blocks) {
      std::vector<Task*> fresh;
      for (auto& task : block->tasks) {
        if (task.phase != Phase::pending) continue;
        ++waiting;
        if (!task.listed && task.not_before <= now) fresh.push_back(&task);
      }
      enlist(*job, std::move(fresh), now);
    }
    // Blocks of a large job appear as they are needed.
    while (waiting < constants::kWindowTasks && job->next_block < job->block_count) {
      const auto number = job->next_block++;
      if (job->blocks.contains(number)) continue;
      auto& block = model_.load_block(*job, number, nullptr);
      std::vector<Task*> fresh;
      for (auto& task : block.tasks) fresh.push_back(&task);
      waiting += fresh.size();
      enlist(*job, std::move(fresh), now);
    }
  }
}

void Planner::settle_planned(double now) {
  std::vector<Task*> planned;
  for (const auto& [id, host] : model_.hosts()) {
    for (auto* task : host->tasks) {
      if (task->phase == Phase::planned) planned.push_back(task);
    }
  }
  for (auto* task : planned) {
    auto& host = *task->host;
    if (!usable(host, now, settings_)) {
      model_.unplan(*task);
      continue;
    }
    sched::Amount taken = host.strangers;
    for (const auto* other : host.tasks) {
      if (other->phase == Phase::assigned) taken += other->job->need;
    }
    if (!task->job->need.fits(host.capacity - taken)) continue;
    model_.unplan(*task);
    if (model_.allowed(*task->job, host) && model_.within_quota(*task->job)) model_.assign(*task, host, now);
  }
}

double Planner::lost_work(const Task& victim, double now) const {
  if (victim.running_since == kNever) return 0;
  const double ran = now - victim.running_since;
  const double every = victim.job->spec.checkpoint_every_s;
  return every > 0 ? victim.job->spec.save_s : ran;
}

bool Planner::may_stop(const Job& job, const Task& victim) const {
  const auto& other = *victim.job;
  if (victim.phase != Phase::assigned || victim.stopping) return false;
  const bool higher = other.spec.priority > job.spec.priority;
  const bool lower = other.spec.priority < job.spec.priority;
  if (other.spec.team == job.spec.team) return lower;
  // Guarantees go before priorities, here as there: were one work stopped for
  // its priority and the other for its guarantee, the two would displace each
  // other for ever.
  const auto* team = settings_.team(other.spec.team);
  const bool kept = team != nullptr && sched::within_guarantee(*team, model_.usage(other.spec.team));
  const bool owed = guaranteed(job);
  if (kept != owed) return owed && (!higher || !other.service());
  return lower;
}

std::optional<std::vector<Task*>> Planner::victims(const Job& job, const Host& host, double now) const {
  std::vector<Task*> candidates;
  for (auto* task : host.tasks) {
    if (may_stop(job, *task)) candidates.push_back(task);
  }
  std::sort(candidates.begin(), candidates.end(), [&](const Task* a, const Task* b) {
    const double x = lost_work(*a, now);
    const double y = lost_work(*b, now);
    return x != y ? x < y : a->id < b->id;
  });
  auto room = host.room();
  std::vector<Task*> chosen;
  for (auto* task : candidates) {
    if (job.need.fits(room)) break;
    room += task->job->need;
    chosen.push_back(task);
  }
  if (!job.need.fits(room)) return std::nullopt;
  return chosen;
}

double Planner::score(const Job& job, const Host& host) const {
  const auto* flavor = model_.flavor(host.type);
  const double rate = flavor == nullptr || flavor->fetch_gb_per_s <= 0 ? 1 : flavor->fetch_gb_per_s;
  const bool cached = std::find(host.images.begin(), host.images.end(), job.spec.image) != host.images.end();
  double points = cached ? 0 : -job.spec.image_gb / rate;
  const auto found = job.per_zone.find(host.zone);
  points -= found == job.per_zone.end() ? 0 : 4.0 * found->second;  // spread, worth some seconds of fetching
  points += 2.0 * host.used.share_of(host.capacity);  // fill machines: empty ones can go
  return points;
}

std::optional<Planner::Candidate> Planner::best_host(const Job& job, double now, bool may_preempt) {
  std::optional<Candidate> best;
  for (const auto& [id, host] : model_.hosts()) {
    if (!usable(*host, now, settings_) || !may_run(job, *host)) continue;
    Candidate candidate{host.get(), score(job, *host), {}};
    if (!job.need.fits(host->room())) {
      if (!may_preempt) continue;
      auto chosen = victims(job, *host, now);
      if (!chosen) continue;
      candidate.victims = std::move(*chosen);
      // Room that is free already is worth more than room that must be made.
      candidate.score -= 5;
      for (const auto* task : candidate.victims) candidate.score -= lost_work(*task, now) * 0.2;
    }
    if (!best || candidate.score > best->score) best = std::move(candidate);
  }
  return best;
}

void Planner::choose_zone(Job& job, double now) {
  if (!job.spec.together || !job.per_zone.empty() || job.spec.zone) return;
  std::map<std::string, double> free;
  for (const auto& [id, host] : model_.hosts()) {
    if (!usable(*host, now, settings_) || (host->spot && !job.spec.spot) || !job.need.fits(host->capacity)) continue;
    sched::Amount room = host->room();
    for (const auto* task : host->tasks) {
      if (may_stop(job, *task)) room += task->job->need;
    }
    while (job.need.fits(room)) {
      room -= job.need;
      free[host->zone] += 1;
    }
  }
  const auto best = std::max_element(free.begin(), free.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  if (best != free.end()) job.zone_choice = best->first;
}

void Planner::place_direct(double now) {
  std::vector<Job*> waiting;
  for (auto& [id, job] : model_.jobs()) {
    if (!direct(*job) || job->cancelled || job->failed_until > now || job->all_done()) continue;
    waiting.push_back(job.get());
  }
  std::stable_sort(waiting.begin(), waiting.end(), [this](const Job* a, const Job* b) {
    const int x = rank(*a);
    const int y = rank(*b);
    return x != y ? x > y : a->submitted < b->submitted;
  });
  for (auto* job : waiting) {
    choose_zone(*job, now);
    if (job->gang()) {
      place_gang(*job, now);
      continue;
    }
    for (std::uint32_t number = 0; number < job->block_count; ++number) {
      auto& block = model_.load_block(*job, number, nullptr);
      bool stuck = false;
      for (auto& task : block.tasks) {
        if (task.phase != Phase::pending || task.not_before > now) continue;
        if (!model_.within_quota(*job)) { stuck = true; break; }
        auto place = best_host(*job, now, true);
        if (!place) { stuck = true; break; }
        if (place->victims.empty()) {
          model_.assign(task, *place->host, now);
          continue;
        }
        for (auto* victim : place->victims) stop_task(model_, *victim, true, now + constants::kPreemptPause);
        model_.plan(task, *place->host);
      }
      if (stuck) break;
    }
  }
}

void Planner::place_gang(Job& job, double now) {
  // All that wait or none: a gang with a member missing only holds room.
  std::vector<Task*> waiting;
  for (std::uint32_t number = 0; number < job.block_count; ++number) {
    for (auto& task : model_.load_block(job, number, nullptr).tasks) {
      if (task.phase == Phase::pending) waiting.push_back(&task);
    }
  }
  std::vector<Task*> placed;
  for (auto* task : waiting) {
    const bool free = task->not_before <= now && model_.within_quota(job);
    const auto place = free ? best_host(job, now, false) : std::nullopt;
    if (!place) {
      for (auto* other : placed) model_.unplan(*other);
      return;
    }
    model_.plan(*task, *place->host);
    placed.push_back(task);
  }
  for (auto* task : placed) {
    auto& host = *task->host;
    model_.assign(*task, host, now);
  }
}

bool Planner::start_on(Host& host, double now) {
  const auto may = [&](sched::TaskId id) {
    const auto* task = model_.task(id);
    return task != nullptr && startable(*task, host, now);
  };
  const auto own = group_name(host);
  auto found = groups_[own].next(host.id, may);
  // The host's own group has nothing for it: the longest list of the others.
  if (!found) {
    std::vector<sched::Group*> others;
    for (auto& [name, group] : groups_) {
      if (name != own && group.queued() > 0) others.push_back(&group);
    }
    std::stable_sort(others.begin(), others.end(), [](const auto* a, const auto* b) { return a->mean() > b->mean(); });
    for (auto* group : others) {
      for (const auto& [name, worker] : group->workers()) {
        found = group->next(name, may);
        if (found) break;
      }
      if (!found) {
        const auto task = std::find_if(group->inbox().begin(), group->inbox().end(), [&](const auto& one) { return may(one.id); });
        if (task != group->inbox().end()) found = *task;
      }
      if (found) break;
    }
  }
  if (!found) return false;
  auto* task = model_.task(found->id);
  forget(*task);
  task->listed = false;
  model_.assign(*task, host, now);
  return true;
}

void Planner::start_heads(double now) {
  std::vector<Host*> hosts;
  for (const auto& [id, host] : model_.hosts()) {
    if (usable(*host, now, settings_)) hosts.push_back(host.get());
  }
  // Spot machines first: ordinary room is what services need.
  std::stable_sort(hosts.begin(), hosts.end(), [](const Host* a, const Host* b) {
    if (a->spot != b->spot) return a->spot;
    return a->tasks.size() > b->tasks.size();
  });
  for (auto* host : hosts) {
    while (start_on(*host, now)) {
    }
  }
}

void Planner::relieve_guarantees(double now) {
  // Guaranteed or higher-priority tasks that still wait may displace others.
  for (auto& [name, group] : groups_) {
    std::vector<sched::Queued> heads = group.inbox();
    for (const auto& [worker, state] : group.workers()) heads.insert(heads.end(), state.list.begin(), state.list.end());
    std::sort(heads.begin(), heads.end(), [](const auto& a, const auto& b) { return a.before(b); });
    for (const auto& head : heads) {
      auto* task = model_.task(head.id);
      if (task == nullptr || task->phase != Phase::pending || task->not_before > now || task->job->failed_until > now) continue;
      auto& job = *task->job;
      if (!guaranteed(job) && job.spec.priority == wire::Priority::idle) continue;
      if (!model_.within_quota(job)) continue;
      auto place = best_host(job, now, true);
      if (!place || place->victims.empty()) continue;
      forget(*task);
      task->listed = false;
      for (auto* victim : place->victims) stop_task(model_, *victim, true, now + constants::kPreemptPause);
      model_.plan(*task, *place->host);
    }
  }
}

void Planner::decide(double now) {
  update_workers(now);
  settle_planned(now);
  place_direct(now);
  queue_blocks(now);
  reorder(now);
  const auto may = eligible();
  for (auto& [name, group] : groups_) moves_ += group.balance(settings_.tuning.threshold_tasks, may);
  start_heads(now);
  relieve_guarantees(now);
}

}  // namespace elmstall::engine
