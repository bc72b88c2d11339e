#include "controller/node.hpp"

#include <spdlog/spdlog.h>

#include <utility>

#include "config/constants.hpp"
#include "wire/fencing_token.hpp"

namespace elmstall::controller {

namespace k = constants;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kServiceUnavailable = 503;

/// Seconds between two read indexes of one node, so that all nodes together keep to
/// their share of the state store's requests.
double read_index_interval(const config::Settings& settings) {
  const auto nodes = static_cast<double>(settings.peers.size() + 1);
  return nodes / (k::kReadIndexShare * settings.state_limits().rps);
}

/// A worker connects again after its connection was closed. When connections run out, users and
/// the load balancer therefore take precedence over workers.
net::Responder low_priority(net::Responder respond) {
  return [respond = std::move(respond)](net::Response response) {
    response.close_over_soft_limit = true;
    respond(std::move(response));
  };
}

}  // namespace

Node::Node(const config::Settings& settings, Ports ports, const std::string& incarnation)
    : settings_(settings),
      loop_(ports.event_loop),
      store_(ports.store),
      cloud_(ports.cloud),
      worker_rpc_(ports.worker_rpc),
      queue_(ports.event_loop, [this] { after_batch(); }),
      scope_(queue_),
      mirror_follower_(
          {ports.event_loop, queue_, ports.store, mirror_,
           [this](const std::vector<store::Key>& keys) { on_records_changed(keys); },
           [this] { return leader_ ? k::kWatchPauseLeader : k::kWatchPauseFollower; }}),
      read_index_(ports.event_loop, queue_, ports.store, mirror_, read_index_interval(settings)),
      election_({settings, ports.event_loop, queue_, ports.store, mirror_, terms_,
                 [this](const election::Candidacy& candidacy) { become_leader(candidacy); }},
                incarnation),
      zone_delegate_({settings, ports.event_loop, queue_, ports.store, mirror_, read_index_}),
      peers_(settings, ports.event_loop),
      outbox_(ports.event_loop, queue_),
      heartbeat_router_({settings, ports.event_loop, peers_, terms_, zone_delegate_, outbox_,
                         [this] { return leader_.get(); }, [this] { return connectivity(); }},
                        incarnation),
      user_api_(settings, ports.event_loop, queue_, ports.store, mirror_, read_index_,
                [this](const std::string& job) { broadcast_cancellation(job); }),
      machine_type_source_(ports.event_loop, queue_, ports.cloud,
                           [this](std::vector<wire::MachineType> machine_types) {
                             use_machine_types(std::move(machine_types));
                           }) {}

void Node::start(peer::Transport& transport) {
  outbox_.connect(transport);
  queue_.post([this] {
    mirror_follower_.start();
    machine_type_source_.fetch();
    tick();
  });
}

// --- requests ----------------------------------------------------------------------

void Node::on_request(net::Request request, net::Responder respond) {
  queue_.post([this, request = std::move(request), respond = std::move(respond)]() mutable {
    handle(request, std::move(respond));
  });
}

void Node::handle(const net::Request& request, net::Responder respond) {
  const auto route = find_route(request.method, request.path);
  switch (route.endpoint) {
    case Endpoint::ready:
      return respond({ready() ? kOk : kServiceUnavailable, {}, 0});
    case Endpoint::heartbeat:
      return on_heartbeat(request.body, low_priority(std::move(respond)));
    case Endpoint::submit_job:
      return user_api_.submit(request.body, std::move(respond));
    case Endpoint::poll_job:
      return user_api_.poll(route.job_id, std::move(respond));
    case Endpoint::cancel_job:
      return user_api_.cancel(route.job_id, std::move(respond));
    case Endpoint::wrong_method:
      return respond({kMethodNotAllowed, {}, 0});
    case Endpoint::not_found:
      return respond({kNotFound, {}, 0});
  }
}

bool Node::ready() const {
  if (!mirror_.loaded() || machine_types_.empty()) return false;
  if (state_reachable(k::kUnreadyAfter)) return true;
  // When an outage affects every controller, removing all of them from the load balancer is of no
  // use. At least one reachable controller must confirm the outage; others are not counted.
  return peers_.reachable_peers_without_state_store();
}

