#include "api/user_api.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "config/constants.hpp"

namespace elmstall::api {

namespace k = constants;
using store::Outcome;

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;

}  // namespace

// --- every request -----------------------------------------------------------

UserApi::CallPtr UserApi::admit(net::Responder respond, double timeout_s) {
  if (!limit_.try_enter()) {
    respond({503, {}, k::kRetryAfter});
    return nullptr;
  }
  const double now = loop_.now();
  auto call = std::make_shared<Call>();
  call->received_at = now;
  call->deadline = now + timeout_s;
  call->respond = [this, now, respond = std::move(respond)](net::Response response) {
    // A 503 is caused by a failure of the state store, so its duration does not reflect this
    // controller's load.
    limit_.leave(response.status == 503 ? ConcurrencyLimit::kNotMeasured : loop_.now() - now);
    respond(std::move(response));
  };
  return call;
}

void UserApi::retry_before_deadline(const CallPtr& call, std::function<void()> retry) {
  if (loop_.now() + k::kStateRetry >= call->deadline) return reply_unavailable(call);
  loop_.after(k::kStateRetry / 2, scope_.wrap(std::move(retry)));
}

bool UserApi::in_mirror(const std::string& id) const {
  return mirror_.final_state(id) || mirror_.job(id) != nullptr;
}

// --- answers -----------------------------------------------------------------

void UserApi::reply_status(const CallPtr& call, int http_status, const ConfirmedStatus& status,
                           wire::TaskCounts counts) {
  call->respond(responder_.respond(http_status, status, counts, call->received_at));
}

void UserApi::reply_error(const CallPtr& call, int http_status, std::string_view text) {
  wire::Packer packer;
  packer.map(1).key("error").text(text);
  call->respond({http_status, packer.take(), 0});
}

void UserApi::reply_no_such_job(const CallPtr& call) { reply_error(call, 404, "no such job"); }

void UserApi::reply_unavailable(const CallPtr& call) { call->respond({503, {}, k::kRetryAfter}); }

void UserApi::reply_if_known(const CallPtr& call, wire::TaskCounts counts,
                             std::function<void()> otherwise) {
  // A final state never changes, so no read index is needed to answer with it.
  if (const auto status = ConfirmedStatus::of_final_record(mirror_, call->id))
    return reply_status(call, kOk, *status, counts);
  read_index_.request(
      call->deadline - loop_.now(), [this, call, counts, otherwise = std::move(otherwise)](
                                        const election::LinearizableRead* read) {
        if (read == nullptr || mirror_.unreadable_job(call->id)) return reply_unavailable(call);
        if (const auto status = ConfirmedStatus::of_current_mirror(*read, mirror_, call->id))
          return reply_status(call, kOk, *status, counts);
        reply_if_final(call, counts, otherwise);
      });
}

bool UserApi::cache_final_record(const std::string& id, const std::string& packed) {
  try {
    mirror_.cache_final_state(id, store::decode_final(packed));
    return true;
  } catch (const wire::DecodeError& error) {
    spdlog::error("the final record of job {} can't be read: {}", id, error.what());
    return false;
  }
}

void UserApi::reply_if_final(const CallPtr& call, wire::TaskCounts counts,
                             std::function<void()> otherwise) {
  // The mirror caches a limited number of final states, and none of those that were written
  // before this controller started. The state store has all of them.
  store_.get(
      store::final_key(call->id),
      scope_.wrap(
          [this, call, counts, otherwise = std::move(otherwise)](const store::GetResult& result) {
            if (result.outcome == Outcome::missing) return otherwise();
            if (result.outcome != Outcome::ok || !cache_final_record(call->id, result.entry.value))
              return reply_unavailable(call);
            const auto status = ConfirmedStatus::of_final_record(mirror_, call->id);
            reply_status(call, kOk, status.value(), counts);
          }));
}

// --- polls -------------------------------------------------------------------

void UserApi::poll(const std::string& id, net::Responder respond) {
  const auto call = admit(std::move(respond), k::kPollDeadline);
  if (!call) return;
  call->id = id;
  if (!wire::valid_job_id(id)) return reply_no_such_job(call);
  reply_if_known(call, wire::TaskCounts::included, [call] { reply_no_such_job(call); });
}

// --- submissions -------------------------------------------------------------

void UserApi::submit(const std::string& body, net::Responder respond) {
  const auto call = admit(std::move(respond), k::kUserDeadline);
  if (!call) return;
  if (const auto error = decode_submission(body, *call)) return reply_malformed(call, *error);
  if (in_mirror(call->id)) {
    return reply_if_known(call, wire::TaskCounts::omitted, [call] { reply_unavailable(call); });
  }
  if (!admission_.machine_types_known()) return reply_unavailable(call);
  if (const auto reason = admission_.check(call->spec, loop_.wall_time()))
    return reply_rejected(call, *reason);
  if (!job_memory_limit_.allows(mirror_.jobs().size(), mirror_.job_record_bytes(),
                                call->spec.priority))
    return reply_no_memory(call);
  create_job(call);
}

std::optional<wire::DecodeError> UserApi::decode_submission(const std::string& body, Call& call) {
  try {
    const auto document = wire::Document::parse(body);
    // The id is read first: an id that was accepted before keeps its answer, even if the rest of
    // the submission is malformed now.
    call.id = wire::decode_job_id(document.root());
    call.spec = wire::decode_job(document.root());
    return std::nullopt;
  } catch (const wire::DecodeError& error) {
    spdlog::info("a submission is malformed: {}", error.what());
    return error;
  }
}

