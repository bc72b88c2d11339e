#include "app/controller_process.hpp"

#include <algorithm>
#include <utility>

#include "app/asio_event_loop.hpp"
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

/// Minimum shares of the state service's rate limits that a single node may use. Any node may
/// become the leader, which needs most of the requests and of the writes. The shares of all nodes
/// may therefore exceed the limits in total; the service then rejects requests, which are retried.
constexpr double kMinRequestShare = 0.5;
constexpr double kMinWriteShare = 0.6;

store::RateShare rate_share(const config::Settings& settings) {
  const auto nodes = static_cast<double>(settings.peers.size() + 1);
  const auto limits = settings.state_limits();
  return {limits.rps * std::max(kMinRequestShare, 1 / nodes),
          limits.write_rps * std::max(kMinWriteShare, 1 / nodes)};
}

/// Limits of the HTTP server, derived from the process's file descriptor limit.
net::ServerLimits server_limits(const config::Settings& settings) {
  const double inbound = settings.fd_limit * constants::kInboundSocketShare;
  return {static_cast<std::size_t>(inbound), constants::kMaxBodyBytes,
          static_cast<std::size_t>(inbound * constants::kWorkerKeepAliveShare)};
}

}  // namespace

/// The members are declared in the order of their dependencies: the node uses the clients declared
/// before it, and the transport and the server declared after it call the node.
struct ControllerProcess::Parts {
  Parts(asio::io_context& io, config::Settings process_settings)
      : settings(std::move(process_settings)),
        event_loop(io),
        store(io, config::parse_endpoint(settings.state_endpoint), rate_share(settings)),
        cloud(io, config::parse_endpoint(settings.cloud_endpoint)),
        worker_rpc(io, static_cast<std::size_t>(settings.fd_limit * constants::kWorkerSocketShare)),
        node(settings, {event_loop, store, cloud, worker_rpc}, event_loop.make_incarnation()),
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

ControllerProcess::ControllerProcess(asio::io_context& io, const config::Settings& settings)
    : parts_(std::make_unique<Parts>(io, settings)) {}
ControllerProcess::~ControllerProcess() = default;

}  // namespace elmstall::app
