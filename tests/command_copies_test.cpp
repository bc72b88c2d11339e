/// \file
/// Late copies of commands that were carried out and answered. No copy may start a task, or change
/// one that was started after the original command (safety rule 4).
#include <gtest/gtest.h>

#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::Verb;

/// The first RPC with a command of this kind that a worker executes from now on.
class CapturedCommand {
 public:
  CapturedCommand(World& world, Verb verb) : world_(world) {
    world_.command_copies.on_executed = [this, verb](FakeWorker& worker,
                                                     const AnsweredCommands& commands) {
      for (const auto& command : commands.commands) {
        if (command.verb != verb || worker_ != nullptr) continue;
        worker_ = &worker;
        commands_ = commands;
      }
    };
  }
  ~CapturedCommand() { world_.command_copies.on_executed = {}; }
  CapturedCommand(const CapturedCommand&) = delete;
  CapturedCommand& operator=(const CapturedCommand&) = delete;

  [[nodiscard]] FakeWorker* worker() const { return worker_; }
  /// A copy arrives now.
  void repeat() const { worker_->on_command_copy(commands_); }

 private:
  World& world_;
  FakeWorker* worker_ = nullptr;
  AnsweredCommands commands_;
};

/// Guards against `ran_twice`: a task that had failed and ran on a second machine was started on
/// the first one again, by a copy of the command that had started it there.
TEST(CommandCopies, StartOfAFailedTaskDoesNotRunItBesideItsNextAttempt) {
  World world(9000);
  world.cloud.capacity = 4;
  world.submit(service(1, 2));  // keeps a machine in each zone, each with room for another task
  world.run_until(60);
  ASSERT_EQ(running_tasks(world, "job-1"), 2U);
  for (auto& [id, worker] : world.workers) worker->task_failure_share = 1;
  const CapturedCommand start(world, Verb::run);
  auto job = array(2, 1, 4);
  job.spot = false;
  job.image_gb = 0;
  world.submit(job);
  world.run_for(2);
  ASSERT_NE(start.worker(), nullptr);
  for (auto& [id, worker] : world.workers) {
    if (worker.get() != start.worker()) worker->task_failure_share = 0;
  }
  machine_of(world, *start.worker())->quarantined = true;
  const auto runs_elsewhere = [&] {
    return running_tasks(world, "job-2") == 1 && worker_of(world, "job-2") != start.worker();
  };
  for (int step = 0; step < 600 && !runs_elsewhere(); ++step) world.run_for(0.2);
  ASSERT_TRUE(runs_elsewhere());
  start.repeat();
  world.run_for(5);
  for (const auto& violation : world.rules.violations()) ADD_FAILURE() << violation;
}

}  // namespace
}  // namespace elmstall::test
