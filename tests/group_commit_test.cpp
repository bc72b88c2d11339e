/// \file
/// The group commit: when transactions or their responses are lost, delayed or applied late, a new
/// leader still reads from the ledger log every record that this leader counts as written.
#include "state/group_commit.hpp"

#include <gtest/gtest.h>

#include "support/fake_state.hpp"

namespace elmstall::state {
namespace {

using store::BlockEntry;
using Kind = GroupCommit::Record::Kind;

/// The group commit of one leader over the simulated state store. The attempt number of a block's
/// only task serves as the version of the block.
class GroupCommitTest : public ::testing::Test {
 protected:
  struct Block {
    BlockEntry entry;
    GroupCommit::Record* record = nullptr;
  };

  GroupCommitTest()
      : state_(loop_),
        event_loop_(loop_, 7),
        store_(loop_, state_, 8),
        queue_(event_loop_, [] {}),
        scope_(queue_) {
    settings_.state.value_kb = 1;
    settings_.state.transaction_writes_max = 8;
    wire::Transaction transaction;
    transaction.writes = {{std::string(store::kTermKey), store::encode(store::TermRecord{1}), 0}};
    state_.commit(transaction);
    refresh();
    group_commit_ = std::make_unique<GroupCommit>(
        settings_, event_loop_, queue_, store_, mirror_, mirror_.term_revision(),
        GroupCommit::Events{[this](const std::string& job) { finished_.insert(job); },
                            [this] { deposed_ = true; }, [](double) {}});
  }

  void refresh() {
    mirror_.restart();
    mirror_.load(state_.list(std::string(store::kLivePrefix), "", 1'000'000).listing);
  }
  Block& add_block(int job) {
    const std::string id = "job-" + std::to_string(job);
    store::JobRecord record;
    record.spec.id = id;
    record.spec.job_class = record.spec.team = "x";
    record.spec.image = "i";
    wire::Transaction transaction;
    transaction.writes = {{store::job_key(id), store::encode(record), 0}};
    state_.commit(transaction);
    refresh();
    auto& block = blocks_[id];
    block.entry = {id, 0, {{false, false}, {{0, 0, "host-1"}}}};
    block.record =
        group_commit_->add(Kind::block, id, [&block] { return store::pack(block.entry); });
    return block;
  }
  void change(Block& block) {
    ++block.entry.record.tasks[0].attempt;
    group_commit_->mark_dirty(*block.record);
  }
  void run(double seconds) {
    for (const double end = loop_.now() + seconds; loop_.now() < end;) {
      group_commit_->flush();
      loop_.run_until(loop_.now() + 0.05);
      refresh();
    }
  }
  std::uint64_t stored_attempt(const std::string& id) {
    const auto* blocks = mirror_.blocks(id);
    return blocks == nullptr || blocks->empty() ? 0 : blocks->at(0).record.tasks[0].attempt;
  }

