#include "dispatch/command_dispatcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::dispatch {

namespace k = constants;
using reconcile::HeartbeatReader;
using reconcile::HeartbeatSource;

namespace {

/// Seconds. Pause between two synchronizing RPCs to one machine, and the time for
/// which the reply to its heartbeat is assumed to be in transit.
constexpr double kSynchronizationPause = 1;

/// Whether the commands start or stop a task. Commands that clear exited tasks do neither.
bool starts_or_stops(const std::vector<wire::WorkerCommand>& commands) {
  return std::any_of(commands.begin(), commands.end(), [](const wire::WorkerCommand& command) {
    return command.verb != wire::Verb::clear;
  });
}

/// Whether a task on the machine has yet to be started or stopped.
bool awaits_commands(const state::Machine& machine) {
  return std::any_of(machine.tasks.begin(), machine.tasks.end(), [](const state::Task* task) {
    const bool awaits_start = !task->in_last_heartbeat() && !task->job->cancelled;
    return task->may_be_on_machine() && (task->is_stopping() || awaits_start);
  });
}

}  // namespace

CommandDispatcher::CommandDispatcher(Context context) : context_(context), scope_(context.queue) {}

void CommandDispatcher::log_commands(const state::Machine& machine,
                                     const std::vector<wire::WorkerCommand>& commands,
                                     std::string_view channel) const {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  for (const auto& command : commands) {
    spdlog::debug(
        "command: verb={} task={} attempt={} machine={} by={} token={} records_age={:.2f}s",
        wire::to_text(command.verb), wire::task_name(command.job, command.index), command.attempt,
        machine.id, channel, context_.fencing.token(machine), context_.lease.age());
  }
}

void CommandDispatcher::log_result(const std::string& machine_id,
                                   const clients::CommandResult& result) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  if (!result.heartbeat) {
    spdlog::debug("command reply: machine={} outcome={}", machine_id, to_text(result.outcome));
    return;
  }
  spdlog::debug("command reply: machine={} outcome={} token={} epoch={} sequence={} tasks={}",
                machine_id, to_text(result.outcome), result.heartbeat->token,
                result.heartbeat->epoch, result.heartbeat->sequence,
                result.heartbeat->tasks.size());
}

// --- tokens that permit commands (rule 4) -------------------------------------------

void CommandDispatcher::prepare_reply_token(state::Machine& machine) {
  // Also if nothing may be cleared yet: an RPC that does so soon after then needs no higher token,
  // because of which the worker would drop this reply if the RPC overtook it.
  if (!machine.exited.empty()) context_.fencing.prepare_clear(machine);
  if (CommandComposer::reused_attempt_awaits_run(machine))
    context_.fencing.prepare_run_again(machine);
}

void CommandDispatcher::prepare_rpc_token(state::Machine& machine) {
  const bool clears_wanted =
      machine.exited.size() >= k::kMaxPendingClears || context_.composer.run_awaits_clear(machine);
  if (clears_wanted) context_.fencing.prepare_clear(machine);
  if (CommandComposer::reused_attempt_awaits_run(machine))
    context_.fencing.prepare_run_again(machine);
}

// --- replies to heartbeats ---------------------------------------------------------

void CommandDispatcher::reply(state::Machine& machine, const net::Responder& respond) {
  const double now = context_.event_loop.now();
  std::vector<wire::WorkerCommand> commands;
  if (machine.rpc_in_flight) {
    // The reply to the RPC would not show the effect of commands in this reply (rule 2). Only
    // cancelled tasks are stopped over both channels, because this reply renews their lease and an
    // RPC can hang (docs/design.md, rule 8).
    machine.reply_carried_commands = false;
    commands = CommandComposer::cancellations(machine);
  } else {
    prepare_reply_token(machine);
    commands = context_.composer.compose(machine, now, context_.lease.may_start_tasks());
    machine.reply_carried_commands = starts_or_stops(commands);
    reconcile::Fencing::note_reply(machine, commands);
  }
  const bool effect_expected = machine.reply_carried_commands || !machine.synchronized;
  if (effect_expected && machine.unacknowledged_since == state::kNever)
    machine.unacknowledged_since = now;
  machine.last_reply = now;
  log_commands(machine, commands, "heartbeat_reply");
  respond({200, wire::encode_heartbeat_reply(context_.fencing.token(machine), commands), 0});
}

void CommandDispatcher::reply_to_outdated(state::Machine& machine, const net::Responder& respond) {
  machine.last_reply = context_.event_loop.now();
  const auto commands = CommandComposer::cancellations(machine);
  log_commands(machine, commands, "heartbeat_reply");
  respond({200, wire::encode_heartbeat_reply(context_.fencing.token(machine), commands), 0});
}

// --- command RPCs -------------------------------------------------------------------

