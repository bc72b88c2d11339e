/// @file
/// The keys of the records in the state store: functions that build and parse them.
///
/// All keys share one prefix, so that a single watch delivers every change in order. Live records
/// have a prefix of their own below it: a node that starts lists only these, so the time that a
/// recovery takes does not grow with the number of finished jobs.
///
/// | key               | record               | written by                                   |
/// |-------------------|----------------------|----------------------------------------------|
/// | `elm/l/term`      | TermRecord           | the winner of an election                    |
/// | `elm/l/lead`      | LeadRecord           | the winner of an election, bound to a lease  |
/// | `elm/l/types`     | machine types        | the leader                                   |
/// | `elm/l/job/ID`    | JobRecord            | any node                                     |
/// | `elm/l/log/N`     | SlotRecord           | the leader                                   |
/// | `elm/l/care/NODE` | DelegationRecord     | the node NODE, bound to a lease              |
/// | `elm/f/ID`        | FinalRecord          | the leader                                   |
///
/// The keys are stored data: changing one needs a migration.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace elmstall::store {

/// Prefix of all keys of the project.
inline constexpr std::string_view kRootPrefix = "elm/";
/// Prefix of the live records: all but the final states of jobs.
inline constexpr std::string_view kLivePrefix = "elm/l/";
/// Key of the TermRecord.
inline constexpr std::string_view kTermKey = "elm/l/term";
/// Key of the LeadRecord.
inline constexpr std::string_view kLeadKey = "elm/l/lead";
/// Key of the machine types (MachineTypesRecord).
inline constexpr std::string_view kTypesKey = "elm/l/types";
/// A key that is never written. Reading it is the cheapest way to get the store's present
/// revision, which the reply for a missing key contains.
inline constexpr std::string_view kProbeKey = "elm/none";

/// Key of the JobRecord of the job `id`.
[[nodiscard]] std::string job_key(std::string_view id);
/// Key of one slot of the ledger log, which holds a SlotRecord.
[[nodiscard]] std::string slot_key(std::uint32_t number);
/// Key of the DelegationRecord by which the node declares itself a zone delegate.
[[nodiscard]] std::string delegation_key(std::string_view node);
/// Key of the FinalRecord of the job `id`.
[[nodiscard]] std::string final_key(std::string_view id);

/// A parsed key: the kind of its record, and the id or number in it.
struct Key {
  /// Kind of the record that a key names.
  enum class Kind : std::uint8_t {
    other,       ///< not a key of this program
    term,        ///< the TermRecord
    lead,        ///< the LeadRecord
    types,       ///< the machine types
    job,         ///< a JobRecord
    slot,        ///< a SlotRecord
    delegation,  ///< a DelegationRecord
    final,       ///< a FinalRecord
    earlier      ///< a record of the layout before the ledger log, which this program can't read
  };
  Kind kind = Kind::other;   ///< determines whether `id` or `number` is set
  std::string id;            ///< job id (job, final) or node name (delegation); empty otherwise
  std::uint32_t number = 0;  ///< slot number (slot); 0 otherwise
};

/// Parses a key. Any text is accepted; unknown and malformed keys give Kind::other.
[[nodiscard]] Key parse_key(std::string_view key);

}  // namespace elmstall::store
