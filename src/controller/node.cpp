#include "controller/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::controller {

namespace k = constants;
using store::Outcome;

Node::Node(const config::Settings& settings, Ports ports, std::string incarnation)
    : settings_(settings),
      loop_(ports.event_loop),
      store_(ports.store),
      cloud_(ports.cloud),
      worker_rpc_(ports.worker_rpc),
      incarnation_(std::move(incarnation)),
      queue_(ports.event_loop, [this] { after_batch(); }),
      scope_(queue_),
      read_index_(ports.event_loop, queue_, ports.store, mirror_,
                  static_cast<double>(settings.peers.size() + 1) /
                      (k::kReadIndexShare * settings.state_limits().rps)),
      user_api_(settings, ports.event_loop, queue_, ports.store, mirror_, read_index_,
                [this](const std::string& job) { broadcast_cancellation(job); }),
      zone_delegate_(settings, ports.event_loop, queue_, ports.store, mirror_, read_index_),
      flush_wake_(ports.event_loop, queue_) {}

void Node::start(peer::Transport& transport) {
  transport_ = &transport;
  // Nobody counts as silent before having had the time to speak: a restarted
  // node would become delegate of its zone for no reason.
  for (const auto& peer : settings_.peers) peers_[peer.name].heard = loop_.now();
  queue_.post([this] {
    load("");
    fetch_types();
    tick();
  });
}

void Node::on_request(net::Request request, net::Responder respond) {
  queue_.post([this, request = std::move(request), respond = std::move(respond)]() mutable {
    handle(request, std::move(respond));
  });
}

void Node::on_message(peer::Message message) {
  queue_.post([this, message = std::move(message)]() mutable {
    if (const auto* heartbeat = std::get_if<peer::Heartbeat>(&message))
      return on_peer_heartbeat(*heartbeat);
    if (const auto* cancelled = std::get_if<peer::Cancelled>(&message))
      return on_cancellation(cancelled->job);
    if (auto* heartbeat = std::get_if<peer::ForwardedHeartbeat>(&message)) {
      auto respond = [this, node = heartbeat->node,
                      id = heartbeat->id](const net::Response& response) {
        transport_->send(node, peer::ForwardedReply{id, response.status, response.body});
        forwarding_ = true;
      };
      return on_heartbeat(heartbeat->body, std::move(respond), true);
    }
    const auto& reply = std::get<peer::ForwardedReply>(message);
    const auto found = forwarded_.find(reply.id);
    if (found == forwarded_.end()) return;
    auto respond = std::move(found->second.waiting.respond);
    forwarded_.erase(found);
    respond({reply.status, reply.body, 0});
  });
}

// --- requests --------------------------------------------------------------------

void Node::handle(const net::Request& request, net::Responder respond) {
  constexpr std::string_view jobs = "/api/jobs";
  constexpr std::string_view cancel = "/cancel";
  const std::string path = request.path.substr(0, request.path.find('?'));
  const auto only = [&](const char* method) {
    if (request.method == method) return true;
    respond({405, {}, 0});
    return false;
  };
  if (path == "/ready") {
    if (only("GET")) respond({ready() ? 200 : 503, {}, 0});
  } else if (path == "/v1/report") {
    if (!only("POST")) return;
    // A worker finds its way back; users and the balancer go before it where
    // connections are short.
    const auto yielding = [respond = std::move(respond)](net::Response response) {
      response.yields = true;
      respond(std::move(response));
    };
    on_heartbeat(request.body, yielding, false);
  } else if (path == jobs) {
    if (only("POST")) user_api_.submit(request.body, std::move(respond));
  } else if (path.starts_with(jobs) && path[jobs.size()] == '/') {
    std::string id = path.substr(jobs.size() + 1);
    if (id.ends_with(cancel)) {
      id.resize(id.size() - cancel.size());
      if (only("POST")) user_api_.cancel(id, std::move(respond));
    } else if (only("GET")) {
      user_api_.poll(id, std::move(respond));
    }
  } else {
    respond({404, {}, 0});
  }
}

