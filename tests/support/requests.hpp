/// \file
/// Requests of users and workers to a controller, and decoding of its responses.
#pragma once

#include <string>
#include <vector>

#include "net/http_server.hpp"
#include "wire/types.hpp"

namespace elmstall::test {

// Requests of users.

[[nodiscard]] inline net::Request submit_request(const wire::JobSpec& job) {
  wire::Packer packer;
  wire::pack_job(packer, job);
  return {"POST", "/api/jobs", packer.take()};
}

[[nodiscard]] inline net::Request cancel_request(const std::string& id) {
  return {"POST", "/api/jobs/" + id + "/cancel", {}};
}

[[nodiscard]] inline net::Request status_request(const std::string& id) {
  return {"GET", "/api/jobs/" + id, {}};
}

// The request of workers.

[[nodiscard]] inline net::Request heartbeat_request(const wire::WorkerHeartbeat& heartbeat) {
  return {"POST", "/v1/report", wire::encode_heartbeat(heartbeat)};
}

// Contents of responses with status 200.

/// The state of the job, in the response to any request of a user.
[[nodiscard]] inline wire::JobState job_state_in(const net::Response& response) {
  return wire::decode_status(wire::Document::parse(response.body).root()).state;
}

/// The commands for the worker, in the response to a heartbeat.
[[nodiscard]] inline std::vector<wire::WorkerCommand> commands_in(const net::Response& response) {
  return wire::decode_commands(wire::Document::parse(response.body).root()).commands;
}

}  // namespace elmstall::test
