/// \file
/// More jobs and more requests than the deployment has capacity for.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// With far more small jobs than there is capacity for, large jobs still start within four minutes,
/// and half of the jobs of either size complete.
TEST(Overload, LargeJobsStartWithinFourMinutesAndHalfOfAllJobsComplete) {
  World world(37);
  world.cloud.capacity = 4;  // eight tasks at once
  int number = 0;
  std::vector<std::string> large_jobs;
  std::map<std::string, double> started_at;
  std::map<std::string, double> submitted_at;
  for (double t = 1; t < 400; t += 1) {
    world.run_until(t);
    if (t < 300 && static_cast<int>(t) % 3 == 0) world.submit(array(++number, 1, 20));
    if (t < 150 && static_cast<int>(t) % 30 == 5) {
      large_jobs.push_back("job-" + std::to_string(++number));
      submitted_at[large_jobs.back()] = t;
      world.submit(array(number, 16, 10));
    }
    for (const auto& id : large_jobs) {
      if (!started_at.contains(id) && placed_tasks(world, id) > 0) started_at[id] = t;
    }
  }
  ASSERT_EQ(large_jobs.size(), 5U);
  std::size_t completed = 0;
  for (const auto& id : large_jobs) {
    EXPECT_TRUE(started_at.contains(id)) << id;
    EXPECT_LT(started_at[id] - submitted_at[id], 240) << id;
  }
  world.run_until(600);
  for (int i = 1; i <= number; ++i) world.poll("job-" + std::to_string(i));
  world.run_until(603);
  for (int i = 1; i <= number; ++i)
    completed += world.last_reported_state("job-" + std::to_string(i)) == JobState::done;
  EXPECT_GT(completed * 2, static_cast<std::size_t>(number));
  std::size_t large_completed = 0;
  for (const auto& id : large_jobs)
    large_completed += world.last_reported_state(id) == JobState::done;
  EXPECT_GE(large_completed * 2, large_jobs.size());
  expect_no_violations(world);
}

/// A job that is so large that all jobs of the next minutes would go before it still starts within
/// four minutes.
TEST(Overload, VeryLargeJobIsNotStarvedBySmallerOnes) {
  World world(56);
  world.cloud.capacity = 4;
  world.submit(array(1, 8, 15));
  world.run_until(10);
  world.submit(array(2, 200, 10));
  int number = 2;
  double started_at = -1;
  for (double t = 11; t < 320; t += 1) {
    world.run_until(t);
    if (static_cast<int>(t) % 2 == 0) world.submit(array(++number, 1, 20));
    if (started_at < 0 && placed_tasks(world, "job-2") > 0) started_at = t;
  }
  EXPECT_GT(started_at, 10) << "did not start";
  EXPECT_LT(started_at, 250);
  expect_no_violations(world);
}

/// Requests that can't be handled are rejected with 503 and a Retry-After header. Those above the
/// concurrency limit are rejected immediately.
TEST(Overload, ExcessRequestsAreRejectedWithRetryAfter) {
  World world(38);
  world.run_until(5);
  world.stop_state_store();
  wire::Packer packer;
  wire::pack_job(packer, array(1, 1));
  const auto body = packer.take();
  std::size_t refused = 0;
  for (int i = 0; i < 200; ++i) {
    world.send_to_node(0, {"POST", "/api/jobs", body}, [&](const net::Response& response) {
      EXPECT_EQ(response.status, 503);
      EXPECT_GT(response.retry_after_s, 0);
      ++refused;
    });
  }
  world.run_until(5.1);
  EXPECT_GT(refused, 100U) << "immediately, above the limit";
  world.run_until(10);
  EXPECT_EQ(refused, 200U);
}

/// Continuous polls once caused a request to the state store every few milliseconds and used up the
/// request rate that commits need.
TEST(Overload, PollsDoNotUseUpTheStateStoreRequestRate) {
  World world(49);
  world.submit(array(1, 1, 500));
  world.run_until(20);
  const auto before = world.store(0).get_count;
  std::size_t answered = 0;
  for (int i = 0; i < 2000; ++i) {
    world.send_to_node(0, status_request("job-1"),
                       [&](const net::Response& response) { answered += response.status == 200; });
    world.run_for(0.005);
  }
  world.run_for(1);
  EXPECT_EQ(answered, 2000U);
  // The three nodes share 120 requests per second, of which polls may use 30% during the 11 s.
  EXPECT_LT(world.store(0).get_count - before, 11 * 0.3 * 120 / 3 + 5);
}

TEST(SlowLinks, JobsOfAllPrioritiesAreAnsweredAndHalfComplete) {
  World world(1600);
  world.cloud.capacity = 6;  // twelve tasks at once
  world.network.loss = 0.05;
  for (std::size_t i = 0; i < 3; ++i) world.store(i).faults.max_added_delay_s = 0.5;
  int number = 0;
  for (double t = 1; t < 240; t += 1) {
    world.run_until(t);
    const bool urgent = static_cast<int>(t) % 16 == 0;
    if (static_cast<int>(t) % 4 != 0) continue;
    ++number;
    auto job = array(number, 1 + static_cast<std::uint32_t>(number % 3), 8);
    job.priority = urgent ? wire::Priority::high : wire::Priority::idle;
    world.submit(job);
    world.poll("job-" + std::to_string(1 + world.pick(static_cast<std::size_t>(number))));
  }
  world.network.loss = 0;
  for (std::size_t i = 0; i < 3; ++i) world.store(i).faults.max_added_delay_s = 0;
  const double recovery_start = world.loop.now();
  for (double t = recovery_start; t < recovery_start + 160; t += 1) {
    world.run_until(t);
    for (int job = 1; job <= number; ++job) {
      if (job % 5 == static_cast<int>(t) % 5) world.poll("job-" + std::to_string(job));
    }
  }
  std::size_t done = 0;
  for (int job = 1; job <= number; ++job) {
    const auto id = "job-" + std::to_string(job);
    EXPECT_GT(world.last_response_at(id), recovery_start + 85) << id;
    done += world.last_reported_state(id) == JobState::done;
  }
  EXPECT_GT(done * 2, static_cast<std::size_t>(number));
  expect_no_violations(world);
}

}  // namespace
}  // namespace elmstall::test
