// What is kept in the state service, and under which keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.hpp"

namespace elmstall::store {

// Everything lies under one prefix, so that one watch sees it all in order.
// Live records have a prefix of their own: recovery reads only these, and
// its cost does not grow with history.
inline constexpr std::string_view kRoot = "elm/";
inline constexpr std::string_view kLive = "elm/l/";
inline constexpr std::string_view kTermKey = "elm/l/term";
inline constexpr std::string_view kLeadKey = "elm/l/lead";
inline constexpr std::string_view kTypesKey = "elm/l/types";
/// Never written: reading it tells the present revision, cheaply.
inline constexpr std::string_view kProbeKey = "elm/none";

[[nodiscard]] std::string job_key(std::string_view id);
/// One value of the ledger log.
[[nodiscard]] std::string slot_key(std::uint32_t number);
/// Says that this node may keep leases of its zone alive, see ZoneDelegate.
[[nodiscard]] std::string delegation_key(std::string_view node);
[[nodiscard]] std::string final_key(std::string_view id);

/// A key taken apart.
struct Key {
  /// `earlier`: of a layout before the ledger log, which this program can't read.
  enum class Kind : std::uint8_t {
    other,
    term,
    lead,
    types,
    job,
    slot,
    delegation,
    final,
    earlier
  };
  Kind kind = Kind::other;
  std::string id;
  std::uint32_t number = 0;
};
[[nodiscard]] Key parse_key(std::string_view key);

struct TermRecord {
  std::uint64_t term = 0;
};
struct LeadRecord {
  std::string node;
  std::string incarnation;
  std::uint64_t term = 0;
};
struct JobRecord {
  wire::JobSpec spec;
  bool cancelled = false;
  double submitted = 0;  ///< time of day, seconds since 1970
};
/// One unfinished task that was assigned at least once.
struct TaskRecord {
  std::uint32_t index = 0;  ///< within the job
  std::uint64_t attempt = 0;
  std::string machine;  ///< empty: on no machine
};
/// A run of tasks of one job.
struct BlockRecord {
  std::vector<bool> done;  ///< one per task of the block
  std::vector<TaskRecord> tasks;
  [[nodiscard]] std::size_t done_count() const;
  [[nodiscard]] std::size_t assigned_count() const;
};
struct MachineRecord {
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  /// The leader is about to call its tasks gone: no zone delegate may answer it.
  bool retired = false;
};
struct DelegationRecord {
  std::string zone;
};
/// What one value of the ledger log says of a block or a machine: its whole state
/// when the value was written. Of several values that speak of the same thing
/// the one with the highest number holds.
struct BlockEntry {
  std::string job;
  std::uint32_t number = 0;
  BlockRecord record;
};
struct MachineEntry {
  std::string id;
  bool removed = false;
  MachineRecord record;
};
struct SlotRecord {
  std::uint64_t number = 0;
  std::vector<BlockEntry> blocks;
  std::vector<MachineEntry> machines;
};
/// An entry packed by itself, to be put into a value with others.
struct Packed {
  std::string bytes;
  std::size_t json = 0;  ///< most bytes that it takes as JSON, as limits are counted
};
/// The final state of a job.
struct FinalRecord {
  wire::JobState state = wire::JobState::done;
  std::uint64_t tasks = 0;
};

[[nodiscard]] std::string encode(const TermRecord& record);
[[nodiscard]] std::string encode(const LeadRecord& record);
[[nodiscard]] std::string encode(const JobRecord& record);
[[nodiscard]] Packed pack(const BlockEntry& entry);
[[nodiscard]] Packed pack(const MachineEntry& entry);
[[nodiscard]] std::string encode_slot(std::uint64_t number, const std::vector<std::string>& blocks,
                                      const std::vector<std::string>& machines);
[[nodiscard]] std::string encode(const DelegationRecord& record);
[[nodiscard]] std::string encode(const FinalRecord& record);

[[nodiscard]] TermRecord decode_term(std::string_view packed);
[[nodiscard]] LeadRecord decode_lead(std::string_view packed);
[[nodiscard]] JobRecord decode_job(std::string_view packed);
[[nodiscard]] SlotRecord decode_slot(std::string_view packed);
[[nodiscard]] DelegationRecord decode_delegation(std::string_view packed);
[[nodiscard]] FinalRecord decode_final(std::string_view packed);

/// Bytes of one value that may be filled, of a limit in KiB.
[[nodiscard]] std::size_t value_bytes(double value_kb);
/// Most bytes that a job's record takes as JSON.
[[nodiscard]] std::size_t json_size(const JobRecord& record);
/// The record with its cancel mark. If that takes more than `most` bytes, then
/// without what only the start of a task needs: the job may have been accepted
/// under a larger limit, and nothing of it starts any more.
[[nodiscard]] JobRecord cancelled_record(JobRecord record, std::size_t most);

/// Tasks of one block that may be unfinished and started at once, so that its
/// record fits into one value: all of them, unless the limit is below some 1.5 KiB.
[[nodiscard]] std::uint32_t max_started_tasks(double value_kb);
/// Whether the records can tell of so many started tasks of one job at once.
[[nodiscard]] bool startable_at_once(std::uint32_t tasks, double value_kb, double partition_kb);
/// Tasks per block: a full block takes less than half of one value.
[[nodiscard]] std::uint32_t block_size(double value_kb);

}  // namespace elmstall::store