void Node::on_heartbeat(const std::string& body, net::Responder respond, bool forwarded) {
  wire::WorkerHeartbeat heartbeat;
  try {
    heartbeat = wire::decode_heartbeat(wire::Document::parse(body).root());
  } catch (const wire::DecodeError& error) {
    spdlog::error("a worker's heartbeat can't be read: {}", error.what());
    return respond({400, {}, 0});
  }
  // A machine that has heard of a later term drops what is answered in an
  // earlier one, and stays with whoever answers while its lease runs out.
  learn_term(heartbeat.token >> k::kTokenFenceBits, "");
  if (!forwarded && redirect_to_zone(heartbeat, respond)) return;
  if (leader_) return leader_->on_heartbeat(heartbeat, respond);
  if (forwarded) return respond({503, {}, 0});
  forward_heartbeat(
      {std::move(heartbeat), body, std::move(respond), loop_.now() + k::kForwardTimeout});
}

bool Node::heard(const std::string& peer) const {
  const auto found = peers_.find(peer);
  return found != peers_.end() && loop_.now() - found->second.heard < k::kPeerSilence;
}

bool Node::leader_heard() const { return leader_ || heard(known_leader_); }

election::ZoneDelegate::View Node::view() const {
  election::ZoneDelegate::View view{leader_heard(), state_reachable(k::kPeerSilence), {}};
  if (view.leader_heard || view.state_reachable) return view;
  for (const auto& peer : settings_.peers) {
    if (peer.zone == settings_.zone && heard(peer.name) && !peers_.at(peer.name).leader_heard)
      view.neighbour = peer.name;
  }
  return view;
}

bool Node::redirect_to_zone(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond) {
  // Workers report to a controller of their own zone, which passes heartbeats on
  // to the leader. When the zone is cut off, or the leader ends, they are
  // already where their leases can be kept alive: finding the way there takes
  // two time-outs of 4 s, about as long as a short lease.
  if (heartbeat.zone == settings_.zone) return false;
  const double now = loop_.now();
  auto& last = redirects_[heartbeat.machine];
  // Back so soon: it could not reach that node.
  if (!last.node.empty() && now - last.at < k::kRedirectMemory) return false;
  for (const auto& peer : settings_.peers) {
    if (peer.zone != heartbeat.zone || !heard(peer.name)) continue;
    last = {peer.name, now};
    respond({421, wire::encode_redirect(peer.name), 0});
    return true;
  }
  return false;
}

void Node::forward_heartbeat(election::ZoneDelegate::Waiting waiting) {
  if (zone_delegate_.active() || !leader_heard()) {
    if (known_leader_.empty()) return waiting.respond({503, {}, 0});
    return zone_delegate_.on_heartbeat(std::move(waiting), view());
  }
  const auto id = next_forward_++;
  transport_->send(known_leader_, peer::ForwardedHeartbeat{settings_.node, id, waiting.body});
  forwarded_[id] = {std::move(waiting), known_leader_};
  forwarding_ = true;
}

void Node::dispatch_waiting(election::ZoneDelegate::Waiting waiting) {
  if (leader_) return leader_->on_heartbeat(waiting.heartbeat, waiting.respond);
  forward_heartbeat(std::move(waiting));
}

void Node::retry_or_expire_forwarded() {
  const double now = loop_.now();
  // Those that waited for a delegation while no leader was heard.
  if (leader_ || (leader_heard() && !zone_delegate_.active())) {
    for (auto& one : zone_delegate_.take_waiting()) dispatch_waiting(std::move(one));
  }
  auto forwarded = std::move(forwarded_);
  forwarded_.clear();
  for (auto& [id, one] : forwarded) {
    if (now >= one.waiting.until) {
      one.waiting.respond({503, {}, 0});
    } else if (leader_ || one.leader != known_leader_ || !leader_heard()) {
      // Its leader is gone or not to be heard: to the next one, or to the zone delegate.
      dispatch_waiting(std::move(one.waiting));
    } else {
      forwarded_[id] = std::move(one);
    }
  }
}

bool Node::state_reachable(double within_s) const {
  return loop_.now() - read_index_.last_success() < within_s;
}

