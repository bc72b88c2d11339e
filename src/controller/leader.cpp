#include "controller/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"
#include "placement/preemption.hpp"

namespace elmstall::controller {

namespace k = constants;
using wire::EndCause;
using wire::TaskState;

namespace {

/// Clearing alone neither starts nor stops anything.
bool starts_or_stops(const std::vector<wire::WorkerCommand>& commands) {
  return std::any_of(commands.begin(), commands.end(), [](const wire::WorkerCommand& command) {
    return command.verb != wire::Verb::clear;
  });
}

}  // namespace

Leader::Leader(Context context, std::uint64_t term, std::uint64_t term_revision, double confirmed)
    : context_(context),
      term_(term),
      started_(context.event_loop.now()),
      confirmed_(confirmed),
      group_commit_(context.settings, context.event_loop, context.queue, context.store,
                    context.mirror, term_revision,
                    {[this](const std::string& job) { model_.remove_job(job); },
                     // Not from inside the group commit, which goes with the leader.
                     [this] { context_.queue.post(context_.deposed); },
                     [this](double sent) {
                       confirm(sent);
                       commands_due_ = true;
                     }}),
      model_(context.settings, group_commit_),
      gangs_(context.settings, model_, estimates_),
      command_composer_(context.settings, model_, group_commit_, gangs_),
      planner_(context.settings, model_, estimates_, gangs_),
      autoscaler_(context.settings, context.event_loop, context.queue, context.cloud, model_,
                  estimates_, term,
                  [this](state::Machine& machine) { unassign_all(machine, "deleted or failed"); }),
      expiry_(context.settings, context.mirror, model_, group_commit_, started_, context.read_state,
              [this](state::Machine& machine) { unassign_all(machine, "its lease is over"); }),
      scope_(context.queue),
      wake_(context.event_loop, context.queue) {
  rebuild();
}

bool Leader::leader_lease_valid() const {
  // Both the term and what is known of cancellations must be recent enough.
  const double known = std::min(confirmed_, context_.read_index.current_as_of());
  return context_.event_loop.now() - known < context_.settings.leader_lease_s();
}

void Leader::record_machine(state::Machine& machine, const store::Mirror::Machine* stored) {
  const auto pack = [&machine] {
    return store::pack(store::MachineEntry{
        machine.id,
        false,
        {machine.addr, machine.type, machine.zone, machine.spot, machine.retired}});
  };
  constexpr auto kind = state::GroupCommit::Record::Kind::machine;
  machine.record = stored == nullptr ? group_commit_.add(kind, "", pack)
                                     : group_commit_.restore(kind, "", pack, stored->slot);
}

void Leader::set_machine_types(const std::vector<wire::MachineType>& machine_types) {
  model_.set_machine_types(machine_types);
}

// --- records -----------------------------------------------------------------

void Leader::rebuild() {
  const auto& mirror = context_.mirror;
  for (const auto& [id, stored] : mirror.machines()) {
    const auto& record = stored.record;
    auto& machine = model_.machine(id);
    model_.describe(machine, record.type, record.zone, record.spot, record.addr);
    machine.inherited_until = expiry_.inherited_until();
    machine.retired = record.retired;
    record_machine(machine, &stored);
  }
  for (const auto& [id, job] : mirror.jobs()) add_job(id, job.record);
  spdlog::info("leading in term {}: {} jobs, {} machines taken over", term_, model_.jobs().size(),
               model_.machines().size());
}

void Leader::add_job(const std::string& id, const store::JobRecord& record) {
  const double age = std::max(0.0, context_.event_loop.wall() - record.submitted);
  auto& job = model_.add_job(id, record, context_.event_loop.now() - age);
  if (const auto* blocks = context_.mirror.blocks(id)) {
    for (const auto& [number, stored] : *blocks) {
      if (number < job.block_count) restore_block(job, number, stored);
    }
  }
  if (job.is_gang()) gangs_.recover(job, started_);
  if (job.cancelled) cancel(job);
}

void Leader::restore_block(state::Job& job, std::uint32_t number,
                           const store::Mirror::Block& stored) {
  auto& block = model_.load_block(job, number, &stored);
  for (const auto& known : stored.record.tasks) {
    if (known.machine.empty() || known.index < block.first ||
        known.index - block.first >= block.tasks.size())
      continue;
    // A machine must be recorded before anything is assigned to it, and is
    // taken out of the records only once it was deleted with all on it. The
    // block may have been written earlier than that; nothing would ever be
    // heard of the machine, and its task would count for its team for ever.
    auto* machine = model_.find_machine(known.machine);
    if (machine == nullptr) {
      group_commit_.mark_dirty(*block.record);
      continue;
    }
    model_.restore(block.tasks[known.index - block.first], *machine, known.attempt, started_);
  }
  if (std::all_of(block.done.begin(), block.done.end(), [](bool done) { return done; }))
    block.tasks.clear();
}

void Leader::on_change(const std::vector<store::Key>& keys) {
  for (const auto& key : keys) {
    if (key.kind == store::Key::Kind::delegation)
      expiry_.update_delegations(context_.event_loop.now());
    if (key.kind != store::Key::Kind::job) continue;
    decide_ = true;
    const auto* stored = context_.mirror.job(key.id);
    if (stored == nullptr) continue;
    auto* job = model_.job(key.id);
    if (job == nullptr) {
      spdlog::info("job {} accepted: {} tasks of class {} for {}", key.id,
                   stored->record.spec.tasks, stored->record.spec.job_class,
                   stored->record.spec.team);
      add_job(key.id, stored->record);
    } else if (stored->record.cancelled && !job->cancelled) {
      job->cancelled = true;
      cancel(*job);
    }
  }
}

void Leader::on_cancellation(const std::string& job_id) {
  // Comes on top of the records, which will tell too; it does not show that they
  // are current and prolongs nothing.
  auto* job = model_.job(job_id);
  if (job == nullptr || job->cancelled) return;
  job->cancelled = true;
  decide_ = commands_due_ = true;
  cancel(*job);
}

void Leader::cancel(state::Job& job) {
  spdlog::info("job {} cancelled", job.id);
  model_.finalizable().insert(&job);
  for (auto& [number, block] : job.blocks) {
    for (auto& task : block->tasks) {
      planner_.dequeue(task);
      if (task.phase == state::Phase::planned || task.phase == state::Phase::assigned) {
        placement::stop_task(model_, task, false, context_.event_loop.now());
        // Whatever it was saving is of no use to anybody now.
        task.grace_period_s = 0;
      }
    }
  }
}

void Leader::finalize_jobs() {
  for (auto* job : std::exchange(model_.finalizable(), {})) {
    const auto& id = job->id;
    if (group_commit_.finishing(id)) continue;
    const bool over = job->cancelled ? job->on_machines == 0 : job->all_done();
    if (!over) continue;
    state::GroupCommit::Finalization final{
        id,
        {job->cancelled ? wire::JobState::cancelled : wire::JobState::done, job->spec.tasks},
        {}};
    for (auto& [number, block] : job->blocks) final.blocks.push_back(block->record);
    spdlog::info("job {} is over: {}", id, wire::to_text(final.record.state));
    group_commit_.finish(std::move(final));
  }
}

// --- machines ------------------------------------------------------------------

void Leader::unassign_all(state::Machine& machine, const char* why) {
  planner_.remove_worker(machine);
  model_.mark_dirty(machine);
  if (!machine.tasks.empty())
    spdlog::info("machine {}: {} tasks are gone with it ({})", machine.id, machine.tasks.size(),
                 why);
  const auto tasks = machine.tasks;
  for (auto* task : tasks) {
    if (task->phase == state::Phase::planned) {
      model_.unplan(*task);
    } else {
      model_.unassign(*task);
    }
  }
  machine.exited.clear();
  machine.unrecorded_tasks.clear();
  state::Model::clear_unrecorded(machine);
  machine.has_unknown_jobs = false;
}

// --- heartbeats ---------------------------------------------------------------------

bool Leader::is_newer(const state::Machine& machine, const wire::WorkerHeartbeat& heartbeat) {
  // Late copies: the task list is as old as the heartbeat.
  return !machine.heard || std::pair(heartbeat.epoch, heartbeat.sequence) >
                               std::pair(machine.epoch, machine.sequence);
}

void Leader::on_heartbeat(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond) {
  const double now = context_.event_loop.now();
  if (!leader_lease_valid()) return respond({503, {}, 0});
  if (model_.terminated(heartbeat.machine)) return respond({503, {}, 0});
  auto& machine = model_.machine(heartbeat.machine);
  if (!is_newer(machine, heartbeat)) {
    // Either a late copy, or it crossed a reply to direct commands, which is
    // newer: then the worker is waiting, and its lease has to be renewed.
    const bool crossed = heartbeat.epoch == machine.epoch &&
                         now - machine.rpc_completed_at < k::kHeartbeatReplyTimeout;
    if (!crossed) return respond({503, {}, 0});
    machine.last_reply = now;
    return respond({200,
                    wire::encode_heartbeat_reply(token(machine),
                                                 dispatch::CommandComposer::cancellations(machine)),
                    0});
  }
  check_responsiveness(machine, heartbeat, now);
  // A worker has one heartbeat in flight and drops late answers: what the last
  // answer ordered was carried out before this heartbeat, or never will be.
  machine.reply_carried_commands = false;
  read_heartbeat(machine, heartbeat, true, now);
  reply(machine, respond, now);
}

void Leader::reply(state::Machine& machine, const net::Responder& respond, double now) {
  std::vector<wire::WorkerCommand> commands;
  // One way at a time: a reply to direct commands that are in flight would not
  // show what this answer commands. Only what ends cancelled tasks goes both
  // ways, for this answer renews their lease and direct commands can hang.
  if (!machine.rpc_in_flight) commands = command_composer_.compose(machine, now, may_start());
  machine.reply_carried_commands = starts_or_stops(commands);
  if (machine.rpc_in_flight) commands = dispatch::CommandComposer::cancellations(machine);
  const bool awaited = machine.reply_carried_commands || !machine.synchronized;
  if (awaited && machine.unacknowledged_since == state::kNever) machine.unacknowledged_since = now;
  machine.last_reply = now;
  respond({200, wire::encode_heartbeat_reply(token(machine), commands), 0});
}

void Leader::raise_fence(state::Machine& machine) {
  // Never as far as the next term's tokens.
  if (machine.fence + 1 >= 1U << k::kTokenFenceBits) return;
  ++machine.fence;
  machine.synchronized = false;
  model_.mark_dirty(machine);
}

void Leader::check_responsiveness(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                                  double now) {
  // Heartbeats that arrive prove that a machine lives, not that it hears us: our
  // answers may be lost on the way, and with them its lease.
  const bool responds =
      heartbeat.token >= token(machine) &&
      std::all_of(machine.tasks.begin(), machine.tasks.end(), [&](const state::Task* task) {
        if (!machine.reply_carried_commands || task->phase != state::Phase::assigned ||
            task->in_last_heartbeat || !task->run_sent)
          return true;
        return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                           [&](const wire::TaskStatus& one) {
                             return one.index == task->index && one.job == task->job->id;
                           });
      });
  if (responds) {
    if (machine.unresponsive) spdlog::info("machine {} hears us again", machine.id);
    machine.unresponsive = false;
    machine.unacknowledged_since = state::kNever;
  }
  // Its lease ran out sooner than it could have, had our last answer come.
  const bool lapsed = machine.epoch_known && heartbeat.epoch > machine.epoch &&
                      now - machine.last_reply < context_.settings.lease_s * (1 - k::kDrift);
  const bool unacknowledged =
      machine.unacknowledged_since != state::kNever &&
      now - machine.unacknowledged_since > k::kUnresponsiveShare * context_.settings.lease_s;
  if (machine.unresponsive || (!lapsed && !unacknowledged)) return;
  spdlog::info("machine {} does not hear us: {}", machine.id,
               lapsed ? "its lease ran out while its heartbeats were answered"
                      : "it shows no effect of our answers");
  machine.unresponsive = true;
  machine.unacknowledged_since = now;
  raise_fence(machine);
}

