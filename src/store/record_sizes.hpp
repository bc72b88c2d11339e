/// @file
/// Size arithmetic of the records: how many tasks and bytes fit into one value of the state store.
///
/// The store limits the size of a value in KiB of JSON, whatever the encoding in use. Functions
/// here take such limits as `value_kb` (KiB) and return bytes or numbers of tasks.
#pragma once

#include <cstddef>
#include <cstdint>

#include "store/record_types.hpp"

namespace elmstall::store {

/// Bytes that may be filled of a value whose limit is `value_kb`. A small share is reserved for
/// the structure around the entries (constants::kValueFillFactor).
[[nodiscard]] std::size_t value_bytes(double value_kb);

/// Upper bound of the size of a job's record as JSON, in bytes.
[[nodiscard]] std::size_t json_size(const JobRecord& record);

/// The record of a job, marked as cancelled. If the marked record took more than `max_bytes` bytes,
/// it is written without the fields that only the start of a task needs: the job may have been
/// accepted under a larger limit, and no task of a cancelled job is started.
[[nodiscard]] JobRecord cancelled_record(JobRecord record, std::size_t max_bytes);

/// Number of tasks of one block that may be unfinished and started at the same time, so that the
/// block's record fits into one value. This is the whole block unless the limit is below about
/// 1.5 KiB. At least 1.
[[nodiscard]] std::uint32_t max_started_tasks(double value_kb);

/// True if the records can hold this number of started tasks of one job at the same time.
/// `value_kb` is the smallest limit that may apply, and `partition_kb` is the limit by which jobs
/// are divided into blocks.
[[nodiscard]] bool startable_at_once(std::uint32_t tasks, double value_kb, double partition_kb);

/// Number of tasks per block, a power of two. The record of a full block takes less than half of
/// one value.
[[nodiscard]] std::uint32_t block_size(double value_kb);

}  // namespace elmstall::store
