#include "state/group_commit.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::state {

namespace k = constants;
using store::Outcome;

namespace {

/// Seconds. Pause after a transaction that failed a precondition, until the watch has most likely
/// delivered the change that made it fail.
constexpr double kConflictPause = 0.05;
/// Seconds. Pause before a transaction is built anew that was read back and not applied. It is
/// short, because the read-back has taken time already.
constexpr double kReadBackPause = 0.05;

/// Whether the slot holds the value with this number. A slot that can't be decoded does not.
bool holds_value(const store::GetResult& slot, std::uint64_t number) {
  if (slot.outcome != Outcome::ok) return false;
  try {
    return store::decode_slot(slot.entry.value).number == number;
  } catch (const wire::DecodeError& error) {
    spdlog::error("the value in {} can't be read: {}", slot.entry.key, error.what());
    return false;
  }
}

bool failed_on(const store::CommitResult& result, const std::string& key) {
  return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
}

}  // namespace

GroupCommit::GroupCommit(const config::Settings& settings, runtime::EventLoop& event_loop,
                         runtime::CommandQueue& queue, store::StateStore& store,
                         const store::Mirror& mirror, std::uint64_t term_revision, Events events)
    : loop_(event_loop),
      store_(store),
      mirror_(mirror),
      term_revision_(term_revision),
      events_(std::move(events)),
      scope_(queue),
      slots_(mirror.slots()),
      limits_(settings),
      commit_timer_(event_loop, queue) {}

// --- records ---------------------------------------------------------------------

GroupCommit::Record* GroupCommit::add(Record::Kind kind, std::string job,
                                      Record::PackFunction pack) {
  return records_.add(kind, std::move(job), std::move(pack));
}

GroupCommit::Record* GroupCommit::restore(Record::Kind kind, std::string job,
                                          Record::PackFunction pack, std::uint32_t slot) {
  auto* record = add(kind, std::move(job), std::move(pack));
  record->revision = slots_.mod_revision(slot);
  slots_.place(*record, slot, record->pack().json_bytes);
  return record;
}

void GroupCommit::mark_dirty(Record& record) { records_.mark_dirty(record); }

void GroupCommit::discard(Record& record, store::PackedEntry last) {
  record.remove = true;
  record.job.clear();
  record.absent_keys.clear();
  record.pack = [last = std::move(last)] { return last; };
  mark_dirty(record);
}

void GroupCommit::drop(Record& record) {
  slots_.remove(record);
  records_.erase(record);
}

void GroupCommit::finish(Finalization finalization) {
  auto job = finalization.job;
  finalizations_.emplace(std::move(job), std::move(finalization));
}

void GroupCommit::note_finished(const std::string& job) {
  const auto found = finalizations_.find(job);
  if (found == finalizations_.end()) return;
  for (auto* block : found->second.blocks) drop(*block);
  spdlog::debug("job removed: job={} state={} mirror_revision={}", job,
                wire::to_text(found->second.record.state), mirror_.revision());
  finalizations_.erase(found);
  events_.finished(job);
}

// --- sending ---------------------------------------------------------------------

void GroupCommit::flush() {
  const bool nothing_to_write = records_.dirty().empty() && finalizations_.empty();
  if (busy_ || nothing_to_write) return;
  // Rule 1: while the mirror is being loaded again, jobs are missing in it. Their blocks would
  // be taken for those of finished jobs, and would be lost with their attempt numbers.
  if (!mirror_.loaded() || mirror_.revision() < required_mirror_revision_) return;
  const double now = loop_.now();
  if (next_commit_at_ && now < *next_commit_at_)
    return commit_timer_.after(*next_commit_at_ - now, [this] { flush(); });
  const auto pending = build_transaction();
  if (!pending->values.empty()) send(pending);
}

GroupCommit::Pending GroupCommit::build_transaction() {
  TransactionBuilder builder(limits_, mirror_, records_, slots_, finalizations_, term_revision_);
  const auto already_stored = builder.add_finalizations();
  for (const auto& job : already_stored) note_finished(job);
  builder.add_values();
  auto pending = builder.take();
  pending.sent_at = loop_.now();
  return std::make_shared<const PendingCommit>(std::move(pending));
}

void GroupCommit::send(const Pending& pending) {
  busy_ = true;
  next_commit_at_ = pending->sent_at + k::kCommitInterval;
  store_.commit(pending->transaction,
                scope_.wrap([this, pending](const store::CommitResult& result) {
                  on_result(pending, result);
                }));
}

void GroupCommit::pause(double seconds) {
  busy_ = true;
  loop_.after(seconds, scope_.wrap([this] {
    busy_ = false;
    flush();
  }));
}

// --- outcomes --------------------------------------------------------------------

