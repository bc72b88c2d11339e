#include "state/record_table.hpp"

#include <utility>

namespace elmstall::state {

CommitRecord* RecordTable::add(CommitRecord::Kind kind, std::string job,
                               CommitRecord::PackFunction pack) {
  const auto serial = next_serial_++;
  auto& record = records_[serial];
  record = std::make_unique<CommitRecord>(kind, std::move(job), std::move(pack), serial);
  return record.get();
}

CommitRecord* RecordTable::find(std::uint64_t serial) {
  const auto found = records_.find(serial);
  return found == records_.end() ? nullptr : found->second.get();
}

void RecordTable::mark_dirty(CommitRecord& record) {
  ++record.version;
  if (record.ticket_) return;
  record.ticket_ = next_ticket_++;
  dirty_[*record.ticket_] = &record;
}

void RecordTable::leave_queue(CommitRecord& record) {
  if (!record.ticket_) return;
  dirty_.erase(*record.ticket_);
  record.ticket_.reset();
}

void RecordTable::erase(CommitRecord& record) {
  leave_queue(record);
  records_.erase(record.serial());
}

}  // namespace elmstall::state
