/// @file
/// The requests of users: submissions, polls and cancellations.
///
/// Every controller serves them directly from the state store, so users never wait for an
/// election. An answer about a job's state is given only when it can't be out of date ("Reads never
/// go back" in docs/design.md): ConfirmedStatus holds the state with the evidence for it, and
/// StatusResponder builds the response. A request that can't be decided in time gets 503 with
/// `Retry-After`.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "api/admission.hpp"
#include "api/concurrency_limit.hpp"
#include "api/job_memory_limit.hpp"
#include "api/status_responder.hpp"
#include "config/settings.hpp"
#include "election/read_index.hpp"
#include "net/http_server.hpp"
#include "runtime/command_queue.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"

namespace elmstall::api {

/// Runs on the controller's event loop. Every request is answered exactly once.
class UserApi {
 public:
  /// `on_cancelled` is called for each cancellation that this controller has recorded, before the
  /// user is answered (rule 8).
  UserApi(const config::Settings& settings, runtime::EventLoop& event_loop,
          runtime::CommandQueue& queue, store::StateStore& store, store::Mirror& mirror,
          election::ReadIndex& read_index, std::function<void(const std::string& job)> on_cancelled)
      : settings_(settings),
        loop_(event_loop),
        store_(store),
        mirror_(mirror),
        read_index_(read_index),
        on_cancelled_(std::move(on_cancelled)),
        scope_(queue),
        admission_(settings),
        job_memory_limit_(settings.memory_mb),
        limit_(settings.tuning.requests_max),
        responder_(event_loop, mirror) {}

  /// New submissions are answered with 503 until the machine types are known.
  void set_machine_types(const std::vector<wire::MachineType>& machine_types) {
    admission_.set_machine_types(machine_types);
  }

  /// Submits a job. 201: recorded now; 200 with its state: its id was accepted before; 400:
  /// malformed; 422: the job can never run in this deployment; 503: try again, after
  /// `Retry-After` if there are too many unfinished jobs.
  void submit(const std::string& body, net::Responder respond);
  /// Reports a job's state. 200, 404, or 503: try again.
  void poll(const std::string& id, net::Responder respond);
  /// Cancels a job. 200: cancelled, or already finished; 404; 503: try again.
  void cancel(const std::string& id, net::Responder respond);

  /// The limit on user requests in progress, with its present value and its counts.
  [[nodiscard]] const ConcurrencyLimit& limit() const { return limit_; }
  /// Numbers of answers by their source.
  [[nodiscard]] const AnswerCounts& answer_counts() const { return responder_.counts(); }
  /// Logs the counts if they have changed since the last call.
  void log_answer_counts() { responder_.log_counts(); }

 private:
  /// A request in progress.
  struct Call {
    net::Responder respond;
    double received_at = 0;  ///< seconds on the event loop's steady clock
    double deadline = 0;     ///< seconds on the same clock
    wire::JobSpec spec;      ///< of a submission
    std::string id;          ///< of the job
  };
  using CallPtr = std::shared_ptr<Call>;

  // Every request.
  /// Counts the request against the concurrency limit. Returns nullptr when the request is shed,
  /// which has then been answered.
  CallPtr admit(net::Responder respond, double timeout_s);
  /// Calls `retry` after a pause, or answers with 503 if the deadline does not allow that.
  void retry_before_deadline(const CallPtr& call, std::function<void()> retry);

  // Answers.
  void reply_status(const CallPtr& call, int http_status, const ConfirmedStatus& status,
                    wire::TaskCounts counts);
  static void reply_error(const CallPtr& call, int http_status, std::string_view text);
  static void reply_no_such_job(const CallPtr& call);
  /// 503: the request could not be decided in time, the user should try again.
  static void reply_unavailable(const CallPtr& call);
  /// Responds with the job's state if the job exists, else calls `otherwise`.
  void reply_if_known(const CallPtr& call, wire::TaskCounts counts,
                      std::function<void()> otherwise);
  /// Does the same for a job that is not among the live ones: reads its final record from the state
  /// store and responds with it if there is one, else calls `otherwise`.
  void reply_if_final(const CallPtr& call, wire::TaskCounts counts,
                      std::function<void()> otherwise);

  /// Adds a final record that was read from the state store to the mirror's cache. False if the
  /// record can't be decoded.
  [[nodiscard]] bool cache_final_record(const std::string& id, const std::string& packed);

  // Submissions.
  /// Decodes the submission into the call. Returns the error of a malformed one; the call's id is
  /// set nevertheless if it could be decoded.
  [[nodiscard]] static std::optional<wire::DecodeError> decode_submission(const std::string& body,
                                                                          Call& call);
  void reply_malformed(const CallPtr& call, const wire::DecodeError& error);
  void reply_rejected(const CallPtr& call, RejectionReason reason);
  /// 503: there is no memory for another job now, unless this one was accepted before.
  void reply_no_memory(const CallPtr& call);
  /// Records the job, on condition that its id has no record yet.
  void create_job(const CallPtr& call);
  void on_create_result(const CallPtr& call, const store::CommitResult& result);

  // Cancellations.
  /// Records the cancel mark if the mirror holds the job unfinished and without one.
  void cancel_live_job(const CallPtr& call);
  /// For a job that the mirror does not hold: checks again once the mirror is current.
  void cancel_after_read_index(const CallPtr& call);
  void record_cancellation(const CallPtr& call, const store::Mirror::Job& job);
  void on_cancel_result(const CallPtr& call, const store::CommitResult& result);

  /// Whether the mirror holds the job, live or final.
  [[nodiscard]] bool in_mirror(const std::string& id) const;

  const config::Settings& settings_;
  runtime::EventLoop& loop_;
  store::StateStore& store_;
  store::Mirror& mirror_;
  election::ReadIndex& read_index_;
  std::function<void(const std::string& job)> on_cancelled_;
  runtime::CommandScope scope_;
  Admission admission_;
  JobMemoryLimit job_memory_limit_;
  ConcurrencyLimit limit_;
  StatusResponder responder_;
};

}  // namespace elmstall::api
