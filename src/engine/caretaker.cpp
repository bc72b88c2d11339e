#include "engine/caretaker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::engine {

namespace k = constants;
using ledger::Outcome;

void Caretaker::on_report(wire::Report report, net::Responder respond) {
  if (report.zone != settings_.zone) return respond({503, {}, 0});
  if (entitled()) return answer(report, respond);
  waiting_.push_back({std::move(report), std::move(respond), runtime_.now() + k::kForwardTimeout});
  if (state_ == State::idle) begin();
}

bool Caretaker::entitled() const {
  const double now = runtime_.now();
  return state_ == State::active && now < renewed_ + k::kCareLease * (1 - k::kDrift) - k::kCareMargin &&
         mirror_.loaded() && mirror_.revision() >= revision_ && now - proof_.current_as_of() < k::kCareKnowledge;
}

void Caretaker::answer(const wire::Report& report, const net::Responder& respond) const {
  const auto found = mirror_.hosts().find(report.host);
  // Unknown to the leader, or about to be called gone: not ours to keep.
  if (found == mirror_.hosts().end() || found->second.record.retired) return respond({503, {}, 0});
  std::vector<wire::Order> orders;
  for (const auto& task : report.tasks) {
    const auto* job = mirror_.job(task.job);
    if (job == nullptr || !job->record.cancelled || task.state == wire::TaskState::ended) continue;
    orders.push_back({wire::Verb::stop, task.job, task.index, task.attempt, 0});
  }
  // The leader may have raised this machine's fence: a lower token than it has
  // seen would be dropped, and with it the lease.
  const bool present = report.token >> k::kTokenFenceBits == mirror_.term();
  respond({200, wire::encode_orders(present ? report.token : mirror_.term() << k::kTokenFenceBits, orders), 0});
}

void Caretaker::begin() {
  state_ = State::starting;
  const auto round = ++round_;
  const double sent = runtime_.now();
  const auto fail = [this, round] {
    if (round == round_) state_ = State::idle;
  };
  store_.grant(k::kCareLease, scope_.wrap([this, round, fail, sent](const ledger::GrantResult& granted) {
    if (round != round_) return;
    if (granted.outcome != Outcome::ok) return fail();
    lease_ = granted.lease;
    wire::Txn txn;
    txn.guards = {{std::string(ledger::kTermKey), mirror_.term_stamp()}};
    txn.writes = {{ledger::care_key(settings_.node), ledger::encode(ledger::CareRecord{settings_.zone}), lease_}};
    store_.commit(std::move(txn), scope_.wrap([this, round, fail, sent](const ledger::CommitResult& result) {
      if (round != round_) return;
      if (result.outcome != Outcome::ok) return fail();
      spdlog::info("taking care of {}: its leader can't be heard", settings_.zone);
      state_ = State::active;
      renewed_ = sent;  // the lease was granted later than this
      revision_ = result.revision;
      answer_waiting();
    }));
  }));
}

void Caretaker::renew() {
  const double sent = runtime_.now();
  next_renew_ = sent + k::kRenewEvery;
  store_.renew(lease_, scope_.wrap([this, sent, round = round_](Outcome outcome) {
    if (round != round_) return;
    if (outcome == Outcome::ok) renewed_ = std::max(renewed_, sent);
    else if (outcome == Outcome::missing) end("its lease ran out");
  }));
}

void Caretaker::end(const char* why) {
  spdlog::info("no longer taking care of {}: {}", settings_.zone, why);
  state_ = State::idle;
  ++round_;
  heard_since_ = -1;
  // Falling silent first, then removing the record; should that fail the
  // lease removes it.
  const auto found = mirror_.cares().find(settings_.node);
  if (found == mirror_.cares().end()) return;
  wire::Txn txn;
  txn.guards = {{ledger::care_key(settings_.node), found->second.second}};
  txn.writes = {{ledger::care_key(settings_.node), std::nullopt, 0}};
  store_.commit(std::move(txn), [](const ledger::CommitResult&) {});
}

void Caretaker::answer_waiting() {
  const double now = runtime_.now();
  std::vector<Waiting> left;
  for (auto& one : waiting_) {
    if (entitled()) answer(one.report, one.respond);
    else if (now >= one.until) one.respond({503, {}, 0});
    else left.push_back(std::move(one));
  }
  waiting_ = std::move(left);
}

void Caretaker::tick(bool leader_heard) {
  const double now = runtime_.now();
  answer_waiting();
  if (state_ != State::active) return;
  if (!leader_heard) heard_since_ = -1;
  else if (heard_since_ < 0) heard_since_ = now;
  if (leader_heard && now - heard_since_ >= k::kCareEnd) return end("its leader is heard again");
  if (now >= next_renew_) renew();
}

}  // namespace elmstall::engine
