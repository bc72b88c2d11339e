// A worker's heartbeat that could not be replied to at once.
#pragma once

#include <string>

#include "net/http_server.hpp"
#include "wire/workers.hpp"

namespace elmstall::election {

struct PendingHeartbeat {
  wire::WorkerHeartbeat heartbeat;
  std::string body;  ///< as it was received, for forwarding
  net::Responder respond;
  double deadline = 0;  ///< steady clock; the worker is refused after it
};

}  // namespace elmstall::election
