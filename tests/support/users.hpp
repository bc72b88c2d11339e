/// \file
/// The users of the test world: they submit, cancel and poll jobs over the API.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "net/http_server.hpp"
#include "wire/types.hpp"

namespace elmstall::test {

class World;

/// Sends the users' requests to random nodes, repeats them until they are answered, and passes the
/// responses to the rule checker.
class Users {
 public:
  explicit Users(World& world) : world_(world) {}

  /// Registers a job that somebody else submits.
  void expect(const wire::JobSpec& spec);
  /// Submits a job; without a response the request is repeated for a minute.
  void submit(const wire::JobSpec& spec);
  /// Cancels a job; without a response the request is repeated for a minute.
  void cancel(const std::string& id);
  /// Asks once for the state of the job.
  void poll(const std::string& id);
  /// Cancels through this node, once, and lets `patience_s` pass; true if the response said that
  /// the job is cancelled.
  bool cancel_at(std::size_t node, const std::string& id, double patience_s);

  /// What was submitted under this id, or null.
  [[nodiscard]] const wire::JobSpec* spec(const std::string& id) const;
  /// The state that the newest response named, if there was one.
  [[nodiscard]] std::optional<wire::JobState> last_told(const std::string& id) const;
  /// When a poll for the job was last answered; -1 if never.
  [[nodiscard]] double replied_at(const std::string& id) const;

 private:
  using Done = std::function<void(std::optional<net::Response>)>;

  /// Sends a request to a node; `done` gets nothing if no response comes within `limit_s`.
  void send(std::size_t node, net::Request request, double limit_s, Done done);
  void deliver(std::size_t node, const net::Request& request, const Done& done);
  void repeat_submit(const wire::JobSpec& spec, double until);
  void repeat_cancel(const std::string& id, double until);
  /// `asked`: when the request was sent.
  void note_status(const std::string& id, const net::Response& response, double asked);

  World& world_;
  std::map<std::string, wire::JobSpec> specs_;
  std::map<std::string, wire::JobState> told_;
  std::map<std::string, double> replied_at_;
};

}  // namespace elmstall::test
