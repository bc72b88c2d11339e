/// @file
/// Encoding and decoding of the values of the ledger log, as MessagePack.
///
/// A value is composed of entries that are packed one by one, so that group commit can stop adding
/// entries when the value is full. The store's limits count the size of a value as JSON.
/// The bytes are stored data and are read by other versions of the program during an upgrade.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "store/record_types.hpp"

namespace elmstall::store {

/// One packed entry of a value of the ledger log.
struct PackedEntry {
  std::string bytes;           ///< MessagePack
  std::size_t json_bytes = 0;  ///< upper bound of its size as JSON with its separator
};

/// Packs the state of a block.
[[nodiscard]] PackedEntry pack(const BlockEntry& entry);
/// Packs the state of a machine, or its removal.
[[nodiscard]] PackedEntry pack(const MachineEntry& entry);
/// Composes the value with this number from the bytes of packed entries.
[[nodiscard]] std::string encode_slot(std::uint64_t number, const std::vector<std::string>& blocks,
                                      const std::vector<std::string>& machines);
/// Reads a value of the ledger log. Throws wire::DecodeError if the bytes are not one.
[[nodiscard]] SlotRecord decode_slot(std::string_view packed);

}  // namespace elmstall::store
