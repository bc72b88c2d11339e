/// \file
/// Cost of decisions and heartbeats in small and large fleets.
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

/// The cost of decisions grows with the number of events, not with batches times machines. In a
/// busy fleet of any size, a machine is examined on each of its heartbeats and once a second, and
/// hardly more often.
TEST(Planner, ExaminesOnlyMachinesWithChanges) {
  for (const int machines : {10, 80, 600}) {
    World world(39);
    world.cloud.capacity = machines;
    world.submit(array(1, static_cast<std::uint32_t>(machines) * 2, 2000));
    world.run_until(70);
    ASSERT_EQ(placed_tasks(world, "job-1"), static_cast<std::size_t>(machines) * 2);
    const auto before = leader_of(world).planner().machines_examined();
    world.run_until(90);
    const double events = 20.0 * machines * (1 / 1.5 + 1);
    EXPECT_LT(static_cast<double>(leader_of(world).planner().machines_examined() - before),
              1.5 * events)
        << machines;
  }
}

/// Guards against `forgotten`: one accepted job whose tasks fit everywhere must not keep the leader
/// in a single decision until its lease is over. It is placed in several, beside other jobs.
TEST(Planner, PlacesLargeServiceInManyShortDecisions) {
  constexpr int kFleet = 300;
  World world(60);
  world.cloud.capacity = kFleet;
  world.submit(array(1, kFleet * 2, 2000));
  world.run_until(70);
  ASSERT_EQ(placed_tasks(world, "job-1"), static_cast<std::size_t>(kFleet) * 2);
  for (const int number : {2, 3}) {
    auto small = service_in_any_zone(number, number == 2 ? constants::kMaxTasks : 4);
    small.cpus = small.gpus = small.memory_gb = 0;
    small.spot = true;
    world.submit(small);
  }
  const auto& planner = leader_of(world).planner();
  std::size_t most_in_a_step = 0;
  for (int step = 0; step < 80; ++step) {
    const auto before = planner.machines_examined();
    world.run_for(0.05);
    most_in_a_step = std::max(most_in_a_step, planner.machines_examined() - before);
  }
  // At most two decisions in a step. A machine's examination takes well below a microsecond, and
  // the smallest controllers have a thirtieth of a core and a leader lease of 3 s.
  EXPECT_LT(most_in_a_step, 100'000U);
  EXPECT_GT(placed_tasks(world, "job-2"), 1000U);
  EXPECT_EQ(placed_tasks(world, "job-3"), 4U) << "a later job waits until the large one is placed";
  expect_no_violations(world);
}

/// The cost of an unchanged heartbeat, in bytes of the response and in machines examined, does not
/// depend on the size of the fleet.
TEST(Heartbeats, CostDoesNotGrowWithTheFleet) {
  std::map<int, std::size_t> bytes;
  for (const int machines : {20, 150, 600}) {
    World world(58);
    world.cloud.capacity = machines;
    world.submit(array(1, static_cast<std::uint32_t>(machines) * 2, 5000));
    world.run_until(80);
    ASSERT_EQ(placed_tasks(world, "job-1"), static_cast<std::size_t>(machines) * 2);
    auto& leader = leader_of(world);
    auto* worker = worker_of(world, "job-1");
    ASSERT_NE(worker, nullptr);
    const auto* machine = machine_of(world, *worker);
    cut_all_workers(world);  // only the test sends heartbeats, in place of `worker`
    world.run_for(0.3);
    auto heartbeat =
        heartbeat_of(*worker, machine->epoch, machine->sequence, leader.token() + machine->fence);
    show_tasks(heartbeat, *machine, wire::TaskState::running, wire::EndCause::none);
    const auto before = leader.planner().machines_examined();
    constexpr int kHeartbeats = 18;  // in less than a second, each with a decision of its own
    for (int i = 0; i < kHeartbeats; ++i) {
      ++heartbeat.sequence;
      leader.on_heartbeat(heartbeat, [&](const net::Response& response) {
        EXPECT_EQ(response.status, 200);
        bytes[machines] = response.body.size();
      });
      leader.after_batch();
      world.run_for(0.051);
    }
    // Includes one review of all machines, which is due every second.
    EXPECT_LE(leader.planner().machines_examined() - before,
              static_cast<std::size_t>(kHeartbeats * 5 + machines * 2))
        << machines;
  }
  EXPECT_EQ(bytes[20], bytes[600]);
  EXPECT_LT(bytes[600], 64U);
}

/// Forwarded heartbeats and their responses are written in batches, whatever the size of the fleet:
/// a packet costs a small controller more than the heartbeat in it.
TEST(Heartbeats, AreForwardedInBatches) {
  std::map<int, double> flushes;
  for (const int machines : {60, 240}) {
    World world(59);
    world.cloud.capacity = machines;
    world.submit(array(1, static_cast<std::uint32_t>(machines) * 2, 5000));
    world.run_until(80);
    ASSERT_EQ(placed_tasks(world, "job-1"), static_cast<std::size_t>(machines) * 2);
    const auto messages = world.peer_traffic.messages;
    const auto writes = world.peer_traffic.flushes;
    constexpr double kSeconds = 20;
    world.run_for(kSeconds);
    const auto sent = static_cast<double>(world.peer_traffic.messages - messages);
    flushes[machines] = static_cast<double>(world.peer_traffic.flushes - writes);
    EXPECT_GT(sent, machines * kSeconds / 1.5)
        << "most heartbeats are forwarded, and each has a response";
    // Each node flushes once every 50 ms, and for its own peer heartbeats every 0.8 s.
    const auto nodes = static_cast<double>(world.node_count());
    EXPECT_LT(flushes[machines], nodes * kSeconds * (1 / 0.05 + 1 / 0.8) * 1.1) << machines;
  }
  EXPECT_LT(flushes[240], 3 * flushes[60]) << "for four times as many heartbeats";
}

}  // namespace
}  // namespace elmstall::test
