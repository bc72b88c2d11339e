#include "election/zone_delegate.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"
#include "wire/fencing_token.hpp"

namespace elmstall::election {

namespace k = constants;
using store::Outcome;

namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kMisdirected = 421;

bool lists_attempt(const wire::WorkerHeartbeat& heartbeat, const std::string& job,
                   const store::TaskRecord& task) {
  return std::any_of(
      heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](const wire::TaskStatus& status) {
        return status.index == task.index && status.attempt == task.attempt && status.job == job;
      });
}

}  // namespace

ZoneDelegate::ZoneDelegate(Context context)
    : context_(context), scope_(context.queue), replied_at_(context.event_loop.now()) {}

// --- heartbeats --------------------------------------------------------------------

void ZoneDelegate::on_heartbeat(PendingHeartbeat heartbeat, const Connectivity& connectivity) {
  const bool other_zone = heartbeat.heartbeat.zone != context_.settings.zone;
  // A worker that has received a token of a later term would drop this reply. It would keep sending
  // its heartbeats to this node until its lease expires.
  const bool later_term = wire::term_of_token(heartbeat.heartbeat.token) > context_.mirror.term();
  if (other_zone || later_term) return heartbeat.respond({kServiceUnavailable, {}, 0});
  if (may_reply(heartbeat.heartbeat.machine, connectivity))
    return reply(heartbeat.heartbeat, heartbeat.respond);
  waiting_.push_back(std::move(heartbeat));
  if (state_ == State::idle) request_delegation();
}

bool ZoneDelegate::may_reply(const std::string& machine, const Connectivity& connectivity) const {
  return delegation_valid() || may_reply_unrecorded(machine, connectivity);
}

bool ZoneDelegate::delegation_valid() const {
  if (state_ != State::active || !renewed_at_) return false;
  const double now = context_.event_loop.now();
  const double lease_ends =
      *renewed_at_ + k::kDelegationLease * (1 - k::kMaxClockDrift) - k::kDelegationMargin;
  const auto& mirror = context_.mirror;
  return now < lease_ends && mirror.loaded() && mirror.revision() >= recorded_at_revision_ &&
         now - context_.read_index.current_as_of() < k::kDelegateMaxRecordsAge;
}

bool ZoneDelegate::may_reply_unrecorded(const std::string& machine,
                                        const Connectivity& connectivity) const {
  if (connectivity.leader_reachable || connectivity.state_reachable) return false;
  if (!context_.mirror.loaded()) return false;
  // As with a leader, the copy of the records, which contains the term and the cancellations, must
  // be recent enough at the moment of the reply (docs/design.md, rule 5).
  const double now = context_.event_loop.now();
  const double records_age = now - context_.read_index.current_as_of();
  if (records_age >= context_.settings.leader_lease_s()) return false;
  if (!connectivity.cut_off_zone_peer.empty()) return true;
  // Perhaps only this node is partitioned, and other controllers can serve its workers. A worker
  // that was refused here and has come back was not served by another controller.
  const auto refused = last_refused_at_.find(machine);
  return refused != last_refused_at_.end() && now > refused->second;
}

void ZoneDelegate::refuse_or_redirect(const PendingHeartbeat& heartbeat,
                                      const Connectivity& connectivity) {
  last_refused_at_[heartbeat.heartbeat.machine] = context_.event_loop.now();
  const auto& zone_peer = connectivity.cut_off_zone_peer;
  if (zone_peer.empty()) return heartbeat.respond({kServiceUnavailable, {}, 0});
  // In a partitioned zone, controllers of other zones can't be reached, and
  // trying each of them takes a worker 5 s. If the worker stays with this node or its peer,
  // the leader receives its heartbeats as soon as the partition ends.
  heartbeat.respond({kMisdirected, wire::encode_redirect(zone_peer), 0});
}

void ZoneDelegate::reply(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond) {
  const auto& machines = context_.mirror.machines();
  const auto found = machines.find(heartbeat.machine);
  // The lease of a machine that is not in the records, or that the leader is about
  // to give up, must not be renewed (rule 6).
  if (found == machines.end() || found->second.record.retired)
    return respond({kServiceUnavailable, {}, 0});
  if (cancelled_run_may_be_in_flight(heartbeat)) return respond({kServiceUnavailable, {}, 0});
  replied_at_ = context_.event_loop.now();
  // The leader may have raised this machine's fence. The worker would drop a reply with a lower
  // token than the last one that it received, and its lease would run out.
  const auto term = context_.mirror.term();
  const auto token = wire::term_of_token(heartbeat.token) == term ? heartbeat.token
                                                                  : wire::first_token_of_term(term);
  respond({200, wire::encode_heartbeat_reply(token, stops_of_cancelled(heartbeat)), 0});
}

std::vector<wire::WorkerCommand> ZoneDelegate::stops_of_cancelled(
    const wire::WorkerHeartbeat& heartbeat) const {
  std::vector<wire::WorkerCommand> commands;
  for (const auto& task : heartbeat.tasks) {
    const auto* job = context_.mirror.job(task.job);
    if (job == nullptr || !job->record.cancelled || task.state == wire::TaskState::ended) continue;
    commands.push_back({wire::Verb::stop, task.job, task.index, task.attempt, 0});
  }
  return commands;
}

