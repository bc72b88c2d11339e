#include "app/controller.hpp"

#include <chrono>
#include <random>

#include "clients/cloud_client.hpp"
#include "clients/worker_rpc_client.hpp"
#include "config/constants.hpp"
#include "config/endpoint.hpp"
#include "controller/node.hpp"
#include "net/http_server.hpp"
#include "peer/tcp_transport.hpp"
#include "store/state_store_client.hpp"

namespace elmstall::app {
namespace {

/// The engine's time, chance and waiting on an Asio loop.
class AsioEventLoop : public runtime::EventLoop {
 public:
  explicit AsioEventLoop(asio::io_context& io) : io_(io), random_(std::random_device{}()) {}

  [[nodiscard]] double now() const override {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }
  [[nodiscard]] double wall() const override {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  [[nodiscard]] double random() override {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  void after(double seconds, std::function<void()> fn) override {
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
    timer->async_wait([timer, fn = std::move(fn)](asio::error_code error) {
      if (!error) fn();
    });
  }
  void defer(std::function<void()> fn) override { asio::post(io_, std::move(fn)); }
  [[nodiscard]] std::string incarnation() {
    return std::to_string(random_()) + std::to_string(random_());
  }

 private:
  asio::io_context& io_;
  std::mt19937_64 random_;
};

store::RateShare rate_share(const config::Settings& settings) {
  // Any node may be the leader, which needs most of the writes; the service
  // refuses what all together ask for beyond its limits, and that is retried.
  const auto nodes = static_cast<double>(settings.peers.size() + 1);
  const auto limits = settings.state_limits();
  return {limits.rps * std::max(0.5, 1 / nodes), limits.write_rps * std::max(0.6, 1 / nodes)};
}

net::ServerLimits server_limits(const config::Settings& settings) {
  const double inbound = settings.fd_limit * constants::kInboundSocketShare;
  return {static_cast<std::size_t>(inbound), constants::kMaxBodyBytes,
          static_cast<std::size_t>(inbound * constants::kCrowdedShare)};
}

}  // namespace

struct Controller::Parts {
  Parts(asio::io_context& io, config::Settings given)
      : settings(std::move(given)),
        event_loop(io),
        store(io, config::parse_endpoint(settings.state_endpoint), rate_share(settings)),
        cloud(io, config::parse_endpoint(settings.cloud_endpoint)),
        worker_rpc(io, static_cast<std::size_t>(settings.fd_limit * constants::kWorkerSocketShare)),
        node(settings, {event_loop, store, cloud, worker_rpc}, event_loop.incarnation()),
        transport(io, config::parse_endpoint(settings.peer_addr), settings.peers,
                  [this](peer::Message message) { node.on_message(std::move(message)); }),
        server(io, config::parse_endpoint(settings.api_addr), server_limits(settings),
               [this](net::Request request, net::Responder respond) {
                 node.on_request(std::move(request), std::move(respond));
               }) {
    node.start(transport);
  }

  config::Settings settings;
  AsioEventLoop event_loop;
  store::StateStoreClient store;
  clients::CloudClient cloud;
  clients::WorkerRpcClient worker_rpc;
  controller::Node node;
  peer::TcpTransport transport;
  net::HttpServer server;
};

Controller::Controller(asio::io_context& io, const config::Settings& settings)
    : parts_(std::make_unique<Parts>(io, settings)) {}
Controller::~Controller() = default;

}  // namespace elmstall::app
