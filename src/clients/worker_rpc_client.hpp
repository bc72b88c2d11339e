/// @file
/// Command RPCs over HTTP.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "clients/worker_rpc.hpp"
#include "net/http_client.hpp"

namespace elmstall::clients {

/// Keeps connections to the workers that most recently received commands. Runs on the
/// thread of the io_context, which must outlive this object.
class WorkerRpcClient : public WorkerRpc {
 public:
  /// `max_connections` limits the number of connections that are kept. It is exceeded only while
  /// that many command RPCs are in flight.
  WorkerRpcClient(asio::io_context& io, std::size_t max_connections)
      : io_(io), max_connections_(max_connections) {}

  /// As in `WorkerRpc`. An address that can't be parsed gives `not_sent`, and a response that
  /// can't be decoded gives `unknown`.
  void send_commands(const std::string& addr, std::uint64_t token, std::uint64_t epoch,
                     const std::vector<wire::WorkerCommand>& commands,
                     std::function<void(CommandResult)> done) override;

 private:
  /// The connection to one worker. A command RPC in flight holds a reference to it.
  struct PooledConnection {
    PooledConnection(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint)
        : client(io, endpoint, /*max_connections=*/1) {}
    net::HttpClient client;
    std::size_t rpcs_in_flight = 0;
    std::uint64_t last_use = 0;  ///< value of `use_count_` at the latest RPC
  };

  /// The connection to the worker at this address, opened if there is none. Throws
  /// std::invalid_argument when the address can't be parsed.
  [[nodiscard]] std::shared_ptr<PooledConnection> connection_to(const std::string& addr);
  /// Closes the least recently used connection without RPCs in flight, except `excluded`.
  void close_least_recently_used(const PooledConnection& excluded);

  asio::io_context& io_;
  std::size_t max_connections_;
  std::map<std::string, std::shared_ptr<PooledConnection>> connections_;  ///< by address
  std::uint64_t use_count_ = 0;  ///< number of RPCs so far; orders the connections by last use
};

}  // namespace elmstall::clients
