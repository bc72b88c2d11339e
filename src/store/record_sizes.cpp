#include "store/record_sizes.hpp"

#include <algorithm>

#include "config/constants.hpp"
#include "store/record_codec.hpp"

namespace elmstall::store {
namespace {

constexpr double kBytesPerKb = 1024;
/// Full blocks that fit into one value, so that a block takes less than half of it.
constexpr double kBlocksPerValue = 2.5;

}  // namespace

std::size_t value_bytes(double value_kb) {
  return static_cast<std::size_t>(value_kb * kBytesPerKb * constants::kValueFillFactor);
}

std::size_t json_size(const JobRecord& record) {
  const auto document = wire::Document::parse(encode(record));
  return wire::json_size(document.root()) + constants::kJsonNumberSlack;
}

JobRecord cancelled_record(JobRecord record, std::size_t max_bytes) {
  record.cancelled = true;
  if (json_size(record) <= max_bytes) return record;
  record.spec.types = wire::AllowedTypes::any();
  record.spec.zone.reset();
  record.spec.image.clear();
  return record;
}

std::uint32_t max_started_tasks(double value_kb) {
  const auto room = value_bytes(value_kb) - constants::kBlockOverheadBytes;
  return std::max(1U, static_cast<std::uint32_t>(room / constants::kTaskRecordBytes));
}

bool startable_at_once(std::uint32_t tasks, double value_kb, double partition_kb) {
  return std::min(tasks, block_size(partition_kb)) <= max_started_tasks(value_kb);
}

std::uint32_t block_size(double value_kb) {
  const auto room = static_cast<std::size_t>(value_kb * kBytesPerKb / kBlocksPerValue) /
                    constants::kTaskRecordBytes;
  // Blocks stay small because a change of one task writes the whole block again.
  std::uint32_t size = 1;
  while (std::size_t{size} * 2 <= room && size < constants::kMaxBlockTasks) size *= 2;
  return size;
}

}  // namespace elmstall::store
