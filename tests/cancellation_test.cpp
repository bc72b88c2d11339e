/// \file
/// Cancellations at every stage of a job, and the end of jobs (safety rules 4 and 8).
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// Safety rule 8: whether starts are planned, recorded, in flight or acknowledged when a job is
/// cancelled, the job ends as cancelled and none of its tasks remains.
TEST(Cancellation, EndsJobAtAnyStageOfItsStart) {
  for (int step = 0; step < 24; ++step) {
    World world(100 + static_cast<unsigned>(step));
    world.submit(array(1, 4, 30));
    world.run_until(8 + step * 0.7);
    world.cancel("job-1");
    world.run_until(80);
    EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::cancelled) << step;
    EXPECT_EQ(world.rules.first_violation(), "") << step;
  }
}

/// Several jobs are cancelled through all controllers while the state store begins to refuse the
/// leader; within a second the state store is down for all controllers.
TEST(Cancellation, EndsJobsWhenStateStoreRefusesLeader) {
  for (int step = 0; step < 20; ++step) {
    World world(2000 + static_cast<unsigned>(step), 3 + static_cast<std::size_t>(step) % 2);
    world.cloud.capacity = 24;
    for (int i = 1; i <= 6; ++i) world.submit(array(i, 4, 3000));
    world.run_until(60);
    const auto lead = leader_index(world);
    const double refused_at = world.loop.now();
    world.loop.at(refused_at + 0.002 * step, [&] { deny_state_store(world, lead); });
    for (int i = 1; i <= 5; ++i)
      world.loop.at(refused_at + 0.01 * i, [&, i] { world.cancel("job-" + std::to_string(i)); });
    world.loop.at(refused_at + 0.02, [&] {
      for (auto& [id, worker] : world.workers) {
        if (world.random() < 0.3) worker->hang(3 + world.random() * 25);
      }
    });
    world.run_until(refused_at + 1);
    world.stop_state_store();
    world.run_until(refused_at + 56);
    world.restore_state_store();
    allow_state_store(world, lead);
    world.run_until(refused_at + 130);
    for (int i = 1; i <= 5; ++i)
      EXPECT_EQ(poll_reported_state(world, "job-" + std::to_string(i)), JobState::cancelled)
          << step;
    EXPECT_EQ(placed_tasks(world, "job-6"), 4U) << step;
    ASSERT_EQ(world.rules.first_violation(), "") << step;
  }
}

/// A cancellation, polls and repeated submissions reach all nodes at about the time at which the
/// job completes, without any fault. Once a final state is reported, every node must report it.
TEST(JobCompletion, FirstReportedFinalStateHoldsOnAllNodes) {
  std::size_t done = 0;
  std::size_t cancelled = 0;
  for (int step = 0; step < 60; ++step) {
    World world(3000 + static_cast<unsigned>(step) / 20);
    const auto job = array(1, 1, 3);
    world.submit(job);
    // Until the task completes; its end is then reported by a heartbeat, committed and announced.
    while (world.rules.completed_tasks("job-1") == 0 && world.loop.now() < 60)
      world.run_for(0.0005);
    ASSERT_LT(world.loop.now(), 60);
    const double completed_at = world.loop.now();
    for (int i = 0; i < 6; ++i)
      world.loop.at(completed_at + 0.004 * i, [&world] { world.poll("job-1"); });
    world.loop.at(completed_at + 0.002 * (step % 20), [&world] { world.cancel("job-1"); });
    for (int i = 0; i < 6; ++i)
      world.loop.at(completed_at + 0.003 * i, [&world, &job] { world.submit(job); });
    world.run_until(completed_at + 5);
    for (int i = 0; i < 6; ++i) {
      world.poll("job-1");
      world.run_for(0.3);
    }
    const auto state = poll_reported_state(world, "job-1");
    done += state == JobState::done;
    cancelled += state == JobState::cancelled;
    ASSERT_EQ(world.rules.first_violation(), "") << step;
  }
  EXPECT_EQ(done + cancelled, 60U);
  EXPECT_GT(done, 0U);
  EXPECT_GT(cancelled, 0U) << "no cancellation came before the end of the job";
}

/// Safety rule 4: the end of a task is recorded before the worker is told to clear the task, also
/// during an outage of the state store.
TEST(JobCompletion, IsRecordedBeforeWorkerClearsTask) {
  World world(3050);
  world.submit(array(1, 1, 3000));
  world.run_until(30);
  auto* worker = worker_of(world, "job-1");
  ASSERT_NE(worker, nullptr);
  const auto lead = leader_index(world);
  auto& leader = leader_of(world);
  auto* machine = machine_of(world, *worker);
  const auto* task = *machine->tasks.begin();
  worker->cut = true;  // the test sends its heartbeats
  world.run_for(5);
  auto heartbeat =
      heartbeat_of(*worker, machine->epoch, machine->sequence, leader.token() + machine->fence);
  heartbeat.tasks.push_back(
      {"job-1", task->index, task->attempt(), wire::TaskState::ended, wire::EndCause::done, false});
  const auto commands_received = [&] {
    ++heartbeat.sequence;
    const auto response = world.response_of(lead, heartbeat_request(heartbeat), 0.05);
    if (!response || response->status != 200) return -1;
    return static_cast<int>(commands_in(*response).size());
  };
  world.rules.record_completed("job-1", 0);
  world.stop_state_store();
  EXPECT_EQ(commands_received(), 0);
  world.run_for(2);
  EXPECT_EQ(commands_received(), 0) << "cleared before the end was recorded";
  world.restore_state_store();
  world.run_for(3);
  EXPECT_EQ(commands_received(), 1);
  EXPECT_EQ(poll_reported_state(world, "job-1"), JobState::done);
}

}  // namespace
}  // namespace elmstall::test
