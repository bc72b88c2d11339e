#include "state/log_slots.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::state {

LogSlots::LogSlots(const std::map<std::uint32_t, store::Mirror::Slot>& stored) {
  for (const auto& [number, slot] : stored) {
    slots_[number].mod_revision = slot.mod_revision;
    next_value_number_ = std::max(next_value_number_, slot.number + 1);
  }
}

std::uint32_t LogSlots::choose(const std::set<std::uint32_t>& taken,
                               std::size_t max_live_json_bytes) const {
  std::uint32_t new_slot = taken.empty() ? 0 : *taken.rbegin() + 1;
  if (!slots_.empty()) new_slot = std::max(new_slot, slots_.rbegin()->first + 1);
  if (slots_.size() < constants::kInitialSlots) return new_slot;

  const Slot* best = nullptr;
  std::uint32_t best_number = new_slot;
  for (const auto& [number, slot] : slots_) {
    if (taken.contains(number) || slot.live_json_bytes > max_live_json_bytes) continue;
    if (best != nullptr && slot.live_json_bytes >= best->live_json_bytes) continue;
    best = &slot;
    best_number = number;
  }
  return best_number;
}

const LogSlots::Slot* LogSlots::find(std::uint32_t slot) const {
  const auto found = slots_.find(slot);
  return found == slots_.end() ? nullptr : &found->second;
}

std::uint64_t LogSlots::mod_revision(std::uint32_t slot) const {
  const auto* known = find(slot);
  return known == nullptr ? 0 : known->mod_revision;
}

void LogSlots::set_mod_revision(std::uint32_t slot, std::uint64_t mod_revision) {
  slots_[slot].mod_revision = mod_revision;
}

void LogSlots::set_live_json_bytes(std::uint32_t slot, std::size_t json_bytes) {
  slots_.at(slot).live_json_bytes = json_bytes;
}

void LogSlots::place(CommitRecord& record, std::uint32_t slot, std::size_t json_bytes) {
  record.slot_ = slot;
  record.slot_json_bytes_ = json_bytes;
  slots_[slot].live_json_bytes += json_bytes;
  slots_[slot].live[record.serial()] = &record;
}

void LogSlots::remove(CommitRecord& record) {
  if (!record.slot_) return;
  auto& slot = slots_[*record.slot_];
  slot.live_json_bytes -= record.slot_json_bytes_;
  slot.live.erase(record.serial());
  record.slot_.reset();
}

}  // namespace elmstall::state
