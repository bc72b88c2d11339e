// Keeps the leases of a zone's machines alive while their leader can't.
//
// A follower that gets heartbeats of machines whose leader it can't hear either
// records that it is the delegate of its zone, and then renews leases: it starts
// nothing and stops only tasks of cancelled jobs. The record hangs on a state
// lease, and heartbeats are answered under it only while that lease certainly
// lives.
//
// Where the zone is cut off from the state service too, nothing can be
// recorded. Then it acts as an unrecorded delegate: it answers in the same way without a record, as
// long as a leader may without the state service, W after the last read index that showed that
// its records are current, and only machines that are not recorded as retired.
// A leader that gives a machine up reckons with that (docs/design.md, rule 6).
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "config/settings.hpp"
#include "election/read_index.hpp"
#include "net/http_server.hpp"

namespace elmstall::election {

class ZoneDelegate {
 public:
  ZoneDelegate(const config::Settings& settings, runtime::EventLoop& event_loop,
               runtime::CommandQueue& queue, store::StateStore& store, const store::Mirror& mirror,
               const ReadIndex& read_index)
      : settings_(settings),
        loop_(event_loop),
        store_(store),
        mirror_(mirror),
        read_index_(read_index),
        scope_(queue),
        replied_at_(event_loop.now()) {}

  /// What the node sees of the world around it.
  struct View {
    bool leader_heard = false;
    bool state_reachable = false;
    /// Neither that nor the leader, and this other controller of the zone is
    /// heard, which does not hear the leader either: the zone is cut off.
    std::string neighbour;
  };
  /// A heartbeat that nobody could answer yet, as read and as it came.
  struct Waiting {
    wire::WorkerHeartbeat heartbeat;
    std::string body;
    net::Responder respond;
    double until = 0;
  };

  /// Answers a heartbeat of this zone, now or once that is possible; past `until`
  /// the worker is sent away.
  void on_heartbeat(Waiting waiting, const View& view);
  /// Heartbeats that still wait, for whoever can answer them now.
  [[nodiscard]] std::vector<Waiting> take_waiting() { return std::exchange(waiting_, {}); }
  /// Renews the delegation, or ends it when the leader can be heard again.
  void tick(const View& view);
  /// Answers nobody from here on; does nothing where there is no delegation.
  void end(const char* why);
  [[nodiscard]] bool active() const { return state_ != State::idle; }
  /// When a heartbeat was last answered on the own account; when the process
  /// began, at first, for nobody knows what the one before it did.
  [[nodiscard]] double replied_at() const { return replied_at_; }

 private:
  enum class State : std::uint8_t { idle, starting, active };

  void begin();
  void renew();
  void reply_to_waiting(const View& view);
  void turn_away(const Waiting& one, const View& view);
  [[nodiscard]] bool delegation_valid() const;
  [[nodiscard]] bool may_reply_unrecorded(const std::string& machine, const View& view) const;
  void reply(const wire::WorkerHeartbeat& heartbeat, const net::Responder& respond);
  /// The records place a task of a cancelled job there that it does not show.
  [[nodiscard]] bool may_start_cancelled(const wire::WorkerHeartbeat& heartbeat) const;

  const config::Settings& settings_;
  runtime::EventLoop& loop_;
  store::StateStore& store_;
  const store::Mirror& mirror_;
  const ReadIndex& read_index_;
  runtime::CommandScope scope_;
  State state_ = State::idle;
  std::uint64_t round_ = 0;  ///< answers to an earlier round are ignored
  std::uint64_t lease_ = 0;
  std::uint64_t revision_ = 0;  ///< the mirror must be this far
  double renewed_ = -1e18;      ///< when the last successful renewal was sent
  double next_renew_ = 0;
  double heard_since_ = -1;
  double replied_at_;
  std::vector<Waiting> waiting_;
  std::map<std::string, double> turned_away_;  ///< machines that were, and when
};

}  // namespace elmstall::election