void UserApi::reply_malformed(const CallPtr& call, const wire::DecodeError& error) {
  if (call->id.empty()) return reply_error(call, 400, error.what());
  reply_if_known(call, wire::TaskCounts::omitted,
                 [call, error] { reply_error(call, 400, error.what()); });
}

void UserApi::reply_rejected(const CallPtr& call, RejectionReason reason) {
  // An id that was accepted before keeps its answer, whatever is submitted under it now.
  reply_if_known(call, wire::TaskCounts::omitted,
                 [call, reason] { reply_error(call, 422, to_text(reason)); });
}

void UserApi::reply_no_memory(const CallPtr& call) {
  spdlog::debug("job {} is not accepted now: {} jobs are unfinished", call->id,
                mirror_.jobs().size());
  reply_if_known(call, wire::TaskCounts::omitted, [call] {
    call->respond({503, {}, k::kJobMemoryRetryAfter});
  });
}

void UserApi::create_job(const CallPtr& call) {
  wire::Transaction transaction;
  // The absence of a final record is a precondition too (rule 8): a copy of this request that
  // arrives after the job has finished must not create the job again.
  transaction.preconditions = {{store::job_key(call->id), 0}, {store::final_key(call->id), 0}};
  transaction.writes = {{store::job_key(call->id),
                         store::encode(store::JobRecord{call->spec, false, loop_.wall_time()}), 0}};
  store_.commit(std::move(transaction),
                scope_.wrap([this, call](const store::CommitResult& result) {
                  on_create_result(call, result);
                }));
}

void UserApi::on_create_result(const CallPtr& call, const store::CommitResult& result) {
  if (const auto commit = AppliedCommit::of(result)) {
    if (const auto status = ConfirmedStatus::created(*commit, mirror_, call->id))
      return reply_status(call, kCreated, *status, wire::TaskCounts::omitted);
  }
  switch (result.outcome) {
    case Outcome::ok:
    case Outcome::conflict:
      return reply_if_known(call, wire::TaskCounts::omitted, [call] { reply_unavailable(call); });
    case Outcome::unavailable:
      return retry_before_deadline(call, [this, call] { create_job(call); });
    case Outcome::unknown:
      // This request may have created the job. Or the lost reply was a conflict: another controller
      // accepted the job before, and it may be cancelled or done by now. The job's record alone
      // does not show which, so the current state is looked up as for a poll.
      return reply_if_known(call, wire::TaskCounts::omitted, [this, call] {
        retry_before_deadline(call, [this, call] { create_job(call); });
      });
    default:
      return reply_unavailable(call);
  }
}

// --- cancellations -----------------------------------------------------------

void UserApi::cancel(const std::string& id, net::Responder respond) {
  const auto call = admit(std::move(respond), k::kUserDeadline);
  if (!call) return;
  call->id = id;
  if (!wire::valid_job_id(id)) return reply_no_such_job(call);
  cancel_live_job(call);
}

void UserApi::cancel_live_job(const CallPtr& call) {
  const auto* job = mirror_.job(call->id);
  if (job == nullptr) return cancel_after_read_index(call);
  if (const auto status = ConfirmedStatus::of_cancel_mark(mirror_, call->id))
    return reply_status(call, kOk, *status, wire::TaskCounts::omitted);
  record_cancellation(call, *job);
}

void UserApi::cancel_after_read_index(const CallPtr& call) {
  // The job is finished, or unknown, or was submitted too recently to be in this mirror.
  read_index_.request(
      call->deadline - loop_.now(), [this, call](const election::LinearizableRead* read) {
        if (read == nullptr && !mirror_.final_state(call->id)) return reply_unavailable(call);
        if (mirror_.job(call->id) != nullptr) return cancel_live_job(call);
        reply_if_known(call, wire::TaskCounts::omitted, [call] { reply_no_such_job(call); });
      });
}

void UserApi::record_cancellation(const CallPtr& call, const store::Mirror::Job& job) {
  const auto record =
      store::cancelled_record(job.record, store::value_bytes(settings_.state_limits().value_kb));
  wire::Transaction transaction;
  transaction.preconditions = {{store::job_key(call->id), job.mod_revision}};
  transaction.writes = {{store::job_key(call->id), store::encode(record), 0}};
  store_.commit(std::move(transaction),
                scope_.wrap([this, call](const store::CommitResult& result) {
                  on_cancel_result(call, result);
                }));
}

void UserApi::on_cancel_result(const CallPtr& call, const store::CommitResult& result) {
  if (const auto commit = AppliedCommit::of(result)) {
    on_cancelled_(call->id);
    return reply_status(call, kOk, ConfirmedStatus::cancelled(*commit, call->id),
                        wire::TaskCounts::omitted);
  }
  if (result.outcome == Outcome::unavailable)
    return retry_before_deadline(call, [this, call] { cancel_live_job(call); });
  // The record was changed by another controller, or by this request itself if its outcome is
  // unknown. A mirror that is current shows which of the two happened.
  read_index_.request(call->deadline - loop_.now(),
                      [this, call](const election::LinearizableRead* read) {
                        if (read == nullptr) return reply_unavailable(call);
                        retry_before_deadline(call, [this, call] { cancel_live_job(call); });
                      });
}

}  // namespace elmstall::api
