#include "engine/committer.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::engine {

using ledger::Outcome;

Committer::Committer(const config::Settings& settings, Runtime& runtime, CommandQueue& queue, ledger::Store& store,
                     const ledger::Mirror& mirror, std::uint64_t term_stamp, Events events)
    : settings_(settings), runtime_(runtime), store_(store), mirror_(mirror), term_stamp_(term_stamp), events_(std::move(events)), scope_(queue) {}

Committer::Record* Committer::add(std::string key, std::uint64_t stamp, std::string job, std::function<std::string()> encode) {
  auto record = std::make_unique<Record>();
  record->key = key;
  record->job = std::move(job);
  record->encode = std::move(encode);
  record->stamp = stamp;
  auto* result = record.get();
  records_[std::move(key)] = std::move(record);
  return result;
}

void Committer::touch(Record& record) {
  ++record.version;
  dirty_.insert(record.key);
}

void Committer::discard(Record& record) {
  record.remove = true;
  record.encode = nullptr;
  record.job.clear();
  touch(record);
}

void Committer::finish(Final final) {
  auto job = final.job;
  finals_.emplace(std::move(job), std::move(final));
}

bool Committer::room(const Pending& pending, std::size_t writes, std::size_t bytes) const {
  return pending.txn.writes.size() + writes <= static_cast<std::size_t>(settings_.txn_ops) &&
         pending.bytes + bytes <= constants::kMaxTxnBytes;
}

void Committer::add_finals(Pending& pending) {
  for (auto& [id, final] : finals_) {
    const auto* job = mirror_.job(id);
    if (job == nullptr) continue;  // the watch will tell
    // Cancelled meanwhile, though its tasks are done: the user was told so,
    // and that stands.
    if (job->record.cancelled) final.record.state = wire::JobState::cancelled;
    // Blocks that don't fit are removed afterwards: without their job they
    // mean nothing.
    const std::size_t most = static_cast<std::size_t>(settings_.txn_ops) - 2;
    const std::size_t blocks = std::min(final.blocks.size(), most);
    auto value = ledger::encode(final.record);
    if (!room(pending, 2 + blocks, value.size() + 200)) return;
    pending.txn.guards.push_back({ledger::job_key(id), job->stamp});
    pending.txn.guards.push_back({ledger::final_key(id), 0});
    pending.bytes += value.size() + 200;
    pending.txn.writes.push_back({ledger::final_key(id), std::move(value), 0});
    pending.txn.writes.push_back({ledger::job_key(id), std::nullopt, 0});
    for (std::size_t i = 0; i < blocks; ++i) {
      const auto& block = *final.blocks[i];
      pending.txn.guards.push_back({block.key, block.stamp});
      if (block.stamp != 0) pending.txn.writes.push_back({block.key, std::nullopt, 0});
    }
    pending.finals.push_back(id);
  }
}

void Committer::add_records(Pending& pending) {
  std::set<std::string> guarded;
  for (auto it = dirty_.begin(); it != dirty_.end();) {
    auto& record = *records_.at(*it);
    if (record.clean() || (record.remove && record.stamp == 0)) {
      const auto key = *it;
      it = dirty_.erase(it);
      if (record.remove) drop(key);
      continue;
    }
    ++it;
    // A job that gets its last word in this transaction takes its blocks along.
    if (!record.job.empty() && finals_.contains(record.job)) continue;
    const auto* job = record.job.empty() ? nullptr : mirror_.job(record.job);
    if (!record.job.empty() && job == nullptr) continue;
    std::optional<std::string> value;
    if (!record.remove) value = record.encode();
    const std::size_t bytes = (value ? value->size() : 0) + record.key.size() * 2 + 64;
    if (!room(pending, 1, bytes * 2)) return;
    if (job != nullptr && guarded.insert(record.job).second) {
      pending.txn.guards.push_back({ledger::job_key(record.job), job->stamp});
    }
    pending.txn.guards.push_back({record.key, record.stamp});
    for (const auto& key : record.absent) pending.txn.guards.push_back({key, 0});
    pending.txn.writes.push_back({record.key, std::move(value), 0});
    pending.bytes += bytes * 2;
    pending.records.emplace_back(record.key, record.version);
  }
}

