#include "placement/planner.hpp"

#include <algorithm>
#include <utility>

#include "config/constants.hpp"
#include "placement/preemption.hpp"

namespace elmstall::placement {

std::optional<double> aim_s(const config::Settings& settings, const state::Job& job) {
  if (job.spec.due_s) return job.spec.due_s;
  for (const auto& aim : settings.objectives) {
    if (aim.kind == "finished" && aim.job_class == job.spec.job_class && aim.within_s > 0)
      return aim.within_s;
  }
  return std::nullopt;
}

bool Planner::usable(const state::Host& host, double now, const config::Settings& settings) {
  return host.synchronized && !host.unresponsive && host.recorded() && !host.releasing &&
         !host.quarantined && !host.recall_at && !host.has_unknown_jobs &&
         now - host.last_report < settings.silent_after_s();
}

bool Planner::may_run(const state::Job& job, const state::Host& host) {
  return state::Model::allowed(job, host) && job.need.fits(host.capacity);
}

bool Planner::startable(const state::Task& task, const state::Host& host, double now) const {
  const auto& job = *task.job;
  return task.phase == state::Phase::pending && task.not_before <= now && job.failed_until <= now &&
         !job.cancelled && state::Model::allowed(job, host) && job.need.fits(host.room()) &&
         state::Model::within_quota(job) && model_.recordable(task);
}

sched::Eligible Planner::eligible() {
  return [this](sched::TaskId id, const std::string& worker) {
    const auto* job = model_.job_of(id);
    const auto* host = model_.find_host(worker);
    return job != nullptr && host != nullptr && may_run(*job, *host);
  };
}

void Planner::forget(state::Task& task) {
  if (!std::exchange(task.listed, false)) return;
  for (auto& [name, group] : groups_) {
    if (group.remove(task.id)) break;
  }
}

void Planner::update_worker(state::Host& host, double now) {
  ++steps_;
  if (!usable(host, now, settings_)) return remove_worker(host);
  const auto room = host.room();
  const auto note = [&host](state::HostSet& set, bool belongs) {
    if (belongs) {
      set.insert(&host);
    } else {
      set.erase(&host);
    }
  };
  note(roomy_, model_.least_need().fits(room));
  const auto& least_of_gangs = model_.least_gang_need();
  note(roomy_for_gangs_, least_of_gangs && least_of_gangs->fits(room));
  const auto in_transit = static_cast<std::size_t>(
      std::count_if(host.tasks.begin(), host.tasks.end(), [](const state::Task* task) {
        return task->phase == state::Phase::assigned && !task->seen;
      }));
  // Machines of a group are alike; the slots follow from the task at hand.
  const double used_share = host.used.share_of(host.capacity);
  const double per_task =
      host.tasks.empty() ? 0.5 : used_share / static_cast<double>(host.tasks.size());
  const double slots = per_task > 0 ? std::floor(1.0 / per_task + 1e-6) : 1;
  const bool has_room = room.cpus > 0 && used_share + per_task <= 1 + 1e-6;
  groups_[group_name(host)].set_worker(host.id, in_transit, slots, has_room);
}

void Planner::update_workers(double now) {
  // What changed is looked at in every round; what only time changes, like a
  // machine's silence, once a second.
  if (now >= next_review_) {
    next_review_ = now + constants::kReviewEvery;
    model_.refresh_least_need();
    for (const auto& [id, host] : model_.hosts()) model_.mark_dirty(*host);
    const auto may = eligible();
    for (auto& [name, group] : groups_) group.settle_inbox(may);
  }
  for (auto* host : model_.take_dirty()) update_worker(*host, now);
}

void Planner::remove_worker(state::Host& host) {
  roomy_.erase(&host);
  roomy_for_gangs_.erase(&host);
  if (const auto found = groups_.find(group_name(host)); found != groups_.end())
    found->second.remove_worker(host.id);
}

Planner::QueuePosition Planner::queue_position(const state::Job& job, double now) const {
  QueuePosition place{precedence(job), 0, 0,
                      estimates_.run_time(job.spec.job_class, job.spec.expect_s)};
  const auto aim = aim_s(settings_, job);
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
  next_reorder_ = now + constants::kReorderEvery;
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
    if (task->job->gang()) continue;
    auto& host = *task->host;
    if (!usable(host, now, settings_)) {
      model_.unplan(*task);
      continue;
    }
    sched::Amount taken = host.unrecorded_use;
    for (const auto* other : host.tasks) {
      if (other->phase == state::Phase::assigned) taken += other->job->need;
    }
    if (!task->job->need.fits(host.capacity - taken)) continue;
    model_.unplan(*task);
    if (state::Model::allowed(*task->job, host) && state::Model::within_quota(*task->job))
      model_.assign(*task, host, now);
  }
}

double Planner::score(const state::Job& job, const state::Host& host) const {
  const auto* machine_type = model_.machine_type(host.type);
  const double rate = machine_type == nullptr || machine_type->fetch_gb_per_s <= 0
                          ? 1
                          : machine_type->fetch_gb_per_s;
  double points = host.caches(job.image) ? 0 : -job.spec.image_gb / rate;
  const auto found = job.per_zone.find(host.zone);
  points -= found == job.per_zone.end()
                ? 0
                : 4.0 * found->second;                // spread, worth some seconds of fetching
  points += 2.0 * host.used.share_of(host.capacity);  // fill machines: empty ones can go
  return points;
}

