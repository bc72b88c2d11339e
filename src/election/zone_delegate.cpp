#include "election/zone_delegate.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::election {

namespace k = constants;
using store::Outcome;

void ZoneDelegate::on_heartbeat(Waiting waiting, const View& view) {
  if (waiting.heartbeat.zone != settings_.zone) return waiting.respond({503, {}, 0});
  // It would drop an answer of ours, and be kept here while its lease runs out.
  if (waiting.heartbeat.token >> k::kTokenFenceBits > mirror_.term())
    return waiting.respond({503, {}, 0});
  if (delegation_valid() || may_reply_unrecorded(waiting.heartbeat.machine, view))
    return reply(waiting.heartbeat, waiting.respond);
  waiting_.push_back(std::move(waiting));
  if (state_ == State::idle) begin();
}

bool ZoneDelegate::may_reply_unrecorded(const std::string& machine, const View& view) const {
  const double now = loop_.now();
  if (view.leader_heard || view.state_reachable || !mirror_.loaded()) return false;
  // As for a leader: what is known of the term and of cancellations must be
  // recent enough, in the moment of the answer.
  if (now - read_index_.current_as_of() >= settings_.leader_lease_s()) return false;
  if (!view.neighbour.empty()) return true;
  // Perhaps only this node is cut off, and its workers can do better elsewhere:
  // one that was sent away and is back could not.
  const auto sent = turned_away_.find(machine);
  return sent != turned_away_.end() && now > sent->second;
}

void ZoneDelegate::turn_away(const Waiting& one, const View& view) {
  turned_away_[one.heartbeat.machine] = loop_.now();
  // In a zone that is cut off the others are not to be reached, and trying
  // them takes 5 s each. With us or our neighbour it is heard when the cut ends.
  if (!view.neighbour.empty()) {
    one.respond({421, wire::encode_redirect(view.neighbour), 0});
  } else {
    one.respond({503, {}, 0});
  }
}

bool ZoneDelegate::delegation_valid() const {
  const double now = loop_.now();
  return state_ == State::active &&
         now < renewed_ + k::kDelegationLease * (1 - k::kDrift) - k::kDelegationMargin &&
         mirror_.loaded() && mirror_.revision() >= revision_ &&
         now - read_index_.current_as_of() < k::kDelegationKnowledge;
}

void ZoneDelegate::reply(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond) {
  const auto found = mirror_.machines().find(heartbeat.machine);
  // Unknown to the leader, or about to be called gone: not ours to keep.
  if (found == mirror_.machines().end() || found->second.record.retired)
    return respond({503, {}, 0});
  if (may_start_cancelled(heartbeat)) return respond({503, {}, 0});
  std::vector<wire::WorkerCommand> commands;
  for (const auto& task : heartbeat.tasks) {
    const auto* job = mirror_.job(task.job);
    if (job == nullptr || !job->record.cancelled || task.state == wire::TaskState::ended) continue;
    commands.push_back({wire::Verb::stop, task.job, task.index, task.attempt, 0});
  }
  replied_at_ = loop_.now();
  // The leader may have raised this machine's fence: a lower token than it has
  // seen would be dropped, and with it the lease.
  const bool present = heartbeat.token >> k::kTokenFenceBits == mirror_.term();
  respond({200,
           wire::encode_heartbeat_reply(
               present ? heartbeat.token : mirror_.term() << k::kTokenFenceBits, commands),
           0});
}

bool ZoneDelegate::may_start_cancelled(const wire::WorkerHeartbeat& heartbeat) const {
  // A `run` that is held on its way is carried out whenever it arrives, as
  // long as the machine has seen no higher token and its epoch lives. A
  // zone delegate has no higher token to give, so it ends the epoch instead.
  for (const auto& id : mirror_.cancelled()) {
    const auto* blocks = mirror_.blocks(id);
    if (blocks == nullptr) continue;
    for (const auto& [number, block] : *blocks) {
      const bool held = std::any_of(
          block.record.tasks.begin(), block.record.tasks.end(), [&](const store::TaskRecord& task) {
            return task.machine == heartbeat.machine &&
                   std::none_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                                [&](const wire::TaskStatus& shown) {
                                  return shown.index == task.index &&
                                         shown.attempt == task.attempt && shown.job == id;
                                });
          });
      if (held) return true;
    }
  }
  return false;
}