void GroupCommit::on_result(const Pending& pending, const store::CommitResult& result) {
  busy_ = false;
  switch (result.outcome) {
    case Outcome::ok:
      return on_applied(*pending, result.revision);
    case Outcome::conflict:
      return on_conflict(pending, result);
    case Outcome::unknown:
      return read_back(pending);
    case Outcome::rejected:
      return on_rejected(*pending);
    default:
      // It was not executed, most likely because all controllers together exceed the rate of
      // requests that the state store accepts.
      return pause(k::kCommitRetry);
  }
}

void GroupCommit::on_applied(const PendingCommit& pending, std::uint64_t revision) {
  events_.confirmed(pending.sent_at);
  limits_.on_accepted();
  for (const auto& value : pending.values) note_value_stored(value, revision);
  for (const auto& job : pending.finalized_jobs) note_finished(job);
}

void GroupCommit::note_value_stored(const SlotValue& value, std::uint64_t revision) {
  slots_.set_mod_revision(value.slot, revision);
  for (const auto& entry : value.entries) {
    auto* record = records_.find(entry.serial);
    if (record == nullptr) continue;  // dropped while the transaction was in flight
    slots_.remove(*record);
    // An entry that was only carried along keeps the revision of its first commit: rule 6
    // counts from the moment at which a retirement was first stored.
    if (record->written != entry.version || record->revision == 0) record->revision = revision;
    record->written = entry.version;
    if (record->clean()) {
      record->absent_keys.clear();
      records_.leave_queue(*record);
      if (record->remove) {
        drop(*record);
        continue;
      }
    }
    slots_.place(*record, value.slot, entry.json_bytes);
  }
}

void GroupCommit::on_conflict(const Pending& pending, const store::CommitResult& result) {
  // Rule 5: a controller that receives evidence of a later term stops leading at once.
  if (failed_on(result, std::string(store::kTermKey))) return events_.term_ended();
  // Only this leader writes the log. If a slot has changed, then an earlier transaction of
  // this leader, which was thought to be lost, was applied after all.
  const bool slot_changed = std::any_of(
      pending->values.begin(), pending->values.end(),
      [&](const SlotValue& value) { return failed_on(result, store::slot_key(value.slot)); });
  if (slot_changed) return read_back(pending);
  // Other controllers write the remaining records too. The next transaction is built once the
  // watch has delivered their change to the mirror.
  required_mirror_revision_ = std::max(required_mirror_revision_, result.revision);
  pause(kConflictPause);
}

void GroupCommit::on_rejected(const PendingCommit& pending) {
  // The state store rejects it as malformed. It is probably larger than the state store accepts,
  // although the settings allow it.
  spdlog::error("the state service refuses a transaction of {} changes and about {} bytes",
                pending.transaction.writes.size(), pending.json_bytes);
  const bool smaller = limits_.shrink() == CommitLimits::ShrinkResult::shrunk;
  pause(smaller ? k::kCommitRetry : k::kCommitRejectedPause);
}

// --- read back -------------------------------------------------------------------

void GroupCommit::read_back(const Pending& pending) {
  // The transaction may have been applied, or may be applied later. Until that is known none
  // of its entries counts as written. Building the entries anew does no harm: the new
  // transaction has the same slot revisions as preconditions, so that only one of the two can
  // be applied, or its values have higher numbers, so that they hold whichever is applied last
  // ("Lost answers of the state service" in docs/design.md).
  busy_ = true;
  // A transaction is applied whole or not at all, so one of its values is enough to look at.
  read_slot(pending, pending->values.front().slot, [this, pending](const store::GetResult& result) {
    if (!holds_value(result, pending->values.front().number)) return refresh_slots(pending);
    busy_ = false;
    on_applied(*pending, result.entry.mod_revision);
  });
}

void GroupCommit::refresh_slots(const Pending& pending) {
  // An earlier transaction of this leader may have been applied to any of these slots.
  auto slots_left = std::make_shared<std::size_t>(pending->values.size());
  for (const auto& value : pending->values) {
    read_slot(pending, value.slot,
              [this, slots_left, slot = value.slot](const store::GetResult& result) {
                const bool present = result.outcome == Outcome::ok;
                if (present || slots_.find(slot) != nullptr)
                  slots_.set_mod_revision(slot, present ? result.entry.mod_revision : 0);
                if (--*slots_left == 0) pause(kReadBackPause);
              });
  }
}

void GroupCommit::read_slot(const Pending& pending, std::uint32_t slot,
                            std::function<void(const store::GetResult&)> done) {
  store_.get(store::slot_key(slot),
             scope_.wrap([this, pending, done = std::move(done)](const store::GetResult& result) {
               if (result.outcome == Outcome::ok || result.outcome == Outcome::missing)
                 return done(result);
               loop_.after(k::kStateRetry, scope_.wrap([this, pending] { read_back(pending); }));
             }));
}

}  // namespace elmstall::state
