/// @file
/// Maps requests to the endpoints of the HTTP interface. Pure functions.
#pragma once

#include <cstdint>
#include <string>

namespace elmstall::controller {

/// The endpoints of the HTTP interface, and the reasons why a request is for none of them.
enum class Endpoint : std::uint8_t {
  ready,         ///< GET /ready
  heartbeat,     ///< POST /v1/report
  submit_job,    ///< POST /api/jobs
  poll_job,      ///< GET /api/jobs/ID
  cancel_job,    ///< POST /api/jobs/ID/cancel
  wrong_method,  ///< the path exists, with another method
  not_found,     ///< no such path
};

/// The endpoint and the job that a request names.
struct Route {
  Endpoint endpoint = Endpoint::not_found;  ///< what the request is for
  std::string job_id;                       ///< of poll_job and cancel_job; not checked
};

/// The route of a request. The query is ignored.
[[nodiscard]] Route find_route(const std::string& method, const std::string& path_and_query);

}  // namespace elmstall::controller
