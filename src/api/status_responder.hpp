/// @file
/// The one place that makes answers which tell a user the state of a job. It logs and counts them,
/// and sees to it that none contradicts an earlier one of this controller.
#pragma once

#include <array>
#include <cstdint>

#include "api/confirmed_status.hpp"
#include "config/constants.hpp"
#include "net/http_server.hpp"
#include "runtime/event_loop.hpp"
#include "store/recent_jobs.hpp"

namespace elmstall::api {

/// Numbers of answers since the start of the controller.
struct AnswerCounts {
  std::array<std::uint64_t, kStatusSources> by_source{};  ///< answers, by StatusSource
  /// Answers that were replaced by the final state that was told while they were under way.
  std::uint64_t superseded = 0;
  /// Answers that contradicted an earlier one and were replaced by 503. Each is a defect.
  std::uint64_t withheld = 0;
  /// The number of answers that rest on this source.
  [[nodiscard]] std::uint64_t of(StatusSource source) const {
    return by_source[static_cast<std::size_t>(source)];
  }
  /// The number of all answers.
  [[nodiscard]] std::uint64_t total() const;
};

/// Makes the answers of one controller. Runs on its event loop.
class StatusResponder {
 public:
  /// `mirror` names revision and term in the log. Both have to outlive this object.
  StatusResponder(const runtime::EventLoop& event_loop, const store::Mirror& mirror)
      : loop_(event_loop), mirror_(mirror) {}

  /// The answer to a question that this controller received at `asked_at`, in seconds of the event
  /// loop's steady clock.
  ///
  /// Once this controller has told that a job is done or cancelled, it tells nothing else of it. If
  /// that happened while the question was under way, the answer is the final state. If it happened
  /// before, then a check has failed that should have excluded this answer: the answer is 503, and
  /// an error is logged ("Reads never go back" in docs/design.md).
  [[nodiscard]] net::Response respond(int http_status, const ConfirmedStatus& confirmed,
                                      wire::TaskCounts counts, double asked_at);
  /// How many answers were made.
  [[nodiscard]] const AnswerCounts& counts() const { return counts_; }
  /// Number of jobs whose final state, as it was told, is remembered.
  [[nodiscard]] std::size_t reported_jobs() const { return reported_states_.size(); }
  /// Logs the counts if they have changed since the last call.
  void log_counts();

 private:
  /// A final state that was told.
  struct ReportedState {
    wire::JobStatus status;
    double at = 0;  ///< seconds, by the event loop's steady clock
  };

  [[nodiscard]] net::Response withhold(const ReportedState& reported,
                                       const ConfirmedStatus& confirmed);

  const runtime::EventLoop& loop_;
  const store::Mirror& mirror_;
  store::RecentJobs<ReportedState> reported_states_{constants::kReportedStatesKept};
  AnswerCounts counts_;
  std::uint64_t logged_ = 0;  ///< number of answers when the counts were last logged
};

}  // namespace elmstall::api
