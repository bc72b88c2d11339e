#include "store/state_store_client.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::store {
namespace {

std::chrono::milliseconds to_milliseconds(double seconds) {
  return std::chrono::milliseconds(static_cast<long>(seconds * 1000));
}

/// The reply that is reported for a request that was dropped before it was sent.
net::Reply never_sent_reply() { return {0, {}, true}; }

Outcome outcome_of(const net::Reply& reply) {
  switch (reply.status) {
    case 200:
      return Outcome::ok;
    case 404:
      return Outcome::missing;
    case 409:
      return Outcome::conflict;
    case 410:
      return Outcome::compacted;
    case 429:
    case 503:
      return Outcome::unavailable;
    case 400:
      return Outcome::rejected;
    case 0:
      return reply.never_sent ? Outcome::unavailable : Outcome::unknown;
    default:
      return Outcome::unknown;
  }
}

/// Builds a result from the outcome and, if the outcome comes with a message, calls `fill` to
/// decode the message into the result. A message that can't be decoded counts as no reply.
template <typename Result, typename Fill>
Result decode(const net::Reply& reply, Outcome outcome, Fill&& fill) {
  Result result;
  result.outcome = outcome;
  if (outcome != Outcome::ok && outcome != Outcome::conflict && outcome != Outcome::missing)
    return result;
  try {
    const auto document = wire::Document::parse(reply.body);
    fill(result, document.root());
  } catch (const wire::DecodeError&) {
    result.outcome = Outcome::unknown;
  }
  return result;
}

GetResult interpret_get(const net::Reply& reply) {
  return decode<GetResult>(reply, outcome_of(reply),
                           [](GetResult& result, const wire::Object& message) {
                             if (result.outcome == Outcome::ok) {
                               result.entry = wire::decode_entry(message);
                             } else {
                               result.revision = wire::decode_revision(message);
                             }
                           });
}

ListResult interpret_list(const net::Reply& reply) {
  return decode<ListResult>(reply, outcome_of(reply),
                            [](ListResult& result, const wire::Object& message) {
                              result.listing = wire::decode_listing(message);
                            });
}

WatchResult interpret_watch(const net::Reply& reply) {
  return decode<WatchResult>(reply, outcome_of(reply),
                             [](WatchResult& result, const wire::Object& message) {
                               result.changes = wire::decode_changes(message);
                             });
}

CommitResult interpret_commit(const net::Reply& reply) {
  auto outcome = outcome_of(reply);
  if (outcome == Outcome::rejected && wire::is_missing_lease_error(reply.body))
    outcome = Outcome::no_lease;
  return decode<CommitResult>(reply, outcome,
                              [](CommitResult& result, const wire::Object& message) {
                                result.revision = wire::decode_revision(message);
                                if (result.outcome == Outcome::conflict)
                                  result.failed = wire::decode_failed_preconditions(message);
                              });
}

GrantResult interpret_grant(const net::Reply& reply) {
  return decode<GrantResult>(reply, outcome_of(reply),
                             [](GrantResult& result, const wire::Object& message) {
                               result.lease = wire::decode_lease(message);
                             });
}

}  // namespace

void StateStoreClient::TokenBucket::refill(double elapsed_s) {
  level = std::min(rate, level + elapsed_s * rate);
}

StateStoreClient::StateStoreClient(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint,
                                   RateShare share)
    : client_(io, endpoint, constants::kStateConnections),
      watch_client_(io, endpoint, constants::kWatchConnections),
      timer_(io),
      requests_{share.requests_per_s, share.requests_per_s},
      writes_{share.writes_per_s, share.writes_per_s},
      refilled_(Clock::now()) {}

void StateStoreClient::get(const std::string& key, std::function<void(GetResult)> done) {
  Request request{"GET", wire::entry_path(key), {}, constants::kStateTimeout, 0};
  enqueue(client_, std::move(request), interpret_get, std::move(done));
}

