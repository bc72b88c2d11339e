/// \file
/// Once a user was told that a job is done or cancelled, no controller may report any other state
/// of it, for any kind of request and however far the controller's mirror lags behind.
#include <gtest/gtest.h>

#include "support/histories.hpp"
#include "support/scenarios.hpp"

namespace elmstall::test {
namespace {

using wire::JobState;

/// A job is accepted and cancelled through the leader, while the watch of another controller is
/// stalled. The job has no final record yet, because its machines can't be reached.
class AnswersOfALaggingController : public ::testing::Test {
 protected:
  void accept_and_cancel() {
    world_.run_until(10);
    const auto lead = leader_index(world_);
    lagging_ = (lead + 1) % 3;
    store().faults.watch_stalled = true;
    world_.register_job(job_);
    const auto accepted = world_.response_of(lead, submit_request(job_), 0.3);
    ASSERT_TRUE(accepted);
    ASSERT_EQ(accepted->status, 201);
    world_.run_for(20);
    ASSERT_EQ(running_tasks(world_, job_.id), job_.tasks);
    cut_all_workers(world_);
    ASSERT_TRUE(world_.cancel_at(lead, job_.id));
  }
  FakeStore& store() { return world_.store(lagging_); }
  std::optional<net::Response> ask_lagging(const net::Request& request) {
    return world_.response_of(lagging_, request, 6);
  }
  /// The request may be refused with 503, but must not report a state other than cancelled.
  static void expect_cancelled_or_unavailable(const std::optional<net::Response>& response) {
    ASSERT_TRUE(response);
    if (response->status == 503) return;
    ASSERT_EQ(response->status, 200);
    EXPECT_EQ(job_state_in(*response), JobState::cancelled);
  }

  World world_{4100};
  std::size_t lagging_ = 0;
  wire::JobSpec job_ = array(1, 2, 3000);
};

/// The state store's conflict response is lost. The controller then finds the job in the state
/// store, which shows that the job was accepted, but not that it is still queued.
TEST_F(AnswersOfALaggingController, RepeatedSubmissionReportsNoOlderStateWhenTheConflictIsLost) {
  accept_and_cancel();
  store().faults.late_write_share = 1;
  expect_cancelled_or_unavailable(ask_lagging(submit_request(job_)));
}

/// The same, but the controller's watch resumes before the request times out.
TEST_F(AnswersOfALaggingController, RepeatedSubmissionIsAnsweredOnceTheMirrorIsCurrent) {
  accept_and_cancel();
  store().faults.late_write_share = 1;
  world_.loop.after(1, [&] { store().faults.watch_stalled = false; });
  const auto response = ask_lagging(submit_request(job_));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  expect_cancelled_or_unavailable(response);
}

TEST_F(AnswersOfALaggingController, PollsAndSubmissionsReportNoOlderState) {
  accept_and_cancel();
  expect_cancelled_or_unavailable(ask_lagging(status_request(job_.id)));
  expect_cancelled_or_unavailable(ask_lagging(submit_request(job_)));
  auto rejected = job_;
  rejected.team = "nobody";
  expect_cancelled_or_unavailable(ask_lagging(submit_request(rejected)));
}

/// The record of a job is replaced by bytes that no controller can decode. The previous record is
/// outdated, and must not be used for answers even if the mirror has reached the present revision.
class UnreadableRecords : public ::testing::Test {
 protected:
  void store_value(const std::string& key, const std::string& value) {
    const auto present = world_.state.get(key);
    const auto revision =
        present.outcome == store::Outcome::ok ? present.entry.mod_revision : std::uint64_t{0};
    ASSERT_EQ(world_.state.commit({{{key, revision}}, {{key, value, 0}}}).outcome,
              store::Outcome::ok);
    world_.run_for(1);
  }
  static std::string unreadable() { return wire::Packer().map(0).take(); }
  int http_status_of(const net::Request& request) {
    const auto response = world_.response_of(1, request, 6);
    return response ? response->status : 0;
  }

