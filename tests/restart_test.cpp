/// \file
/// Controllers that restart within a second, or all at the same time.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Controllers crash at varying steps of an election and restart within 0.1 s.
TEST(Restart, JobCompletesAfterCrashesDuringElection) {
  for (int step = 0; step < 20; ++step) {
    World world(600 + static_cast<unsigned>(step));
    world.submit(array(1, 6, 30));
    world.run_until(30);
    crash_all_nodes(world, 0.05);
    world.run_until(30.05 + step * 0.01);
    for (std::size_t i = 0; i < 3; ++i) world.crash(i, 0.02 + 0.03 * static_cast<double>(i));
    world.run_until(30.4 + step * 0.01);
    world.crash(static_cast<std::size_t>(step) % 3, 0.01);
    world.run_until(120);
    EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done) << step;
    ASSERT_EQ(world.rules.first_violation(), "") << step;
  }
}

/// All controllers are down, up to longer than a worker lease, with a cancellation before or after.
TEST(Restart, OnlyUncancelledJobsContinueAfterAllControllersWereDown) {
  for (int downtime_s = 2; downtime_s < 40; downtime_s += 3) {
    World world(1900 + static_cast<unsigned>(downtime_s));
    world.submit(array(1, 8, 40));
    world.submit(array(2, 6, 3000));
    world.run_until(30);
    const bool cancel_before = downtime_s % 2 == 0;
    if (cancel_before) world.cancel("job-2");
    world.run_until(30.1);
    for (std::size_t i = 0; i < 3; ++i) world.crash(i, downtime_s + 0.3 * static_cast<double>(i));
    world.run_until(31 + downtime_s);
    if (!cancel_before) world.cancel("job-2");
    world.run_until(190);
    EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done) << downtime_s;
    EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::cancelled) << downtime_s;
    ASSERT_EQ(world.rules.first_violation(), "") << downtime_s;
  }
}

/// The leader restarts, all controllers crash, and the former leader alone restarts and crashes
/// once more, all within a few seconds. The others return after 20 s.
TEST(Restart, SingleControllerContinuesAfterAllCrashed) {
  for (int step = 0; step < 16; ++step) {
    World world(2800 + static_cast<unsigned>(step));
    world.submit(array(1, 8, 30));
    world.submit(array(2, 4, 3000));
    world.run_until(30);
    const auto survivor = leader_index(world);
    world.crash(survivor, 0.05 * step);
    world.run_until(30.3 + 0.1 * step);
    for (std::size_t i = 0; i < 3; ++i) world.crash(i, i == survivor ? 0.2 : 20);
    world.run_until(30.8 + 0.1 * step);
    world.crash(survivor, 0.03);
    world.run_until(40);
    world.cancel("job-2");
    world.run_until(180);
    EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done) << step;
    EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::cancelled) << step;
    ASSERT_EQ(world.rules.first_violation(), "") << step;
  }
}

}  // namespace
}  // namespace elmstall::test