// --- heartbeats of workers -------------------------------------------------------------

std::optional<wire::WorkerHeartbeat> Node::decode_heartbeat(const std::string& body,
                                                            const net::Responder& respond) {
  try {
    auto heartbeat = wire::decode_heartbeat(wire::Document::parse(body).root());
    // A worker that has received a token of a later term drops replies of an earlier one, and would
    // keep sending its heartbeats to this node until its lease expires (rule 5).
    learn_term(wire::term_of_token(heartbeat.token), "");
    return heartbeat;
  } catch (const wire::DecodeError& error) {
    spdlog::error("a worker's heartbeat can't be read: {}", error.what());
    respond({kBadRequest, {}, 0});
    return std::nullopt;
  }
}

void Node::on_heartbeat(const std::string& body, net::Responder respond) {
  auto heartbeat = decode_heartbeat(body, respond);
  if (heartbeat) heartbeat_router_.on_heartbeat(std::move(*heartbeat), body, std::move(respond));
}

void Node::on_forwarded_heartbeat(const peer::ForwardedHeartbeat& forwarded) {
  const auto respond = [this, node = forwarded.node,
                        id = forwarded.id](const net::Response& response) {
    outbox_.send_collected(node, peer::ForwardedReply{id, response.status, response.body});
  };
  const auto heartbeat = decode_heartbeat(forwarded.body, respond);
  if (!heartbeat) return;
  // Only the leader may reply to what another node forwards.
  if (!leader_) return respond({kServiceUnavailable, {}, 0});
  leader_->on_heartbeat(*heartbeat, respond);
}

// --- other controllers -----------------------------------------------------------------

void Node::on_message(peer::Message message) {
  queue_.post([this, message = std::move(message)] { handle(message); });
}

void Node::handle(const peer::Message& message) {
  if (const auto* heartbeat = std::get_if<peer::Heartbeat>(&message)) {
    on_peer_heartbeat(*heartbeat);
  } else if (const auto* cancelled = std::get_if<peer::Cancelled>(&message)) {
    on_cancellation(cancelled->job);
  } else if (const auto* forwarded = std::get_if<peer::ForwardedHeartbeat>(&message)) {
    on_forwarded_heartbeat(*forwarded);
  } else if (const auto* reply = std::get_if<peer::ForwardedReply>(&message)) {
    heartbeat_router_.on_forwarded_reply(*reply);
  }
}

void Node::send_peer_heartbeat() {
  const double now = loop_.now();
  next_peer_heartbeat_ = now + k::kPeerHeartbeatInterval;
  reported_leader_reachable_ = leader_reachable();
  peer::Heartbeat heartbeat;
  heartbeat.node = settings_.node;
  heartbeat.term = terms_.term();
  heartbeat.leader = terms_.leader();
  heartbeat.state_reachable = state_reachable(k::kUnreadyAfter);
  heartbeat.leader_reachable = reported_leader_reachable_;
  heartbeat.revision = mirror_.loaded() ? mirror_.revision() : 0;
  heartbeat.last_reply_age_s = now - zone_delegate_.replied_at();
  outbox_.broadcast(heartbeat);
}

void Node::on_peer_heartbeat(const peer::Heartbeat& heartbeat) {
  peers_.on_heartbeat(heartbeat);
  learn_term(heartbeat.term, heartbeat.leader);
}

void Node::broadcast_cancellation(const std::string& job) {
  outbox_.broadcast(peer::Cancelled{job});
  on_cancellation(job);
}

void Node::on_cancellation(const std::string& job) {
  if (leader_) leader_->on_cancellation(job);
}

// --- connectivity ----------------------------------------------------------------------

bool Node::leader_reachable() const { return leader_ || peers_.reachable(terms_.leader()); }

bool Node::state_reachable(double within_s) const {
  return loop_.now() - read_index_.last_success() < within_s;
}

double Node::records_age() const { return loop_.now() - read_index_.current_as_of(); }

bool Node::common_outage() const {
  return !state_reachable(k::kUnreadyAfter) && peers_.all_without_state_store();
}

