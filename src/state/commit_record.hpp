/// @file
/// A record that the leader keeps in the ledger log of the state store.
///
/// The model holds one commit record for each block of tasks and for each machine. The
/// record packs the present state of that block or machine on request, and counts which
/// of its versions are stored. See group_commit.hpp for how records are written.
///
/// All of this runs on the controller's event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "store/records.hpp"

namespace elmstall::state {

/// The bookkeeping of one block or machine that group commit writes. RecordTable creates
/// and owns these; a pointer to one is valid until the record is discarded, or until the
/// finalization of its job was written.
class CommitRecord {
 public:
  /// What a record is about.
  enum class Kind : std::uint8_t {
    block,   ///< a block of tasks
    machine  ///< a machine
  };
  /// Packs the present state of the block or machine.
  using PackFunction = std::function<store::PackedEntry()>;

  /// Creates a record that is clean and not in the log. RecordTable gives it its serial number.
  CommitRecord(Kind record_kind, std::string job_id, PackFunction pack_function,
               std::uint64_t serial)
      : kind(record_kind),
        job(std::move(job_id)),
        pack(std::move(pack_function)),
        serial_(serial) {}

  Kind kind;  ///< what the record is about
  /// The job of a block, empty for a machine. A block is written only while the record of
  /// its job exists.
  std::string job;
  PackFunction pack;  ///< called whenever the record is written or carried along
  /// Number of the newest version, increased by every change.
  std::uint64_t version = 0;
  /// Number of the newest version that is known to be in the state store. The command `run`
  /// may be sent only for assignments up to this version (rule 1).
  std::uint64_t written = 0;
  /// Revision of the state store at which `written` was committed, 0 if nothing was. For a
  /// retired machine this is R of rule 6.
  std::uint64_t revision = 0;
  /// The block or machine is gone: its removal is still to be written, after which this record is
  /// dropped.
  bool remove = false;
  /// Keys that must not exist when the newest version is written. The record of a retired
  /// machine names the zone delegations that would contradict it (rule 6).
  std::vector<std::string> absent_keys;

  /// Whether the newest version is in the state store.
  [[nodiscard]] bool clean() const { return written == version; }
  /// Identifies the record for as long as this leader leads. Unlike a pointer it can be kept
  /// beyond the record's end.
  [[nodiscard]] std::uint64_t serial() const { return serial_; }
  /// The slot of the log that holds the newest stored version, if one does.
  [[nodiscard]] std::optional<std::uint32_t> slot() const { return slot_; }

 private:
  friend class RecordTable;
  friend class LogSlots;

  std::uint64_t serial_;
  std::optional<std::uint64_t> ticket_;  ///< place in RecordTable's queue of dirty records
  std::optional<std::uint32_t> slot_;    ///< maintained by LogSlots
  std::size_t slot_json_bytes_ = 0;      ///< size in that slot when it was put there
};

}  // namespace elmstall::state
