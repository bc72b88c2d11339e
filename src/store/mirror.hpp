/// @file
/// A node's local replica of the records in the state store, kept current by a watch.
///
/// The mirror does no I/O. Its owner (controller::Node) lists the live records, feeds every page to
/// load(), opens a watch at watch_start_revision() and feeds every answer to apply(). All calls are
/// made on the event loop.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/constants.hpp"
#include "store/recent_jobs.hpp"
#include "store/records.hpp"

namespace elmstall::store {

/// The replica. A revision is the state store's version number: 0 stands for "none".
class Mirror {
 public:
  /// The recorded machine types.
  struct MachineTypes {
    MachineTypesRecord record;       ///< the types
    std::uint64_t mod_revision = 0;  ///< revision of its last change
  };
  /// The latest state of a block, and which value of the ledger log it was read from.
  struct Block {
    std::uint64_t number = 0;  ///< number of the value
    std::uint32_t slot = 0;    ///< slot in which the value is stored
    BlockRecord record;        ///< state of the tasks of the block
  };
  /// The latest state of a machine, and which value of the ledger log it was read from.
  struct Machine {
    std::uint64_t number = 0;  ///< number of the value
    std::uint32_t slot = 0;    ///< slot in which the value is stored
    MachineRecord record;      ///< state of the machine
  };
  /// A slot of the ledger log.
  struct Slot {
    std::uint64_t mod_revision = 0;  ///< revision at which the value was written
    std::uint64_t number = 0;        ///< number of the value that it holds
  };
  /// The record of an unfinished job.
  struct Job {
    JobRecord record;                ///< the job, and whether it was cancelled
    std::uint64_t mod_revision = 0;  ///< revision of its last change
    std::size_t packed_bytes = 0;    ///< size of the record in its stored encoding
  };
  /// The record by which a node is a zone delegate.
  struct Delegation {
    std::string zone;                ///< the zone in which the node may answer heartbeats
    std::uint64_t mod_revision = 0;  ///< revision at which it was written
  };

  /// Clears the live records before they are listed again. Final states are kept because they never
  /// change.
  void restart();
  /// Loads one page of the listing of live records. Pages must be passed in order.
  void load(const wire::Listing& page);
  /// The revision at which the watch must start after the last page.
  [[nodiscard]] std::uint64_t watch_start_revision() const { return revision_; }
  /// Applies the changes that the watch delivered. Returns the keys whose records changed.
  std::vector<Key> apply(const wire::Changes& changes);

