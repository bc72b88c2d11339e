/// \file
/// The simulated state store and cloud behind real HTTP servers on the loopback address.
#pragma once

#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/http_server.hpp"
#include "support/world.hpp"

namespace elmstall::test {

/// Serves the API of the state store from a `FakeState`. Runs on the loop of `io`. Several may
/// serve the same state, each with faults of its own.
class StateStoreServer {
 public:
  /// Faults between this server and its clients.
  struct Faults {
    bool refused = false;  ///< every request gets 503, and open watches report no changes
    double max_added_delay_s =
        0;  ///< at most so many seconds are added before a request is executed
    double unanswered_share = 0;  ///< share of transactions that are executed without a response
    double late_share =
        0;  ///< share of transactions that are executed seconds later, without a response
    double watch_lag_s = 0;  ///< watches report changes so many seconds later
  };
  StateStoreServer(asio::io_context& io, World& world);
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  Faults faults;
  /// Entries per page of a listing; the default is the limit of the protocol.
  std::size_t page_size = 1000;

 private:
  void handle(const net::Request& request, net::Responder respond);
  void execute(const net::Request& request, net::Responder respond);
  void commit(const net::Request& request, const net::Responder& respond);
  void watch(const std::string& prefix, std::uint64_t since, double left_s, net::Responder respond);
  /// Calls `fn` after so many seconds of real time.
  void after(double seconds, std::function<void()> fn);
  asio::io_context& io_;
  World& world_;
  FakeState& state_;
  net::HttpServer server_;
};

/// Serves the API of the cloud from the `FakeCloud` of a world. Runs on the loop of `io`.
class CloudServer {
 public:
  CloudServer(asio::io_context& io, World& world);
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  void handle(const net::Request& request, net::Responder respond);
  World& world_;
  net::HttpServer server_;
};

/// Serves the command interface of the machines of a world, each at an address of its own. The
/// world's network faults and those of the workers apply. Runs on the loop of `io`.
class WorkerServers {
 public:
  WorkerServers(asio::io_context& io, World& world) : io_(io), world_(world) {}
  /// The address of the machine; it is served from the first call on.
  [[nodiscard]] std::string address_of(const std::string& machine);

 private:
  void handle(const std::string& machine, const net::Request& request,
              const net::Responder& respond);
  asio::io_context& io_;
  World& world_;
  std::map<std::string, std::unique_ptr<net::HttpServer>> servers_;
};

}  // namespace elmstall::test
