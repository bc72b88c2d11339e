/// @file
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

/// The value to store under `kTermKey`.
[[nodiscard]] std::string encode(const TermRecord& record);
/// The value to store under `kLeadKey`.
[[nodiscard]] std::string encode(const LeadRecord& record);
/// The value to store under the `job_key` of the job.
[[nodiscard]] std::string encode(const JobRecord& record);
/// The value to store under the `delegation_key` of the node.
[[nodiscard]] std::string encode(const DelegationRecord& record);
/// The value to store under the `final_key` of the job.
[[nodiscard]] std::string encode(const FinalRecord& record);
/// The value to store under `kTypesKey`.
[[nodiscard]] std::string encode(const MachineTypesRecord& record);

/// Reads the value of `kTermKey`.
[[nodiscard]] TermRecord decode_term(std::string_view packed);
/// Reads the value of `kLeadKey`.
[[nodiscard]] LeadRecord decode_lead(std::string_view packed);
/// Reads the value of a `job_key`.
[[nodiscard]] JobRecord decode_job(std::string_view packed);
/// Reads the value of a `delegation_key`.
[[nodiscard]] DelegationRecord decode_delegation(std::string_view packed);
/// Reads the value of a `final_key`.
[[nodiscard]] FinalRecord decode_final(std::string_view packed);
/// Reads the value of `kTypesKey`.
[[nodiscard]] MachineTypesRecord decode_machine_types(std::string_view packed);

}  // namespace elmstall::store