bool Node::common_outage() const {
  if (state_reachable()) return false;
  return std::all_of(settings_.peers.begin(), settings_.peers.end(), [&](const config::Peer& peer) {
    return heard(peer.name) && !peers_.at(peer.name).state_reachable;
  });
}

bool Node::ready() const {
  if (!mirror_.loaded() || machine_types_.empty()) return false;
  if (state_reachable()) return true;
  // Everybody sees the same outage: taking all nodes away helps nobody. Nodes
  // that are silent don't count either way, but one witness is needed.
  bool witness = false;
  for (const auto& [name, peer] : peers_) {
    if (!heard(name)) continue;
    if (peer.state_reachable) return false;
    witness = true;
  }
  return witness;
}

// --- the mirror --------------------------------------------------------------------

void Node::load(const std::string& since) {
  if (since.empty()) mirror_.restart();
  store_.list(std::string(store::kLive), since,
              scope_.wrap([this, since](const store::ListResult& result) {
                if (result.outcome != Outcome::ok) {
                  loop_.after(k::kStateRetry, scope_.wrap([this, since] { load(since); }));
                  return;
                }
                mirror_.load(result.listing);
                if (result.listing.truncated && !result.listing.entries.empty())
                  return load(result.listing.entries.back().key);
                std::vector<store::Key> all;
                for (const auto& [id, job] : mirror_.jobs())
                  all.push_back({store::Key::Kind::job, id, 0});
                changed(all);
                watch();
              }));
}

void Node::watch() {
  // Until the copy is whole, don't wait: nothing may change for long.
  const double hold = mirror_.loaded() ? k::kWatchHold : 0;
  store_.watch(std::string(store::kRoot), mirror_.follow_from(), hold,
               scope_.wrap([this](const store::WatchResult& result) {
                 switch (result.outcome) {
                   case Outcome::ok: {
                     changed(mirror_.apply(result.changes));
                     loop_.after(leader_ ? k::kWatchPauseLeader : k::kWatchPauseFollower,
                                 scope_.wrap([this] { watch(); }));
                     return;
                   }
                   case Outcome::compacted:
                     return load("");
                   case Outcome::unknown:
                     return watch();
                   default:
                     loop_.after(k::kStateRetry, scope_.wrap([this] { watch(); }));
                 }
               }));
}

void Node::changed(const std::vector<store::Key>& keys) {
  if (mirror_.lead()) learn_term(mirror_.lead()->term, mirror_.lead()->node);
  learn_term(mirror_.term(), known_leader_);
  if (leader_) leader_->on_change(keys);
  if (machine_types_.empty() && mirror_.types()) {
    use_types(wire::decode_machine_types(wire::Document::parse(mirror_.types()->packed).root()));
  }
  read_index_.check();
  consider_election();
}

// --- machine types -------------------------------------------------------------------

void Node::fetch_types() {
  cloud_.machine_types(
      scope_.wrap([this](std::optional<std::vector<wire::MachineType>> machine_types) {
        if (machine_types && !machine_types->empty()) return use_types(std::move(*machine_types));
        loop_.after(k::kTypesRetry, scope_.wrap([this] { fetch_types(); }));
      }));
}

void Node::use_types(std::vector<wire::MachineType> machine_types) {
  machine_types_ = std::move(machine_types);
  user_api_.set_machine_types(machine_types_);
  if (leader_) leader_->set_machine_types(machine_types_);
}

// --- leadership ------------------------------------------------------------------------

void Node::learn_term(std::uint64_t term, const std::string& leader) {
  if (term > known_term_) known_leader_.clear();
  if (term >= known_term_ && !leader.empty() && (term > known_term_ || known_leader_.empty()))
    known_leader_ = leader;
  known_term_ = std::max(known_term_, term);
  if (leader_ && leader_->term() < known_term_) step_down("a higher term is known");
}

bool Node::leadership_open() const {
  // Free, or held by what this node was before it was restarted.
  const auto& lead = mirror_.lead();
  return !lead ||
         (lead->node == settings_.node && !lead->incarnation.starts_with(incarnation_ + "/"));
}

