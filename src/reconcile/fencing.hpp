/// @file
/// Fencing tokens of one term.
///
/// A token consists of the term and, in its low bits, a fence count for one machine. A worker
/// refuses commands whose token is lower than the highest it has received. Raising the fence of a
/// machine therefore voids all commands that were sent to it before: those of which it is not known
/// whether they arrived (docs/design.md, rule 3), and late copies of those that were answered (rule
/// 4). Runs on the controller's event loop.
#pragma once

#include <cstdint>
#include <vector>

#include "state/model.hpp"

namespace elmstall::reconcile {

/// Computes the tokens of this leader's messages, and raises the fences of machines.
class Fencing {
 public:
  /// `term`: the leader's term. `model` has to outlive this object.
  Fencing(std::uint64_t term, state::Model& model) : term_(term), model_(model) {}

  /// The term's lowest token.
  [[nodiscard]] std::uint64_t term_token() const;
  /// The token that messages to this machine carry now.
  [[nodiscard]] std::uint64_t token(const state::Machine& machine) const;
  /// The lowest token with which a heartbeat synchronizes the machine (rule 3).
  [[nodiscard]] std::uint64_t synchronizing_token(const state::Machine& machine) const;

  /// Voids commands of which it is not known whether they have reached the machine. It counts as
  /// synchronized again once a heartbeat carries the new token (rule 3). When the term has no
  /// higher token left, it stays unsynchronized until it is deleted or the term ends.
  void raise(state::Machine& machine);

  /// Whether messages to the machine may clear attempts now: their token voids every RPC that ran
  /// an attempt, so that no copy of one runs it again (rule 4).
  [[nodiscard]] static bool may_clear(const state::Machine& machine);
  /// Makes `may_clear` true, unless the term has no higher token left.
  void prepare_clear(state::Machine& machine);
  /// Whether messages to the machine may run an attempt again that was cleared there: their token
  /// voids every message that cleared or stopped it before (rule 4).
  [[nodiscard]] static bool may_run_again(const state::Machine& machine);
  /// Makes `may_run_again` true, unless the term has no higher token left.
  void prepare_run_again(state::Machine& machine);

  /// Notes commands that are sent by RPC under the machine's present token.
  static void note_rpc(state::Machine& machine, const std::vector<wire::WorkerCommand>& commands);
  /// Notes commands that are sent in the reply to a heartbeat under the machine's present token.
  static void note_reply(state::Machine& machine, const std::vector<wire::WorkerCommand>& commands);

 private:
  /// Gives the next messages to the machine a higher token, if the term has one left.
  void advance(state::Machine& machine);

  std::uint64_t term_;
  state::Model& model_;
};

}  // namespace elmstall::reconcile
