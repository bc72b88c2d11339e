/// \file
/// Late copies of answered messages of all kinds but commands: transactions, grants and renewals of
/// leases, messages between controllers, and users' requests ("Copies of messages" in
/// docs/design.md).
#include <gtest/gtest.h>

#include "support/faults.hpp"
#include "support/histories.hpp"
#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

/// Keys that copies of transactions may write: a delegation that ended can return until its lease
/// ends, which permits nothing.
bool harmless(const std::string& key) { return key.starts_with(store::delegation_key("")); }

/// A history with restarts, cut zones and cancellations in which messages of all kinds are copied.
class MessageCopiesHistory : public ::testing::TestWithParam<unsigned> {};

TEST_P(MessageCopiesHistory, CopiesChangeNothing) {
  const auto seed = GetParam();
  World world(97'000 + seed, 3 + seed % 2);
  world.cloud.capacity = 40;
  world.message_copies.share = 0.5;
  std::string fault_log;
  int jobs = 0;
  double next_fault = 35;
  for (double t = 0; t < 180; t += 1) {
    world.run_until(t);
    if (t < 150 && world.random() < 0.2) world.submit(random_job(world, ++jobs));
    cancel_and_poll_random_jobs(world, jobs, 0.1);
    if (t >= next_fault && t < 150) {
      fault_log += begin_random_fault(world, t);
      next_fault = t + 10 + world.random() * 20;
    }
    ASSERT_EQ(world.rules.first_violation(), "") << "at " << t << " s" << fault_log;
  }
  expect_recovery(world, jobs, 235, fault_log);
  EXPECT_GT(world.message_copies.made, 1000U);
  for (const auto& key : world.message_copies.written_keys) EXPECT_TRUE(harmless(key)) << key;
}

INSTANTIATE_TEST_SUITE_P(Seeds, MessageCopiesHistory, ::testing::Range(1U, last_seed(20) + 1));

/// The copy of a delegation that has ended returns to the records, and is gone with its lease.
TEST(MessageCopies, AnEndedDelegationHoldsNothingUpForLong) {
  World world(97'500, 4);
  world.cloud.capacity = 20;
  world.submit(array_in("south", 1, 4, 3000));
  world.run_until(45);
  move_leadership_to_north(world);
  world.message_copies.share = 1;
  world.message_copies.latest_s = 5;
  for (int cut = 0; cut < 4; ++cut) {
    world.network.cut_zone("south");
    world.run_for(6);
    world.network.restore_zone("south");
    world.run_for(12);
  }
  EXPECT_EQ(placed_tasks(world, "job-1"), 4U);
  for (const auto& key : world.message_copies.written_keys) EXPECT_TRUE(harmless(key)) << key;
  world.message_copies.share = 0;
  // A machine that is lost now is replaced as without copies.
  worker_of(world, "job-1")->die();
  world.run_for(60);
  EXPECT_EQ(running_tasks(world, "job-1"), 4U);
  expect_starts_without_violations(world);
}

}  // namespace
}  // namespace elmstall::test
