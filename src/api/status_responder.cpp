#include "api/status_responder.hpp"

#include <spdlog/spdlog.h>

#include <numeric>

namespace elmstall::api {

namespace {

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

bool is_final(wire::JobState state) {
  return state == wire::JobState::done || state == wire::JobState::cancelled;
}

}  // namespace

std::uint64_t AnswerCounts::total() const {
  return std::accumulate(by_source.begin(), by_source.end(), superseded + withheld);
}

net::Response StatusResponder::respond(int http_status, const ConfirmedStatus& confirmed,
                                       wire::TaskCounts counts, double received_at) {
  const auto& status = confirmed.status();
  const auto* reported = reported_states_.find(status.id);
  if (reported != nullptr && reported->status.state != status.state) {
    if (received_at > reported->at) return withhold(*reported, confirmed);
    ++counts_.superseded;
    spdlog::debug("answer superseded: job={} told={} now={} path={} revision={}", status.id,
                  wire::to_text(reported->status.state), wire::to_text(status.state),
                  to_text(confirmed.source()), confirmed.revision());
    return {kOk, wire::encode_status(reported->status, counts), 0};
  }
  ++counts_.by_source[static_cast<std::size_t>(confirmed.source())];
  if (is_final(status.state)) reported_states_.insert(status.id, {status, loop_.now()});
  spdlog::debug("answer: job={} state={} path={} http={} revision={} mirror_revision={} term={}",
                status.id, wire::to_text(status.state), to_text(confirmed.source()), http_status,
                confirmed.revision(), mirror_.revision(), mirror_.term());
  return {http_status, wire::encode_status(status, counts), 0};
}

net::Response StatusResponder::withhold(const ReportedState& reported,
                                        const ConfirmedStatus& confirmed) {
  ++counts_.withheld;
  const auto& status = confirmed.status();
  spdlog::error(
      "answer withheld: job={} told={} now={} path={} revision={} mirror_revision={} term={}",
      status.id, wire::to_text(reported.status.state), wire::to_text(status.state),
      to_text(confirmed.source()), confirmed.revision(), mirror_.revision(), mirror_.term());
  return {kServiceUnavailable, {}, constants::kRetryAfter};
}

void StatusResponder::log_counts() {
  if (counts_.total() == logged_) return;
  logged_ = counts_.total();
  spdlog::info(
      "answers: final_record={} cancel_mark={} read_index={} own_commit={} superseded={} "
      "withheld={}",
      counts_.of(StatusSource::final_record), counts_.of(StatusSource::cancel_mark),
      counts_.of(StatusSource::read_index), counts_.of(StatusSource::own_commit),
      counts_.superseded, counts_.withheld);
}

}  // namespace elmstall::api
