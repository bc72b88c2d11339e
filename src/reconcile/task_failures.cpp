#include "reconcile/task_failures.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::reconcile {

namespace k = constants;

namespace {

/// Backoffs double with each failure up to these numbers of times.
constexpr int kTaskDoublings = 5;
constexpr int kJobDoublings = 6;
/// Doublings that are added to the backoff of a whole job.
constexpr int kJobFirstDoublings = 2;

double backoff(int doublings, int most_doublings) {
  const int factor = 1 << std::min(doublings, most_doublings);
  return std::min(k::kErrorBackoff * factor, k::kErrorBackoffMax);
}

bool failed_too_often(const state::Machine& machine) {
  return static_cast<int>(machine.failed_jobs.size()) >= k::kMachineErrorLimit;
}

}  // namespace

void TaskFailures::on_failure(state::Task& task, state::Machine& machine, double now) {
  auto& job = *task.job;
  spdlog::info("task {} failed on machine {}", wire::task_name(job.id, task.index), machine.id);
  task.mark_failed(now + backoff(task.failures() + 1, kTaskDoublings));
  job.failed_on.insert(machine.id);
  machine.failed_jobs.insert(job.id);
  model_.unassign(task);
  if (static_cast<int>(job.failed_on.size()) >= k::kJobErrorMachines) {
    back_off_job(job, now);
  } else {
    quarantine_if_repeated(machine);
  }
}

void TaskFailures::back_off_job(state::Job& job, double now) {
  // The job failed on several machines, so the job is the likely cause. It backs off, so that its
  // failures do not quarantine one machine after the other, and they no longer count against the
  // machines.
  ++job.failures;
  job.failed_until = now + backoff(job.failures + kJobFirstDoublings, kJobDoublings);
  for (const auto& id : job.failed_on) {
    auto* machine = model_.find_machine(id);
    if (machine == nullptr) continue;
    machine->failed_jobs.erase(job.id);
    machine->quarantined = failed_too_often(*machine);
  }
}

void TaskFailures::quarantine_if_repeated(state::Machine& machine) {
  if (machine.quarantined || !failed_too_often(machine)) return;
  spdlog::info("machine {} quarantined: tasks of {} jobs failed there", machine.id,
               machine.failed_jobs.size());
  machine.quarantined = true;
}

}  // namespace elmstall::reconcile