void Leader::read_heartbeat(state::Machine& machine, const wire::WorkerHeartbeat& heartbeat,
                            bool own, double now) {
  decide_ = true;
  model_.describe(machine, heartbeat.type, heartbeat.zone, heartbeat.spot, heartbeat.addr);
  if (machine.record == nullptr) {
    record_machine(machine, nullptr);
    group_commit_.mark_dirty(*machine.record);
    spdlog::info("machine {} ({} in {}{}) sent its first heartbeat", machine.id, machine.type,
                 machine.zone, machine.spot ? ", spot" : "");
  }
  // A later epoch knows nothing of the tasks of an earlier one. That proves
  // something only for a synchronized machine: of others, two late heartbeats may
  // show two epochs that were both over before its tasks began.
  // What was ordered in that epoch is void in this, however late it comes.
  if (machine.epoch_known && heartbeat.epoch > machine.epoch)
    unassign_all(machine, "its session ended");
  expiry_.revive(machine);
  // Direct commands reach machines that reach nobody, and renew no lease: what
  // starts there ends with it. Only the first contact in a term counts as much as
  // a heartbeat, which may be long in coming.
  if (own || !machine.heard) machine.last_heartbeat = now;
  machine.last_contact = now;
  machine.heard = true;
  machine.epoch = heartbeat.epoch;
  machine.sequence = heartbeat.sequence;
  model_.mark_dirty(machine);
  // Only we can have taught it this token, so this heartbeat was sent after the
  // takeover, or after the fence was raised, and older commands are void there.
  machine.synchronized = heartbeat.token >= token(machine);
  machine.epoch_known = machine.epoch_known || machine.synchronized;
  if (heartbeat.interruption_in_s) machine.interruption_at = now + *heartbeat.interruption_in_s;
  machine.exited.clear();
  machine.unrecorded_tasks.clear();
  state::Model::clear_unrecorded(machine);
  machine.has_unknown_jobs = false;
  for (auto* task : machine.tasks) task->in_last_heartbeat = false;
  for (const auto& task : heartbeat.tasks) read_task(machine, task, now);
  // While direct commands are in flight a heartbeat may be older than their effect.
  if (machine.synchronized && !machine.rpc_in_flight) absent_tasks(machine);
  if (machine.interruption_at) handle_interruption_notice(machine, now);
  model_.attention().insert(&machine);
  commands_due_ = true;
}

