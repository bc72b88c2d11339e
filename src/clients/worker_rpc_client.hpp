#pragma once

#include <asio.hpp>
#include <deque>
#include <map>
#include <memory>

#include "clients/worker_rpc.hpp"
#include "net/http_client.hpp"

namespace elmstall::clients {

/// Keeps the connections of the workers it spoke to last, up to a bound.
class WorkerRpcClient : public WorkerRpc {
 public:
  WorkerRpcClient(asio::io_context& io, std::size_t max_connections)
      : io_(io), max_connections_(max_connections) {}

  void send_commands(const std::string& addr, std::uint64_t token, std::uint64_t epoch,
                     const std::vector<wire::WorkerCommand>& commands,
                     std::function<void(CommandResult)> done) override;

 private:
  struct Line {
    Line(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint) : client(io, endpoint, 1) {}
    net::HttpClient client;
    std::size_t in_use = 0;
    std::uint64_t used = 0;
  };
  [[nodiscard]] std::shared_ptr<Line> line(const std::string& addr);

  asio::io_context& io_;
  std::size_t max_connections_;
  std::map<std::string, std::shared_ptr<Line>> lines_;
  std::uint64_t uses_ = 0;
};

}  // namespace elmstall::clients
