/// @file
/// Keeps the highest term that this node has received, and the name of its leader.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace elmstall::election {

/// The highest known term and its leader. Neither proves that the leader still leads.
class TermTracker {
 public:
  /// Takes in a term that a record, a peer or a worker's token carries. `leader` is empty if
  /// the source does not name the leader of that term. Lower terms than the known one are ignored.
  void learn(std::uint64_t term, const std::string& leader) {
    if (term > term_) leader_.clear();
    const bool names_leader = term >= term_ && !leader.empty();
    if (names_leader && leader_.empty()) leader_ = leader;
    term_ = std::max(term_, term);
  }
  /// Enters a term that this node has been elected in; `leader` is its own name.
  void set(std::uint64_t term, const std::string& leader) {
    term_ = term;
    leader_ = leader;
  }
  /// Clears the leader, because the leader of the present term has stepped down.
  void clear_leader() { leader_.clear(); }

  /// The highest known term; 0 before the first.
  [[nodiscard]] std::uint64_t term() const { return term_; }
  /// Name of the leading node; empty while it is not known.
  [[nodiscard]] const std::string& leader() const { return leader_; }

 private:
  std::uint64_t term_ = 0;
  std::string leader_;
};

}  // namespace elmstall::election
