#include "autoscaler/fleet_autoscaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "config/constants.hpp"

namespace elmstall::autoscaler {

namespace k = constants;

FleetAutoscaler::FleetAutoscaler(const config::Settings& settings, runtime::EventLoop& event_loop,
                                 runtime::CommandQueue& queue, clients::Cloud& cloud,
                                 state::Model& model, placement::RunTimeEstimates& estimates,
                                 std::uint64_t term,
                                 std::function<void(state::Machine&)> machine_lost)
    : settings_(settings),
      loop_(event_loop),
      cloud_(cloud),
      model_(model),
      estimates_(estimates),
      term_(term),
      machine_lost_(std::move(machine_lost)),
      scope_(queue),
      started_(event_loop.now()) {}

void FleetAutoscaler::tick() {
  const double now = loop_.now();
  if (!listing_ && now >= next_list_) {
    listing_ = true;
    listed_.clear();
    read_list("");
  }
  if (now >= next_plan_) {
    next_plan_ = now + k::kAutoscaleInterval;
    review_machines(now);
    plan(now);
  }
  send_terminations();
}

void FleetAutoscaler::read_list(const std::string& since) {
  cloud_.list(since, scope_.wrap([this](std::optional<wire::CloudPage> page) {
    if (!page) {
      listing_ = false;
      next_list_ = loop_.now() + k::kAutoscaleInterval;
      return;
    }
    listed_.insert(listed_.end(), page->machines.begin(), page->machines.end());
    if (page->truncated && !page->machines.empty()) return read_list(page->machines.back().id);
    finish_list();
  }));
}

void FleetAutoscaler::finish_list() {
  listing_ = false;
  ever_listed_ = true;
  const double now = loop_.now();
  next_list_ = now + k::kListInterval;
  for (auto& [id, machine] : model_.machines()) machine->listed = false;
  for (const auto& entry : listed_) {
    // The list is late: what we deleted may act as an unrecorded delegate it for a while.
    if (model_.terminated(entry.id)) continue;
    const bool known = model_.find_machine(entry.id) != nullptr;
    auto& machine = model_.machine(entry.id);
    if (machine.type.empty())
      model_.describe(machine, entry.type, entry.zone, entry.spot, entry.addr);
    if (!known) machine.provisioned_at = now - entry.age_s;
    machine.listed = true;
    if (entry.state == wire::CloudMachine::State::failed && !machine.reported_failed) {
      // It stopped on its own: the one thing the late list proves.
      machine.reported_failed = true;
      spdlog::info("machine {} failed, as the cloud lists it", machine.id);
      machine_lost_(machine);
    }
  }
}

void FleetAutoscaler::terminate(state::Machine& machine) {
  machine.terminating = true;
  model_.mark_dirty(machine);
}

void FleetAutoscaler::send_terminations() {
  const double now = loop_.now();
  if (terminating_ || now < next_termination_) return;
  std::vector<std::string> names;
  for (const auto& [id, machine] : model_.machines()) {
    if (machine->terminating && names.size() < k::kMaxTerminationsPerRequest) names.push_back(id);
  }
  if (names.empty()) return;
  terminating_ = true;
  next_termination_ = now + k::kTerminationInterval;
  cloud_.terminate(names, scope_.wrap([this, names](bool ok) {
    terminating_ = false;
    if (!ok) {
      next_termination_ = loop_.now() + k::kAutoscaleInterval;
      return;
    }
    for (const auto& id : names) {
      auto* found = model_.find_machine(id);
      if (found == nullptr) continue;
      spdlog::info("machine {} returned", id);
      machine_lost_(*found);
      model_.remove_machine(id);
    }
  }));
}

void FleetAutoscaler::review_machines(double now) {
  FleetHealth health;
  for (auto& [id, slot] : model_.machines()) {
    auto& machine = *slot;
    if (machine.terminating || machine.reported_failed) {
      terminate(machine);
    } else if (machine.heard) {
      review_heard(machine, health, now);
    } else {
      review_booting(machine, now);
    }
  }
  terminate_unresponsive(health, now);
  terminate_silent(health, now);
}

void FleetAutoscaler::review_heard(state::Machine& machine, FleetHealth& health, double now) {
  const bool silent = machine.quiet(now) > settings_.silent_after_s();
  if (machine.tasks.empty() && machine.quarantined) {
    terminate(machine);
  } else if (silent) {
    health.silent.push_back(&machine);
  } else if (machine.unresponsive) {
    health.unresponsive.push_back(&machine);
  }
  for (auto* count : {&health.all, &health.zones[machine.zone]}) {
    ++count->heard;
    if (silent) ++count->silent;
  }
}

void FleetAutoscaler::review_booting(state::Machine& machine, double now) {
  const auto* machine_type = model_.machine_type(machine.type);
  if (machine_type == nullptr || !machine.tasks.empty()) return;
  const double give_up = k::kBootGiveUp * machine_type->ready_s;
  // An adopted machine may have been up for long and simply not have found
  // us yet, so it also gets a lease's time from the takeover.
  const double since =
      std::max(machine.provisioned_at, started_ + settings_.lease_over_s() - give_up);
  if (now - since <= give_up) return;
  spdlog::info("machine {} did not come up, returning it", machine.id);
  terminate(machine);
}

void FleetAutoscaler::terminate_unresponsive(const FleetHealth& health, double now) {
  // As for silent machines: many at once are the network.
  const auto count = health.unresponsive.size();
  if (count * 3 > health.all.heard && count > 1) return;
  const double patience = k::kUnresponsiveLeases * settings_.lease_over_s();
  for (auto* machine : health.unresponsive) {
    if (now - machine->unacknowledged_since > patience) terminate(*machine);
  }
}

void FleetAutoscaler::terminate_silent(const FleetHealth& health, double now) {
  const double lease = settings_.lease_over_s();
  const double list_lag = 2 * settings_.list_lag_s + 1;
  for (auto* machine : health.silent) {
    const double quiet = machine->quiet(now);
    const bool unlisted = ever_listed_ && !machine->listed && quiet > list_lag;
    const bool partition = health.all.partitioned() || health.zones.at(machine->zone).partitioned();
    const double patience = lease + (partition ? 4 * lease : lease * 0.5);
    if (unlisted || quiet > patience) terminate(*machine);
  }
}

std::vector<sched::Pool> FleetAutoscaler::pools_of(const wire::MachineType& machine_type,
                                                   double now) const {
  std::vector<sched::Pool> pools;
  const auto& zones = machine_type.zones.empty() ? settings_.zones : machine_type.zones;
  for (const auto& zone : zones) {
    for (const bool spot : {false, true}) {
      sched::Pool pool{machine_type.name,
                       zone,
                       spot,
                       spot ? machine_type.spot_price : machine_type.price,
                       0,
                       0,
                       false};
      const auto state = pools_.find({machine_type.name, zone, spot});
      if (state != pools_.end()) {
        pool.blocked = state->second.blocked_until > now;
        pool.booting += state->second.pending;
      }
      pools.push_back(std::move(pool));
    }
  }
  for (const auto& [id, machine] : model_.machines()) {
    if (machine->type != machine_type.name || machine->terminating || machine->quarantined ||
        machine->interruption_at || machine->reported_failed)
      continue;
    const auto pool = std::find_if(pools.begin(), pools.end(),
                                   [&, one = machine.get()](const sched::Pool& other) {
                                     return other.spot == one->spot && other.zone == one->zone;
                                   });
    if (pool == pools.end()) continue;
    if (!machine->heard) {
      ++pool->booting;
    } else if (machine->quiet(now) < settings_.silent_after_s()) {
      ++pool->alive;
    }
  }
  return pools;
}

bool FleetAutoscaler::urgent(const state::Job& job, const wire::MachineType& machine_type) const {
  const auto aim = placement::completion_objective_s(settings_, job);
  if (!aim) return false;
  const double fetch =
      machine_type.fetch_gb_per_s > 0 ? job.spec.image_gb / machine_type.fetch_gb_per_s : 0;
  const double slack = *aim - estimates_.run_time(job.spec.job_class, job.spec.expect_s) - fetch;
  return slack < k::kUrgentBoots * machine_type.ready_s;
}

double FleetAutoscaler::ending_soon(const state::Job& job, double within_s, double now) const {
  double count = 0;
  const double work = estimates_.run_time(job.spec.job_class, job.spec.expect_s);
  for (const auto& [number, block] : job.blocks) {
    for (const auto& task : block->tasks) {
      if (task.phase != state::Phase::assigned) continue;
      const double ran = task.running_since == state::kNever ? 0 : now - task.running_since;
      if (work - ran < within_s) count += 1;
    }
  }
  return count;
}

std::optional<std::string> FleetAutoscaler::zone_left_open(const state::Job& job,
                                                           const std::vector<std::string>& zones) {
  if (!job.spec.spread) return std::nullopt;
  const auto there = [&](const std::string& zone) {
    const auto found = job.per_zone.find(zone);
    return found == job.per_zone.end() ? std::size_t{0} : std::size_t{found->second};
  };
  const auto full = [&](const std::string& zone) {
    return there(zone) >= sched::spread_limit(job.spec.tasks);
  };
  if (std::none_of(zones.begin(), zones.end(), full)) return std::nullopt;
  const auto best = std::min_element(zones.begin(), zones.end(), [&](const auto& a, const auto& b) {
    return there(a) < there(b);
  });
  return full(*best) ? std::nullopt : std::optional(*best);
}

double FleetAutoscaler::machines_for_waiting(const state::Job& job, const sched::Amount& whole) {
  const double share = job.need.share_of(whole);
  if (share > 1 + 1e-6) return 0;
  double waiting = 0;
  for (const auto& [number, block] : job.blocks) {
    waiting += static_cast<double>(
        std::count_if(block->tasks.begin(), block->tasks.end(),
                      [](const state::Task& task) { return task.phase == state::Phase::pending; }));
  }
  return std::ceil(waiting / std::floor(1.0 / share + 1e-6));
}

std::vector<std::string> FleetAutoscaler::zones_needed(
    const state::Job& job, const std::vector<std::string>& zones) const {
  const auto& spec = job.spec;
  if (spec.zone) return {*spec.zone};
  // Half of a spread gang may be in one zone: it needs machines in several.
  const bool spread_gang = job.is_gang() && spec.spread;
  const auto open = spread_gang ? std::nullopt : zone_left_open(job, zones);
  if (open) return {*open};
  if (spec.together && !job.per_zone.empty()) return {job.per_zone.begin()->first};
  if (spec.together && !job.zone_choice.empty()) return {job.zone_choice};
  if (spec.together) return {settings_.zones.front()};
  return spread_gang ? settings_.zones : std::vector<std::string>{};
}

std::map<std::string, FleetAutoscaler::Bound> FleetAutoscaler::bound_to_zones(
    const wire::MachineType& machine_type, double now) const {
  const sched::Amount whole{machine_type.cpus, machine_type.gpus, machine_type.memory_gb};
  const auto& zones = machine_type.zones.empty() ? settings_.zones : machine_type.zones;
  std::map<std::string, Bound> bound;
  // Only jobs with tasks that have not found a place can be short of a zone.
  for (const auto& [id, job] : model_.jobs()) {
    const bool patient = now - job->submitted < k::kZonePatience;
    if (job->cancelled || job->failed_until > now || patient) continue;
    const auto needed = zones_needed(*job, zones);
    if (needed.empty()) continue;
    const double machines = machines_for_waiting(*job, whole);
    if (machines <= 0) continue;
    for (const auto& zone : needed) {
      auto& entry = bound[zone];
      entry.machines += std::ceil(machines / static_cast<double>(needed.size()));
      entry.spot = entry.spot && job->spec.spot;
    }
  }
  return bound;
}

void FleetAutoscaler::scale_out_for_zones(const wire::MachineType& machine_type,
                                          const std::vector<sched::Pool>& pools, double now) {
  // The fleet's size follows all demand together, but a machine in one zone
  // is no use to work that may only run in another.
  const sched::Amount whole{machine_type.cpus, machine_type.gpus, machine_type.memory_gb};
  wanted_zones_.clear();
  stranded_ = 0;
  for (const auto& [zone, bound] : bound_to_zones(machine_type, now)) {
    wanted_zones_[zone] = bound;
    double there = 0;
    for (const auto& pool : pools) {
      if (pool.zone == zone) there += pool.booting;
    }
    for (const auto& [id, machine] : model_.machines()) {
      const bool kind = machine->type == machine_type.name && machine->zone == zone &&
                        (bound.spot || !machine->spot);
      if (kind && placement::Planner::usable(*machine, now, settings_))
        there += std::max(0.0, 1 - machine->used.share_of(whole));
    }
    const auto missing = static_cast<int>(std::ceil(bound.machines - there - 1e-6));
    if (missing <= 0) continue;
    const auto pool = std::find_if(
        pools.begin(), pools.end(), [&, z = &zone, b = &bound](const sched::Pool& one) {
          return one.zone == *z && !one.blocked && (b->spot || !one.spot);
        });
    if (pool != pools.end()) {
      scale_out({pool->type, pool->zone, pool->spot}, missing);
    } else {
      stranded_ += missing;
    }
  }
}

sched::Demand FleetAutoscaler::demand_of(const wire::MachineType& machine_type, double now) {
  const sched::Amount whole{machine_type.cpus, machine_type.gpus, machine_type.memory_gb};
  sched::Demand demand;
  std::map<std::string, sched::Amount> wanted;
  auto& arrivals = arrivals_.try_emplace(machine_type.name, k::kArrivalMemory, now).first->second;
  double ending = 0;
  std::uint64_t newest = counted_;
  for (const auto& [id, job] : model_.jobs()) {
    if (job->cancelled || job->failed_until > now || job->all_done()) continue;
    const auto& types = job->spec.types;
    if (!types.empty() && std::find(types.begin(), types.end(), machine_type.name) == types.end())
      continue;
    const auto* team = settings_.team(job->spec.team);
    if (team == nullptr) continue;
    double share = job->need.share_of(whole);
    if (share > 1 + 1e-6) continue;
    share = 1.0 / std::floor(1.0 / share + 1e-6);
    if (job->spec.spot) ending += share * ending_soon(*job, machine_type.ready_s, now);
    newest = std::max(newest, job->serial);
    if (job->spec.spot && urgent(*job, machine_type) && job->serial > counted_ &&
        job->submitted > started_ + k::kArrivalSettle) {
      arrivals.add(now, share * std::min<double>(job->spec.tasks, constants::kWindowTasks));
    }
    // No more than the team's limit allows at once.
    auto& sum = wanted[job->spec.team];
    const auto count =
        sched::within_limit_count(*team, sum, job->need, job->spec.tasks - job->finished_tasks);
    sum += job->need * count;
    (job->spec.spot ? demand.flexible : demand.ordinary) += share * count;
  }
  counted_ = newest;
  // What is rented now serves the demand of one boot later.
  // After a takeover nothing is known of arrivals: what was taken over did not
  // arrive just now, and ends without anything in its place would be wrong too.
  const bool known = term_ <= 1 || now > started_ + k::kArrivalSettle + k::kArrivalLearn;
  const double change = known ? arrivals.per_second(now) * machine_type.ready_s - ending : 0;
  demand.flexible = std::max(0.0, demand.flexible + settings_.tuning.foresight * change);
  demand.headroom =
      settings_.tuning.headroom_machines + settings_.tuning.headroom_share * demand.ordinary;
  return demand;
}

void FleetAutoscaler::plan(double now) {
  // Machines a former leader rented a moment ago show up in the late list
  // only after a while; renting before would buy them twice.
  const double wait = term_ <= 1 ? 0 : 2 * settings_.list_lag_s;
  allowance_ = settings_.cloud_rps * k::kProvisionRateShare * k::kAutoscaleInterval;
  if (!ever_listed_ || now < started_ + wait) return;
  for (const auto& machine_type : model_.machine_types()) {
    const auto pools = pools_of(machine_type, now);
    scale_out_for_zones(machine_type, pools, now);
    const auto demand = demand_of(machine_type, now);
    for (const auto& addition : sched::plan_scale_out(pools, demand)) {
      const auto& pool = pools[addition.pool];
      scale_out({pool.type, pool.zone, pool.spot}, addition.count);
    }
    scale_in(machine_type, pools, demand, now);
  }
}

void FleetAutoscaler::scale_in(const wire::MachineType& machine_type,
                               const std::vector<sched::Pool>& pools, const sched::Demand& demand,
                               double now) {
  auto spare = sched::surplus(pools, demand);
  // What chance does to demand weighs less the larger the fleet.
  const double scale = std::clamp(
      std::sqrt(k::kIdleFleet / std::max<double>(1, static_cast<double>(model_.machines().size()))),
      k::kIdleScaleMin, 1.0);
  const double keep = settings_.tuning.idle_share * scale * machine_type.ready_s;
  for (auto& [id, machine] : model_.machines()) {
    if (machine->type != machine_type.name || !machine->synchronized || machine->terminating)
      continue;
    if (!machine->tasks.empty() || machine->has_unknown_jobs) {
      machine->idle_since = state::kNever;
      continue;
    }
    if (machine->idle_since == state::kNever) machine->idle_since = now;
    int& left = machine->spot ? spare.spot : spare.ordinary;
    // What waits for another zone does not keep this one: the cloud may have
    // had to take from there what stands idle here.
    int& reason = left > 0 ? left : stranded_;
    // For work that waits for this zone, as many as it needs and no more: a
    // gang that waits for two zones once kept all there was in one of them,
    // and the other got none.
    const auto wanted = wanted_zones_.find(machine->zone);
    if (wanted != wanted_zones_.end() && wanted->second.machines > 0 &&
        (wanted->second.spot || !machine->spot)) {
      wanted->second.machines -= 1;
      continue;
    }
    if (reason <= 0 || now - machine->idle_since < keep) continue;
    --reason;
    spdlog::info("machine {} idle, returning it", machine->id);
    terminate(*machine);
  }
}

void FleetAutoscaler::scale_out(const PoolKey& key, int count) {
  // A fleet that has far to grow is asked for in many requests at once: what
  // is not rented now boots later.
  for (; count > 0 && allowance_ >= 1; count -= k::kMaxMachinesPerProvision, allowance_ -= 1) {
    // Term and counter: never used before, by no node.
    const Request request{key, "r-" + std::to_string(term_) + "-" + std::to_string(next_request_++),
                          std::min(count, k::kMaxMachinesPerProvision)};
    pools_[key].pending += request.count;
    send_provision_request(request);
  }
}

void FleetAutoscaler::send_provision_request(const Request& request) {
  const auto& [type, zone, spot] = request.pool;
  spdlog::info("renting {} x {} in {}{} as {}", request.count, type, zone, spot ? " (spot)" : "",
               request.name);
  cloud_.provision(request.name, type, zone, spot, request.count,
                   scope_.wrap([this, request](const clients::ProvisionResult& result) {
                     on_provisioned(request, result);
                   }));
}

void FleetAutoscaler::on_provisioned(const Request& request,
                                     const clients::ProvisionResult& result) {
  using Outcome = clients::ProvisionResult::Outcome;
  if (result.outcome == Outcome::unknown || result.outcome == Outcome::unavailable) {
    // The same name again: if it was carried out, it is answered the same.
    loop_.after(k::kAutoscaleInterval,
                scope_.wrap([this, request] { send_provision_request(request); }));
    return;
  }
  auto& pool = pools_[request.pool];
  const auto& [type, zone, spot] = request.pool;
  const double now = loop_.now();
  pool.pending -= request.count;
  if (result.outcome == Outcome::ok) {
    for (const auto& id : result.machines) {
      auto& machine = model_.machine(id);
      if (machine.type.empty()) model_.describe(machine, type, zone, spot, "");
      if (machine.provisioned_at == state::kNever) machine.provisioned_at = now;
    }
  }
  if (result.outcome == Outcome::ok &&
      result.machines.size() == static_cast<std::size_t>(request.count)) {
    pool.pause = k::kNoCapacityPause;
    return;
  }
  if (pool.blocked_until > now) return;  // several requests met the same end
  pool.blocked_until = now + pool.pause;
  pool.pause = std::min(pool.pause * 2, k::kNoCapacityPauseMax);
  spdlog::info("no capacity for {} in {}{}", type, zone, spot ? " (spot)" : "");
}

}  // namespace elmstall::autoscaler
