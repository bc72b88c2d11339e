/// @file
/// One controller. It owns all state of its process and wires the units together:
/// users' requests, heartbeats of workers, messages of other controllers, the mirror
/// of the records, elections, and the leader while this node leads.
///
/// Everything runs as commands of one queue, on the event loop's thread.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "api/user_api.hpp"
#include "controller/heartbeat_router.hpp"
#include "controller/leader.hpp"
#include "controller/machine_type_source.hpp"
#include "controller/peer_monitor.hpp"
#include "controller/peer_outbox.hpp"
#include "controller/routes.hpp"
#include "election/election.hpp"
#include "election/leadership_renewal.hpp"
#include "election/term_tracker.hpp"
#include "election/zone_delegate.hpp"
#include "peer/transport.hpp"
#include "store/mirror_follower.hpp"

namespace elmstall::controller {

/// The state of one controller process.
class Node {
 public:
  /// The node's connections to the outside. They have to outlive it.
  struct Ports {
    runtime::EventLoop& event_loop;  ///< clock and timers
    store::StateStore& store;        ///< client of the state store
    clients::Cloud& cloud;           ///< lists, provisions and terminates machines
    clients::WorkerRpc& worker_rpc;  ///< sends command RPCs to workers
  };

  /// `incarnation` differs from that of every earlier process of this node.
  Node(const config::Settings& settings, Ports ports, const std::string& incarnation);

  /// Begins to work. The transport hands messages to `on_message`, so it is made after the node.
  /// It has to exist as long as the node works.
  void start(peer::Transport& transport);
  /// Takes a request of a user, a worker or the load balancer. Safe to call from I/O callbacks,
  /// because it only queues a command.
  void on_request(net::Request request, net::Responder respond);
  /// Takes a message of another controller. Only queues a command, like `on_request`.
  void on_message(peer::Message message);

  /// Whether this node can take users' requests.
  [[nodiscard]] bool ready() const;
  /// The leader's state while this node leads, else null.
  [[nodiscard]] Leader* leader() { return leader_.get(); }
  /// How many answers about jobs this node has given, by the source of each answer.
  [[nodiscard]] const api::AnswerCounts& answer_counts() const { return user_api_.answer_counts(); }
  /// This node's replica of the records.
  [[nodiscard]] const store::Mirror& mirror() const { return mirror_; }

 private:
  void handle(const net::Request& request, net::Responder respond);

  // heartbeats of workers
  void on_heartbeat(const std::string& body, net::Responder respond);
  void on_forwarded_heartbeat(const peer::ForwardedHeartbeat& forwarded);
  /// Decodes a heartbeat and takes in the term of its token. A malformed one is refused with 400,
  /// and the result is empty.
  std::optional<wire::WorkerHeartbeat> decode_heartbeat(const std::string& body,
                                                        const net::Responder& respond);

  // other controllers
  void handle(const peer::Message& message);
  void send_peer_heartbeat();
  void on_peer_heartbeat(const peer::Heartbeat& heartbeat);
  /// Notifies the other controllers of a cancellation that this node has recorded, so that the
  /// leader acts on it at once (rule 8).
  void broadcast_cancellation(const std::string& job);
  void on_cancellation(const std::string& job);

  // connectivity
  [[nodiscard]] bool leader_reachable() const;
  /// Whether the state store has replied within the last `within_s` seconds.
  [[nodiscard]] bool state_reachable(double within_s) const;
  /// Seconds since the mirror was known to be current, for the log.
  [[nodiscard]] double records_age() const;
  /// Whether every controller is reachable, and the state store replies to none of them.
  [[nodiscard]] bool common_outage() const;
  [[nodiscard]] election::Connectivity connectivity() const;

  // records
  void on_records_changed(const std::vector<store::Key>& keys);
  void use_machine_types(std::vector<wire::MachineType> machine_types);

  // leadership
  void learn_term(std::uint64_t term, const std::string& leader);
  void become_leader(const election::Candidacy& candidacy);
  void step_down(const char* reason);

  void tick();
  /// Requests a read index at regular intervals. Its success shows that the state store is
  /// reachable, and prolongs the leader lease.
  void probe_state_store(double now);
  void after_batch();

  const config::Settings& settings_;
  runtime::EventLoop& loop_;
  store::StateStore& store_;
  clients::Cloud& cloud_;
  clients::WorkerRpc& worker_rpc_;
  runtime::CommandQueue queue_;
  runtime::CommandScope scope_;
  store::Mirror mirror_;
  store::MirrorFollower mirror_follower_;
  election::ReadIndex read_index_;
  election::TermTracker terms_;
  election::Election election_;
  election::ZoneDelegate zone_delegate_;
  PeerMonitor peers_;
  PeerOutbox outbox_;
  HeartbeatRouter heartbeat_router_;
  api::UserApi user_api_;
  MachineTypeSource machine_type_source_;
  std::vector<wire::MachineType> machine_types_;
  std::unique_ptr<Leader> leader_;
  std::optional<election::LeadershipRenewal> renewal_;  ///< while this node leads
  double next_peer_heartbeat_ = 0;
  double next_probe_ = 0;
  double next_answer_counts_log_ = 0;      ///< when the numbers of answers are logged next
  bool reported_leader_reachable_ = true;  ///< in the last heartbeat to peers
};

}  // namespace elmstall::controller