void Committer::flush() {
  if (busy_ || (dirty_.empty() && finals_.empty())) return;
  if (mirror_.revision() < wait_revision_) return;
  auto pending = std::make_shared<Pending>();
  pending->txn.guards.push_back({std::string(ledger::kTermKey), term_stamp_});
  add_finals(*pending);
  add_records(*pending);
  if (pending->txn.writes.empty()) return;
  busy_ = true;
  pending->sent = runtime_.now();
  store_.commit(pending->txn, ledger::Urgency::bookkeeping,
                scope_.wrap([this, pending](const ledger::CommitResult& result) { on_result(pending, result); }));
}

void Committer::on_result(const std::shared_ptr<Pending>& pending, const ledger::CommitResult& result) {
  busy_ = false;
  std::set<std::string> keys;
  switch (result.outcome) {
    case Outcome::ok:
      return succeed(*pending, result.revision);
    case Outcome::conflict:
      for (const auto& key : result.failed) {
        if (key == ledger::kTermKey) return events_.deposed();
        // Records of jobs and caretakers are written by every node: the watch
        // brings their new stamps. All other keys are ours alone, so an
        // earlier transaction of ours, thought lost, was applied after all.
        if (const auto kind = ledger::parse_key(key).kind; kind == ledger::Key::Kind::job || kind == ledger::Key::Kind::care) wait_revision_ = std::max(wait_revision_, result.revision);
        else keys.insert(key);
      }
      return refresh(std::move(keys));
    case Outcome::unknown:
      // It may have been applied, or may be later. Nothing counts as written;
      // fresh stamps let it be written again, and whichever copy comes second
      // fails on its guards.
      for (const auto& [key, version] : pending->records) keys.insert(key);
      for (const auto& id : pending->finals) keys.insert(ledger::final_key(id));
      return refresh(std::move(keys));
    default:
      return pause(0.25);
  }
}

void Committer::succeed(const Pending& pending, std::uint64_t revision) {
  events_.confirmed(pending.sent);
  for (const auto& [key, version] : pending.records) {
    const auto found = records_.find(key);
    if (found == records_.end()) continue;
    auto& record = *found->second;
    record.stamp = revision;
    record.written = version;
    if (!record.clean()) continue;
    dirty_.erase(key);
    if (record.remove) drop(key);
  }
  for (const auto& id : pending.finals) finished(id);
  events_.committed();
}

void Committer::finished(const std::string& job) {
  const auto found = finals_.find(job);
  if (found == finals_.end()) return;
  const std::size_t most = static_cast<std::size_t>(settings_.txn_ops) - 2;
  auto blocks = std::move(found->second.blocks);
  finals_.erase(found);
  for (std::size_t i = 0; i < blocks.size(); ++i) {
    if (i < most) {
      dirty_.erase(blocks[i]->key);
      drop(blocks[i]->key);
    } else {
      discard(*blocks[i]);
    }
  }
  events_.finished(job);
}

void Committer::refresh(std::set<std::string> keys) {
  stale_.merge(keys);
  if (stale_.empty()) return pause(0.05);
  refresh_next();
}

void Committer::refresh_next() {
  if (stale_.empty()) return flush();
  busy_ = true;
  const std::string key = *stale_.begin();
  store_.get(key, scope_.wrap([this, key](const ledger::GetResult& result) {
    busy_ = false;
    if (result.outcome != Outcome::ok && result.outcome != Outcome::missing) return pause(0.3);
    stale_.erase(key);
    const auto parsed = ledger::parse_key(key);
    const bool present = result.outcome == Outcome::ok;
    if (parsed.kind == ledger::Key::Kind::final) {
      if (present) finished(parsed.id);
    } else if (const auto found = records_.find(key); found != records_.end()) {
      found->second->stamp = present ? result.entry.stamp : 0;
    }
    refresh_next();
  }));
}

void Committer::pause(double seconds) {
  busy_ = true;
  runtime_.after(seconds, scope_.wrap([this] {
    busy_ = false;
    if (stale_.empty()) flush();
    else refresh_next();
  }));
}

void Committer::drop(const std::string& key) { records_.erase(key); }

}  // namespace elmstall::engine
