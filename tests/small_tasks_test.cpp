/// \file
/// Jobs whose tasks take hardly anything of a machine, or nothing: the number of their tasks that
/// fit somewhere is bounded all the same.
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <limits>

#include "sched/resources.hpp"
#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobKind;
using wire::JobState;

/// Ends the test program if a controller never returns from a decision.
class Watchdog {
 public:
  Watchdog() { alarm(kSeconds); }
  ~Watchdog() { alarm(0); }
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

 private:
  static constexpr unsigned kSeconds = 120;
};

/// What one task needs.
struct Need {
  const char* description;
  double cpus;
  double gpus;
  double memory_gb;
};

constexpr std::array<Need, 6> kSmallNeeds{{
    {"nothing", 0, 0, 0},
    {"the smallest number of cores", std::numeric_limits<double>::denorm_min(), 0, 0},
    {"a billionth of a core", 1e-9, 0, 0},
    {"a thousandth of a core", 1e-3, 0, 0},
    {"no core and some memory", 0, 0, 1e-4},
    {"a millionth of each", 1e-6, 1e-6, 1e-6},
}};

wire::JobSpec small_job(int number, JobKind kind, std::uint32_t tasks, const Need& need) {
  auto job = kind == JobKind::service ? service_in_any_zone(number, tasks) : array(number, tasks);
  if (kind == JobKind::gang) job = gang(number, tasks, 5);
  job.cpus = need.cpus;
  job.gpus = need.gpus;
  job.memory_gb = need.memory_gb;
  return job;
}

std::string describe(JobKind kind, const Need& need) {
  const char* kind_name = kind == JobKind::array     ? "array"
                          : kind == JobKind::service ? "service"
                                                     : "gang";
  return std::string(kind_name) + " whose tasks need " + need.description;
}

/// Guards against `forgotten`: a job of any kind whose tasks take hardly anything must neither stop
/// the leader nor wait for ever, together with ordinary work or alone.
TEST(SmallTasks, RunBesideOtherWorkAndStopNoController) {
  const Watchdog watchdog;
  for (const auto kind : {JobKind::array, JobKind::service, JobKind::gang}) {
    for (const bool together : {false, true}) {
      for (const auto& need : kSmallNeeds) {
        const auto description = describe(kind, need) + (together ? ", together" : "");
        World world(7100);
        world.submit(array(1, 3, 20));
        world.run_until(40);
        auto small = small_job(2, kind, 30, need);
        small.together = together;
        world.submit(small);
        world.run_until(90);
        poll_jobs(world, {"job-1", "job-2"}, 2);
        EXPECT_EQ(world.last_reported_state("job-1"), JobState::done) << description;
        const auto expected = kind == JobKind::service ? JobState::running : JobState::done;
        EXPECT_EQ(world.last_reported_state("job-2"), expected) << description;
        expect_starts_without_violations(world);
      }
    }
  }
}

/// Guards against `forgotten` and jobs that never run: machines are rented for such a job as well,
/// if there are none.
TEST(SmallTasks, MachinesAreRentedForThem) {
  const Watchdog watchdog;
  for (const auto kind : {JobKind::array, JobKind::service, JobKind::gang}) {
    for (const auto& need : kSmallNeeds) {
      World world(7110);
      world.submit(small_job(1, kind, 3, need));
      world.run_until(90);
      const auto expected = kind == JobKind::service ? JobState::running : JobState::done;
      EXPECT_EQ(poll_reported_state(world, "job-1"), expected) << describe(kind, need);
      expect_starts_without_violations(world);
    }
  }
}

