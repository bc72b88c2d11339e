#include "reconcile/heartbeat_reader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "config/constants.hpp"
#include "placement/task_stop.hpp"
#include "reconcile/machine_loss.hpp"

namespace elmstall::reconcile {

namespace k = constants;
using wire::EndCause;
using wire::TaskState;

bool HeartbeatReader::is_newer(const state::Machine& machine,
                               const wire::WorkerHeartbeat& heartbeat) {
  return !machine.heartbeat_received ||
         std::tie(heartbeat.epoch, heartbeat.sequence) > std::tie(machine.epoch, machine.sequence);
}

void HeartbeatReader::read(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                           HeartbeatSource source, double now) {
  context_.model.update_attributes(machine, heartbeat.type, heartbeat.zone, heartbeat.spot,
                                   heartbeat.addr);
  record_if_new(machine);
  update_machine(machine, heartbeat, source, now);
  const auto known_unrecorded = machine.unrecorded_tasks;
  state::Model::clear_heartbeat_content(machine);
  for (auto* task : machine.tasks) task->begin_heartbeat();
  for (const auto& status : heartbeat.tasks) read_task(machine, status, now);
  log_unrecorded_tasks(machine, heartbeat, known_unrecorded);
  // While a command RPC is in flight, a heartbeat may be older than its effect
  // (docs/design.md, rule 2).
  if (machine.synchronized && !machine.rpc_in_flight) unassign_absent_tasks(machine);
  if (machine.interruption_at) stop_for_interruption(machine, now);
  context_.model.machines_to_command().insert(&machine);
  context_.model_changed();
}

void HeartbeatReader::record_if_new(state::Machine& machine) {
  if (machine.record != nullptr) return;
  context_.model.record_machine(machine);
  spdlog::info("machine {} ({} in {}{}) sent its first heartbeat", machine.id, machine.type,
               machine.zone, machine.spot ? ", spot" : "");
}

void HeartbeatReader::update_machine(state::Machine& machine,
                                     const wire::WorkerHeartbeat& heartbeat, HeartbeatSource source,
                                     double now) {
  // A worker keeps no tasks of an earlier epoch and rejects commands of that epoch, however late
  // they arrive. This holds only for a machine that was synchronized in this term: for others, two
  // delayed heartbeats may show two epochs that both ended before its tasks began (rule 3).
  if (machine.epoch_known && heartbeat.epoch > machine.epoch)
    remove_all_tasks(context_.model, context_.planner, machine, "its epoch ended");
  context_.lease_expiry.cancel_retirement(machine);
  // Command RPCs also reach machines that can't reach any controller. They renew no lease, so
  // tasks that they start end with the machine's lease. The reply to an RPC therefore does not
  // count as a heartbeat, except as the first contact in a term, when the next heartbeat may take
  // long.
  if (source == HeartbeatSource::worker || !machine.heartbeat_received)
    machine.last_heartbeat = now;
  machine.last_contact = now;
  machine.heartbeat_received = true;
  machine.epoch = heartbeat.epoch;
  machine.sequence = heartbeat.sequence;
  context_.model.mark_dirty(machine);
  // Only this leader can have sent this token to the worker. So the heartbeat was sent
  // after the takeover, or after the fence was raised, and older commands are void.
  machine.synchronized = heartbeat.token >= context_.fencing.synchronizing_token(machine);
  machine.epoch_known = machine.epoch_known || machine.synchronized;
  if (heartbeat.interruption_in_s) machine.interruption_at = now + *heartbeat.interruption_in_s;
}

void HeartbeatReader::read_task(state::Machine& machine, const wire::TaskStatus& status,
                                double now) {
  auto* job = context_.model.job(status.job);
  auto* task = job == nullptr ? nullptr : context_.model.task(*job, status.index);
  const bool recorded = task != nullptr && task->may_be_on_machine() &&
                        task->machine() == &machine && task->attempt() == status.attempt;
  if (!recorded) return read_unrecorded_task(machine, job, status, now);
  task->mark_listed();
  if (status.state == TaskState::ended) {
    if (machine.epoch_known) return on_exit(*task, machine, status, now);
    return on_unconfirmed_exit(*task, status, now);
  }
  task->observe(status.state, now);
  if (job->is_gang()) context_.gangs.on_task_state(*task, status.state, now);
}

void HeartbeatReader::read_unrecorded_task(state::Machine& machine, state::Job* job,
                                           const wire::TaskStatus& status, double now) {
  const state::TaskAttempt attempt{status.job, status.index, status.attempt};
  if (status.state == TaskState::ended) {
    machine.exited.push_back(attempt);
    if (job != nullptr && job->is_gang() && status.cause == EndCause::done)
      context_.gangs.on_past_completion(*job, now);
    return;
  }
  machine.unrecorded_tasks.push_back(attempt);
  if (job != nullptr) {
    context_.model.add_unrecorded(machine, *job);
  } else {
    machine.has_unknown_jobs = true;
  }
}

void HeartbeatReader::log_unrecorded_tasks(const state::Machine& machine,
                                           const wire::WorkerHeartbeat& heartbeat,
                                           const std::vector<state::TaskAttempt>& known) {
  for (const auto& task : machine.unrecorded_tasks) {
    if (std::find(known.begin(), known.end(), task) != known.end()) continue;
    spdlog::info("unrecorded task: task={} attempt={} machine={} token={} epoch={} sequence={}",
                 wire::task_name(task.job, task.index), task.attempt, machine.id, heartbeat.token,
                 heartbeat.epoch, heartbeat.sequence);
  }
}

void HeartbeatReader::on_exit(state::Task& task, state::Machine& machine,
                              const wire::TaskStatus& status, double now) {
  machine.exited.push_back({status.job, status.index, status.attempt});
  if (status.cause == EndCause::done) return on_done(task, now);
  if (status.cause == EndCause::error) return failures_.on_failure(task, machine, now);
  if (task.job->is_gang()) return context_.gangs.on_exit(task, status.cause, now);
  const bool start_refused = status.cause == EndCause::no_room ||
                             status.cause == EndCause::in_use || status.cause == EndCause::unknown;
  if (start_refused) task.postpone(now + k::kErrorBackoff);
  context_.model.unassign(task);
}

void HeartbeatReader::on_unconfirmed_exit(state::Task& task, const wire::TaskStatus& status,
                                          double now) {
  // The machine may be in a later epoch by now, in which a former leader had the same attempt run
  // again. So the task still counts as being on the machine, and its attempt is not cleared there
  // (rules 3, 4 and 7). Only its result is kept whatever happened since.
  const auto& job = *task.job;
  if (status.cause != EndCause::done || job.cancelled || job.is_service()) return;
  if (job.is_gang()) return context_.gangs.on_past_completion(*task.job, now);
  task.mark_completion_reported();
}

void HeartbeatReader::on_done(state::Task& task, double now) {
  auto& job = *task.job;
  if (job.cancelled) return context_.model.unassign(task);
  if (task.has_run())
    context_.estimates.learn(job.spec.job_class, job.spec.expect_s, now - task.running_since());
  // A replica of a service runs until the service is cancelled. One that ends by
  // itself is started again.
  if (job.is_service()) return context_.model.unassign(task);
  if (job.is_gang()) return context_.gangs.on_done(job, now);
  context_.model.complete(task);
}

void HeartbeatReader::unassign_absent_tasks(state::Machine& machine) {
  // The heartbeat of a synchronized machine is complete: commands sent earlier were carried
  // out before the heartbeat was sent, or will never be carried out (rules 2 and 3).
  const auto tasks = machine.tasks;  // unassigning changes the machine's own set
  for (auto* task : tasks) {
    if (!task->may_be_on_machine() || task->in_last_heartbeat()) continue;
    // Once a gang has begun, no task can join it any more.
    const bool attempt_over = task->job->is_gang() && task->job->gang.replacement_disabled;
    const bool ends_here =
        task->is_stopping() || task->job->cancelled || attempt_over || task->completion_reported();
    if (ends_here) context_.model.unassign(*task);
    // Otherwise `run` will be sent again. The worker still accepts it, since the attempt was never
    // cleared there.
  }
}

void HeartbeatReader::stop_for_interruption(state::Machine& machine, double now) {
  for (auto* task : state::TaskSet(machine.tasks)) {
    if (task->is_planned()) {
      context_.model.unplan(*task);
      continue;
    }
    const auto& spec = task->job->spec;
    const double time_left = *machine.interruption_at - now;
    const double ran_for = task->has_run() ? now - task->running_since() : 0;
    const double remaining = context_.estimates.run_time(spec.job_class, spec.expect_s) - ran_for;
    // A task that can't end before the interruption is moved to another machine at once.
    if (task->job->is_service() || spec.checkpoint_every_s > 0 || remaining > time_left)
      placement::stop_task(context_.model, *task, placement::StopMode::with_checkpoint, now);
  }
}

}  // namespace elmstall::reconcile
