/// \file
/// The simulated state store and cloud behind real HTTP servers on the loopback address.
#pragma once

#include <asio.hpp>

#include "net/http_server.hpp"
#include "support/world.hpp"

namespace elmstall::test {

/// Serves the API of the state store from a `FakeState`. Runs on the loop of `io`.
class StateFront {
 public:
  StateFront(asio::io_context& io, FakeState& state);
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  void handle(const net::Request& request, net::Responder respond);
  void follow(const std::string& prefix, std::uint64_t since, double left_s,
              net::Responder respond);
  asio::io_context& io_;
  FakeState& state_;
  net::HttpServer server_;
};

/// Serves the API of the cloud from the `FakeCloud` of a world. Runs on the loop of `io`.
class CloudFront {
 public:
  CloudFront(asio::io_context& io, World& world);
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  void handle(const net::Request& request, net::Responder respond);
  World& world_;
  net::HttpServer server_;
};

}  // namespace elmstall::test
