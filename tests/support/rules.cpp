#include "support/rules.hpp"

#include <algorithm>

#include "sched/resources.hpp"

namespace elmstall::test {

using wire::JobState;

void Rules::fail(const std::string& rule, const std::string& what) {
  broken_.push_back(rule + ": " + what);
}

void Rules::note(double now, const std::string& event) const {
  if (on_event) on_event(now, event);
}

void Rules::told_accepted(double now, const std::string& id) {
  if (!asked_.contains(id)) fail("invented", id);
  accepted_.try_emplace(id, now);
}

void Rules::told_status(double now, const std::string& id, JobState state, double asked) {
  note(now,
       id + " told " + std::string(wire::to_text(state)) + ", asked at " + std::to_string(asked));
  if (!asked_.contains(id)) fail("invented", id);
  accepted_.try_emplace(id, now);
  if (const auto before = final_.find(id);
      before != final_.end() && before->second.first != state && before->second.second <= asked) {
    fail("went_back", id + " was " + std::string(wire::to_text(before->second.first)) + ", is " +
                          std::string(wire::to_text(state)));
  }
  if (state == JobState::done) {
    final_.try_emplace(id, state, now);
    if (done_[id].size() != specs_.at(id).tasks) fail("not_done", id);
  } else if (state == JobState::cancelled) {
    final_.try_emplace(id, state, now);
    if (!cancel_asked_.contains(id))
      fail("went_back", id + " called cancelled, its user did not cancel");
    cancelled_.try_emplace(id, now);
  }
}

void Rules::told_missing(const std::string& id, double asked) {
  const auto told = accepted_.find(id);
  if (told != accepted_.end() && told->second <= asked) fail("forgotten", id + " got 404");
}

void Rules::told_refused(const std::string& id) {
  if (accepted_.contains(id)) fail("forgotten", id + " was refused when submitted again");
}

void Rules::on_machine(double now, const std::string& job, std::uint32_t index,
                       const Place& place) {
  ++starts_;
  const Task task{job, index};
  const std::string name = wire::task_name(job, index) + " on " + place.machine;
  note(now, name + " starts");
  auto& places = where_[task];
  if (!places.empty() && !places.contains(place.machine))
    fail("ran_twice", name + " and " + places.begin()->first);
  places[place.machine] = place;
  const auto& spec = specs_.at(job);
  const auto known = [&](const std::vector<std::string>& list) {
    return list.empty() || std::find(list.begin(), list.end(), place.type) != list.end();
  };
  if (!known(spec.types) || (spec.zone && *spec.zone != place.zone) || (place.spot && !spec.spot))
    fail("wrong_place", name);
  std::map<std::string, std::size_t> zones;
  sched::Amount used;
  for (const auto& [other, where] : where_) {
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
  if (const auto told = cancelled_.find(job); told != cancelled_.end()) {
    ++late_starts_;
    if (now > told->second + settings_.cancel_s) fail("ran_cancelled", name + " started");
  }
}

void Rules::off_machine(double now, const std::string& job, std::uint32_t index,
                        const std::string& machine) {
  if (where_[{job, index}].erase(machine) == 0) return;
  note(now, wire::task_name(job, index) + " is off " + machine);
  // To the moment, not to the half second of `check_time`.
  const auto told = cancelled_.find(job);
  if (told != cancelled_.end() && now > told->second + settings_.cancel_s)
    fail("ran_cancelled", wire::task_name(job, index) + " was there too long");
}

std::size_t Rules::present(const std::string& job) const {
  return static_cast<std::size_t>(std::count_if(where_.begin(), where_.end(), [&](const auto& one) {
    return one.first.first == job && !one.second.empty();
  }));
}

std::size_t Rules::completed_tasks(const std::string& job) const {
  const auto found = done_.find(job);
  return found == done_.end() ? 0 : found->second.size();
}

sched::Amount Rules::used_on(const std::string& machine) const {
  sched::Amount used;
  for (const auto& [task, places] : where_) {
    if (!places.contains(machine)) continue;
    const auto& spec = specs_.at(task.first);
    used += {spec.cpus, spec.gpus, spec.memory_gb};
  }
  return used;
}

sched::Amount Rules::used_by(const std::string& team) const {
  sched::Amount used;
  for (const auto& [task, places] : where_) {
    const auto& spec = specs_.at(task.first);
    if (!places.empty() && spec.team == team) used += {spec.cpus, spec.gpus, spec.memory_gb};
  }
  return used;
}

std::size_t Rules::in_zone(const std::string& job, const std::string& zone) const {
  return static_cast<std::size_t>(std::count_if(where_.begin(), where_.end(), [&](const auto& one) {
    return one.first.first == job && !one.second.empty() && one.second.begin()->second.zone == zone;
  }));
}

void Rules::check_time(double now) {
  for (const auto& [task, places] : where_) {
    const auto told = cancelled_.find(task.first);
    if (places.empty() || told == cancelled_.end() || now <= told->second + settings_.cancel_s)
      continue;
    fail("ran_cancelled", wire::task_name(task.first, task.second) + " is still there");
  }
}

std::vector<std::string> Rules::accepted_jobs() const {
  std::vector<std::string> ids;
  for (const auto& [id, when] : accepted_) ids.push_back(id);
  return ids;
}

std::size_t Rules::finished() const {
  return static_cast<std::size_t>(std::count_if(final_.begin(), final_.end(), [](const auto& one) {
    return one.second.first == JobState::done;
  }));
}

}  // namespace elmstall::test