void Leader::read_task(state::Machine& machine, const wire::TaskStatus& heartbeat, double now) {
  auto* job = model_.job(heartbeat.job);
  auto* task = job == nullptr ? nullptr : model_.task(*job, heartbeat.index);
  const bool ended = heartbeat.state == TaskState::ended;
  const bool ours = task != nullptr && task->phase == state::Phase::assigned &&
                    task->machine == &machine && task->attempt == heartbeat.attempt;
  if (!ours) {
    const state::Exited name{heartbeat.job, heartbeat.index, heartbeat.attempt};
    if (ended) {
      machine.exited.push_back(name);
      if (job != nullptr && job->is_gang() && heartbeat.cause == EndCause::done)
        gangs_.on_late_done(*job, now);
      return;
    }
    machine.unrecorded_tasks.push_back(name);
    if (job != nullptr) {
      model_.add_unrecorded(machine, *job);
    } else {
      machine.has_unknown_jobs = true;
    }
    return;
  }
  task->in_last_heartbeat = true;
  task->run_sent = true;
  if (ended) return task_ended(*task, machine, heartbeat, now);
  if (heartbeat.state == TaskState::running && task->running_since == state::kNever)
    task->running_since = now;
  task->state = heartbeat.state;
  if (job->is_gang()) gangs_.on_state(*task, heartbeat.state, now);
}

