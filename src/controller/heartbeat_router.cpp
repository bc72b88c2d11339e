#include "controller/heartbeat_router.hpp"

#include <functional>
#include <utility>

#include "config/constants.hpp"
#include "controller/leader.hpp"

namespace elmstall::controller {

namespace k = constants;

namespace {

constexpr int kMisdirected = 421;
constexpr int kServiceUnavailable = 503;

/// Set in all numbers of forwarded heartbeats. Processes of versions that count from 1 use none of
/// them.
constexpr std::uint64_t kForwardNumberFlag = std::uint64_t{1} << 63;

/// The number under which the process forwards first. Two processes begin so far apart that neither
/// reaches the numbers of the other.
std::uint64_t first_forward_number(const std::string& incarnation) {
  return kForwardNumberFlag | std::hash<std::string>{}(incarnation);
}

}  // namespace

HeartbeatRouter::HeartbeatRouter(Context context, const std::string& incarnation)
    : context_(std::move(context)), next_forward_(first_forward_number(incarnation)) {}

void HeartbeatRouter::on_heartbeat(wire::WorkerHeartbeat heartbeat, const std::string& body,
                                   net::Responder respond) {
  if (redirect_to_zone(heartbeat, respond)) return;
  if (auto* leader = context_.leader()) return leader->on_heartbeat(heartbeat, respond);
  const double deadline = context_.event_loop.now() + k::kForwardTimeout;
  forward({std::move(heartbeat), body, std::move(respond), deadline});
}

bool HeartbeatRouter::redirect_to_zone(const wire::WorkerHeartbeat& heartbeat,
                                       const net::Responder& respond) {
  if (heartbeat.zone == context_.settings.zone) return false;
  const double now = context_.event_loop.now();
  auto& last = redirects_[heartbeat.machine];
  // A worker that returns so soon could not reach the node that it was redirected to.
  if (!last.node.empty() && now - last.at < k::kRedirectRetention) return false;
  for (const auto& peer : context_.settings.peers) {
    if (peer.zone != heartbeat.zone || !context_.peers.reachable(peer.name)) continue;
    last = {peer.name, now};
    respond({kMisdirected, wire::encode_redirect(peer.name), 0});
    return true;
  }
  return false;
}

void HeartbeatRouter::forward(election::PendingHeartbeat heartbeat) {
  const auto& leader = context_.terms.leader();
  if (context_.zone_delegate.active() || !leader_reachable()) {
    if (leader.empty()) return heartbeat.respond({kServiceUnavailable, {}, 0});
    return context_.zone_delegate.on_heartbeat(std::move(heartbeat), context_.connectivity());
  }
  const auto id = next_forward_++;
  context_.outbox.send_collected(
      leader, peer::ForwardedHeartbeat{context_.settings.node, id, heartbeat.body});
  forwarded_[id] = {std::move(heartbeat), leader};
}

void HeartbeatRouter::on_forwarded_reply(const peer::ForwardedReply& reply) {
  auto forwarded = forwarded_.extract(reply.id);
  if (forwarded.empty()) return;
  forwarded.mapped().heartbeat.respond({reply.status, reply.body, 0});
}

void HeartbeatRouter::route_again(election::PendingHeartbeat heartbeat) {
  if (auto* leader = context_.leader())
    return leader->on_heartbeat(heartbeat.heartbeat, heartbeat.respond);
  forward(std::move(heartbeat));
}

void HeartbeatRouter::tick() {
  const double now = context_.event_loop.now();
  std::erase_if(redirects_,
                [&](const auto& entry) { return now - entry.second.at > k::kRedirectRetention; });
  // Heartbeats that waited for a delegation while no leader was reachable.
  const bool leader_available =
      context_.leader() != nullptr || (leader_reachable() && !context_.zone_delegate.active());
  if (leader_available) {
    for (auto& pending : context_.zone_delegate.take_waiting()) route_again(std::move(pending));
  }
  auto forwarded = std::exchange(forwarded_, {});
  for (auto& [id, entry] : forwarded) {
    const bool leader_changed = context_.leader() != nullptr ||
                                entry.leader != context_.terms.leader() || !leader_reachable();
    if (now >= entry.heartbeat.deadline) {
      entry.heartbeat.respond({kServiceUnavailable, {}, 0});
    } else if (leader_changed) {
      route_again(std::move(entry.heartbeat));
    } else {
      forwarded_[id] = std::move(entry);
    }
  }
}

}  // namespace elmstall::controller
