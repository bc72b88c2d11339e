#include "support/fake_state.hpp"

#include <algorithm>

namespace elmstall::test {

using store::Outcome;

namespace {
// Far fewer changes than the real store keeps, so that logs are compacted (410) in tests, too.
constexpr std::size_t kLogLength = 300;
}  // namespace

void FakeState::record(const std::string& key, std::optional<std::string> value) {
  log_.push_back({key, std::move(value), revision_});
  if (log_.size() <= kLogLength) return;
  compacted_revision_ = log_.front().mod_revision;
  log_.pop_front();
}

bool FakeState::exceeds_size_limits(const wire::Transaction& transaction) const {
  if (!limits) return false;
  const auto ops = static_cast<std::size_t>(limits->transaction_writes_max);
  if (transaction.writes.size() > ops || transaction.preconditions.size() > 4 * ops) return true;
  return std::any_of(
      transaction.writes.begin(), transaction.writes.end(), [&](const wire::Write& write) {
        if (!write.value) return false;
        const auto size = wire::json_size(wire::Document::parse(*write.value).root());
        return static_cast<double>(size) > limits->value_kb * 1024;
      });
}

bool FakeState::exceeds_write_rate(const wire::Transaction& transaction) {
  if (!limits || !enforce_write_rate) return false;
  const double rate = limits->write_rps;
  write_tokens_ = std::min(rate, write_tokens_ + (loop_.now() - write_tokens_updated_at_) * rate);
  write_tokens_updated_at_ = loop_.now();
  const auto changes = static_cast<double>(transaction.writes.size());
  if (changes > write_tokens_) return true;
  write_tokens_ -= changes;
  return false;
}

store::CommitResult FakeState::commit(const wire::Transaction& transaction) {
  expire();
  if (exceeds_size_limits(transaction)) {
    ++rejected_transactions;
    return {Outcome::rejected, revision_, {}};
  }
  if (exceeds_write_rate(transaction)) return {Outcome::unavailable, revision_, {}};
  store::CommitResult result;
  for (const auto& precondition : transaction.preconditions) {
    const auto found = items_.find(precondition.key);
    if ((found == items_.end() ? 0 : found->second.mod_revision) != precondition.mod_revision)
      result.failed.push_back(precondition.key);
  }
  result.outcome = result.failed.empty() ? Outcome::ok : Outcome::conflict;
  if (result.outcome == Outcome::ok) {
    for (const auto& write : transaction.writes) {
      if (write.lease != 0 && !leases_.contains(write.lease))
        return {Outcome::no_lease, revision_, {}};
    }
    if (!transaction.writes.empty()) ++revision_;
    for (const auto& write : transaction.writes) {
      if (write.value)
        items_[write.key] = {*write.value, revision_, write.lease};
      else if (items_.erase(write.key) == 0)
        continue;
      record(write.key, write.value);
    }
  }
  result.revision = revision_;
  if (result.outcome == Outcome::ok && on_commit) on_commit(transaction);
  return result;
}

store::GetResult FakeState::get(const std::string& key) {
  expire();
  const auto found = items_.find(key);
  if (found == items_.end()) return {Outcome::missing, {}, revision_};
  return {Outcome::ok, {key, found->second.value, found->second.mod_revision}, revision_};
}

store::ListResult FakeState::list(const std::string& prefix, const std::string& since,
                                  std::size_t most) {
  expire();
  store::ListResult result{Outcome::ok, {}};
  for (auto it = items_.upper_bound(std::max(since, prefix));
       it != items_.end() && it->first.starts_with(prefix); ++it) {
    if (result.listing.entries.size() == most) {
      result.listing.truncated = true;
      break;
    }
    result.listing.entries.push_back({it->first, it->second.value, it->second.mod_revision});
  }
  result.listing.revision = revision_;
  return result;
}

std::optional<wire::Changes> FakeState::changes(const std::string& prefix, std::uint64_t since) {
  expire();
  if (since < compacted_revision_) return std::nullopt;
  wire::Changes changes{revision_, {}};
  for (const auto& change : log_) {
    if (change.mod_revision > since && change.key.starts_with(prefix))
      changes.log.push_back(change);
  }
  return changes;
}

std::uint64_t FakeState::grant(double life_s) {
  leases_[next_lease_] = {life_s, loop_.now() + life_s};
  loop_.after(life_s + 0.01, [this] { expire(); });
  return next_lease_++;
}

bool FakeState::renew(std::uint64_t lease) {
  expire();
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  found->second.expires_at = loop_.now() + found->second.duration_s;
  loop_.after(found->second.duration_s + 0.01, [this] { expire(); });
  return true;
}

void FakeState::refresh_leases() {
  for (auto& [id, lease] : leases_) {
    lease.expires_at = loop_.now() + lease.duration_s;
    loop_.after(lease.duration_s + 0.01, [this] { expire(); });
  }
}

void FakeState::expire() {
  if (down) return;
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expires_at > loop_.now()) {
      ++lease;
      continue;
    }
    bool counted = false;
    for (auto item = items_.begin(); item != items_.end();) {
      if (item->second.lease != lease->first) {
        ++item;
        continue;
      }
      if (!std::exchange(counted, true)) ++revision_;
      record(item->first, std::nullopt);
      item = items_.erase(item);
    }
    lease = leases_.erase(lease);
  }
}

