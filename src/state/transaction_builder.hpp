/// @file
/// Builds one transaction of the leader's group commit.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "state/commit_limits.hpp"
#include "state/commit_record.hpp"
#include "state/log_slots.hpp"
#include "state/record_table.hpp"
#include "store/mirror.hpp"
#include "wire/types.hpp"

namespace elmstall::state {

/// The final state of a job. It is written in the transaction that also removes the record of
/// the job (rule 8).
struct Finalization {
  std::string job;                    ///< identifier of the job
  store::FinalRecord record;          ///< the final state
  std::vector<CommitRecord*> blocks;  ///< of the job; dropped once the final state is written
};
/// The finalizations that are not written yet, by job.
using Finalizations = std::map<std::string, Finalization>;

/// A new value of one slot of the ledger log.
struct SlotValue {
  /// One version of a record, as the value holds it. The record may have changed again, or be
  /// gone, by the time the value is stored.
  struct Entry {
    std::uint64_t serial = 0;    ///< CommitRecord::serial() of the record
    std::uint64_t version = 0;   ///< CommitRecord::version at the time of packing
    std::size_t json_bytes = 0;  ///< size of the entry as JSON
  };
  std::uint32_t slot = 0;             ///< number of the slot that is overwritten
  std::uint64_t number = 0;           ///< unique, see LogSlots::take_value_number()
  std::size_t json_bytes = 0;         ///< size of all entries as JSON
  std::vector<std::string> blocks;    ///< packed entries
  std::vector<std::string> machines;  ///< packed entries
  std::vector<Entry> entries;         ///< what `blocks` and `machines` hold
};

/// A transaction, with what must be noted once its outcome is known.
struct PendingCommit {
  wire::Transaction transaction;            ///< preconditions and writes
  std::vector<SlotValue> values;            ///< values of the log that the transaction writes
  std::vector<std::string> finalized_jobs;  ///< jobs whose final state it writes
  std::size_t json_bytes = 0;               ///< estimated size of the transaction
  double sent_at = 0;                       ///< seconds, by the clock of the event loop
};

/// Packs finalizations and dirty records into a transaction that keeps to the limits.
///
/// The transaction fails as a whole unless this leader's term is still the latest one and
/// every slot that it overwrites is unchanged (rule 1). So a transaction of a former leader,
/// or an earlier one of this leader, has no effect if the network delivers it late.
///
/// A builder is used for one transaction: call add_finalizations(), add_values() and take(),
/// in this order and without waiting in between. Used on the event loop only.
class TransactionBuilder {
 public:
  /// Begins a transaction with the precondition that the term's key still has `term_revision`. All
  /// references must outlive the builder.
  TransactionBuilder(const CommitLimits& limits, const store::Mirror& mirror,
                     const RecordTable& records, LogSlots& slots, Finalizations& finalizations,
                     std::uint64_t term_revision);

  /// Adds as many finalizations as the limits allow. Returns the jobs whose record no longer
  /// exists: their final state is stored already.
  [[nodiscard]] std::vector<std::string> add_finalizations();
  /// Adds values of the log that hold the dirty records. Adds at least one value, unless there
  /// is nothing to write at all.
  void add_values();
  /// The transaction. It has no values if there is nothing to write.
  [[nodiscard]] PendingCommit take() { return std::move(pending_); }

 private:
  [[nodiscard]] bool must_be_kept(const CommitRecord& record) const;
  [[nodiscard]] SlotValue begin_value();
  void carry_live_entries(SlotValue& value);
  /// Puts dirty records into the value until it is full. Returns the first record that did
  /// not fit.
  RecordTable::DirtyQueue::const_iterator add_dirty_records(
      SlotValue& value, RecordTable::DirtyQueue::const_iterator next);
  void require_absent_keys(const CommitRecord& record);
  void write_value(SlotValue value);

  const CommitLimits& limits_;
  const store::Mirror& mirror_;
  const RecordTable& records_;
  LogSlots& slots_;
  Finalizations& finalizations_;
  PendingCommit pending_;
  std::set<std::uint32_t> taken_slots_;  ///< those that the transaction overwrites
};

}  // namespace elmstall::state
