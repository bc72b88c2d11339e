// A node's copy of the live records, kept current by a watch. Pure: the
// owner feeds it listings and changes.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "store/records.hpp"

namespace elmstall::store {

class Mirror {
 public:
  struct Value {
    std::string packed;
    std::uint64_t mod_revision = 0;
  };
  struct Block {
    std::uint64_t number = 0;  ///< of the log value that it comes from
    std::uint32_t slot = 0;    ///< and where that value is
    BlockRecord record;
  };
  struct Machine {
    std::uint64_t number = 0;
    std::uint32_t slot = 0;
    MachineRecord record;
  };
  struct Slot {
    std::uint64_t mod_revision = 0;
    std::uint64_t number = 0;
  };
  struct Job {
    JobRecord record;
    std::uint64_t mod_revision = 0;
  };

  /// Forgets the live records; final states are kept, they never change.
  void restart();
  /// One page of the listing of live records.
  void load(const wire::Listing& page);
  /// After the last page: changes must be followed from here.
  [[nodiscard]] std::uint64_t follow_from() const { return revision_; }
  /// Returns the keys that changed.
  std::vector<Key> apply(const wire::Changes& changes);

  /// True once the watch has reached every page of the listing.
  [[nodiscard]] bool loaded() const { return listed_ && revision_ >= listed_revision_; }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  [[nodiscard]] const Job* job(const std::string& id) const;
  [[nodiscard]] const std::map<std::string, Job>& jobs() const { return jobs_; }
  /// Unfinished jobs that bear a cancel mark.
  [[nodiscard]] const std::set<std::string>& cancelled() const { return cancelled_; }
  [[nodiscard]] const std::map<std::uint32_t, Block>* blocks(const std::string& id) const;
  [[nodiscard]] const std::map<std::string, Machine>& machines() const { return machines_; }
  [[nodiscard]] const std::map<std::uint32_t, Slot>& slots() const { return slots_; }
  /// Records of a layout that this program does not read: it must not lead.
  [[nodiscard]] bool earlier_layout() const { return earlier_layout_; }
  /// Zone of every node that is a zone delegate, by node.
  [[nodiscard]] const std::map<std::string, std::pair<std::string, std::uint64_t>>& delegations()
      const {
    return delegations_;
  }
  [[nodiscard]] std::optional<FinalRecord> final_state(const std::string& id) const;
  void remember_final(const std::string& id, const FinalRecord& record);
  [[nodiscard]] std::uint64_t term() const { return term_; }
  [[nodiscard]] std::uint64_t term_revision() const { return term_revision_; }
  [[nodiscard]] const std::optional<LeadRecord>& lead() const { return lead_; }
  [[nodiscard]] std::uint64_t lead_revision() const { return lead_ ? lead_revision_ : 0; }
  [[nodiscard]] const std::optional<Value>& types() const { return types_; }
  [[nodiscard]] wire::JobStatus status(const std::string& id) const;

 private:
  void put(const Key& key, const std::string& packed, std::uint64_t mod_revision);
  void decode_and_put(const Key& key, const std::string& packed, std::uint64_t mod_revision);
  void put_slot(std::uint32_t slot, const SlotRecord& value, std::uint64_t mod_revision);
  void erase(const Key& key);
  void drop_ownerless_blocks();
  [[nodiscard]] std::uint64_t mod_revision_of(const Key& key) const;

  bool listed_ = false;
  bool first_page_ = true;
  std::uint64_t revision_ = 0;
  std::uint64_t listed_revision_ = 0;
  std::uint64_t term_ = 0;
  std::uint64_t term_revision_ = 0;
  std::optional<LeadRecord> lead_;
  std::uint64_t lead_revision_ = 0;
  std::optional<Value> types_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> cancelled_;
  std::unordered_map<std::string, std::map<std::uint32_t, Block>> blocks_;
  std::map<std::string, Machine> machines_;
  std::map<std::uint32_t, Slot> slots_;
  bool earlier_layout_ = false;
  std::map<std::string, std::pair<std::string, std::uint64_t>>
      delegations_;  ///< zone and modification revision
  std::unordered_map<std::string, FinalRecord> finals_;
  std::deque<std::string> final_order_;
};

}  // namespace elmstall::store
