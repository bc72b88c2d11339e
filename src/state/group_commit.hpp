/// @file
/// Group commit: writes the leader's changed records to the ledger log, many in one
/// transaction.
///
/// The state store accepts few changes a second, while the leader records many starts and
/// ends of tasks. So blocks of tasks and machines have no keys of their own in the state
/// store: they are entries of the values of the ledger log, and the cost of a commit depends
/// on its bytes, not on the number of records ("The ledger log" in docs/design.md).
///
/// The work is divided as follows:
/// - CommitRecord: bookkeeping of one block or machine.
/// - RecordTable: all records, and the queue of those that must be written.
/// - LogSlots: the slots of the log, and which records each of them holds.
/// - CommitLimits: how large a transaction may be.
/// - TransactionBuilder: composes one transaction.
/// - GroupCommit: sends one transaction at a time and acts on its outcome.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "runtime/coalescing_timer.hpp"
#include "state/commit_limits.hpp"
#include "state/commit_record.hpp"
#include "state/log_slots.hpp"
#include "state/record_table.hpp"
#include "state/transaction_builder.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"

namespace elmstall::state {

/// The group commit of one leader in one term. It is created when a controller becomes the
/// leader, and destroyed when it no longer is. All functions and events run on the
/// controller's event loop.
class GroupCommit {
 public:
  /// The bookkeeping of a block or machine.
  using Record = CommitRecord;
  /// The final state of a job that is to be written.
  using Finalization = state::Finalization;

  /// Callbacks to the owner of the group commit. All must be set.
  struct Events {
    /// The final state of the job is stored. Its block records no longer exist.
    std::function<void(const std::string& job)> finished;
    /// Another controller has won a later term. The handler must not destroy the group commit
    /// before it returns.
    std::function<void()> term_ended;
    /// A transaction was applied, so the term was still the latest one at some time after the
    /// transaction was sent (rule 5). `sent_at` is in seconds, by the clock of the event loop.
    std::function<void(double sent_at)> confirmed;
  };

  /// `term_revision` is the modification revision of the term's key, which every transaction
  /// requires to be unchanged. The mirror must be loaded; its slots are taken over here.
  GroupCommit(const config::Settings& settings, runtime::EventLoop& event_loop,
              runtime::CommandQueue& queue, store::StateStore& store, const store::Mirror& mirror,
              std::uint64_t term_revision, Events events);

  /// Creates a record of something that is not in the log. It is clean until it is marked
  /// dirty. `job` is empty for a machine.
  Record* add(Record::Kind kind, std::string job, Record::PackFunction pack);
  /// Creates a record of something that the log holds in this slot.
  Record* restore(Record::Kind kind, std::string job, Record::PackFunction pack,
                  std::uint32_t slot);
  /// The block or machine has changed: its present state must be written.
  void mark_dirty(Record& record);
  /// The block or machine is gone. `last` is the packed entry that records this; once it is written
  /// the record is dropped. The caller must not use the record again.
  void discard(Record& record, store::PackedEntry last);
  /// Drops a record that was never marked dirty and is not in the log. The caller must not use the
  /// record again.
  void forget(Record& record) { drop(record); }
  /// The job is over: its final state must be written. Has no effect if the job is finishing
  /// already.
  void finish(Finalization finalization);
  /// Whether the final state of the job is still to be written.
  [[nodiscard]] bool finishing(const std::string& job) const {
    return finalizations_.contains(job);
  }
  /// Sends the next transaction, unless there is nothing to write, one is in flight or being
  /// read back, or the last one was sent too recently. In the last case it is sent later
  /// without a further call.
  void flush();

 private:
  using Pending = std::shared_ptr<const PendingCommit>;

  [[nodiscard]] Pending build_transaction();
  void send(const Pending& pending);
  void on_result(const Pending& pending, const store::CommitResult& result);
  void on_applied(const PendingCommit& pending, std::uint64_t revision);
  void on_conflict(const Pending& pending, const store::CommitResult& result);
  void on_rejected(const PendingCommit& pending);
  void note_value_stored(const SlotValue& value, std::uint64_t revision);
  void note_finished(const std::string& job);
  void drop(Record& record);

  /// Determines whether a transaction was applied whose outcome is not known.
  void read_back(const Pending& pending);
  /// Reads one slot on behalf of read_back(), which starts over if the read fails.
  void read_slot(const Pending& pending, std::uint32_t slot,
                 std::function<void(const store::GetResult&)> done);
  /// Reads the modification revisions of all slots of a transaction that was not applied.
  void refresh_slots(const Pending& pending);
  /// Sends nothing for this many seconds, then calls flush().
  void pause(double seconds);

  runtime::EventLoop& loop_;
  store::StateStore& store_;
  const store::Mirror& mirror_;
  std::uint64_t term_revision_;
  Events events_;
  runtime::CommandScope scope_;
  RecordTable records_;
  LogSlots slots_;
  Finalizations finalizations_;
  CommitLimits limits_;
  bool busy_ = false;  ///< a transaction is in flight or read back, or a pause lasts
  runtime::CoalescingTimer commit_timer_;
  std::optional<double> next_commit_at_;  ///< not before this time; seconds of the event loop
  /// No transaction is built before the mirror has reached this revision.
  std::uint64_t required_mirror_revision_ = 0;
};

}  // namespace elmstall::state
