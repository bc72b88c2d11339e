/// \file
/// Exits of tasks that a heartbeat of an earlier epoch reports to a new leader. The same attempts
/// run again by then, because a leader in between did not know the machine's epoch.
#include <gtest/gtest.h>

#include <array>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::EndCause;
using wire::JobKind;
using wire::JobState;

constexpr const char* kJob = "job-1";
constexpr double kLeaseLost = 13;         // seconds of a cut after which a machine's lease is over
constexpr double kControllerRestart = 8;  // seconds
constexpr double kUntilReconnected = 3;   // seconds; a task freed by mistake starts within them
constexpr double kLongRun = 3000;         // seconds

/// A machine on which all tasks run for the second time under the same attempt. It is cut off for
/// less than its lease, and the third leader has not heard of it yet.
class TaskRunsAgain {
 public:
  TaskRunsAgain(unsigned seed, const wire::JobSpec& job, const wire::JobSpec& other_job)
      : world(seed) {
    world.cloud.capacity = 6;
    world.submit(job);
    world.submit(other_job);
    world.run_until(60);
    worker = worker_of(world, kJob);
    if (worker == nullptr) return;
    worker->cut = true;
    world.crash(leader_index(world), kControllerRestart);
    world.run_for(kLeaseLost);
    worker->cut = false;
    world.run_for(kLeaseLost);
    starts = world.rules.starts();
    worker->cut = true;
    world.crash(leader_index(world), kControllerRestart);
    while (world.leader() == nullptr) world.run_for(0.1);
  }

  /// The leader receives the heartbeat in which the machine reported the end of all its tasks in
  /// its first epoch.
  void deliver_stale_exits(EndCause cause) {
    auto heartbeat = heartbeat_of(*worker, 1, 1000, 0);
    show_tasks(heartbeat, *machine_of(world, *worker), wire::TaskState::ended, cause);
    ASSERT_FALSE(heartbeat.tasks.empty());
    leader_of(world).on_heartbeat(heartbeat, [](const net::Response&) {});
    leader_of(world).after_batch();
    world.run_for(kUntilReconnected);
  }

  /// The machine can be reached again before its lease is over.
  void reconnect() {
    worker->cut = false;
    world.run_for(20);
  }

  World world;
  FakeWorker* worker = nullptr;
  std::size_t starts = 0;  ///< of tasks, before the last takeover
};

wire::JobSpec long_job(JobKind kind, std::uint32_t tasks) {
  auto job = kind == JobKind::service ? service_in_any_zone(1, tasks) : array(1, tasks, kLongRun);
  if (kind == JobKind::gang) job = gang(1, tasks, kLongRun);
  job.spot = false;
  return job;
}

/// Leaves room for some tasks on the machines that are rented.
wire::JobSpec other_job() {
  auto job = array(2, 3, kLongRun);
  job.spot = false;
  return job;
}

std::string describe(JobKind kind, EndCause cause) {
  return "kind " + std::to_string(static_cast<int>(kind)) + ", cause " +
         std::to_string(static_cast<int>(cause));
}

/// Guards against `ran_twice`, case 3 of the review: an exit from a heartbeat of an earlier epoch
/// must not free a task that runs again. Before, it was started on a second machine.
TEST(StaleExit, FreesNoTaskThatRunsAgain) {
  for (const auto kind : {JobKind::array, JobKind::service, JobKind::gang}) {
    for (const auto cause : {EndCause::stopped, EndCause::error, EndCause::no_room,
                             EndCause::in_use, EndCause::unknown, EndCause::mates_gone,
                             EndCause::incomplete, EndCause::other, EndCause::done}) {
      // A result is kept, unless the job is a service: see the tests below.
      if (cause == EndCause::done && kind != JobKind::service) continue;
      TaskRunsAgain history(7300, long_job(kind, 2), other_job());
      auto& world = history.world;
      ASSERT_NE(history.worker, nullptr) << describe(kind, cause);
      history.deliver_stale_exits(cause);
      EXPECT_EQ(placed_tasks(world, kJob), 2U) << describe(kind, cause);
      history.reconnect();
      EXPECT_EQ(running_tasks(world, kJob), 2U) << describe(kind, cause);
      EXPECT_EQ(world.rules.starts(), history.starts) << describe(kind, cause);
      expect_starts_without_violations(world);
    }
  }
}

/// Guards against `ran_cancelled` for the same reason: a cancelled job is not over while a task of
/// it may run again.
TEST(StaleExit, DoesNotEndACancelledJob) {
  for (const auto cause : {EndCause::stopped, EndCause::done}) {
    TaskRunsAgain history(7310, long_job(JobKind::array, 2), other_job());
    auto& world = history.world;
    ASSERT_NE(history.worker, nullptr);
    world.cancel(kJob);
    world.run_for(0.5);
    history.deliver_stale_exits(cause);
    ASSERT_NE(job_at_leader(world, kJob), nullptr) << describe(JobKind::array, cause);
    EXPECT_GT(placed_tasks(world, kJob), 0U) << describe(JobKind::array, cause);
    history.reconnect();
    EXPECT_EQ(world.rules.tasks_on_machines(kJob), 0U);
    EXPECT_EQ(poll_reported_state(world, kJob), JobState::cancelled);
    expect_starts_without_violations(world);
  }
}

/// Guards against `quota` for the same reason: a completed task that runs again counts for its team
/// until it is certain that it is on no machine. Its result is kept all the same.
TEST(StaleExit, CompletedTaskCountsForItsTeamWhileItRunsAgain) {
  constexpr std::uint32_t kLimit = 8;  // tasks of the team's limit
  for (unsigned seed = 7320; seed < 7326; ++seed) {
    auto job = array(1, kLimit + 4, 150);
    job.team = "red";
    job.spot = false;
    TaskRunsAgain history(seed, job, other_job());
    auto& world = history.world;
    ASSERT_NE(history.worker, nullptr);
    for (const auto* task : machine_of(world, *history.worker)->tasks)
      world.rules.record_completed(task->job->id, task->index);
    history.deliver_stale_exits(EndCause::done);
    EXPECT_LE(world.rules.used_by("red").gpus, kLimit);
    history.reconnect();
    expect_starts_without_violations(world);
    world.run_for(500);
    EXPECT_EQ(poll_reported_state(world, kJob), JobState::done);
    expect_starts_without_violations(world);
  }
}

/// A result that only a heartbeat of an earlier epoch reports is not lost: the task is complete as
/// soon as its machine shows that it is not there, and does not run again.
TEST(StaleExit, ResultIsKeptWhenTheTaskIsGone) {
  for (const auto kind : {JobKind::array, JobKind::gang}) {
    TaskRunsAgain history(7330, long_job(kind, 2), other_job());
    auto& world = history.world;
    ASSERT_NE(history.worker, nullptr);
    for (std::uint32_t index = 0; index < 2; ++index) world.rules.record_completed(kJob, index);
    history.deliver_stale_exits(EndCause::done);
    world.run_for(kLeaseLost);  // the machine's lease is over, and with it all its tasks
    history.reconnect();
    world.run_for(60);
    EXPECT_EQ(poll_reported_state(world, kJob), JobState::done) << describe(kind, EndCause::done);
    EXPECT_EQ(world.rules.starts(), history.starts) << describe(kind, EndCause::done);
    expect_starts_without_violations(world);
  }
}

}  // namespace
}  // namespace elmstall::test