bool CommandDispatcher::rpc_possible(const state::Machine& machine) const {
  return !machine.rpc_in_flight && !machine.reply_carried_commands &&
         context_.event_loop.now() >= machine.rpc_backoff_until && !machine.addr.empty() &&
         rpcs_in_flight_ < k::kCommandRpcsMax;
}

void CommandDispatcher::deliver() {
  if (!std::exchange(due_, false) || !context_.lease.valid()) return;
  const double now = context_.event_loop.now();
  const bool may_start_tasks = context_.lease.may_start_tasks();
  auto& machines = context_.model.machines_to_command();
  for (auto it = machines.begin(); it != machines.end();) {
    auto& machine = **it;
    const bool needs_commands = machine.synchronized && awaits_commands(machine);
    if (!needs_commands) {
      it = machines.erase(it);  // its next heartbeat, or a change, adds it again
      continue;
    }
    if (rpc_possible(machine)) {
      prepare_rpc_token(machine);
      const auto commands = context_.composer.compose(machine, now, may_start_tasks);
      // Commands that only clear tasks can wait for the reply to the next heartbeat.
      if (starts_or_stops(commands) || clears_reused_attempt(machine, commands))
        start_rpc(machine, commands);
    }
    ++it;
  }
}

bool CommandDispatcher::clears_reused_attempt(
    const state::Machine& machine, const std::vector<wire::WorkerCommand>& commands) const {
  return !commands.empty() && CommandComposer::reused_attempt_awaits_run(machine) &&
         context_.composer.run_awaits_clear(machine);
}

void CommandDispatcher::start_rpc(state::Machine& machine,
                                  const std::vector<wire::WorkerCommand>& commands) {
  machine.rpc_in_flight = true;
  ++rpcs_in_flight_;
  // A machine whose epoch is not known yet is most likely in its first. If it is in a later one,
  // the worker refuses the RPC, and its refusal contains the epoch.
  const std::uint64_t epoch = std::max<std::uint64_t>(1, machine.epoch);
  const bool carried_commands = !commands.empty();
  log_commands(machine, commands, "rpc");
  reconcile::Fencing::note_rpc(machine, commands);
  context_.worker_rpc.send_commands(
      machine.addr, context_.fencing.token(machine), epoch, commands,
      scope_.wrap([this, id = machine.id, carried_commands](const clients::CommandResult& result) {
        on_rpc_result(id, carried_commands, result);
      }));
}

void CommandDispatcher::on_rpc_result(const std::string& machine_id, bool carried_commands,
                                      const clients::CommandResult& result) {
  using Outcome = clients::CommandResult::Outcome;
  --rpcs_in_flight_;
  mark_due();
  log_result(machine_id, result);
  auto* machine = context_.model.find_machine(machine_id);
  if (machine == nullptr) return;
  const double now = context_.event_loop.now();
  machine->rpc_in_flight = false;
  machine->rpc_completed_at = now;
  context_.model.machines_to_command().insert(machine);
  const bool replied = result.outcome == Outcome::done || result.outcome == Outcome::refused;
  if (!replied) {
    machine->rpc_backoff_until = now + k::kCommandRpcBackoff;
    // The commands may still be carried out, minutes later. From now on every
    // message to the machine carries a higher token, which voids them. Until a
    // heartbeat carries that token, no task that they name is assigned to another
    // machine (docs/design.md, rule 3).
    if (result.outcome == Outcome::unknown && carried_commands) context_.fencing.raise(*machine);
    return;
  }
  if (!result.heartbeat || result.heartbeat->machine != machine_id) return;
  if (!HeartbeatReader::is_newer(*machine, *result.heartbeat)) return;
  context_.heartbeat_reader.read(*machine, *result.heartbeat, HeartbeatSource::command_reply, now);
}

// --- after a takeover ------------------------------------------------------------------

bool CommandDispatcher::needs_synchronization(const state::Machine& machine, double now) {
  if (!machine.recorded() || machine.epoch_known || machine.terminating) return false;
  if (machine.addr.empty() || machine.rpc_in_flight || now < machine.rpc_backoff_until)
    return false;
  const bool reply_in_transit =
      machine.heartbeat_received && now - machine.last_reply < kSynchronizationPause;
  return !reply_in_transit;
}

void CommandDispatcher::synchronize_machines() {
  // No task may be moved off a machine before the machine has shown the new token (rule 3), and
  // its next heartbeat may take long to arrive.
  const double now = context_.event_loop.now();
  std::size_t started_rpcs = 0;
  for (auto& [id, machine] : context_.model.machines()) {
    if (started_rpcs == k::kSynchronizationsPerTick || rpcs_in_flight_ >= k::kCommandRpcsMax)
      return;
    if (!needs_synchronization(*machine, now)) continue;
    ++started_rpcs;
    machine->rpc_backoff_until = now + kSynchronizationPause;
    start_rpc(*machine, {});
  }
}

}  // namespace elmstall::dispatch
