/// \file
/// Tokens under which attempts are cleared and run again, so that no copy of an answered command
/// takes effect (safety rules 3 and 4).
#include "reconcile/fencing.hpp"

#include <gtest/gtest.h>

#include "dispatch/command_composer.hpp"
#include "support/fake_state.hpp"
#include "support/jobs.hpp"
#include "wire/fencing_token.hpp"

namespace elmstall::test {
namespace {

using wire::Verb;

constexpr std::uint64_t kTerm = 3;
constexpr double kNow = 100;

/// A leader's model with one synchronized machine.
class FencingTest : public ::testing::Test {
 protected:
  FencingTest()
      : state_(loop_),
        event_loop_(loop_, 7),
        store_(loop_, state_, 8),
        queue_(event_loop_, [] {}),
        group_commit_(settings(), event_loop_, queue_, store_, mirror_with_term(), 2,
                      {[](const std::string&) {}, [] {}, [](double) {}}),
        model_(settings_, group_commit_),
        gangs_(settings_, model_, estimates_),
        fencing_(kTerm, model_),
        composer_(settings_, model_, group_commit_, gangs_) {
    machine_ = &model_.machine("host-1");
    model_.update_attributes(*machine_, "m12", "north", false, "addr");
    model_.record_machine(*machine_);
    machine_->synchronized = machine_->epoch_known = true;
    write();
  }

  config::Settings& settings() {
    settings_.state.value_kb = 1;
    settings_.state.transaction_writes_max = 8;
    return settings_;
  }
  store::Mirror& mirror_with_term() {
    wire::Transaction transaction;
    transaction.writes = {
        {std::string(store::kTermKey), store::encode(store::TermRecord{kTerm}), 0}};
    state_.commit(transaction);
    refresh();
    return mirror_;
  }
  void refresh() {
    mirror_.restart();
    mirror_.load(state_.list(std::string(store::kLivePrefix), "", 1'000'000).listing);
  }
  /// Writes everything that is to be recorded.
  void write() {
    for (const double end = loop_.now() + 1; loop_.now() < end;) {
      group_commit_.flush();
      loop_.run_until(loop_.now() + 0.05);
      refresh();
    }
  }
  state::Task& add_task(const wire::JobSpec& spec) {
    store::JobRecord record;
    record.spec = spec;
    wire::Transaction transaction;
    transaction.writes = {{store::job_key(spec.id), store::encode(record), 0}};
    state_.commit(transaction);
    refresh();
    auto& job = model_.add_job(spec.id, record, 0);
    job.gang.state = state::Gang::State::starting;
    job.gang.attempt = 1;
    job.gang.committed = true;
    return model_.load_block(job, 0, nullptr).tasks.front();
  }
  /// The task is assigned under this attempt, and the assignment is written.
  void assign(state::Task& task, std::uint64_t attempt) {
    model_.assign(task, *machine_, attempt);
    write();
  }
  /// The machine reports that the task has exited.
  void report_exit(state::Task& task) {
    machine_->exited.push_back({task.job->id, task.index, task.attempt()});
    model_.unassign(task);
    write();
  }
  /// The verbs of the commands that an RPC carries now; they are sent.
  std::vector<Verb> send_rpc() {
    const auto commands = composer_.compose(*machine_, kNow, true);
    reconcile::Fencing::note_rpc(*machine_, commands);
    std::vector<Verb> verbs;
    for (const auto& command : commands) verbs.push_back(command.verb);
    return verbs;
  }

  /// The task runs as attempt 1 by an RPC, and the machine reports that it has exited.
  void run_and_exit(state::Task& task) {
    assign(task, 1);
    EXPECT_EQ(send_rpc(), std::vector<Verb>{Verb::run});
    report_exit(task);
  }