void Leader::task_ended(state::Task& task, state::Machine& machine,
                        const wire::TaskStatus& heartbeat, double now) {
  machine.exited.push_back({heartbeat.job, heartbeat.index, heartbeat.attempt});
  auto& job = *task.job;
  switch (heartbeat.cause) {
    case EndCause::done:
      if (job.cancelled) return model_.unassign(task);
      if (task.running_since != state::kNever)
        estimates_.learn(job.spec.job_class, job.spec.expect_s, now - task.running_since);
      // A service's replica runs until it is cancelled; should one end by
      // itself it is started again.
      if (job.is_service()) return model_.unassign(task);
      if (job.is_gang()) return gangs_.on_done(job, now);
      return model_.complete(task);
    case EndCause::error:
      return task_failed(task, machine, now);
    default:
      break;
  }
  if (job.is_gang()) return gangs_.on_exit(task, heartbeat.cause, now);
  switch (heartbeat.cause) {
    case EndCause::no_room:
    case EndCause::in_use:
    case EndCause::unknown:
      task.not_before = now + k::kErrorBackoff;
      return model_.unassign(task);
    default:
      return model_.unassign(task);
  }
}

void Leader::task_failed(state::Task& task, state::Machine& machine, double now) {
  auto& job = *task.job;
  spdlog::info("task {} failed on machine {}", wire::task_name(job.id, task.index), machine.id);
  ++task.failures;
  task.not_before =
      now + std::min(k::kErrorBackoff * (1 << std::min(task.failures, 5)), k::kErrorBackoffMax);
  job.failed_on.insert(machine.id);
  machine.failed_jobs.insert(job.id);
  model_.unassign(task);
  if (static_cast<int>(job.failed_on.size()) >= k::kJobErrorMachines) {
    // Several machines agree: the job is at fault, and must not burn the fleet.
    job.failed_until = now + std::min(k::kErrorBackoff * (1 << std::min(++job.failures + 2, 6)),
                                      k::kErrorBackoffMax);
    for (const auto& id : job.failed_on) {
      auto* other = model_.find_machine(id);
      if (other == nullptr) continue;
      other->failed_jobs.erase(job.id);
      other->quarantined = static_cast<int>(other->failed_jobs.size()) >= k::kMachineErrorLimit;
    }
    return;
  }
  if (static_cast<int>(machine.failed_jobs.size()) >= k::kMachineErrorLimit &&
      !machine.quarantined) {
    spdlog::info("machine {} quarantined: tasks of {} jobs failed there", machine.id,
                 machine.failed_jobs.size());
    machine.quarantined = true;
  }
}

