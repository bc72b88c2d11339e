// Group commit of the leader's records to the ledger log.
//
// Blocks and machines are entries of the log's values ("slots"). A commit writes
// whole new values: of each slot that is overwritten the entries that are
// still the latest of their kind are carried along, so that the log stays
// small, nothing has to be deleted, and a commit's cost follows bytes and not
// the number of records touched. Every transaction is guarded by the term and
// by the version of each slot it overwrites, so what a former leader left
// behind in the network can't be applied.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "runtime/coalescing_timer.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"

namespace elmstall::state {

class GroupCommit {
 public:
  /// One entry. `version` counts what is wanted, `written` what is known to be
  /// in the state service.
  struct Record {
    enum class Kind : std::uint8_t { block, machine };
    Kind kind = Kind::block;
    std::string job;  ///< of a block: written only while that job's record is there
    std::function<store::Packed()> pack;
    std::uint64_t version = 0;
    std::uint64_t written = 0;
    std::uint64_t revision = 0;  ///< at which `written` was committed, 0: never
    bool remove = false;         ///< says so once and is forgotten
    /// Keys that must not exist when this record is written.
    std::vector<std::string> absent;
    [[nodiscard]] bool clean() const { return written == version; }

    // The group commit's own.
    std::uint64_t serial = 0;
    std::uint64_t ticket = 0;  ///< place in the queue of changed records, 0: none
    static constexpr std::uint32_t kNoSlot = ~0U;
    std::uint32_t slot = kNoSlot;  ///< that holds its latest version
    std::size_t json = 0;          ///< bytes there
  };
  /// The final state of a job, written together with the removal of its record.
  struct Finalization {
    std::string job;
    store::FinalRecord record;
    std::vector<Record*> blocks;
  };
  struct Events {
    std::function<void(const std::string& job)> finished;
    std::function<void()> deposed;
    /// A commit was answered; it was sent at this time.
    std::function<void(double sent)> confirmed;
  };

  GroupCommit(const config::Settings& settings, runtime::EventLoop& event_loop,
              runtime::CommandQueue& queue, store::StateStore& store, const store::Mirror& mirror,
              std::uint64_t term_revision, Events events);

  /// An entry that is not in the log yet.
  Record* add(Record::Kind kind, std::string job, std::function<store::Packed()> pack);
  /// An entry that the log has in this slot.
  Record* restore(Record::Kind kind, std::string job, std::function<store::Packed()> pack,
                  std::uint32_t slot);
  void mark_dirty(Record& record);
  /// Says that the entry is gone and forgets it; the pointer is not to be used
  /// again. `last`: its last packed form.
  void discard(Record& record, store::Packed last);
  void finish(Finalization final);
  [[nodiscard]] bool finishing(const std::string& job) const { return finals_.contains(job); }
  /// Sends the next transaction, if there is one and none is in flight.
  void flush();

 private:
  struct Slot {
    std::uint64_t mod_revision = 0;
    std::size_t json = 0;                   ///< of what is live in it
    std::map<std::uint64_t, Record*> live;  ///< by serial
  };
  /// A new value of a slot.
  struct Value {
    std::uint32_t slot = 0;
    std::uint64_t number = 0;
    std::size_t json = 0;
    std::vector<std::string> blocks;
    std::vector<std::string> machines;
    struct Entry {
      std::uint64_t serial = 0;
      std::uint64_t version = 0;
      std::size_t json = 0;
    };
    std::vector<Entry> entries;
  };
  struct Pending {
    wire::Transaction transaction;
    std::vector<Value> values;
    std::vector<std::string> finals;
    std::size_t json = 0;
    double sent = 0;
  };

  /// Bytes that a value may take, changes and values that a transaction may have.
  [[nodiscard]] std::size_t value_limit() const;
  [[nodiscard]] std::size_t max_writes() const;
  [[nodiscard]] std::size_t max_values() const;
  [[nodiscard]] std::uint32_t choose_slot(const Pending& pending) const;
  void add_finals(Pending& pending);
  [[nodiscard]] bool live(const Record& record, const Pending& pending) const;
  static void require_absent(Pending& pending, const Record& record);
  /// Puts in what is live in the slot; false if that leaves too little room.
  bool carry(Pending& pending, Value& value);
  void fill(Pending& pending, Value& value, std::map<std::uint64_t, Record*>::iterator& next);
  static void put(Value& value, Record& record, store::Packed packed);
  void add_values(Pending& pending);
  void on_result(const std::shared_ptr<Pending>& pending, const store::CommitResult& result);
  /// The service called it malformed: the next ones are smaller.
  void shrink(const Pending& pending);
  /// After many accepted ones they may be larger again.
  void regain();
  void read_back(const std::shared_ptr<Pending>& pending);
  void succeed(const Pending& pending, std::uint64_t revision);
  void settle(const Value& value, std::uint64_t revision);
  void leave_slot(Record& record);
  void pause(double seconds);
  void drop(Record& record);
  void finished(const std::string& job);

  const config::Settings& settings_;
  runtime::EventLoop& loop_;
  store::StateStore& store_;
  const store::Mirror& mirror_;
  std::uint64_t term_revision_;
  Events events_;
  runtime::CommandScope scope_;
  std::map<std::uint64_t, std::unique_ptr<Record>> records_;  ///< by serial
  std::map<std::uint64_t, Record*> dirty_;  ///< by ticket: first come, first written
  std::map<std::string, Finalization> finals_;
  std::map<std::uint32_t, Slot> slots_;
  std::uint64_t next_serial_ = 1;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_number_ = 1;
  bool busy_ = false;
  double scale_ = 1;  ///< of the limits that transactions keep to
  int accepted_ = 0;  ///< since that was last changed
  runtime::CoalescingTimer wake_;
  double next_commit_ = -1e18;
  std::uint64_t wait_revision_ = 0;  ///< not before the mirror is this far
};

}  // namespace elmstall::state