void ZoneDelegate::begin() {
  state_ = State::starting;
  const auto round = ++round_;
  const double sent = loop_.now();
  const auto fail = [this, round] {
    if (round == round_) state_ = State::idle;
  };
  store_.grant(k::kDelegationLease, scope_.wrap([this, round, fail,
                                                 sent](const store::GrantResult& granted) {
    if (round != round_) return;
    if (granted.outcome != Outcome::ok) return fail();
    lease_ = granted.lease;
    wire::Transaction transaction;
    // By its own version too: an earlier attempt's transaction that is applied
    // later would hang the record on that attempt's lease.
    const auto key = store::delegation_key(settings_.node);
    const auto own = mirror_.delegations().find(settings_.node);
    transaction.preconditions = {
        {std::string(store::kTermKey), mirror_.term_revision()},
        {key, own == mirror_.delegations().end() ? 0 : own->second.mod_revision}};
    transaction.writes = {{key, store::encode(store::DelegationRecord{settings_.zone}), lease_}};
    store_.commit(std::move(transaction),
                  scope_.wrap([this, round, fail, sent](const store::CommitResult& result) {
                    if (round != round_) return;
                    if (result.outcome != Outcome::ok) return fail();
                    spdlog::info("zone delegate of {}: its leader is unreachable", settings_.zone);
                    state_ = State::active;
                    renewed_ = sent;  // the lease was granted later than this
                    revision_ = result.revision;
                  }));
  }));
}

void ZoneDelegate::renew() {
  const double sent = loop_.now();
  next_renew_ = sent + k::kRenewInterval;
  store_.renew(lease_, scope_.wrap([this, sent, round = round_](Outcome outcome) {
    if (round != round_) return;
    if (outcome == Outcome::ok) {
      renewed_ = std::max(renewed_, sent);
    } else if (outcome == Outcome::missing) {
      end("its lease ran out");
    }
  }));
}

void ZoneDelegate::end(const char* why) {
  const bool delegated = std::exchange(state_, State::idle) == State::active;
  ++round_;
  heard_since_ = -1;
  if (!delegated) return;
  spdlog::info("no longer zone delegate of {}: {}", settings_.zone, why);
  // Falling silent first, then removing the record; should that fail the
  // lease removes it.
  const auto found = mirror_.delegations().find(settings_.node);
  if (found == mirror_.delegations().end()) return;
  wire::Transaction transaction;
  transaction.preconditions = {{store::delegation_key(settings_.node), found->second.mod_revision}};
  transaction.writes = {{store::delegation_key(settings_.node), std::nullopt, 0}};
  store_.commit(std::move(transaction), [](const store::CommitResult&) {});
}

void ZoneDelegate::reply_to_waiting(const View& view) {
  const double now = loop_.now();
  std::vector<Waiting> left;
  for (auto& one : waiting_) {
    if (delegation_valid() || may_reply_unrecorded(one.heartbeat.machine, view)) {
      reply(one.heartbeat, one.respond);
    } else if (now >= one.until) {
      turn_away(one, view);
    } else {
      left.push_back(std::move(one));
    }
  }
  waiting_ = std::move(left);
}

void ZoneDelegate::tick(const View& view) {
  const double now = loop_.now();
  reply_to_waiting(view);
  std::erase_if(turned_away_, [&](const auto& entry) {
    return view.leader_heard || now - entry.second > k::kTurnedAwayMemory;
  });
  if (state_ != State::active) return;
  if (!view.leader_heard) {
    heard_since_ = -1;
  } else if (heard_since_ < 0) {
    heard_since_ = now;
  }
  if (view.leader_heard && now - heard_since_ >= k::kDelegationEnd)
    return end("its leader is heard again");
  if (now >= next_renew_) renew();
}

}  // namespace elmstall::election
