#include "state/transaction_builder.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::state {

namespace {

/// Bytes. Room that the size estimate of a transaction allows for the keys, preconditions and
/// frame of one write beside its value.
constexpr std::size_t kWriteOverheadBytes = 200;
/// Bytes of JSON for one packed byte of a final state. An estimate with some reserve: numbers
/// take more bytes as JSON than packed.
constexpr std::size_t kFinalStateJsonGrowth = 2;
/// Writes. A finalization takes two: the final state, and the removal of the job's record.
constexpr std::size_t kWritesPerFinalization = 2;
/// Writes. Finalizations leave this many to the log, because every transaction writes at
/// least one value.
constexpr std::size_t kWritesKeptForLog = 1;

void add_entry(SlotValue& value, const CommitRecord& record, store::PackedEntry packed) {
  value.json_bytes += packed.json_bytes;
  value.entries.push_back({record.serial(), record.version, packed.json_bytes});
  auto& entries = record.kind == CommitRecord::Kind::machine ? value.machines : value.blocks;
  entries.push_back(std::move(packed.bytes));
}

}  // namespace

TransactionBuilder::TransactionBuilder(const CommitLimits& limits, const store::Mirror& mirror,
                                       const RecordTable& records, LogSlots& slots,
                                       Finalizations& finalizations, std::uint64_t term_revision)
    : limits_(limits),
      mirror_(mirror),
      records_(records),
      slots_(slots),
      finalizations_(finalizations) {
  // Rule 1: a transaction of a former leader must fail.
  pending_.transaction.preconditions.push_back({std::string(store::kTermKey), term_revision});
}

std::vector<std::string> TransactionBuilder::add_finalizations() {
  auto& transaction = pending_.transaction;
  std::vector<std::string> already_stored;
  for (auto& [id, finalization] : finalizations_) {
    const auto* job = mirror_.job(id);
    if (job == nullptr) {
      // The record of a job is removed only together with its final state being written. So an
      // earlier transaction, which seemed to be lost, was applied after all.
      already_stored.push_back(id);
      continue;
    }
    // Rule 8: the user may have cancelled the job after its last task was done. The job was then
    // reported as cancelled, so that is its final state.
    if (job->record.cancelled) finalization.record.state = wire::JobState::cancelled;
    const auto writes_after =
        transaction.writes.size() + kWritesPerFinalization + kWritesKeptForLog;
    if (writes_after > limits_.max_writes()) break;

    auto value = store::encode(finalization.record);
    // Rule 8: a cancellation that is not in this leader's mirror yet makes the transaction fail,
    // and a final state is never overwritten.
    transaction.preconditions.push_back({store::job_key(id), job->mod_revision});
    transaction.preconditions.push_back({store::final_key(id), 0});
    pending_.json_bytes += value.size() * kFinalStateJsonGrowth + kWriteOverheadBytes;
    transaction.writes.push_back({store::final_key(id), std::move(value), 0});
    transaction.writes.push_back({store::job_key(id), std::nullopt, 0});
    pending_.finalized_jobs.push_back(id);
  }
  return already_stored;
}

void TransactionBuilder::add_values() {
  const auto& transaction = pending_.transaction;
  auto next = records_.dirty().begin();
  bool room_left = true;
  while (room_left) {
    auto value = begin_value();
    next = add_dirty_records(value, next);
    // A value without entries is written only where a transaction of finalizations would have
    // no value at all. The number of its value shows whether a transaction was applied if the
    // answer to it is lost ("Lost answers of the state service" in docs/design.md).
    const bool needs_a_value = pending_.values.empty() && !pending_.finalized_jobs.empty();
    if (value.entries.empty() && !needs_a_value) return;
    write_value(std::move(value));
    room_left = next != records_.dirty().end() &&
                transaction.writes.size() < limits_.max_values() &&
                pending_.json_bytes + limits_.value_bytes() < constants::kMaxTransactionBytes;
  }
}

bool TransactionBuilder::must_be_kept(const CommitRecord& record) const {
  // The blocks of a job are obsolete once its record is removed. They are kept until then, for
  // a new leader that found no blocks of a job would use its attempt numbers again (rule 1).
  if (record.job.empty()) return true;
  if (mirror_.job(record.job) == nullptr) return false;
  const auto& finalized = pending_.finalized_jobs;
  return std::find(finalized.begin(), finalized.end(), record.job) == finalized.end();
}

SlotValue TransactionBuilder::begin_value() {
  // The live entries of a slot may have grown since they were stored there, or the limits may
  // have fallen. A slot that would leave less than half of the value to dirty records is not
  // overwritten. carry_live_entries() has corrected its size by then, so that the next choice
  // is another slot.
  while (true) {
    SlotValue value;
    value.slot = slots_.choose(taken_slots_, limits_.carried_bytes());
    value.number = slots_.take_value_number();
    if (slots_.find(value.slot) == nullptr) return value;
    carry_live_entries(value);
    if (value.json_bytes <= limits_.value_bytes() / 2) return value;
  }
}

void TransactionBuilder::carry_live_entries(SlotValue& value) {
  for (const auto& [serial, record] : slots_.find(value.slot)->live) {
    if (!must_be_kept(*record)) continue;
    require_absent_keys(*record);
    add_entry(value, *record, record->pack());
  }
  slots_.set_live_json_bytes(value.slot, value.json_bytes);
}

RecordTable::DirtyQueue::const_iterator TransactionBuilder::add_dirty_records(
    SlotValue& value, RecordTable::DirtyQueue::const_iterator next) {
  const auto limit = limits_.value_bytes();
  for (; next != records_.dirty().end(); ++next) {
    const auto& record = *next->second;
    const bool carried = record.slot() == value.slot;
    // The blocks of a job that is over are dropped when its final state is written.
    if (carried || !must_be_kept(record) || finalizations_.contains(record.job)) continue;
    auto packed = record.pack();
    // A record that is larger than any value may be is left out, so that it does not block the
    // others.
    if (packed.json_bytes > limit) continue;
    if (value.json_bytes + packed.json_bytes > limit) return next;
    require_absent_keys(record);
    add_entry(value, record, std::move(packed));
  }
  return next;
}

void TransactionBuilder::require_absent_keys(const CommitRecord& record) {
  // Rule 6: the retirement of a machine fails if a zone delegate of its zone exists. A version
  // that is stored already has met its preconditions.
  if (record.clean()) return;
  auto& preconditions = pending_.transaction.preconditions;
  for (const auto& key : record.absent_keys) {
    const bool known = std::any_of(preconditions.begin(), preconditions.end(),
                                   [&](const auto& one) { return one.key == key; });
    if (!known) preconditions.push_back({key, 0});
  }
}

void TransactionBuilder::write_value(SlotValue value) {
  const auto key = store::slot_key(value.slot);
  // Rule 1: a transaction that is delivered late must not overwrite a newer value.
  pending_.transaction.preconditions.push_back({key, slots_.mod_revision(value.slot)});
  pending_.transaction.writes.push_back(
      {key, store::encode_slot(value.number, value.blocks, value.machines), 0});
  pending_.json_bytes += value.json_bytes + kWriteOverheadBytes;
  taken_slots_.insert(value.slot);
  pending_.values.push_back(std::move(value));
}

}  // namespace elmstall::state