  config::Settings settings_;
  test::VirtualLoop loop_;
  test::FakeState state_;
  test::VirtualEventLoop event_loop_;
  test::FakeStore store_;
  runtime::CommandQueue queue_;
  runtime::CommandScope scope_;
  store::Mirror mirror_;
  std::unique_ptr<GroupCommit> group_commit_;
  std::map<std::string, Block> blocks_;
  std::set<std::string> finished_;
  bool deposed_ = false;
};

TEST_F(GroupCommitTest, ChangedBlocksOfSeveralJobsShareOneValue) {
  for (int i = 0; i < 60; ++i) change(add_block(i));
  run(2);
  const auto before = state_.revision();
  // A change of one task of each of ten jobs is written as one value, in one revision.
  for (int i = 0; i < 10; ++i) change(blocks_.at("job-" + std::to_string(i)));
  run(1);
  EXPECT_EQ(state_.revision(), before + 1);
  for (const auto& [id, block] : blocks_)
    EXPECT_EQ(stored_attempt(id), block.entry.record.tasks[0].attempt) << id;
}

TEST_F(GroupCommitTest, LogSizeAndValueSizesAreBounded) {
  for (int i = 0; i < 40; ++i) add_block(i);
  std::mt19937 random(3);
  for (int round = 0; round < 400; ++round) {
    for (int i = 0; i < 5; ++i) change(blocks_.at("job-" + std::to_string(random() % 40)));
    run(0.1);
  }
  run(1);
  std::size_t slots = 0;
  for (const auto& [key, item] : state_.items()) {
    if (store::parse_key(key).kind != store::Key::Kind::slot) continue;
    ++slots;
    EXPECT_LE(wire::json_size(wire::Document::parse(item.value).root()), 1024U);
  }
  // 40 entries of about 70 bytes fill about three values.
  EXPECT_LE(slots, 16U);
  EXPECT_GE(slots, constants::kInitialSlots);
}

/// Responses are lost and transactions are applied seconds later, so that an older version of a
/// block may be applied after a newer one. The log must hold at least the version that counts as
/// written, and two values must never be written under the same number.
TEST_F(GroupCommitTest, LostAndLateTransactionsDoNotLoseWrittenRecords) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    std::mt19937 random(seed);
    for (int i = 0; i < 20; ++i) add_block(static_cast<int>(seed) * 100 + i);
    store_.faults = {false, 0.3, 0.7};
    for (int round = 0; round < 200; ++round) {
      auto& block =
          std::next(blocks_.begin(), static_cast<std::ptrdiff_t>(random() % blocks_.size()))
              ->second;
      if (block.record != nullptr) change(block);
      run(0.1);
      for (const auto& [id, other_block] : blocks_) {
        if (other_block.record == nullptr) continue;
        ASSERT_GE(stored_attempt(id), other_block.record->written) << id;
      }
    }
    store_.faults = {};
    run(20);
    for (const auto& [id, block] : blocks_) {
      if (block.record == nullptr) continue;
      ASSERT_TRUE(block.record->clean()) << id;
      ASSERT_EQ(stored_attempt(id), block.entry.record.tasks[0].attempt) << id;
    }
  }
  EXPECT_FALSE(deposed_);
}

/// A job's blocks stay in the log until its final state is written. A new leader that found none
/// would assign the attempt numbers of its tasks again.
TEST_F(GroupCommitTest, BlocksStayInTheLogUntilTheFinalStateIsWritten) {
  settings_.state.transaction_writes_max = 4;  // one final state per transaction
  for (int i = 0; i < 40; ++i) change(add_block(i));
  run(10);
  // There are far more final states than fit into one transaction, and every commit overwrites a
  // slot.
  for (auto& [id, block] : blocks_) {
    group_commit_->finish({id, {wire::JobState::done, 2}, {block.record}});
    block.record = nullptr;
  }
  for (int round = 0; round < 60; ++round) {
    change(add_block(100 + round));
    run(0.1);
    for (int i = 0; i < 40; ++i) {
      const auto id = "job-" + std::to_string(i);
      if (mirror_.job(id) != nullptr) {
        ASSERT_EQ(stored_attempt(id), 1U) << id << " in round " << round;
      }
    }
  }
  run(3);
  for (int i = 0; i < 40; ++i) {
    const auto id = "job-" + std::to_string(i);
    EXPECT_TRUE(finished_.contains(id));
    EXPECT_EQ(mirror_.job(id), nullptr);
    EXPECT_TRUE(state_.items().contains(store::final_key(id)));
  }
}

