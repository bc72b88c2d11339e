#include "clients/worker_rpc_client.hpp"

#include <stdexcept>
#include <utility>

#include "config/constants.hpp"
#include "config/endpoint.hpp"

namespace elmstall::clients {
namespace {

/// Path of a worker's HTTP interface that receives command RPCs.
constexpr std::string_view kCommandsPath = "/orders";

CommandResult result_of(const net::Reply& reply) {
  using Outcome = CommandResult::Outcome;
  CommandResult result;
  switch (reply.status) {
    case 200:
      result.outcome = Outcome::done;
      break;
    case 409:
      result.outcome = Outcome::refused;
      break;
    case 0:
      result.outcome = reply.never_sent ? Outcome::not_sent : Outcome::unknown;
      return result;
    default:
      return result;
  }
  try {
    result.heartbeat = wire::decode_heartbeat(wire::Document::parse(reply.body).root());
  } catch (const wire::DecodeError&) {
    // Whether or not the commands were executed, the state of the worker is unknown.
    result.outcome = Outcome::unknown;
  }
  return result;
}

}  // namespace

std::shared_ptr<WorkerRpcClient::PooledConnection> WorkerRpcClient::connection_to(
    const std::string& addr) {
  auto& entry = connections_[addr];
  if (entry) return entry;
  entry = std::make_shared<PooledConnection>(io_, config::parse_endpoint(addr));
  auto connection = entry;
  if (connections_.size() > max_connections_) close_least_recently_used(*connection);
  return connection;
}

void WorkerRpcClient::close_least_recently_used(const PooledConnection& excluded) {
  auto oldest = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    const auto& connection = *it->second;
    if (&connection == &excluded || connection.rpcs_in_flight > 0) continue;
    if (oldest == connections_.end() || connection.last_use < oldest->second->last_use) oldest = it;
  }
  if (oldest != connections_.end()) connections_.erase(oldest);
}

void WorkerRpcClient::send_commands(const std::string& addr, std::uint64_t token,
                                    std::uint64_t epoch,
                                    const std::vector<wire::WorkerCommand>& commands,
                                    std::function<void(CommandResult)> done) {
  std::shared_ptr<PooledConnection> connection;
  try {
    connection = connection_to(addr);
  } catch (const std::invalid_argument&) {
    asio::post(io_, [done = std::move(done)] {
      done({CommandResult::Outcome::not_sent, std::nullopt});
    });
    return;
  }
  ++connection->rpcs_in_flight;
  connection->last_use = ++use_count_;
  connection->client.request(
      "POST", kCommandsPath, wire::encode_direct_commands(token, epoch, commands),
      constants::kCommandRpcTimeout, [connection, done = std::move(done)](const net::Reply& reply) {
        --connection->rpcs_in_flight;
        done(result_of(reply));
      });
}

}  // namespace elmstall::clients
