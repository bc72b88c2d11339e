#include <algorithm>

#include "support/world.hpp"

namespace elmstall::test {

using wire::EndCause;
using wire::TaskState;

namespace {

/// Leases. A higher token counts as a change at most once in this time.
constexpr double kTokenChangeInterval = 0.5;

}  // namespace

FakeWorker::FakeWorker(World& world, std::string id, std::string type, std::string zone, bool spot)
    : world_(world),
      id_(std::move(id)),
      type_(std::move(type)),
      zone_(std::move(zone)),
      spot_(spot),
      node_(world.pick(world.node_count())) {}

void FakeWorker::start() {
  lease_start_ = world_.loop.now();
  schedule_heartbeat(0);
  check_lease();
}

void FakeWorker::die() {
  dead_ = true;
  drop_all_tasks();
}

void FakeWorker::schedule_heartbeat(double delay) {
  world_.loop.after(delay, [this, timer_id = ++heartbeat_timer_id_] {
    if (defer_while_hung([this, timer_id] {
          if (timer_id == heartbeat_timer_id_) schedule_heartbeat(0);
        }))
      return;
    if (!dead_ && timer_id == heartbeat_timer_id_ && !in_flight_) send_heartbeat();
  });
}

void FakeWorker::hang(double seconds) { hung_until_ = world_.loop.now() + seconds; }

bool FakeWorker::hung() const { return world_.loop.now() < hung_until_; }

sched::Amount FakeWorker::fetching() const {
  sched::Amount taken;
  for (const auto& [name, task] : tasks_) {
    const auto* job = world_.spec(name.first);
    if (task.state == TaskState::fetching && job != nullptr)
      taken += {job->cpus, job->gpus, job->memory_gb};
  }
  return taken;
}

bool FakeWorker::defer_while_hung(std::function<void()> fn) {
  if (!hung()) return false;
  world_.loop.at(hung_until_, std::move(fn));
  return true;
}

void FakeWorker::send_heartbeat_soon() {
  if (!in_flight_) schedule_heartbeat(std::max(0.0, last_heartbeat_ + 0.5 - world_.loop.now()));
}

void FakeWorker::on_token_raised() {
  const double now = world_.loop.now();
  if (now < token_counted_at_ + kTokenChangeInterval * world_.settings.lease_s) return;
  token_counted_at_ = now;
  send_heartbeat_soon();
}

void FakeWorker::check_lease() {
  if (dead_) return;
  expire();  // the tasks of a hanging machine also end with its lease
  world_.loop.after(0.1, [this] { check_lease(); });
}

void FakeWorker::expire() {
  if ((world_.loop.now() - lease_start_) * clock_rate <= world_.settings.lease_s) return;
  drop_all_tasks();
  ++epoch_;
  lease_start_ = world_.loop.now();
}

void FakeWorker::drop_all_tasks() {
  for (const auto& [name, task] : std::exchange(tasks_, {})) {
    world_.rules.record_task_end(world_.loop.now(), name.first, name.second, id_);
    if (in_gang(name)) world_.gangs.leave(name.first, name.second, task.attempt);
  }
}

bool FakeWorker::in_gang(const Name& name) const {
  const auto* spec = world_.spec(name.first);
  return spec != nullptr && spec->kind == wire::JobKind::gang;
}

void FakeWorker::set_gang_task_state(const TaskName& name, std::uint64_t serial, TaskState state) {
  if (defer_while_hung([this, name, serial, state] { set_gang_task_state(name, serial, state); }))
    return;
  const auto found = tasks_.find(name);
  if (found == tasks_.end() || found->second.serial != serial ||
      found->second.state != TaskState::gathering)
    return;
  found->second.state = state;
  send_heartbeat_soon();
}

void FakeWorker::end_gang_task(const TaskName& name, std::uint64_t serial, EndCause cause,
                               bool saved) {
  if (defer_while_hung(
          [this, name, serial, cause, saved] { end_gang_task(name, serial, cause, saved); }))
    return;
  const auto found = tasks_.find(name);
  if (found == tasks_.end() || found->second.serial != serial ||
      found->second.state == TaskState::ended)
    return;
  end(name, cause, saved);
}

wire::WorkerHeartbeat FakeWorker::make_heartbeat() {
  const auto address = world_.worker_address ? world_.worker_address(id_) : id_;
  wire::WorkerHeartbeat heartbeat{id_,    address,     type_,  zone_,        spot_,
                                  epoch_, ++sequence_, token_, std::nullopt, {}};
  if (interruption_at)
    heartbeat.interruption_in_s = std::max(0.0, *interruption_at - world_.loop.now());
  for (const auto& [name, task] : tasks_)
    heartbeat.tasks.push_back(
        {name.first, name.second, task.attempt, task.state, task.cause, task.saved});
  return heartbeat;
}

clients::CommandResult FakeWorker::on_command_rpc(
    std::uint64_t token, std::uint64_t epoch, const std::vector<wire::WorkerCommand>& commands) {
  using Outcome = clients::CommandResult::Outcome;
  ++command_rpcs_;
  if (token < token_) return {Outcome::refused, make_heartbeat()};
  const bool token_changed = token > token_;
  token_ = token;
  if (epoch != epoch_) return {Outcome::refused, make_heartbeat()};
  execute_all(commands);
  if (token_changed) on_token_raised();
  if (!commands.empty()) send_heartbeat_soon();
  return {Outcome::done, make_heartbeat()};
}

void FakeWorker::on_command_copy(const AnsweredCommands& original) {
  ++sequence_;  // of the reply
  const auto& envelope = original.envelope;
  if (envelope.token < token_ || envelope.epoch != epoch_) return;
  token_ = envelope.token;
  for (const auto& command : envelope.commands) {
    check_copy(command, original.last_serial);
    execute(command);
  }
}

void FakeWorker::check_copy(const wire::WorkerCommand& command, std::uint64_t last_serial) {
  const auto found = tasks_.find({command.job, command.index});
  const bool starts = command.verb == wire::Verb::run && found == tasks_.end();
  const bool changes_later_task =
      command.verb != wire::Verb::run && found != tasks_.end() &&
      found->second.attempt == command.attempt && found->second.serial > last_serial &&
      (found->second.state == TaskState::ended) == (command.verb == wire::Verb::clear);
  if (starts || changes_later_task)
    world_.rules.record_effect_of_copy(world_.loop.now(), command, id_);
}

void FakeWorker::execute_all(const std::vector<wire::WorkerCommand>& commands) {
  for (const auto& command : commands) execute(command);
  if (std::exchange(cleared_, false)) world_.command_copies.on_cleared(*this);
}

void FakeWorker::send_heartbeat() {
  const double sent = world_.loop.now();
  const auto heartbeat = make_heartbeat();
  ++heartbeats_sent_;
  in_flight_ = true;
  sent_epoch_ = epoch_;
  last_heartbeat_ = sent;
  const auto node = node_;
  const auto sequence = last_sent_sequence_ = sequence_;
  world_.loop.after(4.0, [this, sequence, node] {
    if (dead_ || !in_flight_ || sequence != last_sent_sequence_) return;
    in_flight_ = false;  // takes effect on a hanging machine when it resumes
    node_ = (node + 1) % world_.node_count();
    schedule_heartbeat(1.0);
  });
  const bool lost = cut || heartbeats_dropped || !world_.reachable(node, zone_) ||
                    world_.random() < world_.network.loss;
  net::Request request{"POST", "/v1/report", wire::encode_heartbeat(heartbeat)};
  if (lost) {
    // Half of the lost requests arrive 5 to 45 s later; their responses are ignored.
    if (world_.random() < 0.5) {
      world_.loop.after(5 + 40 * world_.random(), [this, node, request] {
        world_.send_to_node(node, request, [](const net::Response&) {});
      });
    }
    return;
  }
  if (world_.random() < duplicate_share) {
    world_.loop.after(
        duplicate_delay_s > 0 ? duplicate_delay_s : 2 + 40 * world_.random(),
        [this, node, request] { world_.send_to_node(node, request, [](const net::Response&) {}); });
  }
  const double delay = 0.001 + 0.003 * world_.random();
  world_.loop.after(delay, [this, sequence, sent, node, request] {
    world_.send_to_node(node, request, [this, sequence, sent, node](const net::Response& response) {
      if (cut || responses_dropped || !world_.reachable(node, zone_) ||
          world_.random() < world_.network.loss)
        return;
      world_.loop.after(0.002, [this, sequence, sent, node, response] {
        on_response(sequence, sent, node, response);
      });
    });
  });
}

void FakeWorker::on_response(std::uint64_t sequence, double sent, std::size_t node,
                             const net::Response& response) {
  if (dead_ || hung() || !in_flight_ || sequence != last_sent_sequence_) return;
  in_flight_ = false;
  if (response.status == 421) {
    const auto document = wire::Document::parse(response.body);
    const auto name = document.fields().maybe_text("steward");
    if (name && *name != "node-" + std::to_string(node)) {
      node_ = static_cast<std::size_t>(name->back() - '0');
      return schedule_heartbeat(0.5 * world_.random());
    }
  }
  if (response.status != 200) {
    node_ = (node + 1) % world_.node_count();
    return schedule_heartbeat(1.0);
  }
  schedule_heartbeat(world_.settings.heartbeat_interval_s * (0.75 + 0.5 * world_.random()));
  const auto document = wire::Document::parse(response.body);
  const auto commands = wire::decode_commands(document.root());
  if (commands.token < token_ || sent_epoch_ != epoch_) return;
  const bool token_changed = commands.token > token_;
  token_ = commands.token;
  lease_start_ = sent;
  execute_all(commands.commands);
  if (token_changed) on_token_raised();
}

void FakeWorker::execute(const wire::WorkerCommand& command) {
  const Name name{command.job, command.index};
  const auto found = tasks_.find(name);
  switch (command.verb) {
    case wire::Verb::run:
      if (found != tasks_.end() && found->second.attempt == command.attempt) return;
      if (found != tasks_.end()) return;  // another attempt of the task is still there
      return run(name, command.attempt);
    case wire::Verb::stop:
      if (found == tasks_.end() || found->second.attempt != command.attempt ||
          found->second.state == TaskState::ended)
        return;
      return stop(name, found->second, command.grace_period_s);
    case wire::Verb::clear:
      if (found == tasks_.end() || found->second.attempt != command.attempt ||
          found->second.state != TaskState::ended)
        return;
      tasks_.erase(found);
      cleared_ = true;
      return send_heartbeat_soon();
  }
}

void FakeWorker::stop(const Name& name, Task& task, double grace_period_s) {
  if (grace_period_s <= 0) return end(name, EndCause::stopped, false);
  if (task.state == TaskState::checkpointing) return;
  const auto& spec = *world_.spec(name.first);
  if (task.state != TaskState::running) return end(name, EndCause::stopped, false);
  if (in_gang(name)) {
    if (grace_period_s < spec.checkpoint_s ||
        !world_.gangs.stop(name.first, name.second, task.attempt))
      return end(name, EndCause::stopped, false);
    task.state = TaskState::checkpointing;
    return send_heartbeat_soon();
  }
  task.state = TaskState::checkpointing;
  world_.loop.after(grace_period_s, [this, name, serial = task.serial] {
    const auto checkpointing = tasks_.find(name);
    if (!dead_ && checkpointing != tasks_.end() && checkpointing->second.serial == serial &&
        checkpointing->second.state == TaskState::checkpointing)
      end(name, EndCause::stopped, true);
  });
  send_heartbeat_soon();
}

void FakeWorker::run(const Name& name, std::uint64_t attempt) {
  auto& task = tasks_[name];
  task = {attempt, TaskState::fetching, EndCause::none, false, ++serial_};
  const auto* spec = world_.spec(name.first);
  sched::Amount used;
  for (const auto& [other, state] : tasks_) {
    if (state.state == TaskState::ended) continue;
    const auto* owner = world_.spec(other.first);
    used += {owner->cpus, owner->gpus, owner->memory_gb};
  }
  const auto& machine_type = world_.machine_types.front();
  if (!used.fits({machine_type.cpus, machine_type.gpus, machine_type.memory_gb})) {
    task.state = TaskState::ended;
    task.cause = EndCause::no_room;
    ++refused_starts_;
    return send_heartbeat_soon();
  }
  // Without an image to fetch the task runs at once.
  world_.loop.after(spec->image_gb > 0 ? 0.5 + spec->image_gb : 0,
                    [this, name, serial = serial_] { start_task(name, serial); });
}

void FakeWorker::start_task(const Name& name, std::uint64_t serial) {
  if (defer_while_hung([this, name, serial] { start_task(name, serial); })) return;
  const auto found = tasks_.find(name);
  if (dead_ || found == tasks_.end() || found->second.serial != serial ||
      found->second.state != TaskState::fetching)
    return;
  world_.rules.record_task_start(world_.loop.now(), name.first, name.second,
                                 {id_, type_, zone_, spot_});
  const auto* spec = world_.spec(name.first);
  const bool fails = world_.random() < task_failure_share;
  if (in_gang(name)) {
    found->second.state = TaskState::gathering;
    if (world_.gangs.completed(name.first)) return end(name, EndCause::done, false);
    if (fails) return end(name, EndCause::error, false);
    send_heartbeat_soon();
    return world_.gangs.join(name.first, name.second, found->second.attempt, {this, serial});
  }
  found->second.state = TaskState::running;
  send_heartbeat_soon();
  if (spec->kind == wire::JobKind::service && !fails) return;
  const double takes = spec->expect_s * (0.6 + 0.8 * world_.random());
  world_.loop.after(takes, [this, name, serial, fails] { finish(name, serial, fails); });
}

void FakeWorker::finish(const Name& name, std::uint64_t serial, bool fails) {
  if (defer_while_hung([this, name, serial, fails] { finish(name, serial, fails); })) return;
  const auto task = tasks_.find(name);
  if (dead_ || task == tasks_.end() || task->second.serial != serial ||
      task->second.state == TaskState::ended)
    return;
  if (!fails) world_.rules.record_completed(name.first, name.second);
  const bool last = world_.rules.completed_tasks(name.first) == world_.spec(name.first)->tasks;
  if (last && world_.on_last_task_end) world_.on_last_task_end(name.first);
  end(name, fails ? EndCause::error : EndCause::done, false);
}

void FakeWorker::end(const Name& name, EndCause cause, bool saved) {
  auto& task = tasks_.at(name);
  if (task.state != TaskState::fetching)
    world_.rules.record_task_end(world_.loop.now(), name.first, name.second, id_);
  task.state = TaskState::ended;
  task.cause = cause;
  task.saved = saved;
  send_heartbeat_soon();
  if (in_gang(name)) world_.gangs.leave(name.first, name.second, task.attempt);
}

}  // namespace elmstall::test
