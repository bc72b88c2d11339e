/// \file
/// The state store lowers its limits, as announced, at a random time while gangs run and faults
/// occur: no transaction is rejected for its size, and the rules hold.
#include <gtest/gtest.h>

#include "support/histories.hpp"
#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

class FallingLimits : public ::testing::TestWithParam<unsigned> {};

TEST_P(FallingLimits, TheRulesHoldAndNoTransactionIsRejected) {
  const auto seed = GetParam();
  World world(90'000 + seed, 3 + seed % 3, kLowerLimits);
  world.network.loss = 0.01;
  world.cloud.capacity = 40;
  world.command_copies.plan(30, 165);
  std::string fault_log;
  int jobs = 0;
  const double lower_at = 40 + world.random() * 80;
  bool lowered = false;
  double next_fault = 30;
  for (double t = 0; t < 220; t += 1) {
    world.run_until(t);
    if (t < 170 && world.random() < 0.2) {
      ++jobs;
      world.submit(world.random() < 0.5 ? random_gang(world, jobs) : random_job(world, jobs));
    }
    cancel_and_poll_random_jobs(world, jobs, 0.04);
    if (!lowered && t >= lower_at) {
      lowered = true;
      world.lower_state_limits();
      fault_log += " | limits at " + std::to_string(static_cast<int>(t));
    }
    if (t >= next_fault && t < 165) {
      fault_log += begin_random_fault(world, t);
      next_fault = t + 8 + world.random() * 25;
    }
    ASSERT_EQ(world.rules.first_violation(), "") << "at " << t << " s" << fault_log;
  }
  expect_recovery(world, jobs, 245, fault_log);
  EXPECT_EQ(world.state.rejected_transactions, 0U) << fault_log;
}

INSTANTIATE_TEST_SUITE_P(Seeds, FallingLimits, ::testing::Range(1U, last_seed(30) + 1));
/// Seeds that failed in longer searches. 374: a machine was given up while slots on it were
/// reserved for a gang, and the process exited. 119: a gang that lost tasks before it began waits
/// for ever for replacements that its team's limit does not permit, and keeps two places of it.
INSTANTIATE_TEST_SUITE_P(Found, FallingLimits, ::testing::Values(374U, 119U));

/// Writes the record of an accepted job into the state store.
void store_job_record(World& world, const wire::JobSpec& job) {
  wire::Transaction transaction;
  transaction.writes = {
      {store::job_key(job.id), store::encode(store::JobRecord{job, false, 0}), 0}};
  ASSERT_EQ(world.state.commit(transaction).outcome, store::Outcome::ok);
}

/// A list of allowed machine types that takes much room in a record.
wire::AllowedTypes repeated_type(std::size_t times) {
  return wire::AllowedTypes::only(std::vector<std::string>(times, "m12"));
}

/// A job whose record is as large as the initial limits allow, and too large for the lower ones.
wire::JobSpec job_with_large_record() {
  auto job = array(1, 2);
  job.types = repeated_type(80);
  return job;
}

/// The job was accepted under the larger limit, as by an earlier version. Its record can't be
/// written again unchanged.
TEST(LargeJobRecord, IsCancelledAndEndedUnderTheSmallerLimit) {
  World world(901, 3, kLowerLimits);
  world.run_until(5);
  auto job = array(1, 2, 500);
  job.image = std::string(180, 'i');
  job.types = repeated_type(55);
  world.register_job(job);
  world.rules.record_accepted(world.loop.now(), job.id);
  ASSERT_NO_FATAL_FAILURE(store_job_record(world, job));
  world.run_until(40);
  ASSERT_EQ(placed_tasks(world, "job-1"), 2U);
  world.lower_state_limits();
  EXPECT_TRUE(world.cancel_at(0, "job-1"));
  world.run_for(30);
  EXPECT_EQ(placed_tasks(world, "job-1"), 0U);
  EXPECT_EQ(poll_reported_state(world, "job-1"), wire::JobState::cancelled);
  EXPECT_EQ(world.state.rejected_transactions, 0U);
  expect_no_violations(world);
}

TEST(LargeJobRecord, IsRejectedByEveryControllerEachTime) {
  World world(902, 3, kLowerLimits);
  world.run_until(5);
  const auto job = job_with_large_record();
  for (std::size_t node = 0; node < 3; ++node) {
    for (int time = 0; time < 2; ++time) {
      const auto response = world.response_of(node, submit_request(job), 0.5);
      ASSERT_TRUE(response);
      EXPECT_EQ(response->status, 422);
    }
  }
}

TEST(LargeJobRecord, ResubmissionOfAnAcceptedJobSucceeds) {
  World world(903, 3, kLowerLimits);
  world.run_until(5);
  const auto job = job_with_large_record();
  ASSERT_NO_FATAL_FAILURE(store_job_record(world, job));
  world.run_until(8);
  const auto response = world.response_of(1, submit_request(job), 1);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
}

}  // namespace
}  // namespace elmstall::test