election::Connectivity Node::connectivity() const {
  election::Connectivity connectivity;
  connectivity.leader_reachable = leader_reachable();
  connectivity.state_reachable = state_reachable(k::kPeerTimeout);
  if (!connectivity.leader_reachable && !connectivity.state_reachable)
    connectivity.cut_off_zone_peer = peers_.zone_peer_without_leader();
  return connectivity;
}

// --- records -----------------------------------------------------------------------------

void Node::on_records_changed(const std::vector<store::Key>& keys) {
  if (const auto& lead = mirror_.lead()) learn_term(lead->term, lead->node);
  learn_term(mirror_.term(), terms_.leader());
  if (leader_) leader_->on_change(keys);
  if (machine_types_.empty() && mirror_.machine_types())
    use_machine_types(mirror_.machine_types()->record.types);
  read_index_.check();
  election_.evaluate();
}

void Node::use_machine_types(std::vector<wire::MachineType> machine_types) {
  machine_types_ = std::move(machine_types);
  user_api_.set_machine_types(machine_types_);
  if (leader_) leader_->set_machine_types(machine_types_);
}

// --- leadership ----------------------------------------------------------------------------

void Node::learn_term(std::uint64_t term, const std::string& leader) {
  terms_.learn(term, leader);
  if (leader_ && leader_->term() < terms_.term()) step_down("a higher term is known");
}

void Node::become_leader(const election::Candidacy& candidacy) {
  zone_delegate_.end("this node leads");
  const auto term = mirror_.term();
  const Leader::Context context{settings_,
                                loop_,
                                queue_,
                                store_,
                                cloud_,
                                worker_rpc_,
                                mirror_,
                                read_index_,
                                [this](const std::string& peer) { return peers_.read_state(peer); },
                                [this] { return common_outage(); },
                                [this] { step_down("the term is over"); }};
  leader_ = std::make_unique<Leader>(context, term, mirror_.term_revision(), candidacy.sent_at);
  renewal_.emplace(
      election::LeadershipRenewal::Context{loop_, queue_, store_, mirror_,
                                           [this](double sent_at) { leader_->confirm(sent_at); },
                                           [this](const char* reason) { step_down(reason); }},
      candidacy.lease);
  terms_.set(term, settings_.node);
  spdlog::info("elected: term={} token={} incarnation={} lease={} revision={} records_age={:.2f}s",
               term, wire::first_token_of_term(term), candidacy.name, candidacy.lease,
               mirror_.term_revision(), records_age());
  if (!machine_types_.empty()) leader_->set_machine_types(machine_types_);
  send_peer_heartbeat();
}

void Node::step_down(const char* reason) {
  if (!leader_) return;
  spdlog::info("no longer leading in term {}: {} (known term={} revision={} records_age={:.2f}s)",
               leader_->term(), reason, terms_.term(), mirror_.revision(), records_age());
  leader_.reset();
  renewal_.reset();
  election_.resign();
  if (terms_.leader() == settings_.node) terms_.clear_leader();
}

// --- periodic work ---------------------------------------------------------------------------

void Node::tick() {
  const double now = loop_.now();
  loop_.after(k::kTickInterval, scope_.wrap([this] { tick(); }));
  probe_state_store(now);
  if (now >= next_answer_counts_log_) {
    next_answer_counts_log_ = now + k::kAnswerCountsLogInterval;
    user_api_.log_answer_counts();
  }
  heartbeat_router_.tick();
  election_.evaluate();
  zone_delegate_.tick(connectivity());
  if (renewal_) renewal_->tick(machine_types_);
  if (leader_) leader_->tick();
  const bool leader_reachable_changed = reported_leader_reachable_ != leader_reachable();
  if (now >= next_peer_heartbeat_ || leader_reachable_changed) send_peer_heartbeat();
}

void Node::probe_state_store(double now) {
  if (now >= next_probe_) {
    next_probe_ = now + k::kProbeInterval;
    read_index_.request(k::kProbeInterval, [](const election::LinearizableRead*) {});
  }
  read_index_.check();
}

void Node::after_batch() {
  if (leader_) leader_->after_batch();
  outbox_.flush();
}

}  // namespace elmstall::controller
