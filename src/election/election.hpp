// Candidacy for leadership.
//
// The leader is whoever the record `lead` names. That record is attached to a
// lease of the state store and disappears with it. A node that sees no leader
// waits for a short random time, has a lease granted, and writes `term` and `lead`
// in one transaction that requires both to be unchanged. It has won only when its
// own mirror shows the record (docs/design.md, rule 10).
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

/// One attempt to be elected. Its transaction may be applied long after it was
/// given up, so each attempt has its own name, lease and time.
struct Candidacy {
  std::string name;
  std::uint64_t lease = 0;  ///< of the state store, to which `lead` is attached
  double sent_at = 0;       ///< when its transaction was sent
};

class Election {
 public:
  struct Context {
    const config::Settings& settings;
    runtime::EventLoop& event_loop;
    runtime::CommandQueue& queue;
    store::StateStore& store;
    const store::Mirror& mirror;
    const TermTracker& terms;
    /// Called when the mirror shows that this candidacy has won.
    std::function<void(const Candidacy&)> elected;
  };

  /// `incarnation` differs from that of every earlier process of this node.
  Election(Context context, std::string incarnation);

  /// To be called when the records changed and now and then: takes up a candidacy
  /// that was won, or starts one when nobody leads.
  void consider();
  /// This node no longer leads and may stand for election again.
  void resign() { role_ = Role::follower; }

 private:
  enum class Role : std::uint8_t { follower, candidate, leader };

  /// Nobody leads, or the leader is what this node was before it was restarted.
  [[nodiscard]] bool leadership_open() const;
  /// The candidacy of this process that the mirror shows as won.
  [[nodiscard]] std::optional<Candidacy> won_candidacy() const;
  /// Whether the records have a layout that this program can't read.
  [[nodiscard]] bool layout_unreadable();
  void become_leader(const Candidacy& candidacy);
  void start_candidacy();
  void request_leadership(std::uint64_t lease);
  /// Allows another candidacy after so many seconds, unless this one is won by then.
  void back_off(double delay_s);

  Context context_;
  std::string incarnation_;
  runtime::CommandScope scope_;
  Role role_ = Role::follower;
  std::vector<Candidacy> candidacies_;  ///< that may still win, latest last
  std::uint64_t next_candidacy_ = 1;
  std::optional<double> start_at_;  ///< end of the random wait before a candidacy
  bool unreadable_layout_logged_ = false;
};

}  // namespace elmstall::election