  World world_{4200};
};

TEST_F(UnreadableRecords, JobRequestsGet503UntilTheRecordIsDecodable) {
  const auto job = array(1, 2, 3000);
  world_.run_until(10);
  world_.submit(job);
  world_.run_for(20);
  const auto key = store::job_key(job.id);
  const auto readable = world_.state.get(key).entry.value;
  store_value(key, unreadable());
  EXPECT_EQ(http_status_of(status_request(job.id)), 503);
  EXPECT_EQ(http_status_of(submit_request(job)), 503);
  store_value(key, readable);
  EXPECT_EQ(http_status_of(status_request(job.id)), 200);
}

TEST_F(UnreadableRecords, FinalRecordGets503AndDoesNotStopTheController) {
  world_.run_until(10);
  store_value(store::final_key("job-9"), unreadable());
  EXPECT_EQ(http_status_of(status_request("job-9")), 503);
}

/// Random histories in which users check each newly reported state at all controllers, while
/// responses of the state store are lost, writes are applied late, watches lag, controllers freeze
/// and crash, and the leader changes.
class AnswerHistories : public ::testing::Test {
 protected:
  /// Starts a random fault of some seconds, which affects one node or all.
  static void begin_fault(World& world) {
    const auto node = world.pick(world.node_count());
    const double length = 1 + 6 * world.random();
    auto& faults = world.store(node).faults;
    const auto end = [&world, node, length](auto&& undo) {
      world.loop.after(length, [&world, node, undo] { undo(world.store(node).faults); });
    };
    switch (world.pick(8)) {
      case 0:
        faults.watch_stalled = true;
        return end([](FakeStore::Faults& ended) { ended.watch_stalled = false; });
      case 1:  // the write is applied almost at once, and only the response is lost
        faults.late_write_share = 0.7;
        faults.late_write_delay_s = 0.002;
        return end([](FakeStore::Faults& ended) {
          ended.late_write_share = ended.late_write_delay_s = 0;
        });
      case 2:
        faults.late_write_share = 0.5;
        return end([](FakeStore::Faults& ended) { ended.late_write_share = 0; });
      case 3:
        faults.lost_share = 0.3;
        return end([](FakeStore::Faults& ended) { ended.lost_share = 0; });
      case 4:
        faults.max_added_delay_s = 1.5;
        return end([](FakeStore::Faults& ended) { ended.max_added_delay_s = 0; });
      case 5:
        return world.freeze(node, length);
      case 6:
        return world.crash(node, 0.1 + length * world.random());
      default:
        world.stop_state_store();
        world.loop.after(length / 3, [&world] { world.restore_state_store(); });
    }
  }

  /// Returns the number of jobs that were reported as done.
  static std::size_t run_history(unsigned seed) {
    World world(41'000 + seed, 3 + seed % 3);
    world.cloud.capacity = 30;
    world.users.cross_check_states();
    std::size_t jobs = 0;
    for (double t = 0; t < 150; t += 0.5) {
      world.run_until(t);
      const bool busy = t > 10 && t < 130;
      if (busy && world.random() < 0.5) submit_and_perhaps_cancel(world, ++jobs);
      if (busy && world.random() < 0.25) begin_fault(world);
      if (jobs > 0) world.poll("job-" + std::to_string(1 + world.pick(jobs)));
    }
    EXPECT_EQ(world.rules.first_violation(), "");
    return world.rules.finished();
  }

  static void submit_and_perhaps_cancel(World& world, std::size_t number) {
    const auto tasks = 1 + static_cast<std::uint32_t>(world.pick(2));
    const auto job = array(static_cast<int>(number), tasks, 2);
    world.submit(job);
    if (world.random() < 0.6)
      world.loop.after(6 * world.random(), [&world, id = job.id] { world.cancel(id); });
  }
};

TEST_F(AnswerHistories, ReportedFinalStatesNeverChange) {
  std::size_t finished = 0;
  for (unsigned seed = 1; seed <= last_seed(30); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    finished += run_history(seed);
  }
  EXPECT_GT(finished, 0U);
}

}  // namespace
}  // namespace elmstall::test
