/// \file
/// Simulated in-memory state store: revisions, preconditions, leases and watches, as the protocol
/// describes them.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "config/settings.hpp"
#include "store/state_store.hpp"
#include "support/message_copies.hpp"
#include "support/virtual_time.hpp"

namespace elmstall::test {

/// The contents of the state store, which all nodes share.
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
  /// Changes after the revision `since`; nothing if the log is compacted beyond it.
  std::optional<wire::Changes> changes(const std::string& prefix, std::uint64_t since);
  /// Grants a lease and returns its id.
  std::uint64_t grant(double life_s);
  /// False if the lease has expired.
  bool renew(std::uint64_t lease);
  /// Deletes the items of all leases that have run out.
  void expire();
  /// Restarts the duration of every lease, as after an outage.
  void refresh_leases();
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] const std::map<std::string, Item>& items() const { return items_; }
  /// Every request is refused, and no lease expires.
  bool down = false;
  /// Transactions that exceed these limits are rejected as malformed.
  std::optional<config::StateLimits> limits;
  /// Writes beyond the rate of `limits` are refused; the burst size is one second of that rate.
  bool enforce_write_rate = false;
  /// Number of transactions that were rejected as malformed.
  std::size_t rejected_transactions = 0;
  /// Called when a transaction was applied, before the response is sent.
  std::function<void(const wire::Transaction&)> on_commit;

 private:
  struct Lease {
    double duration_s = 0;
    double expires_at = 0;
  };
  [[nodiscard]] bool exceeds_size_limits(const wire::Transaction& transaction) const;
  [[nodiscard]] bool exceeds_write_rate(const wire::Transaction& transaction);
  void record(const std::string& key, std::optional<std::string> value);

  VirtualLoop& loop_;
  std::uint64_t revision_ = 1;
  double write_tokens_ = 0;  ///< token bucket: writes allowed now
  double write_tokens_updated_at_ = 0;
  std::uint64_t next_lease_ = 1;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<wire::Change> log_;
  std::uint64_t compacted_revision_ = 0;  ///< revision of the newest dropped change
};

/// The connection of one node to the state store, with its own faults.
class FakeStore : public store::StateStore {
 public:
  struct Faults {
    bool refused = false;        ///< the store responds 503 to this node alone
    double lost_share = 0;       ///< share of requests without a response
    double late_lost_share = 0;  ///< share of lost commits that are applied 20 to 80 s later
    double late_write_share =
        0;  ///< share of commits without a response that are applied seconds later
    double late_write_delay_s = 0;  ///< how many seconds later; 0: between 2 and 12
    bool watch_stalled = false;     ///< open watches report no changes
    double max_added_delay_s = 0;   ///< at most so many seconds are added to each response
  };
  std::size_t get_count = 0;  ///< number of single-key reads
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
  /// The process of this node has ended: it receives no further responses.
  void disconnect() { alive_.reset(); }
  Faults faults;
  /// Repeats transactions, grants and renewals that were answered; none if null.
  MessageCopies* copies = nullptr;

 private:
  template <typename Result>
  void exchange(std::function<Result()> execute, std::function<void(Result)> done,
                Result unavailable, Result lost, bool may_be_late,
                std::function<void()> repeat = {});
  void poll_watch(std::string prefix, std::uint64_t since, double until,
                  std::function<void(store::WatchResult)> done);
  /// Applies the copy of a transaction, and notes what it writes.
  void commit_copy(const wire::Transaction& transaction);
  [[nodiscard]] bool chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  VirtualLoop& loop_;
  FakeState& state_;
  std::mt19937 random_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace elmstall::test