template <typename Result>
void FakeStore::exchange(std::function<Result()> execute, std::function<void(Result)> done,
                         Result unavailable, Result lost, bool may_be_late,
                         std::function<void()> repeat) {
  const auto respond = [this, done = std::move(done), alive = std::weak_ptr<char>(alive_)](
                           double delay, Result result) {
    loop_.after(delay, [done, alive, result = std::move(result)] {
      if (!alive.expired()) done(result);
    });
  };
  if (state_.down || faults.refused) return respond(0.003, std::move(unavailable));
  if (may_be_late && chance(faults.late_write_share)) {
    respond(1.5, std::move(lost));
    loop_.after(faults.late_write_delay_s > 0
                    ? faults.late_write_delay_s
                    : 2 + 10 * std::uniform_real_distribution<double>(0, 1)(random_),
                [this, execute] {
                  if (!state_.down) (void)execute();
                });
    return;
  }
  if (chance(faults.lost_share)) {
    respond(1.5, std::move(lost));
    if (chance(0.5))
      loop_.after(0.002, [execute] { (void)execute(); });  // executed, response lost
    else if (may_be_late && chance(faults.late_lost_share))
      loop_.after(20 + 60 * std::uniform_real_distribution<double>(0, 1)(random_),
                  [execute] { (void)execute(); });
    return;
  }
  const double added_delay =
      faults.max_added_delay_s * std::uniform_real_distribution<double>(0, 1)(random_);
  loop_.after(0.002 + added_delay / 2, [this, execute, respond, unavailable, added_delay, repeat] {
    if (!state_.down && repeat && copies != nullptr) copies->repeat(repeat);
    respond(0.002 + added_delay / 2, state_.down ? unavailable : execute());
  });
}

void FakeStore::get(const std::string& key, std::function<void(store::GetResult)> done) {
  ++get_count;
  exchange<store::GetResult>([this, key] { return state_.get(key); }, std::move(done),
                             {Outcome::unavailable, {}, 0}, {}, false);
}

void FakeStore::list(const std::string& prefix, const std::string& since,
                     std::function<void(store::ListResult)> done) {
  // Small pages, so that loading takes several requests and changes happen between them.
  exchange<store::ListResult>([this, prefix, since] { return state_.list(prefix, since, 7); },
                              std::move(done), {Outcome::unavailable, {}}, {}, false);
}

void FakeStore::commit(wire::Transaction transaction,
                       std::function<void(store::CommitResult)> done) {
  exchange<store::CommitResult>([this, transaction] { return state_.commit(transaction); },
                                std::move(done), {Outcome::unavailable, 0, {}}, {}, true,
                                [this, transaction] { commit_copy(transaction); });
}

void FakeStore::commit_copy(const wire::Transaction& transaction) {
  if (state_.down || state_.commit(transaction).outcome != Outcome::ok) return;
  for (const auto& write : transaction.writes) copies->written_keys.push_back(write.key);
}

void FakeStore::grant(double life_s, std::function<void(store::GrantResult)> done) {
  exchange<store::GrantResult>(
      [this, life_s] {
        return store::GrantResult{Outcome::ok, state_.grant(life_s)};
      },
      std::move(done), {Outcome::unavailable, 0}, {}, false,
      [this, life_s] { (void)state_.grant(life_s); });
}

void FakeStore::renew(std::uint64_t lease, std::function<void(Outcome)> done) {
  exchange<Outcome>([this, lease] { return state_.renew(lease) ? Outcome::ok : Outcome::missing; },
                    std::move(done), Outcome::unavailable, Outcome::unknown, false,
                    [this, lease] { (void)state_.renew(lease); });
}

void FakeStore::watch(const std::string& prefix, std::uint64_t since, double hold_s,
                      std::function<void(store::WatchResult)> done) {
  const double until = loop_.now() + hold_s;
  loop_.after(0.002, [this, prefix, since, until, done = std::move(done),
                      alive = std::weak_ptr<char>(alive_)] {
    if (!alive.expired()) poll_watch(prefix, since, until, done);
  });
}

void FakeStore::poll_watch(std::string prefix, std::uint64_t since, double until,
                           std::function<void(store::WatchResult)> done) {
  const bool stalled =
      state_.down || faults.refused || faults.watch_stalled;  // open watches report nothing
  if (!stalled) {
    auto changes = state_.changes(prefix, since);
    if (!changes) return done({Outcome::compacted, {}});
    if (!changes->log.empty() || loop_.now() >= until)
      return done({Outcome::ok, std::move(*changes)});
  } else if (loop_.now() >= until + 2) {
    return done({Outcome::unknown, {}});
  }
  loop_.after(0.01, [this, prefix = std::move(prefix), since, until, done = std::move(done),
                     alive = std::weak_ptr<char>(alive_)]() mutable {
    if (!alive.expired()) poll_watch(std::move(prefix), since, until, std::move(done));
  });
}

}  // namespace elmstall::test