std::optional<Node::Candidacy> Node::won() const {
  const auto& lead = mirror_.lead();
  if (!lead || lead->node != settings_.node || lead->term != mirror_.term() ||
      lead->term < known_term_)
    return std::nullopt;
  const auto found =
      std::find_if(candidacies_.begin(), candidacies_.end(),
                   [&](const Candidacy& one) { return one.name == lead->incarnation; });
  if (found == candidacies_.end()) return std::nullopt;
  return *found;
}

void Node::consider_election() {
  if (leader_ || !mirror_.loaded()) return;
  if (mirror_.earlier_layout()) {
    if (!std::exchange(refused_layout_, true)) {
      spdlog::error(
          "the state service holds records of an earlier layout below {}block/ or host/: not "
          "standing for leadership",
          store::kLive);
    }
    return;
  }
  if (const auto candidacy = won()) return become_leader(*candidacy);
  if (!leadership_open() || election_running_) {
    election_at_ = -1;
    return;
  }
  const double now = loop_.now();
  if (election_at_ < 0) election_at_ = now + loop_.random() * k::kElectionJitter;
  if (now >= election_at_) start_election();
}

void Node::start_election() {
  election_running_ = true;
  election_at_ = -1;
  store_.grant(k::kLeadLease, scope_.wrap([this](const store::GrantResult& granted) {
    // Somebody else may have won while the lease was asked for.
    if (granted.outcome == Outcome::ok && !leader_ && leadership_open())
      return request_leadership(granted.lease);
    back_off(k::kStateRetry);
  }));
}

void Node::request_leadership(std::uint64_t lease) {
  const auto term = mirror_.term() + 1;
  const Candidacy candidacy{incarnation_ + "/" + std::to_string(next_candidacy_++), lease,
                            loop_.now()};
  candidacies_.push_back(candidacy);
  if (candidacies_.size() > k::kCandidaciesKept) candidacies_.erase(candidacies_.begin());
  wire::Transaction transaction;
  transaction.preconditions = {{std::string(store::kTermKey), mirror_.term_revision()},
                               {std::string(store::kLeadKey), mirror_.lead_revision()}};
  transaction.writes = {
      {std::string(store::kTermKey), store::encode(store::TermRecord{term}), 0},
      {std::string(store::kLeadKey),
       store::encode(store::LeadRecord{settings_.node, candidacy.name, term}), lease}};
  store_.commit(std::move(transaction), scope_.wrap([this](const store::CommitResult& result) {
    // Won or not, the mirror will tell: it must hold all that came before
    // this term in any case. Should it tell too late, the lease is over and
    // another try is due.
    back_off(result.outcome == Outcome::ok ? k::kLeadLease : k::kStateRetry);
  }));
}

void Node::back_off(double after_s) {
  loop_.after(after_s, scope_.wrap([this] {
    if (!leader_) election_running_ = false;
    consider_election();
  }));
}

void Node::become_leader(const Candidacy& candidacy) {
  Leader::Context context{settings_,
                          loop_,
                          queue_,
                          store_,
                          cloud_,
                          worker_rpc_,
                          mirror_,
                          read_index_,
                          [this](const std::string& peer) {
                            const auto found = peers_.find(peer);
                            return found == peers_.end() ? reconcile::PeerReadState{}
                                                         : found->second.read_state;
                          },
                          [this] { return common_outage(); },
                          [this] { step_down("the term is over"); }};
  zone_delegate_.end("this node leads");
  lease_ = candidacy.lease;
  leader_ =
      std::make_unique<Leader>(context, mirror_.term(), mirror_.term_revision(), candidacy.sent);
  // Each wins at most once: names and tokens of a term must not be used again.
  candidacies_.clear();
  election_running_ = true;
  known_term_ = mirror_.term();
  known_leader_ = settings_.node;
  types_recorded_ = false;
  if (!machine_types_.empty()) leader_->set_machine_types(machine_types_);
  next_renew_ = 0;
  send_peer_heartbeat();
}

void Node::step_down(const char* why) {
  if (!leader_) return;
  spdlog::info("no longer leading in term {}: {}", leader_->term(), why);
  leader_.reset();
  election_running_ = false;
  if (known_leader_ == settings_.node) known_leader_.clear();
}

