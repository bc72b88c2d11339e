#include "clients/worker_rpc_client.hpp"

#include <algorithm>

#include "config/constants.hpp"
#include "config/endpoint.hpp"

namespace elmstall::clients {
namespace {

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
      result.outcome = reply.never_sent ? Outcome::never : Outcome::unknown;
      return result;
    default:
      return result;
  }
  try {
    result.heartbeat = wire::decode_heartbeat(wire::Document::parse(reply.body).root());
  } catch (const wire::DecodeError&) {
    // Executed or not, what the machine holds now is not known.
    result.outcome = Outcome::unknown;
  }
  return result;
}

}  // namespace

std::shared_ptr<WorkerRpcClient::Line> WorkerRpcClient::line(const std::string& addr) {
  auto& slot = lines_[addr];
  if (!slot) {
    slot = std::make_shared<Line>(io_, config::parse_endpoint(addr));
    if (lines_.size() > max_connections_) {
      // The one that was not needed for the longest time.
      auto oldest = lines_.end();
      for (auto it = lines_.begin(); it != lines_.end(); ++it) {
        if (it->second != slot && it->second->in_use == 0 &&
            (oldest == lines_.end() || it->second->used < oldest->second->used))
          oldest = it;
      }
      auto kept = slot;
      if (oldest != lines_.end()) lines_.erase(oldest);
      return kept;
    }
  }
  return slot;
}

void WorkerRpcClient::send_commands(const std::string& addr, std::uint64_t token,
                                    std::uint64_t epoch,
                                    const std::vector<wire::WorkerCommand>& commands,
                                    std::function<void(CommandResult)> done) {
  std::shared_ptr<Line> to;
  try {
    to = line(addr);
  } catch (const std::invalid_argument&) {
    asio::post(io_, [done = std::move(done)] {
      done({CommandResult::Outcome::never, std::nullopt});
    });
    return;
  }
  ++to->in_use;
  to->used = ++uses_;
  to->client.request("POST", "/orders", wire::encode_direct_commands(token, epoch, commands),
                     constants::kCommandRpcTimeout,
                     [to, done = std::move(done)](const net::Reply& reply) {
                       --to->in_use;
                       done(result_of(reply));
                     });
}

}  // namespace elmstall::clients
