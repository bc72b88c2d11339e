/// @file
/// Builds all responses that report the state of a job to a user. Logs and counts them, and
/// ensures that none contradicts an earlier response of this controller.
#pragma once

#include <array>
#include <cstdint>

#include "api/confirmed_status.hpp"
#include "config/constants.hpp"
#include "net/http_server.hpp"
#include "runtime/event_loop.hpp"
#include "store/recent_jobs.hpp"

namespace elmstall::api {

/// Numbers of answers since the controller started.
struct AnswerCounts {
  std::array<std::uint64_t, kStatusSources> by_source{};  ///< answers, by StatusSource
  /// Answers that were replaced by a final state that was reported while the request was in
  /// progress.
  std::uint64_t superseded = 0;
  /// Answers that contradicted an earlier one and were replaced by 503. Each is a defect.
  std::uint64_t withheld = 0;
  /// Number of answers that are based on this source.
  [[nodiscard]] std::uint64_t of(StatusSource source) const {
    return by_source[static_cast<std::size_t>(source)];
  }
  /// Number of all answers.
  [[nodiscard]] std::uint64_t total() const;
};

/// Builds the responses of one controller. Runs on its event loop.
class StatusResponder {
 public:
  /// `mirror` supplies the revision and the term for the log. Both arguments must outlive this
  /// object.
  StatusResponder(const runtime::EventLoop& event_loop, const store::Mirror& mirror)
      : loop_(event_loop), mirror_(mirror) {}

  /// The response to a request that this controller received at `received_at`, in seconds of the
  /// event loop's steady clock.
  ///
  /// Once this controller has reported a job as done or cancelled, it reports no other state of it.
  /// If that happened while the request was in progress, the response contains the final state. If
  /// it happened before the request, an earlier check failed to exclude this answer: the response
  /// is 503, and an error is logged ("Reads never go back" in docs/design.md).
  [[nodiscard]] net::Response respond(int http_status, const ConfirmedStatus& confirmed,
                                      wire::TaskCounts counts, double received_at);
  /// Numbers of answers by source.
  [[nodiscard]] const AnswerCounts& counts() const { return counts_; }
  /// Number of jobs whose reported final state is kept.
  [[nodiscard]] std::size_t reported_jobs() const { return reported_states_.size(); }
  /// Logs the counts if they have changed since the last call.
  void log_counts();

 private:
  /// A final state that was reported to a user.
  struct ReportedState {
    wire::JobStatus status;
    double at = 0;  ///< seconds on the event loop's steady clock
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
