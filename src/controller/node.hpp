// One controller: the owner of all state of its process.
#pragma once

#include <memory>

#include "api/user_api.hpp"
#include "config/constants.hpp"
#include "controller/leader.hpp"
#include "election/zone_delegate.hpp"
#include "peer/transport.hpp"

namespace elmstall::controller {

class Node {
 public:
  struct Ports {
    runtime::EventLoop& event_loop;
    store::StateStore& store;
    clients::Cloud& cloud;
    clients::WorkerRpc& worker_rpc;
  };

  /// `incarnation`: differs from that of every earlier process of this node.
  Node(const config::Settings& settings, Ports ports, std::string incarnation);

  /// The peer network hands its messages to `on_message`, so it is made after the node.
  void start(peer::Transport& transport);
  void on_request(net::Request request, net::Responder respond);
  void on_message(peer::Message message);

  [[nodiscard]] bool ready() const;
  [[nodiscard]] Leader* leader() { return leader_.get(); }
  [[nodiscard]] const store::Mirror& mirror() const { return mirror_; }

 private:
  struct Peer {
    double heard = -1e18;
    bool state_reachable = true;
    bool leader_heard = true;
    reconcile::PeerReadState read_state;
  };
  struct Forwarded {
    election::ZoneDelegate::Waiting waiting;
    std::string leader;
  };
  /// One attempt to be elected. Its transaction may be applied long after it
  /// was given up, so each has its own lease, time and name.
  struct Candidacy {
    std::string name;
    std::uint64_t lease = 0;
    double sent = 0;
  };
  struct Redirect {
    std::string node;
    double at = -1e18;
  };

  void handle(const net::Request& request, net::Responder respond);
  void on_heartbeat(const std::string& body, net::Responder respond, bool forwarded);
  /// Sends the worker to a node of its zone, if it should go there.
  bool redirect_to_zone(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond);
  void forward_heartbeat(election::ZoneDelegate::Waiting waiting);
  /// For a heartbeat that has waited: the leader answers it if that is this node
  /// by now.
  void dispatch_waiting(election::ZoneDelegate::Waiting waiting);
  void retry_or_expire_forwarded();
  [[nodiscard]] bool heard(const std::string& peer) const;
  [[nodiscard]] bool leader_heard() const;
  /// Every controller is heard, and the state service answers none of them.
  [[nodiscard]] bool common_outage() const;
  [[nodiscard]] election::ZoneDelegate::View view() const;
  void tick();
  void after_batch();
  /// Sends what is queued for other controllers, heartbeats and answers a few at a
  /// time.
  void flush_peer_messages();

  // mirror
  void load(const std::string& since);
  void watch();
  void changed(const std::vector<store::Key>& keys);

  // machine types
  void fetch_types();
  void use_types(std::vector<wire::MachineType> machine_types);

  // leadership
  [[nodiscard]] bool leadership_open() const;
  /// The candidacy that the records show as won, if it is ours to act on.
  [[nodiscard]] std::optional<Candidacy> won() const;
  void consider_election();
  void start_election();
  void request_leadership(std::uint64_t lease);
  /// Unless elected by then: another try is allowed after so many seconds.
  void back_off(double after_s);
  void become_leader(const Candidacy& candidacy);
  void step_down(const char* why);
  void renew();
  void learn_term(std::uint64_t term, const std::string& leader);

  // peer network
  void send_peer_heartbeat();
  void on_peer_heartbeat(const peer::Heartbeat& send_peer_heartbeat);
  /// A cancellation was recorded here: the leader hears of it at once.
  void broadcast_cancellation(const std::string& job);
  void on_cancellation(const std::string& job);
  /// The state service answered within this many seconds.
  [[nodiscard]] bool state_reachable(double within_s = constants::kUnreadyAfter) const;

  const config::Settings& settings_;
  runtime::EventLoop& loop_;
  store::StateStore& store_;
  clients::Cloud& cloud_;
  clients::WorkerRpc& worker_rpc_;
  peer::Transport* transport_ = nullptr;
  std::string incarnation_;
  runtime::CommandQueue queue_;
  runtime::CommandScope scope_;
  store::Mirror mirror_;
  election::ReadIndex read_index_;
  api::UserApi user_api_;
  election::ZoneDelegate zone_delegate_;
  std::unique_ptr<Leader> leader_;
  std::vector<wire::MachineType> machine_types_;
  bool types_recorded_ = false;

  std::uint64_t known_term_ = 0;  ///< highest heard of, from records or peers
  std::string known_leader_;
  bool election_running_ = false;
  std::vector<Candidacy> candidacies_;  ///< that may still win, latest last
  std::uint64_t next_candidacy_ = 1;
  bool refused_layout_ = false;  ///< said so
  double election_at_ = -1;
  std::uint64_t lease_ = 0;  ///< that `lead` hangs on
  double next_renew_ = 0;
  double next_peer_heartbeat_ = 0;
  bool urgent_messages_ = false;  ///< queued for other controllers; not to be delayed
  bool forwarding_ = false;       ///< heartbeats or answers are queued for them
  double next_flush_ = state::kNever;
  runtime::CoalescingTimer flush_wake_;
  bool told_leader_heard_ = true;  ///< in the last heartbeat
  double next_probe_ = 0;
  std::map<std::string, Peer> peers_;
  std::map<std::uint64_t, Forwarded> forwarded_;
  std::map<std::string, Redirect> redirects_;
  std::uint64_t next_forward_ = 1;
};

}  // namespace elmstall::controller
