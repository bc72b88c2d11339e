#include "placement/direct_placement.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "placement/eligibility.hpp"
#include "placement/machine_score.hpp"
#include "placement/preemption.hpp"

namespace elmstall::placement {

namespace {

/// Machines. Largest numbers that are examined in one round of decisions for one job and for all of
/// them, so that a round ends long before the leader lease does. A job that needs more is continued
/// in the next round.
constexpr std::size_t kExaminationsPerJob = 20'000;
constexpr std::size_t kExaminationsPerRound = 200'000;

}  // namespace

std::vector<state::Job*> DirectPlacement::jobs_by_precedence(double now) {
  std::vector<state::Job*> jobs;
  for (auto* job : model_.jobs_with_unqueued_tasks()) {
    if (is_placed_directly(*job) && !job->cancelled && job->failed_until <= now && !job->all_done())
      jobs.push_back(job);
  }
  std::stable_sort(jobs.begin(), jobs.end(), [](const state::Job* a, const state::Job* b) {
    const int precedence_a = precedence(*a);
    const int precedence_b = precedence(*b);
    if (precedence_a != precedence_b) return precedence_a > precedence_b;
    return a->submitted < b->submitted;
  });
  return jobs;
}

void DirectPlacement::place_jobs(double now) {
  const auto round_end = machines_examined_ + kExaminationsPerRound;
  for (auto* job : jobs_by_precedence(now)) {
    if (machines_examined_ >= round_end) return;
    if (place(*job, now) == Progress::complete) model_.jobs_with_unqueued_tasks().erase(job);
  }
}

DirectPlacement::Progress DirectPlacement::place(state::Job& job, double now) {
  if (job.is_gang()) {
    const bool incomplete = gangs_.advance(job, machines_.with_room_for_gangs(), now);
    return incomplete ? Progress::incomplete : Progress::complete;
  }
  choose_zone(job, now);
  return place_tasks(job, now);
}

DirectPlacement::Progress DirectPlacement::place_tasks(state::Job& job, double now) {
  auto progress = Progress::complete;
  const auto job_end = machines_examined_ + kExaminationsPerJob;
  for (std::uint32_t number = 0; number < job.block_count; ++number) {
    if (!model_.may_load_block(job, number)) {
      progress = Progress::incomplete;
      continue;  // a later block may be in memory
    }
    auto& block = model_.load_block(job, number, nullptr);
    for (auto& task : block.tasks) {
      if (!task.is_pending()) continue;
      progress = Progress::incomplete;
      if (task.not_before() > now || !model_.recordable(task)) continue;
      if (machines_examined_ >= job_end) return progress;
      // All tasks of a job have the same needs: if this one can't be placed, nor can the others.
      if (place_task(task, now)) continue;
      if (block.untouched() && tasks_are_many()) model_.unload_block(job, number);
      return progress;
    }
  }
  return progress;
}

bool DirectPlacement::tasks_are_many() const {
  const auto& budget = model_.task_budget();
  const auto many = static_cast<double>(budget.limit()) * constants::kManyTasksShare;
  return static_cast<double>(budget.used()) > many;
}

bool DirectPlacement::place_task(state::Task& task, double now) {
  auto& job = *task.job;
  if (!state::Model::within_quota(job)) return false;
  if (auto* machine = best_machine_with_room(job)) {
    model_.assign(task, *machine);
    return true;
  }
  const auto plan = preemption_.find(job, now);
  if (!plan) return false;
  preemption_.carry_out(*plan, task, now);
  return true;
}

state::Machine* DirectPlacement::best_machine_with_room(const state::Job& job) {
  machines_examined_ += machines_.with_room().size();
  state::Machine* best = nullptr;
  double best_score = 0;
  for (auto* machine : machines_.with_room()) {
    if (!job.need.fits(machine->room()) || !state::Model::allowed(job, *machine)) continue;
    const double score = machine_score(model_, job, *machine);
    if (best != nullptr && score <= best_score) continue;
    best = machine;
    best_score = score;
  }
  return best;
}

void DirectPlacement::choose_zone(state::Job& job, double now) {
  if (!job.spec.together || !job.per_zone.empty() || job.spec.zone) return;
  std::map<std::string, std::size_t> slots_by_zone;
  for (const auto& [id, machine] : model_.machines()) {
    if (!is_usable(*machine, now, settings_) || (machine->spot && !job.spec.spot) ||
        !job.need.fits(machine->capacity))
      continue;
    sched::Amount room = machine->room();
    for (const auto* task : machine->tasks) {
      if (may_preempt(job, *task)) room += task->job->need;
    }
    slots_by_zone[machine->zone] += sched::slots_in(room, job.need);
  }
  const auto best =
      std::max_element(slots_by_zone.begin(), slots_by_zone.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  if (best != slots_by_zone.end()) job.zone_choice = best->first;
}

}  // namespace elmstall::placement