bool ZoneDelegate::cancelled_run_may_be_in_flight(const wire::WorkerHeartbeat& heartbeat) const {
  // A worker carries out a `run` that was delayed in the network whenever it arrives, as long as
  // it has received no higher token and its epoch has not ended. A zone delegate has no higher
  // token to send, so it lets the epoch end instead ("Held commands" in docs/design.md).
  const auto& mirror = context_.mirror;
  for (const auto& id : mirror.cancelled()) {
    const auto* blocks = mirror.blocks(id);
    if (blocks == nullptr) continue;
    for (const auto& [number, block] : *blocks) {
      const auto& tasks = block.record.tasks;
      const bool may_be_in_flight =
          std::any_of(tasks.begin(), tasks.end(), [&](const store::TaskRecord& task) {
            return task.machine == heartbeat.machine && !lists_attempt(heartbeat, id, task);
          });
      if (may_be_in_flight) return true;
    }
  }
  return false;
}

void ZoneDelegate::reply_to_waiting(const Connectivity& connectivity) {
  const double now = context_.event_loop.now();
  std::vector<PendingHeartbeat> still_waiting;
  for (auto& pending : waiting_) {
    if (may_reply(pending.heartbeat.machine, connectivity)) {
      reply(pending.heartbeat, pending.respond);
    } else if (now >= pending.deadline) {
      refuse_or_redirect(pending, connectivity);
    } else {
      still_waiting.push_back(std::move(pending));
    }
  }
  waiting_ = std::move(still_waiting);
}

// --- the record ----------------------------------------------------------------------

void ZoneDelegate::request_delegation() {
  state_ = State::recording;
  const auto attempt = ++attempt_;
  const double sent_at = context_.event_loop.now();
  context_.store.grant(k::kDelegationLease,
                       scope_.wrap([this, attempt, sent_at](const store::GrantResult& granted) {
                         if (attempt != attempt_) return;
                         if (granted.outcome != Outcome::ok) {
                           state_ = State::idle;
                           return;
                         }
                         lease_ = granted.lease;
                         record_delegation(attempt, sent_at);
                       }));
}

void ZoneDelegate::record_delegation(std::uint64_t attempt, double sent_at) {
  const auto& node = context_.settings.node;
  const auto& zone = context_.settings.zone;
  const auto key = store::delegation_key(node);
  const auto& delegations = context_.mirror.delegations();
  const auto own = delegations.find(node);
  const std::uint64_t own_revision = own == delegations.end() ? 0 : own->second.mod_revision;
  wire::Transaction transaction;
  // The record's own revision is a precondition, too. Otherwise a transaction of an earlier
  // attempt that is applied late could attach the record to that attempt's lease.
  transaction.preconditions = {{std::string(store::kTermKey), context_.mirror.term_revision()},
                               {key, own_revision}};
  transaction.writes = {{key, store::encode(store::DelegationRecord{zone}), lease_}};
  context_.store.commit(std::move(transaction),
                        scope_.wrap([this, attempt, sent_at](const store::CommitResult& result) {
                          if (attempt != attempt_) return;
                          if (result.outcome != Outcome::ok) {
                            state_ = State::idle;
                            return;
                          }
                          spdlog::info("zone delegate of {}: its leader is unreachable",
                                       context_.settings.zone);
                          state_ = State::active;
                          renewed_at_ = sent_at;  // the lease was granted later than this
                          recorded_at_revision_ = result.revision;
                        }));
}

void ZoneDelegate::renew() {
  const double sent_at = context_.event_loop.now();
  next_renewal_ = sent_at + k::kRenewInterval;
  context_.store.renew(lease_, scope_.wrap([this, sent_at, attempt = attempt_](Outcome outcome) {
    if (attempt != attempt_) return;
    if (outcome == Outcome::ok) {
      renewed_at_ = std::max(renewed_at_.value_or(sent_at), sent_at);
    } else if (outcome == Outcome::missing) {
      end("its lease ran out");
    }
  }));
}

void ZoneDelegate::end(const char* reason) {
  const bool was_active = std::exchange(state_, State::idle) == State::active;
  ++attempt_;
  leader_reachable_since_.reset();
  if (!was_active) return;
  spdlog::info("no longer zone delegate of {}: {}", context_.settings.zone, reason);
  // This node replies to no heartbeat from here on, so the record may be removed. If the removal
  // fails, the state store deletes the record when the lease ends.
  remove_record();
}

void ZoneDelegate::remove_record() {
  const auto& node = context_.settings.node;
  const auto& delegations = context_.mirror.delegations();
  const auto own = delegations.find(node);
  if (own == delegations.end()) return;
  const auto key = store::delegation_key(node);
  wire::Transaction transaction;
  transaction.preconditions = {{key, own->second.mod_revision}};
  transaction.writes = {{key, std::nullopt, 0}};
  context_.store.commit(std::move(transaction), [](const store::CommitResult&) {});
}

// --- periodic work -------------------------------------------------------------------

void ZoneDelegate::track_leader(bool leader_reachable, double now) {
  if (!leader_reachable) {
    leader_reachable_since_.reset();
  } else if (!leader_reachable_since_) {
    leader_reachable_since_ = now;
  }
}

void ZoneDelegate::tick(const Connectivity& connectivity) {
  const double now = context_.event_loop.now();
  reply_to_waiting(connectivity);
  std::erase_if(last_refused_at_, [&](const auto& entry) {
    return connectivity.leader_reachable || now - entry.second > k::kRefusedHeartbeatRetention;
  });
  if (state_ != State::active) return;
  track_leader(connectivity.leader_reachable, now);
  if (leader_reachable_since_ && now - *leader_reachable_since_ >= k::kDelegationEndDelay)
    return end("its leader is reachable again");
  if (now >= next_renewal_) renew();
}

}  // namespace elmstall::election
