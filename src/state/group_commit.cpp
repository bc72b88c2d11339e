#include "state/group_commit.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::state {

namespace k = constants;
using store::Outcome;

GroupCommit::GroupCommit(const config::Settings& settings, runtime::EventLoop& event_loop,
                         runtime::CommandQueue& queue, store::StateStore& store,
                         const store::Mirror& mirror, std::uint64_t term_revision, Events events)
    : settings_(settings),
      loop_(event_loop),
      store_(store),
      mirror_(mirror),
      term_revision_(term_revision),
      events_(std::move(events)),
      scope_(queue),
      wake_(event_loop, queue) {
  for (const auto& [number, slot] : mirror.slots()) {
    slots_[number].mod_revision = slot.mod_revision;
    next_number_ = std::max(next_number_, slot.number + 1);
  }
}

GroupCommit::Record* GroupCommit::add(Record::Kind kind, std::string job,
                                      std::function<store::Packed()> pack) {
  auto record = std::make_unique<Record>();
  record->kind = kind;
  record->job = std::move(job);
  record->pack = std::move(pack);
  record->serial = next_serial_++;
  auto* result = record.get();
  records_[result->serial] = std::move(record);
  return result;
}

GroupCommit::Record* GroupCommit::restore(Record::Kind kind, std::string job,
                                          std::function<store::Packed()> pack, std::uint32_t slot) {
  auto* record = add(kind, std::move(job), std::move(pack));
  record->revision = slots_[slot].mod_revision;
  record->slot = slot;
  record->json = record->pack().json;
  slots_[slot].json += record->json;
  slots_[slot].live[record->serial] = record;
  return record;
}

void GroupCommit::mark_dirty(Record& record) {
  ++record.version;
  if (record.ticket != 0) return;
  record.ticket = next_ticket_++;
  dirty_[record.ticket] = &record;
}

void GroupCommit::discard(Record& record, store::Packed last) {
  record.remove = true;
  record.job.clear();
  record.absent.clear();
  record.pack = [last = std::move(last)] { return last; };
  mark_dirty(record);
}

void GroupCommit::finish(Finalization final) {
  auto job = final.job;
  finals_.emplace(std::move(job), std::move(final));
}

// --- building a transaction ------------------------------------------------------

std::size_t GroupCommit::value_limit() const {
  const auto bytes = store::value_bytes(settings_.state_limits().value_kb);
  return static_cast<std::size_t>(static_cast<double>(bytes) * scale_);
}

std::size_t GroupCommit::max_writes() const {
  return static_cast<std::size_t>(settings_.state_limits().transaction_writes_max);
}

std::size_t GroupCommit::max_values() const {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(max_writes()) / 2 * scale_));
}

std::uint32_t GroupCommit::choose_slot(const Pending& pending) const {
  // The one with the least to carry; a new one while even that is too much.
  const auto carry =
      static_cast<std::size_t>(settings_.state_limits().value_kb * 1024 * k::kSlotCarry * scale_);
  std::uint32_t fresh = 0;
  const Slot* best = nullptr;
  std::uint32_t best_number = 0;
  for (const auto& [number, slot] : slots_) {
    fresh = std::max(fresh, number + 1);
    const bool taken = std::any_of(pending.values.begin(), pending.values.end(),
                                   [n = number](const Value& value) { return value.slot == n; });
    if (taken || slot.json > carry || (best != nullptr && slot.json >= best->json)) continue;
    best = &slot;
    best_number = number;
  }
  for (const auto& value : pending.values) fresh = std::max(fresh, value.slot + 1);
  return best == nullptr || slots_.size() < k::kSlotsFirst ? fresh : best_number;
}

void GroupCommit::add_finals(Pending& pending) {
  std::vector<std::string> over;
  for (auto& [id, final] : finals_) {
    const auto* job = mirror_.job(id);
    if (job == nullptr) {
      // Written by a transaction of ours that seemed lost: a job's record is
      // removed with its final state only.
      over.push_back(id);
      continue;
    }
    // Cancelled meanwhile, though its tasks are done: the user was told so,
    // and that stands.
    if (job->record.cancelled) final.record.state = wire::JobState::cancelled;
    // One change is kept for the log.
    if (pending.transaction.writes.size() + 3 > max_writes()) break;
    auto value = store::encode(final.record);
    pending.transaction.preconditions.push_back({store::job_key(id), job->mod_revision});
    pending.transaction.preconditions.push_back({store::final_key(id), 0});
    pending.json += value.size() * 2 + 200;
    pending.transaction.writes.push_back({store::final_key(id), std::move(value), 0});
    pending.transaction.writes.push_back({store::job_key(id), std::nullopt, 0});
    pending.finals.push_back(id);
  }
  for (const auto& id : over) finished(id);
}

