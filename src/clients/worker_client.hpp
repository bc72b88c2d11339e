#pragma once

#include <asio.hpp>
#include <deque>
#include <map>
#include <memory>

#include "clients/workers.hpp"
#include "net/http_client.hpp"

namespace elmstall::clients {

/// Keeps the connections of the workers it spoke to last, up to a bound.
class WorkerClient : public Workers {
 public:
  WorkerClient(asio::io_context& io, std::size_t max_connections)
      : io_(io), max_connections_(max_connections) {}

  void order(const std::string& addr, std::uint64_t token, std::uint64_t session,
             const std::vector<wire::Order>& orders,
             std::function<void(OrdersResult)> done) override;

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
