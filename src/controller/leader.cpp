#include "controller/leader.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "config/constants.hpp"
#include "reconcile/machine_loss.hpp"
#include "reconcile/recovery.hpp"

namespace elmstall::controller {

namespace k = constants;
using reconcile::HeartbeatReader;
using reconcile::HeartbeatSource;

Leader::Leader(Context context, std::uint64_t term, std::uint64_t term_revision,
               double confirmed_at)
    : context_(context),
      term_(term),
      lease_(context.settings, context.event_loop, context.read_index, confirmed_at,
             context.common_outage),
      group_commit_(context.settings, context.event_loop, context.queue, context.store,
                    context.mirror, term_revision, commit_events()),
      model_(context.settings, group_commit_),
      gangs_(context.settings, model_, estimates_),
      planner_(context.settings, model_, estimates_, gangs_),
      autoscaler_(
          context.settings, context.event_loop, context.queue, context.cloud, model_, estimates_,
          term,
          [this](state::Machine& machine) { remove_all_tasks(machine, "deleted or failed"); }),
      lease_expiry_(
          context.settings, context.mirror, model_, group_commit_, context.event_loop.now(),
          context.peer_read_state,
          [this](state::Machine& machine) { remove_all_tasks(machine, "its lease is over"); }),
      fencing_(term, model_),
      responsiveness_(context.settings, fencing_),
      jobs_({context.event_loop, context.mirror, model_, group_commit_, gangs_, planner_}),
      heartbeat_reader_({model_, planner_, gangs_, estimates_, fencing_, lease_expiry_,
                         [this] {
                           decision_due_ = true;
                           dispatcher_.mark_due();
                         }}),
      command_composer_(context.settings, model_, group_commit_, gangs_),
      dispatcher_({context.event_loop, context.queue, context.worker_rpc, lease_, model_, fencing_,
                   heartbeat_reader_, command_composer_}),
      decision_timer_(context.event_loop, context.queue) {
  reconcile::restore_from_records(context.mirror, lease_expiry_, model_, jobs_);
  spdlog::info("leading in term {}: {} jobs, {} machines taken over", term_, model_.jobs().size(),
               model_.machines().size());
}

state::GroupCommit::Events Leader::commit_events() {
  state::GroupCommit::Events events;
  events.finished = [this](const std::string& job) { model_.remove_job(job); };
  // The call is posted to the queue, because it destroys the leader and with it the group commit
  // that makes the call.
  events.term_ended = [this] { context_.queue.post(context_.term_ended); };
  events.confirmed = [this](double sent_at) {
    confirm(sent_at);
    dispatcher_.mark_due();
  };
  return events;
}

void Leader::set_machine_types(const std::vector<wire::MachineType>& machine_types) {
  model_.set_machine_types(machine_types);
}

void Leader::remove_all_tasks(state::Machine& machine, std::string_view reason) {
  reconcile::remove_all_tasks(model_, planner_, machine, reason);
}

// --- heartbeats of workers ---------------------------------------------------------

bool Leader::overtaken_by_rpc_reply(const state::Machine& machine,
                                    const wire::WorkerHeartbeat& heartbeat) const {
  const double since_rpc = context_.event_loop.now() - machine.rpc_completed_at;
  return heartbeat.epoch == machine.epoch && since_rpc < k::kHeartbeatReplyTimeout;
}

void Leader::on_heartbeat(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond) {
  constexpr int unavailable = 503;
  // Replying renews the worker's lease, which only a valid leader may do (rule 5).
  if (!leader_lease_valid()) return respond({unavailable, {}, 0});
  if (model_.terminated(heartbeat.machine)) return respond({unavailable, {}, 0});
  auto& machine = model_.machine(heartbeat.machine);
  if (!HeartbeatReader::is_newer(machine, heartbeat)) {
    if (overtaken_by_rpc_reply(machine, heartbeat))
      return dispatcher_.reply_to_outdated(machine, respond);
    return respond({unavailable, {}, 0});  // a late copy; no worker waits for its reply
  }
  const double now = context_.event_loop.now();
  responsiveness_.check(machine, heartbeat, now);
  // A worker has one heartbeat in flight and drops late replies. So the commands of the last reply
  // were carried out before this heartbeat was sent, or will never be carried out (rule 2).
  machine.reply_carried_commands = false;
  heartbeat_reader_.read(machine, heartbeat, HeartbeatSource::worker, now);
  dispatcher_.reply(machine, respond);
}

// --- records ------------------------------------------------------------------------

void Leader::on_change(const std::vector<store::Key>& keys) {
  for (const auto& key : keys) {
    if (key.kind == store::Key::Kind::delegation)
      lease_expiry_.update_delegations(context_.event_loop.now());
    if (key.kind != store::Key::Kind::job) continue;
    decision_due_ = true;
    jobs_.on_record_changed(key.id);
  }
}

void Leader::on_cancellation(const std::string& job_id) {
  if (!jobs_.on_cancellation(job_id)) return;
  decision_due_ = true;
  dispatcher_.mark_due();
}

// --- periodic work --------------------------------------------------------------------

void Leader::tick() {
  const double now = context_.event_loop.now();
  decision_due_ = true;
  lease_expiry_.update_delegations(now);
  lease_expiry_.expire(now);
  autoscaler_.tick();
  log_whether_tasks_may_start();
  if (leader_lease_valid()) dispatcher_.synchronize_machines();
  dispatcher_.mark_due();
}

void Leader::log_whether_tasks_may_start() {
  const bool may_start = lease_.may_start_tasks();
  if (std::exchange(may_start_logged_, may_start) == may_start) return;
  spdlog::info(may_start ? "starting tasks again"
                         : "starting nothing until the records are known to be current");
}

void Leader::after_batch() {
  decide_if_due();
  group_commit_.flush();
  dispatcher_.deliver();
}

void Leader::decide_if_due() {
  if (!decision_due_) return;
  const double now = context_.event_loop.now();
  if (now < next_decision_) {
    // The timer's command runs in a batch of its own, after which this function is called again.
    return decision_timer_.after(next_decision_ - now, [] {});
  }
  decision_due_ = false;
  next_decision_ = now + k::kDecideInterval;
  planner_.decide(now);
  jobs_.finalize_completed();
}

}  // namespace elmstall::controller