bool GroupCommit::live(const Record& record, const Pending& pending) const {
  // The final state of a job takes its blocks along; until it is written they
  // are carried, for a leader that found none would start from nothing.
  if (record.job.empty()) return true;
  return mirror_.job(record.job) != nullptr &&
         std::find(pending.finals.begin(), pending.finals.end(), record.job) ==
             pending.finals.end();
}

void GroupCommit::require_absent(Pending& pending, const Record& record) {
  if (record.clean()) return;
  for (const auto& key : record.absent) {
    const bool known = std::any_of(pending.transaction.preconditions.begin(),
                                   pending.transaction.preconditions.end(),
                                   [&](const auto& one) { return one.key == key; });
    if (!known) pending.transaction.preconditions.push_back({key, 0});
  }
}

void GroupCommit::put(Value& value, Record& record, store::Packed packed) {
  value.json += packed.json;
  value.entries.push_back({record.serial, record.version, packed.json});
  (record.kind == Record::Kind::machine ? value.machines : value.blocks)
      .push_back(std::move(packed.bytes));
}

bool GroupCommit::carry(Pending& pending, Value& value) {
  const auto old = slots_.find(value.slot);
  if (old == slots_.end()) return true;
  for (const auto& [serial, record] : old->second.live) {
    if (!live(*record, pending)) continue;
    require_absent(pending, *record);
    put(value, *record, record->pack());
  }
  // Its entries may have grown since they were written there.
  old->second.json = value.json;
  return value.json <= value_limit() / 2;
}

void GroupCommit::fill(Pending& pending, Value& value,
                       std::map<std::uint64_t, Record*>::iterator& next) {
  const auto limit = value_limit();
  for (; next != dirty_.end(); ++next) {
    auto& record = *next->second;
    // Blocks of finished jobs go with the final state, when its turn comes.
    if (record.slot == value.slot || !live(record, pending) || finals_.contains(record.job))
      continue;
    auto packed = record.pack();
    // By itself larger than any value may be: it must not hold up the others.
    if (packed.json > limit) continue;
    if (value.json + packed.json > limit) return;
    require_absent(pending, record);
    put(value, record, std::move(packed));
  }
}

void GroupCommit::add_values(Pending& pending) {
  auto next = dirty_.begin();
  const auto all = [&] { return next == dirty_.end(); };
  // Every transaction writes at least one value: its number tells, if the
  // answer gets lost, whether all of it was applied.
  do {
    Value value;
    do {
      value = Value{choose_slot(pending), next_number_++, 0, {}, {}, {}};
    } while (!carry(pending, value));
    fill(pending, value, next);
    if (pending.values.empty() && value.entries.empty() && pending.finals.empty()) return;
    if (!pending.values.empty() && value.entries.empty()) return;
    const auto known = slots_.find(value.slot);
    pending.transaction.preconditions.push_back(
        {store::slot_key(value.slot), known == slots_.end() ? 0 : known->second.mod_revision});
    pending.transaction.writes.push_back(
        {store::slot_key(value.slot),
         store::encode_slot(value.number, value.blocks, value.machines), 0});
    pending.json += value.json + 200;
    pending.values.push_back(std::move(value));
  } while (!all() && pending.transaction.writes.size() < max_values() &&
           pending.json + value_limit() < k::kMaxTransactionBytes);
}

void GroupCommit::flush() {
  if (busy_ || (dirty_.empty() && finals_.empty())) return;
  // While the copy of the records is read anew jobs are missing in it, and
  // their blocks would not be carried along.
  if (!mirror_.loaded() || mirror_.revision() < wait_revision_) return;
  const double now = loop_.now();
  if (now < next_commit_) return wake_.after(next_commit_ - now, [this] { flush(); });
  auto pending = std::make_shared<Pending>();
  pending->transaction.preconditions.push_back({std::string(store::kTermKey), term_revision_});
  add_finals(*pending);
  add_values(*pending);
  if (pending->values.empty()) return;
  busy_ = true;
  pending->sent = now;
  next_commit_ = now + k::kCommitInterval;
  // One change that carries what many wait for goes before any single one.
  store_.commit(pending->transaction,
                scope_.wrap([this, pending](const store::CommitResult& result) {
                  on_result(pending, result);
                }));
}

// --- what became of it -------------------------------------------------------------

