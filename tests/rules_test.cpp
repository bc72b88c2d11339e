/// \file
/// `RuleChecker` reports each kind of violation, and none for permitted events.
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
    job_.types = wire::AllowedTypes::only({"m12"});
  }
  /// Replaces the checker by one that has recorded only the submission of this job.
  RuleChecker& new_checker(const wire::JobSpec& spec) {
    rules_ = std::make_unique<RuleChecker>(settings_);
    rules_->record_submitted(spec);
    return *rules_;
  }
  /// Expects exactly one violation, of this rule.
  void expect_violation(const std::string& rule) {
    ASSERT_EQ(rules_->violations().size(), 1U) << rule;
    EXPECT_TRUE(rules_->violations()[0].starts_with(rule)) << rules_->violations()[0];
  }
  const RuleChecker::Place north_machine_{"host-1", "m12", "north", false};
  const RuleChecker::Place south_machine_{"host-2", "m12", "south", false};
  config::Settings settings_;
  wire::JobSpec job_;
  std::unique_ptr<RuleChecker> rules_;
};

TEST_F(RulesTest, RanTwice) {
  auto& rules = new_checker(job_);
  rules.record_task_start(1, "job-1", 0, north_machine_);
  rules.record_task_end(0, "job-1", 0, "host-1");
  rules.record_task_start(2, "job-1", 0, south_machine_);
  EXPECT_TRUE(rules.violations().empty());
  rules.record_task_start(3, "job-1", 0, north_machine_);
  expect_violation("ran_twice");
}

TEST_F(RulesTest, Quota) {
  auto& rules = new_checker(job_);
  rules.record_task_start(1, "job-1", 0, north_machine_);
  rules.record_task_start(1, "job-1", 1, north_machine_);
  EXPECT_TRUE(rules.violations().empty());
  rules.record_task_start(1, "job-1", 2, north_machine_);
  expect_violation("quota");
}

TEST_F(RulesTest, WrongPlace) {
  new_checker(job_).record_task_start(1, "job-1", 0, {"host-1", "other", "north", false});
  expect_violation("wrong_place");
  new_checker(job_).record_task_start(1, "job-1", 0, {"host-1", "m12", "north", true});
  expect_violation("wrong_place");
  auto zoned = job_;
  zoned.zone = "south";
  new_checker(zoned).record_task_start(1, "job-1", 0, north_machine_);
  expect_violation("wrong_place");
  auto together = job_;
  together.together = true;
  auto& rules = new_checker(together);
  rules.record_task_start(1, "job-1", 0, north_machine_);
  rules.record_task_start(1, "job-1", 1, south_machine_);
  expect_violation("wrong_place");
  auto apart = job_;
  apart.spread = true;
  apart.tasks = 2;
  auto& others = new_checker(apart);
  others.record_task_start(1, "job-1", 0, north_machine_);
  others.record_task_start(1, "job-1", 1, north_machine_);
  expect_violation("wrong_place");
}

TEST_F(RulesTest, RanCancelled) {
  auto& rules = new_checker(job_);
  rules.record_task_start(1, "job-1", 0, north_machine_);
  rules.record_cancel_request("job-1");
  rules.record_status(2, "job-1", wire::JobState::cancelled);
  rules.check_cancel_deadlines(41);
  EXPECT_TRUE(rules.violations().empty());
  rules.check_cancel_deadlines(43);
  expect_violation("ran_cancelled");
  auto& late = new_checker(job_);
  late.record_cancel_request("job-1");
  late.record_status(2, "job-1", wire::JobState::cancelled);
  late.record_task_start(50, "job-1", 0, north_machine_);
  expect_violation("ran_cancelled");
}

TEST_F(RulesTest, EffectOfACopy) {
  new_checker(job_).record_effect_of_copy(1, {wire::Verb::run, "job-1", 0, 1, 0}, "host-1");
  expect_violation("copy_took_effect");
}

TEST_F(RulesTest, ForgottenAndInvented) {
  auto& rules = new_checker(job_);
  rules.record_not_found("job-1", 5);
  EXPECT_TRUE(rules.violations().empty());
  rules.record_accepted(1, "job-1");
  rules.record_not_found("job-1", 5);
  expect_violation("forgotten");
  auto& again = new_checker(job_);
  again.record_accepted(1, "job-1");
  again.record_rejected("job-1");
  expect_violation("forgotten");
  new_checker(job_).record_status(1, "job-9", wire::JobState::queued);
  expect_violation("invented");
}

TEST_F(RulesTest, NotDoneAndWentBack) {
  new_checker(job_).record_status(1, "job-1", wire::JobState::done);
  expect_violation("not_done");
  auto& rules = new_checker(job_);
  for (std::uint32_t i = 0; i < 4; ++i) rules.record_completed("job-1", i);
  rules.record_status(1, "job-1", wire::JobState::done);
  EXPECT_TRUE(rules.violations().empty());
  rules.record_status(2, "job-1", wire::JobState::running);
  expect_violation("went_back");
  new_checker(job_).record_status(1, "job-1", wire::JobState::cancelled);
  expect_violation("went_back");
}

}  // namespace
}  // namespace elmstall::test
