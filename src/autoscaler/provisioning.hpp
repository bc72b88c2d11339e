/// @file
/// Sends provision requests to the cloud: names them, limits their rate, retries those without an
/// answer, and backs off from pools without capacity.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "autoscaler/pool_key.hpp"
#include "clients/cloud.hpp"
#include "config/constants.hpp"
#include "runtime/command_queue.hpp"
#include "state/model.hpp"

namespace elmstall::autoscaler {

/// Provisions machines for pools. Runs on the controller's event loop.
class Provisioning {
 public:
  /// `term`: the leader's term, part of the name of every request (rule 9).
  Provisioning(const config::Settings& settings, runtime::EventLoop& event_loop,
               runtime::CommandQueue& queue, clients::Cloud& cloud, state::Model& model,
               std::uint64_t term);

  /// Starts a new round of decisions: sets the number of requests that may be sent in it, so
  /// that the cloud's rate limit leaves room for lists and deletions.
  void begin_round();

  /// Requests `machines` more machines of the pool, in as many requests as that takes. Stops when
  /// the round's requests are used up; a later round requests the machines still missing.
  void scale_out(const PoolKey& pool, int machines);

  /// Machines requested from the pool for which the cloud has not answered yet.
  [[nodiscard]] int pending_machines(const PoolKey& pool) const;

  /// Whether the pool had no capacity so recently that it should not be tried again at `now`
  /// (seconds on the event loop's steady clock).
  [[nodiscard]] bool backing_off(const PoolKey& pool, double now) const;

 private:
  struct PoolState {
    int pending_machines = 0;
    double backoff_until = state::kNever;
    double next_backoff_s = constants::kNoCapacityPause;
  };
  /// One provision request. Repetitions carry the same name (rule 9).
  struct Request {
    PoolKey pool;
    std::string name;
    int machines = 0;
  };

  /// A name that no leader has used before (rule 9).
  [[nodiscard]] std::string next_request_name();
  void send(const Request& request);
  void on_result(const Request& request, const clients::ProvisionResult& result);
  void add_machines(const PoolKey& pool, const std::vector<std::string>& machine_ids, double now);
  /// Doubles the pool's back-off, up to its maximum.
  static void back_off(PoolState& state, const PoolKey& pool, double now);

  const config::Settings& settings_;
  runtime::EventLoop& loop_;
  clients::Cloud& cloud_;
  state::Model& model_;
  std::uint64_t term_;
  runtime::CommandScope scope_;
  std::map<PoolKey, PoolState> pools_;
  std::uint64_t next_request_number_ = 1;
  /// Requests that may still be sent in this round. Fractions are not carried over to the next.
  double requests_left_ = 0;
};

}  // namespace elmstall::autoscaler
