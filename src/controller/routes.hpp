// Which part of the HTTP interface a request is for.
#pragma once

#include <cstdint>
#include <string>

namespace elmstall::controller {

enum class Endpoint : std::uint8_t {
  ready,         ///< GET /ready
  heartbeat,     ///< POST /v1/report
  submit_job,    ///< POST /api/jobs
  poll_job,      ///< GET /api/jobs/ID
  cancel_job,    ///< POST /api/jobs/ID/cancel
  wrong_method,  ///< the path exists, with another method
  not_found,
};

struct Route {
  Endpoint endpoint = Endpoint::not_found;
  std::string job_id;  ///< of poll_job and cancel_job; not checked
};

/// `path` may carry a query, which is ignored.
[[nodiscard]] Route find_route(const std::string& method, const std::string& path);

}  // namespace elmstall::controller
