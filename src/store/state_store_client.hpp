// Client of the state service that keeps within this node's share of the
// rates.
#pragma once

#include <asio.hpp>
#include <deque>

#include "net/http_client.hpp"
#include "store/state_store.hpp"

namespace elmstall::store {

struct RateShare {
  double requests_per_s = 1;
  double writes_per_s = 1;
};

class StateStoreClient : public StateStore {
 public:
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
  /// Tokens that refill with time, at most one second's worth.
  struct Bucket {
    double rate = 1;
    double level = 1;
    void refill(double elapsed_s);
  };
  struct Job {
    double writes = 0;
    Clock::time_point deadline;
    std::function<void()> send;
    std::function<void()> give_up;
  };

  void submit(Job job);
  void pump();
  [[nodiscard]] bool affordable(const Job& job) const;
  static Outcome outcome_of(const net::Reply& reply);

  net::HttpClient client_;
  net::HttpClient watch_client_;
  asio::steady_timer timer_;
  bool armed_ = false;
  Bucket requests_;
  Bucket writes_;
  Clock::time_point refilled_;
  std::deque<Job> queue_;
};

}  // namespace elmstall::store
