#include "store/mirror.hpp"

#include <spdlog/spdlog.h>

#include "config/constants.hpp"

namespace elmstall::store {
namespace {

/// Modification revision of an entry of one of the maps; 0 if there is no such entry.
template <typename Map, typename Name>
std::uint64_t mod_revision_in(const Map& map, const Name& name) {
  const auto found = map.find(name);
  return found == map.end() ? 0 : found->second.mod_revision;
}

}  // namespace

void Mirror::restart() {
  listed_ = false;
  first_page_ = true;
  revision_ = 0;
  listed_revision_ = 0;
  term_ = 0;
  term_revision_ = 0;
  lead_.reset();
  machine_types_.reset();
  jobs_.clear();
  job_record_bytes_ = 0;
  cancelled_.clear();
  unreadable_jobs_.clear();
  unreadable_slots_.clear();
  blocks_.clear();
  machines_.clear();
  slots_.clear();
  delegations_.clear();
  earlier_layout_ = false;
}

void Mirror::load(const wire::Listing& page) {
  // The store reads each page at a different time, so a later page may have a later revision. The
  // watch starts at the revision of the first page and replays the changes in between; the mirror
  // is complete only when the watch has passed the highest revision of all pages.
  if (first_page_) revision_ = page.revision;
  first_page_ = false;
  listed_revision_ = std::max(listed_revision_, page.revision);
  for (const auto& entry : page.entries) put(parse_key(entry.key), entry.value, entry.mod_revision);
  listed_ = !page.truncated;
}

std::vector<Key> Mirror::apply(const wire::Changes& changes) {
  const bool was_loaded = loaded();
  std::vector<Key> changed;
  for (const auto& change : changes.log) {
    auto key = parse_key(change.key);
    // The listing may already have delivered a newer value than this change.
    if (change.mod_revision < mod_revision_of(key)) continue;
    if (change.value) {
      put(key, *change.value, change.mod_revision);
    } else {
      erase(key);
    }
    changed.push_back(std::move(key));
  }
  revision_ = std::max(revision_, changes.revision);
  if (!was_loaded && loaded()) drop_blocks_without_job();
  return changed;
}

void Mirror::drop_blocks_without_job() {
  // Old values of the ledger log still contain blocks of finished jobs. A block is valid only
  // while the record of its job exists.
  std::erase_if(blocks_, [this](const auto& entry) { return !jobs_.contains(entry.first); });
}

std::uint64_t Mirror::mod_revision_of(const Key& key) const {
  switch (key.kind) {
    case Key::Kind::term:
      return term_revision_;
    case Key::Kind::lead:
      return lead_revision();
    case Key::Kind::types:
      return machine_types_ ? machine_types_->mod_revision : 0;
    case Key::Kind::job:
      return mod_revision_in(jobs_, key.id);
    case Key::Kind::slot:
      return mod_revision_in(slots_, key.number);
    case Key::Kind::delegation:
      return mod_revision_in(delegations_, key.id);
    default:
      return 0;
  }
}

void Mirror::put(const Key& key, const std::string& packed, std::uint64_t mod_revision) {
  try {
    decode_and_put(key, packed, mod_revision);
  } catch (const wire::DecodeError& error) {
    // A record that can't be decoded must not end the process, which would read the same record
    // again after a restart.
    spdlog::error("a record of the state service is skipped: {}", error.what());
    if (key.kind == Key::Kind::job) unreadable_jobs_.insert(key.id);
    if (key.kind == Key::Kind::slot) unreadable_slots_.insert(key.number);
  }
}

void Mirror::put_job(const std::string& id, const std::string& packed, std::uint64_t mod_revision) {
  auto record = decode_job(packed);
  unreadable_jobs_.erase(id);
  if (record.cancelled) cancelled_.insert(id);
  auto& job = jobs_[id];
  job_record_bytes_ = job_record_bytes_ - job.packed_bytes + packed.size();
  job = {std::move(record), mod_revision, packed.size()};
}

void Mirror::erase_job(const std::string& id) {
  const auto found = jobs_.find(id);
  if (found != jobs_.end()) {
    job_record_bytes_ -= found->second.packed_bytes;
    jobs_.erase(found);
  }
  unreadable_jobs_.erase(id);
  cancelled_.erase(id);
  if (loaded()) blocks_.erase(id);
}

void Mirror::put_slot(std::uint32_t slot, const SlotRecord& value, std::uint64_t mod_revision) {
  unreadable_slots_.erase(slot);
  slots_[slot] = {mod_revision, value.number};
  for (const auto& entry : value.blocks) put_block(slot, value.number, entry);
  for (const auto& entry : value.machines) put_machine(slot, value.number, entry);
}

void Mirror::put_block(std::uint32_t slot, std::uint64_t number, const BlockEntry& entry) {
  // The record of the job may still arrive while the mirror is being loaded.
  if (loaded() && !jobs_.contains(entry.job)) return;
  auto& block = blocks_[entry.job][entry.number];
  if (block.number <= number) block = {number, slot, entry.record};
}

void Mirror::put_machine(std::uint32_t slot, std::uint64_t number, const MachineEntry& entry) {
  if (entry.removed) {
    // A newer value may have recorded the machine again. And an older value that arrives after
    // this one may add the machine again; the leader then detects again that it no longer exists.
    const auto found = machines_.find(entry.id);
    if (found != machines_.end() && found->second.number <= number) machines_.erase(found);
    return;
  }
  auto& machine = machines_[entry.id];
  if (machine.number <= number) machine = {number, slot, entry.record};
}

void Mirror::decode_and_put(const Key& key, const std::string& packed, std::uint64_t mod_revision) {
  switch (key.kind) {
    case Key::Kind::term:
      term_ = decode_term(packed).term;
      term_revision_ = mod_revision;
      break;
    case Key::Kind::lead:
      lead_ = decode_lead(packed);
      lead_revision_ = mod_revision;
      break;
    case Key::Kind::types:
      machine_types_ = MachineTypes{decode_machine_types(packed), mod_revision};
      break;
    case Key::Kind::job:
      put_job(key.id, packed, mod_revision);
      break;
    case Key::Kind::slot:
      put_slot(key.number, decode_slot(packed), mod_revision);
      break;
    case Key::Kind::earlier:
      earlier_layout_ = true;
      break;
    case Key::Kind::delegation:
      delegations_[key.id] = {decode_delegation(packed).zone, mod_revision};
      break;
    case Key::Kind::final:
      cache_final_state(key.id, decode_final(packed));
      break;
    case Key::Kind::other:
      break;
  }
}

void Mirror::erase(const Key& key) {
  switch (key.kind) {
    case Key::Kind::lead:
      lead_.reset();
      break;
    case Key::Kind::job:
      erase_job(key.id);
      break;
    case Key::Kind::delegation:
      delegations_.erase(key.id);
      break;
    case Key::Kind::slot:
      unreadable_slots_.erase(key.number);
      break;
    default:
      break;
  }
}

const Mirror::Job* Mirror::job(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const std::map<std::uint32_t, Mirror::Block>* Mirror::blocks(const std::string& id) const {
  const auto found = blocks_.find(id);
  return found == blocks_.end() ? nullptr : &found->second;
}

std::optional<FinalRecord> Mirror::final_state(const std::string& id) const {
  const auto* found = final_states_.find(id);
  if (found == nullptr) return std::nullopt;
  return *found;
}

void Mirror::cache_final_state(const std::string& id, const FinalRecord& record) {
  final_states_.insert(id, record);
}

wire::JobStatus Mirror::status(const std::string& id) const {
  wire::JobStatus status{id, wire::JobState::queued, 0, 0};
  if (const auto last = final_state(id)) {
    status.state = last->state;
    status.done = last->state == wire::JobState::done ? last->tasks : 0;
    return status;
  }
  if (const auto* found = blocks(id)) {
    for (const auto& [number, block] : *found) {
      status.done += block.record.done_count();
      status.running += block.record.assigned_count();
    }
  }
  if (status.running > 0) status.state = wire::JobState::running;
  const auto* record = job(id);
  if (record != nullptr && record->record.cancelled) status.state = wire::JobState::cancelled;
  return status;
}

}  // namespace elmstall::store
