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
bool beyond_clearing(const std::vector<wire::Order>& orders) {
  return std::any_of(orders.begin(), orders.end(),
                     [](const wire::Order& order) { return order.verb != wire::Verb::clear; });
}

}  // namespace

Leader::Leader(Context context, std::uint64_t term, std::uint64_t term_stamp, double confirmed)
    : context_(context),
      term_(term),
      started_(context.event_loop.now()),
      confirmed_(confirmed),
      group_commit_(context.settings, context.event_loop, context.queue, context.store,
                    context.mirror, term_stamp,
                    {[this](const std::string& job) { model_.remove_job(job); },
                     // Not from inside the group commit, which goes with the leader.
                     [this] { context_.queue.post(context_.deposed); },
                     [this](double sent) {
                       confirm(sent);
                       orders_due_ = true;
                     }}),
      model_(context.settings, group_commit_),
      gangs_(context.settings, model_, estimates_),
      orders_(context.settings, model_, group_commit_, gangs_),
      planner_(context.settings, model_, estimates_, gangs_),
      fleet_(context.settings, context.event_loop, context.queue, context.cloud, model_, estimates_,
             term, [this](state::Host& host) { release_host_tasks(host, "deleted or failed"); }),
      expiry_(context.settings, context.mirror, model_, group_commit_, started_, context.read_state,
              [this](state::Host& host) { release_host_tasks(host, "its lease is over"); }),
      scope_(context.queue),
      wake_(context.event_loop, context.queue) {
  rebuild();
}

bool Leader::leader_lease_valid() const {
  // Both the term and what is known of cancellations must be recent enough.
  const double known = std::min(confirmed_, context_.read_index.current_as_of());
  return context_.event_loop.now() - known < context_.settings.leader_lease_s();
}

void Leader::record_host(state::Host& host, const store::Mirror::Host* stored) {
  const auto pack = [&host] {
    return store::pack(store::HostEntry{
        host.id, false, {host.addr, host.type, host.zone, host.spot, host.retired}});
  };
  constexpr auto kind = state::GroupCommit::Record::Kind::host;
  host.record = stored == nullptr ? group_commit_.add(kind, "", pack)
                                  : group_commit_.adopt(kind, "", pack, stored->slot);
}

void Leader::set_machine_types(const std::vector<wire::MachineType>& machine_types) {
  model_.set_machine_types(machine_types);
}

// --- records -----------------------------------------------------------------

void Leader::rebuild() {
  const auto& mirror = context_.mirror;
  for (const auto& [id, stored] : mirror.hosts()) {
    const auto& record = stored.record;
    auto& host = model_.host(id);
    model_.describe(host, record.type, record.zone, record.spot, record.addr);
    host.inherited_until = expiry_.inherited_until();
    host.retired = record.retired;
    record_host(host, &stored);
  }
  for (const auto& [id, job] : mirror.jobs()) add_job(id, job.record);
  spdlog::info("leading in term {}: {} jobs, {} hosts taken over", term_, model_.jobs().size(),
               model_.hosts().size());
}

void Leader::add_job(const std::string& id, const store::JobRecord& record) {
  const double age = std::max(0.0, context_.event_loop.wall() - record.submitted);
  auto& job = model_.add_job(id, record, context_.event_loop.now() - age);
  if (const auto* blocks = context_.mirror.blocks(id)) {
    for (const auto& [number, stored] : *blocks) {
      if (number < job.block_count) adopt_block(job, number, stored);
    }
  }
  if (job.gang()) gangs_.recover(job, started_);
  if (job.cancelled) cancel(job);
}