void Node::renew() {
  const double sent = loop_.now();
  next_renew_ = sent + k::kRenewInterval;
  store_.renew(lease_, scope_.wrap([this, term = leader_->term()](Outcome outcome) {
    if (outcome == Outcome::missing && leader_ && leader_->term() == term)
      step_down("the lease ran out");
  }));
  wire::Transaction transaction;
  transaction.preconditions = {{std::string(store::kTermKey), mirror_.term_revision()}};
  // The machine types ride along once, for nodes that start while the cloud
  // does not answer.
  if (!types_recorded_ && !machine_types_.empty() && !mirror_.types()) {
    transaction.preconditions.push_back({std::string(store::kTypesKey), 0});
    transaction.writes.push_back(
        {std::string(store::kTypesKey), wire::encode_machine_types(machine_types_), 0});
  }
  types_recorded_ = true;
  store_.commit(std::move(transaction), scope_.wrap([this, sent, term = leader_->term()](
                                                        const store::CommitResult& result) {
    if (!leader_ || leader_->term() != term) return;
    if (result.outcome == Outcome::ok) leader_->confirm(sent);
    const bool deposed = std::find(result.failed.begin(), result.failed.end(), store::kTermKey) !=
                         result.failed.end();
    if (result.outcome == Outcome::conflict && deposed) step_down("the term is over");
  }));
}

// --- peer network ------------------------------------------------------------------------------

void Node::send_peer_heartbeat() {
  next_peer_heartbeat_ = loop_.now() + k::kPeerHeartbeatInterval;
  told_leader_heard_ = leader_heard();
  urgent_messages_ = true;
  transport_->broadcast(peer::Heartbeat{
      settings_.node, known_term_, known_leader_, state_reachable(), told_leader_heard_,
      mirror_.loaded() ? mirror_.revision() : 0, loop_.now() - zone_delegate_.replied_at()});
}

void Node::on_peer_heartbeat(const peer::Heartbeat& heartbeat) {
  auto& peer = peers_[heartbeat.node];
  peer.heard = loop_.now();
  peer.state_reachable = heartbeat.state_reachable;
  peer.leader_heard = heartbeat.leader_heard;
  // However late this comes, what was answered was answered before it was sent.
  peer.read_state.revision = std::max(peer.read_state.revision, heartbeat.revision);
  peer.read_state.replied_at =
      std::max(peer.read_state.replied_at, loop_.now() - heartbeat.replied_ago_s * (1 - k::kDrift));
  learn_term(heartbeat.term, heartbeat.leader);
}

void Node::broadcast_cancellation(const std::string& job) {
  urgent_messages_ = true;
  transport_->broadcast(peer::Cancelled{job});
  on_cancellation(job);
}

void Node::on_cancellation(const std::string& job) {
  if (leader_) leader_->on_cancellation(job);
}

// --- time ------------------------------------------------------------------------------

void Node::tick() {
  const double now = loop_.now();
  loop_.after(k::kTickInterval, scope_.wrap([this] { tick(); }));
  if (now >= next_probe_) {
    next_probe_ = now + k::kProbeInterval;
    read_index_.request(k::kProbeInterval, [](bool) {});
  }
  read_index_.check();
  std::erase_if(redirects_,
                [&](const auto& entry) { return now - entry.second.at > k::kRedirectMemory; });
  retry_or_expire_forwarded();
  consider_election();
  zone_delegate_.tick(view());
  if (leader_) {
    if (now >= next_renew_) renew();
    if (leader_) leader_->tick();
  }
  if (now >= next_peer_heartbeat_ || told_leader_heard_ != leader_heard()) send_peer_heartbeat();
}

void Node::after_batch() {
  if (leader_) leader_->after_batch();
  flush_peer_messages();
}

void Node::flush_peer_messages() {
  const double now = loop_.now();
  if (now < next_flush_ && !urgent_messages_) {
    if (forwarding_) flush_wake_.after(next_flush_ - now, [] {});
    return;
  }
  if (forwarding_) next_flush_ = now + k::kForwardInterval;
  urgent_messages_ = forwarding_ = false;
  if (transport_ != nullptr) transport_->flush();
}

}  // namespace elmstall::controller
