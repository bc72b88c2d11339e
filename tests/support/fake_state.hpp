// A stand-in of the state service, in memory: versions, guards, leases,
// watches, as the protocol page has them.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "config/settings.hpp"
#include "store/state_store.hpp"
#include "support/virtual_time.hpp"

namespace elmstall::test {

class FakeState {
 public:
  explicit FakeState(VirtualLoop& loop) : loop_(loop) {}

  struct Item {
    std::string value;
    std::uint64_t mod_revision = 0;
    std::uint64_t lease = 0;
  };

  store::CommitResult commit(const wire::Transaction& transaction);
  store::GetResult get(const std::string& key);
  store::ListResult list(const std::string& prefix, const std::string& since, std::size_t most);
  /// Nothing when `since` is too old to tell.
  std::optional<wire::Changes> changes(const std::string& prefix, std::uint64_t since);
  std::uint64_t grant(double life_s);
  bool renew(std::uint64_t lease);
  void expire();
  /// After an outage every lease has its full time again.
  void refresh_leases();
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] const std::map<std::string, Item>& items() const { return items_; }
  bool down = false;
  /// What is larger is called malformed.
  std::optional<config::StateLimits> limits;
  /// Beyond `limits` a second, with bursts of a second's worth, changes are refused.
  bool limits_rate = false;
  /// Transactions that were called malformed.
  std::size_t rejected = 0;
  /// A transaction was applied; its answer is on its way.
  std::function<void(const wire::Transaction&)> on_commit;

 private:
  struct Lease {
    double life = 0;
    double until = 0;
  };
  [[nodiscard]] bool too_large(const wire::Transaction& transaction) const;
  [[nodiscard]] bool too_fast(const wire::Transaction& transaction);
  void record(const std::string& key, std::optional<std::string> value);

  VirtualLoop& loop_;
  std::uint64_t revision_ = 1;
  double write_level_ = 0;  ///< changes that may be made at once
  double write_level_at_ = 0;
  std::uint64_t next_lease_ = 1;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<wire::Change> log_;
  std::uint64_t forgotten_ = 0;  ///< revision of the newest change not kept
};

/// One node's way to the state service, with the faults of the faults.
class FakeStore : public store::StateStore {
 public:
  struct Faults {
    bool refused = false;     ///< 503 to this node alone
    double lost = 0;          ///< share of requests without an answer
    double late = 0;          ///< share of lost commits applied much later
    double late_writes = 0;   ///< share of commits without an answer, applied 2 to 12 s later
    double late_by = 0;       ///< seconds; 0: somewhere between 2 and 12
    bool watch_held = false;  ///< open watches tell nothing
    double slow = 0;          ///< seconds that each answer takes longer, at most
  };
  std::size_t gets = 0;  ///< single keys asked for
  FakeStore(VirtualLoop& loop, FakeState& state, unsigned seed)
      : loop_(loop), state_(state), random_(seed) {}

  void get(const std::string& key, std::function<void(store::GetResult)> done) override;
  void list(const std::string& prefix, const std::string& since,
            std::function<void(store::ListResult)> done) override;
  void watch(const std::string& prefix, std::uint64_t since, double hold_s,
             std::function<void(store::WatchResult)> done) override;
  void commit(wire::Transaction transaction,
              std::function<void(store::CommitResult)> done) override;
  void grant(double life_s, std::function<void(store::GrantResult)> done) override;
  void renew(std::uint64_t lease, std::function<void(store::Outcome)> done) override;
  /// The process at this end died: nothing comes back any more.
  void cut() { alive_.reset(); }
  Faults faults;

 private:
  template <typename Result>
  void exchange(std::function<Result()> execute, std::function<void(Result)> done,
                Result unavailable, Result lost, bool may_be_late);
  void poll_watch(std::string prefix, std::uint64_t since, double until,
                  std::function<void(store::WatchResult)> done);
  [[nodiscard]] bool chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  VirtualLoop& loop_;
  FakeState& state_;
  std::mt19937 random_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace elmstall::test