void Leader::adopt_block(state::Job& job, std::uint32_t number,
                         const store::Mirror::Block& stored) {
  auto& block = model_.load_block(job, number, &stored);
  for (const auto& known : stored.record.tasks) {
    if (known.host.empty() || known.index < block.first ||
        known.index - block.first >= block.tasks.size())
      continue;
    // A machine must be recorded before anything is assigned to it, and is
    // taken out of the records only once it was deleted with all on it. The
    // block may have been written earlier than that; nothing would ever be
    // heard of the machine, and its task would count for its team for ever.
    auto* host = model_.find_host(known.host);
    if (host == nullptr) {
      group_commit_.mark_dirty(*block.record);
      continue;
    }
    model_.adopt(block.tasks[known.index - block.first], *host, known.attempt, started_);
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
  decide_ = orders_due_ = true;
  cancel(*job);
}

void Leader::cancel(state::Job& job) {
  spdlog::info("job {} cancelled", job.id);
  model_.finalizable().insert(&job);
  for (auto& [number, block] : job.blocks) {
    for (auto& task : block->tasks) {
      planner_.forget(task);
      if (task.phase == state::Phase::planned || task.phase == state::Phase::assigned) {
        placement::stop_task(model_, task, false, context_.event_loop.now());
        // Whatever it was saving is of no use to anybody now.
        task.wind_down_s = 0;
      }
    }
  }
}

void Leader::finalize_jobs() {
  for (auto* job : std::exchange(model_.finalizable(), {})) {
    const auto& id = job->id;
    if (group_commit_.finishing(id)) continue;
    const bool over = job->cancelled ? job->on_hosts == 0 : job->all_done();
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

void Leader::release_host_tasks(state::Host& host, const char* why) {
  planner_.remove_worker(host);
  model_.mark_dirty(host);
  if (!host.tasks.empty())
    spdlog::info("host {}: {} tasks are gone with it ({})", host.id, host.tasks.size(), why);
  const auto tasks = host.tasks;
  for (auto* task : tasks) {
    if (task->phase == state::Phase::planned) {
      model_.unplan(*task);
    } else {
      model_.release(*task);
    }
  }
  host.exited.clear();
  host.unrecorded_tasks.clear();
  state::Model::clear_unrecorded(host);
  host.has_unknown_jobs = false;
}

// --- reports ---------------------------------------------------------------------

bool Leader::is_newer(const state::Host& host, const wire::Report& report) {
  // Late copies: the task list is as old as the report.
  return !host.heard || std::pair(report.session, report.tick) > std::pair(host.session, host.tick);
}

void Leader::on_report(const wire::Report& report, const net::Responder& respond) {
  const double now = context_.event_loop.now();
  if (!leader_lease_valid()) return respond({503, {}, 0});
  if (model_.released(report.host)) return respond({503, {}, 0});
  auto& host = model_.host(report.host);
  if (!is_newer(host, report)) {
    // Either a late copy, or it crossed a reply to direct orders, which is
    // newer: then the worker is waiting, and its lease has to be renewed.
    const bool crossed =
        report.session == host.session && now - host.exchanged_at < k::kReportReplyLimit;
    if (!crossed) return respond({503, {}, 0});
    host.last_answer = now;
    return respond(
        {200, wire::encode_orders(token(host), dispatch::OrderComposer::cancellations(host)), 0});
  }
  check_responsiveness(host, report, now);
  // A worker has one report in flight and drops late answers: what the last
  // answer ordered was carried out before this report, or never will be.
  host.answered_orders = false;
  read_report(host, report, true, now);
  answer(host, respond, now);
}

void Leader::answer(state::Host& host, const net::Responder& respond, double now) {
  std::vector<wire::Order> orders;
  // One way at a time: a reply to direct orders that are in flight would not
  // show what this answer orders. Only what ends cancelled tasks goes both
  // ways, for this answer renews their lease and direct orders can hang.
  if (!host.exchanging) orders = orders_.compose(host, now, may_start());
  host.answered_orders = beyond_clearing(orders);
  if (host.exchanging) orders = dispatch::OrderComposer::cancellations(host);
  const bool awaited = host.answered_orders || !host.synchronized;
  if (awaited && host.unacknowledged_since == state::kNever) host.unacknowledged_since = now;
  host.last_answer = now;
  respond({200, wire::encode_orders(token(host), orders), 0});
}

void Leader::raise_fence(state::Host& host) {
  // Never as far as the next term's tokens.
  if (host.fence + 1 >= 1U << k::kTokenFenceBits) return;
  ++host.fence;
  host.synchronized = false;
  model_.mark_dirty(host);
}

void Leader::check_responsiveness(state::Host& host, const wire::Report& report, double now) {
  // Reports that arrive prove that a machine lives, not that it hears us: our
  // answers may be lost on the way, and with them its lease.
  const bool responds =
      report.token >= token(host) &&
      std::all_of(host.tasks.begin(), host.tasks.end(), [&](const state::Task* task) {
        if (!host.answered_orders || task->phase != state::Phase::assigned || task->seen ||
            !task->offered)
          return true;
        return std::any_of(report.tasks.begin(), report.tasks.end(),
                           [&](const wire::TaskReport& one) {
                             return one.index == task->index && one.job == task->job->id;
                           });
      });
  if (responds) {
    if (host.unresponsive) spdlog::info("host {} hears us again", host.id);
    host.unresponsive = false;
    host.unacknowledged_since = state::kNever;
  }
  // Its lease ran out sooner than it could have, had our last answer come.
  const bool lapsed = host.session_known && report.session > host.session &&
                      now - host.last_answer < context_.settings.lease_s * (1 - k::kDrift);
  const bool unacknowledged =
      host.unacknowledged_since != state::kNever &&
      now - host.unacknowledged_since > k::kUnresponsiveShare * context_.settings.lease_s;
  if (host.unresponsive || (!lapsed && !unacknowledged)) return;
  spdlog::info("host {} does not hear us: {}", host.id,
               lapsed ? "its lease ran out while its reports were answered"
                      : "it shows no effect of our answers");
  host.unresponsive = true;
  host.unacknowledged_since = now;
  raise_fence(host);
}

void Leader::read_report(state::Host& host, const wire::Report& report, bool own, double now) {
  decide_ = true;
  model_.describe(host, report.type, report.zone, report.spot, report.addr);
  if (host.record == nullptr) {
    record_host(host, nullptr);
    group_commit_.mark_dirty(*host.record);
    spdlog::info("host {} ({} in {}{}) reports", host.id, host.type, host.zone,
                 host.spot ? ", spot" : "");
  }
  // A later session knows nothing of the tasks of an earlier one. That proves
  // something only for a synchronized host: of others, two late reports may
  // show two sessions that were both over before its tasks began.
  // What was ordered in that session is void in this, however late it comes.
  if (host.session_known && report.session > host.session)
    release_host_tasks(host, "its session ended");
  expiry_.revive(host);
  // Direct orders reach machines that reach nobody, and renew no lease: what
  // starts there ends with it. Only the first contact in a term counts as much as
  // a report, which may be long in coming.
  if (own || !host.heard) host.last_report = now;
  host.last_contact = now;
  host.heard = true;
  host.session = report.session;
  host.tick = report.tick;
  model_.mark_dirty(host);
  // Only we can have taught it this token, so this report was sent after the
  // takeover, or after the fence was raised, and older orders are void there.
  host.synchronized = report.token >= token(host);
  host.session_known = host.session_known || host.synchronized;
  if (report.recall_s) host.recall_at = now + *report.recall_s;
  host.exited.clear();
  host.unrecorded_tasks.clear();
  state::Model::clear_unrecorded(host);
  host.has_unknown_jobs = false;
  for (auto* task : host.tasks) task->seen = false;
  for (const auto& task : report.tasks) read_task(host, task, now);
  // While direct orders are in flight a report may be older than their effect.
  if (host.synchronized && !host.exchanging) absent_tasks(host);
  if (host.recall_at) handle_recall(host, now);
  model_.attention().insert(&host);
  orders_due_ = true;
}

void Leader::read_task(state::Host& host, const wire::TaskReport& report, double now) {
  auto* job = model_.job(report.job);
  auto* task = job == nullptr ? nullptr : model_.task(*job, report.index);
  const bool ended = report.state == TaskState::ended;
  const bool ours = task != nullptr && task->phase == state::Phase::assigned &&
                    task->host == &host && task->attempt == report.attempt;
  if (!ours) {
    const state::Exited name{report.job, report.index, report.attempt};
    if (ended) {
      host.exited.push_back(name);
      if (job != nullptr && job->gang() && report.cause == EndCause::done)
        gangs_.on_late_done(*job, now);
      return;
    }
    host.unrecorded_tasks.push_back(name);
    if (job != nullptr) {
      model_.add_unrecorded(host, *job);
    } else {
      host.has_unknown_jobs = true;
    }
    return;
  }
  task->seen = true;
  task->offered = true;
  if (ended) return task_ended(*task, host, report, now);
  if (report.state == TaskState::running && task->running_since == state::kNever)
    task->running_since = now;
  task->state = report.state;
  if (job->gang()) gangs_.on_state(*task, report.state, now);
}

void Leader::task_ended(state::Task& task, state::Host& host, const wire::TaskReport& report,
                        double now) {
  host.exited.push_back({report.job, report.index, report.attempt});
  auto& job = *task.job;
  switch (report.cause) {
    case EndCause::done:
      if (job.cancelled) return model_.release(task);
      if (task.running_since != state::kNever)
        estimates_.learn(job.spec.job_class, job.spec.expect_s, now - task.running_since);
      // A service's replica runs until it is cancelled; should one end by
      // itself it is started again.
      if (job.service()) return model_.release(task);
      if (job.gang()) return gangs_.on_done(job, now);
      return model_.complete(task);
    case EndCause::error:
      return task_failed(task, host, now);
    default:
      break;
  }
  if (job.gang()) return gangs_.on_exit(task, report.cause, now);
  switch (report.cause) {
    case EndCause::no_room:
    case EndCause::in_use:
    case EndCause::unknown:
      task.not_before = now + k::kErrorBackoff;
      return model_.release(task);
    default:
      return model_.release(task);
  }
}

void Leader::task_failed(state::Task& task, state::Host& host, double now) {
  auto& job = *task.job;
  spdlog::info("task {} failed on host {}", wire::task_name(job.id, task.index), host.id);
  ++task.failures;
  task.not_before =
      now + std::min(k::kErrorBackoff * (1 << std::min(task.failures, 5)), k::kErrorBackoffMax);
  job.failed_on.insert(host.id);
  host.failed_jobs.insert(job.id);
  model_.release(task);
  if (static_cast<int>(job.failed_on.size()) >= k::kJobErrorHosts) {
    // Several machines agree: the job is at fault, and must not burn the fleet.
    job.failed_until = now + std::min(k::kErrorBackoff * (1 << std::min(++job.failures + 2, 6)),
                                      k::kErrorBackoffMax);
    for (const auto& id : job.failed_on) {
      auto* other = model_.find_host(id);
      if (other == nullptr) continue;
      other->failed_jobs.erase(job.id);
      other->quarantined = static_cast<int>(other->failed_jobs.size()) >= k::kHostErrorLimit;
    }
    return;
  }
  if (static_cast<int>(host.failed_jobs.size()) >= k::kHostErrorLimit && !host.quarantined) {
    spdlog::info("host {} quarantined: tasks of {} jobs failed there", host.id,
                 host.failed_jobs.size());
    host.quarantined = true;
  }
}

void Leader::absent_tasks(state::Host& host) {
  // The report is exact: what was ordered before was carried out before it
  // was sent, or never will be.
  const auto tasks = host.tasks;
  for (auto* task : tasks) {
    if (task->phase != state::Phase::assigned || task->seen) continue;
    // A gang that has begun can't be joined any more.
    const bool over = task->job->gang() && task->job->gang_progress.broken;
    if (task->stopping || task->job->cancelled || over) model_.release(*task);
    // Otherwise `run` is sent (again): the attempt was never cleared there.
  }
}

void Leader::handle_recall(state::Host& host, double now) {
  for (auto* task : state::TaskSet(host.tasks)) {
    if (task->phase == state::Phase::planned) {
      model_.unplan(*task);
      continue;
    }
    const auto& spec = task->job->spec;
    const double left = *host.recall_at - now;
    const double ran = task->running_since == state::kNever ? 0 : now - task->running_since;
    const double needs = estimates_.run_time(spec.job_class, spec.expect_s) - ran;
    // What can't end in time starts elsewhere at once.
    if (task->job->service() || spec.checkpoint_every_s > 0 || needs > left)
      placement::stop_task(model_, *task, true, now);
  }
}

bool Leader::may_start() const {
  const double known = std::min(confirmed_, context_.read_index.current_as_of());
  return context_.event_loop.now() - known < k::kStartKnowledge || context_.outage();
}

// --- direct orders -----------------------------------------------------------------

void Leader::give_orders() {
  if (!std::exchange(orders_due_, false) || !leader_lease_valid()) return;
  const double now = context_.event_loop.now();
  const bool starting = may_start();
  auto& attention = model_.attention();
  for (auto it = attention.begin(); it != attention.end();) {
    auto* host = *it;
    if (!host->synchronized) {
      it = attention.erase(it);  // its next report brings it back
      continue;
    }
    const bool waits =
        std::any_of(host->tasks.begin(), host->tasks.end(), [](const state::Task* task) {
          return task->phase == state::Phase::assigned &&
                 (task->stopping || (!task->seen && !task->job->cancelled));
        });
    const bool way = !host->exchanging && !host->answered_orders && now >= host->direct_after &&
                     !host->addr.empty();
    if (waits && way && exchanges_ < k::kExchangesMax) {
      auto orders = orders_.compose(*host, now, starting);
      // Clearing alone is not worth a message of its own.
      if (beyond_clearing(orders)) exchange(*host, orders);
    }
    it = waits ? std::next(it) : attention.erase(it);
  }
}

void Leader::exchange(state::Host& host, const std::vector<wire::Order>& orders) {
  host.exchanging = true;
  ++exchanges_;
  // The session of a machine that is not known yet is most likely its first;
  // if not, the refusal tells.
  const std::uint64_t session = std::max<std::uint64_t>(1, host.session);
  context_.workers.order(
      host.addr, token(host), session, orders,
      scope_.wrap([this, id = host.id, stated = !orders.empty()](
                      const clients::OrdersResult& result) { on_exchange(id, stated, result); }));
}

void Leader::on_exchange(const std::string& id, bool stated, const clients::OrdersResult& result) {
  using Outcome = clients::OrdersResult::Outcome;
  --exchanges_;
  orders_due_ = true;
  auto* host = model_.find_host(id);
  if (host == nullptr) return;
  host->exchanging = false;
  host->exchanged_at = context_.event_loop.now();
  model_.attention().insert(host);
  const double now = context_.event_loop.now();
  if (result.outcome == Outcome::never || result.outcome == Outcome::unknown) {
    host->direct_after = now + k::kOrdersPause;
    // They may yet be carried out, minutes later. From now on every message to
    // the machine carries a higher token, which makes them void; until the
    // machine has shown it, nothing that they name is given to another.
    if (result.outcome == Outcome::unknown && stated) raise_fence(*host);
    return;
  }
  if (!result.report || result.report->host != id || !is_newer(*host, *result.report)) return;
  read_report(*host, *result.report, false, now);
}

void Leader::synchronize_hosts(double now) {
  // After a takeover: nothing may be moved before a machine has shown the new
  // token, and its next report may be long in coming.
  std::size_t left = k::kSyncPerTick;
  for (auto& [id, host] : model_.hosts()) {
    if (left == 0 || exchanges_ >= k::kExchangesMax) return;
    const bool known =
        host->recorded() && !host->addr.empty() && !host->session_known && !host->releasing;
    if (!known || host->exchanging || now < host->direct_after) continue;
    if (host->heard && now - host->last_answer < 1) continue;  // its answer is on the way
    --left;
    host->direct_after = now + 1;
    exchange(*host, {});
  }
}

void Leader::tick() {
  decide_ = true;
  expiry_.update_delegations(context_.event_loop.now());
  expiry_.expire(context_.event_loop.now());
  fleet_.tick();
  const bool starting = may_start();
  if (std::exchange(starting_, starting) != starting) {
    spdlog::info(starting ? "starting tasks again"
                          : "starting nothing until the records are known to be current");
  }
  if (leader_lease_valid()) synchronize_hosts(context_.event_loop.now());
  orders_due_ = true;
}

void Leader::after_batch() {
  const double now = context_.event_loop.now();
  if (decide_) {
    if (now >= next_decide_) {
      decide_ = false;
      next_decide_ = now + k::kDecideEvery;
      planner_.decide(now);
      finalize_jobs();
    } else {
      wake_.after(next_decide_ - now, [] {});
    }
  }
  group_commit_.flush();
  give_orders();
}

}  // namespace elmstall::controller
