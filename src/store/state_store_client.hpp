/// @file
/// HTTP client of the state store that stays within this node's share of the store's rate limits.
///
/// Runs on one Asio loop; it has no locks.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <string>

#include "net/http_client.hpp"
#include "store/state_store.hpp"

namespace elmstall::store {

/// The part of the store's rate limits that one node may use.
struct RateShare {
  double requests_per_s = 1;  ///< requests of any kind
  double writes_per_s = 1;    ///< single puts and deletes, however many are in a transaction
};

/// Sends requests to one address of the state store. Requests that exceed the rate wait in a queue;
/// one that can't be sent within constants::kStateTimeout ends as Outcome::unavailable.
class StateStoreClient : public StateStore {
 public:
  /// `endpoint` is the address of the state store. Connects only once there is a request.
  StateStoreClient(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint, RateShare share);

  void get(const std::string& key, std::function<void(GetResult)> done) override;
  void list(const std::string& prefix, const std::string& since,
            std::function<void(ListResult)> done) override;
  void watch(const std::string& prefix, std::uint64_t since, double hold_s,
             std::function<void(WatchResult)> done) override;
  void commit(wire::Transaction transaction, std::function<void(CommitResult)> done) override;
  void grant(double life_s, std::function<void(GrantResult)> done) override;
  void renew(std::uint64_t lease, std::function<void(Outcome)> done) override;

 private:
  using Clock = std::chrono::steady_clock;

  /// Token bucket: fills at `rate` tokens per second and holds at most one second's worth.
  struct TokenBucket {
    double rate = 1;
    double level = 1;
    void refill(double elapsed_s);
  };

  /// One HTTP request, and what it costs.
  struct Request {
    std::string method;
    std::string path;
    std::string body;
    double timeout_s = 0;
    double writes = 0;  ///< puts and deletes in it, which count against the write rate
  };

  /// A request that waits until the rate limits allow it.
  struct QueuedRequest {
    double writes = 0;
    Clock::time_point deadline;     ///< latest moment at which it may be sent
    std::function<void()> send;     ///< sends it
    std::function<void()> give_up;  ///< reports that it was never sent
  };

  /// Queues a request. `interpret` turns the HTTP reply into the result for `done`; if the
  /// request is not sent in time, it gets a reply marked as `never_sent`.
  template <typename Result>
  void enqueue(net::HttpClient& client, Request request, Result (*interpret)(const net::Reply&),
               std::function<void(Result)> done);
  /// Adds the tokens for the time since the last call.
  void refill(Clock::time_point now);
  /// Sends every queued request that the rate limits allow and drops those past their deadline.
  void send_within_rate_limits(Clock::time_point now);
  /// Schedules the next call of send_queued(), unless the queue is empty.
  void schedule_next();
  void send_queued();
  [[nodiscard]] bool within_rate_limits(const QueuedRequest& request) const;

  net::HttpClient client_;
  /// Watches have connections of their own, because each holds one for many seconds.
  net::HttpClient watch_client_;
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  TokenBucket requests_;
  TokenBucket writes_;
  Clock::time_point refilled_;
  std::deque<QueuedRequest> queue_;
};

}  // namespace elmstall::store
