/// @file
/// One controller process: the node with its clients, its transport to other controllers and its
/// HTTP server, all on one Asio event loop.
#pragma once

#include <asio.hpp>
#include <memory>

#include "config/settings.hpp"

namespace elmstall::app {

/// Connects a `controller::Node` to Asio and starts it. Everything runs on the thread that runs the
/// io_context, which must outlive this object.
class ControllerProcess {
 public:
  /// Starts the node. Throws std::system_error if it can't listen on an address, and
  /// std::invalid_argument if an address in the settings can't be parsed.
  ControllerProcess(asio::io_context& io, const config::Settings& settings);
  /// Stops the node immediately, with the same effect as the end of the process.
  ~ControllerProcess();
  ControllerProcess(const ControllerProcess&) = delete;
  ControllerProcess& operator=(const ControllerProcess&) = delete;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace elmstall::app