void Leader::absent_tasks(state::Machine& machine) {
  // The heartbeat is exact: what was ordered before was carried out before it
  // was sent, or never will be.
  const auto tasks = machine.tasks;
  for (auto* task : tasks) {
    if (task->phase != state::Phase::assigned || task->in_last_heartbeat) continue;
    // A gang that has begun can't be joined any more.
    const bool over = task->job->is_gang() && task->job->gang.broken;
    if (task->stopping || task->job->cancelled || over) model_.unassign(*task);
    // Otherwise `run` is sent (again): the attempt was never cleared there.
  }
}

void Leader::handle_interruption_notice(state::Machine& machine, double now) {
  for (auto* task : state::TaskSet(machine.tasks)) {
    if (task->phase == state::Phase::planned) {
      model_.unplan(*task);
      continue;
    }
    const auto& spec = task->job->spec;
    const double left = *machine.interruption_at - now;
    const double ran = task->running_since == state::kNever ? 0 : now - task->running_since;
    const double needs = estimates_.run_time(spec.job_class, spec.expect_s) - ran;
    // What can't end in time starts elsewhere at once.
    if (task->job->is_service() || spec.checkpoint_every_s > 0 || needs > left)
      placement::stop_task(model_, *task, true, now);
  }
}

bool Leader::may_start() const {
  const double known = std::min(confirmed_, context_.read_index.current_as_of());
  return context_.event_loop.now() - known < k::kStartKnowledge || context_.outage();
}

// --- direct commands -----------------------------------------------------------------

