// The highest term that this node has heard of, and who leads in it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace elmstall::election {

class TermTracker {
 public:
  /// Takes in a term told by the records, a peer or a worker's token. `leader` is
  /// empty where the source does not tell who leads in it.
  void learn(std::uint64_t term, const std::string& leader) {
    if (term > term_) leader_.clear();
    const bool tells_leader = term >= term_ && !leader.empty();
    if (tells_leader && leader_.empty()) leader_ = leader;
    term_ = std::max(term_, term);
  }
  /// This node has been elected.
  void set(std::uint64_t term, const std::string& leader) {
    term_ = term;
    leader_ = leader;
  }
  /// The leader of the present term has stepped down.
  void clear_leader() { leader_.clear(); }

  [[nodiscard]] std::uint64_t term() const { return term_; }
  /// Name of the leading node; empty while it is not known.
  [[nodiscard]] const std::string& leader() const { return leader_; }

 private:
  std::uint64_t term_ = 0;
  std::string leader_;
};

}  // namespace elmstall::election
