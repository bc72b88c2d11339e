// Brings workers' heartbeats to whoever may reply to them: the leader, or the zone
// delegate while the leader is not heard.
//
// Workers report to a controller of their own zone, which forwards their heartbeats
// to the leader. When the zone is cut off, or the leader ends, they are already where
// their leases can be kept alive (docs/design.md, "Forwarding").
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

class HeartbeatRouter {
 public:
  struct Context {
    const config::Settings& settings;
    const runtime::EventLoop& event_loop;
    const PeerMonitor& peers;
    const election::TermTracker& terms;
    election::ZoneDelegate& zone_delegate;
    PeerOutbox& outbox;
    /// The leader, if this node leads.
    std::function<Leader*()> leader;
    std::function<election::Connectivity()> connectivity;
  };

  explicit HeartbeatRouter(Context context) : context_(std::move(context)) {}

  /// A heartbeat that a worker sent to this node.
  void on_heartbeat(wire::WorkerHeartbeat heartbeat, const std::string& body,
                    net::Responder respond);
  /// The reply to a heartbeat that was forwarded.
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

  [[nodiscard]] bool leader_heard() const { return context_.connectivity().leader_heard; }
  /// Sends the worker to a node of its zone; false if it is to be served here.
  bool redirect_to_zone(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond);
  void forward(election::PendingHeartbeat heartbeat);
  /// For one that has waited: the leader replies if that is this node by now.
  void route_again(election::PendingHeartbeat heartbeat);

  Context context_;
  std::map<std::uint64_t, Forwarded> forwarded_;  ///< by the number they were sent under
  std::uint64_t next_forward_ = 1;
  std::map<std::string, Redirect> redirects_;  ///< by machine
};

}  // namespace elmstall::controller