state::Host* Planner::best_room(const state::Job& job) const {
  state::Host* best = nullptr;
  double best_score = 0;
  for (auto* host : roomy_) {
    if (!job.need.fits(host->room()) || !state::Model::allowed(job, *host)) continue;
    const double points = score(job, *host);
    if (best != nullptr && points <= best_score) continue;
    best = host;
    best_score = points;
  }
  return best;
}

std::optional<Planner::Candidate> Planner::best_displacing(const state::Job& job,
                                                           double now) const {
  std::optional<Candidate> best;
  for (const auto& [id, host] : model_.hosts()) {
    if (!usable(*host, now, settings_) || !may_run(job, *host)) continue;
    auto chosen = victims(job, *host, job.need, now);
    if (!chosen) continue;
    Candidate candidate{host.get(), score(job, *host), std::move(*chosen)};
    for (const auto* task : candidate.victims) candidate.score -= lost_work(*task, now) * 0.2;
    if (!best || candidate.score > best->score) best = std::move(candidate);
  }
  return best;
}

std::optional<Planner::Candidate> Planner::displace(state::Job& job, double now) {
  // A search walks through all machines: not often for one job, and few in
  // one round.
  if (now < job.searched_at + constants::kDisplaceEvery ||
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
  for (const auto& [id, host] : model_.hosts()) {
    if (!usable(*host, now, settings_) || (host->spot && !job.spec.spot) ||
        !job.need.fits(host->capacity))
      continue;
    sched::Amount room = host->room();
    for (const auto* task : host->tasks) {
      if (may_stop(job, *task)) room += task->job->need;
    }
    while (job.need.fits(room)) {
      room -= job.need;
      free[host->zone] += 1;
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
      if (auto* host = best_room(job)) {
        model_.assign(task, *host, now);
        continue;
      }
      const auto place = displace(job, now);
      if (!place) return true;
      for (auto* victim : place->victims)
        stop_task(model_, *victim, true, now, now + constants::kPreemptPause);
      model_.plan(task, *place->host);
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
    if (job->gang()) {
      if (!gangs_.advance(*job, roomy_for_gangs_, now)) model_.open().erase(job);
      continue;
    }
    choose_zone(*job, now);
    if (!place_service(*job, now)) model_.open().erase(job);
  }
}

bool Planner::start_on(state::Host& host, double now) {
  const auto may = [&](sched::TaskId id) {
    const auto* task = model_.task(id);
    return task != nullptr && startable(*task, host, now);
  };
  const auto own = group_name(host);
  auto found = groups_[own].next(host.id, may);
  // The host's own group has nothing for it: the longest list of the others.
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
  take(*model_.task(found->id), host, now);
  return true;
}

void Planner::take(state::Task& task, state::Host& host, double now) {
  forget(task);
  model_.assign(task, host, now);
}

std::vector<state::Host*> Planner::by_fullness() const {
  std::vector<state::Host*> hosts(roomy_.begin(), roomy_.end());
  // Spot machines first: ordinary room is what services need. Then the fuller
  // ones, so that others become empty and can go.
  std::stable_sort(hosts.begin(), hosts.end(), [](const state::Host* a, const state::Host* b) {
    if (a->spot != b->spot) return a->spot;
    return a->tasks.size() > b->tasks.size();
  });
  return hosts;
}

void Planner::start_cached(double now) {
  // Fetching an image takes as long as a good part of a task: where a machine
  // with room holds it already, the task starts there, whosever list it is in.
  std::vector<sched::Queued> queue;
  for (const auto& [name, group] : groups_) {
    group.each([&](const sched::Queued& entry) { queue.push_back(entry); });
  }
  if (queue.empty()) return;
  std::map<std::uint32_t, std::vector<state::Host*>> holders;
  for (auto* host : by_fullness()) {
    ++steps_;
    for (const auto image : host->images) holders[image].push_back(host);
  }
  std::sort(queue.begin(), queue.end(), [](const auto& a, const auto& b) { return a.before(b); });
  for (const auto& entry : queue) {
    auto* task = model_.task(entry.id);
    if (task == nullptr) continue;
    const auto found = holders.find(task->job->image);
    if (found == holders.end()) continue;
    auto& hosts = found->second;
    const auto place = std::find_if(hosts.begin(), hosts.end(), [&](const state::Host* host) {
      return startable(*task, *host, now);
    });
    if (place == hosts.end()) {
      // What has no room for this one hardly has any for the next.
      std::erase_if(
          hosts, [&](const state::Host* host) { return !model_.least_need().fits(host->room()); });
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
  for (auto* host : by_fullness()) {
    ++steps_;
    auto& missed = misses[{group_name(*host), host->spot}];
    const auto hopeless = [&](const state::Host& one) {
      return std::any_of(missed.begin(), missed.end(),
                         [&](const sched::Amount& room) { return one.room().fits(room); });
    };
    while (!hopeless(*host)) {
      if (start_on(*host, now)) continue;
      missed.push_back(host->room());
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
      if (job == nullptr || now < job->searched_at + constants::kDisplaceEvery ||
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
    forget(*task);
    for (auto* victim : place->victims)
      stop_task(model_, *victim, true, now, now + constants::kPreemptPause);
    model_.plan(*task, *place->host);
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
