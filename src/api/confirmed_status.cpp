#include "api/confirmed_status.hpp"

namespace elmstall::api {

std::string_view to_text(StatusSource source) {
  switch (source) {
    case StatusSource::final_record:
      return "final_record";
    case StatusSource::cancel_mark:
      return "cancel_mark";
    case StatusSource::read_index:
      return "read_index";
    case StatusSource::own_commit:
      return "own_commit";
  }
  return {};
}

std::optional<AppliedCommit> AppliedCommit::of(const store::CommitResult& result) {
  if (result.outcome != store::Outcome::ok) return std::nullopt;
  return AppliedCommit(result.revision);
}

std::optional<ConfirmedStatus> ConfirmedStatus::of_final_record(const store::Mirror& mirror,
                                                                const std::string& job) {
  if (!mirror.final_state(job)) return std::nullopt;
  return ConfirmedStatus(mirror.status(job), StatusSource::final_record, mirror.revision());
}

std::optional<ConfirmedStatus> ConfirmedStatus::of_cancel_mark(const store::Mirror& mirror,
                                                               const std::string& job) {
  const auto* live = mirror.job(job);
  if (live == nullptr || !live->record.cancelled) return std::nullopt;
  return ConfirmedStatus(mirror.status(job), StatusSource::cancel_mark, live->mod_revision);
}

std::optional<ConfirmedStatus> ConfirmedStatus::of_current_mirror(
    const election::LinearizableRead& read, const store::Mirror& mirror, const std::string& job) {
  if (auto final_status = of_final_record(mirror, job)) return final_status;
  if (mirror.job(job) == nullptr || mirror.unreadable_job(job)) return std::nullopt;
  return ConfirmedStatus(mirror.status(job), StatusSource::read_index, read.revision());
}

std::optional<ConfirmedStatus> ConfirmedStatus::created(const AppliedCommit& commit,
                                                        const store::Mirror& mirror,
                                                        const std::string& job) {
  const auto* live = mirror.job(job);
  const bool may_be_over = live == nullptr || live->record.cancelled;
  if (mirror.revision() >= commit.revision() && may_be_over) return std::nullopt;
  return ConfirmedStatus({job, wire::JobState::queued, 0, 0}, StatusSource::own_commit,
                         commit.revision());
}

ConfirmedStatus ConfirmedStatus::cancelled(const AppliedCommit& commit, const std::string& job) {
  return {{job, wire::JobState::cancelled, 0, 0}, StatusSource::own_commit, commit.revision()};
}

}  // namespace elmstall::api
