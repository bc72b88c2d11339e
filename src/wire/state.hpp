/// @file
/// The state store's interface: keys, watches, transactions and leases. All decode functions throw
/// DecodeError. Revisions are version numbers of the whole store; they only increase, and 0 means
/// none.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// Path to which transactions are sent.
inline constexpr std::string_view kCommitPath = "/commit";
/// Path at which leases are requested.
inline constexpr std::string_view kLeasesPath = "/grants";

/// Path of one key.
[[nodiscard]] std::string entry_path(std::string_view key);
/// Path of one page of the keys below `prefix`: at most `page_size` keys after the key `since`, or
/// from the first one if `since` is empty.
[[nodiscard]] std::string listing_path(std::string_view prefix, std::string_view since,
                                       int page_size);
/// Path of a watch: waits up to `max_wait_s` seconds for changes below `prefix` that are later than
/// the revision `since`.
[[nodiscard]] std::string watch_path(std::string_view prefix, std::uint64_t since,
                                     double max_wait_s);
/// Path at which a lease is renewed.
[[nodiscard]] std::string lease_renewal_path(std::uint64_t lease);

/// A key with its value.
struct Entry {
  std::string key;                 ///< the whole key, with its prefix
  std::string value;               ///< MessagePack
  std::uint64_t mod_revision = 0;  ///< modification revision: that of its last change
};
/// Reads the response for one key.
[[nodiscard]] Entry decode_entry(const Object& object);

/// One page of the keys below a prefix.
struct Listing {
  std::vector<Entry> entries;  ///< in the order of their keys
  bool truncated = false;      ///< more pages follow
  std::uint64_t revision = 0;  ///< of the store when the page was read
};
/// Reads one page.
[[nodiscard]] Listing decode_listing(const Object& object);

/// A key that was set or deleted.
struct Change {
  std::string key;                   ///< the key that was changed
  std::optional<std::string> value;  ///< MessagePack; nothing: the key was deleted
  std::uint64_t mod_revision = 0;    ///< revision of this change
};
/// The response to a watch.
struct Changes {
  std::uint64_t revision = 0;  ///< the log contains all changes up to this revision
  std::vector<Change> log;     ///< in the order in which the changes were made
};
/// Reads the response to a watch.
[[nodiscard]] Changes decode_changes(const Object& object);

/// A condition of a transaction: the key must have this modification revision, or must not exist
/// if `mod_revision` is 0.
struct Precondition {
  std::string key;                 ///< the key that is compared
  std::uint64_t mod_revision = 0;  ///< required revision; 0: the key must not exist
};
/// A change that a transaction makes.
struct Write {
  std::string key;                   ///< the key to set or delete
  std::optional<std::string> value;  ///< MessagePack; nothing: delete the key
  std::uint64_t lease = 0;           ///< lease to which the key is bound; 0: none
};
/// Changes that are applied atomically if all preconditions hold, and otherwise not at all.
struct Transaction {
  std::vector<Precondition> preconditions;  ///< all of them must hold
  std::vector<Write> writes;                ///< the changes to make
};
/// Writes the body of a request to `kCommitPath`.
[[nodiscard]] std::string encode_transaction(const Transaction& transaction);

/// Reads the keys whose preconditions failed from the response to a transaction that was not
/// applied. There is at least one.
[[nodiscard]] std::vector<std::string> decode_failed_preconditions(const Object& object);
/// True if the store rejected a transaction because a lease of its writes does not exist. `body`
/// is the undecoded body of the response.
[[nodiscard]] bool is_missing_lease_error(std::string_view body);

/// Reads the store's revision from the response for a key that does not exist, or from the response
/// to a transaction: that of its changes if it was applied, else the present one.
[[nodiscard]] std::uint64_t decode_revision(const Object& object);

/// A request for a lease that expires `lease_ttl_s` seconds after its last renewal.
[[nodiscard]] std::string encode_lease_request(double lease_ttl_s);
/// Reads the id of a new lease.
[[nodiscard]] std::uint64_t decode_lease(const Object& object);

}  // namespace elmstall::wire
