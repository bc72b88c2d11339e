/// \file
/// The users of the test world: they submit, cancel and poll jobs over the API.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "net/http_server.hpp"
#include "wire/types.hpp"

namespace elmstall::test {

class World;

/// Sends the users' requests to random nodes, retries them until there is a response, and passes
/// the responses to the rule checker.
class Users {
 public:
  explicit Users(World& world) : world_(world) {}

  /// Registers a job that is submitted by other means.
  void register_job(const wire::JobSpec& spec);
  /// Submits a job; without a response the request is repeated for a minute.
  void submit(const wire::JobSpec& spec);
  /// Cancels a job; without a response the request is repeated for a minute.
  void cancel(const std::string& id);
  /// Requests the state of the job once.
  void poll(const std::string& id);
  /// From now on, whenever a state of a job is reported for the first time, users poll the job and
  /// submit it again at all nodes, within 10 ms and again within 3 s.
  void cross_check_states() { cross_check_enabled_ = true; }
  /// Cancels through this node, once, and lets `wait_s` pass; true if the response said that
  /// the job is cancelled.
  bool cancel_at(std::size_t node, const std::string& id, double wait_s);

  /// What was submitted under this id, or null.
  [[nodiscard]] const wire::JobSpec* spec(const std::string& id) const;
  /// The state that the newest response named, if there was one.
  [[nodiscard]] std::optional<wire::JobState> last_reported_state(const std::string& id) const;
  /// When a poll for the job was last answered; -1 if never.
  [[nodiscard]] double last_response_at(const std::string& id) const;

 private:
  using Done = std::function<void(std::optional<net::Response>)>;

  /// Sends a request to a node; `done` gets nothing if no response comes within `timeout_s`.
  void send(std::size_t node, net::Request request, double timeout_s, Done done);
  void deliver(std::size_t node, const net::Request& request, const Done& done);
  void poll_at(std::size_t node, const std::string& id);
  /// Submits the job once; `on_failure` is called if the request has to be retried.
  void submit_at(std::size_t node, const wire::JobSpec& spec, std::function<void()> on_failure);
  void submit_with_retries(const wire::JobSpec& spec, double until);
  void cancel_with_retries(const std::string& id, double until);
  /// `requested_at`: when the request was sent.
  void record_status_response(const std::string& id, const net::Response& response,
                              double requested_at);
  /// Passes the reported state of the job to the rule checker.
  void record_state(const std::string& id, wire::JobState state, double requested_at);
  void cross_check_at_all_nodes(const std::string& id);

  World& world_;
  std::map<std::string, wire::JobSpec> specs_;
  std::map<std::string, wire::JobState> reported_states_;
  std::map<std::string, double> last_response_at_;
  bool cross_check_enabled_ = false;
  std::set<std::pair<std::string, wire::JobState>>
      cross_checked_;  ///< states that were reported before
};

}  // namespace elmstall::test
