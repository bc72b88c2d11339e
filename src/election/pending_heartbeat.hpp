/// @file
/// A worker's heartbeat that could not be replied to at once.
#pragma once

#include <string>

#include "net/http_server.hpp"
#include "wire/workers.hpp"

namespace elmstall::election {

/// The heartbeat with all that is needed to reply to it, or to forward it, later.
struct PendingHeartbeat {
  wire::WorkerHeartbeat heartbeat;  ///< the decoded message
  std::string body;                 ///< the message as it was received, for forwarding
  net::Responder respond;           ///< sends the reply to the worker; to be called once
  double deadline = 0;              ///< seconds of the steady clock; the worker is refused after it
};

}  // namespace elmstall::election