void Leader::deliver_commands() {
  if (!std::exchange(commands_due_, false) || !leader_lease_valid()) return;
  const double now = context_.event_loop.now();
  const bool starting = may_start();
  auto& attention = model_.attention();
  for (auto it = attention.begin(); it != attention.end();) {
    auto* machine = *it;
    if (!machine->synchronized) {
      it = attention.erase(it);  // its next heartbeat brings it back
      continue;
    }
    const bool waits =
        std::any_of(machine->tasks.begin(), machine->tasks.end(), [](const state::Task* task) {
          return task->phase == state::Phase::assigned &&
                 (task->stopping || (!task->in_last_heartbeat && !task->job->cancelled));
        });
    const bool way = !machine->rpc_in_flight && !machine->reply_carried_commands &&
                     now >= machine->rpc_backoff_until && !machine->addr.empty();
    if (waits && way && rpcs_in_flight_ < k::kCommandRpcsMax) {
      auto commands = command_composer_.compose(*machine, now, starting);
      // Clearing alone is not worth a message of its own.
      if (starts_or_stops(commands)) start_command_rpc(*machine, commands);
    }
    it = waits ? std::next(it) : attention.erase(it);
  }
}

void Leader::start_command_rpc(state::Machine& machine,
                               const std::vector<wire::WorkerCommand>& commands) {
  machine.rpc_in_flight = true;
  ++rpcs_in_flight_;
  // The epoch of a machine that is not known yet is most likely its first;
  // if not, the refusal tells.
  const std::uint64_t epoch = std::max<std::uint64_t>(1, machine.epoch);
  context_.worker_rpc.send_commands(machine.addr, token(machine), epoch, commands,
                                    scope_.wrap([this, id = machine.id, stated = !commands.empty()](
                                                    const clients::CommandResult& result) {
                                      on_command_result(id, stated, result);
                                    }));
}

void Leader::on_command_result(const std::string& id, bool stated,
                               const clients::CommandResult& result) {
  using Outcome = clients::CommandResult::Outcome;
  --rpcs_in_flight_;
  commands_due_ = true;
  auto* machine = model_.find_machine(id);
  if (machine == nullptr) return;
  machine->rpc_in_flight = false;
  machine->rpc_completed_at = context_.event_loop.now();
  model_.attention().insert(machine);
  const double now = context_.event_loop.now();
  if (result.outcome == Outcome::not_sent || result.outcome == Outcome::unknown) {
    machine->rpc_backoff_until = now + k::kCommandRpcBackoff;
    // They may yet be carried out, minutes later. From now on every message to
    // the machine carries a higher token, which makes them void; until the
    // machine has shown it, nothing that they name is given to another.
    if (result.outcome == Outcome::unknown && stated) raise_fence(*machine);
    return;
  }
  if (!result.heartbeat || result.heartbeat->machine != id ||
      !is_newer(*machine, *result.heartbeat))
    return;
  read_heartbeat(*machine, *result.heartbeat, false, now);
}

void Leader::synchronize_machines(double now) {
  // After a takeover: nothing may be moved before a machine has shown the new
  // token, and its next heartbeat may be long in coming.
  std::size_t left = k::kSynchronizationsPerTick;
  for (auto& [id, machine] : model_.machines()) {
    if (left == 0 || rpcs_in_flight_ >= k::kCommandRpcsMax) return;
    const bool known = machine->recorded() && !machine->addr.empty() && !machine->epoch_known &&
                       !machine->terminating;
    if (!known || machine->rpc_in_flight || now < machine->rpc_backoff_until) continue;
    if (machine->heard && now - machine->last_reply < 1) continue;  // its answer is on the way
    --left;
    machine->rpc_backoff_until = now + 1;
    start_command_rpc(*machine, {});
  }
}

void Leader::tick() {
  decide_ = true;
  expiry_.update_delegations(context_.event_loop.now());
  expiry_.expire(context_.event_loop.now());
  autoscaler_.tick();
  const bool starting = may_start();
  if (std::exchange(starting_, starting) != starting) {
    spdlog::info(starting ? "starting tasks again"
                          : "starting nothing until the records are known to be current");
  }
  if (leader_lease_valid()) synchronize_machines(context_.event_loop.now());
  commands_due_ = true;
}

void Leader::after_batch() {
  const double now = context_.event_loop.now();
  if (decide_) {
    if (now >= next_decide_) {
      decide_ = false;
      next_decide_ = now + k::kDecideInterval;
      planner_.decide(now);
      finalize_jobs();
    } else {
      wake_.after(next_decide_ - now, [] {});
    }
  }
  group_commit_.flush();
  deliver_commands();
}

}  // namespace elmstall::controller
