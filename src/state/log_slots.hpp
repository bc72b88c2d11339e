/// @file
/// The leader's record of the slots of the ledger log and their live entries.
///
/// The log is a set of keys in the state store, the slots. The value of a slot holds entries:
/// packed versions of blocks and machines. A commit overwrites whole values. An entry that is
/// still the newest stored version of its record is live, and must be carried along into the
/// new value; all other entries of the old value may be lost. See "The ledger log" in
/// docs/design.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "state/commit_record.hpp"
#include "store/mirror.hpp"

namespace elmstall::state {

/// For each slot its modification revision and its live entries. Used on the event loop only.
class LogSlots {
 public:
  /// Records by their serial number.
  using LiveRecords = std::map<std::uint64_t, CommitRecord*>;
  /// State of one slot.
  struct Slot {
    std::uint64_t mod_revision = 0;  ///< 0 while the slot's key does not exist
    /// Estimated size of the live entries as JSON, in bytes. Only the choice of the slot that is
    /// overwritten next depends on it. It is not exact: set_live_json_bytes() counts the present
    /// size of the entries that are carried along, while remove() subtracts the size noted by
    /// place().
    std::size_t live_json_bytes = 0;
    LiveRecords live;  ///< records whose newest stored version is in this slot
  };

  /// Starts from the slots that the state store holds; their records are added by place().
  explicit LogSlots(const std::map<std::uint32_t, store::Mirror::Slot>& stored);

  /// The number for the next value. Numbers grow with every value, over all slots: of several
  /// entries for one block or machine, the one in the value with the highest number holds.
  [[nodiscard]] std::uint64_t take_value_number() { return next_value_number_++; }
  /// The slot that is cheapest to overwrite: the one with the fewest live bytes. A slot that
  /// does not exist yet, if even that one has more than `max_live_json_bytes`, or while the
  /// log is small. Slots in `taken` are written by the same transaction and not chosen.
  [[nodiscard]] std::uint32_t choose(const std::set<std::uint32_t>& taken,
                                     std::size_t max_live_json_bytes) const;
  /// The state of the slot, or a null pointer for a slot that was never written.
  [[nodiscard]] const Slot* find(std::uint32_t slot) const;
  /// The modification revision that a transaction which overwrites the slot must name as its
  /// precondition; 0 for a slot that does not exist.
  [[nodiscard]] std::uint64_t mod_revision(std::uint32_t slot) const;
  /// Notes the modification revision of the slot's key. 0: the key does not exist.
  void set_mod_revision(std::uint32_t slot, std::uint64_t mod_revision);
  /// Corrects the estimate for an existing slot.
  void set_live_json_bytes(std::uint32_t slot, std::size_t json_bytes);

  /// Notes that the newest stored version of the record is in this slot. The record must not
  /// be in any slot before.
  void place(CommitRecord& record, std::uint32_t slot, std::size_t json_bytes);
  /// Notes that the record's entry in its slot, if it has one, is no longer live.
  void remove(CommitRecord& record);

 private:
  std::map<std::uint32_t, Slot> slots_;
  std::uint64_t next_value_number_ = 1;
};

}  // namespace elmstall::state
