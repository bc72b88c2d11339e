/// @file
/// Routes workers' heartbeats to the controller that may reply to them: the leader, or the zone
/// delegate while the leader is unreachable.
///
/// Workers send their heartbeats to a controller of their own zone, which forwards them
/// to the leader. When the zone is partitioned or the leader fails, the workers already reach a
/// controller that can renew their leases (docs/design.md, "Forwarding"). Runs on the controller's
/// event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "config/settings.hpp"
#include "controller/peer_monitor.hpp"
#include "controller/peer_outbox.hpp"
#include "election/term_tracker.hpp"
#include "election/zone_delegate.hpp"

namespace elmstall::controller {

class Leader;

/// Routes the heartbeats that workers send to this node.
class HeartbeatRouter {
 public:
  /// What the router works with. The references have to outlive it.
  struct Context {
    const config::Settings& settings;       ///< settings of this controller
    const runtime::EventLoop& event_loop;   ///< clock
    const PeerMonitor& peers;               ///< status that the other controllers report
    const election::TermTracker& terms;     ///< highest known term and its leader
    election::ZoneDelegate& zone_delegate;  ///< replies while the leader is unreachable
    PeerOutbox& outbox;                     ///< sends messages to other controllers
    /// Returns the leader's state if this node leads, else null.
    std::function<Leader*()> leader;
    /// Returns how this node is connected at the moment of the call.
    std::function<election::Connectivity()> connectivity;
  };

  /// Keeps the context; routes nothing yet. `incarnation` differs from that of every earlier
  /// process of this node.
  HeartbeatRouter(Context context, const std::string& incarnation);

  /// Routes a heartbeat that a worker sent to this node. `body`: the message as it was received.
  void on_heartbeat(wire::WorkerHeartbeat heartbeat, const std::string& body,
                    net::Responder respond);
  /// Passes the leader's reply to a forwarded heartbeat on to the worker. Does nothing if the
  /// worker was already refused.
  void on_forwarded_reply(const peer::ForwardedReply& reply);
  /// Sends heartbeats that wait to the present leader or the zone delegate, and
  /// refuses those past their deadline.
  void tick();

 private:
  struct Forwarded {
    election::PendingHeartbeat heartbeat;
    std::string leader;  ///< to which it was sent
  };
  struct Redirect {
    std::string node;
    double at = 0;
  };

  [[nodiscard]] bool leader_reachable() const { return context_.connectivity().leader_reachable; }
  /// Sends the worker to a node of its zone; false if it is to be served here.
  bool redirect_to_zone(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond);
  void forward(election::PendingHeartbeat heartbeat);
  /// Routes a heartbeat that has waited. If this node leads by now, its leader replies.
  void route_again(election::PendingHeartbeat heartbeat);

  Context context_;
  std::map<std::uint64_t, Forwarded> forwarded_;  ///< by the number they were sent under
  /// A reply names only this number, and may be meant for an earlier process of this node. So no
  /// two processes use the same numbers.
  std::uint64_t next_forward_;
  std::map<std::string, Redirect> redirects_;  ///< by machine
};

}  // namespace elmstall::controller
