/// @file
/// The records that the controllers keep in the state store, as plain value types.
///
/// The records of tasks and machines have no keys of their own, because the store accepts few
/// changes per second: they are entries of the ledger log (SlotRecord), and one write contains
/// many of them. See "The ledger log" in docs/design.md.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace elmstall::store {

/// The current term; every election increments it.
struct TermRecord {
  std::uint64_t term = 0;  ///< 0: there has been no leader yet
};

/// The process that is the leader. The record is bound to a lease and deleted with it.
struct LeadRecord {
  std::string node;         ///< name of the leader's node
  std::string incarnation;  ///< id of the process, which differs after a restart of the node
  std::uint64_t term = 0;   ///< the term in which it is the leader
};

/// An accepted job that has no final state yet.
struct JobRecord {
  wire::JobSpec spec;      ///< the submission; see cancelled_record() for its exception
  bool cancelled = false;  ///< true once a user has cancelled the job
  double submitted = 0;    ///< wall clock, seconds since 1970
};

/// An unfinished task that was assigned to a machine at least once.
struct TaskRecord {
  std::uint32_t index = 0;    ///< position within the job
  std::uint64_t attempt = 0;  ///< number of the latest attempt to run the task
  std::string machine;        ///< id of the machine it is assigned to; empty if it is not assigned
};

/// The state of a block: a run of consecutive tasks of one job that are recorded together.
struct BlockRecord {
  std::vector<bool> done;         ///< for every task of the block whether it has completed
  std::vector<TaskRecord> tasks;  ///< the unfinished tasks that were assigned at least once

  /// Number of completed tasks.
  [[nodiscard]] std::size_t done_count() const;
  /// Number of tasks that are assigned to a machine.
  [[nodiscard]] std::size_t assigned_count() const;
};

/// A machine that was rented and has not been removed from the records.
struct MachineRecord {
  std::string addr;   ///< address at which its worker takes commands
  std::string type;   ///< machine type
  std::string zone;   ///< zone in which it is
  bool spot = false;  ///< whether it is a spot machine
  /// The leader is about to declare the tasks of this machine lost, so no zone delegate may
  /// answer its heartbeats any more (rule 6).
  bool retired = false;
};

/// Declares a node to be a zone delegate of its zone. The node's name is in the key.
struct DelegationRecord {
  std::string zone;  ///< zone whose workers' heartbeats the node may answer
};

/// The whole state of one block at the moment when a value of the ledger log was written.
struct BlockEntry {
  std::string job;           ///< id of the job
  std::uint32_t number = 0;  ///< position of the block within the job
  BlockRecord record;        ///< replaces the state of the block in earlier values
};

/// The whole state of one machine at the moment when a value of the ledger log was written.
struct MachineEntry {
  std::string id;        ///< id of the machine
  bool removed = false;  ///< the machine is no longer recorded; `record` is then unused
  MachineRecord record;  ///< replaces the state of the machine in earlier values
};

/// One value of the ledger log, as it is stored in one slot. If several values contain an entry
/// for the same block or machine, then the entry of the value with the highest number is valid.
struct SlotRecord {
  std::uint64_t number = 0;            ///< every value that is written gets a higher number
  std::vector<BlockEntry> blocks;      ///< the blocks that changed, or were copied
  std::vector<MachineEntry> machines;  ///< the machines that changed, or were copied
};

/// The machine types that the cloud offered when they were recorded.
struct MachineTypesRecord {
  std::vector<wire::MachineType> types;  ///< in the order of the cloud's response
};

/// The final state of a job. It never changes once it is written.
struct FinalRecord {
  wire::JobState state = wire::JobState::done;  ///< `done` or `cancelled`
  std::uint64_t tasks = 0;                      ///< number of tasks of the job
};

}  // namespace elmstall::store
