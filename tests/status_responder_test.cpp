/// \file
/// Which job states may be reported, and the last check before a response is sent.
#include "api/status_responder.hpp"

#include <gtest/gtest.h>

#include "support/jobs.hpp"
#include "support/virtual_time.hpp"

namespace elmstall::api {
namespace {

using wire::JobState;
using wire::TaskCounts;

class StatusResponderTest : public ::testing::Test {
 protected:
  /// A mirror that holds the final state of `job-1`.
  static store::Mirror mirror_with_final(JobState state) {
    store::Mirror mirror;
    mirror.cache_final_state("job-1", {state, 2});
    return mirror;
  }
  /// A mirror that holds `job-1` unfinished, at revision 7.
  static store::Mirror mirror_with_job(bool cancelled) {
    store::JobRecord record;
    record.spec = test::array(1, 2);
    record.cancelled = cancelled;
    store::Mirror mirror;
    mirror.load({{{store::job_key("job-1"), store::encode(record), 7}}, false, 7});
    return mirror;
  }
  net::Response respond(const ConfirmedStatus& status, double asked_at) {
    return responder_.respond(200, status, TaskCounts::omitted, asked_at);
  }
  static JobState state_in(const net::Response& response) {
    return wire::decode_status(wire::Document::parse(response.body).root()).state;
  }

  test::VirtualLoop time_;
  test::VirtualEventLoop loop_{time_, 1};
  store::Mirror mirror_;
  StatusResponder responder_{loop_, mirror_};
};

TEST_F(StatusResponderTest, AContradictingAnswerIsWithheldAndCounted) {
  const auto done = mirror_with_final(JobState::done);
  const auto cancelled = mirror_with_final(JobState::cancelled);
  time_.run_until(10);
  EXPECT_EQ(respond(ConfirmedStatus::of_final_record(done, "job-1").value(), 9).status, 200);
  EXPECT_EQ(respond(ConfirmedStatus::of_final_record(cancelled, "job-1").value(), 11).status, 503);
  EXPECT_EQ(responder_.counts().withheld, 1U);
  EXPECT_EQ(responder_.counts().of(StatusSource::final_record), 1U);
  EXPECT_EQ(respond(ConfirmedStatus::of_final_record(done, "job-1").value(), 12).status, 200);
}

/// The request arrived before the final state was reported. This is no defect, so it does not count
/// as withheld, but the response must contain the newer state.
TEST_F(StatusResponderTest, OlderStateIsSupersededByTheReportedFinalState) {
  time_.run_until(10);
  const auto cancelled = mirror_with_job(true);
  EXPECT_EQ(respond(ConfirmedStatus::of_cancel_mark(cancelled, "job-1").value(), 9).status, 200);
  const auto commit = AppliedCommit::of({store::Outcome::ok, 5, {}});
  const store::Mirror lagging_mirror;
  const auto response =
      respond(ConfirmedStatus::created(*commit, lagging_mirror, "job-1").value(), 8);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(state_in(response), JobState::cancelled);
  EXPECT_EQ(responder_.counts().superseded, 1U);
  EXPECT_EQ(responder_.counts().withheld, 0U);
}

TEST_F(StatusResponderTest, NumberOfReportedJobsKeptIsBounded) {
  for (std::size_t i = 0; i < constants::kReportedStatesKept + 10; ++i) {
    const auto job = "job-" + std::to_string(i);
    mirror_.cache_final_state(job, {JobState::done, 1});
    EXPECT_EQ(respond(ConfirmedStatus::of_final_record(mirror_, job).value(), 1).status, 200);
  }
  EXPECT_EQ(responder_.reported_jobs(), constants::kReportedStatesKept);
}

TEST_F(StatusResponderTest, OnlyAnAppliedCommitConfirmsAStatus) {
  for (const auto outcome : {store::Outcome::conflict, store::Outcome::unknown,
                             store::Outcome::unavailable, store::Outcome::rejected})
    EXPECT_FALSE(AppliedCommit::of({outcome, 5, {}}));
}

/// The state store's response to a commit may arrive late: the job that the commit created may have
/// been cancelled or finished since.
TEST_F(StatusResponderTest, CommitDoesNotConfirmAStatusThatTheMirrorContradicts) {
  const auto commit = AppliedCommit::of({store::Outcome::ok, 7, {}});
  EXPECT_TRUE(ConfirmedStatus::created(*commit, mirror_, "job-1")) << "the mirror is behind";
  EXPECT_TRUE(ConfirmedStatus::created(*commit, mirror_with_job(false), "job-1"));
  EXPECT_FALSE(ConfirmedStatus::created(*commit, mirror_with_job(true), "job-1"));
  auto finished = mirror_with_job(false);
  finished.apply({8, {{store::job_key("job-1"), std::nullopt, 8}}});
  EXPECT_FALSE(ConfirmedStatus::created(*commit, finished, "job-1"));
}

TEST_F(StatusResponderTest, UnfinishedRecordConfirmsACancellationOnlyWithACancelMark) {
  EXPECT_FALSE(ConfirmedStatus::of_cancel_mark(mirror_with_job(false), "job-1"));
  EXPECT_TRUE(ConfirmedStatus::of_cancel_mark(mirror_with_job(true), "job-1"));
  EXPECT_FALSE(ConfirmedStatus::of_final_record(mirror_with_job(true), "job-1"));
}

}  // namespace
}  // namespace elmstall::api
