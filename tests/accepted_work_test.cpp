/// \file
/// Accepted work must not end a controller for memory, however much there is: the tasks that a
/// leader keeps in memory are bounded, and small work beside the large goes on.
#include <gtest/gtest.h>

#include "config/constants.hpp"
#include "support/leader_view.hpp"
#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Tasks of the largest job that the protocol permits.
constexpr std::uint32_t kLargestJob = 100'000;
/// Tasks. A leader with the 56 MB of the test world keeps no more in memory: at up to half a
/// kilobyte each they take less than half of them.
constexpr std::size_t kMostTasksInMemory = 50'000;

std::size_t tasks_in_memory(World& world) {
  std::size_t count = 0;
  for (const auto& [id, job] : leader_model(world).jobs()) {
    for (const auto& [number, block] : job->blocks) count += block->tasks.size();
  }
  return count;
}

/// The most tasks that a leader had in memory at any time until `end`.
std::size_t most_tasks_in_memory_until(World& world, double end) {
  constexpr double kStep = 0.5;
  std::size_t most = 0;
  while (world.loop.now() < end) {
    world.run_for(kStep);
    if (world.leader() != nullptr) most = std::max(most, tasks_in_memory(world));
  }
  return most;
}

/// Submits a small array of the highest priority, which must be done within two minutes.
void expect_small_work_done(World& world, int number) {
  auto small = array(number, 3);
  small.priority = wire::Priority::critical;
  world.submit(small);
  world.run_for(120);
  EXPECT_EQ(poll_reported_state(world, small.id), JobState::done);
}

/// Guards against leaders that end for memory, one after the other, on five gangs of the largest
/// size, none of which there are machines for.
TEST(AcceptedWork, WaitingGangsOfTheLargestSizeTakeNoMemoryForTheirTasks) {
  World world(5600);
  for (int number = 1; number <= 5; ++number) world.submit(gang(number, kLargestJob));
  EXPECT_LT(most_tasks_in_memory_until(world, 30), kMostTasksInMemory);
  expect_small_work_done(world, 100);
  world.crash(leader_index(world), 8);
  EXPECT_LT(most_tasks_in_memory_until(world, world.loop.now() + 30), kMostTasksInMemory);
  expect_small_work_done(world, 101);
  poll_jobs(world, {"job-1", "job-5"}, 2);
  EXPECT_EQ(world.last_reported_state("job-1"), JobState::queued);
  EXPECT_EQ(world.last_reported_state("job-5"), JobState::queued);
  expect_starts_without_violations(world);
}

/// Guards against a leader that ends for memory on many arrays, each of which has its window of
/// tasks in the queues.
TEST(AcceptedWork, ManyLargeArraysHaveABoundedNumberOfTasksInMemory) {
  World world(5601);
  constexpr int kJobs = 600;
  for (int number = 1; number <= kJobs; ++number) world.submit(array(number, kLargestJob));
  EXPECT_LT(most_tasks_in_memory_until(world, 60), kMostTasksInMemory);
  expect_small_work_done(world, kJobs + 1);
  world.crash(leader_index(world), 8);
  EXPECT_LT(most_tasks_in_memory_until(world, world.loop.now() + 30), kMostTasksInMemory);
  expect_small_work_done(world, kJobs + 2);
  expect_starts_without_violations(world);
}

/// The same for many services that there is no room for.
TEST(AcceptedWork, ManyLargeServicesHaveABoundedNumberOfTasksInMemory) {
  World world(5602);
  constexpr int kJobs = 2000;
  for (int number = 1; number <= kJobs; ++number)
    world.submit(service_in_any_zone(number, kLargestJob));
  EXPECT_LT(most_tasks_in_memory_until(world, 60), kMostTasksInMemory);
  world.crash(leader_index(world), 8);
  EXPECT_LT(most_tasks_in_memory_until(world, world.loop.now() + 30), kMostTasksInMemory);
  poll_jobs(world, {"job-1", "job-2000"}, 2);
  EXPECT_EQ(world.last_reported_state("job-1"), JobState::running);
  EXPECT_EQ(world.last_reported_state("job-2000"), JobState::queued);
  expect_starts_without_violations(world);
}

/// Sets the memory of all controllers, in MB, and starts them anew.
void set_memory(World& world, double memory_mb) {
  for (std::size_t node = 0; node < world.node_count(); ++node) {
    world.processes.at(node).settings.memory_mb = memory_mb;
    world.crash(node, 0.1);
  }
  world.run_until(10);
}

/// Guards against small work that waits for ever because many large arrays have begun, whose blocks
/// can't be taken out of memory again.
TEST(AcceptedWork, SmallWorkGoesOnWhenManyLargeArraysHaveBegun) {
  World world(5604);
  set_memory(world, 2);
  const auto limit = leader_model(world).task_budget().limit();
  constexpr int kJobs = 150;
  for (int number = 1; number <= kJobs; ++number) world.submit(array(number, 1000, 1));
  const double end = world.loop.now() + 600;
  EXPECT_LE(most_tasks_in_memory_until(world, end), limit);
  int begun = 0;
  for (const auto& [id, job] : leader_model(world).jobs()) begun += job->begun ? 1 : 0;
  EXPECT_GT(begun, kJobs / 2);
  expect_small_work_done(world, kJobs + 1);
  world.crash(leader_index(world), 8);
  world.run_for(30);
  expect_small_work_done(world, kJobs + 2);
  expect_starts_without_violations(world);
}

/// The status of a submission at the first node.
int status_of_submission(World& world, const wire::JobSpec& job) {
  world.register_job(job);
  const auto response = world.response_of(0, submit_request(job), 1);
  return response ? response->status : 0;
}

/// Guards against controllers that end for memory on a flood of jobs, each of them small: past the
/// bound, submissions are answered at once, urgent ones last, and what was accepted stays known.
TEST(AcceptedWork, JobsPastTheMemoryBoundAreAnsweredWithWhenToComeBack) {
  World world(5603);
  set_memory(world, 1);
  int number = 1;
  int status = 201;
  for (; status == 201 && number < 1000; ++number)
    status = status_of_submission(world, array(number, 1, 3000));
  EXPECT_EQ(status, 503);
  const int refused = number - 1;
  EXPECT_GT(refused, 100);
  const auto response = world.response_of(0, submit_request(array(refused, 1)), 1);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->retry_after_s, constants::kJobMemoryRetryAfter);
  EXPECT_EQ(status_of_submission(world, array(1, 1, 3000)), 200);

  auto urgent = array(number, 1, 5);
  urgent.priority = wire::Priority::critical;
  EXPECT_EQ(status_of_submission(world, urgent), 201);
  for (int cancelled = 1; cancelled <= 50; ++cancelled)
    EXPECT_TRUE(world.cancel_at(0, "job-" + std::to_string(cancelled)));
  world.run_for(20);
  EXPECT_EQ(status_of_submission(world, array(refused, 1, 3000)), 201);
  expect_no_violations(world);
}

}  // namespace
}  // namespace elmstall::test
