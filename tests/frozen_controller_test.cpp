/// \file
/// Controllers whose process is frozen while their clocks continue.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// The leader, a zone delegate or a follower freezes, for up to longer than its leases, and resumes
/// with outdated state and work in progress.
TEST(FrozenController, DoesNotActOnResumeAfterItsLeaseEnded) {
  for (int freeze_s = 2; freeze_s < 60; freeze_s += 4) {
    for (std::size_t role = 0; role < 3; ++role) {
      World world(900 + static_cast<unsigned>(freeze_s) + static_cast<unsigned>(role));
      world.cloud.capacity = 16;
      world.submit(array(1, 8, 15));
      world.submit(array(2, 6, 2000));
      world.run_until(25);
      const auto lead = leader_index(world);
      const auto node = role == 0 ? lead : 1;
      if (role == 1) {  // becomes the zone delegate of the south
        world.network.cut_peer_links(1);
        world.run_until(32);
      }
      world.submit(array(3, 6, 10));
      world.run_for(0.03);  // the submission is being processed
      world.freeze(node, freeze_s);
      world.run_for(1);
      world.cancel("job-2");
      world.run_for(freeze_s);
      world.network.restore_peer_links(1);
      world.run_until(200);
      poll_jobs(world, {"job-1", "job-2", "job-3"}, 3);
      EXPECT_EQ(world.last_reported_state("job-1"), JobState::done) << freeze_s << " " << role;
      EXPECT_EQ(world.last_reported_state("job-2"), JobState::cancelled) << freeze_s << " " << role;
      EXPECT_EQ(world.last_reported_state("job-3"), JobState::done) << freeze_s << " " << role;
      ASSERT_EQ(world.rules.first_violation(), "") << freeze_s << " " << role;
    }
  }
}

/// A poll that was in progress when its node froze must not be answered with the state from before
/// the freeze.
TEST(FrozenController, DoesNotReportOutdatedStateOnResume) {
  World world(48);
  world.submit(array(1, 1, 3));
  world.run_until(5);
  for (const double delay : {0.0003, 0.002, 0.004, 0.006, 0.02}) {
    std::optional<net::Response> response;
    world.send_to_node(0, status_request("job-1"),
                       [&](net::Response received) { response = std::move(received); });
    world.run_for(delay);
    const bool answered_before = response.has_value();
    world.freeze(0, 20);
    world.run_for(25);
    ASSERT_TRUE(response) << delay;
    if (answered_before || response->status != 200) continue;
    EXPECT_EQ(job_state_in(*response), JobState::done)
        << delay << ": the job was done during the freeze";
  }
  expect_no_violations(world);
}

}  // namespace
}  // namespace elmstall::test