  config::Settings settings_;
  VirtualLoop loop_;
  FakeState state_;
  VirtualEventLoop event_loop_;
  FakeStore store_;
  runtime::CommandQueue queue_;
  store::Mirror mirror_;
  state::GroupCommit group_commit_;
  state::Model model_;
  placement::RunTimeEstimates estimates_;
  placement::GangCoordinator gangs_;
  reconcile::Fencing fencing_;
  dispatch::CommandComposer composer_;
  state::Machine* machine_ = nullptr;
};

using Verbs = std::vector<Verb>;

TEST_F(FencingTest, AnAttemptIsClearedOnlyUnderAHigherTokenThanItsRun) {
  auto& task = add_task(array(1, 1));
  run_and_exit(task);
  const auto token_of_run = fencing_.token(*machine_);
  EXPECT_EQ(send_rpc(), Verbs{}) << "a copy of the run would start the attempt again";
  fencing_.prepare_clear(*machine_);
  EXPECT_EQ(send_rpc(), Verbs{Verb::clear});
  EXPECT_GT(fencing_.token(*machine_), token_of_run);
  EXPECT_TRUE(machine_->synchronized) << "no command is in doubt";
}

TEST_F(FencingTest, OnlyRunsByRpcNeedAHigherTokenForTheClear) {
  auto& task = add_task(array(1, 1));
  assign(task, 1);
  reconcile::Fencing::note_reply(*machine_, composer_.compose(*machine_, kNow, true));
  report_exit(task);
  EXPECT_EQ(send_rpc(), Verbs{Verb::clear});
}

TEST_F(FencingTest, TheNextAttemptRunsInTheMessageThatClearsTheLastOne) {
  auto& task = add_task(array(1, 1));
  run_and_exit(task);
  assign(task, 2);
  EXPECT_EQ(send_rpc(), Verbs{}) << "the worker still knows attempt 1";
  EXPECT_TRUE(composer_.run_awaits_clear(*machine_));
  fencing_.prepare_clear(*machine_);
  EXPECT_EQ(send_rpc(), (Verbs{Verb::clear, Verb::run}));
}

TEST_F(FencingTest, AReusedAttemptIsClearedAndRunInMessagesWithRisingTokens) {
  auto& task = add_task(gang(1, 1));
  run_and_exit(task);
  assign(task, 1);
  ASSERT_TRUE(task.attempt_reused());
  fencing_.prepare_clear(*machine_);
  EXPECT_EQ(send_rpc(), Verbs{Verb::clear}) << "a copy of both would run the attempt once more";
  const auto token_of_clear = fencing_.token(*machine_);
  machine_->exited.clear();  // as the reply shows
  EXPECT_EQ(send_rpc(), Verbs{}) << "a copy of the clear would forget the second run";
  EXPECT_TRUE(composer_.reused_attempt_awaits_run(*machine_));
  fencing_.prepare_run_again(*machine_);
  EXPECT_EQ(send_rpc(), Verbs{Verb::run});
  EXPECT_GT(fencing_.token(*machine_), token_of_clear);
}

TEST_F(FencingTest, WithoutAHigherTokenTheMachineIsNeverSynchronizedAgain) {
  machine_->fence = wire::kMaxFence - 1;
  fencing_.raise(*machine_);
  EXPECT_FALSE(machine_->synchronized);
  EXPECT_EQ(fencing_.synchronizing_token(*machine_), fencing_.token(*machine_));
  fencing_.raise(*machine_);
  const auto next_term = wire::first_token_of_term(kTerm + 1);
  EXPECT_EQ(fencing_.token(*machine_), next_term - 1);
  EXPECT_EQ(fencing_.synchronizing_token(*machine_), next_term);
}

TEST_F(FencingTest, WithoutAHigherTokenNothingIsCleared) {
  auto& task = add_task(array(1, 1));
  assign(task, 1);
  machine_->fence = wire::kMaxFence;
  EXPECT_EQ(send_rpc(), Verbs{Verb::run});
  report_exit(task);
  fencing_.prepare_clear(*machine_);
  EXPECT_EQ(send_rpc(), Verbs{});
  EXPECT_TRUE(machine_->fences_running_out());
}

}  // namespace
}  // namespace elmstall::test
