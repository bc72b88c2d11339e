/// \file
/// Steps shared by many tests of the world: polls, faults of all nodes or workers, checks.
#pragma once

#include <gtest/gtest.h>

#include <initializer_list>

#include "support/heartbeats.hpp"
#include "support/jobs.hpp"
#include "support/leader_view.hpp"
#include "support/requests.hpp"
#include "support/world.hpp"

namespace elmstall::test {

/// Rate of the slowest steady clock that the protocol allows.
inline constexpr double kSlowestClock = 0.9995;

// Checks.

/// No rule of the protocol was broken so far.
inline void expect_no_violations(const World& world) {
  EXPECT_EQ(world.rules.first_violation(), "");
}

/// The same, and some task was started at all.
inline void expect_starts_without_violations(const World& world) {
  expect_no_violations(world);
  EXPECT_GT(world.rules.starts(), 0U);
}

// Users.

/// The last reported state of the job, after a poll with 2 s to respond.
inline std::optional<wire::JobState> poll_reported_state(World& world, const std::string& id) {
  world.poll(id);
  world.run_for(2);
  return world.last_reported_state(id);
}

/// Polls these jobs at the same time and waits for the responses.
inline void poll_jobs(World& world, std::initializer_list<const char*> ids, double wait_s) {
  for (const char* id : ids) world.poll(id);
  world.run_for(wait_s);
}

// The leader.

/// Crashes leaders until a controller in the north leads; every second node is in the south.
inline void move_leadership_to_north(World& world) {
  for (int i = 0; i < 8 && leader_index(world) % 2 == 1; ++i) {
    world.crash(leader_index(world), 6);
    world.run_for(8);
  }
  ASSERT_EQ(leader_index(world) % 2, 0U);
}

// Faults of all nodes.

inline void crash_all_nodes(World& world, double restart_after_s) {
  for (std::size_t i = 0; i < world.node_count(); ++i) world.crash(i, restart_after_s);
}

/// Share of the nodes' commits that get no response and are applied seconds later.
inline void delay_writes_of_all_nodes(World& world, double share) {
  for (std::size_t i = 0; i < world.node_count(); ++i)
    world.store(i).faults.late_write_share = share;
}

// The state store and one node.

/// From now on the state store refuses the requests of this node alone.
inline void deny_state_store(World& world, std::size_t node) {
  world.store(node).faults.refused = true;
}

/// Ends what `deny_state_store` began.
inline void allow_state_store(World& world, std::size_t node) {
  world.store(node).faults.refused = false;
}

// Faults of all workers.

/// No message passes between the workers and the nodes. Tests that then send heartbeats in place of
/// a worker use `heartbeat_of`.
inline void cut_all_workers(World& world) {
  for (auto& [id, worker] : world.workers) worker->cut = true;
}

inline void reconnect_all_workers(World& world) {
  for (auto& [id, worker] : world.workers) worker->cut = false;
}

/// The workers' heartbeats arrive, but no response and no command reaches them.
inline void drop_responses_to_all_workers(World& world) {
  for (auto& [id, worker] : world.workers) worker->responses_dropped = true;
}

inline void deliver_responses_to_all_workers(World& world) {
  for (auto& [id, worker] : world.workers) worker->responses_dropped = false;
}

/// Every worker's clock is as slow as the protocol allows.
inline void slow_all_worker_clocks(World& world) {
  for (auto& [id, worker] : world.workers) worker->clock_rate = kSlowestClock;
}

}  // namespace elmstall::test