/// Guards against `forgotten`: the leader stays able to answer while the largest such job is
/// placed, and no machine gets more tasks than its heartbeat can list.
TEST(SmallTasks, LargestJobIsSpreadOverMachinesWithinBounds) {
  const Watchdog watchdog;
  for (const auto kind : {JobKind::array, JobKind::service, JobKind::gang}) {
    for (const bool together : {false, true}) {
      World world(7120);
      world.cloud.capacity = 6;
      auto large = small_job(1, kind, constants::kMaxTasks, kSmallNeeds.front());
      large.together = together;
      large.expect_s = kind == JobKind::service ? 0 : 300;
      world.submit(large);
      world.submit(array(2, 2, 5));
      world.run_until(60);
      for (auto& [id, worker] : world.workers) {
        auto* machine = machine_of(world, *worker);
        if (machine == nullptr) continue;
        EXPECT_LE(machine->used.small_tasks, constants::kMaxSmallTasksPerMachine);
        EXPECT_LE(machine->tasks.size(), constants::kMaxTasksPerMachine);
      }
      EXPECT_TRUE(poll_reported_state(world, "job-1").has_value())
          << describe(kind, kSmallNeeds[0]);
      EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::done)
          << describe(kind, kSmallNeeds[0]);
      expect_no_violations(world);
    }
  }
}

/// Guards against `forgotten`: a job that an earlier version accepted is in the records when the
/// first controller of this version starts. It runs, and its repeated submission is answered.
TEST(SmallTasks, JobOfAnEarlierVersionRunsAndItsRepeatIsAccepted) {
  const Watchdog watchdog;
  for (const auto& need : kSmallNeeds) {
    World world(7130);
    auto accepted = small_job(1, JobKind::array, 1, need);
    accepted.together = true;
    world.register_job(accepted);
    const store::JobRecord record{accepted, false, 0};
    world.state.commit({{}, {{store::job_key("job-1"), store::encode(record), 0}}});
    world.run_until(90);
    const auto response = world.response_of(0, submit_request(accepted), 1);
    ASSERT_TRUE(response) << need.description;
    EXPECT_EQ(response->status, 200) << need.description;
    EXPECT_EQ(job_state_in(*response), JobState::done) << need.description;
  }
}

/// Guards against `forgotten`: amounts at the far end of what a number can hold stop no controller
/// either, whether the job is accepted or not.
TEST(SmallTasks, LargestAmountsStopNoController) {
  const Watchdog watchdog;
  constexpr double kLargest = std::numeric_limits<double>::max();
  using Amount = double wire::JobSpec::*;
  for (const Amount amount : {&wire::JobSpec::cpus, &wire::JobSpec::gpus, &wire::JobSpec::memory_gb,
                              &wire::JobSpec::image_gb, &wire::JobSpec::expect_s,
                              &wire::JobSpec::checkpoint_every_s, &wire::JobSpec::checkpoint_s}) {
    for (const auto kind : {JobKind::array, JobKind::service, JobKind::gang}) {
      World world(7140);
      world.run_until(10);
      auto odd = small_job(1, kind, 40, {"", 1, 0, 1});
      odd.together = true;
      odd.*amount = kLargest;
      world.register_job(odd);
      const auto response = world.response_of(0, submit_request(odd), 1);
      ASSERT_TRUE(response);
      EXPECT_TRUE(response->status == 201 || response->status == 422) << response->status;
      world.submit(array(2, 3, 5));
      world.run_until(90);
      EXPECT_EQ(poll_reported_state(world, "job-2"), JobState::done);
    }
  }
}

/// Tasks that need hardly anything are bounded by their number, and leave places for others.
TEST(SmallTasks, SlotsAreBoundedByTheNumberOfTasks) {
  const auto capacity = sched::capacity_of_machine(12, 2, 96);
  const auto usual = sched::need_of_task(5, 1, 30);
  for (const auto& need : kSmallNeeds) {
    const auto task = sched::need_of_task(need.cpus, need.gpus, need.memory_gb);
    EXPECT_EQ(sched::slots_in(capacity, task), constants::kMaxSmallTasksPerMachine)
        << need.description;
    const auto rest = capacity - task * constants::kMaxSmallTasksPerMachine;
    EXPECT_FALSE(task.fits(rest)) << need.description;
    EXPECT_TRUE(usual.fits(rest)) << need.description;
    EXPECT_GT(task.share_of(capacity), 0) << need.description;
  }
  EXPECT_EQ(sched::slots_in(capacity, usual), 2U);
  const auto large_machine = sched::capacity_of_machine(1000, 0, 0);
  EXPECT_EQ(sched::slots_in(large_machine, sched::need_of_task(0.1, 0, 0)),
            constants::kMaxTasksPerMachine);
}

}  // namespace
}  // namespace elmstall::test
