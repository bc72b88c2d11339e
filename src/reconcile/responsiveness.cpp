#include "reconcile/responsiveness.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::reconcile {

namespace k = constants;

namespace {

bool lists_task(const wire::WorkerHeartbeat& heartbeat, const state::Task& task) {
  return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                     [&](const wire::TaskStatus& status) {
                       return status.index == task.index && status.job == task.job->id;
                     });
}

}  // namespace

bool Responsiveness::acknowledges_replies(const state::Machine& machine,
                                          const wire::WorkerHeartbeat& heartbeat) const {
  if (heartbeat.token < fencing_.synchronizing_token(machine)) return false;
  if (!machine.reply_carried_commands) return true;
  return std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const state::Task* task) {
    const bool run_unacknowledged =
        task->may_be_on_machine() && task->run_sent() && !task->in_last_heartbeat();
    return !run_unacknowledged || lists_task(heartbeat, *task);
  });
}

bool Responsiveness::lease_lapsed_early(const state::Machine& machine,
                                        const wire::WorkerHeartbeat& heartbeat, double now) const {
  // If this leader's last reply had arrived, the lease could not have run out by now.
  return machine.epoch_known && heartbeat.epoch > machine.epoch &&
         now - machine.last_reply < settings_.lease_s * (1 - k::kMaxClockDrift);
}

bool Responsiveness::unacknowledged_too_long(const state::Machine& machine, double now) const {
  return machine.unacknowledged_since != state::kNever &&
         now - machine.unacknowledged_since > k::kUnresponsiveShare * settings_.lease_s;
}

void Responsiveness::check(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                           double now) {
  // A heartbeat proves that a machine runs, but not that it receives replies. If the replies are
  // lost in transit, its lease runs out.
  if (acknowledges_replies(machine, heartbeat)) {
    if (machine.unresponsive) spdlog::info("machine {} responds to replies again", machine.id);
    machine.unresponsive = false;
    machine.unacknowledged_since = state::kNever;
  }
  if (machine.unresponsive) return;
  const bool lapsed = lease_lapsed_early(machine, heartbeat, now);
  if (!lapsed && !unacknowledged_too_long(machine, now)) return;
  spdlog::info("machine {} is unresponsive: {}", machine.id,
               lapsed ? "its lease expired although its heartbeats were replied to"
                      : "its heartbeats show no effect of the replies");
  machine.unresponsive = true;
  machine.unacknowledged_since = now;
  fencing_.raise(machine);
}

}  // namespace elmstall::reconcile
