/// \file
/// A fleet of 4,000 machines: no limit of the controllers lies below that size.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

constexpr std::size_t kMachines = 4000;

/// A long job for full machines: two of its tasks fill a machine of the test world.
wire::JobSpec job_filling_machines(int number, std::uint32_t tasks) {
  auto job = array(number, tasks, 500);
  job.expect_s = 5000;
  return job;
}

std::size_t machines_alive(const World& world) {
  return static_cast<std::size_t>(
      std::count_if(world.workers.begin(), world.workers.end(),
                    [](const auto& entry) { return !entry.second->dead(); }));
}

std::size_t tasks_on_machines_of(const World& world, int jobs) {
  std::size_t count = 0;
  for (int job = 1; job <= jobs; ++job)
    count += world.rules.tasks_on_machines("job-" + std::to_string(job));
  return count;
}

/// The largest fleet, with all machines fully used.
class LargeFleet : public ::testing::Test {
 protected:
  static constexpr int kJobs = 40;
  static constexpr std::size_t kTasks = 2 * kMachines;

  LargeFleet() : world_(2000, 3) {
    world_.cloud.capacity = kMachines;
    world_.use_large_fleet_settings();
    for (int job = 1; job <= kJobs; ++job) world_.submit(job_filling_machines(job, kTasks / kJobs));
    world_.run_until(150);
  }

  World world_;
};

TEST_F(LargeFleet, RunsAllTasksAfterTakeoverFullRestartAndLossOfAThird) {
  ASSERT_EQ(machines_alive(world_), kMachines);
  ASSERT_EQ(tasks_on_machines_of(world_, kJobs), kTasks);
  const auto starts = world_.rules.starts();
  // The leader crashes: no task is lost, and the next leader knows every machine.
  world_.crash(leader_index(world_), 5);
  world_.run_for(40);
  auto& model = leader_model(world_);
  std::size_t synchronized = 0;
  for (const auto& [id, machine] : model.machines()) synchronized += machine->synchronized ? 1 : 0;
  EXPECT_EQ(synchronized, kMachines);
  EXPECT_EQ(world_.rules.starts(), starts);
  // All controllers crash, and then the whole fleet sends heartbeats at once.
  crash_all_nodes(world_, 1);
  world_.run_for(45);
  EXPECT_EQ(tasks_on_machines_of(world_, kJobs), kTasks);
  EXPECT_EQ(world_.rules.starts(), starts);
  // A third of the machines fails at the same time.
  std::size_t died = 0;
  for (auto& [id, worker] : world_.workers) {
    if (++died % 3 != 0) continue;
    worker->die();
    ++world_.cloud.capacity;
  }
  world_.run_for(220);
  EXPECT_EQ(tasks_on_machines_of(world_, kJobs), kTasks) << "all lost tasks run elsewhere";
  expect_no_violations(world_);
}

}  // namespace
}  // namespace elmstall::test