void GroupCommit::on_result(const std::shared_ptr<Pending>& pending,
                            const store::CommitResult& result) {
  busy_ = false;
  switch (result.outcome) {
    case Outcome::ok:
      return succeed(*pending, result.revision);
    case Outcome::conflict: {
      const auto failed = [&](const std::string& key) {
        return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
      };
      if (failed(std::string(store::kTermKey))) return events_.deposed();
      // The log is ours alone: an earlier transaction, thought lost, was
      // applied after all. All other records change under other hands too,
      // and the watch tells.
      const bool ours =
          std::any_of(pending->values.begin(), pending->values.end(),
                      [&](const Value& value) { return failed(store::slot_key(value.slot)); });
      if (ours) return read_back(pending);
      wait_revision_ = std::max(wait_revision_, result.revision);
      return pause(0.05);
    }
    case Outcome::unknown:
      // It may have been applied, or may be later. Nothing counts as written;
      // what is built anew is guarded by the same versions or holds newer
      // numbers, so whichever copy comes second does no harm.
      return read_back(pending);
    case Outcome::rejected:
      return shrink(*pending);
    default:
      // Refused, most likely for the rate that all nodes share.
      return pause(k::kCommitRetry);
  }
}

void GroupCommit::shrink(const Pending& pending) {
  // Larger than the state service takes, though the settings allow it. Smaller
  // transactions get through; one that is as small as they come waits.
  spdlog::error("the state service refuses a transaction of {} changes and about {} bytes",
                pending.transaction.writes.size(), pending.json);
  accepted_ = 0;
  if (scale_ > k::kCommitScaleMin) {
    scale_ = std::max(k::kCommitScaleMin, scale_ / 2);
    return pause(k::kCommitRetry);
  }
  pause(k::kCommitRejectedPause);
}

void GroupCommit::regain() {
  if (scale_ >= 1 || ++accepted_ < k::kCommitScaleRegain) return;
  accepted_ = 0;
  scale_ = std::min(1.0, scale_ * 2);
}

void GroupCommit::read_back(const std::shared_ptr<Pending>& pending) {
  busy_ = true;
  // One transaction is applied whole or not at all: one of its values tells.
  const auto& first = pending->values.front();
  const auto ask = [this, pending](std::uint32_t slot,
                                   std::function<void(const store::GetResult&)> then) {
    store_.get(store::slot_key(slot),
               scope_.wrap([this, pending, then = std::move(then)](const store::GetResult& result) {
                 if (result.outcome == Outcome::ok || result.outcome == Outcome::missing)
                   return then(result);
                 loop_.after(k::kStateRetry, scope_.wrap([this, pending] { read_back(pending); }));
               }));
  };
  ask(first.slot, [this, pending, ask](const store::GetResult& result) {
    const auto& value = pending->values.front();
    if (result.outcome == Outcome::ok &&
        store::decode_slot(result.entry.value).number == value.number) {
      busy_ = false;
      return succeed(*pending, result.entry.mod_revision);
    }
    // Not applied. Learn the versions that an older copy may have left.
    auto left = std::make_shared<std::size_t>(pending->values.size());
    for (const auto& one : pending->values) {
      ask(one.slot, [this, left, slot = one.slot](const store::GetResult& found) {
        const bool present = found.outcome == Outcome::ok;
        if (present || slots_.contains(slot))
          slots_[slot].mod_revision = present ? found.entry.mod_revision : 0;
        if (--*left == 0) pause(0.05);
      });
    }
  });
}

void GroupCommit::succeed(const Pending& pending, std::uint64_t revision) {
  events_.confirmed(pending.sent);
  regain();
  for (const auto& value : pending.values) settle(value, revision);
  for (const auto& id : pending.finals) finished(id);
}

void GroupCommit::leave_slot(Record& record) {
  if (record.slot == Record::kNoSlot) return;
  auto& slot = slots_[record.slot];
  slot.json -= record.json;
  slot.live.erase(record.serial);
  record.slot = Record::kNoSlot;
}

void GroupCommit::settle(const Value& value, std::uint64_t revision) {
  slots_[value.slot].mod_revision = revision;
  for (const auto& entry : value.entries) {
    const auto found = records_.find(entry.serial);
    if (found == records_.end()) continue;
    auto& record = *found->second;
    leave_slot(record);
    if (record.written != entry.version || record.revision == 0) record.revision = revision;
    record.written = entry.version;
    if (record.clean()) {
      record.absent.clear();
      if (record.ticket != 0) dirty_.erase(record.ticket);
      record.ticket = 0;
      if (record.remove) {
        drop(record);
        continue;
      }
    }
    record.slot = value.slot;
    record.json = entry.json;
    slots_[value.slot].json += record.json;
    slots_[value.slot].live[record.serial] = &record;
  }
}

void GroupCommit::finished(const std::string& job) {
  const auto found = finals_.find(job);
  if (found == finals_.end()) return;
  for (auto* block : found->second.blocks) drop(*block);
  finals_.erase(found);
  events_.finished(job);
}

void GroupCommit::pause(double seconds) {
  busy_ = true;
  loop_.after(seconds, scope_.wrap([this] {
    busy_ = false;
    flush();
  }));
}

void GroupCommit::drop(Record& record) {
  leave_slot(record);
  if (record.ticket != 0) dirty_.erase(record.ticket);
  records_.erase(record.serial);
}

}  // namespace elmstall::state
