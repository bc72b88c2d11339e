/// \file
/// The checker of the Rules is shown to fail when a rule is broken on purpose.
#include "support/rules.hpp"

#include <gtest/gtest.h>

namespace elmstall::test {
namespace {

class RulesTest : public ::testing::Test {
 protected:
  RulesTest() {
    settings_.cancel_s = 40;
    settings_.teams = {{"red", 0, 0, 0, 2}};
    job_.id = "job-1";
    job_.team = "red";
    job_.tasks = 4;
    job_.cpus = job_.gpus = 1;
    job_.types = {"m12"};
  }
  Rules& fresh(const wire::JobSpec& spec) {
    rules_ = std::make_unique<Rules>(settings_);
    rules_->submitted(spec);
    return *rules_;
  }
  void expect_broken(const std::string& rule) {
    ASSERT_EQ(rules_->broken().size(), 1U) << rule;
    EXPECT_TRUE(rules_->broken()[0].starts_with(rule)) << rules_->broken()[0];
  }
  const Rules::Place here_{"host-1", "m12", "north", false};
  const Rules::Place there_{"host-2", "m12", "south", false};
  config::Settings settings_;
  wire::JobSpec job_;
  std::unique_ptr<Rules> rules_;
};

TEST_F(RulesTest, RanTwice) {
  auto& rules = fresh(job_);
  rules.on_machine(1, "job-1", 0, here_);
  rules.off_machine(0, "job-1", 0, "host-1");
  rules.on_machine(2, "job-1", 0, there_);
  EXPECT_TRUE(rules.broken().empty());
  rules.on_machine(3, "job-1", 0, here_);
  expect_broken("ran_twice");
}

TEST_F(RulesTest, Quota) {
  auto& rules = fresh(job_);
  rules.on_machine(1, "job-1", 0, here_);
  rules.on_machine(1, "job-1", 1, here_);
  EXPECT_TRUE(rules.broken().empty());
  rules.on_machine(1, "job-1", 2, here_);
  expect_broken("quota");
}

TEST_F(RulesTest, WrongPlace) {
  fresh(job_).on_machine(1, "job-1", 0, {"host-1", "other", "north", false});
  expect_broken("wrong_place");
  fresh(job_).on_machine(1, "job-1", 0, {"host-1", "m12", "north", true});
  expect_broken("wrong_place");
  auto zoned = job_;
  zoned.zone = "south";
  fresh(zoned).on_machine(1, "job-1", 0, here_);
  expect_broken("wrong_place");
  auto together = job_;
  together.together = true;
  auto& rules = fresh(together);
  rules.on_machine(1, "job-1", 0, here_);
  rules.on_machine(1, "job-1", 1, there_);
  expect_broken("wrong_place");
  auto apart = job_;
  apart.spread = true;
  apart.tasks = 2;
  auto& others = fresh(apart);
  others.on_machine(1, "job-1", 0, here_);
  others.on_machine(1, "job-1", 1, here_);
  expect_broken("wrong_place");
}

TEST_F(RulesTest, RanCancelled) {
  auto& rules = fresh(job_);
  rules.on_machine(1, "job-1", 0, here_);
  rules.cancel_asked("job-1");
  rules.told_status(2, "job-1", wire::JobState::cancelled);
  rules.check_time(41);
  EXPECT_TRUE(rules.broken().empty());
  rules.check_time(43);
  expect_broken("ran_cancelled");
  auto& late = fresh(job_);
  late.cancel_asked("job-1");
  late.told_status(2, "job-1", wire::JobState::cancelled);
  late.on_machine(50, "job-1", 0, here_);
  expect_broken("ran_cancelled");
}

TEST_F(RulesTest, ForgottenAndInvented) {
  auto& rules = fresh(job_);
  rules.told_missing("job-1", 5);
  EXPECT_TRUE(rules.broken().empty());
  rules.told_accepted(1, "job-1");
  rules.told_missing("job-1", 5);
  expect_broken("forgotten");
  auto& again = fresh(job_);
  again.told_accepted(1, "job-1");
  again.told_refused("job-1");
  expect_broken("forgotten");
  fresh(job_).told_status(1, "job-9", wire::JobState::queued);
  expect_broken("invented");
}

TEST_F(RulesTest, NotDoneAndWentBack) {
  fresh(job_).told_status(1, "job-1", wire::JobState::done);
  expect_broken("not_done");
  auto& rules = fresh(job_);
  for (std::uint32_t i = 0; i < 4; ++i) rules.completed("job-1", i);
  rules.told_status(1, "job-1", wire::JobState::done);
  EXPECT_TRUE(rules.broken().empty());
  rules.told_status(2, "job-1", wire::JobState::running);
  expect_broken("went_back");
  fresh(job_).told_status(1, "job-1", wire::JobState::cancelled);
  expect_broken("went_back");
}

}  // namespace
}  // namespace elmstall::test
