// Keeps the leases of a zone's machines alive while their leader can't.
//
// A follower that gets reports of machines whose leader it can't hear either
// records that it takes care of its zone, and then renews leases: it starts
// nothing and stops only tasks of cancelled jobs. The record hangs on a state
// lease, and reports are answered only while that lease certainly lives, so
// whoever sees no record knows that nobody answers.
#pragma once

#include "config/settings.hpp"
#include "engine/proof.hpp"
#include "net/http_server.hpp"

namespace elmstall::engine {

class Caretaker {
 public:
  Caretaker(const config::Settings& settings, Runtime& runtime, CommandQueue& queue, ledger::Store& store,
            const ledger::Mirror& mirror, const Proof& proof)
      : settings_(settings), runtime_(runtime), store_(store), mirror_(mirror), proof_(proof), scope_(queue) {}

  /// Answers a report of this zone, now or once the care is recorded.
  void on_report(wire::Report report, net::Responder respond);
  /// Renews the care, or ends it when the leader can be heard again.
  void tick(bool leader_heard);
  [[nodiscard]] bool active() const { return state_ != State::idle; }

 private:
  enum class State : std::uint8_t { idle, starting, active };
  struct Waiting {
    wire::Report report;
    net::Responder respond;
    double until = 0;
  };

  void begin();
  void renew();
  void end(const char* why);
  void answer_waiting();
  [[nodiscard]] bool entitled() const;
  void answer(const wire::Report& report, const net::Responder& respond) const;

  const config::Settings& settings_;
  Runtime& runtime_;
  ledger::Store& store_;
  const ledger::Mirror& mirror_;
  const Proof& proof_;
  CommandScope scope_;
  State state_ = State::idle;
  std::uint64_t round_ = 0;  ///< answers to an earlier round are ignored
  std::uint64_t lease_ = 0;
  std::uint64_t revision_ = 0;  ///< the mirror must be this far
  double renewed_ = -1e18;      ///< when the last successful renewal was sent
  double next_renew_ = 0;
  double heard_since_ = -1;
  std::vector<Waiting> waiting_;
};

}  // namespace elmstall::engine
