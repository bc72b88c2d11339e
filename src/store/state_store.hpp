/// @file
/// The interface to the state store: the replicated key-value store that holds the records.
///
/// Implemented by StateStoreClient over HTTP and by fakes in tests. All functions are asynchronous
/// and are called on the event loop. Each calls its `done` handler exactly once, on the same loop,
/// with an Outcome; none throws for a failure of the store.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace elmstall::store {

/// How a request to the state store ended.
enum class Outcome : std::uint8_t {
  ok,         ///< the request was executed
  conflict,   ///< a precondition failed; nothing was executed
  missing,    ///< there is no such key or lease (404)
  no_lease,   ///< the lease of a write has expired; nothing was executed
  compacted,  ///< the watched revisions are no longer kept: the records must be listed again (410)
  unavailable,  ///< certainly not executed: refused (503, 429) or never sent
  unknown,      ///< may have been executed, or may still be executed later
  rejected,     ///< the store rejected the request as malformed, a defect of this program
};

/// Result of StateStore::commit().
struct CommitResult {
  Outcome outcome = Outcome::unknown;  ///< determines which of the other members are set
  /// With `ok`, the revision of the transaction's changes; with `conflict`, the present one.
  std::uint64_t revision = 0;
  std::vector<std::string> failed;  ///< keys whose precondition failed, with `conflict`
};

/// Result of StateStore::get().
struct GetResult {
  Outcome outcome = Outcome::unknown;  ///< determines which of the other members are set
  wire::Entry entry;                   ///< with `ok`
  std::uint64_t revision = 0;          ///< the store's present revision, with `missing`
};

/// Result of StateStore::list().
struct ListResult {
  Outcome outcome = Outcome::unknown;  ///< determines whether `listing` is set
  wire::Listing listing;               ///< with `ok`
};

/// Result of StateStore::watch().
struct WatchResult {
  Outcome outcome = Outcome::unknown;  ///< determines whether `changes` is set
  wire::Changes changes;               ///< with `ok`
};

/// Result of StateStore::grant().
struct GrantResult {
  Outcome outcome = Outcome::unknown;  ///< determines whether `lease` is set
  std::uint64_t lease = 0;             ///< id of the new lease, with `ok`
};

/// The operations of the state store that the program uses.
class StateStore {
 public:
  virtual ~StateStore() = default;

  /// Reads one key.
  virtual void get(const std::string& key, std::function<void(GetResult)> done) = 0;

  /// Reads one page of the keys below `prefix` in their order. The page begins after the key
  /// `since`, or with the first key if `since` is empty.
  virtual void list(const std::string& prefix, const std::string& since,
                    std::function<void(ListResult)> done) = 0;

  /// Waits up to `hold_s` seconds for changes below `prefix` that are later than the revision
  /// `since`. Answers with no changes if there were none in that time.
  virtual void watch(const std::string& prefix, std::uint64_t since, double hold_s,
                     std::function<void(WatchResult)> done) = 0;

  /// Applies all writes of the transaction, or none if one of its preconditions fails.
  virtual void commit(wire::Transaction transaction, std::function<void(CommitResult)> done) = 0;

  /// Creates a lease that expires `life_s` seconds after its creation or last renewal. Keys that
  /// are bound to it are deleted when it expires.
  virtual void grant(double life_s, std::function<void(GrantResult)> done) = 0;

  /// Renews a lease for its whole life.
  virtual void renew(std::uint64_t lease, std::function<void(Outcome)> done) = 0;
};

}  // namespace elmstall::store
