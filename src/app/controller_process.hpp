// One controller on an Asio loop: engine, clients and servers put together.
#pragma once

#include <asio.hpp>
#include <memory>

#include "config/settings.hpp"

namespace elmstall::app {

class Controller {
 public:
  /// Throws std::system_error when an address can't be listened on.
  Controller(asio::io_context& io, const config::Settings& settings);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace elmstall::app
