// Users' requests, served by every node straight against the state service:
// users never wait for an election.
#pragma once

#include <memory>

#include "api/concurrency_limit.hpp"
#include "config/settings.hpp"
#include "election/read_index.hpp"
#include "net/http_server.hpp"

namespace elmstall::api {

class UserApi {
 public:
  /// `cancelled`: called for each cancellation recorded, before its user is told.
  UserApi(const config::Settings& settings, runtime::EventLoop& event_loop,
          runtime::CommandQueue& queue, store::StateStore& store, store::Mirror& mirror,
          election::ReadIndex& read_index, std::function<void(const std::string& job)> cancelled)
      : settings_(settings),
        loop_(event_loop),
        store_(store),
        mirror_(mirror),
        read_index_(read_index),
        cancelled_(std::move(cancelled)),
        scope_(queue),
        limit_(settings.tuning.requests_max) {}

  void set_machine_types(const std::vector<wire::MachineType>& machine_types) {
    machine_types_ = machine_types;
  }
  void submit(const std::string& body, net::Responder respond);
  void poll(const std::string& id, net::Responder respond);
  void cancel(const std::string& id, net::Responder respond);
  [[nodiscard]] const ConcurrencyLimit& limit() const { return limit_; }

 private:
  struct Call {
    net::Responder respond;
    double deadline = 0;
    wire::JobSpec spec;
    std::string id;
  };
  using CallPtr = std::shared_ptr<Call>;

  /// Counts the request against the limit; nothing when it is shed.
  CallPtr enter(net::Responder respond, double patience_s);
  static void later(const CallPtr& call);
  static void reply(const CallPtr& call, int status, const wire::JobStatus& state, bool counts);
  static void refuse(const CallPtr& call, int status, const std::string& text);

  /// Answers with the job's state if there is such a job, else calls `otherwise`.
  void if_known(const CallPtr& call, bool counts, std::function<void()> otherwise);
  void create(const CallPtr& call);
  void confirm_create(const CallPtr& call);
  void mark_cancelled(const CallPtr& call);
  void retry(const CallPtr& call, std::function<void()> again);
  [[nodiscard]] std::string objection(wire::JobSpec& spec) const;

  const config::Settings& settings_;
  runtime::EventLoop& loop_;
  store::StateStore& store_;
  store::Mirror& mirror_;
  election::ReadIndex& read_index_;
  std::function<void(const std::string& job)> cancelled_;
  runtime::CommandScope scope_;
  std::vector<wire::MachineType> machine_types_;
  ConcurrencyLimit limit_;
};

}  // namespace elmstall::api
