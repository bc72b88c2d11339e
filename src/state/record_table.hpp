/// @file
/// The table of all commit records of a leader, and the queue of those that must be written.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "state/commit_record.hpp"

namespace elmstall::state {

/// Owns the commit records, and lists the dirty ones in the order in which they became
/// dirty. Used on the event loop only.
class RecordTable {
 public:
  /// Dirty records by ticket: the record that has waited longest comes first.
  using DirtyQueue = std::map<std::uint64_t, CommitRecord*>;

  /// Creates a record that is clean and not in the log.
  CommitRecord* add(CommitRecord::Kind kind, std::string job, CommitRecord::PackFunction pack);
  /// The record with this serial number, or a null pointer if it was erased.
  [[nodiscard]] CommitRecord* find(std::uint64_t serial);
  /// Begins a new version of the record. A record that is queued already keeps its place.
  void mark_dirty(CommitRecord& record);
  /// Takes the record out of the queue, if it is in it.
  void leave_queue(CommitRecord& record);
  /// Destroys the record.
  void erase(CommitRecord& record);
  /// The records that must be written.
  [[nodiscard]] const DirtyQueue& dirty() const { return dirty_; }

 private:
  std::map<std::uint64_t, std::unique_ptr<CommitRecord>> records_;  ///< by serial number
  DirtyQueue dirty_;
  std::uint64_t next_serial_ = 1;
  std::uint64_t next_ticket_ = 1;
};

}  // namespace elmstall::state
