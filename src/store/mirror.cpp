#include "store/mirror.hpp"

#include <spdlog/spdlog.h>

#include "config/constants.hpp"

namespace elmstall::store {

void Mirror::restart() {
  listed_ = false;
  first_page_ = true;
  revision_ = listed_revision_ = 0;
  term_ = term_revision_ = 0;
  lead_.reset();
  types_.reset();
  jobs_.clear();
  cancelled_.clear();
  blocks_.clear();
  machines_.clear();
  slots_.clear();
  delegations_.clear();
  earlier_layout_ = false;
}

void Mirror::load(const wire::Listing& page) {
  // Pages are read one after the other, so a later page may be newer. The
  // watch starts at the first page's revision and replays what lies between;
  // only when it has passed the last page's revision is the copy whole.
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
    // A page that was read later may hold a newer value than this change.
    if (change.mod_revision < mod_revision_of(key)) continue;
    if (change.value) {
      put(key, *change.value, change.mod_revision);
    } else {
      erase(key);
    }
    changed.push_back(std::move(key));
  }
  revision_ = std::max(revision_, changes.revision);
  if (!was_loaded && loaded()) drop_ownerless_blocks();
  return changed;
}

void Mirror::drop_ownerless_blocks() {
  // Old values of the log still speak of jobs that are over; what is said of
  // a job counts only while its own record is there.
  std::erase_if(blocks_, [this](const auto& entry) { return !jobs_.contains(entry.first); });
}

std::uint64_t Mirror::mod_revision_of(const Key& key) const {
  switch (key.kind) {
    case Key::Kind::term:
      return term_revision_;
    case Key::Kind::lead:
      return lead_revision();
    case Key::Kind::types:
      return types_ ? types_->mod_revision : 0;
    case Key::Kind::job: {
      const auto* found = job(key.id);
      return found == nullptr ? 0 : found->mod_revision;
    }
    case Key::Kind::slot: {
      const auto found = slots_.find(key.number);
      return found == slots_.end() ? 0 : found->second.mod_revision;
    }
    case Key::Kind::delegation: {
      const auto found = delegations_.find(key.id);
      return found == delegations_.end() ? 0 : found->second.second;
    }
    default:
      return 0;
  }
}

void Mirror::put(const Key& key, const std::string& packed, std::uint64_t mod_revision) {
  try {
    decode_and_put(key, packed, mod_revision);
  } catch (const wire::DecodeError& error) {
    // A record that can't be read must not end the process, which would read
    // it again after its restart.
    spdlog::error("a record of the state service is skipped: {}", error.what());
  }
}

void Mirror::put_slot(std::uint32_t slot, const SlotRecord& value, std::uint64_t mod_revision) {
  slots_[slot] = {mod_revision, value.number};
  const bool whole = loaded();
  for (const auto& entry : value.blocks) {
    if (whole && !jobs_.contains(entry.job)) continue;
    auto& block = blocks_[entry.job][entry.number];
    if (block.number <= value.number) block = {value.number, slot, entry.record};
  }
  for (const auto& entry : value.machines) {
    if (entry.removed) {
      // Only while it is the latest entry: late copies of old values may still
      // name the machine, whose end the leader then finds out anew.
      const auto found = machines_.find(entry.id);
      if (found != machines_.end() && found->second.number <= value.number) machines_.erase(found);
      continue;
    }
    auto& machine = machines_[entry.id];
    if (machine.number <= value.number) machine = {value.number, slot, entry.record};
  }
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
      types_ = Value{packed, mod_revision};
      break;
    case Key::Kind::job:
      jobs_[key.id] = {decode_job(packed), mod_revision};
      if (jobs_[key.id].record.cancelled) cancelled_.insert(key.id);
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
      remember_final(key.id, decode_final(packed));
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
      jobs_.erase(key.id);
      cancelled_.erase(key.id);
      if (loaded()) blocks_.erase(key.id);
      break;
    case Key::Kind::delegation:
      delegations_.erase(key.id);
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
  const auto found = finals_.find(id);
  if (found == finals_.end()) return std::nullopt;
  return found->second;
}

void Mirror::remember_final(const std::string& id, const FinalRecord& record) {
  if (finals_.emplace(id, record).second) final_order_.push_back(id);
  if (final_order_.size() > constants::kFinalCache) {
    finals_.erase(final_order_.front());
    final_order_.pop_front();
  }
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
