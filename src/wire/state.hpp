// The state service's interface: keys, watches and transactions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// A key with its value and the revision of its last change.
struct Entry {
  std::string key;
  std::string value;  ///< packed
  std::uint64_t mod_revision = 0;
};
/// One page of keys below a prefix.
struct Listing {
  std::vector<Entry> entries;
  bool truncated = false;
  std::uint64_t revision = 0;
};
/// A key that was set or deleted.
struct Change {
  std::string key;
  std::optional<std::string> value;  ///< packed; nothing: deleted
  std::uint64_t mod_revision = 0;
};
/// What a watch returns.
struct Changes {
  std::uint64_t revision = 0;
  std::vector<Change> log;
};
/// A condition of a transaction: the key has this version, 0 if it must not
/// exist.
struct Precondition {
  std::string key;
  std::uint64_t mod_revision = 0;
};
/// A change that a transaction makes.
struct Write {
  std::string key;
  std::optional<std::string> value;  ///< packed; nothing: delete
  std::uint64_t lease = 0;           ///< 0: not attached to a lease
};
/// Applied whole or not at all.
struct Transaction {
  std::vector<Precondition> preconditions;
  std::vector<Write> writes;
};
/// These throw DecodeError.
[[nodiscard]] Entry decode_entry(const Object& object);
[[nodiscard]] Listing decode_listing(const Object& object);
[[nodiscard]] Changes decode_changes(const Object& object);
[[nodiscard]] std::string encode_transaction(const Transaction& transaction);

}  // namespace elmstall::wire