/// While the mirror reloads page by page, it lacks some jobs. Their blocks must not be treated as
/// those of finished jobs, which are left out of the log.
TEST_F(GroupCommitTest, NothingIsWrittenWhileTheMirrorReloads) {
  for (int i = 0; i < 30; ++i) change(add_block(i));
  run(5);
  std::mt19937 random(4);
  for (int round = 0; round < 150; ++round) {
    mirror_.restart();
    const auto page = state_.list(std::string(store::kLivePrefix), "", 20).listing;
    ASSERT_TRUE(page.truncated);
    mirror_.load(page);
    for (int i = 0; i < 5; ++i) {
      auto& block = std::next(blocks_.begin(), static_cast<std::ptrdiff_t>(random() % 20))->second;
      change(block);
    }
    for (int i = 0; i < 4; ++i) {
      group_commit_->flush();
      loop_.run_until(loop_.now() + 0.1);
    }
    refresh();
    for (const auto& [id, block] : blocks_)
      ASSERT_GE(stored_attempt(id), block.record->written) << id << " in round " << round;
    // Changes jobs of all pages, so that values hold both jobs of the first page and others.
    for (int i = 0; i < 4; ++i)
      change(std::next(blocks_.begin(), static_cast<std::ptrdiff_t>(random() % 30))->second);
    run(0.3);
  }
}

TEST_F(GroupCommitTest, AFormerLeadersTransactionFails) {
  change(add_block(1));
  wire::Transaction transaction;
  transaction.writes = {{std::string(store::kTermKey), store::encode(store::TermRecord{2}), 0}};
  state_.commit(transaction);
  run(1);
  EXPECT_TRUE(deposed_);
  EXPECT_EQ(stored_attempt("job-1"), 0U);
}

TEST_F(GroupCommitTest, RespectsAnnouncedLimits) {
  settings_.state.value_kb = 4;
  settings_.state_next = config::StateLimits{120, 18, 1, 4};
  state_.limits = settings_.state_limits();
  for (int i = 0; i < 80; ++i) change(add_block(i));
  run(6);
  for (auto& [id, block] : blocks_) EXPECT_EQ(stored_attempt(id), 1U) << id;
  EXPECT_EQ(state_.rejected_transactions, 0U);
}

TEST_F(GroupCommitTest, TransactionsShrinkWhenTheStateStoreRejectsThem) {
  settings_.state.value_kb = 4;
  state_.limits = config::StateLimits{120, 25, 1.2, 4};
  for (int i = 0; i < 80; ++i) change(add_block(i));
  run(10);
  for (auto& [id, block] : blocks_) EXPECT_EQ(stored_attempt(id), 1U) << id;
  EXPECT_GT(state_.rejected_transactions, 0U);
  EXPECT_LT(state_.rejected_transactions, 10U)
      << "a rejected transaction must not be repeated at the same size";
}

TEST_F(GroupCommitTest, OversizedRecordDoesNotBlockOthers) {
  auto& large = add_block(0);
  large.entry.record.tasks.assign(60, {0, 0, "host-000001"});
  change(large);
  for (int i = 1; i < 10; ++i) change(add_block(i));
  run(3);
  for (auto& [id, block] : blocks_) {
    if (&block != &large) {
      EXPECT_EQ(stored_attempt(id), 1U) << id;
    }
  }
}

TEST_F(GroupCommitTest, LargeValuesAreReplacedBySmallerOnesAfterTheLimitFalls) {
  settings_.state.value_kb = 4;
  for (int i = 0; i < 60; ++i) change(add_block(i));
  run(3);
  settings_.state_next = config::StateLimits{120, 18, 1, 4};
  state_.limits = settings_.state_limits();
  // Every record changes in each round. The log must not grow beyond what its records need.
  for (int round = 0; round < 6; ++round) {
    for (auto& [id, block] : blocks_) change(block);
    run(6);
  }
  for (auto& [id, block] : blocks_) EXPECT_EQ(stored_attempt(id), 7U) << id;
  EXPECT_EQ(state_.rejected_transactions, 0U);
  EXPECT_LT(state_.list("elm/l/log/", "", 1'000'000).listing.entries.size(), 40U);
}

}  // namespace
}  // namespace elmstall::state
