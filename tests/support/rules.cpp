#include "support/rules.hpp"

#include <algorithm>

#include "sched/resources.hpp"

namespace elmstall::test {

using wire::JobState;

void RuleChecker::fail(const std::string& rule, const std::string& what) {
  violations_.push_back(rule + ": " + what);
}

void RuleChecker::report_event(double now, const std::string& event) const {
  if (on_event) on_event(now, event);
}

void RuleChecker::record_accepted(double now, const std::string& id) {
  if (!submitted_.contains(id)) fail("invented", id);
  accepted_at_.try_emplace(id, now);
}

void RuleChecker::record_status(double now, const std::string& id, JobState state,
                                double requested_at) {
  report_event(now, id + " reported as " + std::string(wire::to_text(state)) + ", requested at " +
                        std::to_string(requested_at));
  if (!submitted_.contains(id)) fail("invented", id);
  accepted_at_.try_emplace(id, now);
  if (const auto before = final_states_.find(id); before != final_states_.end() &&
                                                  before->second.first != state &&
                                                  before->second.second <= requested_at) {
    fail("went_back", id + " was " + std::string(wire::to_text(before->second.first)) + ", is " +
                          std::string(wire::to_text(state)));
  }
  if (state == JobState::done) {
    final_states_.try_emplace(id, state, now);
    if (completed_tasks_[id].size() != specs_.at(id).tasks) fail("not_done", id);
  } else if (state == JobState::cancelled) {
    final_states_.try_emplace(id, state, now);
    if (!cancel_requested_.contains(id))
      fail("went_back", id + " called cancelled, its user did not cancel");
    cancel_reported_at_.try_emplace(id, now);
  }
}

void RuleChecker::record_not_found(const std::string& id, double requested_at) {
  const auto reported = accepted_at_.find(id);
  if (reported != accepted_at_.end() && reported->second <= requested_at)
    fail("forgotten", id + " got 404");
}

void RuleChecker::record_rejected(const std::string& id) {
  if (accepted_at_.contains(id)) fail("forgotten", id + " was refused when submitted again");
}

void RuleChecker::record_task_start(double now, const std::string& job, std::uint32_t index,
                                    const Place& place) {
  ++starts_;
  const Task task{job, index};
  const std::string name = wire::task_name(job, index) + " on " + place.machine;
  report_event(now, name + " starts");
  auto& places = placements_[task];
  if (!places.empty() && !places.contains(place.machine))
    fail("ran_twice", name + " and " + places.begin()->first);
  places[place.machine] = place;
  const auto& spec = specs_.at(job);
  if (!spec.types.allows(place.type) || (spec.zone && *spec.zone != place.zone) ||
      (place.spot && !spec.spot))
    fail("wrong_place", name);
  std::map<std::string, std::size_t> zones;
  sched::Amount used;
  for (const auto& [other, where] : placements_) {
    if (where.empty()) continue;
    const auto& owner = specs_.at(other.first);
    if (owner.team == spec.team) used += {owner.cpus, owner.gpus, owner.memory_gb};
    if (other.first == job) ++zones[where.begin()->second.zone];
  }
  if (spec.together && zones.size() > 1) fail("wrong_place", name + " apart from its job");
  if (spec.spread && zones[place.zone] > sched::spread_limit(spec.tasks))
    fail("wrong_place", name + " too many in one zone");
  const auto* team = settings_.team(spec.team);
  if (team == nullptr || !sched::within_limit(*team, used)) fail("quota", name);
  if (const auto reported = cancel_reported_at_.find(job); reported != cancel_reported_at_.end()) {
    ++late_starts_;
    if (now > reported->second + settings_.cancel_s) fail("ran_cancelled", name + " started");
  }
}

void RuleChecker::record_task_end(double now, const std::string& job, std::uint32_t index,
                                  const std::string& machine) {
  if (placements_[{job, index}].erase(machine) == 0) return;
  report_event(now, wire::task_name(job, index) + " is off " + machine);
  // Checked exactly here, without the half-second steps of `check_cancel_deadlines`.
  const auto reported = cancel_reported_at_.find(job);
  if (reported != cancel_reported_at_.end() && now > reported->second + settings_.cancel_s)
    fail("ran_cancelled", wire::task_name(job, index) + " was there too long");
}

void RuleChecker::record_effect_of_copy(double now, const wire::WorkerCommand& command,
                                        const std::string& machine) {
  const auto name = std::string(wire::to_text(command.verb)) + " of " +
                    wire::task_name(command.job, command.index) + " attempt " +
                    std::to_string(command.attempt) + " on " + machine;
  report_event(now, "the copy of a command takes effect: " + name);
  fail("copy_took_effect", name);
}

std::size_t RuleChecker::tasks_on_machines(const std::string& job) const {
  return static_cast<std::size_t>(std::count_if(
      placements_.begin(), placements_.end(),
      [&](const auto& one) { return one.first.first == job && !one.second.empty(); }));
}

std::size_t RuleChecker::completed_tasks(const std::string& job) const {
  const auto found = completed_tasks_.find(job);
  return found == completed_tasks_.end() ? 0 : found->second.size();
}

sched::Amount RuleChecker::used_on(const std::string& machine) const {
  sched::Amount used;
  for (const auto& [task, places] : placements_) {
    if (!places.contains(machine)) continue;
    const auto& spec = specs_.at(task.first);
    used += {spec.cpus, spec.gpus, spec.memory_gb};
  }
  return used;
}

sched::Amount RuleChecker::used_by(const std::string& team) const {
  sched::Amount used;
  for (const auto& [task, places] : placements_) {
    const auto& spec = specs_.at(task.first);
    if (!places.empty() && spec.team == team) used += {spec.cpus, spec.gpus, spec.memory_gb};
  }
  return used;
}

std::size_t RuleChecker::tasks_in_zone(const std::string& job, const std::string& zone) const {
  return static_cast<std::size_t>(
      std::count_if(placements_.begin(), placements_.end(), [&](const auto& one) {
        return one.first.first == job && !one.second.empty() &&
               one.second.begin()->second.zone == zone;
      }));
}

void RuleChecker::check_cancel_deadlines(double now) {
  for (const auto& [task, places] : placements_) {
    const auto reported = cancel_reported_at_.find(task.first);
    if (places.empty() || reported == cancel_reported_at_.end() ||
        now <= reported->second + settings_.cancel_s)
      continue;
    fail("ran_cancelled", wire::task_name(task.first, task.second) + " is still there");
  }
}

std::vector<std::string> RuleChecker::accepted_jobs() const {
  std::vector<std::string> ids;
  for (const auto& [id, when] : accepted_at_) ids.push_back(id);
  return ids;
}

std::size_t RuleChecker::finished() const {
  return static_cast<std::size_t>(
      std::count_if(final_states_.begin(), final_states_.end(),
                    [](const auto& one) { return one.second.first == JobState::done; }));
}

}  // namespace elmstall::test