void StateStoreClient::list(const std::string& prefix, const std::string& since,
                            std::function<void(ListResult)> done) {
  auto path = wire::listing_path(prefix, since, constants::kStatePage);
  Request request{"GET", std::move(path), {}, constants::kStateTimeout * 2, 0};
  enqueue(client_, std::move(request), interpret_list, std::move(done));
}

void StateStoreClient::watch(const std::string& prefix, std::uint64_t since, double hold_s,
                             std::function<void(WatchResult)> done) {
  auto path = wire::watch_path(prefix, since, hold_s);
  Request request{"GET", std::move(path), {}, hold_s + constants::kWatchGrace, 0};
  enqueue(watch_client_, std::move(request), interpret_watch, std::move(done));
}

void StateStoreClient::commit(wire::Transaction transaction,
                              std::function<void(CommitResult)> done) {
  const auto writes = static_cast<double>(transaction.writes.size());
  Request request{"POST", std::string(wire::kCommitPath), wire::encode_transaction(transaction),
                  constants::kStateTimeout, writes};
  enqueue(client_, std::move(request), interpret_commit, std::move(done));
}

void StateStoreClient::grant(double life_s, std::function<void(GrantResult)> done) {
  Request request{"POST", std::string(wire::kLeasesPath), wire::encode_lease_request(life_s),
                  constants::kStateTimeout, 0};
  enqueue(client_, std::move(request), interpret_grant, std::move(done));
}

void StateStoreClient::renew(std::uint64_t lease, std::function<void(Outcome)> done) {
  Request request{"POST", wire::lease_renewal_path(lease), {}, constants::kStateTimeout, 0};
  enqueue(client_, std::move(request), outcome_of, std::move(done));
}

template <typename Result>
void StateStoreClient::enqueue(net::HttpClient& client, Request request,
                               Result (*interpret)(const net::Reply&),
                               std::function<void(Result)> done) {
  QueuedRequest queued;
  queued.writes = request.writes;
  queued.deadline = Clock::now() + to_milliseconds(constants::kStateTimeout);
  queued.give_up = [interpret, done] { done(interpret(never_sent_reply())); };
  queued.send = [&client, request = std::move(request), interpret, done = std::move(done)] {
    client.request(request.method, request.path, request.body, request.timeout_s,
                   [interpret, done](const net::Reply& reply) { done(interpret(reply)); });
  };
  queue_.push_back(std::move(queued));
  send_queued();
}

void StateStoreClient::send_queued() {
  const auto now = Clock::now();
  refill(now);
  send_within_rate_limits(now);
  schedule_next();
}

void StateStoreClient::refill(Clock::time_point now) {
  const double elapsed_s = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  requests_.refill(elapsed_s);
  writes_.refill(elapsed_s);
}

void StateStoreClient::send_within_rate_limits(Clock::time_point now) {
  // Requests are sent in their order, except that reads do not wait behind a write that
  // exceeds the write rate. Every request is removed once, and appended again if it must wait, so
  // after the loop the waiting requests are in their original order.
  bool writes_wait = false;
  for (std::size_t left = queue_.size(); left > 0; --left) {
    auto request = std::move(queue_.front());
    queue_.pop_front();
    const bool is_write = request.writes > 0;
    if (request.deadline <= now) {
      request.give_up();
    } else if (!within_rate_limits(request) || (writes_wait && is_write)) {
      writes_wait = writes_wait || is_write;
      queue_.push_back(std::move(request));
    } else {
      requests_.level -= 1;
      writes_.level -= request.writes;
      request.send();
    }
  }
}

bool StateStoreClient::within_rate_limits(const QueuedRequest& request) const {
  // The bucket never holds more than one second's worth of writes, so a transaction with more
  // writes than that is sent when the bucket is full.
  return requests_.level >= 1 && writes_.level >= std::min(request.writes, writes_.rate);
}

void StateStoreClient::schedule_next() {
  if (timer_armed_ || queue_.empty()) return;
  timer_armed_ = true;
  timer_.expires_after(to_milliseconds(constants::kStateQueueInterval));
  timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    timer_armed_ = false;
    send_queued();
  });
}

}  // namespace elmstall::store