  /// True if the mirror is complete: all pages are loaded, and the watch has passed the revision
  /// of each of them.
  [[nodiscard]] bool loaded() const { return listed_ && revision_ >= listed_revision_; }
  /// The revision up to which the mirror contains all changes.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /// Whether the present record of the job can't be decoded. The mirror then holds at most an
  /// outdated state of the job, which must not be reported.
  [[nodiscard]] bool unreadable_job(const std::string& id) const {
    return unreadable_jobs_.contains(id);
  }
  /// The unfinished job with this id, or null.
  [[nodiscard]] const Job* job(const std::string& id) const;
  /// All unfinished jobs, by id.
  [[nodiscard]] const std::map<std::string, Job>& jobs() const { return jobs_; }
  /// Size of the records of all unfinished jobs in their stored encoding, in bytes.
  [[nodiscard]] std::size_t job_record_bytes() const { return job_record_bytes_; }
  /// Ids of the unfinished jobs that were cancelled.
  [[nodiscard]] const std::set<std::string>& cancelled() const { return cancelled_; }
  /// The blocks of a job by their number, or null if none is recorded.
  [[nodiscard]] const std::map<std::uint32_t, Block>* blocks(const std::string& id) const;
  /// All recorded machines, by id.
  [[nodiscard]] const std::map<std::string, Machine>& machines() const { return machines_; }
  /// All slots of the ledger log, by number.
  [[nodiscard]] const std::map<std::uint32_t, Slot>& slots() const { return slots_; }
  /// True if there are records of a layout that this program can't read. The node must not start an
  /// election then.
  [[nodiscard]] bool earlier_layout() const { return earlier_layout_; }
  /// Slots of the ledger log whose present values can't be decoded. What they hold is unknown, so
  /// the node must not start an election (rule 1).
  [[nodiscard]] const std::set<std::uint32_t>& unreadable_slots() const {
    return unreadable_slots_;
  }
  /// The zone delegates, by the name of the node.
  [[nodiscard]] const std::map<std::string, Delegation>& delegations() const {
    return delegations_;
  }
  /// The final state of a job if it is cached. Others must be read from the state store.
  [[nodiscard]] std::optional<FinalRecord> final_state(const std::string& id) const;
  /// Caches a final state. Beyond constants::kFinalStateCacheSize the oldest one is evicted.
  void cache_final_state(const std::string& id, const FinalRecord& record);
  /// The current term; 0 if there has been no leader yet.
  [[nodiscard]] std::uint64_t term() const { return term_; }
  /// Modification revision of the term's record.
  [[nodiscard]] std::uint64_t term_revision() const { return term_revision_; }
  /// The record of the leader; std::nullopt if it has expired with its lease.
  [[nodiscard]] const std::optional<LeadRecord>& lead() const { return lead_; }
  /// Modification revision of the leader's record; 0 if there is none.
  [[nodiscard]] std::uint64_t lead_revision() const { return lead_ ? lead_revision_ : 0; }
  /// The recorded machine types; std::nullopt if none are recorded, or the record can't be decoded.
  [[nodiscard]] const std::optional<MachineTypes>& machine_types() const { return machine_types_; }
  /// The status of a job as it is in the mirror. The caller must have checked that the job exists.
  [[nodiscard]] wire::JobStatus status(const std::string& id) const;

 private:
  void put(const Key& key, const std::string& packed, std::uint64_t mod_revision);
  void decode_and_put(const Key& key, const std::string& packed, std::uint64_t mod_revision);
  void put_job(const std::string& id, const std::string& packed, std::uint64_t mod_revision);
  void erase_job(const std::string& id);
  void put_slot(std::uint32_t slot, const SlotRecord& value, std::uint64_t mod_revision);
  void put_block(std::uint32_t slot, std::uint64_t number, const BlockEntry& entry);
  void put_machine(std::uint32_t slot, std::uint64_t number, const MachineEntry& entry);
  void erase(const Key& key);
  void drop_blocks_without_job();
  [[nodiscard]] std::uint64_t mod_revision_of(const Key& key) const;

  bool listed_ = false;                ///< the last page of the listing was loaded
  bool first_page_ = true;             ///< the next page is the first of a listing
  std::uint64_t revision_ = 0;         ///< all changes up to this revision are applied
  std::uint64_t listed_revision_ = 0;  ///< highest revision of the loaded pages
  std::uint64_t term_ = 0;
  std::uint64_t term_revision_ = 0;
  std::optional<LeadRecord> lead_;
  std::uint64_t lead_revision_ = 0;
  std::optional<MachineTypes> machine_types_;
  std::map<std::string, Job> jobs_;
  std::size_t job_record_bytes_ = 0;  ///< sum of Job::packed_bytes
  std::set<std::string> cancelled_;
  std::unordered_map<std::string, std::map<std::uint32_t, Block>> blocks_;  ///< by job id
  std::map<std::string, Machine> machines_;
  std::map<std::uint32_t, Slot> slots_;
  bool earlier_layout_ = false;
  std::set<std::uint32_t> unreadable_slots_;
  std::map<std::string, Delegation> delegations_;
  std::set<std::string> unreadable_jobs_;
  RecentJobs<FinalRecord> final_states_{constants::kFinalStateCacheSize};
};

}  // namespace elmstall::store
