/// Encoding and decoding of the records that have a key of their own, as MessagePack. The values of
/// the ledger log are in store/ledger_codec.hpp.
///
/// The bytes are stored data and are read by other versions of the program during an upgrade.
/// All decode functions throw wire::DecodeError if the bytes are not such a record.
#pragma once

#include <string>
#include <string_view>

#include "store/record_types.hpp"

namespace elmstall::store {

/// The value to store for a record.
[[nodiscard]] std::string encode(const TermRecord& record);
[[nodiscard]] std::string encode(const LeadRecord& record);
[[nodiscard]] std::string encode(const JobRecord& record);
[[nodiscard]] std::string encode(const DelegationRecord& record);
[[nodiscard]] std::string encode(const FinalRecord& record);

/// The record that a stored value holds.
[[nodiscard]] TermRecord decode_term(std::string_view packed);
[[nodiscard]] LeadRecord decode_lead(std::string_view packed);
[[nodiscard]] JobRecord decode_job(std::string_view packed);
[[nodiscard]] DelegationRecord decode_delegation(std::string_view packed);
[[nodiscard]] FinalRecord decode_final(std::string_view packed);

}  // namespace elmstall::store
