/// @file
/// Candidacy for leadership.
///
/// The leader is the controller that the record `lead` names. That record is attached to a
/// lease of the state store, which deletes it when the lease ends. A node whose mirror shows no
/// leader waits for a short random time, requests a lease, and writes `term` and `lead` in one
/// transaction that requires both to be unchanged. It has won only when its own mirror shows the
/// record (docs/design.md, rule 10). Runs on the controller's event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "election/term_tracker.hpp"
#include "runtime/command_queue.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"

namespace elmstall::election {

/// One attempt to be elected. The state store may apply its transaction long after the node has
/// given the attempt up, so each attempt has its own name, lease and time (rule 10).
struct Candidacy {
  std::string name;         ///< kept in `lead`; differs from all other candidacies of this node
  std::uint64_t lease = 0;  ///< of the state store, to which `lead` is attached
  double sent_at = 0;       ///< when its transaction was sent; seconds of the steady clock
};

/// Stands for election on behalf of one controller, and detects when it has won.
class Election {
 public:
  /// What an election works with. The references have to outlive it.
  struct Context {
    const config::Settings& settings;  ///< settings of this controller
    runtime::EventLoop& event_loop;    ///< clock and timers
    runtime::CommandQueue& queue;      ///< runs the callbacks, one after the other
    store::StateStore& store;          ///< client of the state store
    const store::Mirror& mirror;       ///< local replica of the records
    const TermTracker& terms;          ///< highest known term and its leader
    /// Called when the mirror shows that this candidacy has won.
    std::function<void(const Candidacy&)> elected;
  };

  /// `incarnation`: part of the names of candidacies. It must differ from that of every earlier
  /// process of this node.
  Election(Context context, std::string incarnation);

  /// Becomes the leader if the mirror shows a won candidacy, or starts a candidacy if there is
  /// no leader. To be called after every change of the records, and at regular intervals.
  void evaluate();
  /// This node no longer leads and may stand for election again.
  void resign() { role_ = Role::follower; }

 private:
  enum class Role : std::uint8_t { follower, candidate, leader };

  /// Whether there is no leader, or the records name an earlier process of this node.
  [[nodiscard]] bool leadership_open() const;
  /// The candidacy of this process that the mirror shows as won, if any.
  [[nodiscard]] std::optional<Candidacy> won_candidacy() const;
  /// Whether there are records that a leader needs and this program can't read.
  [[nodiscard]] bool records_unreadable();
  void become_leader(const Candidacy& candidacy);
  void start_candidacy();
  void request_leadership(std::uint64_t lease);
  /// Allows another candidacy after `delay_s` seconds, unless this one is won by then.
  void back_off(double delay_s);

  Context context_;
  std::string incarnation_;
  runtime::CommandScope scope_;
  Role role_ = Role::follower;
  std::vector<Candidacy> candidacies_;  ///< that may still win, latest last
  std::uint64_t next_candidacy_ = 1;
  std::optional<double> candidacy_due_at_;  ///< end of the random wait before a candidacy
  bool unreadable_records_logged_ = false;
};

}  // namespace elmstall::election
