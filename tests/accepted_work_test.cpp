/// \file
/// Accepted work must not end a controller for memory, however much there is: the tasks that a
/// leader keeps in memory are bounded, and small work beside the large goes on.
#include <gtest/gtest.h>

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

}  // namespace
}  // namespace elmstall::test
